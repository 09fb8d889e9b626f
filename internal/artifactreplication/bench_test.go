package artifactreplication

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// newBenchCluster returns a testCluster for benchmarks.
func newBenchCluster(b *testing.B, names ...string) *testCluster {
	t := &testing.T{}
	g := &testCluster{t: t, dir: b.TempDir(), members: Members{Epoch: 1, Copies: len(names), Acks: majority(len(names))}, replicas: map[string]*testReplica{}}
	for i, name := range names {
		g.add(name, fmt.Sprint("zone ", i%2))
	}
	for _, name := range names {
		g.start(name)
	}
	g.repair()
	b.Cleanup(func() {
		for name, o := range g.replicas {
			g.stop(name)
			o.srv.Close()
		}
	})
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 256
	return g
}

// BenchmarkAppend measures appends of a record of 120 bytes to one replica, and to a quorum of two of three. For
// comparison it writes to a plain file with and without an fsync per record.
func BenchmarkAppend(b *testing.B) {
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}} {
		for _, streams := range []int{1, 100, 1000} {
			b.Run(fmt.Sprintf("keepers=%d/streams=%d", len(names), streams), func(b *testing.B) {
				g := newBenchCluster(b, names...)
				n := g.anyRunning()
				for s := range streams {
					if err := n.Begin(ctx, claim(1, s, 1)); err != nil {
						b.Fatal(err)
					}
				}
				rec := []artifactstore.Record{{At: time.Now(), Data: make([]byte, 120)}}
				took := make([][]time.Duration, streams)
				var wg sync.WaitGroup
				b.ResetTimer()
				for s := range streams {
					wg.Add(1)
					go func() {
						defer wg.Done()
						for i := s; i < b.N; i += streams {
							began := time.Now()
							if _, err := n.Append(ctx, claim(1, s, 1), "stdout", uint64(i/streams), rec); err != nil {
								b.Error(err)
								return
							}
							took[s] = append(took[s], time.Since(began))
						}
					}()
				}
				wg.Wait()
				b.StopTimer()
				all := slices.Concat(took...)
				slices.Sort(all)
				if len(all) > 0 {
					b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "µs-p99")
				}
			})
		}
	}
	for _, sync := range []bool{true, false} {
		b.Run(fmt.Sprintf("plain/fsync=%v", sync), func(b *testing.B) {
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
				if sync {
					if err := f.Sync(); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// BenchmarkFetch measures reading a file of 64 MiB from a replica over HTTP, with verification. For comparison it
// copies a plain file with a SHA-256.
func BenchmarkFetch(b *testing.B) {
	const size = 64 << 20
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(i * i >> 7)
	}
	g := newBenchCluster(b, "a", "b", "c")
	c := claim(1, 0, 1)
	n := g.anyRunning()
	if err := n.Begin(ctx, c); err != nil {
		b.Fatal(err)
	}
	d, err := n.blobs.Put(ctx, c.Tenant, content)
	if err == nil {
		err = n.Attach(ctx, c, "big", d)
	}
	if err == nil {
		_, _, err = n.Seal(ctx, c, artifactstore.End{Exit: artifactstore.Exit{Completed: true}, Files: map[string]string{"big": d.String()}})
	}
	if err != nil {
		b.Fatal(err)
	}
	r := &artifactstore.Reader{URL: g.replicas["a"].srv.URL, Token: artifactstore.Grant{Right: artifactstore.Read, Job: c.Job, Until: time.Now().Add(time.Hour)}.Token(key)}
	dir := b.TempDir()
	b.Run("keeper", func(b *testing.B) {
		b.SetBytes(size)
		for range b.N {
			m, _, err := r.Manifest(ctx, c.Job, c.Task, 0)
			if err == nil {
				err = r.Fetch(ctx, m, m.Files[0], filepath.Join(dir, "fetched"), nil)
			}
			if err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("plain copy", func(b *testing.B) {
		b.SetBytes(size)
		from := filepath.Join(dir, "plain")
		if err := os.WriteFile(from, content, 0o600); err != nil {
			b.Fatal(err)
		}
		for range b.N {
			in, err := os.Open(from)
			if err != nil {
				b.Fatal(err)
			}
			out, err := os.Create(filepath.Join(dir, "copy"))
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.Copy(io.MultiWriter(out, sha256.New()), in); err != nil {
				b.Fatal(err)
			}
			in.Close()
			out.Close()
		}
	})
}

// BenchmarkRefill deletes a replica's disk and measures the time until it is in sync again, and the latency of reads
// at another replica in the meantime.
func BenchmarkRefill(b *testing.B) {
	const attempts = 2000
	g := newBenchCluster(b, "a", "b", "c")
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := g.anyRunning()
			for i := w; i < attempts; i += 16 {
				c := claim(1, i, 1)
				err := n.Begin(ctx, c)
				if err == nil {
					_, err = n.Append(ctx, c, "stdout", 0, lines(0, 50, "a line of some length to be kept, of attempt 1"))
				}
				if err == nil {
					_, _, err = n.Seal(ctx, c, endReport(true, 50, nil))
				}
				if err != nil {
					b.Error(err)
				}
			}
		}()
	}
	wg.Wait()
	for range b.N {
		b.StopTimer()
		g.loseDisk("c")
		b.StartTimer()
		g.start("c")
		stop, waited := make(chan struct{}), make(chan []time.Duration)
		go func() {
			var took []time.Duration
			for i := 0; ; i++ {
				select {
				case <-stop:
					waited <- took
					return
				default:
				}
				began := time.Now()
				if _, _, err := g.replicas["a"].Read(ctx, claim(1, i%attempts, 1).Attempt, "stdout", 0, false, func(uint64, artifactstore.Record) error { return nil }); err != nil {
					b.Error(err)
				}
				took = append(took, time.Since(began))
			}
		}()
		for !g.replicas["c"].InSync() {
			if err := g.replicas["c"].Repair(ctx); err != nil {
				b.Fatal(err)
			}
		}
		close(stop)
		took := <-waited
		slices.Sort(took)
		b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "µs-read-p99")
		b.ReportMetric(attempts, "attempts")
	}
}

// BenchmarkOpenStreams measures the memory of 10,000 open streams of ten records each at one replica.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 10_000
	for range b.N {
		dir := b.TempDir()
		bl, err := blob.Open(blob.Options{Dir: filepath.Join(dir, "blobs")})
		if err != nil {
			b.Fatal(err)
		}
		store, err := artifactstore.Open(artifactstore.Options{Dir: filepath.Join(dir, "log"), Blobs: bl, Key: key})
		if err != nil {
			b.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var wg sync.WaitGroup
		for w := range 64 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := w; i < streams; i += 64 {
					c := claim(1, i, 1)
					if err := store.Begin(ctx, c); err != nil {
						b.Error(err)
					}
					for r := range 10 {
						if _, err := store.Append(ctx, c, "stdout", uint64(r), lines(r, 1, "line")); err != nil {
							b.Error(err)
						}
					}
				}
			}()
		}
		wg.Wait()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/streams, "B/stream")
		store.Close()
		bl.Close()
	}
}
