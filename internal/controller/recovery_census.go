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

// The census of machines in an epoch that followed a loss: whom barriers wait for, and when the roster is complete
// again.

// censusCheckInterval is how often it is looked whether the cloud's list is to be read.
const censusCheckInterval = 200 * time.Millisecond

// runMachineCensus is the duty that reads the cloud's list once it must name every machine that was rented
// before the epoch began. The roster may have lost some of them.
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

// censusDue says whether the cloud's list is to be read, and when the epoch that it is for was entered.
func (n *Node) censusDue(now time.Time) (entered time.Time, due bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	census := n.recovery.census
	due = n.leadership.Record() != nil && n.leadership.Record().RosterIncomplete && n.trusted() &&
		census.Due(now, settings.Seconds(n.settings.Deployment.Cloud.ListLagSeconds))
	return census.EnteredAt(), due
}

// applyCensus takes in the cloud's list. A machine that is still booting in a list that old has run
// nothing before the loss.
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
	n.recovery.census.Take(listed)
	awaited := n.awaitListedMachines()
	count, remembered := n.recovery.census.Counts()
	n.log.Info("machines counted", "listed", count, "remembered", remembered, "awaited", len(awaited))
	n.probeAwaited(addrs, awaited)
	n.wake()
}

// awaitListedMachines has barriers wait for the machines that the cloud listed too. It returns whom any barrier
// waits for.
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

// rosterComplete says whether every machine that may run something from before the loss is
// on the roster again.
func (n *Node) rosterComplete() bool {
	if !n.recovery.census.Taken() {
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

// runsUndescribedJob says whether a machine runs a task from before a loss of a job that nobody can
// describe. Nothing is placed beside it, since nobody knows what it takes; that stays so
// when the search for what was lost has been given up.
func (n *Node) runsUndescribedJob(v *jobstate.MachineStatus) bool {
	if n.leadership.Epoch() <= 1 {
		return false
	}
	return slices.ContainsFunc(v.Tasks, func(t jobstate.TaskStatus) bool {
		return t.State != protocol.Exited && n.jobs[t.Job] == nil && jobstate.TermOf(t.Attempt) < n.leadership.Record().FirstTerm
	})
}
