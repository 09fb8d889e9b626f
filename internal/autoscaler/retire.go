package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// freeReserve is the part of the kept machines' room that stays free when on-demand
// machines are let go: what comes next should not have to wait for a boot.
const freeReserve = 0.04

// retirePause is for how long after a acquisition no machine is retired: one that is released
// and acquired again costs a boot and a minute at least.
const retirePause = time.Minute

// share is what part of a machine of a type an amount takes: its scarcest kind.
func share(t *protocol.MachineType, cpus, gpus, mem float64) float64 {
	most := 0.0
	for _, x := range [][2]float64{{cpus, t.CPUs}, {gpus, t.GPUs}, {mem, t.MemoryGB}} {
		if x[1] > 0 {
			most = max(most, x[0]/x[1])
		}
	}
	return most
}

// freeShare is what part of a machine is free: of its scarcest kind.
func (m *Machine) freeShare(t *protocol.MachineType) float64 {
	least := 1.0
	for _, x := range [][2]float64{{m.FreeCPUs, t.CPUs}, {m.FreeGPUs, t.GPUs}, {m.FreeMemory, t.MemoryGB}} {
		if x[1] > 0 {
			least = min(least, x[0]/x[1])
		}
	}
	return max(0, least)
}

// hasCheaperKind says whether a machine costs more than another kind of its type does, so
// that work should leave it where there is room.
func (f *Autoscaler) hasCheaperKind(m *Machine, t *protocol.MachineType) bool {
	return !m.Spot && f.options.SpotShare > 0 && t.SpotPricePerHour < t.PricePerHour
}

// retire keeps the set of on-demand machines that get no more tasks and go back when
// those they have are over. Machines used in part never fall idle: work is spread
// over all there are. A machine is retired once the others have room for its work
// and the reserve, and taken back into use as soon as that is no longer so. What a
// retired machine still runs is counted as work that the others are about to get.
func (f *Autoscaler) retire(live []*Machine, types map[string]*protocol.MachineType, demands []Demand, now time.Time) {
	// If some work may not use spot machines, it is not known which of the on-demand ones it needs.
	pinned := slices.ContainsFunc(demands, func(d Demand) bool { return !d.Spec.Spot })
	byType := map[string][]*Machine{}
	there := map[string]bool{}
	for _, m := range live {
		byType[m.Type] = append(byType[m.Type], m)
		there[m.Name] = true
	}
	for name := range f.retired {
		if !there[name] || pinned {
			delete(f.retired, name)
		}
	}
	if pinned {
		return
	}
	waiting := waitingByType(types, demands)
	for name, machines := range byType {
		f.retireOfType(types[name], machines, waiting[name], now)
	}
}

// waitingByType is how many machines' room the waiting tasks take that may run on a type.
func waitingByType(types map[string]*protocol.MachineType, demands []Demand) map[string]float64 {
	waiting := map[string]float64{}
	for _, d := range demands {
		for name, t := range types {
			if allowed(d.Spec, name, "", true) || d.Spec.Zone != nil {
				waiting[name] += float64(d.Count) * share(t, d.Spec.CPUs, d.Spec.GPUs, d.Spec.MemoryGB)
			}
		}
	}
	return waiting
}

// retireOfType retires machines of one type or takes them back. Waiting is the machines' room
// that waiting tasks take.
func (f *Autoscaler) retireOfType(t *protocol.MachineType, machines []*Machine, waiting float64, now time.Time) {
	slices.SortFunc(machines, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.freeShare(t), a.freeShare(t)), cmp.Compare(a.Name, b.Name))
	})
	kept, room := 0.0, -waiting // machines that are kept, and their free room in machines
	for _, m := range machines {
		if f.retired[m.Name] {
			room -= 1 - m.freeShare(t)
		} else {
			room += m.freeShare(t)
			kept++
		}
	}
	for i := len(machines) - 1; i >= 0 && room < freeReserve*kept; i-- { // the fullest first: they run on anyway
		if m := machines[i]; f.retired[m.Name] {
			delete(f.retired, m.Name)
			room++
			kept++
		}
	}
	// Twice the reserve before the next goes, and none for a while after machines were
	// asked for, so that none goes back and forth.
	for _, m := range machines {
		warm := math.Max(1, float64(f.options.Warm))
		if now.Sub(f.scaledOutAt) < retirePause || room-1 < 2*freeReserve*(kept-1) || kept <= warm {
			break
		}
		if !f.retired[m.Name] && f.hasCheaperKind(m, t) && !m.runsPinned() {
			f.retired[m.Name] = true
			room--
			kept--
		}
	}
}

// runsPinned says whether a machine runs what may not run on a spot machine.
func (m *Machine) runsPinned() bool {
	return slices.ContainsFunc(m.Tasks, func(s RunningTask) bool { return s.OnDemandOnly })
}
