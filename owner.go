package topazhollow

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/frontend"
	"topazhollow/internal/ledger"
	"topazhollow/internal/placement"
	"topazhollow/internal/settings"
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
	name   string
	since  uint64
	phase  int
	blind  bool
	team   *ledger.Team
	frozen bool     // being handed over
	adding []string // backups that a pending change of the record puts in sync
	taken  time.Time
	acks   map[string]*ack
	await  map[string]bool // machines that the barrier waits for
	chunks map[string]uint64
	saving map[string]bool
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
	it := &item{name: name, since: r.Since, blind: r.Blind, taken: time.Now(),
		acks: map[string]*ack{}, chunks: map[string]uint64{}, saving: map[string]bool{}}
	n.items[name] = it
	rep := ledger.NewReplica()
	if b := n.backups[name]; b != nil && !it.blind {
		rep = b.rep
	} else if r.Since > 1 {
		it.blind = true // the record thinks that we know everything, but we don't
	}
	delete(n.backups, name)
	n.log.Info("item taken", "item", name, "term", r.Since, "barrier", it.blind, "held", len(rep.Holds))
	if _, ok := teamOf(name); !ok {
		rep = ledger.NewReplica()
	}
	it.team = n.newTeam(name, rep, n.record.Term)
	n.group.Go(func() error {
		n.load(n.ctx, it)
		return nil
	})
}

func (n *Node) newTeam(name string, rep *ledger.Replica, term uint64) *ledger.Team {
	log := func(event string, args ...any) { n.log.Debug(event, append(args, "item", name)...) }
	team, _ := teamOf(name)
	for _, t := range n.set.Deployment.Teams {
		if t.Name == team {
			return ledger.NewTeam(name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax, rep, term, log)
		}
	}
	return ledger.NewTeam(name, 0, 0, 0, 0, rep, term, log)
}

// load reads from the state service what a new owner needs: jobs, bitmaps and
// machines as they are now.
func (n *Node) load(ctx context.Context, it *item) {
	for ctx.Err() == nil {
		n.mu.Lock()
		current := n.items[it.name] == it
		n.mu.Unlock()
		if !current {
			return
		}
		if it.name == tenure.Fleet {
			n.mu.Lock()
			it.phase = ready
			n.mu.Unlock()
			return
		}
		entries, _, err := n.state.List(ctx, frontend.Watched)
		if err == nil {
			var bitmaps []wire.Entry
			if bitmaps, _, err = n.state.List(ctx, bitmapPath); err == nil {
				n.mu.Lock()
				n.loaded(it, entries, bitmaps)
				n.mu.Unlock()
				return
			}
		}
		n.log.Info("item waits for the state service", "item", it.name, "err", err)
		pause(ctx, 300*time.Millisecond)
	}
}

func (n *Node) loaded(it *item, entries, bitmaps []wire.Entry) {
	if n.items[it.name] != it {
		return
	}
	done := map[string]*bitset.BitSet{}
	for _, e := range bitmaps {
		if err := n.readChunk(e, done); err != nil {
			n.log.Error("unreadable bitmap", "key", e.Key, "err", err)
			continue
		}
		it.chunks[e.Key] = e.Version
	}
	team, _ := teamOf(it.name)
	machines := map[string]bool{}
	for _, e := range entries {
		n.changed(wire.Change{Set: e.Key, Value: e.Value, Version: e.Version})
		if name, ok := strings.CutPrefix(e.Key, machineKey); ok {
			machines[name] = true
		}
	}
	if n.items[it.name] != it {
		return // the list held a newer record
	}
	for uid, j := range n.jobs {
		if j.active && j.spec.Team == team {
			it.team.AddJob(j.spec, j.version, j.at, done[uid])
		}
	}
	it.phase = barrier
	it.await = map[string]bool{}
	if it.blind {
		it.await = machines
	}
	n.passBarrier(it)
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
	if len(it.await) > 0 {
		return
	}
	it.phase, it.taken = ready, time.Now()
	n.log.Info("item ready", "item", it.name, "term", it.since)
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		if m := n.machines[name]; m.view != nil {
			n.observe(it, m.view)
		}
	}
}

// observe lets an item's account see a machine and sends the orders that follow.
func (n *Node) observe(it *item, v *ledger.View) {
	if it.phase != ready || it.name == tenure.Fleet {
		return
	}
	team, _ := teamOf(it.name)
	orders := it.team.Observe(v, time.Now(), func(uid string) (*wire.Submission, bool, bool) {
		j := n.jobs[uid]
		if j == nil || j.spec.Team != team {
			return nil, false, false
		}
		return j.spec, j.active, true
	})
	if len(orders) > 0 {
		n.order(v.Machine, orders)
	}
}

// reobserve looks again at the machines that hold tasks of a job.
func (n *Node) reobserve(it *item, uid string) {
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		m := n.machines[name]
		if m.view != nil && slices.ContainsFunc(m.view.Tasks, func(t ledger.TaskView) bool { return t.Job == uid }) {
			n.observe(it, m.view)
		}
	}
}

// order hands commands for a machine to its home.
func (n *Node) order(name string, orders []ledger.Order) {
	home := n.record.Home(name)
	if home == n.name {
		n.take(name, n.record.Term, orders)
		return
	}
	n.links.Send(home, "orders", ordersMsg{Term: n.record.Term, Machine: name, Orders: orders})
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

// lateAfter is how long a backup may take to acknowledge before it goes out of
// sync.
const lateAfter = 1500 * time.Millisecond

// syncs sums up the backups of each owned item.
func (n *Node) syncs(now time.Time) map[string]tenure.Sync {
	out := map[string]tenure.Sync{}
	for name, it := range n.items {
		s := tenure.Sync{Ready: it.phase == ready && !it.frozen, Whole: map[string]bool{}, Lagging: map[string]bool{}}
		seq := it.team.Replica().Seq
		for p, ps := range n.peers {
			a := it.acks[p]
			switch {
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
	for p, ps := range n.peers {
		if _, member := n.record.Nodes[p]; !member || !ps.up {
			continue
		}
		a := it.acks[p]
		if a == nil {
			a = &ack{}
			it.acks[p] = a
		}
		if !a.copied {
			a.copied = n.links.Send(p, "copy", copyMsg{Item: it.name, Since: it.since, Copy: it.team.Replica().Copy()})
			a.sent = seq
			if a.since.IsZero() {
				a.since = now
			}
			continue
		}
		for _, d := range deltas {
			if d.Seq > a.sent {
				n.links.Send(p, "delta", deltaMsg{Item: it.name, Since: it.since, Delta: d})
				a.sent = d.Seq
				if a.since.IsZero() {
					a.since = now
				}
			}
		}
	}
}

// work is the main duty: it replicates, orders and places whenever something
// happened, and at every tick.
func (n *Node) work(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.kick:
		case <-ticker.C:
		}
		n.mu.Lock()
		n.step(time.Now())
		n.mu.Unlock()
	}
}

func (n *Node) step(now time.Time) {
	if !n.entitled(now) {
		return
	}
	n.place(now)
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
			return x != nil && !x.gone && x.registered != 0 && x.view != nil && x.view.Session == session
		})
		for m, orders := range due {
			n.order(m, orders)
		}
		n.finish(it)
		n.moveSlow(it, now)
		n.leaveNoticed(it)
	}
	n.tellViews()
}

func (n *Node) ask(s *wire.Submission) *placement.Ask {
	a := &placement.Ask{CPUs: s.CPUs, GPUs: s.GPUs, Memory: s.Memory, Zone: -1, Spot: s.Spot, Image: s.Image}
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
// this controller knows. A stale guess costs a refusal at the machine's home.
func (n *Node) hosts(now time.Time) []*placement.Host {
	fresh := 2*time.Duration(n.set.Deployment.Workers.Report*float64(time.Second)) + 3*time.Second
	drain := n.draining()
	var hosts []*placement.Host
	for _, name := range slices.Sorted(maps.Keys(n.machines)) {
		m := n.machines[name]
		v := m.view
		if v == nil || m.gone || m.registered == 0 || v.Notice || now.Sub(m.heard) > fresh || drain[name] || len(m.errors) > 2 || n.slow(m, now) {
			continue
		}
		t := slices.IndexFunc(n.types, func(t wire.MachineType) bool { return t.Name == v.Type })
		if t < 0 {
			continue
		}
		h := &placement.Host{Name: name, Type: t, Zone: n.zoneIndex(v.Zone), Spot: v.Spot, Session: v.Session, Images: m.images}
		if h.Price = n.types[t].Price; v.Spot {
			h.Price = n.types[t].SpotPrice
		}
		h.CPUs, h.GPUs, h.Memory = n.free(m)
		if h.CPUs > 0 || h.GPUs > 0 {
			hosts = append(hosts, h)
		}
	}
	return hosts
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
		limit := max(j.longest, settings.Seconds(tj.Spec.Estimate)) * 5 / 2
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
		j.Finishing = true
		version := n.version
		n.group.Go(func() error {
			n.commitDone(n.ctx, it, j, version)
			return nil
		})
	})
}

func (n *Node) commitDone(ctx context.Context, it *item, j *ledger.Job, version uint64) {
	uid := j.Spec.UID
	team, _ := teamOf(it.name)
	end := frontend.Final{State: wire.Done, Tasks: j.Spec.Tasks, Team: team}
	ops := append([]wire.Op{{Delete: frontend.JobKey + uid}, {Set: frontend.FinalKey + uid, Value: wire.Encode(end)}},
		(*userBackend)(n).Cleanup(uid, j.Spec.Tasks)...)
	_, err := n.state.Commit(ctx, state.Update{
		Guards: []wire.Guard{{Key: frontend.JobKey + uid, Version: j.Version}, {Key: controlKey, Version: version}}, Ops: ops})
	if err == nil {
		n.front.Learn(uid, end)
	} else {
		n.log.Debug("end of job not written yet", "job", uid, "err", err)
		pause(ctx, 200*time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.log.Info("job done", "job", uid, "team", team)
		n.endJob(uid)
	}
	j.Finishing = false
	n.wake()
}

// chunkBits is how many tasks one bitmap key covers.
func (n *Node) chunkBits() int { return int(n.set.Deployment.State.ValueKB*1024) * 8 / 2 / 64 * 64 }

func bitmapKey(uid string, chunk int) string { return bitmapPath + uid + "/" + strconv.Itoa(chunk) }

func (n *Node) readChunk(e wire.Entry, into map[string]*bitset.BitSet) error {
	uid, chunk, ok := wire.SplitTask(strings.TrimPrefix(e.Key, bitmapPath))
	if !ok {
		return errors.New("malformed key")
	}
	var text string
	if err := json.Unmarshal(e.Value, &text); err != nil {
		return err
	}
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	part := bitset.New(0)
	if err := part.UnmarshalBinary(data); err != nil {
		return err
	}
	all := into[uid]
	if all == nil {
		all = bitset.New(0)
		into[uid] = all
	}
	for i, ok := part.NextSet(0); ok; i, ok = part.NextSet(i + 1) {
		if at := chunk*n.chunkBits() + int(i); at < wire.MaxTasks {
			all.Set(uint(at))
		}
	}
	return nil
}

// save writes bitmaps of finished tasks, paced.
func (n *Node) save(ctx context.Context) error {
	every := time.Duration(n.opt.BitmapEvery * float64(time.Second))
	for pause(ctx, every) {
		n.mu.Lock()
		if n.entitled(time.Now()) {
			for _, it := range n.items {
				if it.phase == ready {
					n.saveItem(it)
				}
			}
		}
		n.mu.Unlock()
	}
	return nil
}

func (n *Node) saveItem(it *item) {
	for j, done := range it.team.Unsaved() {
		uid := j.Spec.UID
		if j.Finishing || it.saving[uid] {
			continue
		}
		it.saving[uid] = true
		guards := []wire.Guard{{Key: frontend.JobKey + uid, Version: j.Version}, {Key: controlKey, Version: n.version}}
		var ops []wire.Op
		var keys []string
		bits := n.chunkBits()
		for c := 0; c*bits < j.Spec.Tasks; c++ {
			part := bitset.New(0)
			for i, ok := done.NextSet(uint(c * bits)); ok && int(i) < (c+1)*bits; i, ok = done.NextSet(i + 1) {
				part.Set(i - uint(c*bits))
			}
			if part.None() {
				continue
			}
			data, err := part.MarshalBinary()
			if err != nil {
				panic(fmt.Sprintf("bitmap without binary form: %v", err))
			}
			key := bitmapKey(uid, c)
			keys = append(keys, key)
			guards = append(guards, wire.Guard{Key: key, Version: it.chunks[key]})
			ops = append(ops, wire.Op{Set: key, Value: wire.Encode(base64.StdEncoding.EncodeToString(data))})
		}
		n.group.Go(func() error {
			revision, err := n.state.Commit(n.ctx, state.Update{Guards: guards, Ops: ops})
			var fresh map[string]uint64
			if err != nil {
				fresh = n.chunkVersions(n.ctx, keys)
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			delete(it.saving, uid)
			if err != nil {
				n.log.Debug("bitmap not written yet", "job", uid, "err", err)
				maps.Copy(it.chunks, fresh)
				return nil
			}
			for _, key := range keys {
				it.chunks[key] = revision
			}
			it.team.Saved(uid, done)
			n.reobserve(it, uid)
			return nil
		})
	}
}

// chunkVersions reads the versions of bitmap keys after a write whose outcome is
// open or that met another version.
func (n *Node) chunkVersions(ctx context.Context, keys []string) map[string]uint64 {
	out := map[string]uint64{}
	for _, key := range keys {
		if e, err := n.state.Get(ctx, key); err == nil {
			out[key] = 0
			if e != nil {
				out[key] = e.Version
			}
		}
	}
	return out
}
