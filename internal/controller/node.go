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

	"topazhollow/internal/admission"
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

// job is what every controller knows of a job that is or was active.
type job struct {
	spec          *protocol.Submission
	submittedAt   time.Time
	version       uint64
	active        bool
	endedAt       time.Time
	countedLate   bool           // counted as not served in time
	goals         jobstate.Goals // cached
	longestRun    time.Duration  // of its tasks that ran to completion as far as seen here
	completedRuns int
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

// peerState is what a controller knows of another one.
type peerState struct {
	connected          bool
	incarnation        uint64
	heardAt            time.Time
	entitled           bool
	leased             bool
	statusClock        int64     // the peer's clock in its last status
	promisedUntil      time.Time // the peer promised to raise no term before
	promisedVersion    uint64    // of the newest control record under which it promised so
	behindSince        time.Time // since when it has known an earlier control record; zero: it does not
	recordSentAt       time.Time // when it was last sent the control record
	demands            []demand
	progress           map[string][2]int
	drainingMachines   map[string]bool
	awaitedMachines    []string
	unansweredMachines []string
	wantedWrites       float64      // changes of the state service that it wants a second; negative if unknown
	plan               admission.ID // the latest plan that it has heard of
	delivery           peer.Delivery
}

// unheardAfter is after what silence a peer counts as not heard: four of its
// statuses.
const unheardAfter = 2 * time.Second

// near says whether the peer is heard.
func (p *peerState) isHeard(now time.Time) bool { return now.Sub(p.heardAt) <= unheardAfter }

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
		kvStore:      kvstore.New(s.Outside.State, s.Deployment.State, count),
		cloud:        cloud.New(s.Outside.Cloud, s.Deployment.Cloud, count),
		wakeRequests: make(chan struct{}, 1), recordHints: make(chan struct{}, 1), syncRequests: make(chan struct{}, 1),
		rng:       rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
		presences: map[string]leadership.Presence{}, shards: shards.NewRegistry(),
		peers: map[string]*peerState{}, jobs: map[string]*job{}, machines: map[string]*machine{}, machinesByJob: map[string]map[string]bool{}, unregistered: map[string]bool{}, roster: newRoster(s),
		commandSenders: map[string]*commandSender{}, changedMachines: map[string]bool{}, membershipSettledAt: now, startedAt: now, leaseRenewedAt: now, promisedUntil: now.Add(promiseLife),
		endLookups: map[string]bool{}, evictions: map[jobstate.AttemptRef]eviction{}, statusRequests: make(chan struct{}, 1), drainingMachines: map[string]bool{}, unreachableHomes: map[string]map[string]misdirection{}, quarantine: quarantine.New(),
		misdirectedAgents: map[string]bool{}, firstSteps: map[string]bool{}, startLatency: hdrhistogram.New(1, time.Hour.Milliseconds(), 2),
	}
	life := settings.Seconds(o.NodeLease)
	n.lease = leadership.Lease{Life: life, Margin: life / 20}
	n.recovery = newRecoveryState(s, life)
	n.admission = newAdmissionState(o)
	n.kvStore.OnSign(n.suspectLossLater)
	n.agents = agents.New(n.capacity, n.size)
	addrs := map[string]string{}
	for _, p := range s.Peers {
		addrs[p.Name] = p.Endpoint
		n.peers[p.Name] = &peerState{}
	}
	n.cancelWatermark = cancelwatermark.New(slices.Collect(maps.Keys(n.peers)), settings.Seconds(s.Deployment.Workers.Cancel), settings.Seconds(s.Deployment.Workers.Lease))
	n.links = peer.New(s.Name, n.incarnation, addrs, (*peerHandler)(n), n.log)
	n.front = userapi.New(s, n.kvStore, (*userBackend)(n))
	if n.teamConfig = newConfigFollow(s, o); n.teamConfig != nil {
		n.front.Follow((*configTenants)(n))
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
			return httpx.Serve(ctx, n.settings.Listen, conns, httpx.Patience{Idle: 90 * time.Second, Slow: 5 * time.Second}, n.handle)
		},
		"peers":   func(ctx context.Context) error { return n.links.Listen(ctx, n.settings.PeerListen) },
		"state":   n.kvStore.Run,
		"lease":   n.keepLease,
		"watch":   n.follow,
		"control": n.keepRecord,
		"tick":    n.runSteps,
		"status":  n.tell,
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
func pause(ctx context.Context, d time.Duration) bool { return wait.For(ctx, d) }

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

func (n *Node) typeOf(name string) *protocol.MachineType {
	for i := range n.machineTypes {
		if n.machineTypes[i].Name == name {
			return &n.machineTypes[i]
		}
	}
	return nil
}

func (n *Node) capacity(machineType string) (cpus, gpus, memory float64, ok bool) {
	t := n.typeOf(machineType)
	if t == nil {
		return 0, 0, 0, false
	}
	return t.CPUs, t.GPUs, t.Memory, true
}

func (n *Node) size(uid string) (cpus, gpus, memory float64) {
	if j := n.jobs[uid]; j != nil {
		return j.spec.CPUs, j.spec.GPUs, j.spec.Memory
	}
	return 0, 0, 0
}

// handle answers what comes to the public address.
func (n *Node) handle(ctx context.Context, c *httpx.Conn, r *httpx.Request) httpx.Answer {
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

// userBackend is the controller as the users' frontend sees it.
type userBackend Node

func (b *userBackend) Types() []protocol.MachineType {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machineTypes
}

func (b *userBackend) Progress(uid string) (done, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	j := n.jobs[uid]
	if j == nil {
		return 0, 0
	}
	if it := n.shards.OfTeam(j.spec.Team); it != nil {
		return it.Team().Progress(uid)
	}
	for _, p := range n.peers {
		if v, ok := p.progress[uid]; ok {
			return v[0], v[1]
		}
	}
	return 0, 0
}

func (b *userBackend) Active(ctx context.Context, uid string) bool {
	n := (*Node)(b)
	n.mu.Lock()
	j := n.jobs[uid]
	likely := j != nil && j.active && j.version > 0
	n.mu.Unlock()
	if !likely || n.waitForChanges(ctx) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// What the store lost is no key of it, so that what is followed cannot tell its end.
	// Before memories are gathered a peer may know the end of one that the store has.
	return j.active && j.version > 0 && n.trusted() && n.memoriesGathered(time.Now())
}

func (b *userBackend) Trusted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	// Before the first control record no change rests on a generation, and a loss cannot be told
	// from the deployment's beginning: nothing is accepted yet.
	return n.watchedKeysRead && n.record != nil && n.trusted() && n.memoriesGathered(time.Now())
}

func (b *userBackend) Remembers(uid string) (userapi.Stored, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[uid]
	if j == nil || !j.active {
		return userapi.Stored{}, 0, false
	}
	return userapi.Stored{Spec: j.spec, At: j.submittedAt.UnixMilli()}, j.version, true
}

// Certain says whether a job that neither the store nor anybody here knows was never
// accepted: all ends were read, this process had time to hear what machines know of
// an earlier store, and nothing was lost for good.
// All that is followed is read up to now first.
func (b *userBackend) Certain(ctx context.Context) bool {
	n := (*Node)(b)
	if n.waitForChanges(ctx) != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return n.trusted() && n.watchedKeysRead && n.record != nil && !n.record.DataLost && n.memoriesGathered(time.Now()) && n.allPeersExchanged(time.Now()) && len(n.endLookups) == 0 &&
		time.Since(n.startedAt) > 2*settings.Seconds(n.settings.Deployment.Workers.Report)+time.Second
}

// Missing has the store looked at before it is doubted: what looks like a loss is far more
// often a change that this controller is about to hear of, and a doubt stops everything.
func (b *userBackend) Missing(uid string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	if j := n.jobs[uid]; j != nil && j.active && j.version > 0 && n.trusted() {
		n.recovery.suspect[userapi.JobKey+uid] = j.version
	}
}

func (b *userBackend) Hold(ctx context.Context, job *userapi.Stored, uid string, end userapi.Final) {
	m := replicateFactMsg{Job: job}
	if job == nil {
		m.Ends = []jobEnd{{uid, end}}
	}
	(*Node)(b).replicateFact(ctx, m)
}

func (b *userBackend) Confirming(uid string, end userapi.Final) {
	b.mu.Lock()
	defer b.mu.Unlock()
	(*Node)(b).announceCancellation(uid, end)
}

func (b *userBackend) Accepted(s userapi.Stored, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	(*Node)(b).logFirst("first submission accepted", time.Now())
	(*Node)(b).learnJob(s, version)
}

func (b *userBackend) Ended(uid string, final userapi.Final) {
	b.mu.Lock()
	defer b.mu.Unlock()
	(*Node)(b).endJob(uid)
}

func (b *userBackend) Healthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	now := time.Now()
	if n.machineTypes == nil {
		return false
	}
	if n.lease.Valid(now) {
		return true
	}
	// Without the state service nothing can be answered, but when no other
	// controller is better off there is nobody to send users to. One that hears none for a while
	// must be taken for the only one that is cut off: its users could ask for as long as that
	// takes and get no answer, while the others serve.
	alone := len(n.peers) > 0
	for _, p := range n.peers {
		if p.leased && p.isHeard(now) {
			return false
		}
		alone = alone && now.Sub(p.heardAt) > aloneAfter
	}
	return !alone && now.Sub(n.startedAt) > 5*time.Second
}

// aloneAfter is after what silence of all peers a controller without a lease sends its users away.
const aloneAfter = 5 * time.Second

// learnJob takes up an active job, unless it is known to be over: its end may have come first, from a
// peer or by a later read of the state service. Owners place it at the next tick.
func (n *Node) learnJob(s userapi.Stored, version uint64) {
	uid := s.Spec.UID
	j := n.jobs[uid]
	delete(n.recovery.tentative, uid)
	if j == nil && n.ended(uid) {
		j = &job{spec: s.Spec, submittedAt: time.UnixMilli(s.At), endedAt: time.Now()}
		n.jobs[uid] = j
	}
	if j != nil && !j.active {
		if version > 0 && n.epoch() > 1 && n.ended(uid) { // an end beats active
			n.recovery.bury[uid] = staleActiveKey{version, time.Now()}
		}
		return
	}
	if j == nil {
		j = &job{spec: s.Spec, submittedAt: time.UnixMilli(s.At), active: true}
		n.jobs[s.Spec.UID] = j
		n.reobserveReserved(s.Spec.UID)
	}
	j.version = max(j.version, version)
	if it := n.shards.OfTeam(s.Spec.Team); it != nil && it.Phase() != shards.Loading && it.Team().Job(s.Spec.UID) == nil {
		n.addJob(it, j, nil)
		if d := n.recovery.done[s.Spec.UID]; d != nil {
			it.Team().Merge(s.Spec.UID, d)
		}
		if n.epoch() > 1 { // machines may run it already
			n.reconcileMachinesOf(it, s.Spec.UID)
		}
		n.wake()
	} else if it != nil {
		it.Team().Written(s.Spec.UID, j.version)
	}
}

// ended says whether a job is remembered to have ended.
func (n *Node) ended(uid string) bool {
	_, ended := n.front.Final(uid)
	return ended
}

// endJob books that a job is over: nothing of it may start any more. One that is not known yet
// stays over when its acceptance is read.
func (n *Node) endJob(uid string) {
	j := n.jobs[uid]
	if j == nil {
		end, _ := n.front.Final(uid)
		n.jobs[uid] = &job{spec: endedSpec(uid, end), endedAt: time.Now()}
		return
	}
	if !j.active {
		return
	}
	j.active, j.endedAt = false, time.Now()
	delete(n.recovery.done, uid)
	if it := n.shards.OfTeam(j.spec.Team); it != nil {
		it.Team().EndJob(uid)
		n.reconcileMachinesOf(it, uid)
	}
	n.wake()
}
