package autoscaler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// TestRetireModel changes the load of machines at random. When a machine is retired, the free capacity of the kept
// machines must suffice for the tasks of the retired ones, the waiting tasks and the reserve. Spot machines and
// machines that run on-demand-only tasks are never retired, nor is any machine while more tasks wait than fit.
func TestRetireModel(t *testing.T) {
	retired, back := 0, 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 7))
		a, types, now := setup()
		byType := map[string]*protocol.MachineType{"m8": &types[0]}
		ms := make([]*Machine, 40)
		for i := range ms {
			ms[i] = &Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: "a", Spot: i%2 == 0, LastHeartbeat: now, AcquiredAt: now.Add(-time.Hour)}
		}
		for range 40 {
			busy := rng.Float64()
			for _, m := range ms {
				used := 0.0
				m.Tasks = nil
				for used < 8 && rng.Float64() < busy {
					m.Tasks = append(m.Tasks, RunningTask{CPUs: 2, SecondsLeft: 10, OnDemandOnly: rng.IntN(12) == 0})
					used += 2
				}
				m.FreeCPUs, m.FreeMemory = 8-used, 64
			}
			var demands []Demand
			wait := 0.0
			if rng.IntN(3) == 0 {
				wait = float64(rng.IntN(60))
				demands = []Demand{{Spec: &protocol.Submission{CPUs: 2, Spot: true}, Count: int(wait), Due: now}}
			}
			before := len(a.retired)
			a.retire(ms, byType, demands, now)
			room, kept := -wait/4, 0.0
			for _, m := range ms {
				switch {
				case !a.retired[m.Name]:
					room += m.FreeCPUs / 8
					kept++
				case m.Spot:
					t.Fatalf("seed %d: spot machine retired", seed)
				default:
					room -= 1 - m.FreeCPUs/8
				}
			}
			if len(a.retired) > before {
				retired++
				if room < freeReserveShare*kept {
					t.Fatalf("seed %d: %d retired, but the others have a free capacity of only %.1f machines", seed, len(a.retired), room)
				}
			}
			if len(a.retired) < before {
				back++
			}
			if len(a.retired) > 0 && room < freeReserveShare*kept {
				t.Fatalf("seed %d: %d machines stay retired with a free capacity of %.1f machines", seed, len(a.retired), room)
			}
		}
	}
	if retired == 0 || back == 0 {
		t.Fatalf("%d times retired, %d times returned to service", retired, back)
	}
}

// TestRetiredMachinesAreScaledIn guards against partly used on-demand machines that never become idle although spot
// machines have room for their work. Such a machine is retired: it gets no more tasks, does not count as capacity and
// is released when its tasks have ended. While work that may not use spot machines waits, no machine is retired.
func TestRetiredMachinesAreScaledIn(t *testing.T) {
	a, types, now := setup()
	var ms []Machine
	for i := range 10 {
		ms = append(ms, Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: "a", Spot: i > 0, ListedState: protocol.HostRunning, LastHeartbeat: now,
			AcquiredAt: now.Add(-time.Hour), FreeCPUs: 4, FreeMemory: 32, Tasks: []RunningTask{{CPUs: 4, Memory: 32, SecondsLeft: 30}}})
	}
	onDemandOnly := []Demand{{Spec: &protocol.Submission{CPUs: 1, EstimateSeconds: 5}, Count: 1, Due: now.Add(time.Hour)}}
	if p := a.Decide(types, ms, onDemandOnly, nil, now, now); len(p.Retire) != 0 {
		t.Fatalf("retires %v while on-demand-only work waits", p.Retire)
	}
	if p := a.Decide(types, ms, nil, nil, now, now); !slices.Equal(p.Retire, []string{"n-00"}) || len(p.ScaleIn) != 0 {
		t.Fatalf("retires %v, releases %v", p.Retire, p.ScaleIn)
	}
	a.scaledOutAt = now // no machine is retired right after a scale-out
	delete(a.retired, "n-00")
	if p := a.Decide(types, ms, nil, nil, now, now); len(p.Retire) != 0 {
		t.Fatalf("retires %v right after a scale-out", p.Retire)
	}
	a.scaledOutAt = time.Time{}
	if p := a.Decide(types, ms, nil, nil, now, now); len(p.Retire) != 1 {
		t.Fatalf("retires %v later", p.Retire)
	}
	ms[0].FreeCPUs, ms[0].FreeMemory, ms[0].Tasks, ms[0].IdleSince = 8, 64, nil, now.Add(-time.Second)
	if p := a.Decide(types, ms, nil, nil, now, now); !slices.Equal(p.ScaleIn, []string{"n-00"}) {
		t.Fatalf("releases %v, want the idle retired machine", p.ScaleIn)
	}
}

// TestMachinesOfPartitionedZonesAreKept: if most machines of a zone become silent at once, the zone's network has
// probably failed. Releasing them after the lease would lose their tasks and images and acquire new machines. If only a
// few become silent, they are released as usual.
func TestMachinesOfPartitionedZonesAreKept(t *testing.T) {
	a, types, now := setup()
	a.options.PartitionedZoneTimeout = 30 * time.Second
	silent := func(zone string, count int, quiet time.Duration) int {
		var ms []Machine
		for i := range 20 {
			m := Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: []string{"a", "b"}[i%2], ListedState: protocol.HostRunning, LastHeartbeat: now, AcquiredAt: now.Add(-time.Hour)}
			if m.Zone == zone && count > 0 {
				m.LastHeartbeat, count = now.Add(-quiet), count-1
			}
			ms = append(ms, m)
		}
		return len(a.Decide(types, ms, nil, nil, now, now.Add(-time.Hour)).ScaleIn)
	}
	for _, x := range []struct {
		count    int
		quiet    time.Duration
		released int
	}{{10, 20 * time.Second, 0}, {8, 20 * time.Second, 0}, {10, 31 * time.Second, 10}, {5, 20 * time.Second, 5}, {1, 20 * time.Second, 1}} {
		if got := silent("b", x.count, x.quiet); got != x.released {
			t.Errorf("%d of 10 machines of a zone silent for %v: %d released, want %d", x.count, x.quiet, got, x.released)
		}
	}
}

// drawConstrained returns random machines of two types in three zones, and waiting tasks with random constraints.
func drawConstrained(rng *rand.Rand, types []protocol.MachineType, now time.Time) (machines []*Machine, demands []Demand) {
	for i := range 4 + rng.IntN(20) {
		t := &types[rng.IntN(len(types))]
		m := &Machine{Name: fmt.Sprintf("n-%02d", i), Type: t.Name, Zone: t.Zones[rng.IntN(3)], Spot: rng.IntN(3) > 0, LastHeartbeat: now, AcquiredAt: now.Add(-time.Hour)}
		m.FreeCPUs, m.FreeGPUs, m.FreeMemory = t.CPUs*rng.Float64(), t.GPUs*float64(rng.IntN(2)), t.MemoryGB*rng.Float64()
		m.Tasks = []RunningTask{{CPUs: t.CPUs - m.FreeCPUs, GPUs: t.GPUs - m.FreeGPUs, Memory: t.MemoryGB - m.FreeMemory, SecondsLeft: []float64{30, ServiceRunSeconds}[rng.IntN(8)/7]}}
		machines = append(machines, m)
	}
	for i := range rng.IntN(4) {
		s := &protocol.Submission{UID: fmt.Sprintf("job-%06d", i), Kind: protocol.JobArray, Tasks: 1 + rng.IntN(4), CPUs: float64(1 + rng.IntN(4)),
			MemoryGB: float64(rng.IntN(40)), Spot: true, EstimateSeconds: 10}
		switch rng.IntN(6) {
		case 0, 1:
			s.Zone = &types[0].Zones[rng.IntN(3)]
		case 2:
			s.Types = []string{types[rng.IntN(len(types))].Name}
		case 3:
			s.OneZone, s.Kind = true, protocol.Gang
		case 4:
			s.Spread = true
		case 5:
			s.GPUs = 1
		}
		demands = append(demands, Demand{Spec: s, Count: s.Tasks, Due: now})
	}
	return machines, demands
}

// fitsAlone counts the tasks of a job that the machines have room for at the same time if nothing else waits.
func fitsAlone(machines []*Machine, s *protocol.Submission) (count int) {
	for _, m := range machines {
		if allowed(s, m.Type, m.Zone, m.Spot) {
			count += s.TasksThatFit(m.FreeCPUs, m.FreeGPUs, m.FreeMemory)
		}
	}
	return count
}

// TestRetiredMachinesThatWaitingTasksNeed guards against a job that waits for ever beside a machine that is held back,
// because the kept machines in sum have room that the job cannot use (review/3 without trouble). After each decision, no
// machine is held back that has room for a task which a slow plain count shows not to fit on the kept ones.
func TestRetiredMachinesThatWaitingTasksNeed(t *testing.T) {
	retired, needed := 0, 0
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 11))
		a, _, now := setup()
		types := []protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, PricePerHour: 2, SpotPricePerHour: 1, Zones: []string{"a", "b", "c"}},
			{Name: "g16", CPUs: 16, GPUs: 2, MemoryGB: 128, PricePerHour: 4, SpotPricePerHour: 2, Zones: []string{"a", "b", "c"}}}
		machines, demands := drawConstrained(rng, types, now)
		byType := map[string]*protocol.MachineType{"m8": &types[0], "g16": &types[1]}
		a.retire(machines, byType, nil, now)
		retired += len(a.retired)
		before := len(a.retired)
		a.retire(machines, byType, demands, now)
		a.returnNeeded(machines, types, demands, now)
		needed += before - len(a.retired)
		var kept, held []*Machine
		for _, m := range machines {
			if !a.retired[m.Name] {
				kept = append(kept, m)
				continue
			}
			held = append(held, m)
			if m.Tasks[0].SecondsLeft >= ServiceRunSeconds {
				t.Fatalf("seed %d: a machine that runs a service is held back", seed)
			}
		}
		for _, d := range demands {
			whole := fitsAlone(kept, d.Spec) >= d.Count && !d.Spec.OneZone && !d.Spec.Spread
			zonesThatFit := 0
			for i := range types[0].Zones {
				zoned := *d.Spec
				if zoned.Zone == nil {
					zoned.Zone = &types[0].Zones[i]
				}
				fits := fitsAlone(kept, &zoned) >= d.Count
				if fits {
					zonesThatFit++
				}
				if !whole && !fits && (d.Spec.Spread || zonesThatFit == 0 && i == 2) && fitsAlone(held, &zoned) > 0 {
					t.Fatalf("seed %d: %d tasks of %+v do not fit on the kept machines, and one that fits is held back", seed, d.Count, *d.Spec)
				}
			}
		}
	}
	if retired == 0 || needed == 0 {
		t.Errorf("%d machines were retired and %d returned for waiting tasks", retired, needed)
	}
}

// TestRetiredMachineForWorkThatWaitsLong: work that waits although the kept machines have room for it cannot use them, for
// a reason that is unknown here. The machine that is held back returns to service.
func TestRetiredMachineForWorkThatWaitsLong(t *testing.T) {
	a, types, now := setup()
	var machines []*Machine
	for i := range 4 {
		machines = append(machines, &Machine{Name: fmt.Sprint("n-", i), Type: "m8", Zone: "a", Spot: i > 0, FreeCPUs: 8, FreeMemory: 64})
	}
	demands := []Demand{{Spec: &protocol.Submission{UID: "job-000001", CPUs: 2, Spot: true}, Count: 1, Due: now}}
	for _, x := range []struct {
		after   time.Duration
		retired bool
	}{{0, true}, {maxWaitForKept - 1, true}, {maxWaitForKept, false}} {
		a.retired = map[string]bool{"n-0": true}
		a.returnNeeded(machines, types, demands, now.Add(x.after))
		if a.retired["n-0"] != x.retired {
			t.Errorf("after %v: held back %v, want %v", x.after, !x.retired, x.retired)
		}
	}
	a.retired = map[string]bool{"n-0": true}
	a.returnNeeded(machines, types, nil, now.Add(time.Minute))
	if a.returnNeeded(machines, types, demands, now.Add(time.Minute)); !a.retired["n-0"] {
		t.Error("an earlier wait counts although nothing waited in between")
	}
}

// TestHeldMachineStaysInService guards against the release of a machine that holds room for a gang which waits for its image
// elsewhere: the next attempt would have to fetch the image on another machine.
func TestHeldMachineStaysInService(t *testing.T) {
	for _, held := range []bool{false, true} {
		a, types, now := setup()
		old := now.Add(-time.Hour)
		ms := []Machine{{Name: "n-0", Type: "m8", Zone: "a", LastHeartbeat: now, IdleSince: old, AcquiredAt: old, FreeCPUs: 8, FreeMemory: 64},
			{Name: "n-1", Type: "m8", Zone: "a", LastHeartbeat: now, AcquiredAt: old, FreeCPUs: 7, FreeMemory: 64}}
		demand := Demand{Spec: &protocol.Submission{CPUs: 8, Spot: true}}
		if held {
			demand.Held = []string{"n-0"}
		}
		a.retired["n-0"] = true
		plan := a.Decide(types, ms, []Demand{demand}, nil, now, old)
		if released := slices.Contains(plan.ScaleIn, "n-0"); released == held || held && slices.Contains(plan.Retire, "n-0") {
			t.Errorf("held %v: releases %v, retires %v", held, plan.ScaleIn, plan.Retire)
		}
	}
}

// TestIdleMachineForWaitingGangStaysInService guards against idle machines that are released while a gang waits for others
// that boot late: by the time those are up the first ones are gone, and the gang never has room for all of its tasks. That
// holds also while the cloud refuses all requests.
func TestIdleMachineForWaitingGangStaysInService(t *testing.T) {
	for _, c := range []struct{ waits, refused bool }{{false, false}, {true, false}, {true, true}} {
		a, types, now := setup()
		types[0].Zones = []string{"a"}
		old := now.Add(-time.Hour)
		ms := []Machine{{Name: "idle", Type: "m8", Zone: "a", LastHeartbeat: now, IdleSince: old, AcquiredAt: old, FreeCPUs: 8, FreeMemory: 64},
			{Name: "boots", Type: "m8", Zone: "a", ListedState: protocol.HostBooting, AcquiredAt: now.Add(-5 * time.Second)}}
		if c.refused {
			for _, spot := range []bool{true, false} {
				a.RecordScaleOut(protocol.ScaleOutRequest{Type: "m8", Zone: "a", Spot: spot, Count: 1}, 0, now, true)
			}
		}
		var demands []Demand
		if c.waits {
			gang := &protocol.Submission{UID: "job-000001", Kind: protocol.Gang, Tasks: 2, CPUs: 8, EstimateSeconds: 60, OneZone: true, Spot: true}
			demands = []Demand{{Spec: gang, Count: 2, Due: now.Add(time.Hour)}}
		}
		plan := a.Decide(types, ms, demands, nil, now, old)
		if released := slices.Contains(plan.ScaleIn, "idle"); released == c.waits || len(plan.ScaleOut) > 0 {
			t.Errorf("%+v: releases %v, acquires %v", c, plan.ScaleIn, plan.ScaleOut)
		}
	}
}
