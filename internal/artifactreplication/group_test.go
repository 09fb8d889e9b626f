package artifactreplication

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// group is several replicas on loopback, of which each can be away, come back with its
// disk or without.
type group struct {
	t       *testing.T
	dir     string
	members Members
	keepers map[string]*one
}

// one is a replica of a group. Its address outlives it.
type one struct {
	*Node
	k    *artifactstore.Store
	b    *blob.Store
	srv  *httptest.Server
	h    atomic.Pointer[http.Handler] // nil: away
	held atomic.Int64                 // calls that are still to be held up, and then lost
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, dir: t.TempDir(), members: Members{Epoch: 1, Copies: min(3, len(names)), Acks: majority(min(3, len(names)))}, keepers: map[string]*one{}}
	for i, name := range names {
		g.add(name, fmt.Sprint("zone ", i%2))
	}
	for _, name := range names {
		g.start(name)
	}
	g.repair()
	for _, name := range names {
		if !g.keepers[name].InSync() {
			t.Fatalf("%s is not full: %+v", name, g.keepers[name].Status())
		}
	}
	t.Cleanup(func() {
		for name, o := range g.keepers {
			g.stop(name)
			o.srv.Close()
		}
	})
	return g
}

func (g *group) add(name, zone string) {
	o := &one{}
	o.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := o.h.Load()
		if h == nil || o.held.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		(*h).ServeHTTP(w, r)
	}))
	g.keepers[name] = o
	g.members.List = append(g.members.List, Member{Name: name, Zone: zone, URL: o.srv.URL, State: Serving})
}

// start starts a replica on its directory, by the list that is in force now.
func (g *group) start(name string) {
	g.t.Helper()
	o, dir := g.keepers[name], filepath.Join(g.dir, name)
	var err error
	o.b, err = blob.Open(blob.Options{Dir: filepath.Join(dir, "blobs"), MaxInline: 500, Repair: func(ctx context.Context, d blob.Digest) (io.ReadCloser, error) { return o.OpenVerified(ctx, d) }})
	if err != nil {
		g.t.Fatal(err)
	}
	if o.k, err = artifactstore.Open(artifactstore.Options{Dir: filepath.Join(dir, "log"), Blobs: o.b, Key: key}); err != nil {
		g.t.Fatal(err)
	}
	m := g.members
	m.List = slices.Clone(m.List)
	if o.Node, err = New(Options{Name: name, Dir: dir, Members: m, Store: o.k, Blobs: o.b, Key: key, PeerTimeout: 2 * time.Second}); err != nil {
		g.t.Fatal(err)
	}
	h := (&Server{Node: o.Node}).Handler()
	o.h.Store(&h)
}

// cut takes a replica off the network; stop ends it too.
func (g *group) cut(name string) { g.keepers[name].h.Store(nil) }

func (g *group) back(name string) {
	h := (&Server{Node: g.keepers[name].Node}).Handler()
	g.keepers[name].h.Store(&h)
}

func (g *group) stop(name string) {
	o := g.keepers[name]
	g.cut(name)
	if o.k != nil {
		o.k.Close()
		o.b.Close()
		o.k = nil
	}
}

// lose takes a replica's disk.
func (g *group) lose(name string) {
	g.stop(name)
	if err := os.RemoveAll(filepath.Join(g.dir, name)); err != nil {
		g.t.Fatal(err)
	}
}

// repair has all replicas that run look after themselves.
func (g *group) repair() {
	for _, name := range g.names() {
		if o := g.keepers[name]; o.k != nil {
			_ = o.Repair(ctx) // a replica that is away is no failure of the others
		}
	}
}

func (g *group) names() (list []string) {
	for _, m := range g.members.List {
		list = append(list, m.Name)
	}
	return list
}

// any is a front that runs.
func (g *group) any() *Node {
	for _, name := range g.names() {
		if o := g.keepers[name]; o.k != nil && o.h.Load() != nil {
			return o.Node
		}
	}
	g.t.Fatal("no keeper is left")
	return nil
}

// run plays an attempt of a task to its seal, at one front.
func run(t *testing.T, n *Node, c artifactstore.Claim, records int, completed bool) (final bool) {
	t.Helper()
	if err := n.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	if _, err := n.Append(ctx, c, "stdout", 0, lines(0, records, fmt.Sprint("attempt ", c.Number))); err != nil {
		t.Fatal(err)
	}
	content := []byte(strings.Repeat(fmt.Sprintf("file of %d of task %d;", c.Number, c.Task), 50))
	d, err := n.blobs.Put(ctx, c.Tenant, content)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Attach(ctx, c, "out.bin", d); err != nil {
		t.Fatal(err)
	}
	_, final, err = n.Seal(ctx, c, end(completed, uint64(records), map[string]string{"out.bin": d.String()}))
	if err != nil {
		t.Fatal(err)
	}
	return final
}

// whole checks that a front shows an attempt's output and file as run made them.
func whole(t *testing.T, n *Node, c artifactstore.Claim, records int, state string) {
	t.Helper()
	got, i := 0, uint64(0)
	next, st, err := n.Read(ctx, c.Attempt, "stdout", 0, false, func(k uint64, r artifactstore.Record) error {
		if k != i || string(r.Data) != fmt.Sprintf("attempt %d %d", c.Number, k) {
			return fmt.Errorf("record %d is %d: %q", i, k, r.Data)
		}
		i++
		got++
		return nil
	})
	if err != nil || got != records || next != uint64(records) || st != state {
		t.Fatalf("%s at %s: %d of %d records, %q, not %q, %v", c.Attempt, n.opt.Name, got, records, st, state, err)
	}
	m, st, err := n.Manifest(ctx, c.Job, c.Task, c.Number)
	if err != nil || len(m.Files) != 1 || st != state {
		t.Fatalf("%s at %s: %+v, %s, %v", c.Attempt, n.opt.Name, m, st, err)
	}
	d, err := blob.Parse(m.Files[0].Digest)
	if err != nil {
		t.Fatal(err)
	}
	content, err := n.readWhole(ctx, c.Job, c.Task, c.Tenant, d)
	if err != nil || !bytes.HasPrefix(content, fmt.Appendf(nil, "file of %d of task %d;", c.Number, c.Task)) {
		t.Fatalf("%s at %s: file %.40q, %v", c.Attempt, n.opt.Name, content, err)
	}
}

// TestAnyOneGone: with any one of three replicas away, cut off or its disk lost, what was
// acknowledged is read from the others, and new attempts go through; one that comes back
// catches up, one with an empty disk is refilled and does not vote before.
func TestAnyOneGone(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	task := 0
	all := map[int]int{}
	one := func(n *Node) {
		t.Helper()
		if !run(t, n, claim(1, task, 1), 5+task, true) {
			t.Fatalf("task %d has no result", task)
		}
		all[task] = 5 + task
		task++
	}
	check := func() {
		t.Helper()
		for _, name := range g.names() {
			if o := g.keepers[name]; o.k != nil && o.h.Load() != nil {
				for i, records := range all {
					whole(t, o.Node, claim(1, i, 1), records, artifactstore.StateFinal)
				}
			}
		}
	}
	for _, name := range g.names() {
		one(g.keepers[name].Node)
	}
	check()
	for _, gone := range g.names() {
		g.cut(gone)
		one(g.any())
		check()
		g.back(gone)
		g.stop(gone)
		one(g.any())
		check()
		g.start(gone) // after an hour, say
		one(g.keepers[gone].Node)
		g.repair()
		check()
		g.lose(gone)
		one(g.any())
		g.start(gone)
		o := g.keepers[gone]
		if o.InSync() || o.Status().State != string(Joining) {
			t.Fatalf("%s lost its disk and says %+v", gone, o.Status())
		}
		if _, err := o.serve(ctx, &call{Op: "task", Attempt: claim(1, 0, 1).Attempt, Count: true}); !errors.Is(err, ErrJoining) {
			t.Fatalf("%s lost its disk and is counted: %v", gone, err)
		}
		if err := o.Repair(ctx); err != nil || !o.InSync() {
			t.Fatalf("%s is not refilled: %v, %+v", gone, err, o.Status())
		}
		check()
	}
	for _, name := range g.names() { // each has all of it by itself
		for i, records := range all {
			v, err := g.keepers[name].k.Task("job-000001", i)
			if err != nil || len(v.Attempts) != 1 || v.Attempts[0].Ended == "" || v.Result == nil {
				t.Errorf("%s has of task %d (%d records) %+v, %v", name, i, records, v, err)
			}
		}
	}
	// One that is left alone says that it is not sure, and takes nothing.
	g.cut("a")
	g.cut("b")
	n := g.keepers["c"].Node
	if _, sure, err := n.Attempts(ctx, "job-000001", 0); err != nil || sure {
		t.Errorf("alone: sure %v, %v", sure, err)
	}
	if err := n.Begin(ctx, claim(1, 999, 1)); !errors.Is(err, ErrTooFew) {
		t.Errorf("alone: %v", err)
	}
	whole(t, n, claim(1, 0, 1), 5, artifactstore.StateFinal) // what was decided stays so
	g.back("a")                                              // two gone and back
	g.back("b")
	one(n)
	check()
	// One is gone for good: the list says so, and the two that are left are enough.
	g.stop("b")
	g.members.Epoch++
	g.members.List[1].State = Gone
	for _, name := range []string{"a", "c"} {
		g.stop(name)
		g.start(name)
	}
	g.repair()
	one(g.keepers["c"].Node)
	check()
}

// TestFull: a team that has used up its room is refused and told when to come back, the
// others and what must not fail are not; open attempts count.
func TestFull(t *testing.T) {
	dir := t.TempDir()
	b, err := blob.Open(blob.Options{Dir: filepath.Join(dir, "blobs"), Quota: 40_000, Reserve: 20_000, TenantQuota: func(string) int64 { return 8_000 }})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	k, err := artifactstore.Open(artifactstore.Options{Dir: filepath.Join(dir, "log"), Blobs: b, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	m := Members{Epoch: 1, Copies: 1, Acks: 1, List: []Member{{Name: "a", URL: "http://127.0.0.1:1", State: Serving}}}
	n, err := New(Options{Name: "a", Dir: dir, Members: m, Store: k, Blobs: b, Key: key})
	if err == nil {
		err = n.Repair(ctx)
	}
	if err != nil {
		t.Fatal(err)
	}
	fill := func(c artifactstore.Claim) (records uint64) {
		t.Helper()
		if err := n.Begin(ctx, c); err != nil {
			t.Fatal(err)
		}
		for {
			_, err := n.Append(ctx, c, "stdout", records, []artifactstore.Record{{Data: bytes.Repeat([]byte{byte(records)}, 1000)}})
			var full *blob.FullError
			if errors.As(err, &full) && full.Retry > 0 {
				return records
			}
			if records++; err != nil || records > 100 {
				t.Fatalf("%d records, %v", records, err)
			}
		}
	}
	chatty, quiet := claim(1, 0, 1), claim(2, 0, 1)
	quiet.Tenant = "blue"
	if got := fill(chatty); got != 8 {
		t.Errorf("%d records of one team", got)
	}
	if got := fill(quiet); got != 8 {
		t.Errorf("%d records of the other", got)
	}
	if _, final, err := n.Seal(ctx, chatty, end(true, 8, nil)); err != nil || !final {
		t.Errorf("a seal on a full disk: %v", err)
	}
}

// TestRetention: the operators' script says how long what is kept; a bad one is told of at
// the start, with its line.
func TestRetention(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.star")
	for src, want := range map[string]string{
		"x = 1": "keep_days", "def keep_days(a): return 1": "accepts 1", "def keep_days(cls, team, completed, partial, mb):\n  return -1": "not between",
		"def keep_days(cls, team, completed, partial, mb):\n  return 'x'": "not between", "def keep_days(": "r.star:1",
		"def keep_days(cls, team, completed, partial, mb):\n  for i in range(10000000): pass": "too many steps",
	} {
		if err := os.WriteFile(path, []byte(src), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadRetention(path, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", src, err)
		}
	}
	if err := os.WriteFile(path, []byte("def keep_days(cls, team, completed, partial, mb):\n  return 0 if cls == 'grades' else 3 if completed else 1"), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := LoadRetention(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1e9, 0)
	for _, x := range []struct {
		class     string
		completed bool
		days      int
		over      bool
	}{{"", true, 2, false}, {"", true, 4, true}, {"", false, 2, true}, {"grades", false, 1000, false}} {
		m := &artifactstore.Manifest{Claim: artifactstore.Claim{Class: x.class}, Exit: artifactstore.Exit{Completed: x.completed}, Sealed: now.AddDate(0, 0, -x.days)}
		if got := r.IsExpired(now)(m); got != x.over {
			t.Errorf("%+v: over %v", x, got)
		}
	}
}

// TestTwoBelieve: two attempts that both believe that they are the last, sealed through
// different fronts at the same time, again and again: one result, the same at all, and
// what each front told stays true.
func TestTwoBelieve(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	for task := range 20 {
		var wg sync.WaitGroup
		finals := make([]bool, 3)
		for i, name := range g.names() {
			c := claim(1, task, uint64(i+1))
			n := g.keepers[name].Node
			if err := n.Begin(ctx, c); err != nil {
				t.Fatal(err)
			}
			if task%2 == 0 && i == 2 {
				continue // the last one runs on: the others are overtaken
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				var err error
				for range 20 { // as an agent does
					if _, finals[i], err = n.Seal(ctx, c, artifactstore.End{Exit: artifactstore.Exit{Completed: true}}); err == nil {
						return
					}
				}
				t.Errorf("task %d, attempt %d: %v", task, i+1, err)
			}()
		}
		wg.Wait()
		var told []uint64
		for i, f := range finals {
			if f {
				told = append(told, uint64(i+1))
			}
		}
		if len(told) > 1 || (task%2 == 0 && len(told) > 0) {
			t.Fatalf("task %d: %v were told to be the result", task, told)
		}
		for _, name := range g.names() {
			v, err := g.keepers[name].task(ctx, "job-000001", task)
			if err != nil || !v.sure {
				t.Fatal(err)
			}
			if got := v.result; (got != nil) != (len(told) == 1) || (got != nil && got.Number != told[0]) {
				t.Fatalf("task %d: %v was told, %s has %+v", task, told, name, got)
			}
		}
	}
}

// TestLateAppend: a link that delivers an append minutes late, after the seal, changes
// nothing; a replica that missed records gets them from the others.
func TestLateAppend(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	c := claim(1, 0, 1)
	n := g.keepers["a"].Node
	if err := n.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	g.cut("b")
	for i := 0; i < 10; i += 2 {
		if _, err := n.Append(ctx, c, "stdout", uint64(i), lines(i, 2, "attempt 1")); err != nil {
			t.Fatal(err)
		}
	}
	g.back("b")
	if _, err := n.Append(ctx, c, "stdout", 10, lines(10, 1, "attempt 1")); err != nil {
		t.Fatal(err)
	}
	g.cut("c") // now b must have all of it
	if next, err := n.Append(ctx, c, "stdout", 11, lines(11, 1, "attempt 1")); err != nil || next != 12 {
		t.Fatalf("next %d, %v", next, err)
	}
	g.back("c")
	if _, _, err := g.keepers["c"].Seal(ctx, c, end(true, 12, nil)); err != nil {
		t.Fatal(err)
	}
	for _, name := range g.names() {
		if _, err := g.keepers[name].Append(ctx, c, "stdout", 12, lines(12, 1, "late")); !errors.Is(err, artifactstore.ErrSealed) {
			t.Errorf("late at %s: %v", name, err)
		}
		if got := text(t, g.keepers[name].Node, c.Attempt, "stdout"); len(got) != 12 || got[11] != "attempt 1 11" {
			t.Errorf("%s has %q", name, got)
		}
	}
}

// TestLeftHalfway: a front that ends between the steps of a seal leaves nothing that
// blocks: an agent that goes on is let, one that seals again gets its seal, and what was
// accepted is seen through.
func TestLeftHalfway(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	n := g.keepers["a"].Node
	ballot := func() artifactstore.Ballot {
		return artifactstore.Ballot{Round: n.round.Add(1), By: "a front that ended"}
	}
	for task, step := range []string{"prepared", "accepted by one", "accepted by two"} {
		c := claim(1, task, 1)
		if err := n.Begin(ctx, c); err != nil {
			t.Fatal(err)
		}
		if _, err := n.Append(ctx, c, "stdout", 0, lines(0, 3, "attempt 1")); err != nil {
			t.Fatal(err)
		}
		b := ballot()
		var promises []reply
		for _, name := range g.names() {
			a, err := n.peers[name].do(ctx, &call{Op: "prepare", Attempt: c.Attempt, Ballot: b, Freeze: true})
			if err != nil {
				t.Fatal(err)
			}
			promises = append(promises, reply{name, a, nil})
		}
		value, err := n.gather(ctx, c, &artifactstore.End{Exit: artifactstore.Exit{Completed: true}, Records: map[string]uint64{"stdout": 3}}, promises)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range g.names()[:task] {
			if _, err := n.peers[name].do(ctx, &call{Op: "accept", Attempt: c.Attempt, Ballot: b, Value: value, From: "a"}); err != nil {
				t.Fatal(err)
			}
		}
		switch step {
		case "prepared":
			if _, err := g.keepers["b"].Append(ctx, c, "stdout", 3, lines(3, 1, "attempt 1")); err != nil {
				t.Fatalf("the worker goes on: %v", err)
			}
			// The front comes back to life: too late.
			if a, err := n.peers["b"].do(ctx, &call{Op: "accept", Attempt: c.Attempt, Ballot: b, Value: value, From: "a"}); err != nil || a.Promise.Accepted == b {
				t.Fatalf("a late accept was taken: %v", err)
			}
			if _, final, err := n.Seal(ctx, c, end(true, 4, nil)); err != nil || !final {
				t.Fatal(err)
			}
		default:
			// What a majority may have decided is decided by whoever asks.
			_, state, err := g.keepers["c"].Manifest(ctx, c.Job, c.Task, 1)
			if step == "accepted by two" && (err != nil || state != artifactstore.StateFinal) { // never "sealed" first
				t.Fatalf("%s: %s, %v", step, state, err)
			}
			if step == "accepted by one" {
				if _, _, err := n.Seal(ctx, c, end(true, 3, nil)); err != nil {
					t.Fatalf("%s: sealed again: %v", step, err)
				}
			}
			g.repair()
			g.repair()
			if _, state, err = n.Manifest(ctx, c.Job, c.Task, 0); err != nil || state != artifactstore.StateFinal {
				t.Fatalf("%s: %s, %v", step, state, err)
			}
		}
	}
}

// TestDrain: a replica joins and another drains, list by list; nothing is lost, no list
// skips what was written under another, and in the end the drained one holds nothing.
func TestDrain(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	for task := range 12 {
		run(t, g.keepers["abc"[task%3:task%3+1]].Node, claim(1, task, 1), 4, true)
	}
	open := claim(1, 50, 1)
	if err := g.any().Begin(ctx, open); err != nil {
		t.Fatal(err)
	}
	if _, err := g.any().Append(ctx, open, "stdout", 0, lines(0, 4, "attempt 1")); err != nil {
		t.Fatal(err)
	}
	restart := func(names ...string) {
		t.Helper()
		for _, name := range names {
			g.stop(name)
			g.start(name)
		}
	}
	g.add("d", "zone 1")
	g.members.Epoch++
	g.start("d")
	restart("a", "b")
	// c goes by the old list still: it is told so.
	if err := g.keepers["c"].Begin(ctx, claim(1, 60, 1)); !errors.Is(err, ErrTooFew) {
		t.Fatalf("under an old list: %v", err)
	}
	if g.keepers["d"].Repair(ctx); g.keepers["d"].InSync() {
		t.Fatal("d is full without a word from c")
	}
	restart("c")
	g.repair()
	g.repair()
	g.members.Epoch++
	g.members.List[2].State = Draining
	restart("a", "b", "c", "d")
	for range 3 {
		g.repair()
	}
	if s := g.keepers["c"].Status(); s.State != string(Draining) || s.Strays != 0 {
		t.Fatalf("c has not handed over: %+v", s)
	}
	if names, err := g.keepers["c"].k.Names("", 100); err != nil || len(names) > 0 || g.keepers["c"].k.Opened() > 0 {
		t.Fatalf("c still has %q, %d open, %v", names, g.keepers["c"].k.Opened(), err)
	}
	g.members.Epoch++
	g.members.List[2].State = Gone
	g.stop("c")
	restart("a", "b", "d")
	g.repair()
	for _, name := range []string{"a", "b", "d"} {
		n := g.keepers[name].Node
		if !n.InSync() {
			t.Errorf("%s: %+v", name, n.Status())
		}
		for task := range 12 {
			whole(t, n, claim(1, task, 1), 4, artifactstore.StateFinal)
		}
		if got := text(t, n, open.Attempt, "stdout"); len(got) != 4 {
			t.Errorf("%s has %q of the open attempt", name, got)
		}
	}
	g.members.Epoch += 2
	restart("b")
	if g.keepers["b"].counts("job-000001", 0) {
		t.Error("b skipped a list and is counted")
	}
	g.members.Epoch = 1
	g.stop("a")
	if _, err := New(Options{Name: "a", Dir: filepath.Join(g.dir, "a"), Members: g.members, Key: key}); err == nil {
		t.Error("an older list was taken")
	}
}

// TestRotten: a bit that turned is found by a scrub and mended from another replica; what
// one can't read is read from the others.
func TestRotten(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	c := claim(1, 0, 1)
	run(t, g.any(), c, 2, true)
	g.repair()
	var object string
	if err := filepath.WalkDir(filepath.Join(g.dir, "a", "blobs", "objects"), func(path string, d os.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			object = path
		}
		return err
	}); err != nil || object == "" {
		t.Fatalf("no object: %v", err)
	}
	data, err := os.ReadFile(object)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(object, data, 0o600); err != nil {
		t.Fatal(err)
	}
	found, err := g.keepers["a"].b.Scrub(ctx, 1e9)
	if err != nil || found.Bad != 1 || found.Repaired != 1 {
		t.Fatalf("%+v %v", found, err)
	}
	whole(t, g.keepers["a"].Node, c, 2, artifactstore.StateFinal)
}

// TestPlan: what the fewest others have comes first, of those what was noticed first.
func TestPlan(t *testing.T) {
	at := time.Unix(1e9, 0)
	name := func(task int) string { return "sealed/" + claim(1, task, 1).Attempt.String() }
	have := map[string][]string{name(1): {"b", "c"}, name(2): {"c"}, name(3): {"b"}, name(4): {"b", "c"}, "open/" + claim(1, 4, 2).Attempt.String() + "/0011": {"b"}}
	list := plan(have, func(task string) time.Time {
		if task == "job-000001/3" || task == "job-000001/4" {
			return at
		}
		return at.Add(time.Minute)
	})
	var got []int
	for _, l := range list {
		got = append(got, l.at.Task)
	}
	if !slices.Equal(got, []int{3, 4, 2, 1}) {
		t.Fatalf("%v", got)
	}
}

// TestPlace: every replica takes its part, the zones too, and a replica that comes or goes
// changes at most one of a task's.
func TestPlace(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		m := Members{Epoch: 1, Copies: 1 + r.IntN(4)}
		for i := range 2 + r.IntN(7) {
			m.List = append(m.List, Member{Name: fmt.Sprint("k", i), Zone: fmt.Sprint("z", r.IntN(4)), State: Serving})
		}
		job, task := fmt.Sprint("job-", r.IntN(100)), r.IntN(1000)
		was := m.ReplicasOf(job, task)
		zones := map[string]bool{}
		for _, x := range m.List {
			zones[x.Zone] = true
		}
		used := map[string]bool{}
		for _, name := range was {
			used[m.List[slices.IndexFunc(m.List, func(x Member) bool { return x.Name == name })].Zone] = true
		}
		if len(was) != min(m.Copies, len(m.List)) || len(used) != min(len(was), len(zones)) {
			t.Fatalf("%+v: %v in %d zones", m, was, len(used))
		}
		gone := r.IntN(len(m.List))
		m.List[gone].State = Draining
		changed := 0
		for _, name := range m.ReplicasOf(job, task) {
			if !slices.Contains(was, name) {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("%+v without %d: %d changed", m, gone, changed)
		}
	}
}
