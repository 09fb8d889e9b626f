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
	if rng.IntN(2) == 0 { // compresses well
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

// TestStoreModel compares the store with a map under random uploads, reads, references,
// collections, scrubs and restarts, some of them without the index.
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
				if len(all) > 0 && rng.IntN(4) == 0 { // upload an existing blob again
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
						t.Fatalf("seed %d: read of another tenant's blob: %v", seed, err)
					}
				case !errors.Is(err, ErrNotFound):
					t.Fatalf("seed %d: read of a collected blob: %v", seed, err)
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
					t.Fatalf("seed %d step %d: collected %d, want %d: %v", seed, step, n, gone, err)
				}
				collected += gone
			case 11:
				if f, err := s.Scrub(ctx, 1e12); err != nil || f.Bad != 0 || f.Blobs != len(want) {
					t.Fatalf("seed %d: scrub found %+v, want %d blobs: %v", seed, f, len(want), err)
				}
			default:
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				if rng.IntN(3) == 0 {
					if err := os.Remove(filepath.Join(opt.Dir, "index")); err != nil {
						t.Fatal(err)
					}
					for _, k := range want { // in a rebuilt index all blobs count as used now
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
					t.Fatalf("seed %d step %d: %d blobs, want %d", seed, step, st.Blobs, len(want))
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

// TestKilled kills a process at each durable step and reopens its store. Acknowledged
// blobs and references must be there, all visible blobs must be intact, and a collection
// must keep the referenced ones.
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
			t.Fatalf("step %d: the process was not killed: %v", at, err)
		}
		if at%2 == 1 { // also lose the index
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
				t.Fatalf("step %d: read of acknowledged %s %s: %v", at, kind, d, err)
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
			t.Fatalf("step %d: %d blobs acknowledged, scrub found %+v, %v", at, acked, f, err)
		}
		if _, _, err := s.Collect(ctx, 0); err != nil {
			t.Fatal(err)
		}
		if st := s.Stats(); st.Blobs < refs {
			t.Fatalf("step %d: %d references, %d blobs after a collection", at, refs, st.Blobs)
		}
		s.Close()
	}
}

// TestUploads: repeated and overlapping writes must have no further effect, a gap must be
// rejected, an upload must continue after a restart, and nothing may be visible before it
// was verified.
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
		t.Fatalf("commit of an incomplete upload: %v at %d", err, u.Offset())
	}
	if s.Has("red", d) {
		t.Fatal("blob visible before its upload is complete")
	}
	s.Close()
	s = open(t, opt)
	if _, err := s.Resume("blue", u.ID()); !errors.Is(err, ErrUpload) {
		t.Fatalf("upload resumed by another tenant: %v", err)
	}
	u, err = s.Resume("red", u.ID())
	if err != nil || u.Offset() != 5000 {
		t.Fatalf("resume after a restart: %v", err)
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
		t.Fatal("wrong content at an offset")
	} else {
		r.Close()
	}
	// Wrong content, too much content, too many uploads at a time, and abandoned ones.
	bad := DigestOf(content(rng, 5000))
	for range 2 {
		u, _, err := s.Begin("red", bad)
		if err != nil {
			t.Fatal(err)
		}
		if err := u.Write(0, make([]byte, 5001)); !errors.Is(err, ErrMismatch) {
			t.Fatalf("write beyond the size: %v", err)
		}
		if err := u.Write(0, make([]byte, 5000)); err != nil {
			t.Fatal(err)
		}
		if err := u.Commit(ctx); !errors.Is(err, ErrMismatch) {
			t.Fatalf("commit of wrong content: %v", err)
		}
		if err := u.Commit(ctx); !errors.Is(err, ErrUpload) {
			t.Fatalf("commit of an ended upload: %v", err)
		}
	}
	for range 3 {
		if _, _, err := s.Begin("red", bad); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := s.Begin("red", bad); !errors.Is(err, ErrBusy) {
		t.Fatalf("upload beyond MaxUploads: %v", err)
	}
	now = now.Add(2 * time.Hour)
	s.dropAbandoned()
	if st := s.Stats(); st.Uploads != 0 || s.reservedBytes[""] != 0 {
		t.Fatalf("after dropping abandoned uploads: %+v, %d bytes reserved", st, s.reservedBytes[""])
	}
	if left, err := os.ReadDir(filepath.Join(opt.Dir, "uploads")); err != nil || len(left) != 0 {
		t.Fatalf("remaining upload files: %v %v", left, err)
	}
}

// TestQuotas: uploads beyond the quota of a tenant or of the store must be refused with a
// retry delay, UseReserve uploads may take the reserve, and a collection frees space.
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
		t.Fatalf("upload beyond a tenant's quota: %v", f)
	}
	if f := put("quiet", 50000); f != nil {
		t.Fatalf("upload of a tenant without a quota: %v", f)
	}
	if f := put("quiet", 10000); f == nil || f.Tenant != "" || f.Free != 5000 {
		t.Fatalf("upload beyond the store's quota: %v", f)
	}
	if f := put("quiet", 15000, UseReserve); f != nil {
		t.Fatalf("upload within the reserve: %v", f)
	}
	if f := put("quiet", 15000, UseReserve); f == nil {
		t.Fatal("upload beyond the reserve accepted")
	}
	if n, _, err := s.Collect(ctx, -time.Hour); err != nil || n != 3 {
		t.Fatal(n, err)
	}
	if f := put("loud", 25000); f != nil {
		t.Fatalf("upload after a collection: %v", f)
	}
}

// TestTenants: knowing a digest must not give a tenant access to the content. Uploading the
// content must, without storing it twice.
func TestTenants(t *testing.T) {
	s := open(t, Options{Dir: t.TempDir()})
	for _, size := range []int{10, 100000} {
		data := content(rand.New(rand.NewPCG(3, uint64(size))), size)
		d, err := s.Put(ctx, "red", data)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Open("blue", d, 0); !errors.Is(err, ErrTenant) {
			t.Fatalf("read by a tenant that knows only the digest: %v", err)
		}
		if m := s.Missing("blue", []Digest{d}); len(m) != 1 {
			t.Fatal("Missing reveals blobs of other tenants")
		}
		if err := s.SetRef(ctx, "blue", "x", d); !errors.Is(err, ErrNotFound) {
			t.Fatalf("reference to another tenant's blob: %v", err)
		}
		before := s.Stats().Bytes
		if _, err := s.Put(ctx, "blue", data); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Get("blue", d, 1<<20); err != nil || s.Stats().Bytes != before {
			t.Fatalf("%v, %d bytes before the second upload, %d after", err, before, s.Stats().Bytes)
		}
	}
}

// TestCollectKeepsOpenBlobs: a collection must not delete blobs with an open reader or
// upload, nor blobs that Missing has just reported as present.
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
			t.Fatal("blob reported as missing")
		}
		if n, _, err := s.Collect(ctx, 30*time.Minute); n != 0 || err != nil {
			t.Fatalf("%d blobs collected right after Missing, %v", n, err)
		}
		now = now.Add(time.Hour)
		r, err := s.Open("red", d, 0)
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Hour)
		if n, _, err := s.Collect(ctx, 0); n != 0 || err != nil {
			t.Fatalf("%d blobs collected with an open reader, %v", n, err)
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
			t.Fatalf("%d blobs collected with an open upload, %v", n, err)
		}
		u.Abort()
		if n, _, err := s.Collect(ctx, 0); n != 1 || err != nil {
			t.Fatalf("%d unused blobs collected, want 1, %v", n, err)
		}
	}
}

// TestCorruption flips a bit in a blob's file, truncates it or removes it. A scrub must
// detect that and repair the blob from a replica; without a replica, the blob must count
// as missing and can be uploaded again. Other blobs must stay readable.
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
				t.Fatalf("%s: read of a corrupt blob: %v", how, err)
			}
			f, err := s.Scrub(ctx, 1e12)
			if err != nil || f.Bad != 1 || (f.Repaired == 1) != replica || (len(f.Unrepaired) == 0) != replica {
				t.Fatalf("%s, replica %v: scrub found %+v, %v", how, replica, f, err)
			}
			if s.Has("red", d) != replica {
				t.Fatalf("%s, replica %v: Has returned %v", how, replica, s.Has("red", d))
			}
			if _, err := s.Put(ctx, "red", data); err != nil {
				t.Fatal(err)
			}
			s.Close()
			s = open(t, opt)
			if got, err := s.Get("red", d, 1<<20); err != nil || !bytes.Equal(got, data) {
				t.Fatalf("%s, replica %v: read after the repair: %v", how, replica, err)
			}
			if _, err := s.Get("red", other, 100); err != nil {
				t.Fatalf("%s: read of another blob: %v", how, err)
			}
		}
	}
}

// TestFullDisk: a write that fails on a full disk must leave the upload at its offset, and
// the upload must succeed once there is space.
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

// FuzzRecord: any record, entry or digest that decodes must stay the same when it is encoded and decoded again.
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

// TestDecompressionBomb replaces a blob's file by one that decompresses to far more than the
// digest's size: reads and scrubs must report corruption after reading little more than that
// size. It also checks that a stored blob is charged its compressed size, while its full size
// must be free when the upload begins.
func TestDecompressionBomb(t *testing.T) {
	s := open(t, Options{Dir: t.TempDir(), MaxInline: 1000, Quota: 1 << 20})
	d, err := s.Put(ctx, "red", bytes.Repeat([]byte("line of a log\n"), 10_000))
	if err != nil {
		t.Fatal(err)
	}
	if used := s.Stats().Bytes; used > 20_000 {
		t.Errorf("%d bytes used by a compressible blob", used)
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
		t.Errorf("an upload of 1 TiB was not refused: %v", err)
	}
}

// TestAdmittedUploadsSurviveRestart: uploads that were admitted were dropped at a restart if UseReserve uploads had taken
// a part of the reserve meanwhile. Beyond the whole quota, as when it was lowered, they are still dropped.
func TestAdmittedUploadsSurviveRestart(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	random := func(n int) []byte {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		return b
	}
	for _, x := range []struct {
		name      string
		urgent    bool // another upload that uses the reserve is open
		committed bool // a blob that uses the reserve was committed
		quota     int64
		kept      bool
	}{
		{"regular alone", false, false, 100000, true},
		{"open UseReserve upload", true, false, 100000, true},
		{"committed UseReserve upload", false, true, 100000, true},
		{"lowered quota", false, false, 50000, false},
	} {
		opt := Options{Dir: t.TempDir(), Quota: 100000, Reserve: 20000, MaxInline: 1000}
		s, err := Open(opt)
		if err != nil {
			t.Fatal(err)
		}
		data := random(60000)
		u, _, err := s.BeginWithID([16]byte{9}, "red", DigestOf(data))
		if err == nil {
			err = u.Write(0, data[:40000])
		}
		if err == nil && x.urgent {
			_, _, err = s.BeginWithID([16]byte{1}, "red", DigestOf(random(30000)), UseReserve)
		}
		if err == nil && x.committed {
			_, err = s.Put(ctx, "red", random(30000), UseReserve)
		}
		if err == nil {
			err = s.Close()
		}
		if err != nil {
			t.Fatalf("%s: %v", x.name, err)
		}
		opt.Quota = x.quota
		u, err = open(t, opt).Resume("red", u.ID())
		if (err == nil) != x.kept {
			t.Errorf("%s: %v", x.name, err)
			continue
		}
		if x.kept && (u.Offset() != 40000 || u.Write(40000, data[40000:]) != nil || u.Commit(ctx) != nil) {
			t.Errorf("%s: the upload can't be continued", x.name)
		}
	}
}

// TestDropAbandonedWhileCommitting commits uploads while dropAbandoned runs. The two once took
// the locks of store and upload in different orders, which deadlocked a replica for good.
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
		t.Errorf("%d uploads are still open", n)
	}
}

// BenchmarkPut compares the store, which verifies and indexes blobs, with writing each blob
// to a plain file, synced or not.
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

// BenchmarkOpen opens cleanly closed stores of different sizes, with and without their index.
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
