package artifactreplication

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

var (
	ctx = context.Background()
	key = []byte("0123456789abcdef")
)

// newSingleReplica opens a replica that is the only member. step is called before each durable step.
func newSingleReplica(t *testing.T, dir string, step func(string), tune ...func(*artifactstore.Options)) (*Node, *blob.Store) {
	t.Helper()
	b, err := blob.Open(blob.Options{Dir: filepath.Join(dir, "blobs"), Step: step, MaxInline: 500})
	if err != nil {
		t.Fatal(err)
	}
	opt := artifactstore.Options{Dir: filepath.Join(dir, "log"), Blobs: b, Key: key, Step: step}
	for _, f := range tune {
		f(&opt)
	}
	store, err := artifactstore.Open(opt)
	if err != nil {
		t.Fatal(err)
	}
	m := Members{Epoch: 1, Copies: 1, Acks: 1, List: []Member{{Name: "a", URL: "http://127.0.0.1:1", State: Serving}}}
	n, err := New(Options{Name: "a", Dir: dir, Members: m, Store: store, Blobs: b, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Repair(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close(); b.Close() })
	return n, b
}

// endReport is the report of an agent that seals its attempt.
func endReport(completed bool, stdout uint64, files map[string]string) artifactstore.End {
	return artifactstore.End{Exit: artifactstore.Exit{Completed: completed}, Records: map[string]uint64{"stdout": stdout}, Files: files}
}

func claim(job, task int, number uint64) artifactstore.Claim {
	return artifactstore.Claim{Attempt: artifactstore.Attempt{Job: fmt.Sprintf("job-%06d", job), Task: task, Number: number}, Tenant: "red", Machine: fmt.Sprint("m", number), Session: 1}
}

func lines(from, n int, text string) (list []artifactstore.Record) {
	for i := range n {
		list = append(list, artifactstore.Record{At: time.UnixMilli(int64(from + i)), Data: fmt.Appendf(nil, "%s %d", text, from+i)})
	}
	return list
}

// readLines returns the records of a whole stream as text.
func readLines(t *testing.T, node *Node, at artifactstore.Attempt, stream string) []string {
	t.Helper()
	var list []string
	if _, _, err := node.Read(ctx, at, stream, 0, false, func(_ uint64, r artifactstore.Record) error {
		if r.Dropped != nil {
			list = append(list, fmt.Sprint("dropped ", r.Dropped.Bytes))
		} else {
			list = append(list, string(r.Data))
		}
		return nil
	}); err != nil {
		t.Fatalf("%s %s: %v", at, stream, err)
	}
	return list
}

// TestAppends checks that a repeated or overlapping append adds nothing twice, that a gap is refused with the number
// expected, that markers of dropped output keep their place, and that the stream is the same after the seal.
func TestAppends(t *testing.T) {
	node, _ := newSingleReplica(t, t.TempDir(), nil)
	c := claim(1, 0, 1)
	if err := node.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		first uint64
		n     int
		next  uint64
		gap   bool
	}{{0, 3, 3, false}, {0, 3, 3, false}, {1, 4, 5, false}, {7, 1, 5, true}, {5, 1, 6, false}} {
		next, err := node.Append(ctx, c, "stdout", x.first, lines(int(x.first), x.n, "line"))
		var gap *artifactstore.GapError
		if next != x.next || errors.As(err, &gap) != x.gap || (gap != nil && gap.Expected != 5) || (gap == nil && err != nil) {
			t.Fatalf("%+v: next %d, %v", x, next, err)
		}
	}
	if _, err := node.Append(ctx, c, "stdout", 6, []artifactstore.Record{{Dropped: &artifactstore.DroppedOutput{Bytes: 77}}}); err != nil {
		t.Fatal(err)
	}
	want := []string{"line 0", "line 1", "line 2", "line 3", "line 4", "line 5", "dropped 77"}
	if got := readLines(t, node, c.Attempt, "stdout"); !equalLines(got, want) {
		t.Fatalf("%q", got)
	}
	if _, _, err := node.Seal(ctx, c, endReport(true, 8, nil)); !errors.Is(err, artifactstore.ErrIncomplete) {
		t.Fatalf("sealed without the last record: %v", err)
	}
	if _, _, err := node.Seal(ctx, c, artifactstore.End{Exit: artifactstore.Exit{Completed: true}}); !errors.Is(err, artifactstore.ErrIncomplete) {
		t.Fatalf("sealed although the report does not list a stream: %v", err)
	}
	m, final, err := node.Seal(ctx, c, endReport(true, 7, nil))
	if err != nil || !final || m.Streams[0].Records != 7 || m.Streams[0].Lost != 77 {
		t.Fatalf("%+v, final %v, %v", m, final, err)
	}
	if got := readLines(t, node, c.Attempt, "stdout"); !equalLines(got, want) {
		t.Fatalf("after the seal: %q", got)
	}
	if _, err := node.Append(ctx, c, "stdout", 7, lines(7, 1, "late")); !errors.Is(err, artifactstore.ErrSealed) {
		t.Fatalf("append after the seal: %v", err)
	}
	if again, final, err := node.Seal(ctx, c, artifactstore.End{}); err != nil || !final || again.Code != m.Code {
		t.Fatalf("repeated seal: %v", err)
	}
}

func equalLines(a, b []string) bool { return strings.Join(a, "\n") == strings.Join(b, "\n") }

// TestOneResultPerTask checks that the first sealed attempt that completed becomes the task's result, unless a later
// attempt had begun. Each attempt keeps its own streams and files, and an attempt that ended without a seal stays
// partial.
func TestOneResultPerTask(t *testing.T) {
	dir := t.TempDir()
	node, b := newSingleReplica(t, dir, nil)
	seal := func(c artifactstore.Claim, completed, want bool) {
		t.Helper()
		if _, final, err := node.Seal(ctx, c, endReport(completed, 1, map[string]string{"out/grades.bin": blob.DigestOf([]byte(fmt.Sprint("file of ", c.Number))).String()})); err != nil || final != want {
			t.Fatalf("attempt %d: final %v, %v", c.Number, final, err)
		}
	}
	begin := func(c artifactstore.Claim) {
		t.Helper()
		if err := node.Begin(ctx, c); err != nil {
			t.Fatal(err)
		}
		if _, err := node.Append(ctx, c, "stdout", 0, lines(0, 1, fmt.Sprint("attempt ", c.Number))); err != nil {
			t.Fatal(err)
		}
		d, err := b.Put(ctx, c.Tenant, []byte(fmt.Sprint("file of ", c.Number)))
		if err != nil {
			t.Fatal(err)
		}
		if err := node.Attach(ctx, c, "out/grades.bin", d); err != nil {
			t.Fatal(err)
		}
	}
	for i := uint64(1); i <= 5; i++ {
		begin(claim(1, 0, i*10))
	}
	seal(claim(1, 0, 10), true, false)  // a later attempt had begun
	seal(claim(1, 0, 50), false, false) // the latest attempt, but it failed
	begin(claim(1, 0, 60))
	seal(claim(1, 0, 60), true, true)
	begin(claim(1, 0, 70))
	seal(claim(1, 0, 70), true, false) // the task has a result already
	seal(claim(1, 0, 20), true, false)
	node.store.Close()
	b.Close()
	node, b = newSingleReplica(t, dir, nil)
	m, state, err := node.Manifest(ctx, "job-000001", 0, 0)
	if err != nil || state != artifactstore.StateFinal || m.Number != 60 || m.Files[0].Path != "out/grades.bin" {
		t.Fatalf("%+v %v", m, err)
	}
	list, _, err := node.Attempts(ctx, "job-000001", 0)
	if err != nil || len(list) != 7 {
		t.Fatalf("%+v %v", list, err)
	}
	for i, a := range list {
		n := uint64(i+1) * 10
		sealed := n != 30 && n != 40
		want := artifactstore.StateSealed
		if n == 60 {
			want = artifactstore.StateFinal
		} else if !sealed {
			want = artifactstore.StateOpen
		}
		if a.Number != n || a.State != want {
			t.Errorf("%+v", a)
		}
		if got := readLines(t, node, a.Attempt, "stdout"); !equalLines(got, []string{fmt.Sprintf("attempt %d 0", n)}) {
			t.Errorf("attempt %d has %q", n, got)
		}
		if !sealed {
			continue
		}
		m, _, err := node.Manifest(ctx, a.Job, a.Task, a.Number)
		if err != nil {
			t.Fatal(err)
		}
		d, err := blob.Parse(m.Files[0].Digest)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := b.Get("red", d, 100); err != nil || string(got) != fmt.Sprint("file of ", n) {
			t.Errorf("attempt %d has the file %q, %v", n, got, err)
		}
	}
	if _, _, err := b.Collect(ctx, -time.Hour); err != nil {
		t.Fatal(err)
	}
	if got := readLines(t, node, claim(1, 0, 60).Attempt, "stdout"); len(got) != 1 {
		t.Errorf("after collecting: %q", got)
	}
	// Attempts ended as partial stay readable and can't be sealed any more.
	if n, err := node.EndIdleAttempts(ctx, -time.Hour); err != nil || n != 2 {
		t.Fatalf("%d idle attempts ended, %v", n, err)
	}
	if _, _, err := node.Seal(ctx, claim(1, 0, 30), endReport(true, 1, nil)); !errors.Is(err, artifactstore.ErrSealed) {
		t.Error("a partial attempt was sealed")
	}
	if got := readLines(t, node, claim(1, 0, 30).Attempt, "stdout"); !equalLines(got, []string{"attempt 30 0"}) {
		t.Errorf("partial attempt: %q", got)
	}
	if list, _, err := node.Attempts(ctx, "job-000001", 0); err != nil || len(list) != 7 || list[2].State != artifactstore.StatePartial {
		t.Errorf("%+v %v", list, err)
	}
}

// TestInvalidWritesAreRefused checks that paths outside the task's directory, claims of other machines and sessions,
// forged manifests and writes beyond a limit are refused with the right error and store nothing.
func TestInvalidWritesAreRefused(t *testing.T) {
	node, b := newSingleReplica(t, t.TempDir(), nil)
	c := claim(1, 0, 1)
	if err := node.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	d, err := b.Put(ctx, "red", []byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"", "/etc/passwd", "../up", "a/../../b", "a//b", "./a", "a/.", `a\b`, "a\x00b", "a\nb", strings.Repeat("a", 10000), "\xff"} {
		if err := node.Attach(ctx, c, path, d); !errors.Is(err, artifactstore.ErrName) {
			t.Errorf("path %.20q: %v", path, err)
		}
	}
	for _, name := range []string{"", "a/b", "..", ".x", strings.Repeat("a", 65), "ä"} {
		if _, err := node.Append(ctx, c, name, 0, lines(0, 1, "x")); !errors.Is(err, artifactstore.ErrName) {
			t.Errorf("stream %.20q: %v", name, err)
		}
	}
	old, foreign := c, c
	old.Session, foreign.Machine = 0, "other"
	for _, x := range []artifactstore.Claim{old, foreign} {
		if _, err := node.Append(ctx, x, "stdout", 0, lines(0, 1, "x")); !errors.Is(err, artifactstore.ErrClaim) {
			t.Errorf("%+v: %v", x, err)
		}
		if err := node.Begin(ctx, x); !errors.Is(err, artifactstore.ErrClaim) {
			t.Errorf("%+v: %v", x, err)
		}
	}
	for _, x := range []artifactstore.Attempt{{Job: "nobody", Number: 1}, {Job: "job-000001", Task: -1, Number: 1}, {Job: "job-000001"}} {
		if err := node.Begin(ctx, artifactstore.Claim{Attempt: x, Tenant: "red", Machine: "m"}); !errors.Is(err, artifactstore.ErrName) {
			t.Errorf("%+v: %v", x, err)
		}
	}
	if _, err := node.Append(ctx, c, "stdout", 0, []artifactstore.Record{{Data: make([]byte, 1<<20)}}); !errors.Is(err, artifactstore.ErrLimit) {
		t.Errorf("record of 1 MiB: %v", err)
	}
	if err := node.Attach(ctx, c, "a", blob.DigestOf([]byte("not here"))); !errors.Is(err, blob.ErrNotFound) {
		t.Errorf("file without content: %v", err)
	}
	for i := range 16 {
		if _, err := node.Append(ctx, c, fmt.Sprint("s", i), 0, lines(0, 1, "x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := node.Append(ctx, c, "one-more", 0, lines(0, 1, "x")); !errors.Is(err, artifactstore.ErrLimit) {
		t.Errorf("stream 17 of 16: %v", err)
	}
	m := &artifactstore.Manifest{Claim: c, Exit: artifactstore.Exit{Completed: true}}
	data := m.Sign(key)
	if _, err := artifactstore.Verify(key, data); err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{bytes.Replace(data, []byte(`"m1"`), []byte(`"m2"`), 1), data[:len(data)-1], []byte("{}")} {
		if _, err := artifactstore.Verify(key, bad); !errors.Is(err, artifactstore.ErrForged) {
			t.Errorf("%.60q: %v", bad, err)
		}
	}
	if _, err := artifactstore.Verify([]byte("another key 0000"), data); !errors.Is(err, artifactstore.ErrForged) {
		t.Errorf("verified with a different key: %v", err)
	}
}

// TestCompact checks that the log space of closed attempts is freed while another attempt stays open, and that
// readers find the entries that were rewritten, also after a restart.
func TestCompact(t *testing.T) {
	dir := t.TempDir()
	smallSegments := func(o *artifactstore.Options) { o.SegmentBytes = 4000 }
	n, b := newSingleReplica(t, dir, nil, smallSegments)
	long := claim(9, 0, 1)
	if err := n.Begin(ctx, long); err != nil {
		t.Fatal(err)
	}
	for i := range 40 {
		if _, err := n.Append(ctx, long, "stdout", uint64(i), lines(i, 1, "long")); err != nil {
			t.Fatal(err)
		}
		c := claim(1, i, 1)
		if err := n.Begin(ctx, c); err != nil {
			t.Fatal(err)
		}
		if _, err := n.Append(ctx, c, "stdout", 0, lines(0, 10, "short")); err != nil {
			t.Fatal(err)
		}
		if _, _, err := n.Seal(ctx, c, endReport(true, 10, nil)); err != nil {
			t.Fatal(err)
		}
		if i%5 == 0 {
			if err := n.store.Compact(ctx); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := os.Stat(filepath.Join(dir, "log", "00000001.log")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the first segment is still there: %v", err)
	}
	check := func() {
		t.Helper()
		got := readLines(t, n, long.Attempt, "stdout")
		if len(got) != 40 || got[0] != "long 0" || got[39] != "long 39" {
			t.Fatalf("%q", got)
		}
	}
	check()
	n.store.Close()
	b.Close()
	n, _ = newSingleReplica(t, dir, nil, smallSegments)
	check()
}

// TestFollow checks that a follower of an open attempt gets each record once and in order, and returns when the
// attempt is sealed.
func TestFollow(t *testing.T) {
	node, _ := newSingleReplica(t, t.TempDir(), nil)
	c := claim(1, 0, 1)
	if err := node.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	got := make(chan []string)
	go func() {
		var list []string
		if _, state, err := node.Read(ctx, c.Attempt, "stdout", 0, true, func(_ uint64, r artifactstore.Record) error { list = append(list, string(r.Data)); return nil }); err != nil || state != artifactstore.StateSealed {
			t.Errorf("%s, %v", state, err)
		}
		got <- list
	}()
	var want []string
	for i := range 50 {
		if _, err := node.Append(ctx, c, "stdout", uint64(i), lines(i, 1, "line")); err != nil {
			t.Fatal(err)
		}
		want = append(want, fmt.Sprint("line ", i))
	}
	if _, _, err := node.Seal(ctx, c, endReport(false, 50, nil)); err != nil {
		t.Fatal(err)
	}
	if list := <-got; !equalLines(list, want) {
		t.Fatalf("%q", list)
	}
}

// TestKilledAtEachStep kills the process at each durable step of appends, attached files and seals, and reopens its
// directory. The history of acknowledgements is then compared with what readers get: every acknowledged record is
// there once, in order and in its own attempt; every acknowledged seal and result stands; and the agents can repeat
// their work and reach the same state.
func TestKilledAtEachStep(t *testing.T) {
	if spec := os.Getenv("ARTIFACT_TEST_KILL"); spec != "" {
		dir, at, _ := strings.Cut(spec, "|")
		left, _ := strconv.Atoi(at)
		var mu sync.Mutex
		node, b := newSingleReplica(t, dir, func(string) {
			mu.Lock()
			defer mu.Unlock()
			if left--; left < 0 {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		})
		runAgents(node, b, func(what string, c artifactstore.Claim, n uint64) { fmt.Println(what, c.Task, c.Number, n) })
		os.Exit(0)
	}
	var done atomic.Bool
	for batch := 0; !done.Load() && !t.Failed(); batch += 16 {
		t.Run(strconv.Itoa(batch), func(t *testing.T) {
			for at := batch; at < batch+16; at++ {
				t.Run(strconv.Itoa(at), func(t *testing.T) {
					t.Parallel()
					if !runKilledAt(t, at) {
						if done.Store(true); at < 60 {
							t.Fatalf("only %d steps", at)
						}
					}
				})
			}
		})
	}
}

// runKilledAt runs TestKilledAtEachStep for one step. It reports whether the process reached that step.
func runKilledAt(t *testing.T, at int) bool {
	dir := t.TempDir()
	cmd := exec.Command(os.Args[0], "-test.run=^TestKilledAtEachStep$")
	cmd.Env = append(os.Environ(), fmt.Sprintf("ARTIFACT_TEST_KILL=%s|%d", dir, at))
	out, err := cmd.Output()
	var ended *exec.ExitError
	killed := errors.As(err, &ended) && ended.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL
	if err != nil && !killed {
		t.Fatalf("step %d: the process failed without being killed: %v\n%s", at, err, out)
	}
	node, b := newSingleReplica(t, dir, nil)
	results := checkHistory(t, at, node, string(out))
	runAgents(node, b, func(string, artifactstore.Claim, uint64) {}) // the agents retry
	for task, number := range results {
		if m, state, err := node.Manifest(ctx, "job-000001", task, 0); err != nil || state != artifactstore.StateFinal || m.Number != number {
			t.Fatalf("step %d: the result of task %d was attempt %d, now %+v, %v", at, task, number, m, err)
		}
	}
	for task := range 3 {
		if m, state, err := node.Manifest(ctx, "job-000001", task, 0); err != nil || state != artifactstore.StateFinal || m.Exit.Code != 0 || len(m.Files) != 1 {
			t.Fatalf("step %d: task %d has no result after the retry: %s, %v", at, task, state, err)
		}
		for n := uint64(1); n <= 2; n++ {
			if got := readLines(t, node, claim(1, task, n).Attempt, "stdout"); len(got) != 6 || got[5] != fmt.Sprintf("attempt %d 5", n) {
				t.Fatalf("step %d: attempt %d has %q", at, n, got)
			}
		}
	}
	return killed
}

// TestDiskFull limits the size of files, by a different limit in each run, so that writes fail as on a full disk at
// different steps. Everything acknowledged before stays, and without the limit the agents' retries reach the usual
// state.
func TestDiskFull(t *testing.T) {
	if spec := os.Getenv("ARTIFACT_TEST_FILE_LIMIT"); spec != "" {
		dir, at, _ := strings.Cut(spec, "|")
		limit, _ := strconv.ParseUint(at, 10, 64)
		signal.Ignore(syscall.SIGXFSZ)
		node, b := newSingleReplica(t, dir, nil)
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
			t.Fatal(err)
		}
		runAgents(node, b, func(what string, c artifactstore.Claim, n uint64) { fmt.Println(what, c.Task, c.Number, n) })
		os.Exit(0)
	}
	var failed atomic.Int32
	t.Run("sizes", func(t *testing.T) {
		for limit := 300; limit <= 12_300; limit += 400 {
			t.Run(strconv.Itoa(limit), func(t *testing.T) {
				t.Parallel()
				dir := t.TempDir()
				cmd := exec.Command(os.Args[0], "-test.run=^TestDiskFull$")
				cmd.Env = append(os.Environ(), fmt.Sprintf("ARTIFACT_TEST_FILE_LIMIT=%s|%d", dir, limit))
				out, err := cmd.Output()
				if err != nil {
					t.Fatalf("%v\n%s", err, out)
				}
				if !strings.Contains(string(out), "final 2 2") {
					failed.Add(1)
				}
				node, b := newSingleReplica(t, dir, nil)
				checkHistory(t, limit, node, string(out))
				runAgents(node, b, func(string, artifactstore.Claim, uint64) {})
				for task := range 3 {
					if m, state, err := node.Manifest(ctx, "job-000001", task, 0); err != nil || state != artifactstore.StateFinal || len(m.Files) != 1 {
						t.Fatalf("task %d has no result after the retry: %s, %v", task, state, err)
					}
				}
			})
		}
	})
	if n := failed.Load(); n < 5 {
		t.Errorf("only %d limits made a write fail", n)
	}
}

// runAgents does the work of agents: for each of three tasks a first attempt that fails, or in task 2 is never
// sealed, and a second one that completes. It reports each acknowledgement.
func runAgents(node *Node, b *blob.Store, acked func(what string, c artifactstore.Claim, n uint64)) {
	for task := range 3 {
		for n := uint64(1); n <= 2; n++ {
			c := claim(1, task, n)
			if err := node.Begin(ctx, c); err != nil && !errors.Is(err, artifactstore.ErrSealed) {
				continue
			}
			for i := 0; i < 6; i += 2 {
				if next, err := node.Append(ctx, c, "stdout", uint64(i), lines(i, 2, fmt.Sprint("attempt ", n))); err == nil {
					acked("append", c, next)
				}
			}
			d, err := b.Put(ctx, c.Tenant, []byte(strings.Repeat(fmt.Sprint("file of ", n), 100)))
			if err == nil && node.Attach(ctx, c, "out.bin", d) == nil {
				acked("file", c, 0)
			}
			if n == 1 && task == 2 {
				continue
			}
			if _, final, err := node.Seal(ctx, c, endReport(n == 2, 6, map[string]string{"out.bin": d.String()})); err == nil {
				acked("seal", c, 0)
				if final {
					acked("final", c, 0)
				}
			}
		}
	}
}

// checkHistory compares a replica with the history of its acknowledgements and returns the acknowledged results by
// task.
func checkHistory(t *testing.T, at int, node *Node, history string) map[int]uint64 {
	t.Helper()
	results := map[int]uint64{}
	for _, line := range strings.Split(strings.TrimSpace(history), "\n") {
		var what string
		var task int
		var number, n uint64
		if _, err := fmt.Sscan(line, &what, &task, &number, &n); err != nil {
			continue
		}
		c := claim(1, task, number)
		got := readLines(t, node, c.Attempt, "stdout")
		if uint64(len(got)) < n {
			t.Fatalf("step %d: %d records of attempt %d of task %d were acknowledged, %d are readable", at, n, number, task, len(got))
		}
		for i, s := range got {
			if s != fmt.Sprintf("attempt %d %d", number, i) {
				t.Fatalf("step %d: record %d of attempt %d is %q", at, i, number, s)
			}
		}
		_, state, err := node.Manifest(ctx, c.Job, c.Task, c.Number)
		if what == "seal" && err != nil || what == "final" && state != artifactstore.StateFinal {
			t.Fatalf("step %d: %s of attempt %d of task %d was acknowledged: %s, %v", at, what, number, task, state, err)
		}
		if what == "final" {
			results[task] = number
		}
	}
	return results
}

// TestHistoryCheckDetectsLoss checks that checkHistory fails on a replica that lost or mixed up acknowledged data.
func TestHistoryCheckDetectsLoss(t *testing.T) {
	if os.Getenv("ARTIFACT_TEST_HISTORY") != "" {
		node, b := newSingleReplica(t, t.TempDir(), nil)
		runAgents(node, b, func(string, artifactstore.Claim, uint64) {})
		checkHistory(t, 0, node, os.Getenv("ARTIFACT_TEST_HISTORY"))
		return
	}
	for history, good := range map[string]bool{"append 0 1 6\nseal 1 2 0\nfinal 1 2 0": true, "append 0 1 7": false, "seal 2 1 0": false, "final 0 1 0": false} {
		cmd := exec.Command(os.Args[0], "-test.run=^TestHistoryCheckDetectsLoss$")
		cmd.Env = append(os.Environ(), "ARTIFACT_TEST_HISTORY="+history)
		if err := cmd.Run(); (err == nil) != good {
			t.Errorf("history %q: %v", history, err)
		}
	}
}

// TestConcurrentRepairs: two runs of Repair at a time accessed the undecided registers without the lock. Only the race
// detector finds that.
func TestConcurrentRepairs(t *testing.T) {
	n, _ := newSingleReplica(t, t.TempDir(), func(string) {})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				if err := n.Repair(ctx); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
}
