package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// minMachineLife is the minimum time between the acquisition of a machine and its release as idle.
const minMachineLife = 50 * time.Second

// price returns the hourly price of a machine.
func (m *Machine) price(types map[string]*protocol.MachineType) float64 {
	if m.Spot {
		return types[m.Type].SpotPricePerHour
	}
	return types[m.Type].PricePerHour
}

// scaleInIdle releases machines that have been idle longer than the idle timeout, the most expensive first, but keeps
// Options.Warm machines. Spot machines may not be available again, so they are kept longer while at most a tenth of all
// machines is idle; more idle machines than that are not a short lull. Retired machines have no idle
// timeout.
func (a *Autoscaler) scaleInIdle(plan *Plan, types map[string]*protocol.MachineType, idle []*Machine, total int, now time.Time) {
	slices.SortFunc(idle, func(a, b *Machine) int {
		if d := cmp.Compare(b.price(types), a.price(types)); d != 0 {
			return d
		}
		return cmp.Compare(a.Name, b.Name)
	})
	left, spare := len(idle), total/10
	for _, m := range idle {
		if total <= a.options.Warm {
			return
		}
		keep := a.options.IdleTimeout
		if a.retired[m.Name] {
			keep = 0
		}
		if m.Spot && a.options.SpotShare > 0 && left <= spare {
			keep = time.Duration(float64(keep) * min(4, types[m.Type].PricePerHour/max(m.price(types), 1e-9)))
		}
		if now.Sub(m.IdleSince) > keep && now.Sub(m.AcquiredAt) > minMachineLife {
			plan.ScaleIn = append(plan.ScaleIn, m.Name)
			total--
			left--
		}
	}
}
