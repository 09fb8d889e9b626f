package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/teamstore"
)

// countingProxy forwards requests to the state service and counts them.
type countingProxy struct{ reads, watches, transactions, others atomic.Int64 }

// open starts a proxy to an address and returns the proxy's own address.
func (c *countingProxy) open(b *testing.B, to string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	proxy.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/changes" && r.URL.Query().Get("block_ms") != "0":
			c.watches.Add(1)
		case r.Method == http.MethodGet:
			c.reads.Add(1)
		case r.URL.Path == "/txn":
			c.transactions.Add(1)
		default:
			c.others.Add(1) // leases
		}
		proxy.ServeHTTP(w, r)
	})}
	go server.Serve(l)
	b.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// counts returns the numbers of requests of each kind so far.
func (c *countingProxy) counts() [4]int64 {
	return [4]int64{c.reads.Load(), c.watches.Load(), c.transactions.Load(), c.others.Load()}
}

// configBench is a number of controllers on loopback, without machines and jobs, that follow the teams' configuration.
type configBench struct {
	b        *testing.B
	sets     []*settings.Settings
	operator *teamstore.Writer
	store    countingProxy
}

// newConfigBench starts the controllers and waits until they all are members and every team has an owner.
func newConfigBench(b *testing.B, controllers, teams int) *configBench {
	x := &configBench{b: b}
	store, err := simulation.NewKVStore(64, 1<<10)
	if err != nil {
		b.Fatal(err)
	}
	cloud, err := simulation.NewCloud([]protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, PricePerHour: 2, SpotPricePerHour: 1, BootSeconds: 1, Zones: []string{"east"}}}, 0,
		func(string, string, string, bool) (*simulation.Agent, error) { return nil, io.EOF })
	if err != nil {
		b.Fatal(err)
	}
	host, listen, peers := simulation.NewHost(), make([]string, controllers), make([]string, controllers)
	for i := range controllers {
		for _, m := range [][]string{listen, peers} {
			if m[i], err = host.Listen(); err != nil {
				b.Fatal(err)
			}
		}
	}
	limits := settings.KVStore{RequestsPerSecond: 20000, ChangesPerSecond: 5000, ValueKB: 1 << 10, ChangesPerTransaction: 64}
	d := settings.Deployment{Size: controllers, Zones: []string{"east"}, Agents: settings.Agents{HeartbeatSeconds: 4, LeaseSeconds: 26, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60},
		KVStore: limits, Cloud: settings.Cloud{RequestsPerSecond: 20, ListLagSeconds: 0.2}, Limits: settings.Limits{Cores: 1, MemoryMB: 1024, MaxSockets: 1024}}
	for i := range teams {
		d.Teams = append(d.Teams, settings.Team{Name: fmt.Sprintf("team-%03d", i), CPUs: 8, CPUsMax: 16})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range controllers {
		s := &settings.Settings{Name: fmt.Sprintf("node-%02d", i), Zone: "east", Listen: listen[i], PeerListen: peers[i], Deployment: d,
			Services: settings.ServiceAddrs{Cloud: cloud.Addr(), KVStore: x.store.open(b, store.Addr())}}
		for k := range controllers {
			if k != i {
				s.Peers = append(s.Peers, settings.Peer{Name: fmt.Sprintf("node-%02d", k), Zone: "east", Endpoint: peers[k]})
			}
		}
		x.sets = append(x.sets, s)
		o := settings.DefaultOptions()
		o.ConfigMaxAgeSeconds = 6
		group.Go(func() { _ = Run(ctx, s, o, slog.New(slog.DiscardHandler)) })
	}
	client := kvstore.New(store.Addr(), limits, 1)
	group.Go(func() { _ = client.Run(ctx) })
	x.operator = teamstore.New(client, d.Teams)
	b.Cleanup(func() {
		cancel()
		group.Wait()
		cloud.Close()
		store.Close()
	})
	x.waitUntil("all are members and every team has an owner", func() bool {
		o := x.overview(0)
		return o.Config != nil && len(o.Members) == controllers && len(o.Owners) == teams+1 && len(o.Config.Lagging) == 0 && x.operator.BindEpoch(ctx, recordKey) == nil
	})
	return x
}

// waitUntil waits until a condition holds. Its deadline only ends hung benchmarks.
func (x *configBench) waitUntil(what string, f func() bool) {
	x.b.Helper()
	for end := time.Now().Add(3 * time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	x.b.Fatalf("timed out waiting for: %s", what)
}

// overview reads the overview of a controller; it is empty if the controller does not answer.
func (x *configBench) overview(i int) (o overview) {
	resp, err := http.Get("http://" + x.sets[i].Listen + "/overview")
	if err != nil {
		return o
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&o) // callers retry on an empty one
	return o
}

// change commits a change of a team's configuration, and returns the team's name and the number of the change.
func (x *configBench) change(team int, cpus float64) (name string, number uint64) {
	name = fmt.Sprintf("team-%03d", team)
	done, err := x.operator.Change(context.Background(), name, func(e *teamconfig.Entry, _ bool) error { e.CPUsMax = cpus; return nil })
	if err != nil {
		x.b.Error(err)
	}
	return name, done.Entry.Number
}

// awaitInForce waits until a controller reports changes with at least the given numbers, by team, as in force.
func (x *configBench) awaitInForce(at int, want map[string]uint64) {
	x.waitUntil("in force everywhere", func() bool {
		o := x.overview(at)
		for name, number := range want {
			if o.Config == nil || o.Config.InForce[name] < number {
				return false
			}
		}
		return true
	})
}

// BenchmarkConfiguration measures, with controllers on loopback and no jobs, the time from an operator's request of a
// single change until a controller reports it as in force everywhere, the rate of changes when many are made at once,
// and the requests to the state service for each change.
func BenchmarkConfiguration(b *testing.B) {
	const teams, single, many = 60, 20, 600
	for _, controllers := range []int{3, 8, 16, 46} {
		b.Run(fmt.Sprintf("controllers=%d", controllers), func(b *testing.B) {
			x := newConfigBench(b, controllers, teams)
			for b.Loop() {
				idle := x.countRequestsOver(5*time.Second, func() {})
				var times []time.Duration
				busy := x.countRequestsOver(5*time.Second, func() {
					for i := range single {
						began := time.Now()
						name, number := x.change(i%teams, float64(10+i%7))
						x.awaitInForce(i%controllers, map[string]uint64{name: number})
						times = append(times, time.Since(began))
					}
				})
				slices.Sort(times)
				b.ReportMetric(times[len(times)/2].Seconds(), "s-median")
				b.ReportMetric(times[len(times)-1].Seconds(), "s-max")
				for i, name := range []string{"reads", "watches", "txns"} {
					b.ReportMetric((busy[i]-idle[i]*busy[4]/idle[4])/single, name+"/change")
				}
				b.ReportMetric(idle[0]/idle[4]/float64(controllers), "idle-reads/s/controller")
				x.burst(many, teams)
			}
		})
	}
}

// countRequestsOver runs a function, waits until at least the given time has passed, and returns the numbers of
// requests to the state service meanwhile, and the seconds that passed.
func (x *configBench) countRequestsOver(least time.Duration, f func()) (sum [5]float64) {
	before, began := x.store.counts(), time.Now()
	f()
	time.Sleep(time.Until(began.Add(least)))
	for i, after := range x.store.counts() {
		sum[i] = float64(after - before[i])
	}
	sum[4] = time.Since(began).Seconds()
	return sum
}

// burst makes many changes at once, waits until all are in force, and reports the rates of both.
func (x *configBench) burst(many, teams int) {
	began, last := time.Now(), map[string]uint64{}
	var group sync.WaitGroup
	var mu sync.Mutex
	for team := range teams {
		group.Go(func() { // a team's changes are made one after the other
			for i := range many / teams {
				name, number := x.change(team, float64(10+i%7))
				mu.Lock()
				last[name] = number
				mu.Unlock()
			}
		})
	}
	group.Wait()
	committed := time.Since(began)
	x.awaitInForce(0, last)
	x.b.ReportMetric(float64(many)/committed.Seconds(), "committed/s")
	x.b.ReportMetric(float64(many)/time.Since(began).Seconds(), "in-force/s")
}
