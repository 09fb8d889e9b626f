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

// provisionInterval is how often the fleet's owner decides which machines to acquire and to release.
const provisionInterval = 500 * time.Millisecond

// maxOpenRequests is how many scale-out requests wait for the rate limit or are in flight at a time. The others wait
// for a slot. When they get one, they are dropped if the cloud has refused a request for the same pool meanwhile, as
// they would delay more urgent requests.
const maxOpenRequests = 2

// heartbeatAnswerTimeout is how long an agent waits for the answer to a heartbeat, plus the pause until it tries the
// next controller.
const heartbeatAnswerTimeout = 6 * time.Second

// provisioner sends the cloud the requests that its provisioning.Provisioner decides on.
type provisioner struct {
	state    *provisioning.Provisioner
	slots    chan struct{} // holds one element for each open scale-out request
	loggedAt time.Time     // when the log last described the whole fleet
}

// draining returns the machines that no task should be placed on; none if there is no provisioner.
func (p *provisioner) draining() map[string]bool {
	if p == nil {
		return nil
	}
	return p.state.Draining()
}

// slowBootLocations returns the locations where machines boot late; none if there is no provisioner.
func (p *provisioner) slowBootLocations() []string {
	if p == nil {
		return nil
	}
	return p.state.SlowBootLocations()
}

// runFleet runs provision at every interval until the context ends.
func (n *Node) runFleet(ctx context.Context) error {
	for sleep(ctx, provisionInterval) {
		now := time.Now()
		n.mu.Lock()
		n.provision(now)
		n.mu.Unlock()
	}
	return nil
}

// provision decides once which machines to acquire and release, and starts the requests, if this controller owns the
// fleet and may act.
func (n *Node) provision(now time.Time) {
	shard := n.shards.Owned(leadership.FleetShard)
	if shard == nil {
		n.provisioner = nil
		return
	}
	if !n.entitled(now) || n.scheduler.MachineTypes() == nil {
		return
	}
	if n.provisioner == nil || n.provisioner.state.SinceTerm() != shard.SinceTerm() {
		n.provisioner = n.newProvisioner(shard.SinceTerm(), now)
	}
	p := n.provisioner
	n.readCloudList(p.state, now)
	if !p.state.Ready() {
		return
	}
	machines := n.fleetMachines(p.state, now)
	demands := n.fleetDemands(now)
	actions := p.state.Decide(&provisioning.Inputs{
		Types:     n.scheduler.MachineTypes(),
		Machines:  machines,
		Demands:   demands,
		Arrivals:  n.arrivals(now),
		SettledAt: n.leadership.StableSince(),
		TakenOver: shard.SinceTerm() > n.leadership.Record().FirstTerm || n.leadership.Epoch() > 1,
	}, now)
	before := p.state.SlowBootLocations()
	if p.state.UpdateSlowBootLocations(actions.SlowBootLocations) {
		n.log.Info("slow boot locations changed", "before", before, "now", actions.SlowBootLocations)
	}
	n.logFleet(p, machines, demands, &actions, now)
	n.updatePlan(machines, demands, actions.Outlook.CannotGrow, now)
	n.startActions(p, &actions)
}

// startActions starts the requests and removals that were decided.
func (n *Node) startActions(p *provisioner, actions *provisioning.Actions) {
	p.state.StartDraining(actions.Drain)
	n.requestScaleIn(p.state, actions.ScaleIn)
	n.removeGoneMachines()
	for _, request := range actions.ScaleOut {
		n.group.Go(func() error {
			n.requestScaleOut(n.ctx, p, request)
			return nil
		})
	}
}

// newProvisioner creates a provisioner for a term of ownership. It takes over what this controller's earlier one knew
// of the machines.
func (n *Node) newProvisioner(sinceTerm uint64, now time.Time) *provisioner {
	options := provisioning.Options{
		SinceTerm:  sinceTerm,
		Prefix:     fmt.Sprintf("%s-%d-%d", n.name, n.incarnation, sinceTerm),
		ListLag:    settings.Seconds(n.settings.Deployment.Cloud.ListLagSeconds),
		Autoscaler: n.fleetOptions(),
	}
	p := &provisioner{
		state: provisioning.New(options, now),
		slots: make(chan struct{}, maxOpenRequests),
	}
	if n.provisioner != nil {
		p.state.Continue(n.provisioner.state)
	}
	return p
}

// fleetOptions derives the autoscaler's options from the settings.
func (n *Node) fleetOptions() autoscaler.Options {
	deployment := &n.settings.Deployment
	lease := settings.Seconds(deployment.Agents.LeaseSeconds)
	cancel := settings.Seconds(deployment.Agents.CancelSeconds)
	return autoscaler.Options{
		IdleTimeout:    settings.Seconds(n.options.IdleReturnSeconds),
		Warm:           n.options.WarmMachines,
		SafetyRunTimes: n.options.SafetyRunTimes,
		SpotShare:      n.options.SpotShare,
		// A list may be twice as old as the list lag, and a heartbeat may be late.
		UnlistedTimeout: settings.Seconds(2*deployment.Cloud.ListLagSeconds) + time.Second,
		BarrierTimeout:  settings.Seconds(2*deployment.Agents.HeartbeatSeconds) + heartbeatAnswerTimeout,
		OverdueTimeout:  n.unreachableHomes.Timing().HeartbeatOverdue + time.Second,
		SilenceTimeout:  min(lease+4*time.Second, cancel/2),
		// Tasks in a zone that is cut off are kept alive there for no longer than this.
		PartitionedZoneTimeout: cancel,
	}
}

// readCloudList reads the cloud's list of machines if it is due, and then probes the machines that barriers wait for.
func (n *Node) readCloudList(state *provisioning.Provisioner, now time.Time) {
	if !state.BeginListing(now) {
		return
	}
	n.group.Go(func() error {
		hosts, err := n.cloud.List(n.ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil {
			state.ListingFailed()
			n.log.Info("cloud list not read", "err", err)
			return nil
		}
		read := time.Now()
		state.ListingRead(hosts, func(name string) bool { return n.machine(name).gone }, read)
		awaited, _ := n.awaited(read)
		n.probeAwaited(state.Hosts(), awaited)
		return nil
	})
}

// requestScaleOut sends one scale-out request when it has a slot, unless it has become obsolete by then.
func (n *Node) requestScaleOut(ctx context.Context, p *provisioner, request protocol.ScaleOutRequest) {
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return
	}
	n.mu.Lock()
	dropped := p.state.DropObsolete(request, time.Now())
	n.mu.Unlock()
	if dropped {
		n.log.Debug("scale-out request dropped", "request", request.Request, "type", request.Type, "zone", request.Zone, "spot", request.Spot)
		return
	}
	names, err := n.cloud.ScaleOut(ctx, request)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log.Info("scale-out request completed", "request", request.Request, "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"count", request.Count, "got", len(names), "err", err)
	p.state.ScaleOutAnswered(request, names, err == nil || errors.Is(err, cloud.ErrNoCapacity), time.Now())
}

// requestScaleIn asks the cloud to take machines back. Only the cloud's confirmation proves that no task runs on them
// any more.
func (n *Node) requestScaleIn(state *provisioning.Provisioner, names []string) {
	if len(names) == 0 {
		return
	}
	n.group.Go(func() error {
		err := n.cloud.ScaleIn(n.ctx, names)
		n.log.Info("scale-in request completed", "machines", names, "err", err)
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil {
			state.ScaleInFailed(names)
			return nil
		}
		state.ScaleInConfirmed(names)
		for _, name := range names {
			n.machineGone(name)
		}
		return nil
	})
}

// removeGoneMachines removes gone machines from the roster, one batch of writes at a time.
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
