package simulation

import (
	"encoding/json"
	"strings"
	"time"

	"topazhollow/internal/protocol"
)

// Rules about jobs that need others.

// FollowEnds makes the checker record which jobs are done according to a state service that keeps the ends of jobs below
// a prefix.
func (c *Checker) FollowEnds(store *KVStore, prefix string) {
	store.ObserveSets(func(key string, value json.RawMessage) {
		uid, isEnd := strings.CutPrefix(key, prefix)
		var end struct{ State protocol.JobState }
		if isEnd && json.Unmarshal(value, &end) == nil && end.State == protocol.Done {
			c.RecordStoredDone(uid)
		}
	})
}

// RecordStoredDone records that the state service has received the end of a job that is done.
func (c *Checker) RecordStoredDone(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.jobs[uid]; t != nil {
		t.stored = true
	}
}

// checkDependencies checks that the state service has the ends of all jobs that a starting task's job needs.
func (c *Checker) checkDependencies(spec *protocol.Submission, task, machine string) {
	for _, uid := range spec.Dependencies {
		if d := c.jobs[uid]; d == nil || !d.stored {
			c.recordViolation("too_early", "%s on %s before the end of %s", task, machine, uid)
		}
	}
}

// mayBeCancelled reports whether the user of a job, or of one that it needs directly or through others, has requested a
// cancellation that may have been carried out.
func (c *Checker) mayBeCancelled(t *jobRecord) bool {
	return t.cancelRequested || c.findBefore(t, func(d *jobRecord) bool {
		return d.cancelRequested && !d.stored && d.final != protocol.Done
	}) != nil
}

// orphanedBy returns the ID of a job before the given one whose user was told that it is cancelled longer ago than the
// cancel timeout; "" if there is none. The time begins when both users have their answers.
func (c *Checker) orphanedBy(t *jobRecord) string {
	if !t.accepted || time.Since(t.acceptedAt) <= c.CancelTimeout {
		return ""
	}
	if d := c.findBefore(t, c.pastCancelTimeout); d != nil {
		return d.spec.UID
	}
	return ""
}

// findBefore returns a job for which a condition holds, of those that a job needs directly or through others; nil if
// there is none.
func (c *Checker) findBefore(t *jobRecord, holds func(d *jobRecord) bool) *jobRecord {
	seen := map[string]bool{}
	for open := t.spec.Dependencies; len(open) > 0; {
		uid := open[0]
		open = open[1:]
		d := c.jobs[uid]
		if d == nil || seen[uid] {
			continue
		}
		if holds(d) {
			return d
		}
		seen[uid] = true
		open = append(open[:len(open):len(open)], d.spec.Dependencies...)
	}
	return nil
}
