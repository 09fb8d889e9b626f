package blob

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
)

var ctx = context.Background()

func open(t *testing.T, opt Options) *Store {
	t.Helper()
	s, err := Open(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func content(rng *rand.Rand, size int) []byte {
	b := make([]byte, size)
	if rng.IntN(2) == 0 { // packs well
		for i := range b {
			b[i] = byte('a' + i/64%7)
		}
		copy(b, fmt.Sprint(rng.Uint64()))
		return b
	}
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// TestStoreModel compares the store with a plain map while it is filled, collected,
// scrubbed, closed and opened again, now and then without its index.
func TestStoreModel(t *testing.T) {
	type kept struct {
		data    []byte
		tenants map[string]bool
		used    time.Time
	}
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 2))
		now := time.Unix(1e9, 0)
		opt := Options{Dir: t.TempDir(), MaxInline: 2000, Now: func() time.Time { return now }}
		s := open(t, opt)
		want := map[Digest]*kept{}
		refs := map[string][]Digest{}
		tenants := []string{"red", "blue"}
		var all []Digest
		collected := 0
		for step := range 300 {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Second)
			tenant := tenants[rng.IntN(2)]
			switch rng.IntN(14) {
			case 0, 1, 2, 3, 4:
				data := content(rng, rng.IntN(5000))
				if len(all) > 0 && rng.IntN(4) == 0 { // one that was there before
					if k := want[all[rng.IntN(len(all))]]; k != nil {
						data = k.data
					}
				}
				d, err := s.Put(ctx, tenant, data)
				if err != nil {
					t.Fatal(err)
				}
				if want[d] == nil {
					want[d] = &kept{data, map[string]bool{}, now}
					all = append(all, d)
				}
				want[d].tenants[tenant] = true
				if now.Sub(want[d].used) > time.Minute {
					want[d].used = now
				}
			case 5, 6, 7:
				if len(all) == 0 {
					break
				}
				d := all[rng.IntN(len(all))]
				got, err := s.Get(tenant, d, 1<<20)
				k := want[d]
				switch {
				case k != nil && k.tenants[tenant]:
					if err != nil || !bytes.Equal(got, k.data) {
						t.Fatalf("seed %d step %d: %s: %v", seed, step, d, err)
					}
					if now.Sub(k.used) > time.Minute {
						k.used = now
					}
				case k != nil:
					if !errors.Is(err, ErrTenant) {
						t.Fatalf("seed %d: another tenant's blob: %v", seed, err)
					}
				case !errors.Is(err, ErrNotFound):
					t.Fatalf("seed %d: collected blob: %v", seed, err)
				}
			case 8:
				name := fmt.Sprint("ref", rng.IntN(4))
				var ds []Digest
				for d, k := range want {
					if k.tenants[tenant] && rng.IntN(5) == 0 {
						ds = append(ds, d)
						if now.Sub(k.used) > time.Minute {
							k.used = now
						}
					}
				}
				if err := s.SetRef(ctx, tenant, name, ds...); err != nil {
					t.Fatal(err)
				}
				refs[name] = ds
			case 9:
				name := fmt.Sprint("ref", rng.IntN(4))
				if err := s.DropRef(ctx, name); err != nil {
					t.Fatal(err)
				}
				delete(refs, name)
			case 10:
				age := time.Duration(rng.IntN(2000)) * time.Second
				held := map[Digest]bool{}
				for _, ds := range refs {
					for _, d := range ds {
						held[d] = true
					}
				}
				gone := 0
				for d, k := range want {
					if !held[d] && k.used.Unix() <= now.Add(-age).Unix() {
						delete(want, d)
						gone++
					}
				}
				if n, _, err := s.Collect(ctx, age); err != nil || n != gone {
					t.Fatalf("seed %d step %d: collected %d, %d had to go: %v", seed, step, n, gone, err)
				}
				collected += gone
			case 11:
				if f, err := s.Scrub(ctx, 1e12); err != nil || f.Bad != 0 || f.Blobs != len(want) {
					t.Fatalf("seed %d: scrubbed %+v of %d: %v", seed, f, len(want), err)
				}
			default:
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				if rng.IntN(3) == 0 {
					if err := os.Remove(filepath.Join(opt.Dir, "index")); err != nil {
						t.Fatal(err)
					}
					for _, k := range want { // made again now
						k.used = now
					}
				}
				s = open(t, opt)
			}
			if rng.IntN(20) == 0 {
				var size int64
				_ = s.checkpoint()
				st := s.Stats()
				if st.Blobs != len(want) {
					t.Fatalf("seed %d step %d: %d blobs, plainly %d", seed, step, st.Blobs, len(want))
				}
				for d, k := range want {
					if e := s.lookup(d.key()); e == nil || len(e.tenants) != len(k.tenants) {
						t.Fatalf("seed %d step %d: entry %+v", seed, step, e)
					} else {
						size += e.stored
					}
				}
				if size != st.Bytes {
					t.Fatalf("seed %d step %d: quota counts %d bytes, the blobs take %d", seed, step, st.Bytes, size)
				}
			}
		}
		if collected == 0 {
			t.Fatalf("seed %d: nothing was collected", seed)
		}
	}
}

// TestKilled ends the process for good at each durable step. What was said to be
// there is, whole; nothing else is visible but whole blobs; references that were
// acknowledged hold.
func TestKilled(t *testing.T) {
	sizes := []int{100, 30000, 1500, 80000}
	if spec := os.Getenv("BLOB_KILL"); spec != "" {
		dir, at, _ := strings.Cut(spec, "|")
		left, _ := strconv.Atoi(at)
		var mu sync.Mutex
		s, err := Open(Options{Dir: dir, MaxInline: 2000, Step: func(string) {
			mu.Lock()
			defer mu.Unlock()
			if left--; left < 0 {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}})
		if err != nil {
			os.Exit(3)
		}
		rng := rand.New(rand.NewPCG(7, 7))
		for i := 0; ; i++ {
			d, err := s.Put(ctx, "red", content(rng, sizes[i%len(sizes)]))
			if err != nil {
				os.Exit(4)
			}
			fmt.Println("blob", d)
			if err := s.SetRef(ctx, "red", fmt.Sprint(i), d); err != nil {
				os.Exit(5)
			}
			fmt.Println("ref", d)
		}
	}
	for at := range 40 {
		dir := t.TempDir()
		cmd := exec.Command(os.Args[0], "-test.run=^TestKilled$")
		cmd.Env = append(os.Environ(), fmt.Sprintf("BLOB_KILL=%s|%d", dir, at))
		out, err := cmd.Output()
		var ended *exec.ExitError
		if !errors.As(err, &ended) || ended.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
			t.Fatalf("step %d: the process ended by itself: %v", at, err)
		}
		if at%2 == 1 { // and the index is lost with it
			_ = os.Remove(filepath.Join(dir, "index"))
		}
		s := open(t, Options{Dir: dir, MaxInline: 2000, Now: func() time.Time { return time.Now().Add(48 * time.Hour) }})
		acked, refs := 0, 0
		for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
			kind, name, ok := strings.Cut(line, " ")
			if !ok {
				continue
			}
			d, err := Parse(name)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.Get("red", d, 1<<20); err != nil {
				t.Fatalf("step %d: acknowledged %s %s: %v", at, kind, d, err)
			}
			if kind == "blob" {
				acked++
			} else if _, ds, ok := s.Ref(fmt.Sprint(refs)); !ok || ds[0] != d {
				t.Fatalf("step %d: acknowledged reference %d: %v %v", at, refs, ds, ok)
			} else {
				refs++
			}
		}
		f, err := s.Scrub(ctx, 1e12)
		if err != nil || f.Bad != 0 || f.Blobs < acked || f.Blobs > acked+1 {
			t.Fatalf("step %d: %d acknowledged, scrub %+v, %v", at, acked, f, err)
		}
		if _, _, err := s.Collect(ctx, 0); err != nil {
			t.Fatal(err)
		}
		if st := s.Stats(); st.Blobs < refs {
			t.Fatalf("step %d: %d references, %d blobs left", at, refs, st.Blobs)
		}
		s.Close()
	}
}

// TestUploads: pieces that are repeated or overlap have no second effect, a gap is
// refused with what is wanted, an upload goes on after a restart, and nothing is
// visible before it was verified.
func TestUploads(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	now := time.Unix(1e9, 0)
	opt := Options{Dir: t.TempDir(), MaxInline: 1000, MaxUploads: 3, Now: func() time.Time { return now }}
	s := open(t, opt)
	data := content(rng, 10000)
	d := DigestOf(data)
	u, done, err := s.Begin("red", d)
	if err != nil || done {
		t.Fatal(done, err)
	}
	for _, x := range []struct {
		at, n int
		want  error
	}{{0, 4000, nil}, {0, 4000, nil}, {2000, 3000, nil}, {6000, 10, ErrOffset}, {-1, 10, ErrOffset}} {
		p := data[max(0, x.at):][:x.n]
		if err := u.Write(int64(x.at), p); !errors.Is(err, x.want) {
			t.Fatalf("%d bytes at %d: %v", x.n, x.at, err)
		}
	}
	if err := u.Commit(ctx); !errors.Is(err, ErrOffset) || u.Offset() != 5000 {
		t.Fatalf("committed half an upload: %v at %d", err, u.Offset())
	}
	if s.Has("red", d) {
		t.Fatal("visible before it is whole")
	}
	s.Close()
	s = open(t, opt)
	if _, err := s.Resume("blue", u.ID()); !errors.Is(err, ErrUpload) {
		t.Fatalf("another tenant goes on with an upload: %v", err)
	}
	u, err = s.Resume("red", u.ID())
	if err != nil || u.Offset() != 5000 {
		t.Fatalf("after a restart: %v", err)
	}
	if err := u.Write(4000, data[4000:]); err != nil {
		t.Fatal(err)
	}
	if err := u.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Get("red", d, 1<<20); err != nil || !bytes.Equal(got, data) {
		t.Fatal(err)
	}
	if r, err := s.Open("red", d, 9990); err != nil {
		t.Fatal(err)
	} else if rest, _ := io.ReadAll(r); !bytes.Equal(rest, data[9990:]) {
		t.Fatal("wrong rest")
	} else {
		r.Close()
	}
	// Wrong content, too much of it, too many at a time, and one that is given up.
	bad := DigestOf(content(rng, 5000))
	for range 2 {
		u, _, err := s.Begin("red", bad)
		if err != nil {
			t.Fatal(err)
		}
		if err := u.Write(0, make([]byte, 5001)); !errors.Is(err, ErrMismatch) {
			t.Fatalf("more than announced: %v", err)
		}
		if err := u.Write(0, make([]byte, 5000)); err != nil {
			t.Fatal(err)
		}
		if err := u.Commit(ctx); !errors.Is(err, ErrMismatch) {
			t.Fatalf("wrong content: %v", err)
		}
		if err := u.Commit(ctx); !errors.Is(err, ErrUpload) {
			t.Fatalf("after that: %v", err)
		}
	}
	for range 3 {
		if _, _, err := s.Begin("red", bad); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := s.Begin("red", bad); !errors.Is(err, ErrBusy) {
		t.Fatalf("a fourth upload: %v", err)
	}
	now = now.Add(2 * time.Hour)
	s.dropAbandoned()
	if st := s.Stats(); st.Uploads != 0 || s.reservedBytes[""] != 0 {
		t.Fatalf("abandoned uploads stay: %+v, %d bytes held", st, s.reservedBytes[""])
	}
	if left, err := os.ReadDir(filepath.Join(opt.Dir, "uploads")); err != nil || len(left) != 0 {
		t.Fatalf("files left over: %v %v", left, err)
	}
}

// TestQuotas: what does not fit is refused with when to come back, by tenant and in
// all; what must not fail has a reserve; collecting makes room again.
func TestQuotas(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 3))
	s := open(t, Options{Dir: t.TempDir(), Quota: 100000, Reserve: 20000, MaxInline: 1000,
		TenantQuota: func(tenant string) int64 { return map[string]int64{"loud": 30000}[tenant] }})
	random := func(n int) []byte {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		return b
	}
	put := func(tenant string, n int, c ...UploadOption) *FullError {
		_, err := s.Put(ctx, tenant, random(n), c...)
		var full *FullError
		if err != nil && !errors.As(err, &full) {
			t.Fatal(err)
		}
		return full
	}
	if f := put("loud", 25000); f != nil {
		t.Fatal(f)
	}
	if f := put("loud", 10000); f == nil || f.Tenant != "loud" || f.Free != 5000 || f.Retry <= 0 {
		t.Fatalf("beyond a tenant's quota: %v", f)
	}
	if f := put("quiet", 50000); f != nil {
		t.Fatalf("a loud tenant fills the disk of others: %v", f)
	}
	if f := put("quiet", 10000); f == nil || f.Tenant != "" || f.Free != 5000 {
		t.Fatalf("beyond the store's quota: %v", f)
	}
	if f := put("quiet", 15000, UseReserve); f != nil {
		t.Fatalf("the reserve: %v", f)
	}
	if f := put("quiet", 15000, UseReserve); f == nil {
		t.Fatal("beyond the reserve")
	}
	if n, _, err := s.Collect(ctx, -time.Hour); err != nil || n != 3 {
		t.Fatal(n, err)
	}
	if f := put("loud", 25000); f != nil {
		t.Fatalf("after collecting: %v", f)
	}
}

// TestTenants: who knows a digest has no right to the content; who shows the content
// has, without a second copy.
func TestTenants(t *testing.T) {
	s := open(t, Options{Dir: t.TempDir()})
	for _, size := range []int{10, 100000} {
		data := content(rand.New(rand.NewPCG(3, uint64(size))), size)
		d, err := s.Put(ctx, "red", data)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Open("blue", d, 0); !errors.Is(err, ErrTenant) {
			t.Fatalf("guessed digest: %v", err)
		}
		if m := s.Missing("blue", []Digest{d}); len(m) != 1 {
			t.Fatal("a tenant learns what others have")
		}
		if err := s.SetRef(ctx, "blue", "x", d); !errors.Is(err, ErrNotFound) {
			t.Fatalf("a reference to another tenant's blob: %v", err)
		}
		before := s.Stats().Bytes
		if _, err := s.Put(ctx, "blue", data); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Get("blue", d, 1<<20); err != nil || s.Stats().Bytes != before {
			t.Fatalf("%v, %d bytes and then %d", err, before, s.Stats().Bytes)
		}
	}
}

// TestCollectKeepsOpenBlobs: neither a reader nor an upload loses what it has open to a collection,
// and a blob that is asked for is not collected before its age.
func TestCollectKeepsOpenBlobs(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := open(t, Options{Dir: t.TempDir(), MaxInline: 1000, Now: func() time.Time { return now }})
	for _, size := range []int{500, 50000} {
		data := content(rand.New(rand.NewPCG(4, uint64(size))), size)
		d, err := s.Put(ctx, "red", data)
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Hour)
		if m := s.Missing("red", []Digest{d}); len(m) != 0 {
			t.Fatal("missing")
		}
		if n, _, err := s.Collect(ctx, 30*time.Minute); n != 0 || err != nil {
			t.Fatalf("%d collected right after they were asked for, %v", n, err)
		}
		now = now.Add(time.Hour)
		r, err := s.Open("red", d, 0)
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Hour)
		if n, _, err := s.Collect(ctx, 0); n != 0 || err != nil {
			t.Fatalf("%d collected from under a reader, %v", n, err)
		}
		if got, err := io.ReadAll(r); err != nil || !bytes.Equal(got, data) {
			t.Fatal(err)
		}
		r.Close()
		u, _, err := s.Begin("blue", d)
		if err != nil {
			t.Fatal(err)
		}
		if n, _, err := s.Collect(ctx, 0); n != 0 || err != nil {
			t.Fatalf("%d collected under an upload of the same, %v", n, err)
		}
		u.Abort()
		if n, _, err := s.Collect(ctx, 0); n != 1 || err != nil {
			t.Fatalf("%d collected that nobody holds, %v", n, err)
		}
	}
}

// TestCorruption turns one bit of a blob on the disk, or cuts its file short, or removes it:
// a scrub finds it, a replica repairs it, without one it counts as missing and can
// be uploaded again. Its good neighbours stay as they are.
func TestCorruption(t *testing.T) {
	for _, how := range []string{"bit", "cut", "gone"} {
		for _, replica := range []bool{true, false} {
			data := content(rand.New(rand.NewPCG(5, 1)), 60001)
			var good []byte
			opt := Options{Dir: t.TempDir(), MaxInline: 1000, Repair: func(context.Context, Digest) (io.ReadCloser, error) {
				if good == nil {
					return nil, io.EOF
				}
				return io.NopCloser(bytes.NewReader(good)), nil
			}}
			s := open(t, opt)
			d, err := s.Put(ctx, "red", data)
			if err != nil {
				t.Fatal(err)
			}
			other, err := s.Put(ctx, "red", []byte("a neighbour"))
			if err != nil {
				t.Fatal(err)
			}
			path := s.objectPath(d)
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			switch how {
			case "bit":
				raw[len(raw)/2] ^= 1
				err = os.WriteFile(path, raw, 0o600)
			case "cut":
				err = os.Truncate(path, int64(len(raw)-1))
			case "gone":
				err = os.Remove(path)
			}
			if err != nil {
				t.Fatal(err)
			}
			if replica {
				good = data
			}
			if _, err := s.Get("red", d, 1<<20); !errors.Is(err, ErrCorrupt) {
				t.Fatalf("%s: read %v", how, err)
			}
			f, err := s.Scrub(ctx, 1e12)
			if err != nil || f.Bad != 1 || (f.Repaired == 1) != replica || (len(f.Unrepaired) == 0) != replica {
				t.Fatalf("%s, replica %v: %+v, %v", how, replica, f, err)
			}
			if s.Has("red", d) != replica {
				t.Fatalf("%s, replica %v: here: %v", how, replica, s.Has("red", d))
			}
			if _, err := s.Put(ctx, "red", data); err != nil {
				t.Fatal(err)
			}
			s.Close()
			s = open(t, opt)
			if got, err := s.Get("red", d, 1<<20); err != nil || !bytes.Equal(got, data) {
				t.Fatalf("%s, replica %v: after mending %v", how, replica, err)
			}
			if _, err := s.Get("red", other, 100); err != nil {
				t.Fatalf("%s: neighbour: %v", how, err)
			}
		}
	}
}

// TestFullDisk: the disk refuses a piece in the middle; the upload goes on once
// there is room, and what went out before is not written twice.
func TestFullDisk(t *testing.T) {
	full := false
	opt := Options{Dir: t.TempDir(), MaxInline: 100, OpenFile: func(p string) (File, error) {
		f, err := os.OpenFile(p, os.O_RDWR|os.O_CREATE, 0o600)
		return &fullFile{f, &full}, err
	}}
	s := open(t, opt)
	data := content(rand.New(rand.NewPCG(6, 1)), 9000)
	u, _, err := s.Begin("red", DigestOf(data))
	if err != nil {
		t.Fatal(err)
	}
	if err := u.Write(0, data[:4000]); err != nil {
		t.Fatal(err)
	}
	full = true
	if err := u.Write(4000, data[4000:]); !errors.Is(err, syscall.ENOSPC) || u.Offset() != 4000 {
		t.Fatalf("%v at %d", err, u.Offset())
	}
	full = false
	if err := u.Write(4000, data[4000:]); err != nil {
		t.Fatal(err)
	}
	if err := u.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Get("red", DigestOf(data), 1<<20); err != nil || !bytes.Equal(got, data) {
		t.Fatal(err)
	}
}

type fullFile struct {
	*os.File
	full *bool
}

func (f *fullFile) WriteAt(p []byte, off int64) (int, error) {
	if *f.full {
		n, _ := f.File.WriteAt(p[:len(p)/2], off)
		return n, syscall.ENOSPC
	}
	return f.File.WriteAt(p, off)
}

// FuzzRecord: no record of the log, however bad, is taken for what it is not.
func FuzzRecord(f *testing.F) {
	r := &record{kind: recRef, digest: DigestOf([]byte("x")), tenant: "t", name: "n", keys: []string{DigestOf(nil).key()}, data: []byte("d")}
	f.Add(r.encode())
	e := entry{codec: codecZstd, inline: true, stored: 9, lastUsed: 8, tenants: []string{"a", "b"}}
	f.Add(e.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := decodeRecord(b); err == nil {
			again, err := decodeRecord(r.encode())
			if err != nil || again.name != r.name || again.tenant != r.tenant || !bytes.Equal(again.data, r.data) {
				t.Fatalf("%+v became %+v, %v", r, again, err)
			}
		}
		if e, err := decodeEntry(b); err == nil {
			if again, err := decodeEntry(e.encode()); err != nil || again.pos != e.pos || again.refs != e.refs {
				t.Fatalf("%+v became %+v, %v", e, again, err)
			}
		}
		if d, err := Parse(string(b)); err == nil && d.String() != string(b) {
			t.Fatalf("%q became %s", b, d)
		}
	})
}

// TestDecompressionBomb: content that unpacks to far more than its digest says, put under a blob's
// file, is told of as rotten after little more than the blob's size was read; and what is
// packed well takes the room that its sender named only until it is in.
func TestDecompressionBomb(t *testing.T) {
	s := open(t, Options{Dir: t.TempDir(), MaxInline: 1000, Quota: 1 << 20})
	d, err := s.Put(ctx, "red", bytes.Repeat([]byte("line of a log\n"), 10_000))
	if err != nil {
		t.Fatal(err)
	}
	if used := s.Stats().Bytes; used > 20_000 {
		t.Errorf("%d bytes taken", used)
	}
	var bomb bytes.Buffer
	z, err := zstd.NewWriter(&bomb)
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		if _, err := z.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(s.objectPath(d), bomb.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	if b, err := s.Get("red", d, 1<<20); !errors.Is(err, ErrCorrupt) || len(b) > 0 {
		t.Errorf("%d bytes, %v", len(b), err)
	}
	if f, err := s.Scrub(ctx, 1e12); err != nil || f.Bad != 1 {
		t.Errorf("%+v %v", f, err)
	}
	var full *FullError
	if _, _, err := s.Begin("red", Digest{Size: 1 << 40}); !errors.As(err, &full) {
		t.Errorf("a terabyte was let begin: %v", err)
	}
}

// TestDropAbandonedWhileCommitting: uploads are committed while abandoned ones are looked for. The
// two once waited for each other's locks, and a keeper stood still for good.
func TestDropAbandonedWhileCommitting(t *testing.T) {
	s, err := Open(Options{Dir: t.TempDir(), MaxInline: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for w := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 25 {
				if _, err := s.Put(ctx, "red", fmt.Appendf(nil, "%d of %d", i, w)); err != nil {
					t.Error(err)
				}
			}
		}()
	}
	dropped := make(chan struct{})
	go func() {
		defer close(dropped)
		for {
			select {
			case <-stop:
				return
			default:
				s.dropAbandoned()
			}
		}
	}()
	wg.Wait()
	close(stop)
	<-dropped
	if n := len(s.uploads); n > 0 {
		t.Errorf("%d uploads are left open", n)
	}
}

// BenchmarkPut sets the store beside a plain file each, synced and not; the store
// verifies and indexes what it takes.
func BenchmarkPut(b *testing.B) {
	for _, size := range []int{1000, 1 << 20} {
		rng := rand.New(rand.NewPCG(1, 1))
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("store/%d/%d callers", size, callers), func(b *testing.B) {
				s, err := Open(Options{Dir: b.TempDir()})
				if err != nil {
					b.Fatal(err)
				}
				defer s.Close()
				b.SetBytes(int64(size))
				var wg sync.WaitGroup
				for c := range callers {
					wg.Add(1)
					go func() {
						defer wg.Done()
						p := bytes.Clone(data)
						for i := c; i < b.N; i += callers {
							copy(p, strconv.Itoa(i)+" ")
							if _, err := s.Put(ctx, "red", p); err != nil {
								b.Error(err)
							}
						}
					}()
				}
				wg.Wait()
			})
		}
		for _, synced := range []bool{true, false} {
			b.Run(fmt.Sprintf("plain files/%d/synced %v", size, synced), func(b *testing.B) {
				dir := b.TempDir()
				b.SetBytes(int64(size))
				for i := range b.N {
					f, err := os.Create(filepath.Join(dir, strconv.Itoa(i)))
					if err != nil {
						b.Fatal(err)
					}
					_, err = f.Write(data)
					if synced {
						err = errors.Join(err, f.Sync())
					}
					if err := errors.Join(err, f.Close()); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkOpen opens a store that was closed in order, by its number of blobs.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{10_000, 1_000_000} {
		dir := b.TempDir()
		s, err := Open(Options{Dir: dir})
		if err != nil {
			b.Fatal(err)
		}
		var wg sync.WaitGroup
		for c := range 64 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := c; i < n; i += 64 {
					if _, err := s.Put(ctx, "red", []byte(strconv.Itoa(i))); err != nil {
						b.Error(err)
					}
				}
			}()
		}
		wg.Wait()
		if err := s.Close(); err != nil {
			b.Fatal(err)
		}
		for _, index := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d blobs/index %v", n, index), func(b *testing.B) {
				for range b.N {
					if !index {
						_ = os.Remove(filepath.Join(dir, "index"))
					}
					s, err := Open(Options{Dir: dir})
					if err != nil {
						b.Fatal(err)
					}
					s.Close()
				}
			})
		}
	}
}
