// Package controller assembles a controller process from the packages that make its decisions. Only this package takes
// the lock, reads the clock, runs goroutines and does I/O.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"topazhollow/internal/agents"
	"topazhollow/internal/cancelwatermark"
	"topazhollow/internal/cloud"
	"topazhollow/internal/httpx"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/peer"
	"topazhollow/internal/protocol"
	"topazhollow/internal/quarantine"
	"topazhollow/internal/scheduler"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
	"topazhollow/internal/wait"
)

// Version is the version of the controller program, as logged at start and shown in the overview.
const Version = "0.1.0"

// tick is the interval of the main loop when no event wakes it.
const tick = 100 * time.Millisecond

// Node is one controller process: its connections, its goroutines, and all state that they share under one lock.
type Node struct {
	// Set by New and never changed; safe to read without the lock.
	settings    *settings.Settings
	options     *settings.Options
	log         *slog.Logger
	name        string
	incarnation uint64 // of this process; greater than those of the controller's earlier processes
	startedAt   time.Time

	// Safe for concurrent use by themselves; set by New.
	kvStore *kvstore.Client
	cloud   *cloud.Client
	links   *peer.Links
	userAPI *userapi.Handler

	// Channels that wake a goroutine. Their capacity of one lets senders never block.
	wakeRequests       chan struct{}
	recordReadRequests chan struct{} // wakes the goroutine that reads the membership record, as there may be a newer one
	statusRequests     chan struct{} // wakes sendStatuses

	// The goroutines of this controller. Written once by Run under mu, before any of them starts.
	group *errgroup.Group
	ctx   context.Context

	// mu guards everything below it.
	mu               sync.Mutex
	rng              *rand.Rand
	loggedMilestones map[string]bool // milestones of this process that were logged
	lastStall        time.Duration   // duration of the last stall of this process

	// Who may act: the membership record, the lease and the promises.
	leadership *leadership.State

	// The watched keys of the state service, and the detection of a loss of its data.
	watchedKeysRead  bool   // the watched keys were listed at least once
	followedRevision uint64 // revision of the state service up to which the watched keys are known
	changeReads      *changeReads
	endLookUps       *agents.JobLookups
	cancelWatermark  *cancelwatermark.Watermark // time up to which all confirmed cancellations are known here
	recovery         *recoveryDriver            // data-loss detection, and the data to restore after a loss

	// The peers, by name.
	peers            map[string]*peerState
	progressSentAt   time.Time // when jobs' progress was last sent
	waitingAnnounced bool      // the last status told the peers of unplaced tasks

	// Jobs, and the shards of teams that this controller owns or holds a replica of.
	shards       *shards.Registry // owned shards, and replicas of other owners' shards
	jobs         map[string]*job
	dependencies *dependencyState
	startLatency *hdrhistogram.Histogram // ms from submission until a task is first reported running

	// Machines, and the agents that send their heartbeats to this controller.
	machines         map[string]*machine
	taskIndex        *agents.TaskIndex
	roster           *agents.Roster
	registration     *agents.Registration
	agents           *agents.Registry
	commandSenders   map[string]*commandSender
	unreachableHomes *agents.UnreachableHomes
	probes           barrierProbes
	quarantine       *quarantine.Tracker

	// Placement and preemption.
	scheduler         *scheduler.Scheduler
	runningReviewedAt time.Time // when running tasks were last checked for slowness and eviction notices

	// Quota: admission plans with fair shares and floors, and the teams' configuration.
	admission  *admissionState  // how scarce capacity is divided
	teamConfig *teamConfigState // nil: the teams' configuration is fixed at start

	// The fleet, while this controller owns its shard.
	provisioner *provisioner // nil: this controller does not own the fleet shard, or has not started provisioning
}

// logMilestone logs the first time that this process reaches a milestone, with the time since its start.
func (n *Node) logMilestone(milestone string, now time.Time) {
	if !n.loggedMilestones[milestone] {
		n.loggedMilestones[milestone] = true
		n.log.Info(milestone, "after", now.Sub(n.startedAt))
	}
}

// machine holds what a controller knows of a machine, whoever its home is.
type machine struct {
	agents.Liveness

	status       *jobstate.MachineStatus
	home         string // according to homeRecord; cached by homeFor
	homeRecord   *leadership.Record
	unregistered agents.Unregistered // while the machine is missing from the roster
	gone         bool
	idleSince    time.Time
	slowAt       time.Time // when a task on it was last found far slower than others of its job
}

// Run creates a controller and runs it until the context ends or one of its goroutines fails.
func Run(ctx context.Context, s *settings.Settings, o *settings.Options, log *slog.Logger) error {
	n := New(s, o, log)
	return n.Run(ctx)
}

// New creates a controller without starting it; Node.Run does that.
func New(s *settings.Settings, o *settings.Options, log *slog.Logger) *Node {
	n := newNode(s, o, log, time.Now())
	n.newClients()
	n.newScheduling()
	n.newMachineState()
	leaseLife := settings.Seconds(o.ControllerLeaseSeconds)
	n.newLeadership(leaseLife)
	n.newPeers()
	n.newUserAPI()
	n.newRecovery(leaseLife)
	return n
}

// newNode creates a controller without the state that the other constructors add.
func newNode(s *settings.Settings, o *settings.Options, log *slog.Logger, now time.Time) *Node {
	return &Node{
		settings:           s,
		options:            o,
		log:                log.With("node", s.Name),
		name:               s.Name,
		incarnation:        uint64(now.UnixMicro()),
		startedAt:          now,
		rng:                rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
		wakeRequests:       make(chan struct{}, 1),
		recordReadRequests: make(chan struct{}, 1),
		changeReads:        newChangeReads(),
		statusRequests:     make(chan struct{}, 1),
		loggedMilestones:   map[string]bool{},
	}
}

// newClients creates the clients of the state service and the cloud.
func (n *Node) newClients() {
	controllers := len(n.settings.Peers) + 1
	services, deployment := &n.settings.Services, &n.settings.Deployment
	n.kvStore = kvstore.New(services.KVStore, deployment.KVStore, controllers)
	n.cloud = cloud.New(services.Cloud, deployment.Cloud, controllers)
}

// newMachineState creates the empty state of machines and agents.
func (n *Node) newMachineState() {
	n.agents = agents.New(n.scheduler.Capacity, n.taskSize)
	n.roster = newRoster(n.settings)
	n.quarantine = quarantine.New()
	n.machines = map[string]*machine{}
	n.taskIndex = agents.NewTaskIndex()
	n.registration = agents.NewRegistration()
	n.unreachableHomes = agents.NewUnreachableHomes(agentTiming(n.settings))
	n.commandSenders = map[string]*commandSender{}
}

// newScheduling creates the empty state of jobs, the scheduler and admission.
func (n *Node) newScheduling() {
	n.shards = shards.NewRegistry()
	n.jobs = map[string]*job{}
	n.dependencies = newDependencyState(n)
	n.endLookUps = agents.NewJobLookups()
	n.scheduler = scheduler.New(scheduler.Config{Deployment: &n.settings.Deployment, Options: n.options, Random: n.rng})
	n.admission = newAdmissionState(n.options)
	n.startLatency = hdrhistogram.New(1, time.Hour.Milliseconds(), 2)
}

// newLeadership creates the state of leadership. Life is how long the controller's lease lasts.
func (n *Node) newLeadership(life time.Duration) {
	var peers []string
	for _, p := range n.settings.Peers {
		peers = append(peers, p.Name)
	}
	n.leadership = leadership.New(n.name, n.incarnation, leadership.Lease{TTL: life, Margin: life / 20}, peers, n.startedAt)
}

// newPeers creates the state of the peers and the links to them.
func (n *Node) newPeers() {
	n.peers = map[string]*peerState{}
	addrs := map[string]string{}
	for _, p := range n.settings.Peers {
		addrs[p.Name] = p.Endpoint
		n.peers[p.Name] = &peerState{}
	}
	deadlines := &n.settings.Deployment.Agents
	cancel, lease := settings.Seconds(deadlines.CancelSeconds), settings.Seconds(deadlines.LeaseSeconds)
	n.cancelWatermark = cancelwatermark.New(slices.Collect(maps.Keys(n.peers)), cancel, lease)
	n.links = peer.New(n.name, n.incarnation, addrs, peerHandler{n}, n.log)
}

// newUserAPI creates the handler of the user API.
func (n *Node) newUserAPI() {
	n.userAPI = userapi.New(n.settings, n.kvStore, userBackend{n})
	n.teamConfig = newTeamConfigState(n.settings, n.options)
	if n.teamConfig != nil {
		n.userAPI.UseTeams(configuredTeams{n})
	}
}

// newRecovery creates the data recovery, which drives most of the other parts.
func (n *Node) newRecovery(leaseLife time.Duration) {
	n.recovery = newRecoveryDriver(n, leaseLife)
	n.kvStore.OnDataLoss(n.recovery.detection.storeReportsLoss)
}

// Run starts the controller's goroutines and waits until the context ends or one of them fails.
func (n *Node) Run(ctx context.Context) error {
	limitMemory(n.settings.Deployment.Limits.MemoryMB)
	group, ctx := errgroup.WithContext(ctx)
	n.mu.Lock()
	n.group, n.ctx = group, ctx
	n.mu.Unlock()
	n.log.Info("starting", "version", Version, "incarnation", n.incarnation, "zone", n.settings.Zone,
		"controllers", len(n.settings.Peers)+1)
	for name, loop := range n.backgroundLoops() {
		group.Go(func() error {
			if err := loop(ctx); err != nil && ctx.Err() == nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		})
	}
	for _, p := range n.settings.Peers {
		group.Go(func() error { return n.links.KeepConnected(ctx, p.Name) })
	}
	return group.Wait()
}

// limitMemory trades memory for processor time, as most of the allowed memory is unused: the garbage collector runs
// half as often as by default, and more often again only when memory use approaches three quarters of the limit.
func limitMemory(megabytes float64) {
	debug.SetGCPercent(200)
	debug.SetMemoryLimit(int64(megabytes * 0.75 * (1 << 20)))
}

// backgroundLoops maps the name of each of the controller's goroutines, which its errors are reported under, to its
// function. Each runs until the context ends.
func (n *Node) backgroundLoops() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"serve":   n.serve,
		"peers":   func(ctx context.Context) error { return n.links.Listen(ctx, n.settings.PeerListen) },
		"state":   n.kvStore.Run,
		"lease":   n.maintainLease,
		"watch":   n.followWatchedKeys,
		"control": n.changeRecord,
		"tick":    n.runSteps,
		"status":  n.sendStatuses,
		"save":    n.savePages,
		"enrol":   n.registerMachines,
		"sync":    n.readChangesOnRequest,
		"store":   n.recovery.monitorStore,
		"ends":    n.recovery.writeBack.loadStoredEnds,
		"census":  n.recovery.census.runMachineCensus,
		"catalog": n.readCatalog,
		"probe":   n.probeOwnReachability,
		"fleet":   n.runFleet,
	}
}

// Bounds of the number of connections that the public address accepts at a time.
const (
	minConnections  = 32
	reservedSockets = 100 // for connections to peers, agents, the state service and the cloud
)

// serve runs the HTTP server of the public address, which users and agents send requests to.
func (n *Node) serve(ctx context.Context) error {
	connections := max(minConnections, n.settings.Deployment.Limits.MaxSockets*7/10-reservedSockets)
	timeouts := httpx.Timeouts{Idle: 90 * time.Second, Request: 5 * time.Second}
	return httpx.Serve(ctx, n.settings.Listen, connections, timeouts, n.serveHTTP)
}

// wake makes the main loop run its next step soon.
func (n *Node) wake() {
	select {
	case n.wakeRequests <- struct{}{}:
	default:
	}
}

// sleep waits for a duration and returns false if the context ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool { return wait.For(ctx, d) }

// entitled returns whether this controller may act: start and stop tasks, and renew agents' leases.
func (n *Node) entitled(now time.Time) bool {
	return n.leadership.Entitled(now, n.recovery.detection.Trusted())
}

// serveHTTP answers a request to the public address: a heartbeat, the overview, a pipeline, or a call of
// the user API.
func (n *Node) serveHTTP(ctx context.Context, c *httpx.Conn, r *httpx.Request) httpx.Answer {
	if r.Path == protocol.PathHeartbeat {
		if r.Method != "POST" {
			return methodNotAllowed("POST")
		}
		c.Pin()
		return n.handleHeartbeat(r.Body)
	}
	if r.Path == "/overview" {
		if r.Method != "GET" {
			return methodNotAllowed("GET")
		}
		return httpx.Answer{Status: 200, Body: protocol.Encode(n.overview(time.Now()))}
	}
	if strings.HasPrefix(r.Path, pathPipelines+"/") {
		return n.handlePipeline(r)
	}
	if a, ok := n.userAPI.Handle(ctx, r); ok {
		return a
	}
	return httpx.Refuse(404, "no such path")
}

// methodNotAllowed refuses a request whose path has only the given method.
func methodNotAllowed(allowed string) httpx.Answer {
	a := httpx.Refuse(405, "method not allowed")
	a.Allow = allowed
	return a
}
