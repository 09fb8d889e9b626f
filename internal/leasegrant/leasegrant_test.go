package leasegrant

import (
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// fakeView implements ControllerView with fixed answers.
type fakeView struct {
	until   time.Time
	jobs    map[string]JobState
	ordered map[jobstate.AttemptRef]bool
	lost    uint64
}

func (k *fakeView) JobState(uid string) JobState            { return k.jobs[uid] }
func (k *fakeView) StartOrdered(a jobstate.AttemptRef) bool { return k.ordered[a] }
func (k *fakeView) MayBeLost(attempt uint64) bool           { return attempt < k.lost }
func (k *fakeView) MayRenew(now, bound time.Time) bool {
	return !now.After(k.until) && (bound.IsZero() || !now.After(bound))
}

// TestDecide checks each reason to refuse a renewal or to stop a task on its own.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	k := &fakeView{until: now, jobs: map[string]JobState{"job-000001": Active, "job-000002": Ended}, lost: 5,
		ordered: map[jobstate.AttemptRef]bool{{TaskID: jobstate.TaskID{Job: "job-000003", Index: 1}, Attempt: 7}: true}}
	home, other := ControllerRole{IsHome: true}, ControllerRole{HomeWatermark: now}
	for what, c := range map[string]struct {
		role    ControllerRole
		at      time.Time
		task    protocol.TaskStatus
		renew   bool
		stops   int
		unknown bool
	}{
		"an active job":                          {home, now, protocol.TaskStatus{Task: "job-000001/0", Attempt: 9}, true, 0, false},
		"a job that has ended":                   {home, now, protocol.TaskStatus{Task: "job-000002/0", Attempt: 9}, true, 1, false},
		"an exited task of a job that has ended": {home, now, protocol.TaskStatus{Task: "job-000002/0", Attempt: 9, State: protocol.Exited}, true, 0, false},
		"an unknown job":                         {home, now, protocol.TaskStatus{Task: "job-000009/0", Attempt: 9}, false, 0, true},
		"an unknown job, lost with data":         {home, now, protocol.TaskStatus{Task: "job-000009/0", Attempt: 4}, true, 0, false},
		"an unknown job, start ordered by owner": {home, now, protocol.TaskStatus{Task: "job-000003/1", Attempt: 7}, true, 0, false},
		"an attempt other than the ordered one":  {home, now, protocol.TaskStatus{Task: "job-000003/1", Attempt: 8}, false, 0, true},
		"an active job after the watermark":      {home, now.Add(1), protocol.TaskStatus{Task: "job-000001/0", Attempt: 9}, false, 0, false},
		"not the home, before its watermark":     {other, now, protocol.TaskStatus{Task: "job-000001/0", Attempt: 9}, true, 0, false},
		"not the home, after its watermark":      {ControllerRole{HomeWatermark: now.Add(-1)}, now, protocol.TaskStatus{Task: "job-000001/0", Attempt: 9}, false, 0, false},
		"not the home, without a watermark":      {ControllerRole{}, now, protocol.TaskStatus{Task: "job-000001/0", Attempt: 9}, false, 0, false},
		"not the home, with a lease of its own":  {ControllerRole{LeaseValid: true}, now, protocol.TaskStatus{Task: "job-000001/0", Attempt: 9}, true, 0, false},
	} {
		got := Decide(&protocol.Heartbeat{Tasks: []protocol.TaskStatus{c.task}}, c.at, c.role, k)
		if got.Renewed != c.renew || len(got.Stops) != c.stops || (got.Unknown != nil) != c.unknown {
			t.Errorf("%s: %+v", what, got)
		}
	}
}
