package scheduler

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
)

// AcceptingMachines returns an Acceptance that uses its means to avoid checks as the controller does.
func (f *randomFleet) AcceptingMachines(time.Time) Acceptance {
	return Acceptance{
		Basis:    f.term,
		Volatile: maps.Keys(f.draining),
		Check: func(status *jobstate.MachineStatus) (accepts bool, until time.Time) {
			return f.acceptsNow(status), f.heardAt[status.Machine].Add(freshFor)
		},
	}
}

// plainHosts computes what Hosts returns by recounting and checking every machine.
func (f *randomFleet) plainHosts(least *placement.Request) (hosts []placement.Host) {
	for _, m := range f.scheduler.orderedMachines {
		recounted := *m
		recounted.roomCurrent = false
		if !f.scheduler.refreshRoom(&recounted, f) || least != nil && !least.Fits(&recounted.host) || !f.acceptsNow(m.status) {
			continue
		}
		host := recounted.host
		host.ReservedClass = f.plan.ReservedClass(m.status.Machine)
		hosts = append(hosts, host)
	}
	return hosts
}

// compareHosts compares the hosts for a minimum request with those computed plainly.
func (f *randomFleet) compareHosts(least *placement.Request) (got, want []placement.Host, equal bool) {
	for _, h := range f.scheduler.Hosts(f, f.now, least) {
		got = append(got, *h)
	}
	want = f.plainHosts(least)
	return got, want, reflect.DeepEqual(got, want)
}

// forgetHosts makes the scheduler compute all hosts anew.
func (f *randomFleet) forgetHosts() {
	f.scheduler.hosts = hostIndex{}
	for _, m := range f.scheduler.orderedMachines {
		m.passHost, m.hostStale, m.accepts, m.expiresAt = placement.Host{}, false, false, time.Time{}
	}
	f.scheduler.InvalidateAllMachines()
}

// TestHostsModel compares passes that update only the hosts that changed with passes that compute all hosts anew, on
// random fleets with random changes: with the same random numbers both must decide the same. The hosts themselves, and
// their order, are compared with a plain computation.
func TestHostsModel(t *testing.T) {
	placed, evicted, compared := 0, 0, 0
	for seed := range uint64(16) {
		updated, computed := newRandomFleet(t, seed), newRandomFleet(t, seed)
		choice := rand.New(rand.NewPCG(seed, 13))
		for step := range 150 {
			for range updated.random.IntN(12) {
				updated.change()
			}
			for range computed.random.IntN(12) {
				computed.change()
			}
			computed.forgetHosts()
			got, want := updated.passWithDecisions(), computed.passWithDecisions()
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d, step %d: decided\n%s\nwant\n%s", seed, step, strings.Join(got, "\n"), strings.Join(want, "\n"))
			}
			for _, decision := range got {
				if strings.HasPrefix(decision, "place") {
					placed++
				} else if strings.HasPrefix(decision, "evict") {
					evicted++
				}
			}
			if choice.IntN(2) == 0 {
				continue
			}
			var least *placement.Request
			if size := choice.IntN(7); size > 0 {
				least = &placement.Request{CPUs: float64(int(1) << size), MemoryGB: float64(size), GPUs: float64(size / 6)}
			}
			gotHosts, wantHosts, equal := updated.compareHosts(least)
			if !equal {
				t.Fatalf("seed %d, step %d: hosts with room for %v:\n%v\nwant\n%v", seed, step, least, gotHosts, wantHosts)
			}
			compared += len(wantHosts)
		}
	}
	t.Logf("%d tasks placed, %d evicted, %d hosts compared", placed, evicted, compared)
	if placed == 0 || evicted == 0 || compared == 0 {
		t.Errorf("%d tasks placed, %d evicted, %d hosts compared: the test exercised too little", placed, evicted, compared)
	}
}
