package autoscaler

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// boots is how long machines of a type in a zone, spot or not, took of late until
// they reported.
type boots struct {
	seen []float64 // seconds, the last ones
	most float64   // what nearly all of these took
	upTo time.Time // latest rental of a machine that is up
	slow float64   // what they all seem to take, while none comes in time
}

// keepBoots is how many boots an expectation rests on.
const keepBoots = 8

// lateAt says that a boot is late when it takes this many times what was expected.
const lateAt = 1.5

// bootsOf finds or makes what is known of the boots of a pool's type and zone.
func (f *Fleet) bootsOf(p pool) *boots {
	p.Spot = false
	b := f.boots[p]
	if b == nil {
		b = &boots{}
		f.boots[p] = b
	}
	return b
}

// boot is how many seconds a new machine of a pool probably takes until it
// reports: what nearly all took of late, or what the catalog says.
func (f *Fleet) boot(p pool, t *protocol.MachineType) float64 {
	b := f.bootsOf(p)
	return max(b.usual(t), b.slow, 1)
}

func (b *boots) usual(t *protocol.MachineType) float64 {
	if len(b.seen) > 0 {
		return b.most
	}
	return t.BootSeconds
}

// watchBoots learns from machines that came up since the last look, and from those
// that should have. While machines rented earlier are late and none rented since is
// up, all are slow; a machine that others overtook is a straggler.
func (f *Fleet) watchBoots(machines []Machine, types map[string]*protocol.MachineType, now time.Time) {
	booting := map[string]bool{}
	for i := range machines {
		m := &machines[i]
		if m.Heard.IsZero() && !m.Registered {
			booting[m.Name] = true
		} else if f.booting[m.Name] && !m.Heard.IsZero() {
			b := f.bootsOf(m.pool())
			b.seen = append(b.seen, max(0, m.Heard.Sub(m.Since).Seconds()))
			b.seen = b.seen[max(0, len(b.seen)-keepBoots):]
			b.most = slices.Sorted(slices.Values(b.seen))[len(b.seen)*3/4]
			b.upTo = later(b.upTo, m.Since)
		}
	}
	f.booting = booting
	for _, b := range f.boots {
		b.slow = 0
	}
	for i := range machines {
		m := &machines[i]
		t, age := types[m.Type], now.Sub(m.Since).Seconds()
		if t == nil || !booting[m.Name] || f.overtaken(m) {
			continue
		}
		if b := f.bootsOf(m.pool()); age > lateAt*f.boot(m.pool(), t) {
			b.slow = max(b.slow, lateAt*age)
		}
	}
}

// late lists where all machines on their way are late.
func (f *Fleet) late() (list []string) {
	for p, b := range f.boots {
		if b.slow > 0 {
			list = append(list, p.Type+" in "+p.Zone)
		}
	}
	slices.Sort(list)
	return list
}

func (m *Machine) pool() pool { return pool{m.Type, m.Zone, m.Spot} }

// overtaken says whether a machine of the same type and zone that was rented no earlier
// is up.
func (f *Fleet) overtaken(m *Machine) bool {
	return !m.Since.After(f.bootsOf(m.pool()).upTo)
}

// untilUp is in how many seconds a machine that was rented is probably up. One
// that is late may well take as long again as it took already.
func (f *Fleet) untilUp(m *Machine, t *protocol.MachineType, now time.Time) float64 {
	expected, age := f.boot(m.pool(), t), now.Sub(m.Since).Seconds()
	if age > lateAt*expected {
		return age
	}
	return max(1, expected-age)
}

// stuck says whether a machine takes so long to boot that it will hardly come.
func (f *Fleet) stuck(m *Machine, t *protocol.MachineType, now time.Time) bool {
	usual := 60.0
	if t != nil {
		usual = max(t.BootSeconds, f.bootsOf(m.pool()).usual(t))
	}
	most := 6*usual + 20
	if f.overtaken(m) {
		most = 3*usual + 10
	}
	return now.Sub(m.Since).Seconds() > most
}
