package controller

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/cloud"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
)

// The machine census of an epoch that followed a loss determines which machines barriers await and when the roster is
// complete again.

// machineCensus determines which machines may run tasks from before a loss. Node.mu guards it: runMachineCensus
// and censusDue take it, all other methods are called with it held.
type machineCensus struct {
	*datarecovery.Census

	host         censusHost
	mu           sync.Locker // Node.mu
	log          *slog.Logger
	settings     *settings.Settings
	cloud        *cloud.Client
	leadership   *leadership.State
	shards       *shards.Registry
	jobs         map[string]*job
	machines     map[string]*machine
	registration *agents.Registration
	detection    *lossDetector
}

// censusHost is what a machineCensus asks of the controller.
type censusHost interface {
	// machine returns what is known of a machine, and creates it if that is nothing.
	machine(name string) *machine
	// currentRoster returns the roster of registered machines.
	currentRoster() *agents.Roster
	// passBarrier ends the barrier of a shard if it awaits nothing more.
	passBarrier(shard *shards.Owned)
	// probeAwaited requests the state of machines that barriers await.
	probeAwaited(list map[string]protocol.Host, awaited map[string]bool)
	// wake makes the main loop run its next step soon.
	wake()
}

func newMachineCensus(n *Node, detection *lossDetector) *machineCensus {
	return &machineCensus{
		Census:       datarecovery.NewCensus(),
		host:         n,
		mu:           &n.mu,
		log:          n.log,
		settings:     n.settings,
		cloud:        n.cloud,
		leadership:   n.leadership,
		shards:       n.shards,
		jobs:         n.jobs,
		machines:     n.machines,
		registration: n.registration,
		detection:    detection,
	}
}

// censusCheckInterval is the time between two checks whether to read the cloud's list.
const censusCheckInterval = 200 * time.Millisecond

// runMachineCensus is the background task that reads the cloud's list as soon as it must name every machine that was
// rented before the epoch began. The roster may have lost some of them.
func (c *machineCensus) runMachineCensus(ctx context.Context) error {
	for sleep(ctx, censusCheckInterval) {
		entered, due := c.censusDue(time.Now())
		if !due {
			continue
		}
		hosts, err := c.cloud.List(ctx)
		if err != nil {
			c.log.Info("cloud list not read", "err", err)
			continue
		}
		c.mu.Lock()
		if c.EnteredAt().Equal(entered) {
			c.applyCensus(hosts)
		}
		c.mu.Unlock()
	}
	return nil
}

// censusDue reports whether to read the cloud's list now, and when the epoch that it is read for was entered.
func (c *machineCensus) censusDue(now time.Time) (entered time.Time, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due = c.leadership.Record() != nil && c.leadership.Record().RosterIncomplete && c.detection.Trusted() &&
		c.Due(now, settings.Seconds(c.settings.Deployment.Cloud.ListLagSeconds))
	return c.EnteredAt(), due
}

// applyCensus applies the cloud's list. A machine that is still booting in a list read this late cannot have run
// anything before the loss.
func (c *machineCensus) applyCensus(hosts []protocol.Host) {
	var listed []string
	addrs := map[string]protocol.Host{}
	for _, h := range hosts {
		if h.State == protocol.HostBooting || c.host.machine(h.UID).gone {
			continue
		}
		listed = append(listed, h.UID)
		addrs[h.UID] = h
		if c.shards.OwnsFleet() && !c.host.currentRoster().Has(h.UID) {
			c.registration.Want(h.UID)
		}
	}
	c.RecordListed(listed)
	awaited := c.awaitListedMachines()
	count, remembered := c.Counts()
	c.log.Info("machine census taken", "listed", count, "remembered", remembered, "awaited", len(awaited))
	c.host.probeAwaited(addrs, awaited)
	c.host.wake()
}

// awaitListedMachines adds the machines that the cloud listed to those that barriers await. It returns all machines
// that any barrier awaits.
func (c *machineCensus) awaitListedMachines() map[string]bool {
	awaited := map[string]bool{}
	for shard := range c.shards.All() {
		if shard.Phase() != shards.Barrier || !shard.NeedsBarrier() {
			continue
		}
		shard.AwaitMachines(c.Listed())
		c.host.passBarrier(shard)
		for name := range shard.AwaitedMachines() {
			awaited[name] = true
		}
	}
	return awaited
}

// rosterComplete reports whether every machine that may run tasks from before the loss is on the roster again.
func (c *machineCensus) rosterComplete() bool {
	if !c.ListRead() {
		return false
	}
	accounted := func(name string) bool {
		m := c.machines[name]
		return c.host.currentRoster().Has(name) || (m != nil && m.gone)
	}
	if name, found := c.Unaccounted(accounted); found {
		c.registration.Want(name)
		return false
	}
	return true
}

// runsUndescribedJob reports whether a machine runs a task from before a loss whose job specification no controller
// knows. Nothing is placed on such a machine, since the resources of that task are unknown; this holds even after the
// search for the lost data has been given up.
func (c *machineCensus) runsUndescribedJob(v *jobstate.MachineStatus) bool {
	if c.leadership.Epoch() <= 1 {
		return false
	}
	return slices.ContainsFunc(v.Tasks, func(t jobstate.TaskStatus) bool {
		return t.State != protocol.Exited && c.jobs[t.Job] == nil && jobstate.TermOf(t.Attempt) < c.leadership.Record().FirstTerm
	})
}

// undescribedJobs lists the jobs from before a loss that run on machines although no controller knows their
// specification.
func (c *machineCensus) undescribedJobs() []string {
	var jobs []string
	for _, m := range c.machines {
		if m.gone || m.status == nil || !c.runsUndescribedJob(m.status) || len(jobs) >= maxUndescribed {
			continue
		}
		for _, t := range m.status.Tasks {
			if c.jobs[t.Job] == nil && t.State != protocol.Exited && !slices.Contains(jobs, t.Job) {
				jobs = append(jobs, t.Job)
			}
		}
	}
	slices.Sort(jobs)
	return jobs
}
