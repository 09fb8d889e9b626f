package jobstate

import (
	"math"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// newTeamWithGangAndArray has a quota of ten CPUs, an urgent gang that takes six and an array that takes whatever
// there is.
func newTeamWithGangAndArray(now time.Time) (team *Team, gang *Job, array *protocol.Submission) {
	team = NewTeam("t", Limits{Max: Resources{CPUs: 10, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	spec := &protocol.Submission{UID: "job-000001", Class: "gangs", Kind: protocol.Gang, Priority: "high", Tasks: 3, CPUs: 2, EstimateSeconds: 30}
	array = &protocol.Submission{UID: "job-000002", Class: "arrays", Kind: protocol.JobArray, Priority: "standard", Tasks: 50, CPUs: 1, EstimateSeconds: 30}
	team.AddJob(spec, 1, now, nil)
	team.AddJob(array, 1, now, nil)
	return team, team.Job(spec.UID), array
}

// requestedTasks is how many tasks of each job the team asks room for.
func requestedTasks(team *Team, now time.Time) map[string]int {
	counts := map[string]int{}
	for _, d := range team.Quota().Demands(now) {
		counts[d.Spec.UID] += d.Count
	}
	return counts
}

// TestUnusedHoldbackIsReleased: quota was reserved without end for a gang that found no machines, and for the floor of
// its class, so that arrays waited for minutes beside idle machines. Once it has made no use of it for a while all of
// the quota is for everybody; the gang is asked for all the same. Later it gets another try.
func TestUnusedGangReservationIsReleased(t *testing.T) {
	now := time.Unix(1000, 0)
	team, gang, array := newTeamWithGangAndArray(now)
	team.Quota().SetFloors(map[string]float64{"gangs": 8})
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); !team.Quota().ReservesForGangs() || got[gang.Spec.UID] != 3 || got[array.UID] > 4 {
		t.Fatalf("at first %v tasks are asked for", got)
	}
	now = now.Add(quotaCycle.reserve)
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); team.Quota().ReservesForGangs() || got[gang.Spec.UID] != 3 || got[array.UID] != 10 {
		t.Fatalf("after %v without a start %v tasks are asked for", quotaCycle.reserve, got)
	}
	now = now.Add(quotaCycle.release)
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); !team.Quota().ReservesForGangs() || got[array.UID] > 4 {
		t.Fatalf("on the second try %v tasks are asked for", got)
	}
}

// TestGangBeyondQuotaHoldsBackForAWhile: what is left of the quota was reserved without end for a gang that takes
// more, but for what is too little for one of its tasks; smaller tasks took that, and so each piece that came free.
func TestGangBeyondQuotaReservesForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	team, _, array := newTeamWithGangAndArray(now)
	for i := range 5 {
		if !team.Place(team.Job(array.UID), i, Location{"m", "z", 1}) {
			t.Fatal("the array does not start")
		}
	}
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); got[array.UID] != 0 {
		t.Fatalf("at first %v tasks are asked for", got)
	}
	now = now.Add(quotaCycle.reserve)
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); got[array.UID] != 5 {
		t.Fatalf("after %v without a start %v tasks are asked for", quotaCycle.reserve, got)
	}
}

// TestHoldbackOfUse: as long as gangs start one after another the capacity that comes free is reserved for the next.
// The quota is released in turn all the same: what the next gang had too little of stood empty for minutes.
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
		t.Fatalf("capacity reserved: %v, and %v tasks are asked for; want what is left for the next gang", team.Quota().ReservesCapacityForGangs(), got)
	}
	now = now.Add(time.Second)
	team.Quota().UpdateGangReservation(now)
	if got := requestedTasks(team, now); !team.Quota().ReservesCapacityForGangs() || got[array.UID] != 4 {
		t.Fatalf("capacity reserved: %v, and %v tasks are asked for; want what is left for the array", team.Quota().ReservesCapacityForGangs(), got)
	}
	now = now.Add(capacityCycle.reserve)
	team.Quota().UpdateGangReservation(now)
	if team.Quota().ReservesCapacityForGangs() {
		t.Fatal("capacity is reserved though no other gang started")
	}
}
