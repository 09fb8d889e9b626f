package jobstate

import (
	"math"
	"reflect"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// placeDemanded places the demanded tasks as far as they fit the quota.
func placeDemanded(team *Team, now time.Time) {
	for _, demand := range team.Quota().Demands(now) {
		job := team.Job(demand.Spec.UID)
		if demand.Spec.Kind == protocol.Gang {
			missing, attempt := team.MissingGangTasks(job)
			locations := map[int]Location{}
			for _, index := range missing {
				locations[index] = Location{Machine: "m", Zone: "z", Incarnation: 1}
			}
			team.PlaceGang(job, attempt, locations)
			continue
		}
		left := demand.Count
		job.Pending(now, func(index int) bool {
			left--
			return left >= 0 && team.Place(job, index, Location{Machine: "m", Zone: "z", Incarnation: 1})
		})
	}
}

// completeOneTask ends the attempt with the lowest task index of a job as done.
func completeOneTask(team *Team, uid string) {
	job := team.Job(uid)
	first := job.attemptsByIndex()[0]
	team.attemptExited(first, &TaskStatus{TaskID: first.TaskID, Attempt: first.Attempt, State: protocol.Exited, Reason: protocol.ReasonDone}, time.Unix(1000, 0))
}

// TestQuotaIsReservedForTheMostUrgent has tasks of a less urgent job end one by one while the team is at its limit. The
// quota that they free must be reserved for an urgent job with larger tasks, and not be used by further small tasks.
func TestQuotaIsReservedForTheMostUrgent(t *testing.T) {
	const quota = 8
	tests := []struct {
		name   string
		urgent protocol.Submission
	}{
		{"array", protocol.Submission{Kind: protocol.JobArray, Tasks: 1, CPUs: 4}},
		{"gang", protocol.Submission{Kind: protocol.Gang, Tasks: 2, CPUs: 3}},
		{"gang larger than half the quota", protocol.Submission{Kind: protocol.Gang, Tasks: 2, CPUs: 4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			team := NewTeam("team", Limits{Max: Resources{CPUs: quota, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
			small := &protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "standard", Tasks: 100, CPUs: 1}
			team.AddJob(small, 1, now, nil)
			placeDemanded(team, now)
			urgent := test.urgent
			urgent.UID, urgent.Priority = "job-000002", "high"
			team.AddJob(&urgent, 2, now, nil)
			needed := urgent.Tasks * int(urgent.CPUs)
			for range needed {
				completeOneTask(team, small.UID)
				placeDemanded(team, now)
			}
			if assigned := len(team.Job(urgent.UID).attempts); assigned != urgent.Tasks {
				t.Fatalf("%d of %d urgent tasks are placed after %d CPUs became free", assigned, urgent.Tasks, needed)
			}
		})
	}
}

// TestQuotaOfAStartedJobIsNotReserved checks that no quota is reserved for an array that has started: it continues with
// the quota that its own tasks free, and a rest too small for one of its tasks is left to other jobs.
func TestQuotaOfAStartedJobIsNotReserved(t *testing.T) {
	now := time.Unix(1000, 0)
	team := NewTeam("team", Limits{Max: Resources{CPUs: 10, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	large := &protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "high", Tasks: 10, CPUs: 4}
	small := &protocol.Submission{UID: "job-000002", Kind: protocol.JobArray, Priority: "standard", Tasks: 10, CPUs: 1}
	team.AddJob(large, 1, now, nil)
	team.AddJob(small, 2, now, nil)
	placeDemanded(team, now)
	if large, small := len(team.Job(large.UID).attempts), len(team.Job(small.UID).attempts); large != 2 || small != 2 {
		t.Fatalf("%d large and %d small tasks are placed, want 2 of each", large, small)
	}
}

// TestOneWaitingGangReservesQuota checks that of several waiting gangs only the first reserves quota.
func TestOneWaitingGangReservesQuota(t *testing.T) {
	now := time.Unix(1000, 0)
	team := NewTeam("team", Limits{Max: Resources{CPUs: 8, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	for i, uid := range []string{"job-000001", "job-000002"} {
		team.AddJob(&protocol.Submission{UID: uid, Kind: protocol.Gang, Priority: "high", Tasks: 2, CPUs: 2}, uint64(i), now, nil)
	}
	small := &protocol.Submission{UID: "job-000003", Kind: protocol.JobArray, Priority: "standard", Tasks: 100, CPUs: 1}
	team.AddJob(small, 3, now, nil)
	requested := map[string]int{}
	for _, demand := range team.Quota().Demands(now) {
		requested[demand.Spec.UID] += demand.Count
	}
	if requested["job-000001"] != 2 || requested["job-000002"] != 2 || requested[small.UID] != 4 {
		t.Fatalf("%v tasks demanded, want 2 of each gang and 4 small ones", requested)
	}
}

// TestSmallTasksOvertakeLargeOnesOfEqualPriority checks that quota too small for one job is left to a job of the same
// priority that fits.
func TestSmallTasksOvertakeLargeOnesOfEqualPriority(t *testing.T) {
	now := time.Unix(1000, 0)
	team := NewTeam("team", Limits{Max: Resources{CPUs: 3, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	large := &protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "standard", Tasks: 1, CPUs: 4}
	small := &protocol.Submission{UID: "job-000002", Kind: protocol.JobArray, Priority: "standard", Tasks: 5, CPUs: 1}
	team.AddJob(large, 1, now, nil)
	team.AddJob(small, 2, now, nil)
	placeDemanded(team, now)
	if assigned := len(team.Job(small.UID).attempts); assigned != 3 {
		t.Fatalf("%d small tasks are placed, want 3", assigned)
	}
}

// TestStopChangesNothingThatAPassReads: the evictions of a scheduling pass are carried out after it. No decision of the
// pass can depend on that, since a stopped attempt keeps its machine and its quota until it has ended: the team demands the
// same tasks, has the same quota left, and can't place the task a second time.
func TestStopChangesNothingThatAPassReads(t *testing.T) {
	type reads struct {
		demands, surplus []Demand
		left             Resources
		missing, pending []int
		unstarted, held  int
		zones            map[string]int
	}
	now := time.Unix(1000, 0)
	team, gang, spec := newTeamWithGangAndArray(now)
	team.Quota().SetFloors(map[string]float64{"gangs": 3}) // the array gets more than the gang leaves
	array := team.Job(spec.UID)
	array.Pending(now, func(index int) bool {
		return index < 6 && team.Place(array, index, Location{Machine: "m", Zone: "z", Incarnation: 1})
	})
	read := func() (r reads) {
		r.demands, r.surplus, r.left = team.Quota().Demands(now), team.Quota().SurplusDemands(now), team.Quota().Left()
		r.missing, _ = team.MissingGangTasks(gang)
		array.Pending(now, func(index int) bool {
			r.pending = append(r.pending, index)
			return true
		})
		r.unstarted, r.zones = array.Unstarted(), array.TasksByZone()
		r.held, _ = team.Assignments().Count()
		return r
	}
	before := read()
	for _, attempt := range array.attemptsByIndex() {
		if !team.Stop(attempt.Ref(), 0) || team.Stop(attempt.Ref(), 0) {
			t.Errorf("task %d is not stopped, or stopped twice", attempt.Index)
		}
		if team.Place(array, attempt.Index, Location{Machine: "m-2", Zone: "z", Incarnation: 1}) {
			t.Errorf("task %d is placed again while it may still run", attempt.Index)
		}
		if after := read(); !reflect.DeepEqual(after, before) {
			t.Fatalf("a stop changed what a pass reads:\n%+v\n%+v", before, after)
		}
	}
	if before.held != 6 || len(before.missing) != 3 {
		t.Errorf("%d tasks on machines and %d of the gang missing", before.held, len(before.missing))
	}
}
