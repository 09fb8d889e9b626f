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

func newProvisioner(now time.Time) *Provisioner {
	return New(Options{SinceTerm: 3, Prefix: "p", ListLag: 8 * time.Second, Autoscaler: autoscaler.Options{SpotShare: 1, SilenceTimeout: time.Minute, SafetyRunTimes: 2}}, now)
}

func noneGone(string) bool { return false }

func demand(now time.Time) []autoscaler.Demand {
	spec := &protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Tasks: 4, CPUs: 16, MemoryGB: 4, EstimateSeconds: 60, Spot: true}
	return []autoscaler.Demand{{Spec: spec, Count: 4, Due: now}}
}

// TestListInterval: the list is read once at a time, half a lag after the previous read, and immediately after a failed
// one.
func TestListInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newProvisioner(now)
	if p.Ready() || !p.BeginListing(now) || p.BeginListing(now.Add(time.Hour)) {
		t.Fatal("no read begun, or two at a time")
	}
	p.ListingFailed()
	if p.Ready() || !p.BeginListing(now) {
		t.Fatal("no read after a failed one")
	}
	p.ListingRead([]protocol.Host{{UID: "m-1"}, {UID: "m-2"}}, func(name string) bool { return name == "m-1" }, now)
	if _, gone := p.Hosts()["m-1"]; gone || len(p.Hosts()) != 1 || !p.Ready() {
		t.Fatalf("listed: %v", p.Hosts())
	}
	if p.BeginListing(now.Add(4*time.Second-1)) || !p.BeginListing(now.Add(4*time.Second)) {
		t.Error("the list is not read at an interval of half its lag")
	}
}

// TestScaleInAfterDraining: a machine is released one decision after it started draining. The release is retried if the
// request fails. The machine is no candidate while it is being released.
func TestScaleInAfterDraining(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newProvisioner(now)
	p.BeginListing(now)
	p.ListingRead([]protocol.Host{{UID: "m-1", Type: "m", Zone: "a", State: protocol.HostFailed}}, noneGone, now)
	var draining map[string]bool
	decide := func() []string {
		var observations []Observation
		for _, name := range p.Candidates(maps.Keys(map[string]bool{})) {
			observations = append(observations, Observation{Machine: autoscaler.Machine{Name: name}})
		}
		actions := p.Decide(&Inputs{Types: types, Machines: p.Describe(observations, now)}, now)
		draining = actions.Drain
		p.StartDraining(draining)
		return actions.ScaleIn
	}
	if got := decide(); got != nil || !draining["m-1"] {
		t.Fatalf("released %v before it was drained: %v", got, draining)
	}
	if got := decide(); !slices.Equal(got, []string{"m-1"}) {
		t.Fatalf("released %v", got)
	}
	if got := p.Candidates(maps.Keys(map[string]bool{"m-1": true})); len(got) != 0 {
		t.Errorf("%v are candidates while they are being released", got)
	}
	p.ScaleInFailed([]string{"m-1"})
	if got := decide(); !slices.Equal(got, []string{"m-1"}) {
		t.Fatalf("after a failure: released %v", got)
	}
	p.ScaleInConfirmed([]string{"m-1"})
	if got := p.Candidates(maps.Keys(map[string]bool{})); len(got) != 0 {
		t.Errorf("%v are candidates although they are gone", got)
	}
}

// TestScaleOutAfterFailover: an owner that replaces another one acquires no machines until the list must contain those
// that the other one acquired.
func TestScaleOutAfterFailover(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newProvisioner(now)
	in := &Inputs{Types: types, Demands: demand(now), TakenOver: true}
	if got := p.Decide(in, now.Add(8*time.Second-1)).ScaleOut; got != nil {
		t.Fatalf("requests %v immediately", got)
	}
	later := now.Add(8 * time.Second)
	requests := p.Decide(in, later).ScaleOut
	if len(requests) != 1 || requests[0].Count != 4 {
		t.Fatalf("requests %v", requests)
	}
	p.ScaleOutAnswered(requests[0], []string{"m-1", "m-2"}, true, later)
	machines := p.Describe([]Observation{{Machine: autoscaler.Machine{Name: "m-1"}}}, later.Add(time.Minute))
	if m := machines[0]; m.Type != "m" || m.Zone != "a" || !m.Spot || !m.AcquiredAt.Equal(later) {
		t.Errorf("acquired: %+v", m)
	}
	if !p.DropObsolete(requests[0], later) {
		t.Error("a request to a pool that has just refused one is not dropped")
	}
}
