package topazhollow

import (
	"context"
	"errors"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/frontend"
	"topazhollow/internal/ledger"
	"topazhollow/internal/peer"
	"topazhollow/internal/placement"
	"topazhollow/internal/state"
	"topazhollow/internal/tenure"
	"topazhollow/internal/wire"
)

// Phases of an item that this controller owns.
const (
	loading = iota // reads jobs and bitmaps
	barrier        // waits until every registered machine was heard or is gone
	ready
)

// item is a team or the fleet while this controller owns it.
type item struct {
	name     string
	since    uint64
	phase    int
	blind    bool
	team     *ledger.Team
	frozen   bool     // being handed over
	adding   []string // backups that a pending change of the record puts in sync
	took     time.Time
	taken    time.Time // or became ready, or the controller woke: backups get their time from then
	acks     map[string]*ack
	await    map[string]bool // machines that the barrier waits for
	book     *ledger.Book
	loads    int  // the load under way; an earlier one's outcome no longer counts
	readable bool // the book holds what the state service has
	saving   bool
	started  bool // a start was given to a home
}

// ack is what a backup acknowledged.
type ack struct {
	inc    uint64
	copied bool   // a copy was sent on the present connection
	seq    uint64 // acknowledged
	known  bool   // acknowledged anything at all
	since  time.Time
	sent   uint64
	retry  time.Time
}

// backup is a team's progress kept for its owner.
type backup struct {
	since uint64
	rep   *ledger.Replica
}

func teamItem(team string) string { return "team/" + team }

func teamOf(name string) (string, bool) { return strings.CutPrefix(name, "team/") }

// takeUp begins to own an item.
func (n *Node) takeUp(name string, r tenure.Item) {
	now := time.Now()
	it := &item{name: name, since: r.Since, blind: r.Blind, taken: now, took: now,
		acks: map[string]*ack{}, book: ledger.NewBook(valueRoom(n.set.Deployment.State))}
	n.items[name] = it
	n.tookTeam()
	rep := ledger.NewReplica()
	if b := n.backups[name]; b != nil && !it.blind {
		rep = b.rep
	} else if r.Since > n.record.First || n.record.Generation > 1 {
		it.blind = true // the record thinks that we know everything, but we don't
	}
	delete(n.backups, name)
	n.log.Info("item taken", "item", name, "term", r.Since, "barrier", it.blind, "held", len(rep.Holds))
	if _, ok := teamOf(name); !ok {
		rep = ledger.NewReplica()
	}
	it.team = n.newTeam(name, rep, n.record.Term)
	if team, ok := teamOf(name); ok {
		for uid, d := range n.store.done {
			if j := n.jobs[uid]; j != nil && j.active && j.spec.Team == team {
				it.team.Merge(uid, d)
			}
		}
	}
	n.startLoad(it)
}

// startLoad begins to load an item, in place of a load that is under way.
func (n *Node) startLoad(it *item) {
	it.loads++
	load := it.loads
	n.group.Go(func() error {
		n.load(n.ctx, it, load)
		return nil
	})
}

// loadAnew has items that are not ready yet look at the roster again, now that it names every machine that
// may run something from before a loss. Whom such an item waited for until then came from a roster with
// holes, and the record that calls it whole may be known here before the lists that fill them: an
// owner that started after the loss once waited for nobody and started again what still ran.
func (n *Node) loadAnew() {
	for _, it := range n.items {
		if it.phase == ready {
			continue
		}
		it.readable = false
		if it.blind {
			it.phase = loading
		}
		n.startLoad(it)
	}
}

func (n *Node) newTeam(name string, rep *ledger.Replica, term uint64) *ledger.Team {
	log := func(event string, args ...any) { n.log.Debug(event, append(args, "item", name)...) }
	team, _ := teamOf(name)
	for _, t := range n.teams() {
		if t.Name == team {
			return ledger.NewTeam(name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax, rep, term, log)
		}
	}
	return ledger.NewTeam(name, 0, 0, 0, 0, rep, term, log)
}

// load learns from the state service what a new owner needs. One in sync knows
// the team's progress already and begins with the jobs that it followed, even if
// the state service does not answer; one that is not must know every job and
// machine that was there before it took over.
func (n *Node) load(ctx context.Context, it *item, load int) {
	for ctx.Err() == nil {
		n.mu.Lock()
		current := n.items[it.name] == it && it.loads == load
		if current && it.phase == loading && (!it.blind || it.name == tenure.Fleet) {
			n.loaded(it, nil)
		}
		n.mu.Unlock()
		if !current || it.name == tenure.Fleet {
			return
		}
		err := n.synced(ctx)
		if err == nil {
			var pages []wire.Entry
			if pages, _, err = n.state.List(ctx, pagesPath(it.name)); err == nil {
				n.mu.Lock()
				if it.loads == load {
					n.booked(it, pages)
				}
				n.mu.Unlock()
				return
			}
		}
		n.log.Info("item waits for the state service", "item", it.name, "err", err)
		pause(ctx, 300*time.Millisecond)
	}
}

// loaded begins an item with the jobs and machines known by now, and the finished
// tasks that the state service has.
func (n *Node) loaded(it *item, done map[string]*bitset.BitSet) {
	if it.name == tenure.Fleet {
		it.phase = ready
		return
	}
	team, _ := teamOf(it.name)
	for _, j := range n.jobs {
		if j.active && j.spec.Team == team {
			it.team.AddJob(j.spec, j.version, j.at, done[j.spec.UID])
			it.team.Doubt(j.spec.UID, n.blame.Faulty(j.spec.UID))
		}
	}
	it.phase = barrier
	it.await = map[string]bool{}
	if it.blind {
		for _, name := range n.roster.All() {
			it.await[name] = true
		}
		if n.record.Census {
			maps.Copy(it.await, n.store.names)
			maps.Copy(it.await, n.store.census)
		}
	}
	n.passBarrier(it)
	n.wake()
}

// booked takes in the pages of finished tasks, after which they can be written.
func (n *Node) booked(it *item, pages []wire.Entry) {
	if n.items[it.name] != it {
		return
	}
	done := n.readPages(it, pages)
	it.readable = true
	if it.phase == loading {
		n.loaded(it, done)
		return
	}
	n.dropUnregistered(it)
	for uid, done := range done {
		if tj := it.team.Job(uid); tj != nil {
			it.team.AddJob(tj.Spec, tj.Version, tj.Submitted, done)
		}
	}
	n.wake()
}

// passBarrier ends the barrier once every machine it waits for was heard under
// the item's term, which rules out that an earlier start still arrives, or is
// gone.
func (n *Node) passBarrier(it *item) {
	for name := range it.await {
		m := n.machines[name]
		if m != nil && (m.gone || (m.view != nil && m.view.Token >= it.since)) {
			delete(it.await, name)
		}
	}
	if len(it.await) > 0 || !n.configReady() || !n.gathered(time.Now()) || (it.blind && n.record.Census && n.store.census == nil) {
		return
	}
	it.phase, it.taken = ready, time.Now()
	if it.readable {
		n.dropUnregistered(it)
	}
	n.log.Info("item ready", "item", it.name, "term", it.since, "after", it.taken.Sub(it.took))
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		if m := n.machines[name]; m.view != nil {
			n.observe(it, m.view)
		}
	}
}

// settleAwaited takes a machine that was heard off those that a barrier waits for. The others are looked at once a
// step: to walk them for each machine costs the square of their number.
func (n *Node) settleAwaited(it *item, v *ledger.View) {
	if v.Token < it.since {
		return
	}
	delete(it.await, v.Machine)
	if len(it.await) == 0 {
		n.passBarrier(it)
	}
}

// dropUnregistered ends holds on machines that were struck off the roster before
// this controller followed it. No start goes to a machine that is not registered,
// and none is struck off before the cloud confirmed its end. The roster must be
// known up to the item's taking.
func (n *Node) dropUnregistered(it *item) {
	if n.record.Census {
		return // the roster itself was lost
	}
	for _, name := range it.team.Machines() {
		if !n.roster.Has(name) {
			it.team.Gone(name)
		}
	}
}

// observe lets an item's account see a machine and sends the orders that follow.
func (n *Node) observe(it *item, v *ledger.View) {
	if it.phase != ready || it.name == tenure.Fleet {
		return
	}
	team, _ := teamOf(it.name)
	orders := it.team.Observe(v, time.Now(), teamKnowledge{n, team})
	if len(orders) > 0 {
		n.order(v.Machine, orders)
	}
	for _, ref := range it.team.Unsized(v.Machine) {
		n.lookUp(ref.Job, ref.Attempt)
	}
}

// reobserve looks again at the machines that hold tasks of a job.
func (n *Node) reobserve(it *item, uid string) {
	for _, name := range slices.Sorted(maps.Keys(n.lists[uid])) {
		n.observe(it, n.machines[name].view)
	}
}

// order hands commands for a machine to its home; false if they surely went
// nowhere.
func (n *Node) order(name string, orders []ledger.Order) bool {
	home := n.homeOf(name)
	if home == n.name {
		n.take(name, n.record.Term, orders)
		return true
	}
	return n.links.Send(home, "orders", ordersMsg{Term: n.record.Term, Machine: name, Orders: orders})
}

// take is the home's side of order.
func (n *Node) take(name string, term uint64, orders []ledger.Order) {
	if n.home.Take(term, name, orders) {
		n.stir(name)
	}
	n.noteView(name)
}

// acked is the sequence number that every backup in sync acknowledged.
func (n *Node) acked(it *item) uint64 {
	low := it.team.Replica().Seq
	for _, b := range n.required(it) {
		a := it.acks[b]
		if a == nil || !a.known || a.inc != n.record.Nodes[b] {
			return 0
		}
		low = min(low, a.seq)
	}
	return low
}

// required lists the backups whose acknowledgement a start needs.
func (n *Node) required(it *item) []string {
	need := slices.Clone(n.record.Items[it.name].InSync)
	for _, b := range it.adding {
		if !slices.Contains(need, b) {
			need = append(need, b)
		}
	}
	return slices.DeleteFunc(need, func(b string) bool { return b == n.name })
}

// backupsOf names who should hold an item's replica beside this controller.
func (n *Node) backupsOf(it *item) []string {
	return n.record.BackupsOf(it.name, n.name, func(node string) bool {
		p := n.peers[node]
		return p != nil && p.up
	})
}

// lateAfter is how long a backup may take to acknowledge before it goes out of
// sync.
const lateAfter = 1500 * time.Millisecond

// syncs sums up the backups of each owned item.
func (n *Node) syncs(now time.Time) map[string]tenure.Sync {
	out := map[string]tenure.Sync{}
	for name, it := range n.items {
		s := tenure.Sync{Ready: it.phase == ready && !it.frozen, Whole: map[string]bool{}, Lagging: map[string]bool{}}
		s.Backups = n.backupsOf(it)
		seq := it.team.Replica().Seq
		for p, ps := range n.peers {
			a := it.acks[p]
			switch {
			case !slices.Contains(s.Backups, p) && !slices.Contains(n.record.Items[name].InSync, p):
			case ps.up && a != nil && a.known && a.seq >= seq && a.inc == n.record.Nodes[p]:
				s.Whole[p] = true
			case now.Sub(it.taken) < lateAfter:
			case !ps.up || a == nil || (!a.since.IsZero() && now.Sub(a.since) > lateAfter):
				s.Lagging[p] = true
			}
		}
		out[name] = s
	}
	return out
}

// needTerm says whether only a raised term can move something on.
func (n *Node) needTerm(now time.Time) bool {
	for _, it := range n.items {
		if it.phase == ready && it.team.Unproven(now, 4*time.Second) > 0 {
			return true
		}
	}
	return false
}

// replicate sends changes of an item to its backups.
func (n *Node) replicate(it *item, now time.Time) {
	deltas := it.team.TakeDeltas()
	seq := it.team.Replica().Seq
	var line []byte
	backups := append(n.backupsOf(it), n.required(it)...)
	for p, ps := range n.peers {
		if !slices.Contains(backups, p) {
			delete(it.acks, p) // it gets a whole copy when it is a backup again
			continue
		}
		if _, member := n.record.Nodes[p]; !member || !ps.up {
			continue
		}
		a := it.acks[p]
		if a == nil {
			a = &ack{}
			it.acks[p] = a
		}
		switch {
		case !a.copied:
			a.copied = n.links.Send(p, "copy", copyMsg{Item: it.name, Since: it.since, Copy: it.team.Replica().Copy()})
		case len(deltas) == 0:
			continue
		default: // whole already, so the deltas are the next ones; older ones are ignored
			if line == nil {
				line = peer.Line("deltas", deltasMsg{Item: it.name, Since: it.since, Deltas: deltas})
			}
			n.links.SendLine(p, line)
		}
		a.sent = seq
		if a.since.IsZero() {
			a.since = now
		}
	}
}

// minPause and maxShare bound how often and for how much of the time a step is
// taken: what happens meanwhile is looked at together.
const (
	minPause = 20 * time.Millisecond
	maxShare = 4
)

// work is the main duty: it replicates, orders and places whenever something
// happened, and at every tick.
func (n *Node) work(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		due := time.Now().Add(tick)
		select {
		case <-ctx.Done():
			return nil
		case <-n.kick:
		case <-ticker.C:
		}
		n.mu.Lock()
		began := time.Now()
		if still := began.Sub(due); still > stillFor {
			n.woke(began, still)
		}
		n.step(began)
		took := time.Since(began)
		n.mu.Unlock()
		if !pause(ctx, max(minPause, maxShare*took)) {
			return nil
		}
	}
}

// stillFor is by how much the main duty must be late to show that the process
// stood still while the clocks ran on.
const stillFor = time.Second

// woke begins to count silence anew: who was not heard while this controller stood
// still may have spoken all the time.
func (n *Node) woke(now time.Time, still time.Duration) {
	n.log.Info("stood still while the clocks ran on", "for", still, "entitled", n.entitled(now))
	n.settled, n.still = now, still
	for _, it := range n.items {
		it.taken = now
	}
}

func (n *Node) step(now time.Time) {
	if !n.entitled(now) {
		return
	}
	n.configure(now)
	for _, it := range n.items {
		it.team.Keep(n.floorsOf(it))
		it.team.TurnHoldback(now)
	}
	n.place(now)
	seldom := now.Sub(n.looked) > lookEvery
	if seldom {
		n.looked = now
	}
	for _, name := range slices.Sorted(maps.Keys(n.items)) {
		it := n.items[name]
		if it.phase == barrier {
			n.passBarrier(it)
		}
		if it.phase != ready {
			continue
		}
		n.replicate(it, now)
		if name == tenure.Fleet || it.frozen {
			continue
		}
		due := it.team.Due(n.acked(it), now, func(m string, session uint64) bool {
			x := n.machines[m]
			return x != nil && !x.gone && n.roster.Has(m) && x.view != nil && x.view.Session == session
		})
		for m, orders := range due {
			if !n.order(m, orders) {
				it.team.Unsent(orders)
			} else if !it.started && orders[0].Op == wire.Start {
				it.started = true
				n.log.Info("item's first start", "item", name, "after", now.Sub(it.took))
			}
		}
		n.finish(it)
		if seldom {
			n.moveSlow(it, now)
			n.leaveNoticed(it)
		}
	}
	n.countLate(now)
	n.tellViews()
}

// lookEvery is how often running tasks are looked over for those to be moved.
const lookEvery = 500 * time.Millisecond

func (n *Node) ask(s *wire.Submission) *placement.Ask {
	a := &placement.Ask{CPUs: s.CPUs, GPUs: s.GPUs, Memory: s.Memory, Zone: -1, Spot: s.Spot, Image: s.Image, ImageGB: s.ImageGB, Run: s.Estimate, Class: s.Class}
	if s.Kind == wire.Service {
		a.Run = 1e6
	}
	if s.Zone != nil {
		a.Zone = n.zoneIndex(*s.Zone)
	}
	if s.Types != nil {
		a.Types = []int{}
		for i := range n.types {
			if slices.Contains(s.Types, n.types[i].Name) {
				a.Types = append(a.Types, i)
			}
		}
	}
	return a
}

// zoneIndex is a zone's dense index; an unknown one matches no machine.
func (n *Node) zoneIndex(zone string) int {
	if i := slices.Index(n.set.Deployment.Zones, zone); i >= 0 {
		return i
	}
	return 1 << 20
}

// hosts lists the machines that may take tasks, with their free room as far as
// this controller knows; those only that have room for least, if that is not nil. A stale
// guess costs a refusal at the machine's home. Only machines where something changed are
// counted anew. A machine whose home has not heard it since the term was raised takes no
// orders yet.
func (n *Node) hosts(now time.Time, least *placement.Ask) []*placement.Host {
	n.recountMoved()
	fresh := 2*time.Duration(n.set.Deployment.Workers.Report*float64(time.Second)) + 3*time.Second
	drain := n.draining()
	away := map[string]bool{} // homes that no order reaches
	for name, p := range n.peers {
		away[name] = !p.up || !p.near(now)
	}
	plan := n.admit.known.Acts()
	scratch := &n.scratch
	if least == nil {
		scratch = &n.scratchAll
	}
	*scratch = (*scratch)[:0]
	for _, m := range n.board {
		v := m.view
		if m.gone || v.Term != n.record.Term || !n.count(m) || least != nil && !least.Fits(&m.host) {
			continue
		}
		if v.Notice || n.undescribed(v) || now.Sub(m.heard) > fresh || away[n.homeFor(m, v.Machine)] || n.blame.Bad(v.Machine, now) || n.slow(m, now) {
			continue
		}
		if !drain[v.Machine] && n.roster.Has(v.Machine) {
			*scratch = append(*scratch, m.host)
			(*scratch)[len(*scratch)-1].Held = plan.For(v.Machine)
		}
	}
	hosts := make([]*placement.Host, len(*scratch))
	for i := range *scratch {
		hosts[i] = &(*scratch)[i]
	}
	return hosts
}

// recountMoved marks the machines where own teams' attempts came or went.
func (n *Node) recountMoved() {
	for _, it := range n.items {
		n.recount(maps.Keys(it.team.TakeMoved()))
	}
}

func (n *Node) recount(names iter.Seq[string]) {
	for name := range names {
		if m := n.machines[name]; m != nil {
			m.counted = false
		}
	}
}

// count brings a machine's entry for placement up to date; false if its type is
// unknown.
func (n *Node) count(m *machine) bool {
	if m.counted {
		return true
	}
	v := m.view
	t := slices.IndexFunc(n.types, func(t wire.MachineType) bool { return t.Name == v.Type })
	if t < 0 {
		return false
	}
	h := placement.Host{Name: v.Machine, Type: t, Zone: n.zoneIndex(v.Zone), Spot: v.Spot, Session: v.Session, Fetch: n.types[t].FetchRate, Images: m.images}
	if h.Price = n.types[t].Price; v.Spot {
		h.Price = n.types[t].SpotPrice
	}
	h.CPUs, h.GPUs, h.Memory = n.free(m)
	pulls := map[string]bool{}
	for _, t := range v.Tasks {
		if j := n.jobs[t.Job]; j != nil && t.State == wire.Pulling {
			pulls[j.spec.Image] = true
		}
	}
	h.Pulls = len(pulls)
	m.host, m.counted = h, true
	return true
}

// moveSlow stops tasks that take far longer than their kin took, to start them
// anew elsewhere once they are proven off: as when a machine is faulty.
func (n *Node) moveSlow(it *item, now time.Time) {
	it.team.Jobs(func(tj *ledger.Job) {
		uid := tj.Spec.UID
		j := n.jobs[uid]
		if j == nil || j.runs < max(3, tj.Spec.Tasks/3) || tj.Spec.Kind != wire.Batch {
			return
		}
		limit := max(j.longest, run(tj.Spec)) * 5 / 2
		it.team.Running(tj, func(h ledger.Hold) {
			m := n.machines[h.Machine]
			if m == nil || tj.Avoids(h.Machine, now) {
				return
			}
			since, ok := m.running[h.Ref()]
			if ok && now.Sub(since) > limit && it.team.Move(h, tj.Spec.Save, now) {
				m.slow = now
				n.log.Info("task slower than its kin", "task", uid, "index", h.Index, "machine", h.Machine, "ran", now.Sub(since), "kin", j.longest)
			}
		})
	})
}

// leaveNoticed moves work off machines that the cloud announced to take away:
// what can save, gangs as a whole, and replicas. Other tasks may yet complete.
func (n *Node) leaveNoticed(it *item) {
	for _, name := range it.team.Machines() {
		m := n.machines[name]
		if m == nil || m.view == nil || !m.view.Notice {
			continue
		}
		it.team.On(name, func(h ledger.Hold) {
			j := it.team.Job(h.Job)
			switch {
			case j == nil:
			case j.Spec.Kind == wire.Gang:
				it.team.StopJob(j, j.Spec.Save)
			case j.Spec.Kind == wire.Service || j.Spec.Checkpoint > 0:
				it.team.Stop(h.Ref(), j.Spec.Save)
			}
		})
	}
}

// slow says whether a machine was found slow of late.
func (n *Node) slow(m *machine, now time.Time) bool {
	return !m.slow.IsZero() && now.Sub(m.slow) < time.Minute
}

// free is a machine's room beside what it lists and what own teams hold there.
func (n *Node) free(m *machine) (cpus, gpus, memory float64) {
	cpus, gpus, memory, _ = n.capacity(m.view.Type)
	listed := map[ledger.Ref]bool{}
	for _, t := range m.view.Tasks {
		listed[t.Ref()] = true
		if t.State != wire.Exited {
			c, g, r := n.size(t.Job)
			cpus, gpus, memory = cpus-c, gpus-g, memory-r
		}
	}
	for _, it := range n.items {
		it.team.On(m.view.Machine, func(h ledger.Hold) {
			if !listed[h.Ref()] {
				cpus, gpus, memory = cpus-h.CPUs, gpus-h.GPUs, memory-h.Memory
			}
		})
	}
	return cpus, gpus, memory
}

// finish commits the end of jobs whose tasks are all done.
func (n *Node) finish(it *item) {
	it.team.Jobs(func(j *ledger.Job) {
		if j.Spec.Kind == wire.Service || j.Finishing || !it.team.Complete(j) {
			return
		}
		if j.Version == 0 {
			return // after a loss: the store gets it back first
		}
		j.Finishing = true
		version, written := n.version, j.Version
		n.group.Go(func() error {
			n.commitDone(n.ctx, it, j, version, written)
			return nil
		})
	})
}

func (n *Node) commitDone(ctx context.Context, it *item, j *ledger.Job, version, written uint64) {
	uid := j.Spec.UID
	team, _ := teamOf(it.name)
	end := frontend.EndOf(j.Spec, wire.Done)
	_, err := n.state.Commit(ctx, state.Update{
		Guards: []wire.Guard{{Key: frontend.JobKey + uid, Version: written}, {Key: controlKey, Version: version}},
		Ops:    []wire.Op{{Delete: frontend.JobKey + uid}, {Set: frontend.FinalKey + uid, Value: wire.Encode(end)}}})
	if c := (*state.Conflict)(nil); errors.As(err, &c) && slices.Contains(c.Keys, frontend.JobKey+uid) {
		(*userBackend)(n).Missing(uid) // or just withdrawn; the record may have changed as well, which says nothing
	}
	if err == nil {
		n.hold(ctx, holdMsg{Ends: []frontendEnd{{uid, end}}})
		n.front.Learn(uid, end)
	} else {
		n.log.Debug("end of job not written yet", "job", uid, "err", err)
		pause(ctx, 200*time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.log.Info("job done", "job", uid, "team", team)
		n.ranOut(j.Spec, time.Now())
		n.endJob(uid)
	}
	j.Finishing = false
	n.wake()
}
