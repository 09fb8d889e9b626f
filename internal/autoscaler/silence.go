package autoscaler

import "time"

// When a silent machine is given up.

// silenceTimeout is how long a machine may be silent before it is released. One that
// the cloud no longer lists is gone already, and the cloud's list ends the wait
// for it. Its list is in the order of acquisition, so that a missing machine before one
// that is there is not just too new. One that an owner's barrier waits for has so
// long as barrierTimeout says. In a zone that is cut off, machines and what they run live
// on, and come back with their images and results.
func (f *Autoscaler) silenceTimeout(m *Machine, barrierTimeout time.Duration, cut bool) time.Duration {
	switch {
	case m.AwaitedByBarrier && m.SkippedInList, m.AwaitedByBarrier && m.ProbeUnanswered && barrierTimeout <= f.options.OverdueTimeout:
		return time.Second
	case m.ListedState == "":
		return min(f.options.UnlistedTimeout, f.options.SilenceTimeout)
	case m.AwaitedByBarrier:
		return min(barrierTimeout, f.options.SilenceTimeout)
	case cut:
		return max(f.options.PartitionedZoneTimeout, f.options.SilenceTimeout)
	}
	return f.options.SilenceTimeout
}

// barrierTimeout is how long a machine may be silent that a barrier waits for, which costs
// all of a team more than a new machine. If only a few are missing when all others
// must have reported, it is those; if many are, they get the time in which a worker
// finds another controller, and more than a tenth are rather cut off.
func (f *Autoscaler) barrierTimeout(machines []Machine, now, settled time.Time) time.Duration {
	overdue, silent := 0, 0
	for i := range machines {
		m := &machines[i]
		if m.AwaitedByBarrier && m.ProbeUnanswered {
			overdue++
		} else if silence := now.Sub(later(m.LastHeartbeat, settled)); m.AwaitedByBarrier && silence > f.options.BarrierTimeout {
			overdue++
			silent++
		} else if m.AwaitedByBarrier && silence > f.options.OverdueTimeout {
			overdue++
		}
	}
	switch {
	case 50*overdue <= len(machines):
		return f.options.OverdueTimeout
	case silent <= (len(machines)+9)/10:
		return f.options.BarrierTimeout
	}
	return f.options.SilenceTimeout
}

// minMachinesForCut is how many machines of a zone there must be to tell a cut of the
// zone from the end of some of them.
const minMachinesForCut = 4

// cutZones are the zones of whose machines at least three quarters fell silent, so
// that it is rather the zone's network.
func (f *Autoscaler) cutZones(machines []Machine, now, settled time.Time) map[string]bool {
	known, silent := map[string]int{}, map[string]int{}
	for i := range machines {
		m := &machines[i]
		if m.LastHeartbeat.IsZero() || m.HomeUnreachable {
			continue
		}
		known[m.Zone]++
		if now.Sub(later(m.LastHeartbeat, settled)) > f.options.BarrierTimeout/2 {
			silent[m.Zone]++
		}
	}
	cut := map[string]bool{}
	for zone, n := range known {
		cut[zone] = n >= minMachinesForCut && 4*silent[zone] >= 3*n
	}
	return cut
}
