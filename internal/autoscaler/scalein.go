package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// minMachineLife is for how long after its acquisition an idle machine is not released.
const minMachineLife = 50 * time.Second

func (m *Machine) price(types map[string]*protocol.MachineType) float64 {
	if m.Spot {
		return types[m.Type].SpotPricePerHour
	}
	return types[m.Type].PricePerHour
}

// scaleInIdle releases machines that have been idle for long, on-demand ones first, but
// keeps a few warm. Spot ones, which may not be had again, stay for longer, as far
// as they are no more than a tenth of all: more than that idle is no lull.
func (f *Autoscaler) scaleInIdle(plan *Plan, types map[string]*protocol.MachineType, idle []*Machine, total int, now time.Time) {
	slices.SortFunc(idle, func(a, b *Machine) int {
		if d := cmp.Compare(b.price(types), a.price(types)); d != 0 {
			return d
		}
		return cmp.Compare(a.Name, b.Name)
	})
	left, spare := len(idle), total/10
	for _, m := range idle {
		if total <= f.options.Warm {
			return
		}
		keep := f.options.IdleTimeout
		if f.retired[m.Name] {
			keep = 0
		}
		if m.Spot && f.options.SpotShare > 0 && left <= spare {
			keep = time.Duration(float64(keep) * min(4, types[m.Type].PricePerHour/max(m.price(types), 1e-9)))
		}
		if now.Sub(m.IdleSince) > keep && now.Sub(m.AcquiredAt) > minMachineLife {
			plan.ScaleIn = append(plan.ScaleIn, m.Name)
			total--
			left--
		}
	}
}
