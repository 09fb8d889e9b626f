package leasegrant_test

import (
	"slices"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/cancelwatermark"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/leasegrant"
	"topazhollow/internal/protocol"
)

// The model: three controllers, the state service, two machines and one job of one task. Real are the horizon, the
// control record and its repair, the controllers' leases, the owner's account, the machines' home and the decision about
// renewals. What the root package does between them is written down plainly here: a step of time has every controller
// read the state service, tell its peers twice, act as owner and as home, and every machine report. Between
// steps comes what may go wrong.
//
// Left out: what a loss of the service's data changes, changes of the record without an answer, hand-over of items
// between live controllers, several items, gangs, saving on a stop, images, room and quotas, gone and deaf machines, and
// members that are left out of the homes. Replicas reach all backups in sync at once or nothing is started.

const (
	step            = 3 * time.Second
	workerLease     = 9 * time.Second
	cancelWithin    = 21 * time.Second
	controllerLease = 5 * time.Second
	promiseLife     = 3 * time.Second
	unprovenAfter   = 4 * time.Second
	team            = "team/red"
	jobUID          = "job-000001"
)

var names = [3]string{"a", "b", "c"}

// mutant leaves out a guard; empty: none.
type mutant string

type world struct {
	mutant      mutant
	lease       time.Duration // of workers
	now         time.Time
	store       store
	controllers [3]*controller
	machines    [2]*machine
	replica     *jobstate.Replica // as the backups in sync hold it
	cut         [2][3]bool        // packets between a machine and a controller are held
	apart       [3]bool           // a controller's links to its peers are gone
	late        bool              // the next start is held up on its way
	held        []direct
	committed   bool      // the withdrawal
	confirmed   time.Time // to the user; zero: not yet
	steps       int
	events      int
	used        uint64
	lastEvent   int
	broken      string
}

// store is the state service.
type store struct {
	revision uint64
	changes  []change
	record   *leadership.Record
	version  uint64
	live     map[string]leadership.Presence
	expires  map[string]time.Time
	down     bool
	refused  [3]bool
}

// change is one of a job's key.
type change struct {
	revision uint64
	deleted  bool
}

// direct is a /do on its way.
type direct struct {
	machine, from  int
	token, session uint64
	commands       []protocol.Command
	late           bool // alone, not by its path or machine
}

type controller struct {
	index    int
	up       bool
	process  uint64
	horizon  *cancelwatermark.Watermark
	home     *agents.Registry
	lease    leadership.Lease
	renewed  time.Time
	promised time.Time
	returns  time.Time
	record   *leadership.Record
	version  uint64
	live     map[string]leadership.Presence
	revision uint64
	stash    []change // read, but the answer is held up
	active   bool     // the job, as far as known
	known    bool
	ended    bool // remembered to have ended
	peers    [3]peer
	homeWord [2]time.Time
	views    [2]*jobstate.MachineStatus
	account  *jobstate.Team
	since    uint64
	await    [2]bool
}

type peer struct {
	process  uint64
	at       time.Time // of the last status
	until    time.Time
	version  uint64
	entitled bool
}

type machine struct {
	index        int
	session, seq uint64
	token        uint64
	alive        time.Time
	tasks        []protocol.TaskStatus
	hung         bool
	deaf         bool // its reports arrive, what is sent to it is lost
	reports      int  // to this controller
}

func machineName(i int) string { return [2]string{"n-000000", "n-000004"}[i] }

func spec() *protocol.Submission {
	return &protocol.Submission{UID: jobUID, Team: "red", Kind: protocol.JobArray, Priority: "high", Tasks: 1, CPUs: 1, EstimateSeconds: 600}
}

func capacity(string) (float64, float64, float64, bool) { return 8, 0, 64, true }
func size(string) (float64, float64, float64)           { return 1, 0, 0 }
func quiet(string, ...any)                              {}

// newWorld is a deployment that runs, with the job accepted; running: its task runs already.
func newWorld(m mutant, running bool, lease time.Duration) *world {
	w := &world{mutant: m, lease: lease, now: time.Unix(10000, 0).UTC(), replica: jobstate.NewReplica()}
	w.store = store{live: map[string]leadership.Presence{}, expires: map[string]time.Time{}}
	for i := range names {
		w.begin(i)
		w.store.revision++
		w.store.live[names[i]] = leadership.Presence{Incarnation: w.controllers[i].process, Version: w.store.revision}
	}
	record := (&leadership.Record{Term: 10, Epoch: 1, FirstTerm: 10}).Clone()
	for i, name := range names {
		record.Nodes[name] = w.controllers[i].process
	}
	record.Shards[team] = leadership.Shard{Owner: "b", SinceTerm: 10, InSync: []string{"a", "c"}}
	w.write(record)
	for i := range w.machines {
		w.machines[i] = &machine{index: i, session: 1, alive: w.now, reports: i}
	}
	w.advance()
	if running {
		w.accept()
		for range 3 {
			w.advance()
		}
		if len(w.machines[0].tasks) != 1 {
			panic("model: the task does not run")
		}
	} else {
		w.advance()
		w.accept()
	}
	w.steps = 0
	return w
}

func (w *world) accept() {
	w.store.revision++
	w.store.changes = append(w.store.changes, change{revision: w.store.revision})
}

func (w *world) write(record *leadership.Record) {
	w.store.revision++
	w.store.record, w.store.version = record, w.store.revision
}

// begin starts a controller's process.
func (w *world) begin(i int) {
	process := uint64(1)
	if old := w.controllers[i]; old != nil {
		process = old.process + 1
	}
	c := &controller{index: i, up: true, process: process, lease: leadership.Lease{Life: controllerLease, Margin: controllerLease / 20},
		renewed: w.now, promised: w.now.Add(promiseLife), home: agents.New(capacity, size), live: map[string]leadership.Presence{}}
	var others []string
	for k, name := range names {
		if k != i {
			others = append(others, name)
		}
	}
	c.horizon = cancelwatermark.New(others, cancelWithin, w.lease)
	w.controllers[i] = c
}

func (w *world) served(i int) bool { return !w.store.down && !w.store.refused[i] }

func (w *world) linked(i, k int) bool {
	return w.controllers[i].up && w.controllers[k].up && !w.apart[i] && !w.apart[k]
}

func (w *world) entitled(c *controller) bool {
	if c.record == nil || c.record.Nodes[names[c.index]] != c.process {
		return false
	}
	return c.lease.Valid(w.now) || w.holdsPromises(c)
}

func (w *world) holdsPromises(c *controller) bool {
	for k := range names {
		p := &c.peers[k]
		if k != c.index && (!w.now.Before(p.until) || p.version > c.version && w.mutant != "promise of a later record") {
			return false
		}
	}
	return true
}

// learn takes in a change of the job's key, as Node.changed does.
func (w *world) learn(c *controller, x change) {
	switch {
	case x.deleted:
		w.end(c)
	case c.known && !c.active:
	case c.ended && w.mutant != "an acceptance after the end":
		c.known, c.active = true, false
	default:
		c.known, c.active = true, true
		if c.account != nil {
			c.account.AddJob(spec(), x.revision, w.now, nil)
		}
	}
}

func (w *world) end(c *controller) {
	if !c.known && w.mutant == "an acceptance after the end" {
		return
	}
	c.known, c.active = true, false
	if c.account != nil {
		c.account.EndJob(jobUID)
	}
}

// hear has a controller learn of a confirmed withdrawal from a peer.
func (w *world) hear(c *controller, from *controller, number uint64) {
	c.horizon.RecordIncarnation(names[from.index], from.process, w.now)
	c.ended = true
	if c.known {
		w.end(c)
	}
	c.horizon.RecordReceived(names[from.index], number, 1)
}

// confirm has a controller tell the user that the job is withdrawn.
func (w *world) confirm(c *controller) {
	c.ended = true
	w.end(c)
	if w.confirmed.IsZero() {
		w.confirmed = w.now
	}
	if w.mutant == "an unnumbered withdrawal" {
		return
	}
	if number := c.horizon.RecordCancellation(jobUID); number > 0 {
		for k := range names {
			if k != c.index && w.linked(c.index, k) {
				w.hear(w.controllers[k], c, number)
			}
		}
	}
}

// advance lets one step of time pass.
func (w *world) advance() {
	w.now = w.now.Add(step)
	w.steps++
	w.lastEvent = 0
	w.expire()
	for _, c := range w.controllers {
		if !c.up && !w.now.Before(c.returns) {
			w.begin(c.index)
		}
	}
	for _, c := range w.controllers {
		if c.up && w.served(c.index) {
			w.read(c)
		}
	}
	w.tell()
	w.tell()
	w.propose()
	for _, c := range w.controllers {
		if c.up {
			w.own(c)
		}
	}
	for _, c := range w.controllers {
		if c.up {
			w.carry(c)
		}
	}
	for _, m := range w.machines {
		w.report(m)
	}
	for _, c := range w.controllers {
		if c.up {
			w.endStrays(c)
			w.carry(c)
		}
	}
	w.check()
}

// expire ends the leases that ran out, of controllers and workers.
func (w *world) expire() {
	if !w.store.down {
		for name, at := range w.store.expires {
			if w.now.After(at) {
				delete(w.store.expires, name)
				delete(w.store.live, name)
				w.store.revision++
			}
		}
	}
	for _, m := range w.machines {
		if w.now.Sub(m.alive) > w.lease {
			m.session, m.alive, m.tasks = m.session+1, w.now, nil
		}
	}
}

// read has a controller renew its lease and take in what the state service holds.
func (w *world) read(c *controller) {
	name := names[c.index]
	if p, ok := w.store.live[name]; !ok || p.Incarnation != c.process {
		w.store.revision++
		w.store.live[name] = leadership.Presence{Incarnation: c.process, Version: w.store.revision}
	}
	w.store.expires[name] = w.now.Add(controllerLease)
	c.lease.Renewed(w.now)
	c.renewed = w.now
	for _, x := range w.store.changes {
		if x.revision > c.revision {
			w.learn(c, x)
		}
	}
	c.revision = w.store.revision
	c.live = map[string]leadership.Presence{}
	for k, p := range w.store.live {
		c.live[k] = p
	}
	w.adopt(c, w.store.record, w.store.version)
	c.horizon.RecordRead(w.now)
}

// adopt takes up a control record.
func (w *world) adopt(c *controller, r *leadership.Record, version uint64) {
	if version <= c.version {
		return
	}
	c.record, c.version = r, version
	c.home.SetTerm(r.Term, func(m string) bool { return r.Home(m) == names[c.index] })
	item := r.Shards[team]
	if item.Owner != names[c.index] || r.Nodes[names[c.index]] != c.process {
		c.account = nil
		return
	}
	if c.account != nil && c.since == item.SinceTerm {
		c.account.SetTerm(r.Term)
		return
	}
	replica := jobstate.NewReplica()
	c.since, c.await = item.SinceTerm, [2]bool{}
	if item.NeedsBarrier {
		c.await = [2]bool{true, true}
	} else {
		replica = jobstate.FromCopy(w.replica.Copy())
	}
	c.account = jobstate.NewTeam(team, 8, 8, 0, 0, replica, r.Term, quiet)
	if c.active {
		c.account.AddJob(spec(), 1, w.now, nil)
	}
}

// status is what a controller tells its peers.
type status struct {
	from     *controller
	peers    [3]peer // as it heard them
	got      [3]uint64
	told     uint64
	promise  bool
	entitled bool
	heard    [2]time.Time // machines homed there
}

func (w *world) tell() {
	var all [3]status
	for i, c := range w.controllers {
		if !c.up {
			continue
		}
		s := status{from: c, peers: c.peers, told: c.horizon.Confirmed(), entitled: w.entitled(c)}
		for k, name := range names {
			s.got[k] = c.horizon.ReceivedFrom(name)
		}
		if s.promise = w.now.Sub(c.renewed) > controllerLease*2/5; s.promise {
			c.promised = w.now.Add(promiseLife)
		}
		for k := range w.machines {
			if m := c.home.Get(machineName(k)); m != nil {
				s.heard[k] = m.HeartbeatAt
				if known := m.InFlightWatermark(func(string) bool { return true }); !known.IsZero() && known.Before(m.HeartbeatAt) && w.mutant != "a home's word leaves out its starts" {
					s.heard[k] = known
				}
			}
		}
		all[i] = s
	}
	for i := range all {
		for k := range names {
			if i != k && w.linked(i, k) {
				w.hearStatus(w.controllers[k], &all[i])
			}
		}
	}
}

func (w *world) hearStatus(c *controller, s *status) {
	from, name := s.from.index, names[s.from.index]
	p := &c.peers[from]
	process := s.from.process
	if w.mutant == "one process" {
		process = 1
	}
	c.horizon.RecordIncarnation(name, process, w.now)
	if p.process != s.from.process {
		p.process = s.from.process
		p.at = time.Time{}
	}
	if echo := s.peers[c.index]; echo.process == c.process && !echo.at.IsZero() {
		if until := echo.at.Add(promiseLife - promiseLife/500); s.promise && until.After(p.until) {
			p.until, p.version = until, s.from.version
		}
		c.horizon.RecordConfirmedBy(name, s.told, echo.at)
		c.horizon.RecordAcknowledgedBy(name, s.got[c.index])
		if number, uids := c.horizon.TakeUnacknowledged(name, w.now, 9); len(uids) > 0 && w.linked(c.index, from) && w.mutant != "not told again" {
			w.hear(s.from, c, number)
		}
	}
	p.at, p.entitled = w.now, s.entitled
	for k, at := range s.heard {
		if c.record != nil && !at.IsZero() && c.record.Home(machineName(k)) == name {
			c.homeWord[k] = at
		}
	}
	if c.record != nil && s.from.version < c.version && s.from.record != nil {
		w.adopt(s.from, c.record, c.version) // teach
	}
}

// propose changes the control record, if it is to be changed.
func (w *world) propose() {
	for _, c := range w.controllers {
		if !c.up || c.record == nil || !w.served(c.index) || !c.lease.Valid(w.now) || c.live[names[c.index]].Incarnation != c.process || c.version != w.store.version {
			continue
		}
		if w.now.Before(c.promised) && mayHold(c) {
			continue
		}
		next, _ := leadership.ReconcileMembers(c.record, []string{team}, c.live)
		if next == nil && w.entitled(c) && c.account != nil {
			next, _ = leadership.UpdateShards(c.record, names[c.index], map[string]leadership.ShardStatus{team: w.sync(c)}, false)
			if next == nil && c.account.UnconfirmedStops(w.now, unprovenAfter) > 0 {
				next = c.record.Clone()
				next.Term++
			}
		}
		if next == nil {
			continue
		}
		w.write(next)
		w.adopt(c, next, w.store.version)
	}
}

func mayHold(c *controller) bool {
	for name := range c.record.Nodes {
		if _, there := c.live[name]; !there {
			return true
		}
	}
	return false
}

func (w *world) sync(c *controller) leadership.ShardStatus {
	s := leadership.ShardStatus{Ready: c.await == [2]bool{}, InSync: map[string]bool{}, Lagging: map[string]bool{}}
	for k, name := range names {
		if k == c.index {
			continue
		}
		if whole := w.linked(c.index, k) && c.record.Nodes[name] == w.controllers[k].process; whole && w.controllers[k].version == c.version {
			s.InSync[name] = true
		} else {
			s.Lagging[name] = true
		}
	}
	return s
}

// own is an owner's part: it looks at the machines' views, places, and gives orders.
func (w *world) own(c *controller) {
	if c.account == nil || !w.entitled(c) {
		return
	}
	for k := range w.machines {
		if h := w.homeOf(c, k); h != nil {
			w.see(c, h, k)
		}
	}
	if c.await != [2]bool{} {
		return
	}
	if j := c.account.Job(jobUID); j != nil {
		c.account.Pending(j, w.now, func(index int) bool {
			for k, v := range c.views {
				if v != nil && v.FencingToken >= c.record.Term && !j.Avoids(machineName(k), w.now) && !w.machines[k].hung {
					return c.account.Place(j, index, jobstate.Location{Machine: machineName(k), Incarnation: v.Incarnation})
				}
			}
			return false
		})
	}
	acked := uint64(0)
	c.account.TakeDeltas()
	if w.replicates(c) {
		acked = c.account.Replica().Seq
		w.replica = jobstate.FromCopy(c.account.Replica().Copy())
	}
	due := c.account.TakeDueOrders(acked, w.now, func(name string, session uint64) bool {
		v := c.views[slices.Index([]string{machineName(0), machineName(1)}, name)]
		return v != nil && v.Incarnation == session
	})
	for k := range w.machines {
		if orders := due[machineName(k)]; len(orders) > 0 {
			w.order(c, k, orders)
		}
	}
}

// replicates says whether every backup in sync is heard.
func (w *world) replicates(c *controller) bool {
	for _, name := range c.record.Shards[team].InSync {
		k := slices.Index(names[:], name)
		if k != c.index && (!w.linked(c.index, k) || w.controllers[k].process != c.record.Nodes[name]) {
			return false
		}
	}
	return true
}

// homeOf is a machine's home by a controller's record, if it hears it.
func (w *world) homeOf(c *controller, k int) *controller {
	h := slices.Index(names[:], c.record.Home(machineName(k)))
	if h != c.index && !w.linked(c.index, h) {
		return nil
	}
	return w.controllers[h]
}

func (w *world) see(c, home *controller, k int) {
	v := home.home.Status(machineName(k))
	if v == nil || c.views[k] != nil && !v.Newer(c.views[k]) {
		return
	}
	c.views[k] = v
	if v.FencingToken >= c.since {
		c.await[k] = false
	}
	if c.await != [2]bool{} {
		return
	}
	orders := c.account.Observe(v, w.now, jobKnowledge{c})
	if len(orders) > 0 {
		w.order(c, k, orders)
	}
}

// jobKnowledge is what a controller can tell its account of the job.
type jobKnowledge struct{ c *controller }

func (k jobKnowledge) Job(string) jobstate.JobInfo {
	return jobstate.JobInfo{Known: k.c.known, OwnTeam: true, Active: k.c.active, Spec: spec()}
}

func (k jobKnowledge) UnknownSizeBound(*jobstate.MachineStatus) (cpus, gpus float64) {
	return spec().CPUs, spec().GPUs
}

func (w *world) order(c *controller, k int, orders []jobstate.Order) {
	h := w.homeOf(c, k)
	if h == nil {
		c.account.RetractUnsent(orders)
		return
	}
	if h == c || w.entitled(h) {
		h.home.QueueOrders(c.record.Term, machineName(k), orders)
	}
}

// endStrays is a home's part: it ends what machines list of jobs that are over.
func (w *world) endStrays(c *controller) {
	if c.record == nil {
		return
	}
	for k := range w.machines {
		m := c.home.Get(machineName(k))
		if m == nil || c.record.Home(machineName(k)) != names[c.index] || !c.known || c.active {
			continue
		}
		var orders []jobstate.Order
		for _, t := range m.Heartbeat.Tasks {
			o := jobstate.Order{Op: protocol.Stop, TaskID: jobstate.TaskID{Job: jobUID}, Attempt: t.Attempt, Incarnation: m.Heartbeat.Incarnation}
			if t.State == protocol.Exited {
				o.Op = protocol.Forget
			}
			orders = append(orders, o)
		}
		c.home.QueueOrders(c.record.Term, machineName(k), orders)
	}
}

// carry sends a home's urgent commands, as Node.carryOnce does.
func (w *world) carry(c *controller) {
	for k, m := range w.machines {
		at := c.home.Get(machineName(k))
		if at != nil {
			w.readyToSend(c, at)
		}
		if at == nil || !at.ShouldSend() || !w.entitled(c) || at.HasQueuedStart() && !c.horizon.MayRenew(w.now, time.Time{}) && w.mutant != "starts after the horizon's time" {
			continue
		}
		late := w.late && at.HasQueuedStart()
		d := direct{machine: k, from: c.index, token: c.record.Term, session: at.Heartbeat.Incarnation, commands: at.TakeForRequest(), late: late}
		if late || m.hung || m.deaf || w.cut[k][c.index] {
			w.late = w.late && !late
			if late || !m.deaf {
				w.held = append(w.held, d)
			}
			at.FinishRequest(d.commands, false, true)
			continue
		}
		w.do(d)
		r := m.report()
		c.home.ApplyHeartbeat(&r, w.now)
		at.FinishRequest(d.commands, true, true)
	}
}

// over is Node.over.
func (w *world) over(c *controller) func(string) bool {
	over := c.known && !c.active || c.ended && w.mutant != "an acceptance after the end"
	return func(string) bool { return over }
}

// readyToSend is Node.readyToSend.
func (w *world) readyToSend(c *controller, m *agents.Agent) {
	if w.mutant != "starts of what is over" {
		m.DropStarts(w.over(c))
	}
	m.SetWatermark(w.now, c.horizon.KnownUntil(w.now))
}

// do carries out a direct command.
func (w *world) do(d direct) {
	m := w.machines[d.machine]
	if d.token < m.token || d.session != m.session {
		return
	}
	m.token = d.token
	w.execute(m, d.commands)
}

// release carries out what was held up and no longer is.
func (w *world) release(now func(*direct) bool) {
	held := w.held
	w.held = nil
	for _, d := range held {
		if now(&d) {
			w.do(d)
		} else {
			w.held = append(w.held, d)
		}
	}
}

func (w *world) execute(m *machine, commands []protocol.Command) {
	for _, x := range commands {
		at := slices.IndexFunc(m.tasks, func(t protocol.TaskStatus) bool { return t.Task == x.Task && t.Attempt == x.Attempt })
		switch {
		case x.Op == protocol.Start && at < 0:
			t := protocol.TaskStatus{Task: x.Task, Attempt: x.Attempt, State: protocol.Running}
			if slices.ContainsFunc(m.tasks, func(o protocol.TaskStatus) bool { return o.State != protocol.Exited }) {
				t.State, t.Reason = protocol.Exited, protocol.ReasonInUse
			} else if w.overdue() {
				w.broken = "a task starts after its job's time"
			}
			m.tasks = append(m.tasks, t)
		case x.Op == protocol.Stop && at >= 0 && m.tasks[at].State != protocol.Exited:
			m.tasks[at].State, m.tasks[at].Reason = protocol.Exited, protocol.ReasonStopped
		case x.Op == protocol.Forget && at >= 0 && m.tasks[at].State == protocol.Exited:
			m.tasks = slices.Delete(m.tasks, at, at+1)
		}
	}
	w.check()
}

func (m *machine) report() protocol.Heartbeat {
	m.seq++
	return protocol.Heartbeat{Machine: machineName(m.index), Type: "m", Incarnation: m.session, Seq: m.seq, FencingToken: m.token, Tasks: slices.Clone(m.tasks)}
}

// report has a worker report until one controller answers it.
func (w *world) report(m *machine) {
	var vain [3]bool
	for try := 0; try < 5 && !m.hung; try++ {
		c := w.controllers[m.reports]
		if !c.up || w.cut[m.index][c.index] {
			vain[c.index] = true
			m.reports = (m.reports + 1) % 3
			continue
		}
		r := m.report()
		a := w.answer(c, &r, &vain)
		switch {
		case m.deaf:
			m.reports = (m.reports + 1) % 3
		case a.status == 200:
			if a.token >= m.token && a.token > 0 {
				m.token, m.alive = a.token, w.now
				w.execute(m, a.commands)
			}
			return
		case a.status == 421:
			m.reports = a.to
		default:
			m.reports = (m.reports + 1) % 3
		}
	}
}

type answer struct {
	status   int
	to       int
	token    uint64
	commands []protocol.Command
}

// answer is Node.answerReport.
func (w *world) answer(c *controller, r *protocol.Heartbeat, vain *[3]bool) answer {
	if !w.entitled(c) {
		for k := range names {
			if p := &c.peers[k]; k != c.index && p.entitled && p.at.Equal(w.now) {
				return answer{status: 421, to: k}
			}
		}
		if c.record == nil || r.FencingToken > c.record.Term {
			return answer{status: 503}
		}
		if grant := w.renewal(c, r); grant.Renewed && len(grant.Stops) == 0 {
			return answer{status: 200, token: c.record.Term}
		}
		return answer{status: 503}
	}
	if r.FencingToken > c.record.Term {
		return answer{status: 503}
	}
	home := slices.Index(names[:], c.record.Home(r.Machine))
	if home != c.index {
		if c.peers[home].at.Equal(w.now) && !vain[home] {
			return answer{status: 421, to: home}
		}
		if grant := w.renewal(c, r); grant.Renewed {
			return answer{200, 0, c.record.Term, grant.Stops}
		}
		return answer{status: 503}
	}
	c.home.ApplyHeartbeat(r, w.now)
	c.homeWord[slices.Index([]string{machineName(0), machineName(1)}, r.Machine)] = w.now
	grant := w.renewal(c, r)
	if !grant.Renewed {
		return answer{status: 503}
	}
	w.readyToSend(c, c.home.Get(r.Machine))
	return answer{200, 0, c.record.Term, append(grant.Stops, c.home.Get(r.Machine).TakeForAnswer()...)}
}

// renewal is Node.renewal.
func (w *world) renewal(c *controller, r *protocol.Heartbeat) leasegrant.Grant {
	k := slices.Index([]string{machineName(0), machineName(1)}, r.Machine)
	position := leasegrant.Standing{IsHome: c.record.Home(r.Machine) == names[c.index] && c.record.Nodes[names[c.index]] == c.process,
		LeaseValid: c.lease.Valid(w.now) && w.entitled(c) || w.mutant == "strangers without a bound", HomeWatermark: c.homeWord[k]}
	if m := c.home.Get(r.Machine); m != nil {
		if w.mutant != "a start in flight does not bound renewals" {
			position.InFlightWatermark = m.InFlightWatermark(w.over(c))
		}
	}
	return leasegrant.Decide(r, w.now, position, &knowledge{w, c})
}

// knowledge is a controller as leasegrant sees it.
type knowledge struct {
	w *world
	c *controller
}

func (k *knowledge) JobState(string) leasegrant.JobState {
	switch {
	case k.w.mutant == "what is over is not stopped":
		return leasegrant.Active
	case k.c.active && k.c.known && k.w.mutant == "an acceptance after the end":
		return leasegrant.Active
	case k.c.ended, k.c.known && !k.c.active:
		return leasegrant.Ended
	case k.c.known, k.w.mutant == "what nobody knows is renewed":
		return leasegrant.Active
	}
	return leasegrant.Unknown
}

func (k *knowledge) StartOrdered(attempt jobstate.AttemptRef) bool {
	for i := range k.w.machines {
		if m := k.c.home.Get(machineName(i)); m != nil {
			if sent, ok := m.StartOrdered(attempt); ok && (sent.IsZero() || !k.c.horizon.LastRead().After(sent)) {
				return true
			}
		}
	}
	return false
}

func (k *knowledge) MayBeLost(uint64) bool { return false }

func (k *knowledge) MayRenew(now, since time.Time) bool {
	return k.w.mutant == "renewals without a horizon" || k.c.horizon.MayRenew(now, since)
}

func (w *world) overdue() bool {
	return !w.confirmed.IsZero() && w.now.Sub(w.confirmed) > cancelWithin
}

// check looks whether a rule is broken now.
func (w *world) check() {
	on := 0
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.State != protocol.Exited {
				on++
			}
		}
	}
	switch {
	case on > 1:
		w.broken = "a task on two machines"
	case on > 0 && w.overdue():
		w.broken = "a task on a machine after its job's time"
	}
}
