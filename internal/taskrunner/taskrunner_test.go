package taskrunner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"topazhollow/internal/artifactreplication"
	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/wal"
)

var (
	ctx = context.Background()
	key = []byte("0123456789abcdef")
)

// testReplica is a replica that can be made unreachable.
type testReplica struct {
	t           *testing.T
	n           *artifactreplication.Node
	b           *blob.Store
	url         string
	unreachable atomic.Bool
}

func newTestReplica(t *testing.T) *testReplica {
	x := &testReplica{t: t}
	dir := t.TempDir()
	var err error
	if x.b, err = blob.Open(blob.Options{Dir: filepath.Join(dir, "blobs")}); err != nil {
		t.Fatal(err)
	}
	k, err := artifactstore.Open(artifactstore.Options{Dir: filepath.Join(dir, "log"), Blobs: x.b, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	m := artifactreplication.Members{Epoch: 1, Copies: 1, Acks: 1, List: []artifactreplication.Member{{Name: "a", URL: "http://127.0.0.1:1", State: artifactreplication.Serving}}}
	if x.n, err = artifactreplication.New(artifactreplication.Options{Name: "a", Dir: dir, Members: m, Store: k, Blobs: x.b, Key: key}); err == nil {
		err = x.n.Repair(ctx)
	}
	if err != nil {
		t.Fatal(err)
	}
	h := (&artifactreplication.Server{Node: x.n}).Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x.unreachable.Load() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { srv.Close(); k.Close(); x.b.Close() })
	x.url = srv.URL
	return x
}

func (x *testReplica) options(spool string) Options {
	return Options{Spool: spool, Keepers: []string{x.url}, RetryDelay: 5 * time.Millisecond}
}

// isSealedState reports whether an attempt is sealed.
func isSealedState(a artifactstore.AttemptSummary) bool {
	return a.State == artifactstore.StateFinal || a.State == artifactstore.StateSealed
}

func task(dir string, number uint64, command string, files ...string) Task {
	c := artifactstore.Claim{Attempt: artifactstore.Attempt{Job: "job-000001", Task: 0, Number: number}, Tenant: "red", Machine: "m1", Session: 1}
	g := artifactstore.Grant{Right: artifactstore.Write, Tenant: c.Tenant, Job: c.Job, Task: &c.Task, Number: number, Machine: c.Machine, Session: 1, Until: time.Now().Add(time.Hour)}
	return Task{Claim: c, Token: g.Token(key), Command: []string{"/bin/sh", "-c", command}, Env: []string{"PATH=/usr/bin:/bin"}, Dir: dir, Files: files}
}

func (x *testReplica) readText(at artifactstore.Attempt, stream string) (list []string, lost int64) {
	x.t.Helper()
	if _, _, err := x.n.Read(ctx, at, stream, 0, false, func(_ uint64, r artifactstore.Record) error {
		if r.Dropped != nil {
			lost += r.Dropped.Bytes
			list = append(list, "[dropped]")
			return nil
		}
		list = append(list, string(r.Data))
		return nil
	}); err != nil {
		x.t.Fatalf("%s: %v", at, err)
	}
	return list, lost
}

// TestRun checks the uploaded streams, files and exit of commands. An output file that is
// missing, not regular or outside the directory must fail the attempt with a reason. A
// stopped command must be killed with its child processes.
func TestRun(t *testing.T) {
	x := newTestReplica(t)
	spool := t.TempDir()
	for i, c := range []struct {
		command   string
		files     []string
		completed bool
		code      int
		reason    string
		stdout    int
		kept      int
	}{
		{"echo one; echo two >&2; mkdir -p out; printf grades > out/a; printf more > out/b", []string{"out"}, true, 0, "", 1, 2},
		{"echo x; exit 3", nil, false, 3, "exit status 3", 1, 0},
		{"true", []string{"missing"}, false, 0, "missing", 0, 0},
		{"ln -s /etc/passwd link", []string{"link"}, false, 0, "not a regular file", 0, 0},
		{"echo x > a; ln -s a link", []string{"link"}, false, 0, "not a regular file", 0, 0},
		{"mkdir d && ln -s /etc d/etc", []string{"d"}, false, 0, "not a regular file", 0, 0},
		{"mkfifo pipe", []string{"pipe"}, false, 0, "not a regular file", 0, 0},
		{"true", []string{"../up"}, false, 0, "not allowed", 0, 0},
		{"head -c 100000 /dev/zero | tr '\\0' x", nil, true, 0, "", 4, 0},
	} {
		tk := task(t.TempDir(), uint64(i+1), c.command, c.files...)
		got, err := Run(ctx, x.options(spool), tk, time.Minute)
		if err != nil {
			t.Fatalf("%q: %v", c.command, err)
		}
		if got.Exit.Completed != c.completed || got.Exit.Code != c.code || !strings.Contains(got.Exit.Reason, c.reason) {
			t.Errorf("%q: %+v", c.command, got)
		}
		m, _, err := x.n.Manifest(ctx, tk.Claim.Job, tk.Claim.Task, tk.Claim.Number)
		if err != nil || len(m.Files) != c.kept || m.Exit != got.Exit {
			t.Errorf("%q: %+v %v", c.command, m, err)
		}
		if list, _ := x.readText(tk.Claim.Attempt, "stdout"); len(list) != c.stdout {
			t.Errorf("%q: %d records of output", c.command, len(list))
		}
	}
	if m, state, err := x.n.Manifest(ctx, "job-000001", 0, 0); err != nil || state != artifactstore.StateFinal || m.Number != 1 {
		t.Errorf("result %+v, %v", m, err)
	}
	stopped, stop := context.WithCancel(ctx)
	time.AfterFunc(100*time.Millisecond, stop)
	tk := task(t.TempDir(), 99, "echo begun; sleep 1000 & sleep 1000")
	if got, err := Run(stopped, x.options(spool), tk, time.Minute); err != nil || got.Exit.Completed || got.Exit.Reason != "stopped" {
		t.Errorf("stopped: %+v %v", got, err)
	}
	if left, err := os.ReadDir(spool); err != nil || len(left) != 0 {
		t.Errorf("remaining spools: %v %v", left, err)
	}
}

// TestReplicaUnreachable: while the replica is unreachable, output must be kept in the spool
// up to MaxSpoolBytes. Output beyond that must be replaced by a marker with its size, and the
// attempt must still be sealed.
func TestReplicaUnreachable(t *testing.T) {
	x := newTestReplica(t)
	x.unreachable.Store(true)
	opt := x.options(t.TempDir())
	opt.MaxSpoolBytes = 2000
	opt.setDefaults()
	tk := task(t.TempDir(), 1, "true")
	s, err := open(opt, spoolDir(opt.Spool, tk.Claim.Attempt))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.write(ctx, &entry{Task: &tk}); err != nil {
		t.Fatal(err)
	}
	uploaded := make(chan error, 1)
	var got Result
	go func() {
		var err error
		got, err = s.upload(ctx)
		uploaded <- err
	}()
	for i := 1000; i < 2000; i++ {
		s.appendRecord(ctx, "stdout", []byte(strconv.Itoa(i)))
	}
	x.unreachable.Store(false)
	for { // until the spool is empty
		s.mu.Lock()
		left := s.unsentBytes
		s.mu.Unlock()
		if left == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	s.appendRecord(ctx, "stdout", []byte("last"))
	if err := s.write(ctx, &entry{Exit: &artifactstore.Exit{Completed: true}}); err != nil {
		t.Fatal(err)
	}
	if err := <-uploaded; err != nil || !got.Final {
		t.Fatalf("%+v %v", got, err)
	}
	got.DroppedBytes = s.droppedBytes
	list, lost := x.readText(tk.Claim.Attempt, "stdout")
	if lost != got.DroppedBytes || lost != 4*(1000-500) {
		t.Errorf("markers of %d bytes, %d bytes dropped, want %d", lost, got.DroppedBytes, 4*(1000-500))
	}
	for i, s := range list[:500] {
		if s != strconv.Itoa(1000+i) {
			t.Fatalf("record %d is %q", i, s)
		}
	}
	if rest := list[500:]; len(rest) != 2 || rest[0] != "[dropped]" || rest[1] != "last" {
		t.Errorf("after the spooled records: %q", rest)
	}
}

// TestRefusedSpool: a spool whose token has expired must be kept and must not stop the upload of others.
func TestRefusedSpool(t *testing.T) {
	x := newTestReplica(t)
	opt := x.options(t.TempDir())
	opt.setDefaults()
	for number := uint64(1); number <= 2; number++ {
		tk := task(t.TempDir(), number, "true")
		if number == 1 {
			tk.Token = artifactstore.Grant{Right: artifactstore.Write, Job: tk.Claim.Job, Until: time.Unix(0, 0)}.Token(key)
		}
		s, err := open(opt, spoolDir(opt.Spool, tk.Claim.Attempt))
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range []*entry{{Task: &tk}, {Stream: "stdout", Record: &artifactstore.Record{Data: []byte("x")}}, {Exit: &artifactstore.Exit{Completed: true}}} {
			if err := s.write(ctx, e); err != nil {
				t.Fatal(err)
			}
		}
		s.log.Close()
	}
	if n, err := Recover(ctx, opt); n != 1 || err == nil || !strings.Contains(err.Error(), "job-000001-0-1") {
		t.Fatalf("%d spools uploaded, %v", n, err)
	}
	if left, err := os.ReadDir(opt.Spool); err != nil || len(left) != 1 {
		t.Errorf("remaining spools: %v %v", left, err)
	}
	if m, state, err := x.n.Manifest(ctx, "job-000001", 0, 0); err != nil || state != artifactstore.StateFinal || m.Number != 2 {
		t.Errorf("%+v %s %v", m, state, err)
	}
}

// TestKilled kills the runner's process at each durable step, recovers its spool in another
// process and runs the next attempt of the task. Every surviving line must be stored once,
// in order, under its own attempt. An attempt with an incomplete spool must stay partial
// and must not be the result; one with a complete spool must be sealed.
func TestKilled(t *testing.T) {
	const command = "echo attempt $A; for i in 1 2 3 4 5; do echo line $i of $A; done; printf 'file of %s' $A > out"
	if spec := os.Getenv("RUNNER_KILL"); spec != "" {
		parts := strings.Split(spec, "|")
		left, _ := strconv.Atoi(parts[3])
		var mu sync.Mutex
		tk := task(parts[2], 1, command, "out")
		tk.Env = append(tk.Env, "A=1")
		_, err := Run(ctx, Options{Spool: parts[0], Keepers: []string{parts[1]}, RetryDelay: 5 * time.Millisecond, Step: func(string) {
			mu.Lock()
			defer mu.Unlock()
			if left--; left < 0 {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}}, tk, time.Minute)
		if err != nil {
			fmt.Println(err)
			os.Exit(3)
		}
		os.Exit(0)
	}
	for at := 0; ; at++ {
		x := newTestReplica(t)
		spool, dir := t.TempDir(), t.TempDir()
		cmd := exec.Command(os.Args[0], "-test.run=^TestKilled$")
		cmd.Env = append(os.Environ(), fmt.Sprintf("RUNNER_KILL=%s|%s|%s|%d", spool, x.url, dir, at))
		out, err := cmd.Output()
		var ended *exec.ExitError
		killed := errors.As(err, &ended) && ended.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL
		if err != nil && !killed {
			t.Fatalf("step %d: %v\n%s", at, err, out)
		}
		if _, err := Recover(ctx, x.options(spool)); err != nil {
			t.Fatalf("step %d: %v", at, err)
		}
		if left, err := os.ReadDir(spool); err != nil || len(left) != 0 {
			t.Fatalf("step %d: remaining spools: %v %v", at, left, err)
		}
		first := artifactstore.Attempt{Job: "job-000001", Task: 0, Number: 1}
		list, _, err := x.n.Attempts(ctx, "job-000001", 0)
		if err != nil {
			t.Fatal(err)
		}
		whole := []string{"attempt 1", "line 1 of 1", "line 2 of 1", "line 3 of 1", "line 4 of 1", "line 5 of 1"}
		if len(list) > 0 {
			got, _ := x.readText(first, "stdout")
			if len(got) > len(whole) || strings.Join(got, "|") != strings.Join(whole[:len(got)], "|") || (isSealedState(list[0]) && len(got) != len(whole)) {
				t.Fatalf("step %d: sealed %v with output %q", at, isSealedState(list[0]), got)
			}
		}
		sealed := len(list) > 0 && isSealedState(list[0])
		tk := task(t.TempDir(), 2, command, "out")
		tk.Env = append(tk.Env, "A=2")
		got, err := Run(ctx, x.options(spool), tk, time.Minute)
		if err != nil || got.Final == sealed {
			t.Fatalf("step %d: first sealed %v, second %+v, %v", at, sealed, got, err)
		}
		m, state, err := x.n.Manifest(ctx, "job-000001", 0, 0)
		if err != nil || state != artifactstore.StateFinal || (m.Number == 1) != sealed {
			t.Fatalf("step %d: result %+v, %v", at, m, err)
		}
		d, err := blob.Parse(m.Files[0].Digest)
		if err != nil {
			t.Fatal(err)
		}
		if content, err := x.b.Get("red", d, 100); err != nil || string(content) != fmt.Sprint("file of ", m.Number) {
			t.Fatalf("step %d: file of attempt %d is %q, %v", at, m.Number, content, err)
		}
		if !killed {
			if at < 15 {
				t.Fatalf("only %d durable steps", at)
			}
			return
		}
	}
}

// TestUploadEndsWithRun: when the spool could not be written, the upload went on in the background after Run had returned
// and its log was closed.
func TestUploadEndsWithRun(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	defer srv.Close()
	run := task(t.TempDir(), 1, "true")
	opt := Options{Spool: t.TempDir(), Keepers: []string{srv.URL}, RetryDelay: time.Minute}
	opt.setDefaults()
	s, err := open(opt, spoolDir(opt.Spool, run.Claim.Attempt))
	if err != nil {
		t.Fatal(err)
	}
	s.task = run
	s.log.Close() // the exit can't be written
	if _, err := s.run(ctx, run, time.Minute); !errors.Is(err, wal.ErrClosed) {
		t.Fatalf("run: %v", err)
	}
	stacks := make([]byte, 1<<20)
	if stacks = stacks[:runtime.Stack(stacks, true)]; strings.Contains(string(stacks), "(*spool).upload(") {
		t.Error("the upload has not ended")
	}
}
