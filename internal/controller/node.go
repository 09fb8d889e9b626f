// Package controller composes one controller from its parts. It alone holds the
// lock, reads the clock, runs goroutines and does I/O; the packages below it decide.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"slices"
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

// Version is the version of the program.
const Version = "0.1.0"

// tick is how often a controller looks at everything even if nothing happened.
const tick = 100 * time.Millisecond

// Node is one controller. It composes the parts: it alone holds the lock, reads the clock, runs goroutines and does
// I/O.
type Node struct {
	// Set by New and never changed; safe to read without the lock.
	settings    *settings.Settings
	options     *settings.Options
	log         *slog.Logger
	name        string
	incarnation uint64 // of this process; later ones of the same controller have greater ones
	startedAt   time.Time

	// Safe for concurrent use by themselves; set by New.
	kvStore *kvstore.Client
	cloud   *cloud.Client
	links   *peer.Links
	front   *userapi.Handler

	// Channels that wake a goroutine; of room one, so that a sender never waits.
	wakeRequests       chan struct{}
	recordReadRequests chan struct{} // wakes the reader of the followed keys: there may be a newer record
	statusRequests     chan struct{} // wakes sendStatuses

	// The goroutines of this controller. Written once by Run under mu, before any of them starts.
	group *errgroup.Group
	ctx   context.Context

	// mu guards everything below it.
	mu         sync.Mutex
	rng        *rand.Rand
	firstSteps map[string]bool // steps of this process that were logged
	lastStall  time.Duration   // the last time that this controller was stalled for

	// Who may act: the membership record, the lease and the promises.
	leadership *leadership.State

	// What is followed of the state service's data, and what is known of a loss of it.
	watchedKeysRead  bool   // the watched keys were read
	followedRevision uint64 // of the state service, up to which the watched keys are known
	changeReads      *changeReads
	endLookUps       *agents.EndLookUps
	cancelWatermark  *cancelwatermark.Watermark // up to when all confirmed cancellations are known here
	recovery         *recoveryState             // what is known of the state service, and must outlive it

	// The peers, by name.
	peers            map[string]*peerState
	progressSentAt   time.Time // when jobs' progress was last sent
	waitingAnnounced bool      // peers know of tasks that wait

	// Jobs, and the shards of teams whose owner or replica this controller is.
	shards       *shards.Registry // what this controller owns, and holds for others
	jobs         map[string]*job
	startLatency *hdrhistogram.Histogram // ms from submission to a task seen running

	// Machines, and the agents that report here.
	machines         map[string]*machine
	taskIndex        *agents.TaskIndex
	roster           *agents.Roster
	registration     *agents.Registration
	agents           *agents.Registry
	commandSenders   map[string]*commandSender
	unreachableHomes *agents.UnreachableHomes
	probes           barrierProbes
	quarantine       *quarantine.Tracker

	// What starts where, and what makes room for others.
	scheduler         *scheduler.Scheduler
	runningReviewedAt time.Time // when running tasks were last looked over

	// Quota: plans of fair shares and floors, and the configuration of the teams.
	admission  *admissionState  // who gets how much of what is short
	teamConfig *teamConfigState // the teams' configuration; nil: it does not change

	// The fleet, while this controller owns its shard.
	provisioner *provisioner // nil: this controller does not own the fleet shard, or has not begun to
}

// logFirst logs once when this process came to a step, for how long after its start.
func (n *Node) logFirst(step string, now time.Time) {
	if !n.firstSteps[step] {
		n.firstSteps[step] = true
		n.log.Info(step, "after", now.Sub(n.startedAt))
	}
}

// machine is what every controller knows of a machine.
type machine struct {
	agents.Liveness

	status       *jobstate.MachineStatus
	home         string // by homeRecord
	homeRecord   *leadership.Record
	unregistered agents.Unregistered // while its machine is on no list
	gone         bool
	idleSince    time.Time
	slowAt       time.Time // when a task here was last found far slower than others of its job
}

// Run serves until the context ends.
func Run(ctx context.Context, s *settings.Settings, o *settings.Options, log *slog.Logger) error {
	n := New(s, o, log)
	return n.Run(ctx)
}

// New makes a controller that does nothing yet; Run starts it.
func New(s *settings.Settings, o *settings.Options, log *slog.Logger) *Node {
	n := newNode(s, o, log, time.Now())
	n.newClients()
	n.newScheduling()
	n.newMachineState()
	n.newLeadership(settings.Seconds(o.ControllerLeaseSeconds))
	n.newPeers()
	n.newUserAPI()
	return n
}

// newNode makes a controller without its parts.
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
		firstSteps:         map[string]bool{},
	}
}

// newClients makes what talks to the state service and the cloud.
func (n *Node) newClients() {
	controllers := len(n.settings.Peers) + 1
	outside, deployment := &n.settings.Outside, &n.settings.Deployment
	n.kvStore = kvstore.New(outside.KVStore, deployment.KVStore, controllers)
	n.kvStore.OnDataLoss(n.storeReportsLoss)
	n.cloud = cloud.New(outside.Cloud, deployment.Cloud, controllers)
}

// newMachineState makes what is known of machines.
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

// newScheduling makes what is known of jobs and of who gets how much.
func (n *Node) newScheduling() {
	n.shards = shards.NewRegistry()
	n.jobs = map[string]*job{}
	n.endLookUps = agents.NewEndLookUps()
	n.scheduler = scheduler.New(scheduler.Config{Deployment: &n.settings.Deployment, Options: n.options, Random: n.rng})
	n.admission = newAdmissionState(n.options)
	n.startLatency = hdrhistogram.New(1, time.Hour.Milliseconds(), 2)
}

// newLeadership makes what is known of who may act, and of the state service's data. Life is that of the lease.
func (n *Node) newLeadership(life time.Duration) {
	var peers []string
	for _, p := range n.settings.Peers {
		peers = append(peers, p.Name)
	}
	n.leadership = leadership.New(n.name, n.incarnation, leadership.Lease{TTL: life, Margin: life / 20}, peers, n.startedAt)
	n.recovery = newRecoveryState(n.settings, n.incarnation, life)
}

// newPeers makes what is known of the peers, and the links to them.
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

// newUserAPI makes what answers users.
func (n *Node) newUserAPI() {
	n.front = userapi.New(n.settings, n.kvStore, userBackend{n})
	n.teamConfig = newTeamConfigState(n.settings, n.options)
	if n.teamConfig != nil {
		n.front.UseTeams(configTenants{n})
	}
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	limitMemory(n.settings.Deployment.Limits.MemoryMB)
	group, ctx := errgroup.WithContext(ctx)
	n.mu.Lock()
	n.group, n.ctx = group, ctx
	n.mu.Unlock()
	n.log.Info("starting", "version", Version, "incarnation", n.incarnation, "zone", n.settings.Zone,
		"controllers", len(n.settings.Peers)+1)
	for name, duty := range n.duties() {
		group.Go(func() error {
			if err := duty(ctx); err != nil && ctx.Err() == nil {
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

// limitMemory has half as many garbage collections as usual, and more again only towards three quarters of the memory
// that is allowed: most of it is unused.
func limitMemory(megabytes float64) {
	debug.SetGCPercent(200)
	debug.SetMemoryLimit(int64(megabytes * 0.75 * (1 << 20)))
}

// duties are the goroutines of a controller, by the name that an error of one is reported under. Each runs until the
// context ends.
func (n *Node) duties() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
		"serve":   n.serve,
		"peers":   func(ctx context.Context) error { return n.links.Listen(ctx, n.settings.PeerListen) },
		"state":   n.kvStore.Run,
		"lease":   n.keepLease,
		"watch":   n.follow,
		"control": n.changeRecord,
		"tick":    n.runSteps,
		"status":  n.sendStatuses,
		"save":    n.savePages,
		"enrol":   n.registerMachines,
		"sync":    n.readChangesOnRequest,
		"store":   n.watchStore,
		"ends":    n.loadStoredEnds,
		"census":  n.countMachines,
		"catalog": n.readCatalog,
		"probe":   n.probeOwnReachability,
		"fleet":   n.runFleet,
	}
}

// Connections that the public address takes at a time.
const (
	minConnections  = 32
	reservedSockets = 100 // for peers, agents, the state service and the cloud
)

// serve answers at the public address.
func (n *Node) serve(ctx context.Context) error {
	connections := max(minConnections, n.settings.Deployment.Limits.MaxSockets*7/10-reservedSockets)
	timeouts := httpx.Timeouts{Idle: 90 * time.Second, Request: 5 * time.Second}
	return httpx.Serve(ctx, n.settings.Listen, connections, timeouts, n.serveHTTP)
}

// wake has the main loop look at everything soon.
func (n *Node) wake() {
	select {
	case n.wakeRequests <- struct{}{}:
	default:
	}
}

// sleep waits, and says false when the context ended.
func sleep(ctx context.Context, d time.Duration) bool { return wait.For(ctx, d) }

// entitled says whether this controller may act.
func (n *Node) entitled(now time.Time) bool { return n.leadership.Entitled(now, n.trusted()) }

// handle answers what comes to the public address.
func (n *Node) serveHTTP(ctx context.Context, c *httpx.Conn, r *httpx.Request) httpx.Answer {
	if r.Path == protocol.PathHeartbeat {
		if r.Method != "POST" {
			a := httpx.Refuse(405, "method not allowed")
			a.Allow = "POST"
			return a
		}
		c.Pin()
		return n.handleHeartbeat(r.Body)
	}
	if r.Path == "/overview" {
		if r.Method != "GET" {
			a := httpx.Refuse(405, "method not allowed")
			a.Allow = "GET"
			return a
		}
		return httpx.Answer{Status: 200, Body: protocol.Encode(n.overview(time.Now()))}
	}
	if a, ok := n.front.Handle(ctx, r); ok {
		return a
	}
	return httpx.Refuse(404, "no such path")
}
