package autoscaler

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/instant"
	"topazhollow/internal/protocol"
)

// bootHistory records how long recent machines of a type in a zone, spot and on-demand together, took from acquisition
// to the first heartbeat.
type bootHistory struct {
	seconds      []float64 // most recent boot times in seconds
	p75          float64   // 75th percentile of these
	newestBooted time.Time // latest acquisition time of a machine that has booted
	lowerBound   float64   // estimated boot time while all booting machines are late; else 0
}

// maxBootHistory is the number of recent boots that the expected boot time is based on.
const maxBootHistory = 8

// lateBootFactor is the multiple of the expected boot time after which a boot is late.
const lateBootFactor = 1.5

// bootTimesOf returns the boot history of a pool's type and zone, creating it if necessary.
func (a *Autoscaler) bootTimesOf(p pool) *bootHistory {
	p.Spot = false
	b := a.bootTimes[p]
	if b == nil {
		b = &bootHistory{}
		a.bootTimes[p] = b
	}
	return b
}

// bootSeconds returns the expected seconds from the acquisition of a machine of a pool to its first heartbeat, from
// recent boots or else from the catalog.
func (a *Autoscaler) bootSeconds(p pool, t *protocol.MachineType) float64 {
	b := a.bootTimesOf(p)
	return max(b.typicalSeconds(t), b.lowerBound, 1)
}

// typicalSeconds returns the boot time without regard to machines that are late now.
func (b *bootHistory) typicalSeconds(t *protocol.MachineType) float64 {
	if len(b.seconds) > 0 {
		return b.p75
	}
	return t.BootSeconds
}

// observeBoots updates the boot histories from machines that have booted since the last call and from those that are
// late. If a machine is late and none acquired later has booted, the whole type and zone counts as slow. A machine that
// others have overtaken is an isolated case. Machines that the cloud lists as running before their first heartbeat were
// up at an unknown time, so that they tell nothing about boot times.
func (a *Autoscaler) observeBoots(machines []Machine, types map[string]*protocol.MachineType, now time.Time) {
	silent := map[string]bool{}
	for i := range machines {
		m := &machines[i]
		if m.isSilentSinceBoot() {
			silent[m.Name] = true
		} else if a.silent[m.Name] && !m.LastHeartbeat.IsZero() {
			a.recordBoot(m)
		}
	}
	a.silent = silent
	for i := range machines {
		if m := &machines[i]; silent[m.Name] && m.ListedState == protocol.HostRunning {
			a.upBeforeHeartbeat[m.Name] = true
		}
	}
	maps.DeleteFunc(a.upBeforeHeartbeat, func(name string, _ bool) bool { return !silent[name] })
	for _, b := range a.bootTimes {
		b.lowerBound = 0
	}
	for i := range machines {
		m := &machines[i]
		t, age := types[m.Type], now.Sub(m.AcquiredAt).Seconds()
		if t == nil || !silent[m.Name] || a.upBeforeHeartbeat[m.Name] || a.overtaken(m) {
			continue
		}
		if b := a.bootTimesOf(m.pool()); age > lateBootFactor*a.bootSeconds(m.pool(), t) {
			b.lowerBound = max(b.lowerBound, lateBootFactor*age)
		}
	}
}

// isSilentSinceBoot reports whether a machine has sent no heartbeat yet, neither to this owner nor to an earlier one.
func (m *Machine) isSilentSinceBoot() bool { return m.LastHeartbeat.IsZero() && !m.Registered }

// recordBoot adds the boot time of a machine that has just sent its first heartbeat, if it is known.
func (a *Autoscaler) recordBoot(m *Machine) {
	b := a.bootTimesOf(m.pool())
	b.newestBooted = instant.Later(b.newestBooted, m.AcquiredAt)
	if a.upBeforeHeartbeat[m.Name] {
		return
	}
	b.seconds = append(b.seconds, max(0, m.LastHeartbeat.Sub(m.AcquiredAt).Seconds()))
	b.seconds = b.seconds[max(0, len(b.seconds)-maxBootHistory):]
	b.p75 = slices.Sorted(slices.Values(b.seconds))[len(b.seconds)*3/4]
}

// slowBootLocations lists the types and zones where all booting machines are late.
func (a *Autoscaler) slowBootLocations() (list []string) {
	for p, b := range a.bootTimes {
		if b.lowerBound > 0 {
			list = append(list, p.Type+" in "+p.Zone)
		}
	}
	slices.Sort(list)
	return list
}

// pool returns the pool that a machine was acquired from.
func (m *Machine) pool() pool { return pool{m.Type, m.Zone, m.Spot} }

// overtaken reports whether a machine of the same type and zone that was acquired no earlier has booted.
func (a *Autoscaler) overtaken(m *Machine) bool {
	return !m.AcquiredAt.After(a.bootTimesOf(m.pool()).newestBooted)
}

// secondsUntilUp estimates in how many seconds a booting machine is up. A late machine is expected to need as long
// again as it has taken so far.
func (a *Autoscaler) secondsUntilUp(m *Machine, t *protocol.MachineType, d *decision) float64 {
	expected, age := a.bootSeconds(m.pool(), t), a.secondsBooting(m, d)
	if age > lateBootFactor*expected {
		return age
	}
	return max(1, expected-age)
}

// bootTimedOut reports whether a machine has been booting for so long that it is given up. A machine that others have
// overtaken gets half the time.
func (a *Autoscaler) bootTimedOut(m *Machine, t *protocol.MachineType, d *decision) bool {
	typical := 60.0
	if t != nil {
		typical = max(t.BootSeconds, a.bootTimesOf(m.pool()).typicalSeconds(t))
	}
	most := 6*typical + 20
	if a.overtaken(m) {
		most = 3*typical + 10
	}
	return a.secondsBooting(m, d) > most
}

// secondsBooting returns for how long a machine has been expected to send its first heartbeat: since its acquisition,
// but for one that was up before, only since the controllers could receive heartbeats.
func (a *Autoscaler) secondsBooting(m *Machine, d *decision) float64 {
	since := m.AcquiredAt
	if a.upBeforeHeartbeat[m.Name] {
		since = instant.Later(since, d.settled)
	}
	return d.now.Sub(since).Seconds()
}
