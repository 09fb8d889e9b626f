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

// testCluster is several replicas on loopback. Each can be disconnected, stopped, and restarted with or without its
// disk.
type testCluster struct {
	t        *testing.T
	dir      string
	members  Members
	replicas map[string]*testReplica
}

// testReplica is a replica of a testCluster. Its address stays the same across restarts.
type testReplica struct {
	*Node
	store       *artifactstore.Store
	blobs       *blob.Store
	srv         *httptest.Server
	handler     atomic.Pointer[http.Handler] // nil while disconnected
	callsToDrop atomic.Int64                 // number of calls still to be dropped
}

func newTestCluster(t *testing.T, names ...string) *testCluster {
	g := &testCluster{t: t, dir: t.TempDir(), members: Members{Epoch: 1, Copies: min(3, len(names)), Acks: majority(min(3, len(names)))}, replicas: map[string]*testReplica{}}
	for i, name := range names {
		g.add(name, fmt.Sprint("zone ", i%2))
	}
	for _, name := range names {
		g.start(name)
	}
	g.repair()
	for _, name := range names {
		if !g.replicas[name].InSync() {
			t.Fatalf("%s is not in sync: %+v", name, g.replicas[name].Status())
		}
	}
	t.Cleanup(func() {
		for name, o := range g.replicas {
			g.stop(name)
			o.srv.Close()
		}
	})
	return g
}

func (g *testCluster) add(name, zone string) {
	o := &testReplica{}
	o.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := o.handler.Load()
		if h == nil || o.callsToDrop.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		(*h).ServeHTTP(w, r)
	}))
	g.replicas[name] = o
	g.members.List = append(g.members.List, Member{Name: name, Zone: zone, URL: o.srv.URL, State: Serving})
}

// start starts a replica on its directory with the current list of members.
func (g *testCluster) start(name string) {
	g.t.Helper()
	o, dir := g.replicas[name], filepath.Join(g.dir, name)
	var err error
	o.blobs, err = blob.Open(blob.Options{Dir: filepath.Join(dir, "blobs"), MaxInline: 500, Repair: func(ctx context.Context, d blob.Digest) (io.ReadCloser, error) { return o.OpenVerified(ctx, d) }})
	if err != nil {
		g.t.Fatal(err)
	}
	if o.store, err = artifactstore.Open(artifactstore.Options{Dir: filepath.Join(dir, "log"), Blobs: o.blobs, Key: key}); err != nil {
		g.t.Fatal(err)
	}
	m := g.members
	m.List = slices.Clone(m.List)
	if o.Node, err = New(Options{Name: name, Dir: dir, Members: m, Store: o.store, Blobs: o.blobs, Key: key, PeerTimeout: 2 * time.Second}); err != nil {
		g.t.Fatal(err)
	}
	h := (&Server{Node: o.Node}).Handler()
	o.handler.Store(&h)
}

// disconnect makes a replica unreachable; stop also closes it.
func (g *testCluster) disconnect(name string) { g.replicas[name].handler.Store(nil) }

func (g *testCluster) reconnect(name string) {
	h := (&Server{Node: g.replicas[name].Node}).Handler()
	g.replicas[name].handler.Store(&h)
}

func (g *testCluster) stop(name string) {
	o := g.replicas[name]
	g.disconnect(name)
	if o.store != nil {
		o.store.Close()
		o.blobs.Close()
		o.store = nil
	}
}

// loseDisk stops a replica and deletes its directory.
func (g *testCluster) loseDisk(name string) {
	g.stop(name)
	if err := os.RemoveAll(filepath.Join(g.dir, name)); err != nil {
		g.t.Fatal(err)
	}
}

// repair runs one repair on each running replica.
func (g *testCluster) repair() {
	for _, name := range g.names() {
		if r := g.replicas[name]; r.store != nil {
			_ = r.Repair(ctx) // errors about unreachable replicas are expected
		}
	}
}

func (g *testCluster) names() (list []string) {
	for _, m := range g.members.List {
		list = append(list, m.Name)
	}
	return list
}

// anyRunning returns a node that runs and is connected.
func (g *testCluster) anyRunning() *Node {
	for _, name := range g.names() {
		if o := g.replicas[name]; o.store != nil && o.handler.Load() != nil {
			return o.Node
		}
	}
	g.t.Fatal("no replica is running")
	return nil
}

// runAttempt runs an attempt from its begin to its seal through one node.
func runAttempt(t *testing.T, n *Node, c artifactstore.Claim, records int, completed bool) (final bool) {
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
	_, final, err = n.Seal(ctx, c, endReport(completed, uint64(records), map[string]string{"out.bin": d.String()}))
	if err != nil {
		t.Fatal(err)
	}
	return final
}

// checkAttempt checks that a node returns an attempt's output and file as runAttempt wrote them.
func checkAttempt(t *testing.T, n *Node, c artifactstore.Claim, records int, state string) {
	t.Helper()
	got, i := 0, uint64(0)
	next, st, err := n.Read(ctx, c.Attempt, "stdout", 0, false, func(number uint64, r artifactstore.Record) error {
		if number != i || string(r.Data) != fmt.Sprintf("attempt %d %d", c.Number, number) {
			return fmt.Errorf("record %d is %d: %q", i, number, r.Data)
		}
		i++
		got++
		return nil
	})
	if err != nil || got != records || next != uint64(records) || st != state {
		t.Fatalf("%s at %s: %d of %d records, state %q, want %q, %v", c.Attempt, n.opt.Name, got, records, st, state, err)
	}
	m, st, err := n.Manifest(ctx, c.Job, c.Task, c.Number)
	if err != nil || len(m.Files) != 1 || st != state {
		t.Fatalf("%s at %s: %+v, %s, %v", c.Attempt, n.opt.Name, m, st, err)
	}
	d, err := blob.Parse(m.Files[0].Digest)
	if err != nil {
		t.Fatal(err)
	}
	content, err := n.readBlob(ctx, c.Job, c.Task, c.Tenant, d)
	if err != nil || !bytes.HasPrefix(content, fmt.Appendf(nil, "file of %d of task %d;", c.Number, c.Task)) {
		t.Fatalf("%s at %s: file %.40q, %v", c.Attempt, n.opt.Name, content, err)
	}
}

// TestOneReplicaUnavailable makes each of three replicas unavailable in turn: disconnected, stopped, and with its
// disk lost. What was acknowledged stays readable at the others and new attempts succeed. A replica that returns
// catches up; one with an empty disk is refilled and is not counted until then. The test also covers a replica
// without a quorum, and a member that is removed for good.
func TestOneReplicaUnavailable(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	task := 0
	recordsByTask := map[int]int{}
	runOne := func(n *Node) {
		t.Helper()
		if !runAttempt(t, n, claim(1, task, 1), 5+task, true) {
			t.Fatalf("task %d has no result", task)
		}
		recordsByTask[task] = 5 + task
		task++
	}
	check := func() {
		t.Helper()
		for _, name := range g.names() {
			if o := g.replicas[name]; o.store != nil && o.handler.Load() != nil {
				for i, records := range recordsByTask {
					checkAttempt(t, o.Node, claim(1, i, 1), records, artifactstore.StateFinal)
				}
			}
		}
	}
	for _, name := range g.names() {
		runOne(g.replicas[name].Node)
	}
	check()
	for _, gone := range g.names() {
		g.disconnect(gone)
		runOne(g.anyRunning())
		check()
		g.reconnect(gone)
		g.stop(gone)
		runOne(g.anyRunning())
		check()
		g.start(gone) // it has missed the attempts of the meantime
		runOne(g.replicas[gone].Node)
		g.repair()
		check()
		g.loseDisk(gone)
		runOne(g.anyRunning())
		g.start(gone)
		o := g.replicas[gone]
		if o.InSync() || o.Status().State != string(Joining) {
			t.Fatalf("%s lost its disk but reports %+v", gone, o.Status())
		}
		if _, err := o.serve(ctx, &peerRequest{Op: "task", Attempt: claim(1, 0, 1).Attempt, Count: true}); !errors.Is(err, ErrJoining) {
			t.Fatalf("%s lost its disk but is counted: %v", gone, err)
		}
		if err := o.Repair(ctx); err != nil || !o.InSync() {
			t.Fatalf("%s was not refilled: %v, %+v", gone, err, o.Status())
		}
		check()
	}
	for _, name := range g.names() { // each replica has everything on its own disk
		for i, records := range recordsByTask {
			v, err := g.replicas[name].store.Task("job-000001", i)
			if err != nil || len(v.Attempts) != 1 || v.Attempts[0].Ended == "" || v.Result == nil {
				t.Errorf("%s has of task %d (%d records) %+v, %v", name, i, records, v, err)
			}
		}
	}
	// A single replica reports that it has no quorum and refuses writes.
	g.disconnect("a")
	g.disconnect("b")
	n := g.replicas["c"].Node
	if _, sure, err := n.Attempts(ctx, "job-000001", 0); err != nil || sure {
		t.Errorf("without quorum: sure %v, %v", sure, err)
	}
	if err := n.Begin(ctx, claim(1, 999, 1)); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("write without quorum: %v", err)
	}
	checkAttempt(t, n, claim(1, 0, 1), 5, artifactstore.StateFinal) // a decided result stays readable
	g.reconnect("a")                                                // both replicas return
	g.reconnect("b")
	runOne(n)
	check()
	// One replica is removed for good by the list of members; the remaining two are enough.
	g.stop("b")
	g.members.Epoch++
	g.members.List[1].State = Gone
	for _, name := range []string{"a", "c"} {
		g.stop(name)
		g.start(name)
	}
	g.repair()
	runOne(g.replicas["c"].Node)
	check()
}

// TestTenantQuota checks that a tenant that has used up its quota, also by open attempts, is refused with a time to
// retry, while other tenants and seals are not.
func TestTenantQuota(t *testing.T) {
	dir := t.TempDir()
	b, err := blob.Open(blob.Options{Dir: filepath.Join(dir, "blobs"), Quota: 40_000, Reserve: 20_000, TenantQuota: func(string) int64 { return 8_000 }})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	store, err := artifactstore.Open(artifactstore.Options{Dir: filepath.Join(dir, "log"), Blobs: b, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	m := Members{Epoch: 1, Copies: 1, Acks: 1, List: []Member{{Name: "a", URL: "http://127.0.0.1:1", State: Serving}}}
	n, err := New(Options{Name: "a", Dir: dir, Members: m, Store: store, Blobs: b, Key: key})
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
	first, second := claim(1, 0, 1), claim(2, 0, 1)
	second.Tenant = "blue"
	if got := fill(first); got != 8 {
		t.Errorf("%d records of the first tenant", got)
	}
	if got := fill(second); got != 8 {
		t.Errorf("%d records of the second tenant", got)
	}
	if _, final, err := n.Seal(ctx, first, endReport(true, 8, nil)); err != nil || !final {
		t.Errorf("seal with the quota used up: %v", err)
	}
}

// TestRetention checks that the operators' script determines the retention, and that an invalid script is rejected
// when it is loaded, with the cause and, for a syntax error, the line.
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
		expired   bool
	}{{"", true, 2, false}, {"", true, 4, true}, {"", false, 2, true}, {"grades", false, 1000, false}} {
		m := &artifactstore.Manifest{Claim: artifactstore.Claim{Class: x.class}, Exit: artifactstore.Exit{Completed: x.completed}, Sealed: now.AddDate(0, 0, -x.days)}
		if got := r.IsExpired(now)(m); got != x.expired {
			t.Errorf("%+v: expired %v", x, got)
		}
	}
}

// TestConcurrentSealsHaveOneResult seals concurrent attempts of a task through different nodes. At most one may be
// reported as the result, none if a later attempt is still open, and all nodes must agree on it afterwards.
func TestConcurrentSealsHaveOneResult(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	for task := range 20 {
		var wg sync.WaitGroup
		finals := make([]bool, 3)
		for i, name := range g.names() {
			c := claim(1, task, uint64(i+1))
			n := g.replicas[name].Node
			if err := n.Begin(ctx, c); err != nil {
				t.Fatal(err)
			}
			if task%2 == 0 && i == 2 {
				continue // the last attempt stays open, so the others can't become the result
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				var err error
				for range 20 { // agents retry too
					if _, finals[i], err = n.Seal(ctx, c, artifactstore.End{Exit: artifactstore.Exit{Completed: true}}); err == nil {
						return
					}
				}
				t.Errorf("task %d, attempt %d: %v", task, i+1, err)
			}()
		}
		wg.Wait()
		var results []uint64
		for i, f := range finals {
			if f {
				results = append(results, uint64(i+1))
			}
		}
		if len(results) > 1 || (task%2 == 0 && len(results) > 0) {
			t.Fatalf("task %d: attempts %v were reported as the result", task, results)
		}
		for _, name := range g.names() {
			v, err := g.replicas[name].taskState(ctx, "job-000001", task)
			if err != nil || !v.hasQuorum {
				t.Fatal(err)
			}
			if got := v.result; (got != nil) != (len(results) == 1) || (got != nil && got.Number != results[0]) {
				t.Fatalf("task %d: attempt %v was reported, %s has %+v", task, results, name, got)
			}
		}
	}
}

// TestAppendAfterSeal checks that an append delivered after the seal changes nothing, and that a replica that missed
// records gets them from the others.
func TestAppendAfterSeal(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	c := claim(1, 0, 1)
	n := g.replicas["a"].Node
	if err := n.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	g.disconnect("b")
	for i := 0; i < 10; i += 2 {
		if _, err := n.Append(ctx, c, "stdout", uint64(i), lines(i, 2, "attempt 1")); err != nil {
			t.Fatal(err)
		}
	}
	g.reconnect("b")
	if _, err := n.Append(ctx, c, "stdout", 10, lines(10, 1, "attempt 1")); err != nil {
		t.Fatal(err)
	}
	g.disconnect("c") // the quorum now needs b, which must have all records
	if next, err := n.Append(ctx, c, "stdout", 11, lines(11, 1, "attempt 1")); err != nil || next != 12 {
		t.Fatalf("next %d, %v", next, err)
	}
	g.reconnect("c")
	if _, _, err := g.replicas["c"].Seal(ctx, c, endReport(true, 12, nil)); err != nil {
		t.Fatal(err)
	}
	for _, name := range g.names() {
		if _, err := g.replicas[name].Append(ctx, c, "stdout", 12, lines(12, 1, "late")); !errors.Is(err, artifactstore.ErrSealed) {
			t.Errorf("append after the seal at %s: %v", name, err)
		}
		if got := readLines(t, g.replicas[name].Node, c.Attempt, "stdout"); len(got) != 12 || got[11] != "attempt 1 11" {
			t.Errorf("%s has %q", name, got)
		}
	}
}

// TestInterruptedSeal checks a seal whose coordinating node fails between its steps. The agent can write more or
// seal again, and a value that a majority may have accepted is decided.
func TestInterruptedSeal(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	n := g.replicas["a"].Node
	ballot := func() artifactstore.Ballot {
		return artifactstore.Ballot{Round: n.round.Add(1), By: "a node that failed"}
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
			a, err := n.peers[name].do(ctx, &peerRequest{Op: "prepare", Attempt: c.Attempt, Ballot: b, Freeze: true})
			if err != nil {
				t.Fatal(err)
			}
			promises = append(promises, reply{name, a, nil})
		}
		value, err := n.buildManifest(ctx, c, &artifactstore.End{Exit: artifactstore.Exit{Completed: true}, Records: map[string]uint64{"stdout": 3}}, promises)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range g.names()[:task] {
			if _, err := n.peers[name].do(ctx, &peerRequest{Op: "accept", Attempt: c.Attempt, Ballot: b, Value: value, From: "a"}); err != nil {
				t.Fatal(err)
			}
		}
		switch step {
		case "prepared":
			if _, err := g.replicas["b"].Append(ctx, c, "stdout", 3, lines(3, 1, "attempt 1")); err != nil {
				t.Fatalf("append after an interrupted seal: %v", err)
			}
			// The failed node sends its accept after all: the ballot is outdated.
			if a, err := n.peers["b"].do(ctx, &peerRequest{Op: "accept", Attempt: c.Attempt, Ballot: b, Value: value, From: "a"}); err != nil || a.Promise.Accepted == b {
				t.Fatalf("an outdated accept was accepted: %v", err)
			}
			if _, final, err := n.Seal(ctx, c, endReport(true, 4, nil)); err != nil || !final {
				t.Fatal(err)
			}
		default:
			// The next reader decides a value that a majority may have accepted.
			_, state, err := g.replicas["c"].Manifest(ctx, c.Job, c.Task, 1)
			if step == "accepted by two" && (err != nil || state != artifactstore.StateFinal) { // the state must not be "sealed" in between
				t.Fatalf("%s: %s, %v", step, state, err)
			}
			if step == "accepted by one" {
				if _, _, err := n.Seal(ctx, c, endReport(true, 3, nil)); err != nil {
					t.Fatalf("%s: repeated seal: %v", step, err)
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

// TestDrain adds a replica and drains another, with one change of the list at a time. Nothing is lost, a replica on
// an old list is refused, one that skipped a list is not counted, and the drained replica ends up empty.
func TestDrain(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	for task := range 12 {
		runAttempt(t, g.replicas["abc"[task%3:task%3+1]].Node, claim(1, task, 1), 4, true)
	}
	open := claim(1, 50, 1)
	if err := g.anyRunning().Begin(ctx, open); err != nil {
		t.Fatal(err)
	}
	if _, err := g.anyRunning().Append(ctx, open, "stdout", 0, lines(0, 4, "attempt 1")); err != nil {
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
	// c still uses the old list and is refused by the others.
	if err := g.replicas["c"].Begin(ctx, claim(1, 60, 1)); !errors.Is(err, ErrNoQuorum) {
		t.Fatalf("write with an old list: %v", err)
	}
	if g.replicas["d"].Repair(ctx); g.replicas["d"].InSync() {
		t.Fatal("d is in sync without an answer from c")
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
	if s := g.replicas["c"].Status(); s.State != string(Draining) || s.Misplaced != 0 {
		t.Fatalf("c has not handed over: %+v", s)
	}
	if names, err := g.replicas["c"].store.RefNames("", 100); err != nil || len(names) > 0 || g.replicas["c"].store.OpenCount() > 0 {
		t.Fatalf("c still has %q, %d open, %v", names, g.replicas["c"].store.OpenCount(), err)
	}
	g.members.Epoch++
	g.members.List[2].State = Gone
	g.stop("c")
	restart("a", "b", "d")
	g.repair()
	for _, name := range []string{"a", "b", "d"} {
		n := g.replicas[name].Node
		if !n.InSync() {
			t.Errorf("%s: %+v", name, n.Status())
		}
		for task := range 12 {
			checkAttempt(t, n, claim(1, task, 1), 4, artifactstore.StateFinal)
		}
		if got := readLines(t, n, open.Attempt, "stdout"); len(got) != 4 {
			t.Errorf("%s has %q of the open attempt", name, got)
		}
	}
	g.members.Epoch += 2
	restart("b")
	if g.replicas["b"].isComplete("job-000001", 0) {
		t.Error("b skipped a list but is counted")
	}
	g.members.Epoch = 1
	g.stop("a")
	if _, err := New(Options{Name: "a", Dir: filepath.Join(g.dir, "a"), Members: g.members, Key: key}); err == nil {
		t.Error("an older list was accepted")
	}
}

// TestCorruptBlobIsRepaired flips a bit of a blob on disk: a scrub finds it and repairs it from another replica.
func TestCorruptBlobIsRepaired(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	c := claim(1, 0, 1)
	runAttempt(t, g.anyRunning(), c, 2, true)
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
	found, err := g.replicas["a"].blobs.Scrub(ctx, 1e9)
	if err != nil || found.Bad != 1 || found.Repaired != 1 {
		t.Fatalf("%+v %v", found, err)
	}
	checkAttempt(t, g.replicas["a"].Node, c, 2, artifactstore.StateFinal)
}

// TestRepairOrder checks that tasks with the fewest copies are repaired first, and among those the ones noticed
// first.
func TestRepairOrder(t *testing.T) {
	at := time.Unix(1e9, 0)
	name := func(task int) string { return "sealed/" + claim(1, task, 1).Attempt.String() }
	have := map[string][]string{name(1): {"b", "c"}, name(2): {"c"}, name(3): {"b"}, name(4): {"b", "c"}, "open/" + claim(1, 4, 2).Attempt.String() + "/0011": {"b"}}
	list := orderRepairs(have, func(task string) time.Time {
		if task == "job-000001/3" || task == "job-000001/4" {
			return at
		}
		return at.Add(time.Minute)
	})
	var got []int
	for _, l := range list {
		got = append(got, l.task.Task)
	}
	if !slices.Equal(got, []int{3, 4, 2, 1}) {
		t.Fatalf("%v", got)
	}
}

// TestReplicaPlacement checks that a task has the configured number of replicas in as many zones as possible, and
// that draining one replica changes at most one of them.
func TestReplicaPlacement(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		m := Members{Epoch: 1, Copies: 1 + r.IntN(4)}
		for i := range 2 + r.IntN(7) {
			m.List = append(m.List, Member{Name: fmt.Sprint("k", i), Zone: fmt.Sprint("z", r.IntN(4)), State: Serving})
		}
		job, task := fmt.Sprint("job-", r.IntN(100)), r.IntN(1000)
		before := m.ReplicasOf(job, task)
		zones := map[string]bool{}
		for _, x := range m.List {
			zones[x.Zone] = true
		}
		used := map[string]bool{}
		for _, name := range before {
			used[m.List[slices.IndexFunc(m.List, func(x Member) bool { return x.Name == name })].Zone] = true
		}
		if len(before) != min(m.Copies, len(m.List)) || len(used) != min(len(before), len(zones)) {
			t.Fatalf("%+v: %v in %d zones", m, before, len(used))
		}
		drained := r.IntN(len(m.List))
		m.List[drained].State = Draining
		changed := 0
		for _, name := range m.ReplicasOf(job, task) {
			if !slices.Contains(before, name) {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("%+v without %d: %d replicas changed", m, drained, changed)
		}
	}
}
