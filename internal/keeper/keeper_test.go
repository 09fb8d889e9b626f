package keeper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"topazhollow/internal/blob"
)

var (
	ctx = context.Background()
	key = []byte("0123456789abcdef")
)

func open(t *testing.T, dir string, step func(string)) (*Keeper, *blob.Store) {
	t.Helper()
	b, err := blob.Open(blob.Options{Dir: filepath.Join(dir, "blobs"), Step: step, Inline: 500})
	if err != nil {
		t.Fatal(err)
	}
	k, err := Open(Options{Dir: filepath.Join(dir, "log"), Blobs: b, Key: key, Step: step})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close(); b.Close() })
	return k, b
}

func claim(job, task int, number uint64) Claim {
	return Claim{Attempt: Attempt{fmt.Sprintf("job-%06d", job), task, number}, Tenant: "red", Machine: fmt.Sprint("m", number), Session: 1}
}

func lines(from, n int, text string) (list []Record) {
	for i := range n {
		list = append(list, Record{At: time.UnixMilli(int64(from + i)), Data: fmt.Appendf(nil, "%s %d", text, from+i)})
	}
	return list
}

// text reads a whole stream.
func text(t *testing.T, k *Keeper, at Attempt, stream string) []string {
	t.Helper()
	var list []string
	if _, _, err := k.Read(at, stream, 0, func(r Record) error {
		if r.Hole != nil {
			list = append(list, fmt.Sprint("hole ", r.Hole.Bytes))
		} else {
			list = append(list, string(r.Data))
		}
		return nil
	}); err != nil {
		t.Fatalf("%s %s: %v", at, stream, err)
	}
	return list
}

// TestAppends: a repeated or overlapping append has no second effect, a gap is refused
// with what is wanted, holes keep their place, and all stays so once it is sealed.
func TestAppends(t *testing.T) {
	k, _ := open(t, t.TempDir(), nil)
	c := claim(1, 0, 1)
	if err := k.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		first uint64
		n     int
		next  uint64
		gap   bool
	}{{0, 3, 3, false}, {0, 3, 3, false}, {1, 4, 5, false}, {7, 1, 5, true}, {5, 1, 6, false}} {
		next, err := k.Append(ctx, c, "stdout", x.first, lines(int(x.first), x.n, "line"))
		var gap *GapError
		if next != x.next || errors.As(err, &gap) != x.gap || (gap != nil && gap.Want != 5) || (gap == nil && err != nil) {
			t.Fatalf("%+v: next %d, %v", x, next, err)
		}
	}
	if _, err := k.Append(ctx, c, "stdout", 6, []Record{{Hole: &Hole{Bytes: 77}}}); err != nil {
		t.Fatal(err)
	}
	want := []string{"line 0", "line 1", "line 2", "line 3", "line 4", "line 5", "hole 77"}
	if got := text(t, k, c.Attempt, "stdout"); !equal(got, want) {
		t.Fatalf("%q", got)
	}
	if _, _, err := k.Seal(ctx, c, Exit{Completed: true}, map[string]uint64{"stdout": 8}); !errors.Is(err, ErrNotWhole) {
		t.Fatalf("sealed without the last record: %v", err)
	}
	if _, _, err := k.Seal(ctx, c, Exit{Completed: true}, nil); !errors.Is(err, ErrNotWhole) {
		t.Fatalf("sealed without a word of a stream: %v", err)
	}
	m, final, err := k.Seal(ctx, c, Exit{Completed: true}, map[string]uint64{"stdout": 7})
	if err != nil || !final || m.Streams[0].Records != 7 || m.Streams[0].Lost != 77 {
		t.Fatalf("%+v, final %v, %v", m, final, err)
	}
	if got := text(t, k, c.Attempt, "stdout"); !equal(got, want) {
		t.Fatalf("sealed: %q", got)
	}
	if _, err := k.Append(ctx, c, "stdout", 7, lines(7, 1, "late")); !errors.Is(err, ErrSealed) {
		t.Fatalf("an append minutes late: %v", err)
	}
	if again, final, err := k.Seal(ctx, c, Exit{}, nil); err != nil || !final || again.Code != m.Code {
		t.Fatalf("sealed again: %v", err)
	}
}

func equal(a, b []string) bool { return strings.Join(a, "\n") == strings.Join(b, "\n") }

// TestOneFinal: of a task's attempts the first sealed one that completed is the
// result, unless a later one had begun; each keeps its own streams and files, and what
// is not sealed is partial for ever.
func TestOneFinal(t *testing.T) {
	dir := t.TempDir()
	k, b := open(t, dir, nil)
	seal := func(c Claim, completed, want bool) {
		t.Helper()
		if _, final, err := k.Seal(ctx, c, Exit{Completed: completed}, map[string]uint64{"stdout": 1}); err != nil || final != want {
			t.Fatalf("attempt %d: final %v, %v", c.Number, final, err)
		}
	}
	begin := func(c Claim) {
		t.Helper()
		if err := k.Begin(ctx, c); err != nil {
			t.Fatal(err)
		}
		if _, err := k.Append(ctx, c, "stdout", 0, lines(0, 1, fmt.Sprint("attempt ", c.Number))); err != nil {
			t.Fatal(err)
		}
		d, err := b.Put(ctx, c.Tenant, []byte(fmt.Sprint("file of ", c.Number)))
		if err != nil {
			t.Fatal(err)
		}
		if err := k.Attach(ctx, c, "out/grades.bin", d); err != nil {
			t.Fatal(err)
		}
	}
	for i := uint64(1); i <= 5; i++ {
		begin(claim(1, 0, i*10))
	}
	seal(claim(1, 0, 10), true, false)  // overtaken
	seal(claim(1, 0, 50), false, false) // the last, but failed
	begin(claim(1, 0, 60))
	seal(claim(1, 0, 60), true, true)
	begin(claim(1, 0, 70))
	seal(claim(1, 0, 70), true, false) // there is a result
	seal(claim(1, 0, 20), true, false)
	k.Close()
	b.Close()
	k, b = open(t, dir, nil)
	m, err := k.Final("job-000001", 0)
	if err != nil || m.Number != 60 || m.Files[0].Path != "out/grades.bin" {
		t.Fatalf("%+v %v", m, err)
	}
	list, err := k.Attempts("job-000001", 0)
	if err != nil || len(list) != 7 {
		t.Fatalf("%+v %v", list, err)
	}
	for i, a := range list {
		n := uint64(i+1) * 10
		sealed := n != 30 && n != 40
		if a.Number != n || a.Sealed != sealed || a.Final != (n == 60) {
			t.Errorf("%+v", a)
		}
		if got := text(t, k, a.Attempt, "stdout"); !equal(got, []string{fmt.Sprintf("attempt %d 0", n)}) {
			t.Errorf("attempt %d has %q", n, got)
		}
		if !sealed {
			continue
		}
		m, _, err := k.Sealed(a.Attempt)
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
	if got := text(t, k, claim(1, 0, 60).Attempt, "stdout"); len(got) != 1 {
		t.Errorf("after collecting: %q", got)
	}
	// Shelved ones stay readable, and can't be sealed any more.
	if n, err := k.Shelve(ctx, -time.Hour); err != nil || n != 2 {
		t.Fatalf("%d shelved, %v", n, err)
	}
	if _, _, err := k.Seal(ctx, claim(1, 0, 30), Exit{Completed: true}, map[string]uint64{"stdout": 1}); err == nil {
		t.Error("a shelved attempt was sealed")
	}
	if got := text(t, k, claim(1, 0, 30).Attempt, "stdout"); !equal(got, []string{"attempt 30 0"}) {
		t.Errorf("shelved: %q", got)
	}
	if list, err := k.Attempts("job-000001", 0); err != nil || len(list) != 7 || list[2].Sealed {
		t.Errorf("%+v %v", list, err)
	}
}

// TestRefused: names that climb out, foreign machines and sessions, forged manifests
// and what goes beyond a bound get a clear error and leave nothing.
func TestRefused(t *testing.T) {
	k, b := open(t, t.TempDir(), nil)
	c := claim(1, 0, 1)
	if err := k.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	d, err := b.Put(ctx, "red", []byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"", "/etc/passwd", "../up", "a/../../b", "a//b", "./a", "a/.", `a\b`, "a\x00b", "a\nb", strings.Repeat("a", 10000), "\xff"} {
		if err := k.Attach(ctx, c, path, d); !errors.Is(err, ErrName) {
			t.Errorf("path %.20q: %v", path, err)
		}
	}
	for _, name := range []string{"", "a/b", "..", ".x", strings.Repeat("a", 65), "ä"} {
		if _, err := k.Append(ctx, c, name, 0, lines(0, 1, "x")); !errors.Is(err, ErrName) {
			t.Errorf("stream %.20q: %v", name, err)
		}
	}
	old, foreign := c, c
	old.Session, foreign.Machine = 0, "other"
	for _, x := range []Claim{old, foreign} {
		if _, err := k.Append(ctx, x, "stdout", 0, lines(0, 1, "x")); !errors.Is(err, ErrClaim) {
			t.Errorf("%+v: %v", x, err)
		}
		if err := k.Begin(ctx, x); !errors.Is(err, ErrClaim) {
			t.Errorf("%+v: %v", x, err)
		}
	}
	for _, x := range []Attempt{{"nobody", 0, 1}, {"job-000001", -1, 1}, {"job-000001", 0, 0}} {
		if err := k.Begin(ctx, Claim{Attempt: x, Tenant: "red", Machine: "m"}); !errors.Is(err, ErrName) {
			t.Errorf("%+v: %v", x, err)
		}
	}
	if _, err := k.Append(ctx, c, "stdout", 0, []Record{{Data: make([]byte, 1<<20)}}); !errors.Is(err, ErrTooMuch) {
		t.Errorf("a record of a megabyte: %v", err)
	}
	if err := k.Attach(ctx, c, "a", blob.Of([]byte("not here"))); !errors.Is(err, blob.ErrNotFound) {
		t.Errorf("a file that is not here: %v", err)
	}
	for i := range 16 {
		if _, err := k.Append(ctx, c, fmt.Sprint("s", i), 0, lines(0, 1, "x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := k.Append(ctx, c, "one-more", 0, lines(0, 1, "x")); !errors.Is(err, ErrTooMuch) {
		t.Errorf("a seventeenth stream: %v", err)
	}
	m := &Manifest{Claim: c, Exit: Exit{Completed: true}}
	data := m.sign(key)
	if _, err := Verify(key, data); err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{bytes.Replace(data, []byte(`"m1"`), []byte(`"m2"`), 1), data[:len(data)-1], []byte("{}")} {
		if _, err := Verify(key, bad); !errors.Is(err, ErrForged) {
			t.Errorf("%.60q: %v", bad, err)
		}
	}
	if _, err := Verify([]byte("another key 0000"), data); !errors.Is(err, ErrForged) {
		t.Errorf("with another key: %v", err)
	}
}

// TestTrim: the log of closed attempts is given back while others go on, and readers
// find what was moved.
func TestTrim(t *testing.T) {
	dir := t.TempDir()
	b, err := blob.Open(blob.Options{Dir: filepath.Join(dir, "blobs")})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	k, err := Open(Options{Dir: filepath.Join(dir, "log"), Blobs: b, Key: key, Segment: 4000})
	if err != nil {
		t.Fatal(err)
	}
	long := claim(9, 0, 1)
	if err := k.Begin(ctx, long); err != nil {
		t.Fatal(err)
	}
	for i := range 40 {
		if _, err := k.Append(ctx, long, "stdout", uint64(i), lines(i, 1, "long")); err != nil {
			t.Fatal(err)
		}
		c := claim(1, i, 1)
		if err := k.Begin(ctx, c); err != nil {
			t.Fatal(err)
		}
		if _, err := k.Append(ctx, c, "stdout", 0, lines(0, 10, "short")); err != nil {
			t.Fatal(err)
		}
		if _, _, err := k.Seal(ctx, c, Exit{Completed: true}, map[string]uint64{"stdout": 10}); err != nil {
			t.Fatal(err)
		}
		if i%5 == 0 {
			if err := k.Trim(ctx); err != nil {
				t.Fatal(err)
			}
		}
	}
	first, _ := k.log.Segments()
	if first < 3 {
		t.Errorf("the log still begins with segment %d", first)
	}
	check := func() {
		t.Helper()
		got := text(t, k, long.Attempt, "stdout")
		if len(got) != 40 || got[0] != "long 0" || got[39] != "long 39" {
			t.Fatalf("%q", got)
		}
	}
	check()
	k.Close()
	if k, err = Open(Options{Dir: filepath.Join(dir, "log"), Blobs: b, Key: key, Segment: 4000}); err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	check()
}

// TestFollow: a reader of an open attempt sees each record once, in order, and the
// end when it is sealed.
func TestFollow(t *testing.T) {
	k, _ := open(t, t.TempDir(), nil)
	c := claim(1, 0, 1)
	if err := k.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	got := make(chan []string)
	go func() {
		var list []string
		for next, sealed := uint64(0), false; !sealed; {
			var err error
			next, sealed, err = k.Read(c.Attempt, "stdout", next, func(r Record) error { list = append(list, string(r.Data)); return nil })
			if err == nil && !sealed {
				err = k.Wait(ctx, c.Attempt, "stdout", next)
			}
			if err != nil {
				t.Error(err)
				break
			}
		}
		got <- list
	}()
	var want []string
	for i := range 50 {
		if _, err := k.Append(ctx, c, "stdout", uint64(i), lines(i, 1, "line")); err != nil {
			t.Fatal(err)
		}
		want = append(want, fmt.Sprint("line ", i))
	}
	if _, _, err := k.Seal(ctx, c, Exit{}, map[string]uint64{"stdout": 50}); err != nil {
		t.Fatal(err)
	}
	if list := <-got; !equal(list, want) {
		t.Fatalf("%q", list)
	}
}

// TestKilled ends the process for good at each durable step of appends, files and
// seals, and opens its directory anew. A history of what was acknowledged is held
// against what readers see: every acknowledged line is there once, in order, under its
// own attempt; what was said to be sealed is; a final result never changes; and what the
// worker does again after the restart comes to the same.
func TestKilled(t *testing.T) {
	if spec := os.Getenv("KEEPER_KILL"); spec != "" {
		dir, at, _ := strings.Cut(spec, "|")
		left, _ := strconv.Atoi(at)
		var mu sync.Mutex
		k, b := open(t, dir, func(string) {
			mu.Lock()
			defer mu.Unlock()
			if left--; left < 0 {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		})
		play(k, b, func(what string, c Claim, n uint64) { fmt.Println(what, c.Task, c.Number, n) })
		os.Exit(0)
	}
	for at := 0; ; at++ {
		dir := t.TempDir()
		cmd := exec.Command(os.Args[0], "-test.run=^TestKilled$")
		cmd.Env = append(os.Environ(), fmt.Sprintf("KEEPER_KILL=%s|%d", dir, at))
		out, err := cmd.Output()
		var ended *exec.ExitError
		killed := errors.As(err, &ended) && ended.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL
		if err != nil && !killed {
			t.Fatalf("step %d: the process ended by itself: %v\n%s", at, err, out)
		}
		k, b := open(t, dir, nil)
		finals := check(t, at, k, string(out))
		play(k, b, func(string, Claim, uint64) {}) // the workers try again
		for task, number := range finals {
			if m, err := k.Final("job-000001", task); err != nil || m.Number != number {
				t.Fatalf("step %d: the result of task %d was attempt %d and is %+v, %v", at, task, number, m, err)
			}
		}
		for task := range 3 {
			if m, err := k.Final("job-000001", task); err != nil || m.Exit.Code != 0 || len(m.Files) != 1 {
				t.Fatalf("step %d: no result of task %d in the end: %v", at, task, err)
			}
			for n := uint64(1); n <= 2; n++ {
				if got := text(t, k, claim(1, task, n).Attempt, "stdout"); len(got) != 6 || got[5] != fmt.Sprintf("attempt %d 5", n) {
					t.Fatalf("step %d: attempt %d has %q", at, n, got)
				}
			}
		}
		k.Close()
		b.Close()
		if !killed {
			if at < 60 {
				t.Fatalf("only %d steps", at)
			}
			return
		}
	}
}

// play is what workers do: of each of three tasks a first attempt that fails, or in
// task 2 is never sealed, and a second that completes.
func play(k *Keeper, b *blob.Store, acked func(what string, c Claim, n uint64)) {
	for task := range 3 {
		for n := uint64(1); n <= 2; n++ {
			c := claim(1, task, n)
			if k.Begin(ctx, c) != nil {
				continue // sealed before
			}
			for i := 0; i < 6; i += 2 {
				if next, err := k.Append(ctx, c, "stdout", uint64(i), lines(i, 2, fmt.Sprint("attempt ", n))); err == nil {
					acked("append", c, next)
				}
			}
			if d, err := b.Put(ctx, c.Tenant, []byte(strings.Repeat(fmt.Sprint("file of ", n), 100))); err == nil && k.Attach(ctx, c, "out.bin", d) == nil {
				acked("file", c, 0)
			}
			if n == 1 && task == 2 {
				continue
			}
			if _, final, err := k.Seal(ctx, c, Exit{Completed: n == 2}, map[string]uint64{"stdout": 6}); err == nil {
				acked("seal", c, 0)
				if final {
					acked("final", c, 0)
				}
			}
		}
	}
}

// check holds a keeper against the history of what it acknowledged, and gives the
// results that it told of.
func check(t *testing.T, at int, k *Keeper, history string) map[int]uint64 {
	t.Helper()
	finals := map[int]uint64{}
	for _, line := range strings.Split(strings.TrimSpace(history), "\n") {
		var what string
		var task int
		var number, n uint64
		if _, err := fmt.Sscan(line, &what, &task, &number, &n); err != nil {
			continue
		}
		c := claim(1, task, number)
		got := text(t, k, c.Attempt, "stdout")
		if uint64(len(got)) < n {
			t.Fatalf("step %d: %d records acknowledged of attempt %d of task %d, %d are there", at, n, number, task, len(got))
		}
		for i, s := range got {
			if s != fmt.Sprintf("attempt %d %d", number, i) {
				t.Fatalf("step %d: record %d of attempt %d is %q", at, i, number, s)
			}
		}
		_, final, err := k.Sealed(c.Attempt)
		if what == "seal" && err != nil || what == "final" && !final {
			t.Fatalf("step %d: %s of attempt %d of task %d was acknowledged: %v, %v", at, what, number, task, final, err)
		}
		if what == "final" {
			finals[task] = number
		}
	}
	return finals
}

// TestHistoryCatches shows that the check of the history fails on a keeper that lost
// or mixed up what it acknowledged.
func TestHistoryCatches(t *testing.T) {
	if os.Getenv("HISTORY") != "" {
		k, b := open(t, t.TempDir(), nil)
		play(k, b, func(string, Claim, uint64) {})
		check(t, 0, k, os.Getenv("HISTORY"))
		return
	}
	for history, good := range map[string]bool{"append 0 1 6\nseal 1 2 0\nfinal 1 2 0": true, "append 0 1 7": false, "seal 2 1 0": false, "final 0 1 0": false} {
		cmd := exec.Command(os.Args[0], "-test.run=^TestHistoryCatches$")
		cmd.Env = append(os.Environ(), "HISTORY="+history)
		if err := cmd.Run(); (err == nil) != good {
			t.Errorf("history %q: %v", history, err)
		}
	}
}

// FuzzPaths: no path that is allowed leaves the directory that it is joined to.
func FuzzPaths(f *testing.F) {
	for _, p := range []string{"a/b", "../a", "a/./b", "/a", "a\\..\\b"} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, p string) {
		if CheckPath(p) != nil {
			return
		}
		if got := filepath.Join("/root/dir", p); got != "/root/dir/"+p || !filepath.IsLocal(p) {
			t.Fatalf("%q becomes %q", p, got)
		}
	})
}
