package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// freeReserveShare is the share of the kept machines' capacity that must stay free when on-demand machines are retired,
// so that new work does not have to wait for a boot.
const freeReserveShare = 0.04

// retirePause is how long after a scale-out no machine is retired. Releasing and reacquiring a machine costs a boot and
// at least a minute.
const retirePause = time.Minute

// dominantShare returns the largest share that an amount takes of any resource of a machine type.
func dominantShare(t *protocol.MachineType, cpus, gpus, mem float64) float64 {
	most := 0.0
	for _, x := range [][2]float64{{cpus, t.CPUs}, {gpus, t.GPUs}, {mem, t.MemoryGB}} {
		if x[1] > 0 {
			most = max(most, x[0]/x[1])
		}
	}
	return most
}

// freeShare returns the free share of a machine's scarcest resource.
func (m *Machine) freeShare(t *protocol.MachineType) float64 {
	least := 1.0
	for _, x := range [][2]float64{{m.FreeCPUs, t.CPUs}, {m.FreeGPUs, t.GPUs}, {m.FreeMemory, t.MemoryGB}} {
		if x[1] > 0 {
			least = min(least, x[0]/x[1])
		}
	}
	return max(0, least)
}

// hasCheaperSpot reports whether a machine is on-demand, spot machines may be acquired, and those of its type are
// cheaper, so that its work should move to other machines that have room.
func (a *Autoscaler) hasCheaperSpot(m *Machine, t *protocol.MachineType) bool {
	return !m.Spot && a.options.SpotShare > 0 && t.SpotPricePerHour < t.PricePerHour
}

// retire updates the set of retired machines: on-demand machines that get no more tasks and are released when their
// tasks have ended. Without it, partly used machines would never become idle, since work is spread over all machines. A
// machine is retired once the others have room for its work plus the reserve, and returned to service as soon as that
// no longer holds, or waiting tasks need it (returnNeeded). Tasks on retired machines count as work that the others are
// about to get.
func (a *Autoscaler) retire(live []*Machine, types map[string]*protocol.MachineType, demands []Demand, now time.Time) {
	// While work that may not use spot machines waits, it is unknown which on-demand machines it needs: retire none,
	// and return all retired ones to service.
	onDemandOnly := slices.ContainsFunc(demands, func(d Demand) bool { return !d.Spec.Spot })
	byType := map[string][]*Machine{}
	isLive := map[string]bool{}
	for _, m := range live {
		byType[m.Type] = append(byType[m.Type], m)
		isLive[m.Name] = true
	}
	for name := range a.retired {
		if !isLive[name] || onDemandOnly || a.held[name] {
			delete(a.retired, name)
		}
	}
	if onDemandOnly {
		return
	}
	waiting := waitingByType(types, demands)
	for name, machines := range byType {
		a.retireOfType(types[name], machines, waiting[name], now)
	}
}

// waitingByType returns for each type the capacity, in machines, of the waiting tasks that may run on it. Tasks that
// must run in a given zone count for every type.
func waitingByType(types map[string]*protocol.MachineType, demands []Demand) map[string]float64 {
	waiting := map[string]float64{}
	for _, d := range demands {
		for name, t := range types {
			if allowed(d.Spec, name, "", true) || d.Spec.Zone != nil {
				waiting[name] += float64(d.Count) * dominantShare(t, d.Spec.CPUs, d.Spec.GPUs, d.Spec.MemoryGB)
			}
		}
	}
	return waiting
}

// retireOfType retires machines of one type or returns them to service. waiting is the capacity, in machines, that
// waiting tasks need.
func (a *Autoscaler) retireOfType(t *protocol.MachineType, machines []*Machine, waiting float64, now time.Time) {
	slices.SortFunc(machines, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.freeShare(t), a.freeShare(t)), cmp.Compare(a.Name, b.Name))
	})
	kept, room := 0.0, -waiting // machines that are kept, and their free capacity in machines
	for _, m := range machines {
		if a.retired[m.Name] {
			room -= 1 - m.freeShare(t)
		} else {
			room += m.freeShare(t)
			kept++
		}
	}
	for i := len(machines) - 1; i >= 0 && room < freeReserveShare*kept; i-- { // the fullest first: they stay longest
		if m := machines[i]; a.retired[m.Name] {
			delete(a.retired, m.Name)
			room++
			kept++
		}
	}
	// Hysteresis against machines alternating between retired and in service: retiring requires twice the reserve, and
	// none is retired for a while after a scale-out.
	for _, m := range machines {
		warm := math.Max(1, float64(a.options.Warm))
		if now.Sub(a.scaledOutAt) < retirePause || room-1 < 2*freeReserveShare*(kept-1) || kept <= warm {
			break
		}
		if !a.retired[m.Name] && a.hasCheaperSpot(m, t) && !m.runsOnDemandOnly() && !m.runsService() && !a.held[m.Name] {
			a.retired[m.Name] = true
			room--
			kept--
		}
	}
}

// runsOnDemandOnly reports whether a machine runs a task that may not run on a spot machine.
func (m *Machine) runsOnDemandOnly() bool {
	return slices.ContainsFunc(m.Tasks, func(s RunningTask) bool { return s.OnDemandOnly })
}

// runsService reports whether a machine runs a task of a service. Such a task does not end by itself, so the machine would
// be held back and paid for without an end.
func (m *Machine) runsService() bool {
	return slices.ContainsFunc(m.Tasks, func(s RunningTask) bool { return s.SecondsLeft >= ServiceRunSeconds })
}
