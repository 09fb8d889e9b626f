package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/cloud"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/provisioning"
	"topazhollow/internal/settings"
)

// provisionInterval is how often the fleet's owner decides what to acquire and to release.
const provisionInterval = 500 * time.Millisecond

// maxOpenRequests is how many scale-out requests are paced or under way at a time. The others
// wait for their turn, and are dropped when it comes if their place refused one meanwhile:
// they would hold up more urgent ones.
const maxOpenRequests = 2

// heartbeatAnswerTime is how long a worker waits for the answer to a report, and until it tries the
// next controller.
const heartbeatAnswerTime = 6 * time.Second

// provisioner carries out what a provisioning.Account decides.
type provisioner struct {
	account  *provisioning.Account
	turns    chan struct{} // holds one element for each scale-out request under way
	loggedAt time.Time     // when the log last described the whole fleet
}

// draining is the machines that no task should go to; none without a provisioner.
func (p *provisioner) draining() map[string]bool {
	if p == nil {
		return nil
	}
	return p.account.Draining()
}

// slowPlaces are the places where machines come up late; none without a provisioner.
func (p *provisioner) slowPlaces() []string {
	if p == nil {
		return nil
	}
	return p.account.SlowPlaces()
}

// runFleet acquires and releases machines while this controller owns the fleet.
func (n *Node) runFleet(ctx context.Context) error {
	for sleep(ctx, provisionInterval) {
		now := time.Now()
		n.mu.Lock()
		n.provision(now)
		n.mu.Unlock()
	}
	return nil
}

// provision decides once and begins what was decided, if this controller owns the fleet and may act.
func (n *Node) provision(now time.Time) {
	shard := n.shards.Owned(leadership.FleetShard)
	if shard == nil {
		n.provisioner = nil
		return
	}
	if !n.entitled(now) || n.scheduler.MachineTypes() == nil {
		return
	}
	if n.provisioner == nil || n.provisioner.account.SinceTerm() != shard.SinceTerm() {
		n.provisioner = n.newProvisioner(shard.SinceTerm(), now)
	}
	p := n.provisioner
	n.readCloudList(p.account, now)
	if !p.account.Ready() {
		return
	}
	machines := n.fleetMachines(p.account, now)
	demands := n.fleetDemands(now)
	actions := p.account.Decide(&provisioning.Inputs{
		Types:     n.scheduler.MachineTypes(),
		Machines:  machines,
		Demands:   demands,
		Arrivals:  n.arrivals(now),
		SettledAt: n.leadership.StableSince(),
		TakenOver: shard.SinceTerm() > n.leadership.Record().FirstTerm || n.leadership.Epoch() > 1,
	}, now)
	before := p.account.SlowPlaces()
	if p.account.UpdateSlowPlaces(actions.SlowPlaces) {
		n.log.Info("places where machines come up late", "before", before, "now", actions.SlowPlaces)
	}
	n.logFleet(p, machines, demands, actions.Retired, now)
	n.updatePlan(machines, demands, now)
	n.carryOut(p, &actions)
}

// carryOut begins what was decided.
func (n *Node) carryOut(p *provisioner, actions *provisioning.Actions) {
	p.account.StartDraining(actions.Drain)
	n.requestScaleIn(p.account, actions.ScaleIn)
	n.removeGoneMachines()
	for _, request := range actions.ScaleOut {
		n.group.Go(func() error {
			n.requestScaleOut(n.ctx, p, request)
			return nil
		})
	}
}

// newProvisioner begins the account of this controller as the fleet's owner.
func (n *Node) newProvisioner(sinceTerm uint64, now time.Time) *provisioner {
	options := provisioning.Options{
		SinceTerm: sinceTerm,
		Prefix:    fmt.Sprintf("%s-%d-%d", n.name, n.incarnation, sinceTerm),
		ListLag:   settings.Seconds(n.settings.Deployment.Cloud.ListLagSeconds),
		Fleet:     n.fleetOptions(),
	}
	p := &provisioner{
		account: provisioning.New(options, now),
		turns:   make(chan struct{}, maxOpenRequests),
	}
	if n.provisioner != nil {
		p.account.Continue(n.provisioner.account)
	}
	return p
}

// fleetOptions derives from the settings what the fleet's decisions go by.
func (n *Node) fleetOptions() autoscaler.Options {
	deployment := &n.settings.Deployment
	lease := settings.Seconds(deployment.Agents.LeaseSeconds)
	cancel := settings.Seconds(deployment.Agents.CancelSeconds)
	return autoscaler.Options{
		IdleTimeout:    settings.Seconds(n.options.IdleReturnSeconds),
		Warm:           n.options.WarmMachines,
		SafetyRunTimes: n.options.Haste,
		SpotShare:      n.options.SpotShare,
		// Lists may be twice as old as their lag, and a heartbeat may be late.
		UnlistedTimeout: settings.Seconds(2*deployment.Cloud.ListLagSeconds) + time.Second,
		BarrierTimeout:  settings.Seconds(2*deployment.Agents.HeartbeatSeconds) + heartbeatAnswerTime,
		OverdueTimeout:  n.unreachableHomes.Timing().HeartbeatOverdue + time.Second,
		SilenceTimeout:  min(lease+4*time.Second, cancel/2),
		// What runs in a zone that is cut off is kept alive there for no longer than this.
		CutZoneTimeout: cancel,
	}
}

// readCloudList reads the cloud's list if it is due, and has the machines probed that
// barriers wait for.
func (n *Node) readCloudList(account *provisioning.Account, now time.Time) {
	if !account.BeginListing(now) {
		return
	}
	n.group.Go(func() error {
		hosts, err := n.cloud.List(n.ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil {
			account.ListingFailed()
			n.log.Info("cloud list not read", "err", err)
			return nil
		}
		read := time.Now()
		account.ListingRead(hosts, func(name string) bool { return n.machine(name).gone }, read)
		awaited, _ := n.awaited(read)
		n.probeAwaited(account.Hosts(), awaited)
		return nil
	})
}

// requestScaleOut sends one scale-out request when its turn comes.
func (n *Node) requestScaleOut(ctx context.Context, p *provisioner, request protocol.ScaleOutRequest) {
	select {
	case p.turns <- struct{}{}:
		defer func() { <-p.turns }()
	case <-ctx.Done():
		return
	}
	n.mu.Lock()
	dropped := p.account.DropObsolete(request, time.Now())
	n.mu.Unlock()
	if dropped {
		return
	}
	names, err := n.cloud.ScaleOut(ctx, request)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.Info("rent", "request", request.Request, "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"count", request.Count, "got", len(names), "err", err)
	p.account.ScaleOutAnswered(request, names, err == nil || errors.Is(err, cloud.ErrNoCapacity), time.Now())
}

// requestScaleIn asks the cloud to take machines back. Only its confirmation ends what may
// be on them.
func (n *Node) requestScaleIn(account *provisioning.Account, names []string) {
	if len(names) == 0 {
		return
	}
	n.group.Go(func() error {
		err := n.cloud.ScaleIn(n.ctx, names)
		n.log.Info("return", "machines", names, "err", err)
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil {
			account.ScaleInFailed(names)
			return nil
		}
		account.ScaleInConfirmed(names)
		for _, name := range names {
			n.machineGone(name)
		}
		return nil
	})
}

// removeGoneMachines takes gone machines off the roster, one batch of writes at a time.
func (n *Node) removeGoneMachines() {
	writes := n.registration.BeginRemoval(n.roster, n.isGone)
	if len(writes) == 0 {
		return
	}
	n.group.Go(func() error {
		n.deregisterMachines(n.ctx, writes)
		return nil
	})
}
