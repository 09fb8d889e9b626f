package snapshot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"time"

	"topazhollow/internal/simulation"
	"topazhollow/internal/wal"
)

// TestArchiveModel compares an archive with a list of states under random copies, changes
// and prunes. The disk fails at a random step, after which the archive is reopened as after
// a kill. Every acknowledged state must be readable at its revision, an incomplete copy must
// be ignored, and pruning must keep the newest copy.
func TestArchiveModel(t *testing.T) {
	ctx := t.Context()
	failed, pruned := 0, 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 5))
		dir := t.TempDir()
		left := 1 << 30 // steps until the disk fails
		opt := Options{WAL: wal.Options{SegmentBytes: 2000, OpenFile: func(path string) (wal.File, error) {
			f, err := wal.OpenFile(path)
			return &failingFile{File: f, left: &left}, err
		}}}
		a, err := Open(dir, opt)
		if err != nil {
			t.Fatal(err)
		}
		type kept struct {
			id       uint64
			revision uint64
			keys     map[string]string
		}
		var model []kept
		keys, id, revision := map[string]Entry{}, uint64(0), uint64(0)
		state := func() map[string]string {
			m := map[string]string{}
			for k, e := range keys {
				m[k] = string(e.Value)
			}
			return m
		}
		for range 60 {
			if rng.IntN(15) == 0 {
				left = rng.IntN(4)
			}
			before := state()
			var err error
			switch {
			case id == 0 || rng.IntN(8) == 0:
				var made uint64
				if made, err = a.PutCopy(ctx, keys, revision, time.UnixMilli(int64(revision))); err == nil {
					id = made
				}
			case rng.IntN(12) == 0:
				var dropped []uint64
				if dropped, err = a.Prune(time.UnixMilli(int64(revision) - 20)); err == nil {
					pruned += len(dropped)
					for len(model) > 0 && len(dropped) > 0 && model[0].id <= dropped[len(dropped)-1] {
						model = model[1:]
					}
				}
			default:
				revision++
				e := Entry{Key: fmt.Sprint("k", rng.IntN(9)), Value: []byte(fmt.Sprint(rng.IntN(1000))), Version: revision}
				if e.Deleted = rng.IntN(3) == 0; e.Deleted {
					e.Value = nil
				}
				if err = a.AppendChanges(ctx, id, revision-1, revision, []Entry{e}, time.UnixMilli(int64(revision))); err == nil {
					apply(keys, e)
				} else {
					revision--
				}
			}
			if err != nil { // reopen as after a kill, and make a new full copy
				failed++
				left = 1 << 30
				_ = a.Close()
				if a, err = Open(dir, opt); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				id = 0
				if !reflect.DeepEqual(before, state()) {
					t.Fatalf("seed %d: the model changed", seed)
				}
				continue
			}
			if id != 0 {
				model = append(model, kept{id, revision, state()})
			}
		}
		reader, err := Open(dir, Options{ReadOnly: true}) // while the writer has it open
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range model {
			got, rev, err := reader.Load(m.id, m.revision)
			if m.revision == 0 {
				got, rev, err = reader.Load(m.id, 0)
			}
			if err != nil || m.revision != 0 && rev != m.revision {
				t.Fatalf("seed %d: copy %d at %d: revision %d, %v", seed, m.id, m.revision, rev, err)
			}
			plain := map[string]string{}
			for k, e := range got {
				plain[k] = string(e.Value)
			}
			if m.revision != 0 && !reflect.DeepEqual(plain, m.keys) {
				t.Fatalf("seed %d: copy %d at revision %d is %v, want %v", seed, m.id, m.revision, plain, m.keys)
			}
		}
		if _, _, err := reader.Verify(); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(dir, Options{}); !errors.Is(err, ErrInUse) {
			t.Fatalf("a second writer: %v", err)
		}
		_, _ = reader.Close(), a.Close()
	}
	if failed < 20 || pruned < 20 {
		t.Fatalf("%d failures and %d pruned copies, want at least 20 each", failed, pruned)
	}
}

// failingFile is a file on a disk that fails for good after a number of steps.
type failingFile struct {
	wal.File
	left *int
}

func (f *failingFile) WriteAt(p []byte, off int64) (int, error) {
	if *f.left--; *f.left < 0 {
		n, _ := f.File.WriteAt(p[:len(p)/2], off) // partial write
		return n, io.ErrShortWrite
	}
	return f.File.WriteAt(p, off)
}

func (f *failingFile) Truncate(size int64) error {
	if *f.left < 0 {
		return io.ErrShortWrite
	}
	return f.File.Truncate(size)
}

func (f *failingFile) Sync() error {
	if *f.left--; *f.left < 0 {
		return io.ErrShortWrite
	}
	return f.File.Sync()
}

// TestFollowerKeepsCopyBeforeLoss: the service is rolled back, loses everything or loses some
// keys without a change, while it is followed or between two followers. The copy from before
// the loss must be kept and be readable, also after the next copy and a prune.
func TestFollowerKeepsCopyBeforeLoss(t *testing.T) {
	for name, lose := range map[string]func(*simulation.KVStore, simulation.StoreSnapshot){
		"back": func(s *simulation.KVStore, old simulation.StoreSnapshot) { s.RollBack(old) },
		"all":  func(s *simulation.KVStore, _ simulation.StoreSnapshot) { s.LoseAll() },
		"keys": func(s *simulation.KVStore, _ simulation.StoreSnapshot) { s.LosePrefix("f/job-00000") },
	} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/restarted=%t", name, restarted), func(t *testing.T) {
				t.Parallel()
				s, err := simulation.NewKVStore(16, 16)
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				put := func(i int) { s.Put(fmt.Sprintf("f/job-%06d", i), `{"state":"done","tasks":1,"team":"red"}`) }
				for i := range 20 {
					put(i)
				}
				old := s.Snapshot()
				set := DefaultConfig()
				set.State, set.Dir, set.RPS, set.FullEvery = s.Addr(), filepath.Join(t.TempDir(), "a"), 200, 0.01
				var a *Archive
				follow := func() (stop func()) {
					if a, err = Open(set.Dir, Options{}); err != nil {
						t.Fatal(err)
					}
					ctx, cancel := context.WithCancel(t.Context())
					ended := make(chan error, 1)
					go func() { ended <- NewFollower(set, a, slog.New(slog.DiscardHandler)).Run(ctx) }()
					return func() {
						cancel()
						if err := <-ended; err != nil {
							t.Error(err)
						}
						a.Close()
					}
				}
				until := func(what string, holds func() bool) {
					t.Helper()
					for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
						if time.Now().After(end) {
							t.Fatalf("timeout waiting for %s: %+v", what, a.Copies())
						}
					}
				}
				has := func(n int) func() bool {
					return func() bool {
						c, ok := a.Latest()
						if !ok {
							return false
						}
						keys, _, err := a.Load(c.ID, 0)
						return err == nil && len(keys) == n
					}
				}
				stop := follow()
				until("the first copy", has(20))
				for i := 20; i < 30; i++ {
					put(i)
				}
				until("the changes", has(30))
				if restarted {
					stop()
				}
				lose(s, old)
				if restarted {
					stop = follow()
				}
				defer stop()
				var lost Copy
				until("detection of the loss", func() bool {
					for _, c := range a.Copies() {
						if c.LossReason != "" {
							lost = c
						}
					}
					return lost.ID != 0
				})
				until("a copy after the loss", func() bool { c, _ := a.Latest(); return c.ID > lost.ID })
				if _, err := a.Prune(time.Now().Add(time.Hour)); err != nil {
					t.Fatal(err)
				}
				if keys, _, err := a.Load(lost.ID, 0); err != nil || len(keys) != 30 {
					t.Fatalf("%d keys in the copy from before the loss, %v", len(keys), err)
				}
			})
		}
	}
}

// TestFollowerOnAFullDisk: the disk becomes full at different points while the service is
// followed. The follower must end with an error rather than continue with missing changes,
// the copies it wrote must be readable, and once there is space, the next follower must
// continue and detect what the service lost meanwhile.
func TestFollowerOnAFullDisk(t *testing.T) {
	stopped := 0
	for _, room := range []int64{100, 900, 1500, 2500, 4000} {
		s, err := simulation.NewKVStore(16, 16)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		put := func(i int) { s.Put(fmt.Sprintf("f/job-%06d", i), `{"state":"done","tasks":1,"team":"red"}`) }
		for i := range 10 {
			put(i)
		}
		set := DefaultConfig()
		set.State, set.Dir, set.RPS = s.Addr(), filepath.Join(t.TempDir(), "a"), 500
		left := room
		a, err := Open(set.Dir, Options{WAL: wal.Options{OpenFile: func(path string) (wal.File, error) {
			f, err := wal.OpenFile(path)
			return &boundedFile{File: f, left: &left}, err
		}}})
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { ended <- NewFollower(set, a, slog.New(slog.DiscardHandler)).Run(ctx) }()
		known := 10
		for full := false; !full; known++ {
			put(known)
			select {
			case err := <-ended:
				if !errors.Is(err, errArchive) || !errors.Is(err, syscall.ENOSPC) {
					t.Fatalf("room %d: %v", room, err)
				}
				full = true
				stopped++
			case <-time.After(5 * time.Millisecond):
			}
			if known > 2000 {
				t.Fatalf("room %d: the disk did not become full", room)
			}
		}
		cancel()
		last, copied := a.Latest()
		_ = a.Close()
		if a, err = Open(set.Dir, Options{}); err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		if copied {
			if keys, rev, err := a.Load(last.ID, last.LastRevision); err != nil || rev != last.LastRevision || uint64(len(keys)) != last.LastRevision {
				t.Fatalf("room %d: %d keys at %d of %d, %v", room, len(keys), rev, last.LastRevision, err)
			}
		}
		s.LosePrefix("f/job-00000") // while no follower runs
		ctx, cancel = context.WithCancel(t.Context())
		go func() { ended <- NewFollower(set, a, slog.New(slog.DiscardHandler)).Run(ctx) }()
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			now, ok := a.Latest()
			noticed := !copied
			for _, c := range a.Copies() {
				noticed = noticed || c.ID == last.ID && c.LossReason != ""
			}
			if ok && noticed && now.ID != last.ID {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("room %d: the next follower did not continue: %+v", room, a.Copies())
			}
		}
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	if stopped != 5 {
		t.Fatalf("%d of 5 disks became full", stopped)
	}
}

// boundedFile is a file on a disk with a limited number of bytes left.
type boundedFile struct {
	wal.File
	left *int64
}

func (f *boundedFile) WriteAt(p []byte, off int64) (int, error) {
	if *f.left -= int64(len(p)); *f.left < 0 {
		n, _ := f.File.WriteAt(p[:max(0, int64(len(p))+*f.left)], off) // what fits
		*f.left = 0
		return n, syscall.ENOSPC
	}
	return f.File.WriteAt(p, off)
}
