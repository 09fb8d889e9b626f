package jobstate

import (
	"math"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// newTeamWithGangAndArray returns a team with a quota of ten CPUs, an urgent gang that needs six of them, and an array
// of more small tasks than fit.
func newTeamWithGangAndArray(now time.Time) (team *Team, gang *Job, array *protocol.Submission) {
	team = NewTeam("t", Limits{Max: Resources{CPUs: 10, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	spec := &protocol.Submission{UID: "job-000001", Class: "gangs", Kind: protocol.Gang, Priority: "high", Tasks: 3, CPUs: 2, EstimateSeconds: 30}
	array = &protocol.Submission{UID: "job-000002", Class: "arrays", Kind: protocol.JobArray, Priority: "standard", Tasks: 50, CPUs: 1, EstimateSeconds: 30}
	team.AddJob(spec, 1, now, nil)
	team.AddJob(array, 1, now, nil)
	return team, team.Job(spec.UID), array
}

// requestedTasks returns the number of tasks of each job that the team demands capacity for.
func requestedTasks(team *Team, now time.Time) map[string]int {
	counts := map[string]int{}
	for _, d := range team.Quota().Demands(now) {
		counts[d.Spec.UID] += d.Count
	}
	return counts
}

// TestUnusedGangReservationIsReleased guards against an endless reservation of quota for a gang that finds no machines,
// and for the floor of its class: arrays waited for minutes beside idle machines. If the gang does not start for
// quotaCycle.reserve, other jobs may use all quota, while the gang is still demanded. Then the reservation is renewed.
func TestUnusedGangReservationIsReleased(t *testing.T) {
	now := time.Unix(1000, 0)
	team, gang, array := newTeamWithGangAndArray(now)
	team.Quota().SetFloors(map[string]float64{"gangs": 8})
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); !team.Quota().ReservesForGangs() || got[gang.Spec.UID] != 3 || got[array.UID] > 4 {
		t.Fatalf("at first %v tasks are demanded", got)
	}
	now = now.Add(quotaCycle.reserve)
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); team.Quota().ReservesForGangs() || got[gang.Spec.UID] != 3 || got[array.UID] != 10 {
		t.Fatalf("after %v without a start %v tasks are demanded", quotaCycle.reserve, got)
	}
	now = now.Add(quotaCycle.release)
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); !team.Quota().ReservesForGangs() || got[array.UID] > 4 {
		t.Fatalf("in the second cycle %v tasks are demanded", got)
	}
}

// TestGangBeyondQuotaReservesForAWhile checks that the unused quota is reserved for a gang that needs more than that,
// and released after quotaCycle.reserve. Earlier it was reserved without end, except for a rest too small for one task
// of the gang; smaller tasks used that, and then all other quota that became free.
func TestGangBeyondQuotaReservesForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	team, _, array := newTeamWithGangAndArray(now)
	for i := range 5 {
		if !team.Place(team.Job(array.UID), i, Location{"m", "z", 1}) {
			t.Fatal("the array is not placed")
		}
	}
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); got[array.UID] != 0 {
		t.Fatalf("at first %v tasks are demanded", got)
	}
	now = now.Add(quotaCycle.reserve)
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); got[array.UID] != 5 {
		t.Fatalf("after %v without a start %v tasks are demanded", quotaCycle.reserve, got)
	}
}

// TestGangReservationInUse checks that free capacity stays reserved for gangs while they start one after another. The
// quota must be released periodically nevertheless: otherwise quota too small for the next gang was unused for minutes.
func TestGangReservationInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	team, gang, array := newTeamWithGangAndArray(now)
	team.Quota().UpdateGangReservation(now)
	now = now.Add(quotaCycle.reserve - time.Second)
	if !team.PlaceGang(gang, 0, map[int]Location{0: {"m", "z", 1}, 1: {"m", "z", 1}, 2: {"m", "z", 1}}) {
		t.Fatal("not placed")
	}
	next := *gang.Spec
	next.UID = "job-000003"
	team.AddJob(&next, 1, now, nil)
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); !team.Quota().ReservesCapacityForGangs() || got[next.UID] != 2 || got[array.UID] != 0 {
		t.Fatalf("capacity reserved: %v, %v tasks are demanded; want the rest of the quota for the next gang", team.Quota().ReservesCapacityForGangs(), got)
	}
	now = now.Add(time.Second)
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); !team.Quota().ReservesCapacityForGangs() || got[array.UID] != 4 {
		t.Fatalf("capacity reserved: %v, %v tasks are demanded; want the rest of the quota for the array", team.Quota().ReservesCapacityForGangs(), got)
	}
	now = now.Add(capacityCycle.reserve)
	team.Quota().UpdateGangReservation(now)
	if team.Quota().ReservesCapacityForGangs() {
		t.Fatal("capacity is still reserved although no other gang started")
	}
}
