package autoscaler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// TestEarliestStartOfBinModel compares bin.earliestStart with a linear scan over time.
func TestEarliestStartOfBinModel(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 5))
		b := &bin{changes: []capacityChange{{0, float64(rng.IntN(5)), 0, 100}}}
		for range rng.IntN(6) {
			b.add(capacityChange{at: float64(1 + rng.IntN(10)), cpus: float64(rng.IntN(4))})
		}
		s := &protocol.Submission{CPUs: float64(1 + rng.IntN(8))}
		for range rng.IntN(3) {
			if at := b.earliestStart(s, math.Inf(1)); !math.IsInf(at, 1) {
				b.reserve(s, at, float64(1+rng.IntN(5)), 1)
			}
		}
		fits := func(at float64) bool { // from then on, permanently
			for t := at; t <= 60; t++ {
				sum := 0.0
				for _, r := range b.changes {
					if r.at <= t {
						sum += r.cpus
					}
				}
				if sum < s.CPUs {
					return false
				}
			}
			return true
		}
		want := math.Inf(1)
		for at := 0.0; at <= 60; at++ {
			if fits(at) {
				want = at
				break
			}
		}
		if got := b.earliestStart(s, math.Inf(1)); got != want {
			t.Fatalf("seed %d: earliest start %g, want %g in %v", seed, got, want, b.changes)
		}
	}
}

// setup returns an Autoscaler, a catalog with one machine type in two zones, and the current time.
func setup() (*Autoscaler, []protocol.MachineType, time.Time) {
	a := New("x", Options{IdleTimeout: 20 * time.Second, SpotShare: 1, SilenceTimeout: 10 * time.Second, BarrierTimeout: 4 * time.Second, OverdueTimeout: 2 * time.Second, UnlistedTimeout: 3 * time.Second, SafetyRunTimes: 1.5})
	return a, []protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, PricePerHour: 2, SpotPricePerHour: 1, BootSeconds: 10, Zones: []string{"a", "b"}}}, time.Unix(10000, 0)
}

// TestScaleOutOnceAndElsewhereWhenRefused: requested machines count as capacity, request names are never reused, and a
// pool that refused a request gets no others for a while.
func TestScaleOutOnceAndElsewhereWhenRefused(t *testing.T) {
	a, types, now := setup()
	spec := &protocol.Submission{CPUs: 8, EstimateSeconds: 10, Spot: true}
	demand := []Demand{{Spec: spec, Count: 3, Due: now.Add(5 * time.Second)}}
	p := a.Decide(types, nil, demand, nil, now, now)
	total := 0
	seen := map[string]bool{}
	for _, r := range p.ScaleOut {
		total += r.Count
		if !r.Spot || seen[r.Request] {
			t.Fatalf("requests %+v, want spot machines under new names", p.ScaleOut)
		}
		seen[r.Request] = true
	}
	if total != 3 {
		t.Fatalf("requests %+v, want three machines", p.ScaleOut)
	}
	if again := a.Decide(types, nil, demand, nil, now, now); len(again.ScaleOut) != 0 {
		t.Fatalf("requests machines again while the first requests are pending: %+v", again.ScaleOut)
	}
	for _, r := range p.ScaleOut {
		a.RecordScaleOut(r, 0, now, true)
	}
	p = a.Decide(types, nil, demand, nil, now, now)
	for _, r := range p.ScaleOut {
		if r.Spot || seen[r.Request] {
			t.Fatalf("after refusals requests %+v", r)
		}
	}
	if len(p.ScaleOut) == 0 {
		t.Fatal("requests no on-demand machines after spot requests were refused")
	}
}

// TestScaleIn: machines are released if they failed, are silent, never booted or have been idle for long, but not if
// they are busy or have been silent only since the set of controllers changed.
func TestScaleIn(t *testing.T) {
	a, types, now := setup()
	old := now.Add(-5 * time.Minute)
	ms := []Machine{
		{Name: "failed", Type: "m8", Zone: "a", ListedState: protocol.HostFailed, AcquiredAt: old},
		{Name: "silent", Type: "m8", Zone: "a", LastHeartbeat: now.Add(-time.Minute), AcquiredAt: old, Registered: true},
		{Name: "stuck", Type: "m8", Zone: "a", ListedState: protocol.HostBooting, AcquiredAt: old},
		{Name: "idle", Type: "m8", Zone: "a", LastHeartbeat: now, IdleSince: now.Add(-time.Minute), AcquiredAt: old, FreeCPUs: 8, FreeMemory: 64},
		{Name: "busy", Type: "m8", Zone: "a", LastHeartbeat: now, AcquiredAt: old},
		{Name: "new", Type: "m8", Zone: "a", ListedState: protocol.HostBooting, AcquiredAt: now},
		{Name: "quiet", Type: "m8", Zone: "a", ListedState: protocol.HostRunning, LastHeartbeat: now.Add(-5 * time.Second), AcquiredAt: old, Registered: true},
		{Name: "taken", Type: "m8", Zone: "a", LastHeartbeat: now.Add(-3500 * time.Millisecond), AcquiredAt: old, Registered: true},
		{Name: "awaited", Type: "m8", Zone: "a", ListedState: protocol.HostRunning, LastHeartbeat: now.Add(-5 * time.Second), AcquiredAt: old, Registered: true, AwaitedByBarrier: true},
	}
	got := a.Decide(types, ms, nil, nil, now, now.Add(-2*time.Minute)).ScaleIn
	if want := []string{"failed", "silent", "stuck", "taken", "awaited", "idle"}; !slices.Equal(got, want) {
		t.Fatalf("releases %v, want %v", got, want)
	}
	// The cloud's list contains a later machine, so the missing one is gone and must not block its owner.
	gone := []Machine{{Name: "gone", Type: "m8", Zone: "a", LastHeartbeat: now.Add(-2 * time.Second), AcquiredAt: old, Registered: true, AwaitedByBarrier: true, SkippedInList: true},
		{Name: "heard", Type: "m8", Zone: "a", LastHeartbeat: now, AcquiredAt: old, Registered: true, AwaitedByBarrier: true, SkippedInList: true},
		{Name: "fresh", Type: "m8", Zone: "a", LastHeartbeat: now.Add(-2 * time.Second), AcquiredAt: old, Registered: true, AwaitedByBarrier: true}}
	if got := a.Decide(types, gone, nil, nil, now, now.Add(-2*time.Minute)).ScaleIn; !slices.Equal(got, []string{"gone"}) {
		t.Fatalf("releases %v of machines that the cloud does not list", got)
	}
	// If only few machines are overdue, their owner does not wait as long for them as it would for many.
	many := make([]Machine, 100)
	for i := range many {
		many[i] = Machine{Name: fmt.Sprintf("n-%03d", i), Type: "m8", Zone: "a", ListedState: protocol.HostRunning, LastHeartbeat: now, AcquiredAt: old, Registered: true, AwaitedByBarrier: true}
	}
	for late := 1; late <= 3; late++ {
		many[late].LastHeartbeat = now.Add(-3 * time.Second)
		want := late
		if late > 2 {
			want = 0
		}
		if got := a.Decide(types, many, nil, nil, now, now.Add(-2*time.Minute)).ScaleIn; len(got) != want {
			t.Fatalf("releases %d of %d overdue machines", len(got), late)
		}
	}
	for i := range ms { // a network partition of many machines must not release them all
		ms[i].AwaitedByBarrier, ms[i].LastHeartbeat, ms[i].ListedState, ms[i].IdleSince = true, now.Add(-5*time.Second), protocol.HostRunning, time.Time{}
	}
	if got := a.Decide(types, ms, nil, nil, now, now.Add(-2*time.Minute)).ScaleIn; len(got) != 0 {
		t.Fatalf("releases %v although most are silent", got)
	}
	ms[1].LastHeartbeat = now.Add(-time.Minute)
	if got := a.Decide(types, ms[1:2], nil, nil, now, now).ScaleIn; len(got) != 0 {
		t.Fatalf("releases %v although it could not have sent a heartbeat yet", got)
	}
}

// TestBinQueueModel places tasks of several shapes, some of them equal, while bins are added. It compares each start
// with a linear search through all bins.
func TestBinQueueModel(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 6))
		var bins, reference []*bin
		for range 1 + rng.IntN(6) {
			b := &bin{changes: []capacityChange{{0, float64(rng.IntN(9)), 0, 100}}}
			for range rng.IntN(4) {
				b.add(capacityChange{at: float64(1 + rng.IntN(10)), cpus: float64(rng.IntN(4))})
			}
			bins = append(bins, b)
			reference = append(reference, &bin{changes: slices.Clone(b.changes)})
		}
		all := forecast{bins: bins, queues: map[taskShape]*binQueue{}}
		for range 6 {
			s := &protocol.Submission{CPUs: float64(1 + rng.IntN(4)), Spot: true}
			run := float64(1 + rng.IntN(5))
			if rng.IntN(3) == 0 {
				b := &bin{changes: []capacityChange{{float64(rng.IntN(4)), float64(rng.IntN(9)), 0, 100}}}
				all.bins = append(all.bins, b)
				reference = append(reference, &bin{changes: slices.Clone(b.changes)})
			}
			queue := all.queueFor(s, false)
			for range 5 {
				var best *bin
				want := math.Inf(1)
				for _, b := range reference {
					if at := b.earliestStart(s, math.Inf(1)); at < want {
						best, want = b, at
					}
				}
				if got := queue.earliestStart(); got != want {
					t.Fatalf("seed %d: earliest start %g, want %g", seed, got, want)
				}
				if best == nil {
					break
				}
				// reserve may place several tasks at once; the linear search places them one by one.
				for took := queue.reserve(run, 1+rng.IntN(4)); took > 0; took-- {
					best, want = nil, math.Inf(1)
					for _, b := range reference {
						if at := b.earliestStart(s, math.Inf(1)); at < want {
							best, want = b, at
						}
					}
					if best == nil {
						t.Fatalf("seed %d: reserved one task more than there is room for", seed)
					}
					best.reserve(s, want, run, 1)
				}
			}
		}
	}
}

// TestScaleInDownToSpareShare guards against keeping hundreds of idle spot machines when work runs out: the longer idle
// timeout of spot machines applies only to a tenth of all machines.
func TestScaleInDownToSpareShare(t *testing.T) {
	for _, c := range []struct{ idle, want int }{{4, 0}, {5, 0}, {6, 1}, {30, 25}} {
		a, types, now := setup() // idle on-demand machines are released after 20 s, spot ones after 40 s
		var ms []Machine
		for i := range 50 {
			m := Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: "a", Spot: true, LastHeartbeat: now, AcquiredAt: now.Add(-time.Hour)}
			if i < c.idle {
				m.IdleSince, m.FreeCPUs, m.FreeMemory = now.Add(-30*time.Second), 8, 64
			}
			ms = append(ms, m)
		}
		if got := a.Decide(types, ms, nil, nil, now, now.Add(-time.Hour)).ScaleIn; len(got) != c.want {
			t.Errorf("%d of 50 idle: releases %d, want %d", c.idle, len(got), c.want)
		}
	}
}

// TestLowPriorityWorkWaitsForSpot: demands with PreferSpot acquire no on-demand machines while other capacity is
// expected, but must not be left without any machine forever.
func TestLowPriorityWorkWaitsForSpot(t *testing.T) {
	busy := func(now time.Time) []Machine {
		return []Machine{{Name: "n-00", Type: "m8", Zone: "a", LastHeartbeat: now, AcquiredAt: now.Add(-time.Hour), Tasks: []RunningTask{{CPUs: 8, SecondsLeft: 100}}}}
	}
	for _, c := range []struct {
		name        string
		preferSpot  bool
		machines    bool
		unavailable bool // spot pools are unavailable
		want        int
	}{{"spot available", true, true, false, 1}, {"no spot", true, true, true, 0}, {"no spot, no machine", true, false, true, 1}, {"others, no spot", false, true, true, 1}} {
		a, types, now := setup()
		if c.unavailable {
			for _, zone := range types[0].Zones {
				a.unavailableUntil[pool{"m8", zone, true}] = now.Add(time.Minute)
			}
		}
		var machines []Machine
		if c.machines {
			machines = busy(now)
		}
		demand := []Demand{{Spec: &protocol.Submission{CPUs: 8, EstimateSeconds: 10, Spot: true}, Count: 1, Due: now, PreferSpot: c.preferSpot}}
		requested := 0
		for _, r := range a.Decide(types, machines, demand, nil, now, now).ScaleOut {
			requested += r.Count
		}
		if requested != c.want {
			t.Errorf("%s: requests %d machines, want %d", c.name, requested, c.want)
		}
	}
}

// TestLowPriorityWorkStartsEventually guards against starvation: every forecast places work of low priority in time
// behind running tasks, but more urgent work then takes that capacity and no machines are ever acquired. Work that does
// not start by its forecast start must get machines.
func TestLowPriorityWorkStartsEventually(t *testing.T) {
	a, types, now := setup()
	low := &protocol.Submission{UID: "low", CPUs: 8, EstimateSeconds: 10, Spot: true}
	began, requested := now, 0
	for ; now.Sub(began) < 3*time.Minute; now = now.Add(500 * time.Millisecond) {
		// New tasks always occupy the two machines for the next 5 s.
		var ms []Machine
		for i := range 2 {
			ms = append(ms, Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: "a", ListedState: protocol.HostRunning, LastHeartbeat: now, AcquiredAt: began, Tasks: []RunningTask{{CPUs: 8, SecondsLeft: 5}}})
		}
		p := a.Decide(types, ms, []Demand{{Spec: low, Count: 1, Due: now.Add(time.Minute)}}, nil, now, began)
		for _, r := range p.ScaleOut {
			requested += r.Count
			a.RecordScaleOut(r, 0, now, false)
		}
		if requested > 0 {
			break
		}
	}
	if after := now.Sub(began); requested != 1 || after < 5*time.Second || after > 50*time.Second {
		t.Fatalf("%d machines requested after %v", requested, after)
	}
}

// TestArrivals: work of low priority that would start in time on the existing machines gets more machines if work of
// higher priority arrives at a rate that would delay it too much.
func TestArrivals(t *testing.T) {
	for cpus, want := range map[float64]int{0: 0, 2: 0, 12: 1} {
		a, types, now := setup()
		var ms []Machine
		for i := range 2 {
			ms = append(ms, Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: "a", ListedState: protocol.HostRunning, LastHeartbeat: now, AcquiredAt: now, Tasks: []RunningTask{{CPUs: 8, SecondsLeft: 20}}})
		}
		low := &protocol.Submission{UID: "low", Priority: "standard", CPUs: 8, EstimateSeconds: 10, Spot: true}
		p := a.Decide(types, ms, []Demand{{Spec: low, Count: 1, Due: now.Add(40 * time.Second)}}, Arrivals{protocol.Rank("high"): cpus, protocol.Rank("low"): 100}, now, now)
		got := 0
		for _, r := range p.ScaleOut {
			got += r.Count
		}
		if got != want {
			t.Errorf("with %g CPUs of higher priority expected: %d machines requested, want %d", cpus, got, want)
		}
	}
}

// TestSpotMachinesWhileGangsWait guards against placing an array in the forecast on on-demand capacity that is reserved
// for a gang of higher priority, so that no machines are acquired for the array and it becomes late. While such a gang
// waits, spot machines are acquired for the array; if none are available, it is placed on the on-demand machines.
func TestSpotMachinesWhileGangsWait(t *testing.T) {
	for _, c := range []struct {
		priority    string
		unavailable bool
		spots       int
	}{{"high", false, 1}, {"low", false, 0}, {"high", true, 0}} {
		a, types, now := setup()
		if c.unavailable {
			for _, zone := range types[0].Zones {
				a.unavailableUntil[pool{"m8", zone, true}] = now.Add(time.Minute)
			}
		}
		var machines []Machine
		for i := range 4 { // their tasks end soon
			machines = append(machines, Machine{Name: fmt.Sprint("n-", i), Type: "m8", Zone: "a", LastHeartbeat: now, AcquiredAt: now.Add(-time.Minute), ListedState: protocol.HostRunning, Registered: true,
				Tasks: []RunningTask{{CPUs: 8, Memory: 64, SecondsLeft: 15, OnDemandOnly: true}}})
		}
		gang := Demand{Spec: &protocol.Submission{UID: "gang", Kind: protocol.Gang, Priority: c.priority, CPUs: 7, EstimateSeconds: 10, OneZone: true}, Count: 2, Due: now.Add(40 * time.Second)}
		array := Demand{Spec: &protocol.Submission{UID: "array", Kind: protocol.JobArray, Priority: "standard", CPUs: 1, EstimateSeconds: 10, Spot: true}, Count: 16, Due: now.Add(40 * time.Second)}
		demands := []Demand{gang, array}
		if c.priority == "low" {
			demands = []Demand{array, gang}
		}
		spots, others := 0, 0
		for _, r := range a.Decide(types, machines, demands, nil, now, now).ScaleOut {
			if r.Spot {
				spots += r.Count
			} else {
				others += r.Count
			}
		}
		if spots != c.spots || others != 0 {
			t.Errorf("%+v: %d spot and %d on-demand machines requested", c, spots, others)
		}
	}
}

// TestGangIsPlacedAsAWhole guards against placing the tasks of a one-zone gang one by one on any machine with room: the
// forecast start is then too early, and machines are acquired in zones that the gang cannot use.
func TestGangIsPlacedAsAWhole(t *testing.T) {
	for _, c := range []struct {
		name        string
		left        []float64 // seconds until each machine of zone a is free, then of zone b
		unavailable string    // zone whose pool is unavailable
		tasks       int
		a, b, late  int // machines requested in zones a and b; seconds until the gang is due
	}{
		{"room in time in one zone", []float64{5, 5}, "", 2, 0, 0, 40},
		{"room only across two zones", []float64{5, 100}, "", 2, 1, 0, 40},
		{"zone with fewer missing machines", []float64{100, 5}, "", 3, 0, 2, 40},
		{"other zone unavailable", []float64{100, 5}, "b", 3, 3, 0, 40},
		{"not urgent", []float64{70, 100}, "", 1, 0, 0, 300},
	} {
		a, types, now := setup()
		if c.unavailable != "" {
			a.unavailableUntil[pool{"m8", c.unavailable, false}] = now.Add(time.Minute)
		}
		var machines []Machine
		for i, zone := range types[0].Zones {
			n := 1
			if i == 0 && c.name == "room in time in one zone" {
				n = 2
			}
			for k := range n {
				machines = append(machines, Machine{Name: fmt.Sprint("n-", zone, k), Type: "m8", Zone: zone, LastHeartbeat: now, AcquiredAt: now.Add(-time.Minute), ListedState: protocol.HostRunning, Registered: true,
					Tasks: []RunningTask{{CPUs: 8, Memory: 64, SecondsLeft: c.left[i], OnDemandOnly: true}}})
			}
		}
		spec := &protocol.Submission{UID: "gang", Kind: protocol.Gang, Priority: "high", CPUs: 7, EstimateSeconds: 10, OneZone: true}
		got := map[string]int{}
		for _, r := range a.Decide(types, machines, []Demand{{Spec: spec, Count: c.tasks, Due: now.Add(time.Duration(c.late) * time.Second)}}, nil, now, now).ScaleOut {
			got[r.Zone] += r.Count
		}
		if got["a"] != c.a || got["b"] != c.b {
			t.Errorf("%s: requested %v, want %d in a and %d in b", c.name, got, c.a, c.b)
		}
	}
}

// TestEarliestStartOfGangModel compares gangZone.earliestStart with a linear scan over time.
func TestEarliestStartOfGangModel(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 17))
		var f forecast
		for range 1 + rng.IntN(4) {
			b := &bin{pool: pool{"m8", []string{"a", "b"}[rng.IntN(2)], false}, changes: []capacityChange{{float64(rng.IntN(4)), float64(rng.IntN(9)), 0, 100}}}
			for range rng.IntN(4) {
				b.add(capacityChange{at: float64(4 + rng.IntN(10)), cpus: float64(rng.IntN(4))})
			}
			f.bins = append(f.bins, b)
		}
		zone, count := "a", 1+rng.IntN(5)
		s := &protocol.Submission{CPUs: float64(1 + rng.IntN(4))}
		want := math.Inf(1)
		for at := 0.0; at <= 20 && math.IsInf(want, 1); at++ {
			room := 0
			for _, b := range f.bins {
				cpus := 0.0
				for _, r := range b.changes {
					if r.at <= at {
						cpus += r.cpus // there are no reservations
					}
				}
				if b.pool.Zone == zone {
					room += int(cpus / s.CPUs)
				}
			}
			if room >= count {
				want = at
			}
		}
		if got := f.gangZones([]protocol.MachineType{{Zones: []string{zone}}}, s, count)[0].at; got != want {
			t.Fatalf("seed %d: %d tasks of %g CPUs start at %g, want %g", seed, count, s.CPUs, got, want)
		}
	}
}

// TestScaleOutRequestsAreOrderedByUrgency: scale-out requests are rate-limited, so they must be ordered by urgency, and
// requests to a pool that has refused another one in the meantime must be recognized as obsolete. Otherwise requests
// for machines that are needed sooner wait behind them.
func TestScaleOutRequestsAreOrderedByUrgency(t *testing.T) {
	for range 20 { // map iteration order is random
		a, types, now := setup()
		types = append(types, protocol.MachineType{Name: "g8", CPUs: 8, GPUs: 2, MemoryGB: 64, PricePerHour: 9, SpotPricePerHour: 5, BootSeconds: 10, Zones: []string{"a"}})
		zone := "b"
		first := Demand{Spec: &protocol.Submission{UID: "1", Priority: "high", CPUs: 8, GPUs: 1, EstimateSeconds: 10}, Count: 1, Due: now}
		then := Demand{Spec: &protocol.Submission{UID: "2", Priority: "high", CPUs: 8, EstimateSeconds: 10, Zone: &zone}, Count: 1, Due: now}
		last := Demand{Spec: &protocol.Submission{UID: "3", Priority: "low", CPUs: 8, EstimateSeconds: 10, Spot: true}, Count: 80, Due: now}
		requests := a.Decide(types, nil, []Demand{first, then, last}, nil, now, now).ScaleOut
		if len(requests) < 4 || requests[0].Type != "g8" || requests[1].Zone != "b" || requests[1].Spot || !requests[2].Spot || !requests[3].Spot {
			t.Fatalf("requests %+v", requests)
		}
		spot := requests[2]
		if a.Obsolete(spot, now) {
			t.Fatal("a request is obsolete before any was refused")
		}
		a.RecordScaleOut(spot, 0, now, true)
		if !a.Obsolete(spot, now) || a.Obsolete(requests[0], now) || a.Obsolete(spot, now.Add(time.Minute)) {
			t.Fatal("a request to a pool that refused one is not obsolete, or another is, or it stays obsolete forever")
		}
	}
}
