package autoscaler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// TestRetireModel lets machines fill and empty at random. Whatever is retired, the
// kept machines' free room must at the moment of a retirement take all that the
// retired ones run and what waits; cheap machines, and those that run what may not
// use them, are never retired; nor is any when work waits beyond the room.
func TestRetireModel(t *testing.T) {
	retired, back := 0, 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 7))
		f, types, now := setup()
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
			before := len(f.retired)
			f.retire(ms, byType, demands, now)
			room, kept := -wait/4, 0.0
			for _, m := range ms {
				switch {
				case !f.retired[m.Name]:
					room += m.FreeCPUs / 8
					kept++
				case m.Spot:
					t.Fatalf("seed %d: cheap machine retired", seed)
				default:
					room -= 1 - m.FreeCPUs/8
				}
			}
			if len(f.retired) > before {
				retired++
				if room < freeReserve*kept {
					t.Fatalf("seed %d: %d retired, and the others have %.1f machines of room left", seed, len(f.retired), room)
				}
			}
			if len(f.retired) < before {
				back++
			}
			if len(f.retired) > 0 && room < freeReserve*kept {
				t.Fatalf("seed %d: %d machines stay retired with %.1f machines of room", seed, len(f.retired), room)
			}
		}
	}
	if retired == 0 || back == 0 {
		t.Fatalf("%d times retired, %d times taken back", retired, back)
	}
}

// TestRetiredMachinesAreScaledIn: a machine that is used in part never fell idle, so that dear
// machines stayed all day beside cheap ones with room. It must get nothing more, be
// no room for what waits, and go back when its work is over. Work that may not use
// cheap machines keeps the dear ones.
func TestRetiredMachinesAreScaledIn(t *testing.T) {
	f, types, now := setup()
	var ms []Machine
	for i := range 10 {
		ms = append(ms, Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: "a", Spot: i > 0, ListedState: protocol.HostRunning, LastHeartbeat: now,
			AcquiredAt: now.Add(-time.Hour), FreeCPUs: 4, FreeMemory: 32, Tasks: []RunningTask{{CPUs: 4, Memory: 32, SecondsLeft: 30}}})
	}
	pinned := []Demand{{Spec: &protocol.Submission{CPUs: 1, EstimateSeconds: 5}, Count: 1, Due: now.Add(time.Hour)}}
	if p := f.Decide(types, ms, pinned, nil, now, now); len(p.Retire) != 0 {
		t.Fatalf("retires %v while work waits that may use nothing else", p.Retire)
	}
	if p := f.Decide(types, ms, nil, nil, now, now); !slices.Equal(p.Retire, []string{"n-00"}) || len(p.ScaleIn) != 0 {
		t.Fatalf("retires %v, returns %v", p.Retire, p.ScaleIn)
	}
	f.scaledOutAt = now // what was just rented is not given back
	delete(f.retired, "n-00")
	if p := f.Decide(types, ms, nil, nil, now, now); len(p.Retire) != 0 {
		t.Fatalf("retires %v right after a rental", p.Retire)
	}
	f.scaledOutAt = time.Time{}
	if p := f.Decide(types, ms, nil, nil, now, now); len(p.Retire) != 1 {
		t.Fatalf("retires %v later", p.Retire)
	}
	ms[0].FreeCPUs, ms[0].FreeMemory, ms[0].Tasks, ms[0].IdleSince = 8, 64, nil, now.Add(-time.Second)
	if p := f.Decide(types, ms, nil, nil, now, now); !slices.Equal(p.ScaleIn, []string{"n-00"}) {
		t.Fatalf("returns %v of an idle retired machine", p.ScaleIn)
	}
}

// TestMachinesOfACutZoneAreKept: when nearly all machines of a zone fall silent at once, it is the
// zone's network. They were returned after a worker's lease, with all that they ran
// and with their images, and rented anew. A few that fall silent are returned as ever.
func TestMachinesOfACutZoneAreKept(t *testing.T) {
	f, types, now := setup()
	f.options.PartitionedZoneTimeout = 30 * time.Second
	silent := func(zone string, count int, quiet time.Duration) int {
		var ms []Machine
		for i := range 20 {
			m := Machine{Name: fmt.Sprintf("n-%02d", i), Type: "m8", Zone: []string{"a", "b"}[i%2], ListedState: protocol.HostRunning, LastHeartbeat: now, AcquiredAt: now.Add(-time.Hour)}
			if m.Zone == zone && count > 0 {
				m.LastHeartbeat, count = now.Add(-quiet), count-1
			}
			ms = append(ms, m)
		}
		return len(f.Decide(types, ms, nil, nil, now, now.Add(-time.Hour)).ScaleIn)
	}
	for _, x := range []struct {
		count    int
		quiet    time.Duration
		returned int
	}{{10, 20 * time.Second, 0}, {8, 20 * time.Second, 0}, {10, 31 * time.Second, 10}, {5, 20 * time.Second, 5}, {1, 20 * time.Second, 1}} {
		if got := silent("b", x.count, x.quiet); got != x.returned {
			t.Errorf("%d of 10 machines of a zone silent for %v: %d returned, not %d", x.count, x.quiet, got, x.returned)
		}
	}
}
