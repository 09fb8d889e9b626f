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

// TestEarliestModel compares a bin's answer with a plain walk over time.
func TestEarliestModel(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 5))
		b := &bin{changes: []roomChange{{0, float64(rng.IntN(5)), 0, 100}}}
		for range rng.IntN(6) {
			b.add(roomChange{at: float64(1 + rng.IntN(10)), cpus: float64(rng.IntN(4))})
		}
		s := &protocol.Submission{CPUs: float64(1 + rng.IntN(8))}
		for range rng.IntN(3) {
			if at := b.earliest(s, math.Inf(1)); !math.IsInf(at, 1) {
				b.take(s, at, float64(1+rng.IntN(5)), 1)
			}
		}
		fits := func(at float64) bool { // from then on, for good
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
		if got := b.earliest(s, math.Inf(1)); got != want {
			t.Fatalf("seed %d: %g, plainly %g in %v", seed, got, want, b.changes)
		}
	}
}

func setup() (*Autoscaler, []protocol.MachineType, time.Time) {
	f := New("x", Options{IdleTimeout: 20 * time.Second, SpotShare: 1, SilenceTimeout: 10 * time.Second, BarrierTimeout: 4 * time.Second, OverdueTimeout: 2 * time.Second, UnlistedTimeout: 3 * time.Second, SafetyRunTimes: 1.5})
	return f, []protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, PricePerHour: 2, SpotPricePerHour: 1, BootSeconds: 10, Zones: []string{"a", "b"}}}, time.Unix(10000, 0)
}

// TestScaleOutOnceAndElsewhereWhenRefused: machines on their way count, names are
// never reused, and a pool without capacity is left alone for a while.
func TestScaleOutOnceAndElsewhereWhenRefused(t *testing.T) {
	f, types, now := setup()
	spec := &protocol.Submission{CPUs: 8, EstimateSeconds: 10, Spot: true}
	demand := []Demand{{Spec: spec, Count: 3, Due: now.Add(5 * time.Second)}}
	p := f.Decide(types, nil, demand, nil, now, now)
	total := 0
	seen := map[string]bool{}
	for _, r := range p.ScaleOut {
		total += r.Count
		if !r.Spot || seen[r.Request] {
			t.Fatalf("rents %+v", p.ScaleOut)
		}
		seen[r.Request] = true
	}
	if total != 3 {
		t.Fatalf("rents %+v for three machines' worth", p.ScaleOut)
	}
	if again := f.Decide(types, nil, demand, nil, now, now); len(again.ScaleOut) != 0 {
		t.Fatalf("rents again while the first is under way: %+v", again.ScaleOut)
	}
	for _, r := range p.ScaleOut {
		f.RecordScaleOut(r, 0, now, true)
	}
	p = f.Decide(types, nil, demand, nil, now, now)
	for _, r := range p.ScaleOut {
		if r.Spot || seen[r.Request] {
			t.Fatalf("after refusals rents %+v", r)
		}
	}
	if len(p.ScaleOut) == 0 {
		t.Fatal("rents nothing on demand when spot is out")
	}
}

// TestScaleIn: failed, silent, never booted and long idle machines go back; busy
// ones and those silent only since the controllers changed do not.
func TestScaleIn(t *testing.T) {
	f, types, now := setup()
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
	got := f.Decide(types, ms, nil, nil, now, now.Add(-2*time.Minute)).ScaleIn
	if want := []string{"failed", "silent", "stuck", "taken", "awaited", "idle"}; !slices.Equal(got, want) {
		t.Fatalf("returns %v, want %v", got, want)
	}
	// The cloud's list has a later one: that machine is gone, and holds up its owner.
	gone := []Machine{{Name: "gone", Type: "m8", Zone: "a", LastHeartbeat: now.Add(-2 * time.Second), AcquiredAt: old, Registered: true, AwaitedByBarrier: true, SkippedInList: true},
		{Name: "heard", Type: "m8", Zone: "a", LastHeartbeat: now, AcquiredAt: old, Registered: true, AwaitedByBarrier: true, SkippedInList: true},
		{Name: "fresh", Type: "m8", Zone: "a", LastHeartbeat: now.Add(-2 * time.Second), AcquiredAt: old, Registered: true, AwaitedByBarrier: true}}
	if got := f.Decide(types, gone, nil, nil, now, now.Add(-2*time.Minute)).ScaleIn; !slices.Equal(got, []string{"gone"}) {
		t.Fatalf("returns %v of machines that the cloud does not list", got)
	}
	// One machine of many held up its owner for as long as a tenth of them would.
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
		if got := f.Decide(types, many, nil, nil, now, now.Add(-2*time.Minute)).ScaleIn; len(got) != want {
			t.Fatalf("returns %d of %d machines that are late", len(got), late)
		}
	}
	for i := range ms { // a cut of many machines must not cost all of them
		ms[i].AwaitedByBarrier, ms[i].LastHeartbeat, ms[i].ListedState, ms[i].IdleSince = true, now.Add(-5*time.Second), protocol.HostRunning, time.Time{}
	}
	if got := f.Decide(types, ms, nil, nil, now, now.Add(-2*time.Minute)).ScaleIn; len(got) != 0 {
		t.Fatalf("returns %v though most are silent", got)
	}
	ms[1].LastHeartbeat = now.Add(-time.Minute)
	if got := f.Decide(types, ms[1:2], nil, nil, now, now).ScaleIn; len(got) != 0 {
		t.Fatalf("returns %v though nobody could hear it yet", got)
	}
}

// TestLineModel compares the order in which tasks of a few shapes, some of them alike, find
// room with a plain search through all bins for each of them, while bins come.
func TestLineModel(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 6))
		var bins, plain []*bin
		for range 1 + rng.IntN(6) {
			b := &bin{changes: []roomChange{{0, float64(rng.IntN(9)), 0, 100}}}
			for range rng.IntN(4) {
				b.add(roomChange{at: float64(1 + rng.IntN(10)), cpus: float64(rng.IntN(4))})
			}
			bins = append(bins, b)
			plain = append(plain, &bin{changes: slices.Clone(b.changes)})
		}
		all := layout{bins: bins, lines: map[shape]*line{}}
		for range 6 {
			s := &protocol.Submission{CPUs: float64(1 + rng.IntN(4)), Spot: true}
			run := float64(1 + rng.IntN(5))
			if rng.IntN(3) == 0 {
				b := &bin{changes: []roomChange{{float64(rng.IntN(4)), float64(rng.IntN(9)), 0, 100}}}
				all.bins = append(all.bins, b)
				plain = append(plain, &bin{changes: slices.Clone(b.changes)})
			}
			l := all.line(s, false)
			for range 5 {
				var best *bin
				want := math.Inf(1)
				for _, b := range plain {
					if at := b.earliest(s, math.Inf(1)); at < want {
						best, want = b, at
					}
				}
				if got := l.soonest(); got != want {
					t.Fatalf("seed %d: %g, plainly %g", seed, got, want)
				}
				if best == nil {
					break
				}
				// However many it takes at once, the plain search takes them one by one.
				for took := l.take(run, 1+rng.IntN(4)); took > 0; took-- {
					best, want = nil, math.Inf(1)
					for _, b := range plain {
						if at := b.earliest(s, math.Inf(1)); at < want {
							best, want = b, at
						}
					}
					if best == nil {
						t.Fatalf("seed %d: room for one more than there is", seed)
					}
					best.take(s, want, run, 1)
				}
			}
		}
	}
}

// TestScaleInMoreOfMany: cheap machines are kept through a lull, but when work
// runs out hundreds stood idle for as long: they go back down to a tenth of all.
func TestScaleInMoreOfMany(t *testing.T) {
	for _, c := range []struct{ idle, want int }{{4, 0}, {5, 0}, {6, 1}, {30, 25}} {
		f, types, now := setup() // idle ordinary machines go after 20 s, spot ones after 40 s
		var ms []Machine
		for i := range 50 {
			m := Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: "a", Spot: true, LastHeartbeat: now, AcquiredAt: now.Add(-time.Hour)}
			if i < c.idle {
				m.IdleSince, m.FreeCPUs, m.FreeMemory = now.Add(-30*time.Second), 8, 64
			}
			ms = append(ms, m)
		}
		if got := f.Decide(types, ms, nil, nil, now, now.Add(-time.Hour)).ScaleIn; len(got) != c.want {
			t.Errorf("%d of 50 idle: returns %d, want %d", c.idle, len(got), c.want)
		}
	}
}

// TestLowPriorityWorkWaitsForSpot: work of the lowest priority that nobody waits
// for fills idle room and cheap machines. It must neither take ordinary ones while
// other room will come, nor be left without any machine for ever.
func TestLowPriorityWorkWaitsForSpot(t *testing.T) {
	busy := func(now time.Time) []Machine {
		return []Machine{{Name: "n-00", Type: "m8", Zone: "a", LastHeartbeat: now, AcquiredAt: now.Add(-time.Hour), Tasks: []RunningTask{{CPUs: 8, SecondsLeft: 100}}}}
	}
	for _, c := range []struct {
		name     string
		cheap    bool
		machines bool
		shut     bool // spot machines are refused
		want     int
	}{{"spot to be had", true, true, false, 1}, {"no spot", true, true, true, 0}, {"no spot, no machine", true, false, true, 1}, {"others, no spot", false, true, true, 1}} {
		f, types, now := setup()
		if c.shut {
			for _, zone := range types[0].Zones {
				f.unavailableUntil[pool{"m8", zone, true}] = now.Add(time.Minute)
			}
		}
		var machines []Machine
		if c.machines {
			machines = busy(now)
		}
		demand := []Demand{{Spec: &protocol.Submission{CPUs: 8, EstimateSeconds: 10, Spot: true}, Count: 1, Due: now, PreferSpot: c.cheap}}
		rented := 0
		for _, r := range f.Decide(types, machines, demand, nil, now, now).ScaleOut {
			rented += r.Count
		}
		if rented != c.want {
			t.Errorf("%s: rents %d, want %d", c.name, rented, c.want)
		}
	}
}

// TestLowPriorityWorkStartsEventually: work of low priority was laid out behind what runs, within
// its time, at every look; meanwhile more urgent work came and took those places, and
// nothing was ever rented. What did not start as laid out must get machines.
func TestLowPriorityWorkStartsEventually(t *testing.T) {
	f, types, now := setup()
	low := &protocol.Submission{UID: "low", CPUs: 8, EstimateSeconds: 10, Spot: true}
	began, rented := now, 0
	for ; now.Sub(began) < 3*time.Minute; now = now.Add(500 * time.Millisecond) {
		// The two machines are always taken by newcomers for the next 5 s.
		var ms []Machine
		for i := range 2 {
			ms = append(ms, Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: "a", ListedState: protocol.HostRunning, LastHeartbeat: now, AcquiredAt: began, Tasks: []RunningTask{{CPUs: 8, SecondsLeft: 5}}})
		}
		p := f.Decide(types, ms, []Demand{{Spec: low, Count: 1, Due: now.Add(time.Minute)}}, nil, now, began)
		for _, r := range p.ScaleOut {
			rented += r.Count
			f.RecordScaleOut(r, 0, now, false)
		}
		if rented > 0 {
			break
		}
	}
	if after := now.Sub(began); rented != 1 || after < 5*time.Second || after > 50*time.Second {
		t.Fatalf("%d machines rented after %v", rented, after)
	}
}

// TestArrivals: work of low priority that starts within its time on the machines there
// are, if nothing else comes, must get machines where so much of higher priority keeps
// coming that it would not.
func TestArrivals(t *testing.T) {
	for cpus, want := range map[float64]int{0: 0, 2: 0, 12: 1} {
		f, types, now := setup()
		var ms []Machine
		for i := range 2 {
			ms = append(ms, Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: "a", ListedState: protocol.HostRunning, LastHeartbeat: now, AcquiredAt: now, Tasks: []RunningTask{{CPUs: 8, SecondsLeft: 20}}})
		}
		low := &protocol.Submission{UID: "low", Priority: "standard", CPUs: 8, EstimateSeconds: 10, Spot: true}
		p := f.Decide(types, ms, []Demand{{Spec: low, Count: 1, Due: now.Add(40 * time.Second)}}, Arrivals{protocol.Rank("high"): cpus, protocol.Rank("low"): 100}, now, now)
		got := 0
		for _, r := range p.ScaleOut {
			got += r.Count
		}
		if got != want {
			t.Errorf("with %g CPUs of higher priority to come: %d machines rented, not %d", cpus, got, want)
		}
	}
}

// TestSpotMachinesWhileGangsWait: an array was laid out on ordinary machines in the room that is kept for a gang
// of higher priority; nothing was rented for it and it waited until it was late. While such a gang waits, the array
// gets spot machines in time; where there are none to be had it is laid out on the ordinary ones as before.
func TestSpotMachinesWhileGangsWait(t *testing.T) {
	for _, c := range []struct {
		priority string
		shut     bool
		spots    int
	}{{"high", false, 1}, {"low", false, 0}, {"high", true, 0}} {
		f, types, now := setup()
		if c.shut {
			for _, zone := range types[0].Zones {
				f.unavailableUntil[pool{"m8", zone, true}] = now.Add(time.Minute)
			}
		}
		var machines []Machine
		for i := range 4 { // whose tasks end soon
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
		for _, r := range f.Decide(types, machines, demands, nil, now, now).ScaleOut {
			if r.Spot {
				spots += r.Count
			} else {
				others += r.Count
			}
		}
		if spots != c.spots || others != 0 {
			t.Errorf("%+v: %d spot machines and %d others rented", c, spots, others)
		}
	}
}

// TestGangIsPlacedAsAWhole: tasks of a gang of one zone were laid out one by one on whatever machine had room, so that it
// seemed to start long before it could, and machines were rented for it in all zones, of which it can use one.
func TestGangIsPlacedAsAWhole(t *testing.T) {
	for _, c := range []struct {
		name       string
		left       []float64 // seconds until each machine of zone a is free, then of zone b
		shut       string    // a zone without machines to give
		tasks      int
		a, b, late int // rented there, and how late the gang may be
	}{
		{"room in time in one zone", []float64{5, 5}, "", 2, 0, 0, 40},
		{"room in two zones is no room", []float64{5, 100}, "", 2, 1, 0, 40},
		{"the zone that lacks less", []float64{100, 5}, "", 3, 0, 2, 40},
		{"the other zone has none to give", []float64{100, 5}, "b", 3, 3, 0, 40},
		{"it has time", []float64{70, 100}, "", 1, 0, 0, 300},
	} {
		f, types, now := setup()
		if c.shut != "" {
			f.unavailableUntil[pool{"m8", c.shut, false}] = now.Add(time.Minute)
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
		for _, r := range f.Decide(types, machines, []Demand{{Spec: spec, Count: c.tasks, Due: now.Add(time.Duration(c.late) * time.Second)}}, nil, now, now).ScaleOut {
			got[r.Zone] += r.Count
		}
		if got["a"] != c.a || got["b"] != c.b {
			t.Errorf("%s: rented %v, want %d in a and %d in b", c.name, got, c.a, c.b)
		}
	}
}

// TestEarliestStartModel compares when a gang has room at the same time with a plain walk over time.
func TestEarliestStartModel(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 17))
		var l layout
		for range 1 + rng.IntN(4) {
			b := &bin{pool: pool{"m8", []string{"a", "b"}[rng.IntN(2)], false}, changes: []roomChange{{float64(rng.IntN(4)), float64(rng.IntN(9)), 0, 100}}}
			for range rng.IntN(4) {
				b.add(roomChange{at: float64(4 + rng.IntN(10)), cpus: float64(rng.IntN(4))})
			}
			l.bins = append(l.bins, b)
		}
		zone, count := "a", 1+rng.IntN(5)
		s := &protocol.Submission{CPUs: float64(1 + rng.IntN(4))}
		want := math.Inf(1)
		for at := 0.0; at <= 20 && math.IsInf(want, 1); at++ {
			room := 0
			for _, b := range l.bins {
				cpus := 0.0
				for _, r := range b.changes {
					if r.at <= at {
						cpus += r.cpus // nothing is taken later
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
		if got := l.gangPlaces([]protocol.MachineType{{Zones: []string{zone}}}, s, count)[0].at; got != want {
			t.Fatalf("seed %d: %d tasks of %g CPUs after %g, plainly %g", seed, count, s.CPUs, got, want)
		}
	}
}

// TestScaleOutRequestsGoByUrgency: requests for machines are paced, and went out in any order; those that waited for their turn
// went to places that had refused one meanwhile, and held up what was needed sooner.
func TestScaleOutRequestsGoByUrgency(t *testing.T) {
	for range 20 { // the order was that of a map
		f, types, now := setup()
		types = append(types, protocol.MachineType{Name: "g8", CPUs: 8, GPUs: 2, MemoryGB: 64, PricePerHour: 9, SpotPricePerHour: 5, BootSeconds: 10, Zones: []string{"a"}})
		zone := "b"
		first := Demand{Spec: &protocol.Submission{UID: "1", Priority: "high", CPUs: 8, GPUs: 1, EstimateSeconds: 10}, Count: 1, Due: now}
		then := Demand{Spec: &protocol.Submission{UID: "2", Priority: "high", CPUs: 8, EstimateSeconds: 10, Zone: &zone}, Count: 1, Due: now}
		last := Demand{Spec: &protocol.Submission{UID: "3", Priority: "low", CPUs: 8, EstimateSeconds: 10, Spot: true}, Count: 80, Due: now}
		rents := f.Decide(types, nil, []Demand{first, then, last}, nil, now, now).ScaleOut
		if len(rents) < 4 || rents[0].Type != "g8" || rents[1].Zone != "b" || rents[1].Spot || !rents[2].Spot || !rents[3].Spot {
			t.Fatalf("requests %+v", rents)
		}
		spot := rents[2]
		if f.Obsolete(spot, now) {
			t.Fatal("a request is pointless before anything was refused")
		}
		f.RecordScaleOut(spot, 0, now, true)
		if !f.Obsolete(spot, now) || f.Obsolete(rents[0], now) || f.Obsolete(spot, now.Add(time.Minute)) {
			t.Fatal("a request to a place that refused one is not pointless, or another is, or for ever")
		}
	}
}
