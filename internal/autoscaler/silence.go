package autoscaler

import (
	"time"

	"topazhollow/internal/instant"
)

// This file decides when a machine that sends no heartbeats is given up.

// silenceTimeout returns how long a machine may be silent before it is released:
//   - A machine that the cloud no longer lists is already gone, so it gets a shorter timeout. The list is ordered by
//     acquisition: a missing machine that precedes a listed one is not merely too new to be listed, and gets one second
//     if a barrier waits for it.
//   - A machine that an owner's barrier waits for gets barrierTimeout, or one second if it did not answer its home's
//     probe and few machines are overdue.
//   - Machines in a zone that is partitioned from the network keep running their tasks and return with their images
//     and results, so they get longer.
func (a *Autoscaler) silenceTimeout(m *Machine, barrierTimeout time.Duration, partitioned bool) time.Duration {
	switch {
	case m.AwaitedByBarrier && m.SkippedInList, m.AwaitedByBarrier && m.ProbeUnanswered && barrierTimeout <= a.options.OverdueTimeout:
		return time.Second
	case m.ListedState == "":
		return min(a.options.UnlistedTimeout, a.options.SilenceTimeout)
	case m.AwaitedByBarrier:
		return min(barrierTimeout, a.options.SilenceTimeout)
	case partitioned:
		return max(a.options.PartitionedZoneTimeout, a.options.SilenceTimeout)
	}
	return a.options.SilenceTimeout
}

// barrierTimeout returns how long a machine that a barrier waits for may be silent. Waiting blocks a whole team, which
// costs more than a new machine. If at most 2 % of the machines are overdue, these are probably gone and get
// OverdueTimeout. If more are, they get BarrierTimeout, the time that an agent needs to find another controller. If
// more than a tenth are silent even after that, they are probably cut off and get SilenceTimeout.
func (a *Autoscaler) barrierTimeout(machines []Machine, now, settled time.Time) time.Duration {
	overdue, silent := 0, 0
	for i := range machines {
		m := &machines[i]
		if m.AwaitedByBarrier && m.ProbeUnanswered {
			overdue++
		} else if silence := now.Sub(instant.Later(m.LastHeartbeat, settled)); m.AwaitedByBarrier && silence > a.options.BarrierTimeout {
			overdue++
			silent++
		} else if m.AwaitedByBarrier && silence > a.options.OverdueTimeout {
			overdue++
		}
	}
	switch {
	case 50*overdue <= len(machines):
		return a.options.OverdueTimeout
	case silent <= (len(machines)+9)/10:
		return a.options.BarrierTimeout
	}
	return a.options.SilenceTimeout
}

// minMachinesForPartition is the minimum number of machines in a zone to distinguish a network partition of the zone
// from the loss of individual machines.
const minMachinesForPartition = 4

// partitionedZones returns the zones where at least three quarters of the machines are silent, which indicates a
// network partition rather than the loss of the machines.
func (a *Autoscaler) partitionedZones(machines []Machine, now, settled time.Time) map[string]bool {
	known, silent := map[string]int{}, map[string]int{}
	for i := range machines {
		m := &machines[i]
		if m.LastHeartbeat.IsZero() || m.HomeUnreachable {
			continue
		}
		known[m.Zone]++
		if now.Sub(instant.Later(m.LastHeartbeat, settled)) > a.options.BarrierTimeout/2 {
			silent[m.Zone]++
		}
	}
	partitioned := map[string]bool{}
	for zone, n := range known {
		partitioned[zone] = n >= minMachinesForPartition && 4*silent[zone] >= 3*n
	}
	return partitioned
}
