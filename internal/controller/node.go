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
	"topazhollow/internal/userapi"
	"topazhollow/internal/wait"
)

// Version is the version of the program.
const Version = "0.1.0"

// tick is how often a controller looks at everything even if nothing happened.
const tick = 100 * time.Millisecond

// Node is one controller.
type Node struct {
	set  *settings.Settings
	opt  *settings.Options
	log  *slog.Logger
	name string
	inc  uint64 // incarnation: later processes of a controller have greater ones

	state *kvstore.Client
	cloud *cloud.Client
	links *peer.Links
	front *userapi.Frontend
	kick  chan struct{}
	renew chan struct{} // wakes the watch's reader after a hint of a newer record

	mu         sync.Mutex
	rng        *rand.Rand
	board      []*machine       // those with a view, for placement
	scratch    []placement.Host // the present step's copy
	scratchAll []placement.Host
	ends       []ends // what running tasks give back, as of endsAt
	endsAt     time.Time
	looked     time.Time // when running tasks were last looked over
	preempted  time.Time // when it was last looked whom to stop for others
	progressed time.Time // when jobs' progress was last told
	lease      leadership.Lease
	grant      uint64
	record     *leadership.Record
	version    uint64 // of the record's key
	settled    time.Time
	live       map[string]leadership.Presence
	listed     bool                     // the watched keys were read
	revision   uint64                   // of the state service, up to which the watched keys are known
	horizon    *cancelwatermark.Horizon // up to when all confirmed withdrawals are known here
	unsynced   []chan error             // those who wait for a read of the changes
	syncNow    chan struct{}
	missing    time.Time
	items      map[string]*item
	backups    map[string]*backup
	peers      map[string]*peerState
	jobs       map[string]*job
	machines   map[string]*machine
	lists      map[string]map[string]bool // by job, the machines that list any task of it
	roster     *agents.Roster
	enrolling  map[string]bool // machines to be registered
	striking   bool            // gone machines are being taken off the roster
	home       *agents.Home
	doers      map[string]*doer
	types      []protocol.MachineType
	fresh      map[string]bool // machines whose view is to be told to peers
	bumped     time.Time
	renewed    time.Time // last renewal of the lease that worked
	promised   time.Time // this controller raises no term before
	raising    bool      // a change of the record is on its way
	unsure     uint64    // version under which a change had no answer
	evicting   map[jobstate.Ref]eviction
	told       bool          // peers know of tasks that wait
	news       chan struct{} // wakes the duty that tells peers
	lookups    map[string]bool
	drain      map[string]bool
	deaf       map[string]map[string]vain // homes that machines tried in vain
	blame      *quarantine.Judge
	late       []string                // places where machines come up late, as the fleet's owner sees it
	still      time.Duration           // how long this controller stood still last
	waits      *hdrhistogram.Histogram // ms from submission to a task seen running
	hears      bool                    // workers can be reached again
	group      *errgroup.Group
	ctx        context.Context
	began      time.Time
	probed     barrierProbes
	stray      map[string]bool // machines of other homes that reported here since the last status
	firsts     map[string]bool // what was told of this process's first steps
	admit      *admit          // who gets how much of what is short
	store      *keeping        // what is known of the state service, and must outlive it
	config     *configFollow   // the teams' configuration; nil: it does not change
}

// first logs once when this process came to a step, for how long after its start.
func (n *Node) first(step string, now time.Time) {
	if !n.firsts[step] {
		n.firsts[step] = true
		n.log.Info(step, "after", now.Sub(n.began))
	}
}

// job is what every controller knows of a job that is or was active.
type job struct {
	spec    *protocol.Submission
	at      time.Time
	version uint64
	active  bool
	ended   time.Time
	late    bool           // counted as not served in time
	goals   jobstate.Goals // cached
	longest time.Duration  // of its tasks that ran to completion as far as seen here
	runs    int
}

// machine is what every controller knows of a machine.
type machine struct {
	view      *jobstate.View
	host      placement.Host // its entry for placement, if counted
	counted   bool
	heard     time.Time
	homed     time.Time // when its home last heard it, as far as told
	homeKnew  time.Time // a start that its home sent and that may still arrive was sent knowing all withdrawals before
	home      string    // by the record homeBy
	homeBy    *leadership.Record
	spared    time.Time // when it was last kept alive here as its home was silent
	came      time.Time // when it last reported to a controller that is not its home
	unlisted  time.Time // since when it reports tasks though it is on no list of machines
	inspected time.Time // when it was last asked whether it is there
	images    map[string]bool
	gone      bool
	idle      time.Time
	slow      time.Time                  // when a task here was last found far slower than its kin
	running   map[jobstate.Ref]time.Time // since when a listed task was seen running
}

// peerState is what a controller knows of another one.
type peerState struct {
	up       bool
	inc      uint64
	heard    time.Time
	entitled bool
	leased   bool
	at       int64     // the peer's clock in its last status
	until    time.Time // the peer promised to raise no term before
	version  uint64    // of the newest control record under which it promised so
	behind   time.Time // since when it has known an earlier control record; zero: it does not
	taught   time.Time // when it was last sent the control record
	demands  []demand
	progress map[string][2]int
	drain    map[string]bool
	awaits   []string
	mute     []string
	writes   float64      // changes of the state service that it wants a second; negative if unknown
	plan     admission.ID // the latest plan that it has heard of
	delivery peer.Delivery
}

// unheardAfter is after what silence a peer counts as not heard: four of its
// statuses.
const unheardAfter = 2 * time.Second

// near says whether the peer is heard.
func (p *peerState) near(now time.Time) bool { return now.Sub(p.heard) <= unheardAfter }

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
		set: s, opt: o, log: log.With("node", s.Name), name: s.Name,
		inc:   uint64(now.UnixMicro()),
		state: kvstore.New(s.Outside.State, s.Deployment.State, count),
		cloud: cloud.New(s.Outside.Cloud, s.Deployment.Cloud, count),
		kick:  make(chan struct{}, 1), renew: make(chan struct{}, 1), syncNow: make(chan struct{}, 1),
		rng:  rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
		live: map[string]leadership.Presence{}, items: map[string]*item{}, backups: map[string]*backup{},
		peers: map[string]*peerState{}, jobs: map[string]*job{}, machines: map[string]*machine{}, lists: map[string]map[string]bool{}, enrolling: map[string]bool{}, roster: newRoster(s),
		doers: map[string]*doer{}, fresh: map[string]bool{}, settled: now, began: now, renewed: now, promised: now.Add(promiseLife),
		lookups: map[string]bool{}, evicting: map[jobstate.Ref]eviction{}, news: make(chan struct{}, 1), drain: map[string]bool{}, deaf: map[string]map[string]vain{}, blame: quarantine.New(),
		stray: map[string]bool{}, firsts: map[string]bool{}, waits: hdrhistogram.New(1, time.Hour.Milliseconds(), 2),
	}
	life := settings.Seconds(o.NodeLease)
	n.lease = leadership.Lease{Life: life, Margin: life / 20}
	n.store = newKeeping(s, life)
	n.admit = newAdmit(o)
	n.state.OnSign(n.sign)
	n.home = agents.New(n.capacity, n.size)
	addrs := map[string]string{}
	for _, p := range s.Peers {
		addrs[p.Name] = p.Endpoint
		n.peers[p.Name] = &peerState{}
	}
	n.horizon = cancelwatermark.New(slices.Collect(maps.Keys(n.peers)), settings.Seconds(s.Deployment.Workers.Cancel), settings.Seconds(s.Deployment.Workers.Lease))
	n.links = peer.New(s.Name, n.inc, addrs, (*peerHandler)(n), n.log)
	n.front = userapi.New(s, n.state, (*userBackend)(n))
	if n.config = newConfigFollow(s, o); n.config != nil {
		n.front.Follow((*configTenants)(n))
	}
	return n
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	// Most of the memory that is allowed stands empty: half as many collections, and more again
	// only towards the limit.
	debug.SetGCPercent(200)
	debug.SetMemoryLimit(int64(n.set.Deployment.Limits.MemoryMB * 0.75 * (1 << 20)))
	group, ctx := errgroup.WithContext(ctx)
	n.mu.Lock()
	n.group, n.ctx = group, ctx
	n.mu.Unlock()
	n.log.Info("starting", "version", Version, "incarnation", n.inc, "zone", n.set.Zone, "controllers", len(n.set.Peers)+1)
	conns := n.set.Deployment.Limits.MaxSockets*7/10 - 100
	if conns < 32 {
		conns = 32
	}
	duties := map[string]func(context.Context) error{
		"serve": func(ctx context.Context) error {
			return httpx.Serve(ctx, n.set.Listen, conns, httpx.Patience{Idle: 90 * time.Second, Slow: 5 * time.Second}, n.handle)
		},
		"peers":   func(ctx context.Context) error { return n.links.Listen(ctx, n.set.PeerListen) },
		"state":   n.state.Run,
		"lease":   n.keepLease,
		"watch":   n.follow,
		"control": n.keepRecord,
		"tick":    n.work,
		"status":  n.tell,
		"save":    n.save,
		"enrol":   n.enrol,
		"sync":    n.keepSynced,
		"store":   n.keepStore,
		"ends":    n.readEnds,
		"census":  n.takeCensus,
		"catalog": n.readCatalog,
		"probe":   n.probe,
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
	for _, p := range n.set.Peers {
		group.Go(func() error { return n.links.Dial(ctx, p.Name) })
	}
	return group.Wait()
}

func (n *Node) wake() {
	select {
	case n.kick <- struct{}{}:
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
	return n.record != nil && n.trusted() && n.record.Nodes[n.name] == n.inc && (n.lease.Valid(now) || n.holdsPromises(now))
}

func (n *Node) holdsPromises(now time.Time) bool {
	for _, p := range n.peers {
		// One that knows a later record promises not to raise the term above that one: this
		// controller may have no part in it.
		if !now.Before(p.until) || p.version > n.version {
			return false
		}
	}
	return true
}

// promises says whether this controller can promise its peers not to raise the
// term: its own lease is not being renewed, as in an outage of the state
// service, and no change of the record that it sent may still be applied.
func (n *Node) promises(now time.Time) bool {
	return now.Sub(n.renewed) > n.lease.Life*2/5 && !n.raising && n.unsure == 0 && n.trusted()
}

func (n *Node) typeOf(name string) *protocol.MachineType {
	for i := range n.types {
		if n.types[i].Name == name {
			return &n.types[i]
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
	if r.Path == protocol.PathReport {
		if r.Method != "POST" {
			a := httpx.Refuse(405, "method not allowed")
			a.Allow = "POST"
			return a
		}
		c.Pin()
		return n.report(r.Body)
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
	return b.types
}

func (b *userBackend) Progress(uid string) (done, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	j := n.jobs[uid]
	if j == nil {
		return 0, 0
	}
	if it := n.items[teamItem(j.spec.Team)]; it != nil && it.team != nil {
		return it.team.Progress(uid)
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
	if !likely || n.synced(ctx) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	// What the store lost is no key of it, so that what is followed cannot tell its end.
	// Before memories are gathered a peer may know the end of one that the store has.
	return j.active && j.version > 0 && n.trusted() && n.gathered(time.Now())
}

func (b *userBackend) Trusted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	// Before the first control record no change rests on a generation, and a loss cannot be told
	// from the deployment's beginning: nothing is accepted yet.
	return n.listed && n.record != nil && n.trusted() && n.gathered(time.Now())
}

func (b *userBackend) Remembers(uid string) (userapi.Stored, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[uid]
	if j == nil || !j.active {
		return userapi.Stored{}, 0, false
	}
	return userapi.Stored{Spec: j.spec, At: j.at.UnixMilli()}, j.version, true
}

// Certain says whether a job that neither the store nor anybody here knows was never
// accepted: all ends were read, this process had time to hear what machines know of
// an earlier store, and nothing was lost for good.
// All that is followed is read up to now first.
func (b *userBackend) Certain(ctx context.Context) bool {
	n := (*Node)(b)
	if n.synced(ctx) != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return n.trusted() && n.listed && n.record != nil && !n.record.Lost && n.gathered(time.Now()) && n.introduced(time.Now()) && len(n.lookups) == 0 &&
		time.Since(n.began) > 2*settings.Seconds(n.set.Deployment.Workers.Report)+time.Second
}

// Missing has the store looked at before it is doubted: what looks like a loss is far more
// often a change that this controller is about to hear of, and a doubt stops everything.
func (b *userBackend) Missing(uid string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := (*Node)(b)
	if j := n.jobs[uid]; j != nil && j.active && j.version > 0 && n.trusted() {
		n.store.suspect[userapi.JobKey+uid] = j.version
	}
}

func (b *userBackend) Hold(ctx context.Context, job *userapi.Stored, uid string, end userapi.Final) {
	m := holdMsg{Job: job}
	if job == nil {
		m.Ends = []frontendEnd{{uid, end}}
	}
	(*Node)(b).hold(ctx, m)
}

func (b *userBackend) Confirming(uid string, end userapi.Final) {
	b.mu.Lock()
	defer b.mu.Unlock()
	(*Node)(b).confirming(uid, end)
}

func (b *userBackend) Accepted(s userapi.Stored, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	(*Node)(b).first("first submission accepted", time.Now())
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
	if n.types == nil {
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
		if p.leased && p.near(now) {
			return false
		}
		alone = alone && now.Sub(p.heard) > aloneAfter
	}
	return !alone && now.Sub(n.began) > 5*time.Second
}

// aloneAfter is after what silence of all peers a controller without a lease sends its users away.
const aloneAfter = 5 * time.Second

// learnJob takes up an active job, unless it is known to be over: its end may have come first, from a
// peer or by a later read of the state service. Owners place it at the next tick.
func (n *Node) learnJob(s userapi.Stored, version uint64) {
	uid := s.Spec.UID
	j := n.jobs[uid]
	delete(n.store.tentative, uid)
	if j == nil && n.ended(uid) {
		j = &job{spec: s.Spec, at: time.UnixMilli(s.At), ended: time.Now()}
		n.jobs[uid] = j
	}
	if j != nil && !j.active {
		if version > 0 && n.generation() > 1 && n.ended(uid) { // an end beats active
			n.store.bury[uid] = burial{version, time.Now()}
		}
		return
	}
	if j == nil {
		j = &job{spec: s.Spec, at: time.UnixMilli(s.At), active: true}
		n.jobs[s.Spec.UID] = j
		n.reobserveReserved(s.Spec.UID)
	}
	j.version = max(j.version, version)
	if it := n.items[teamItem(s.Spec.Team)]; it != nil && it.phase != loading && it.team.Job(s.Spec.UID) == nil {
		n.addJob(it, j, nil)
		if d := n.store.done[s.Spec.UID]; d != nil {
			it.team.Merge(s.Spec.UID, d)
		}
		if n.generation() > 1 { // machines may run it already
			n.reobserve(it, s.Spec.UID)
		}
		n.wake()
	} else if it != nil && it.team != nil {
		it.team.Written(s.Spec.UID, j.version)
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
		n.jobs[uid] = &job{spec: endedSpec(uid, end), ended: time.Now()}
		return
	}
	if !j.active {
		return
	}
	j.active, j.ended = false, time.Now()
	delete(n.store.done, uid)
	if it := n.items[teamItem(j.spec.Team)]; it != nil && it.team != nil {
		it.team.EndJob(uid)
		n.reobserve(it, uid)
	}
	n.wake()
}
