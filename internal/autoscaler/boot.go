package autoscaler

import (
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// bootHistory is how long machines of a type in a zone, spot or not, took of late until
// they reported.
type bootHistory struct {
	seconds    []float64 // seconds, the last ones
	expected   float64   // what nearly all of these took
	newestUp   time.Time // latest acquisition of a machine that is up
	lowerBound float64   // what they all seem to take, while none comes in time
}

// keptBoots is how many boots an expectation rests on.
const keptBoots = 8

// lateFactor says that a boot is late when it takes this many times what was expected.
const lateFactor = 1.5

// bootTimesOf finds or makes what is known of the boots of a pool's type and zone.
func (f *Autoscaler) bootTimesOf(p pool) *bootHistory {
	p.Spot = false
	b := f.bootTimes[p]
	if b == nil {
		b = &bootHistory{}
		f.bootTimes[p] = b
	}
	return b
}

// bootSeconds is how many seconds a new machine of a pool probably takes until it
// reports: what nearly all took of late, or what the catalog says.
func (f *Autoscaler) bootSeconds(p pool, t *protocol.MachineType) float64 {
	b := f.bootTimesOf(p)
	return max(b.usual(t), b.lowerBound, 1)
}

func (b *bootHistory) usual(t *protocol.MachineType) float64 {
	if len(b.seconds) > 0 {
		return b.expected
	}
	return t.BootSeconds
}

// observeBoots learns from machines that came up since the last look, and from those
// that should have. While machines acquired earlier are late and none acquired since is
// up, all are slow; a machine that others overtook is late on its own.
func (f *Autoscaler) observeBoots(machines []Machine, types map[string]*protocol.MachineType, now time.Time) {
	booting := map[string]bool{}
	for i := range machines {
		m := &machines[i]
		if m.LastHeartbeat.IsZero() && !m.Registered {
			booting[m.Name] = true
		} else if f.booting[m.Name] && !m.LastHeartbeat.IsZero() {
			b := f.bootTimesOf(m.pool())
			b.seconds = append(b.seconds, max(0, m.LastHeartbeat.Sub(m.AcquiredAt).Seconds()))
			b.seconds = b.seconds[max(0, len(b.seconds)-keptBoots):]
			b.expected = slices.Sorted(slices.Values(b.seconds))[len(b.seconds)*3/4]
			b.newestUp = later(b.newestUp, m.AcquiredAt)
		}
	}
	f.booting = booting
	for _, b := range f.bootTimes {
		b.lowerBound = 0
	}
	for i := range machines {
		m := &machines[i]
		t, age := types[m.Type], now.Sub(m.AcquiredAt).Seconds()
		if t == nil || !booting[m.Name] || f.overtaken(m) {
			continue
		}
		if b := f.bootTimesOf(m.pool()); age > lateFactor*f.bootSeconds(m.pool(), t) {
			b.lowerBound = max(b.lowerBound, lateFactor*age)
		}
	}
}

// slowPlaces lists where all machines on their way are late.
func (f *Autoscaler) slowPlaces() (list []string) {
	for p, b := range f.bootTimes {
		if b.lowerBound > 0 {
			list = append(list, p.Type+" in "+p.Zone)
		}
	}
	slices.Sort(list)
	return list
}

func (m *Machine) pool() pool { return pool{m.Type, m.Zone, m.Spot} }

// overtaken says whether a machine of the same type and zone that was acquired no earlier
// is up.
func (f *Autoscaler) overtaken(m *Machine) bool {
	return !m.AcquiredAt.After(f.bootTimesOf(m.pool()).newestUp)
}

// secondsUntilUp is in how many seconds a machine that was acquired is probably up. One
// that is late may well take as long again as it took already.
func (f *Autoscaler) secondsUntilUp(m *Machine, t *protocol.MachineType, now time.Time) float64 {
	expected, age := f.bootSeconds(m.pool(), t), now.Sub(m.AcquiredAt).Seconds()
	if age > lateFactor*expected {
		return age
	}
	return max(1, expected-age)
}

// bootTimedOut says whether a machine takes so long to boot that it will hardly come.
func (f *Autoscaler) bootTimedOut(m *Machine, t *protocol.MachineType, now time.Time) bool {
	usual := 60.0
	if t != nil {
		usual = max(t.BootSeconds, f.bootTimesOf(m.pool()).usual(t))
	}
	most := 6*usual + 20
	if f.overtaken(m) {
		most = 3*usual + 10
	}
	return now.Sub(m.AcquiredAt).Seconds() > most
}
