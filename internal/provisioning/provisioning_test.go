package provisioning

import (
	"maps"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/protocol"
)

var types = []protocol.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, PricePerHour: 1, SpotPricePerHour: 0.5, Zones: []string{"a"}, BootSeconds: 10}}

func newAccount(now time.Time) *Provisioner {
	return New(Options{SinceTerm: 3, Prefix: "p", ListLag: 8 * time.Second, Autoscaler: autoscaler.Options{SpotShare: 1, SilenceTimeout: time.Minute, SafetyRunTimes: 2}}, now)
}

func nobodyGone(string) bool { return false }

func demand(now time.Time) []autoscaler.Demand {
	spec := &protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Tasks: 4, CPUs: 16, MemoryGB: 4, EstimateSeconds: 60, Spot: true}
	return []autoscaler.Demand{{Spec: spec, Count: 4, Due: now}}
}

// TestListIsPaced: one read at a time, half a lag after the one before, and at once after one
// that failed.
func TestListIsPaced(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAccount(now)
	if a.Ready() || !a.BeginListing(now) || a.BeginListing(now.Add(time.Hour)) {
		t.Fatal("not one read at a time")
	}
	a.ListingFailed()
	if a.Ready() || !a.BeginListing(now) {
		t.Fatal("no read after one that failed")
	}
	a.ListingRead([]protocol.Host{{UID: "m-1"}, {UID: "m-2"}}, func(name string) bool { return name == "m-1" }, now)
	if _, gone := a.Hosts()["m-1"]; gone || len(a.Hosts()) != 1 || !a.Ready() {
		t.Fatalf("listed: %v", a.Hosts())
	}
	if a.BeginListing(now.Add(4*time.Second-1)) || !a.BeginListing(now.Add(4*time.Second)) {
		t.Error("the list is not read once in half its lag")
	}
}

// TestScaleInAfterDraining: a machine is released one decision after it began to get no
// tasks, again if the cloud did not answer, and is no candidate meanwhile.
func TestScaleInAfterDraining(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAccount(now)
	a.BeginListing(now)
	a.ListingRead([]protocol.Host{{UID: "m-1", Type: "m", Zone: "a", State: protocol.HostFailed}}, nobodyGone, now)
	var draining map[string]bool
	decide := func() []string {
		var observations []Observation
		for _, name := range a.Candidates(maps.Keys(map[string]bool{})) {
			observations = append(observations, Observation{Machine: autoscaler.Machine{Name: name}})
		}
		actions := a.Decide(&Inputs{Types: types, Machines: a.Describe(observations, now)}, now)
		draining = actions.Drain
		a.StartDraining(draining)
		return actions.ScaleIn
	}
	if got := decide(); got != nil || !draining["m-1"] {
		t.Fatalf("returned %v before it was drained: %v", got, draining)
	}
	if got := decide(); !slices.Equal(got, []string{"m-1"}) {
		t.Fatalf("returned %v", got)
	}
	if got := a.Candidates(maps.Keys(map[string]bool{"m-1": true})); len(got) != 0 {
		t.Errorf("%v are candidates while they are returned", got)
	}
	a.ScaleInFailed([]string{"m-1"})
	if got := decide(); !slices.Equal(got, []string{"m-1"}) {
		t.Fatalf("after a failure: returned %v", got)
	}
	a.ScaleInConfirmed([]string{"m-1"})
	if got := a.Candidates(maps.Keys(map[string]bool{})); len(got) != 0 {
		t.Errorf("%v are candidates though they are gone", got)
	}
}

// TestScaleOutAfterFailover: an owner that follows another one acquires nothing before the list
// names what that one acquired.
func TestScaleOutAfterFailover(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAccount(now)
	in := &Inputs{Types: types, Demands: demand(now), TakenOver: true}
	if got := a.Decide(in, now.Add(8*time.Second-1)).ScaleOut; got != nil {
		t.Fatalf("rents %v at once", got)
	}
	later := now.Add(8 * time.Second)
	requests := a.Decide(in, later).ScaleOut
	if len(requests) != 1 || requests[0].Count != 4 {
		t.Fatalf("rents %v", requests)
	}
	a.ScaleOutAnswered(requests[0], []string{"m-1", "m-2"}, true, later)
	machines := a.Describe([]Observation{{Machine: autoscaler.Machine{Name: "m-1"}}}, later.Add(time.Minute))
	if m := machines[0]; m.Type != "m" || m.Zone != "a" || !m.Spot || !m.AcquiredAt.Equal(later) {
		t.Errorf("rented: %+v", m)
	}
	if !a.DropObsolete(requests[0], later) {
		t.Error("a request goes on to a place that has just refused one")
	}
}
