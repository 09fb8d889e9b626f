package teamconfig

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/settings"
)

// world is a plain model: a state service with entries and a membership record, controllers whose reads, words and
// lessons arrive late, twice, in any order or never, and machines on which tasks of one CPU start late.
type world struct {
	rng      *rand.Rand
	now      time.Time
	revision uint64
	record   record
	history  map[string][]Change // every committed change of a team
	nodes    [3]*node
	flying   []func()
	tasks    map[string]*account
	said     map[string]uint64 // version of the last change of a team that was said to be in force
	ended    uint64

	inForce, refused, taught, handed int // that it really happened
}

type record struct {
	version uint64
	members map[string]uint64
	owners  map[string]string
	blind   map[string]bool // the owner does not know what its predecessor started
}

// account is what a team has on machines, and on the way there.
type account struct{ coming, running int }

type node struct {
	name     string
	process  uint64
	conf     *Config
	force    *Propagation
	record   record
	serial   uint64
	entitled bool
	mute     bool              // its reads fail for a while, though it holds its lease and hears of records
	deaf     bool              // then it hears no peer's lessons either
	since    map[string]uint64 // version of the record under which it took a team
	ready    map[string]bool
}

var (
	nodeNames = []string{"a", "b", "c"}
	teamNames = []string{"red", "blue"}
)

const baseLimit = 6

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 21)), now: time.Unix(1e6, 0), history: map[string][]Change{}, tasks: map[string]*account{}, said: map[string]uint64{}}
	for _, t := range teamNames {
		w.tasks[t] = &account{}
	}
	w.record = record{members: map[string]uint64{}, owners: map[string]string{}, blind: map[string]bool{}}
	for i := range w.nodes {
		w.begin(i)
	}
	return w
}

// begin has a controller's process end and another one begin.
func (w *world) begin(i int) {
	w.ended++
	base := []settings.Team{{Name: "red", CPUsMax: baseLimit}, {Name: "blue", CPUsMax: baseLimit}}
	w.nodes[i] = &node{name: nodeNames[i], process: w.ended, conf: New(base, 10*time.Second), force: NewPropagation(), since: map[string]uint64{}, ready: map[string]bool{}}
}

// later has something happen after other things, now and then twice or never.
func (w *world) later(f func()) {
	for range []int{1, 1, 1, 2, 0}[w.rng.IntN(5)] {
		w.flying = append(w.flying, f)
	}
}

func (w *world) arrive() {
	if len(w.flying) == 0 {
		return
	}
	i := w.rng.IntN(len(w.flying))
	f := w.flying[i]
	w.flying = slices.Delete(w.flying, i, i+1)
	f()
}

// change commits a change of a team.
func (w *world) change(team string) {
	number := uint64(len(w.history[team]) + 1)
	w.revision++
	e := Entry{Number: number, ChangeID: fmt.Sprint(number), CPUsMax: float64(1 + w.rng.IntN(9))}
	w.history[team] = append(w.history[team], Change{team, e, w.revision})
}

// read has a controller read all that is stored.
func (w *world) read(n *node) {
	began, revision, r := w.now, w.revision, w.record
	var all []Change
	for _, t := range teamNames {
		if h := w.history[t]; len(h) > 0 {
			all = append(all, h[len(h)-1])
		}
	}
	w.later(func() {
		if n.mute {
			return
		}
		for _, x := range all {
			n.conf.ApplyEntry(x.Team, x.Entry, x.Version)
		}
		w.adopt(n, r)
		n.conf.MarkReadUpTo(revision, began)
	})
}

// adopt has a controller take up a membership record.
func (w *world) adopt(n *node, r record) {
	if r.version <= n.record.version {
		return
	}
	n.record = r
	n.entitled = r.members[n.name] == n.process
	for _, t := range teamNames {
		if r.owners[t] != n.name || !n.entitled {
			delete(n.since, t)
			continue
		}
		if _, had := n.since[t]; !had {
			n.since[t], n.ready[t] = r.version, !r.blind[t]
			n.conf.RequireRevision(r.version)
		}
	}
}

// rewrite changes the membership record: members come and go, teams change hands.
func (w *world) rewrite() {
	next := record{version: w.revision + 1, members: map[string]uint64{}, owners: map[string]string{}, blind: map[string]bool{}}
	for _, n := range w.nodes {
		member := w.record.members[n.name] == n.process
		out := member && w.rng.IntN(8) == 0 || n.mute && w.rng.IntN(4) > 0
		if out {
			n.entitled = false // its lease ended, or it could not be left out
		}
		if !out && n.conf.KnownRevision() > 0 {
			next.members[n.name] = n.process
		}
	}
	if len(next.members) == 0 {
		return
	}
	w.revision++
	names := slices.Sorted(maps.Keys(next.members))
	for _, t := range teamNames {
		owner := w.record.owners[t]
		stays := w.record.members[owner] != 0 && w.record.members[owner] == next.members[owner]
		if !stays || w.rng.IntN(2) == 0 {
			owner = names[w.rng.IntN(len(names))]
			next.blind[t] = w.record.members[owner] != next.members[owner]
			w.handed++
		} else {
			next.blind[t] = w.record.blind[t]
		}
		next.owners[t] = owner
	}
	w.record = next
}

// owner is the process that may start a team's tasks: the one that the record it knows names, unless the one
// that a newer record names has begun, since that one no longer acknowledges what the former starts.
func (w *world) owner(team string) *node {
	for _, n := range w.nodes {
		if n.entitled && n.record.owners[team] == n.name && n.record.version == w.record.version {
			return n
		}
	}
	for _, n := range w.nodes {
		if n.entitled && n.record.owners[team] == n.name {
			return n
		}
	}
	return nil
}

func (w *world) limit(n *node, team string) int {
	l, _ := n.conf.Limits(team, w.now)
	return int(l.CPUsMax)
}

// work has a team's owner start what fits, and take back what is on its way beyond its limit.
func (w *world) work(team string) {
	n, a := w.owner(team), w.tasks[team]
	if n == nil {
		return
	}
	if !n.ready[team] { // the barrier: all that was on its way has come or never will
		if a.coming == 0 && n.conf.Ready() {
			n.ready[team] = true
		}
		return
	}
	switch limit := w.limit(n, team); {
	case !n.conf.Ready():
	case a.coming+a.running < limit:
		a.coming++
	case a.coming+a.running > limit && a.coming > 0:
		a.coming--
		w.refused++
	}
}

// land gets a task onto a machine. What is allowed is the most of what was committed since the change that was
// last said to be in force.
func (w *world) land(t *testing.T, seed uint64, team string) {
	a := w.tasks[team]
	if a.coming == 0 {
		return
	}
	a.coming--
	a.running++
	allowed := 0.0
	if w.said[team] == 0 {
		allowed = baseLimit
	}
	for _, x := range w.history[team] {
		if x.Version >= w.said[team] {
			allowed = max(allowed, x.Entry.CPUsMax)
		}
	}
	if float64(a.running) > allowed {
		t.Fatalf("seed %d: %d tasks of %s start, %g are allowed since change %d is in force", seed, a.running, team, allowed, w.said[team])
	}
}

func (n *node) asRecord() *MembershipRecord {
	return &MembershipRecord{Version: n.record.version, Members: n.record.members, Owner: func(team string) string { return n.record.owners[team] }}
}

// tell has a controller tell its word to all.
func (w *world) tell(n *node) {
	n.serial++
	word := Status{Serial: n.serial, RecordVersion: n.record.version, KnownRevision: n.conf.KnownRevision()}
	for _, t := range teamNames {
		a := w.tasks[t]
		over := a.coming+a.running > w.limit(n, t)
		if n.record.owners[t] == n.name && (!n.ready[t] || over && a.coming > 0) {
			word.Unsettled = append(word.Unsettled, t)
		}
	}
	n.force.Apply(n.name, n.process, word)
	process := n.process
	for i := range w.nodes {
		to := w.nodes[i]
		if to == n {
			continue
		}
		w.later(func() {
			to.force.Apply(n.name, process, word)
			if word.KnownRevision < to.conf.LatestVersion() {
				after, known, rec, lesson := word.KnownRevision, to.conf.KnownRevision(), to.record.version, to.conf.ChangesAfter(word.KnownRevision)
				w.later(func() {
					if n.mute && n.deaf {
						return
					}
					before := n.conf.KnownRevision()
					n.conf.ApplyMissing(lesson, after, known, rec, n.record.version)
					if n.conf.KnownRevision() > before {
						w.taught++
					}
				})
			}
		})
	}
}

// say has a controller find what is in force, and everybody rely on it.
func (w *world) say(n *node) {
	for _, x := range n.force.Propagated(n.asRecord(), n.conf.NotInForce()) {
		n.conf.MarkInForce(x.Team, x.Version)
		w.said[x.Team] = max(w.said[x.Team], x.Version)
		w.inForce++
	}
}

// TestQuotaModel: over random events no task starts beyond what is allowed, and what is committed comes in force once
// the troubles are over.
func TestQuotaModel(t *testing.T) {
	var inForce, refused, taught, handed int
	for seed := range uint64(1500) {
		w := newWorld(seed)
		for range 1500 {
			w.now = w.now.Add(time.Duration(w.rng.IntN(400)) * time.Millisecond)
			n, team := w.nodes[w.rng.IntN(3)], teamNames[w.rng.IntN(2)]
			switch x := w.rng.IntN(100); {
			case x < 4:
				w.change(team)
			case x < 6:
				if w.rng.IntN(2) == 0 {
					w.rewrite()
				}
			case x < 7:
				w.begin(w.rng.IntN(3))
			case x < 14:
				r := w.record // read alone, or told by a peer
				w.later(func() { w.adopt(n, r) })
			case x < 15:
				n.mute, n.deaf = !n.mute && w.rng.IntN(3) == 0, w.rng.IntN(2) == 0
			case x < 25:
				w.read(n)
			case x < 37:
				w.tell(n)
			case x < 46:
				w.say(n)
			case x < 65:
				w.work(team)
			case x < 75:
				w.land(t, seed, team)
			case x < 80:
				w.tasks[team].running = max(0, w.tasks[team].running-1)
			default:
				w.arrive()
			}
		}
		w.calm(t, seed)
		inForce, refused, taught, handed = inForce+w.inForce, refused+w.refused, taught+w.taught, handed+w.handed
	}
	if min(inForce, refused, taught, handed) < 100 {
		t.Errorf("too little happened: %d in force, %d taken back, %d taught, %d handed over", inForce, refused, taught, handed)
	}
}

// calm has everything arrive, and sees that the last changes are in force.
func (w *world) calm(t *testing.T, seed uint64) {
	w.flying = nil
	for _, n := range w.nodes {
		n.mute = false
	}
	for range 3 {
		for _, n := range w.nodes {
			w.read(n)
		}
		for len(w.flying) > 0 {
			w.arrive()
		}
	}
	w.rewrite()
	for range 200 {
		for _, n := range w.nodes {
			w.read(n)
			w.tell(n)
			w.say(n)
		}
		for len(w.flying) > 0 {
			w.arrive()
		}
		for _, team := range teamNames {
			w.work(team)
			w.land(t, seed, team)
		}
	}
	for _, team := range teamNames {
		h := w.history[team]
		if len(h) > 0 && w.said[team] != h[len(h)-1].Version {
			t.Fatalf("seed %d: the last change of %s, at %d, is not in force, but that of %d", seed, team, h[len(h)-1].Version, w.said[team])
		}
	}
}
