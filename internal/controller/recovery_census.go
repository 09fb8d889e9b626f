package controller

import (
	"context"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
)

// The machine census of an epoch that followed a loss determines which machines barriers await and when the roster is
// complete again.

// censusCheckInterval is the time between two checks whether to read the cloud's list.
const censusCheckInterval = 200 * time.Millisecond

// runMachineCensus is the background task that reads the cloud's list as soon as it must name every machine that was
// rented before the epoch began. The roster may have lost some of them.
func (n *Node) runMachineCensus(ctx context.Context) error {
	for sleep(ctx, censusCheckInterval) {
		entered, due := n.censusDue(time.Now())
		if !due {
			continue
		}
		hosts, err := n.cloud.List(ctx)
		if err != nil {
			n.log.Info("cloud list not read", "err", err)
			continue
		}
		n.mu.Lock()
		if n.recovery.census.EnteredAt().Equal(entered) {
			n.applyCensus(hosts)
		}
		n.mu.Unlock()
	}
	return nil
}

// censusDue reports whether to read the cloud's list now, and when the epoch that it is read for was entered.
func (n *Node) censusDue(now time.Time) (entered time.Time, due bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	census := n.recovery.census
	due = n.leadership.Record() != nil && n.leadership.Record().RosterIncomplete && n.trusted() &&
		census.Due(now, settings.Seconds(n.settings.Deployment.Cloud.ListLagSeconds))
	return census.EnteredAt(), due
}

// applyCensus applies the cloud's list. A machine that is still booting in a list read this late cannot have run
// anything before the loss.
func (n *Node) applyCensus(hosts []protocol.Host) {
	var listed []string
	addrs := map[string]protocol.Host{}
	for _, h := range hosts {
		if h.State == protocol.HostBooting || n.machine(h.UID).gone {
			continue
		}
		listed = append(listed, h.UID)
		addrs[h.UID] = h
		if n.shards.OwnsFleet() && !n.roster.Has(h.UID) {
			n.registration.Want(h.UID)
		}
	}
	n.recovery.census.RecordListed(listed)
	awaited := n.awaitListedMachines()
	count, remembered := n.recovery.census.Counts()
	n.log.Info("machine census taken", "listed", count, "remembered", remembered, "awaited", len(awaited))
	n.probeAwaited(addrs, awaited)
	n.wake()
}

// awaitListedMachines adds the machines that the cloud listed to those that barriers await. It returns all machines
// that any barrier awaits.
func (n *Node) awaitListedMachines() map[string]bool {
	awaited := map[string]bool{}
	for shard := range n.shards.All() {
		if shard.Phase() != shards.Barrier || !shard.NeedsBarrier() {
			continue
		}
		shard.AwaitMachines(n.recovery.census.Listed())
		n.passBarrier(shard)
		for name := range shard.AwaitedMachines() {
			awaited[name] = true
		}
	}
	return awaited
}

// rosterComplete reports whether every machine that may run tasks from before the loss is on the roster again.
func (n *Node) rosterComplete() bool {
	if !n.recovery.census.ListRead() {
		return false
	}
	accounted := func(name string) bool {
		m := n.machines[name]
		return n.roster.Has(name) || (m != nil && m.gone)
	}
	if name, found := n.recovery.census.Unaccounted(accounted); found {
		n.registration.Want(name)
		return false
	}
	return true
}

// runsUndescribedJob reports whether a machine runs a task from before a loss whose job specification no controller
// knows. Nothing is placed on such a machine, since the resources of that task are unknown; this holds even after the
// search for the lost data has been given up.
func (n *Node) runsUndescribedJob(v *jobstate.MachineStatus) bool {
	if n.leadership.Epoch() <= 1 {
		return false
	}
	return slices.ContainsFunc(v.Tasks, func(t jobstate.TaskStatus) bool {
		return t.State != protocol.Exited && n.jobs[t.Job] == nil && jobstate.TermOf(t.Attempt) < n.leadership.Record().FirstTerm
	})
}
