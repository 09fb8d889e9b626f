package simulation

import (
	"strings"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// newChainChecker returns a checker of three accepted jobs that need one another in turn.
func newChainChecker() *Checker {
	c := NewChecker(map[string]float64{"red": 8})
	before := []string(nil)
	for _, uid := range []string{"job-1", "job-2", "job-3"} {
		c.RecordSubmission(&protocol.Submission{UID: uid, Team: "red", Tasks: 1, CPUs: 1, Dependencies: before})
		c.RecordAnswer(uid, 201, protocol.Pending, true)
		before = []string{uid}
	}
	return c
}

// confirmCancellation records that a job's user requested its cancellation and was told that it is cancelled.
func confirmCancellation(c *Checker, uid string) {
	c.RecordCancellation(uid)
	c.RecordAnswer(uid, 200, protocol.Cancelled, false)
}

// outlastTimeout sets a short cancel timeout and waits until it has passed.
func outlastTimeout(c *Checker) {
	c.CancelTimeout = time.Nanosecond
	time.Sleep(time.Microsecond)
}

// finish records that a job's only task is done and that the state service has its end.
func finish(c *Checker, uid string) {
	c.RecordEnd(uid+"/0", true)
	c.RecordStoredDone(uid)
}

// TestCheckerDetectsDependencyViolations breaks each rule about dependencies once and expects the checker to record it.
func TestCheckerDetectsDependencyViolations(t *testing.T) {
	for name, breaks := range map[string]func(c *Checker){
		"too_early: nothing has ended": func(c *Checker) { c.RecordStart("job-2/0", "m1", "t", "east", false) },
		"too_early: the end is not stored": func(c *Checker) {
			c.RecordEnd("job-1/0", true)
			c.RecordStart("job-2/0", "m1", "t", "east", false)
		},
		"too_early: only the first of two": func(c *Checker) {
			finish(c, "job-1")
			c.RecordStart("job-3/0", "m1", "t", "east", false)
		},
		"orphaned: needs it directly": func(c *Checker) {
			confirmCancellation(c, "job-1")
			outlastTimeout(c)
			c.RecordAnswer("job-2", 200, protocol.Pending, false)
		},
		"orphaned: through another job": func(c *Checker) {
			confirmCancellation(c, "job-1")
			outlastTimeout(c)
			c.RecordAnswer("job-3", 200, protocol.Running, false)
		},
		"went_back: a done job cancels others": func(c *Checker) {
			finish(c, "job-1")
			c.RecordCancellation("job-1")
			c.RecordAnswer("job-2", 200, protocol.Cancelled, false)
		},
		"went_back: cancelled with a later job": func(c *Checker) {
			confirmCancellation(c, "job-2")
			c.RecordAnswer("job-1", 200, protocol.Cancelled, false)
		},
		"went_back: pending again": func(c *Checker) {
			confirmCancellation(c, "job-1")
			c.RecordAnswer("job-2", 200, protocol.Cancelled, false)
			c.RecordAnswer("job-2", 200, protocol.Pending, false)
		},
	} {
		c := newChainChecker()
		if got := c.BrokenRules(); len(got) != 0 {
			t.Fatalf("%s: the checker recorded %v before anything happened", name, got)
		}
		breaks(c)
		if got := c.BrokenRules(); len(got) != 1 || !strings.HasPrefix(got[0], strings.Split(name, ":")[0]) {
			t.Errorf("%s: the checker recorded %v", name, got)
		}
	}
}

// TestCheckerAllowsPipelines: the checker records no violation of what users of dependent jobs may observe.
func TestCheckerAllowsPipelines(t *testing.T) {
	for name, happens := range map[string]func(c *Checker){
		"one after the other": func(c *Checker) {
			for _, uid := range []string{"job-1", "job-2", "job-3"} {
				c.RecordStart(uid+"/0", "m1", "t", "east", false)
				finish(c, uid)
				c.RecordAnswer(uid, 200, protocol.Done, false)
			}
		},
		"cancelled with the first": func(c *Checker) {
			confirmCancellation(c, "job-1")
			c.RecordAnswer("job-3", 200, protocol.Cancelled, false)
			c.RecordAnswer("job-2", 200, protocol.Cancelled, false)
		},
		"still pending within the cancel timeout": func(c *Checker) {
			c.CancelTimeout = time.Hour
			confirmCancellation(c, "job-1")
			c.RecordAnswer("job-2", 200, protocol.Pending, false)
		},
		"accepted after the cancellation": func(c *Checker) {
			confirmCancellation(c, "job-1")
			outlastTimeout(c)
			c.RecordSubmission(&protocol.Submission{UID: "job-4", Team: "red", Tasks: 1, CPUs: 1, Dependencies: []string{"job-1"}})
			c.RecordAnswer("job-4", 201, protocol.Pending, true)
		},
		"a request sent before the timeout": func(c *Checker) {
			c.CancelTimeout = time.Hour
			confirmCancellation(c, "job-1")
			before := c.KnownSoFar("job-2")
			outlastTimeout(c)
			c.RecordOverlappingAnswer("job-2", before, 200, protocol.Pending, false)
		},
	} {
		c := newChainChecker()
		happens(c)
		if got := c.BrokenRules(); len(got) != 0 {
			t.Errorf("%s: the checker recorded %v", name, got)
		}
	}
}

// TestCheckerFollowsStoredEnds: a job counts as done once the state service has its end, not before, and not if the end
// is a cancellation.
func TestCheckerFollowsStoredEnds(t *testing.T) {
	store, err := NewKVStore(4, 4)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	for state, broken := range map[protocol.JobState]int{protocol.Done: 0, protocol.Cancelled: 1, "": 1} {
		c := newChainChecker()
		c.FollowEnds(store, "ended/")
		if state != "" {
			value := protocol.Encode(map[string]any{"state": state})
			store.RepeatTransaction(protocol.Txn{Then: []protocol.Op{{Set: "ended/job-1", Value: value}}})
		}
		c.RecordStart("job-2/0", "m1", "t", "east", false)
		if got := c.BrokenRules(); len(got) != broken {
			t.Errorf("stored %q: the checker recorded %v", state, got)
		}
	}
}
