package wal

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
)

var ctx = context.Background()

func open(t *testing.T, dir string, opt Options) (*Log, [][]byte) {
	t.Helper()
	var got [][]byte
	l, err := Open(dir, opt, Pos{}, func(_ Pos, rec []byte) error {
		got = append(got, bytes.Clone(rec))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, got
}

// TestLogModel compares a log, which is closed and reopened at random, with a list of
// the appended records. Each record must be readable at its position.
func TestLogModel(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		dir := t.TempDir()
		opt := Options{SegmentBytes: 2000}
		var want [][]byte
		at := map[int]Pos{}
		l, _ := open(t, dir, opt)
		for range 60 {
			if rng.IntN(8) == 0 {
				l.Close()
				var got [][]byte
				if l, got = open(t, dir, opt); len(got) != len(want) {
					t.Fatalf("seed %d: %d records of %d", seed, len(got), len(want))
				}
				for i := range want {
					if !bytes.Equal(got[i], want[i]) {
						t.Fatalf("seed %d: record %d differs", seed, i)
					}
				}
			}
			var recs [][]byte
			for range 1 + rng.IntN(4) {
				recs = append(recs, bytes.Repeat([]byte{byte(rng.IntN(256))}, 1+rng.IntN(300)))
			}
			ps, err := l.Append(ctx, recs...)
			if err != nil {
				t.Fatal(err)
			}
			for i := range recs {
				at[len(want)] = ps[i]
				want = append(want, recs[i])
			}
			k := rng.IntN(len(want))
			if got, err := l.Read(at[k]); err != nil || !bytes.Equal(got, want[k]) {
				t.Fatalf("seed %d: record %d at %v: %v", seed, k, at[k], err)
			}
		}
		if first, last := l.Segments(); first == last {
			t.Fatalf("seed %d: all records are in one segment", seed)
		}
	}
}

// TestTornTail truncates the last segment at each byte: exactly the whole records must
// be replayed, and the log must stay writable. It also flips a bit in each byte of a
// finished segment, also in lengths: opening must return ErrCorrupt.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, Options{})
	var ends []int64
	for i := range 5 {
		if _, err := l.Append(ctx, []byte(fmt.Sprintf("record %d", i))); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, l.End().Offset)
	}
	l.Close()
	data, err := os.ReadFile(filepath.Join(dir, segmentName(1)))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range data {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, segmentName(1)), data[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		whole := 0
		for _, e := range ends {
			if int64(cut) >= e {
				whole++
			}
		}
		l, got := open(t, dir, Options{})
		if len(got) != whole {
			t.Fatalf("truncated at %d: %d records replayed, %d were whole", cut, len(got), whole)
		}
		if _, err := l.Append(ctx, []byte("next")); err != nil {
			t.Fatal(err)
		}
		l.Close()
		if _, got := open(t, dir, Options{}); len(got) != whole+1 || string(got[whole]) != "next" {
			t.Fatalf("truncated at %d: after another append: %q", cut, got)
		}
	}
	for at := range data {
		dir := t.TempDir()
		bad := bytes.Clone(data)
		bad[at] ^= 4
		if err := os.WriteFile(filepath.Join(dir, segmentName(1)), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, segmentName(2)), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		count := 0
		_, err := Open(dir, Options{}, Pos{}, func(Pos, []byte) error { count++; return nil })
		if !errors.Is(err, ErrCorrupt) {
			t.Fatalf("bit flipped at %d of a finished segment: %v", at, err)
		}
		if wrong := ends[0]; int64(at) >= wrong && count == 0 {
			t.Fatalf("bit flipped at %d: the records before it were not replayed", at)
		}
	}
}

// faultyFile is a file whose writes or syncs fail when fail returns an error; a failing write writes part of its data.
type faultyFile struct {
	*os.File
	fail func(op string) (part float64, err error)
}

func (f *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	if part, err := f.fail("write"); err != nil {
		n, _ := f.File.WriteAt(p[:int(part*float64(len(p)))], off)
		return n, err
	}
	return f.File.WriteAt(p, off)
}

func (f *faultyFile) Sync() error {
	if _, err := f.fail("sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

// TestDiskFails: on a full disk an append must fail without a trace, and later appends
// must succeed once there is space. After a failed fsync no append may be acknowledged
// until the log is reopened.
func TestDiskFails(t *testing.T) {
	for _, op := range []string{"write", "sync"} {
		dir, failing := t.TempDir(), false
		opt := Options{OpenFile: func(path string) (File, error) {
			f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
			return &faultyFile{f, func(o string) (float64, error) {
				if failing && o == op {
					return 0.5, syscall.ENOSPC
				}
				return 0, nil
			}}, err
		}}
		l, _ := open(t, dir, opt)
		if _, err := l.Append(ctx, []byte("one")); err != nil {
			t.Fatal(err)
		}
		failing = true
		if _, err := l.Append(ctx, []byte("lost")); err == nil {
			t.Fatalf("%s: append acknowledged on a failing disk", op)
		}
		failing = false
		_, err := l.Append(ctx, []byte("two"))
		if op == "write" && err != nil {
			t.Fatalf("after a full disk: %v", err)
		}
		if op == "sync" && !errors.Is(err, ErrBroken) {
			t.Fatalf("after a failed sync: %v", err)
		}
		l.Close()
		_, got := open(t, dir, opt)
		if op == "write" && (len(got) != 2 || string(got[1]) != "two") {
			t.Fatalf("after a full disk the log holds %q", got)
		}
		if string(got[0]) != "one" {
			t.Fatalf("%s: an acknowledged record is missing: %q", op, got)
		}
	}
}

// TestKilled kills a process (SIGKILL) at each durable step and reopens its log: all
// acknowledged records must be there, whole and in order.
func TestKilled(t *testing.T) {
	if spec := os.Getenv("WAL_KILL"); spec != "" {
		dir, at, _ := strings.Cut(spec, "|")
		left, _ := strconv.Atoi(at)
		var mu sync.Mutex
		l, err := Open(dir, Options{SegmentBytes: 300, Step: func(string) {
			mu.Lock()
			defer mu.Unlock()
			if left--; left < 0 {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}}, Pos{}, func(Pos, []byte) error { return nil })
		if err != nil {
			os.Exit(3)
		}
		for i := range 1000 {
			if _, err := l.Append(ctx, []byte(fmt.Sprintf("%04d first", i)), []byte(fmt.Sprintf("%04d second", i))); err != nil {
				os.Exit(4)
			}
			fmt.Println(i) // the acknowledgement
		}
	}
	for at := range 30 {
		dir := t.TempDir()
		cmd := exec.Command(os.Args[0], "-test.run=^TestKilled$")
		cmd.Env = append(os.Environ(), fmt.Sprintf("WAL_KILL=%s|%d", dir, at))
		out, err := cmd.Output()
		var ended *exec.ExitError
		if !errors.As(err, &ended) || ended.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
			t.Fatalf("step %d: the process was not killed: %v", at, err)
		}
		acked := strings.Count(string(out), "\n")
		_, got := open(t, dir, Options{})
		if len(got) < 2*acked || len(got) > 2*acked+2 {
			t.Fatalf("step %d: %d acknowledged, %d records", at, acked, len(got))
		}
		for i, rec := range got {
			if want := fmt.Sprintf("%04d %s", i/2, []string{"first", "second"}[i%2]); string(rec) != want {
				t.Fatalf("step %d: record %d is %q", at, i, rec)
			}
		}
	}
}

// TestBusyAndClosed: appends beyond MaxPendingBytes must fail at once with ErrBusy,
// accepted ones must all be written, and appends to a closed log must fail.
func TestBusyAndClosed(t *testing.T) {
	hold := make(chan struct{})
	var once sync.Once
	l, _ := open(t, t.TempDir(), Options{MaxPendingBytes: 1000, Step: func(s string) {
		if s == "write" {
			once.Do(func() { <-hold })
		}
	}})
	results := make(chan error, 100)
	send := func() { _, err := l.Append(ctx, make([]byte, 100)); results <- err }
	for range 100 {
		go send()
	}
	const fit = 9 // of 108 bytes each
	for range 100 - fit {
		if err := <-results; !errors.Is(err, ErrBusy) {
			t.Fatalf("%v", err)
		}
	}
	close(hold)
	for range fit {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	if _, err := l.Append(ctx, []byte("x")); !errors.Is(err, ErrClosed) {
		t.Fatalf("append after Close: %v", err)
	}
	if _, err := l.Append(ctx, nil); !errors.Is(err, ErrTooLong) {
		t.Fatalf("append of an empty record: %v", err)
	}
}

// FuzzScan: for any content of a segment, scanRecords must return an end within the data,
// no other error than errTorn, and no empty record.
func FuzzScan(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{3, 0, 0, 0, 1, 2, 3, 4, 'a', 'b', 'c'})
	f.Fuzz(func(t *testing.T, data []byte) {
		end, err := scanRecords(bytes.NewReader(data), 0, func(_ int64, rec []byte) error {
			if len(rec) == 0 {
				t.Fatal("empty record")
			}
			return nil
		})
		if end > int64(len(data)) || (err == nil && end != int64(len(data))) || (err != nil && !errors.Is(err, errTorn)) {
			t.Fatalf("end %d of %d, %v", end, len(data), err)
		}
	})
}

// BenchmarkAppend compares the log with a plain file that is synced after each record.
func BenchmarkAppend(b *testing.B) {
	for _, streams := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("log/%d", streams), func(b *testing.B) {
			l, err := Open(b.TempDir(), Options{}, Pos{}, func(Pos, []byte) error { return nil })
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			rec := make([]byte, 120)
			var wg sync.WaitGroup
			for s := range streams {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := s; i < b.N; i += streams {
						if _, err := l.Append(ctx, rec); err != nil {
							b.Error(err)
						}
					}
				}()
			}
			wg.Wait()
		})
	}
	b.Run("fsync each", func(b *testing.B) {
		f, err := os.Create(filepath.Join(b.TempDir(), "plain"))
		if err != nil {
			b.Fatal(err)
		}
		defer f.Close()
		rec := make([]byte, 120)
		for range b.N {
			if _, err := f.Write(rec); err != nil {
				b.Fatal(err)
			}
			if err := f.Sync(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
