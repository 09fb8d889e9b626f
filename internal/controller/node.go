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
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
	"topazhollow/internal/quarantine"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
	"topazhollow/internal/wait"
)

// Version is the version of the program.
const Version = "0.1.0"

// tick is how often a controller looks at everything even if nothing happened.
const tick = 100 * time.Millisecond

// Node is one controller.
type Node struct {
	settings    *settings.Settings
	options     *settings.Options
	log         *slog.Logger
	name        string
	incarnation uint64 // incarnation: later processes of a controller have greater ones

	kvStore      *kvstore.Client
	cloud        *cloud.Client
	links        *peer.Links
	front        *userapi.Frontend
	wakeRequests chan struct{}
	recordHints  chan struct{} // wakes the watch's reader after a hint of a newer record

	mu                   sync.Mutex
	rng                  *rand.Rand
	placeable            []*machine       // those with a view, for placement
	hostBuffer           []placement.Host // the present step's copy
	allHostsBuffer       []placement.Host
	freeing              []ends // what running tasks give back, as of endsAt
	freeingAt            time.Time
	runningReviewedAt    time.Time // when running tasks were last looked over
	preemptionReviewedAt time.Time // when it was last looked whom to stop for others
	progressSentAt       time.Time // when jobs' progress was last told
	lease                leadership.Lease
	leaseID              uint64
	record               *leadership.Record
	recordVersion        uint64 // of the record's key
	membershipSettledAt  time.Time
	presences            map[string]leadership.Presence
	watchedKeysRead      bool                       // the watched keys were read
	followedRevision     uint64                     // of the state service, up to which the watched keys are known
	cancelWatermark      *cancelwatermark.Watermark // up to when all confirmed withdrawals are known here
	syncWaiters          []chan error               // those who wait for a read of the changes
	syncRequests         chan struct{}
	memberMissingSince   time.Time
	shards               *shards.Registry // what this controller owns, and holds for others
	peers                map[string]*peerState
	jobs                 map[string]*job
	machines             map[string]*machine
	machinesByJob        map[string]map[string]bool // by job, the machines that list any task of it
	roster               *agents.Roster
	unregistered         map[string]bool // machines to be registered
	removingGone         bool            // gone machines are being taken off the roster
	agents               *agents.Registry
	commandSenders       map[string]*commandSender
	machineTypes         []protocol.MachineType
	changedMachines      map[string]bool // machines whose view is to be told to peers
	termChangedAt        time.Time
	leaseRenewedAt       time.Time // last renewal of the lease that worked
	promisedUntil        time.Time // this controller raises no term before
	recordChangePending  bool      // a change of the record is on its way
	unansweredVersion    uint64    // version under which a change had no answer
	evictions            map[jobstate.AttemptRef]eviction
	waitingAnnounced     bool          // peers know of tasks that wait
	statusRequests       chan struct{} // wakes the duty that tells peers
	endLookups           map[string]bool
	drainingMachines     map[string]bool
	unreachableHomes     map[string]map[string]misdirection // homes that machines tried in vain
	quarantine           *quarantine.Tracker
	latePlaces           []string                // places where machines come up late, as the fleet's owner sees it
	lastStall            time.Duration           // how long this controller stood still last
	startLatency         *hdrhistogram.Histogram // ms from submission to a task seen running
	agentsReachable      bool                    // workers can be reached again
	group                *errgroup.Group
	ctx                  context.Context
	startedAt            time.Time
	probes               barrierProbes
	misdirectedAgents    map[string]bool // machines of other homes that reported here since the last status
	firstSteps           map[string]bool // what was told of this process's first steps
	admission            *admissionState // who gets how much of what is short
	recovery             *recoveryState  // what is known of the state service, and must outlive it
	teamConfig           *configFollow   // the teams' configuration; nil: it does not change
}

// first logs once when this process came to a step, for how long after its start.
func (n *Node) logFirst(step string, now time.Time) {
	if !n.firstSteps[step] {
		n.firstSteps[step] = true
		n.log.Info(step, "after", now.Sub(n.startedAt))
	}
}

// machine is what every controller knows of a machine.
type machine struct {
	status            *jobstate.MachineStatus
	host              placement.Host // its entry for placement, if counted
	counted           bool
	heardAt           time.Time
	homeHeardAt       time.Time // when its home last heard it, as far as told
	homeWatermark     time.Time // a start that its home sent and that may still arrive was sent knowing all withdrawals before
	home              string    // by the record homeBy
	homeRecord        *leadership.Record
	keptAliveAt       time.Time // when it was last kept alive here as its home was silent
	misdirectedAt     time.Time // when it last reported to a controller that is not its home
	unregisteredSince time.Time // since when it reports tasks though it is on no list of machines
	inspectedAt       time.Time // when it was last asked whether it is there
	images            map[string]bool
	gone              bool
	idleSince         time.Time
	slowAt            time.Time                         // when a task here was last found far slower than its kin
	runningSince      map[jobstate.AttemptRef]time.Time // since when a listed task was seen running
}

// Run serves until the context ends.
func Run(ctx context.Context, s *settings.Settings, o *settings.Options, log *slog.Logger) error {
	n := New(s, o, log)
	return n.Run(ctx)
}

// New makes a controller that does nothing yet.
func New(s *settings.Settings, o *settings.Options, log *slog.Logger) *Node {
	count := len(s.Peers) + 1
	now := time.Now()
	n := &Node{
		settings: s, options: o, log: log.With("node", s.Name), name: s.Name,
		incarnation:  uint64(now.UnixMicro()),
		kvStore:      kvstore.New(s.Outside.KVStore, s.Deployment.KVStore, count),
		cloud:        cloud.New(s.Outside.Cloud, s.Deployment.Cloud, count),
		wakeRequests: make(chan struct{}, 1), recordHints: make(chan struct{}, 1), syncRequests: make(chan struct{}, 1),
		rng:       rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
		presences: map[string]leadership.Presence{}, shards: shards.NewRegistry(),
		peers: map[string]*peerState{}, jobs: map[string]*job{}, machines: map[string]*machine{}, machinesByJob: map[string]map[string]bool{}, unregistered: map[string]bool{}, roster: newRoster(s),
		commandSenders: map[string]*commandSender{}, changedMachines: map[string]bool{}, membershipSettledAt: now, startedAt: now, leaseRenewedAt: now, promisedUntil: now.Add(promiseLife),
		endLookups: map[string]bool{}, evictions: map[jobstate.AttemptRef]eviction{}, statusRequests: make(chan struct{}, 1), drainingMachines: map[string]bool{}, unreachableHomes: map[string]map[string]misdirection{}, quarantine: quarantine.New(),
		misdirectedAgents: map[string]bool{}, firstSteps: map[string]bool{}, startLatency: hdrhistogram.New(1, time.Hour.Milliseconds(), 2),
	}
	life := settings.Seconds(o.ControllerLeaseSeconds)
	n.lease = leadership.Lease{Life: life, Margin: life / 20}
	n.recovery = newRecoveryState(s, n.incarnation, life)
	n.admission = newAdmissionState(o)
	n.kvStore.OnSign(n.suspectLossLater)
	n.agents = agents.New(n.capacity, n.taskSize)
	addrs := map[string]string{}
	for _, p := range s.Peers {
		addrs[p.Name] = p.Endpoint
		n.peers[p.Name] = &peerState{}
	}
	n.cancelWatermark = cancelwatermark.New(slices.Collect(maps.Keys(n.peers)), settings.Seconds(s.Deployment.Agents.CancelSeconds), settings.Seconds(s.Deployment.Agents.LeaseSeconds))
	n.links = peer.New(s.Name, n.incarnation, addrs, peerHandler{n}, n.log)
	n.front = userapi.New(s, n.kvStore, userBackend{n})
	if n.teamConfig = newConfigFollow(s, o); n.teamConfig != nil {
		n.front.Follow(configTenants{n})
	}
	return n
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	// Most of the memory that is allowed stands empty: half as many collections, and more again
	// only towards the limit.
	debug.SetGCPercent(200)
	debug.SetMemoryLimit(int64(n.settings.Deployment.Limits.MemoryMB * 0.75 * (1 << 20)))
	group, ctx := errgroup.WithContext(ctx)
	n.mu.Lock()
	n.group, n.ctx = group, ctx
	n.mu.Unlock()
	n.log.Info("starting", "version", Version, "incarnation", n.incarnation, "zone", n.settings.Zone, "controllers", len(n.settings.Peers)+1)
	conns := n.settings.Deployment.Limits.MaxSockets*7/10 - 100
	if conns < 32 {
		conns = 32
	}
	duties := map[string]func(context.Context) error{
		"serve": func(ctx context.Context) error {
			return httpx.Serve(ctx, n.settings.Listen, conns, httpx.Patience{Idle: 90 * time.Second, Slow: 5 * time.Second}, n.serveHTTP)
		},
		"peers":   func(ctx context.Context) error { return n.links.Listen(ctx, n.settings.PeerListen) },
		"state":   n.kvStore.Run,
		"lease":   n.keepLease,
		"watch":   n.follow,
		"control": n.keepRecord,
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
	for name, duty := range duties {
		group.Go(func() error {
			if err := duty(ctx); err != nil && ctx.Err() == nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		})
	}
	for _, p := range n.settings.Peers {
		group.Go(func() error { return n.links.Dial(ctx, p.Name) })
	}
	return group.Wait()
}

func (n *Node) wake() {
	select {
	case n.wakeRequests <- struct{}{}:
	default:
	}
}

// pause waits, and says false when the context ended.
func sleep(ctx context.Context, d time.Duration) bool { return wait.For(ctx, d) }

// promiseLife is how long a promise not to raise the term holds.
const promiseLife = 3 * time.Second

// entitled says whether this controller may act: the state service has what it
// acknowledged, as far as known, the record names this process, and either its lease lives or every other controller promised to raise no
// term for now, under this record or an earlier one.
func (n *Node) entitled(now time.Time) bool {
	return n.record != nil && n.trusted() && n.record.Nodes[n.name] == n.incarnation && (n.lease.Valid(now) || n.holdsPromises(now))
}

func (n *Node) holdsPromises(now time.Time) bool {
	for _, p := range n.peers {
		// One that knows a later record promises not to raise the term above that one: this
		// controller may have no part in it.
		if !now.Before(p.promisedUntil) || p.promisedVersion > n.recordVersion {
			return false
		}
	}
	return true
}

// promises says whether this controller can promise its peers not to raise the
// term: its own lease is not being renewed, as in an outage of the state
// service, and no change of the record that it sent may still be applied.
func (n *Node) promises(now time.Time) bool {
	return now.Sub(n.leaseRenewedAt) > n.lease.Life*2/5 && !n.recordChangePending && n.unansweredVersion == 0 && n.trusted()
}

func (n *Node) machineType(name string) *protocol.MachineType {
	for i := range n.machineTypes {
		if n.machineTypes[i].Name == name {
			return &n.machineTypes[i]
		}
	}
	return nil
}

func (n *Node) capacity(machineType string) (cpus, gpus, memory float64, ok bool) {
	t := n.machineType(machineType)
	if t == nil {
		return 0, 0, 0, false
	}
	return t.CPUs, t.GPUs, t.MemoryGB, true
}

func (n *Node) taskSize(uid string) (cpus, gpus, memory float64) {
	if j := n.jobs[uid]; j != nil {
		return j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB
	}
	return 0, 0, 0
}

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
