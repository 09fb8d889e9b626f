package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/userapi"
)

// testCluster is three controllers in one process, with simulations of the state service, the cloud and the agents.
type testCluster struct {
	t              *testing.T
	state          *simulation.KVStore
	cloud          *simulation.Cloud
	checker        *simulation.Checker
	nodeSettings   []*settings.Settings
	nodes          []*process
	storeEndpoints []*simulation.Endpoint // each controller's connection to the state service
	peerPaths      simulation.Paths       // the connections from one controller to another
	rng            *rand.Rand
	httpc          *http.Client

	taskFails   func(task string) bool    // see simulation.AgentConfig
	newAgent    func(a *simulation.Agent) // called for each machine that is rented, if set
	images      *simulation.ImageConfig   // see simulation.AgentConfig
	copyWait    float64                   // options of the controllers that are started after they are set
	configBound float64
	stateLimits settings.KVStore // of the state service, as the controllers know them
}

// process is a controller that runs in the test's process.
type process struct {
	cancel  context.CancelFunc
	stopped chan struct{}
}

// newTestCluster starts a cluster in which all tasks run for the same time.
func newTestCluster(t *testing.T, run time.Duration) *testCluster {
	return newTestClusterWith(t, run, settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 20, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60})
}

// newTestClusterWith starts a cluster with the given timeouts of agents.
func newTestClusterWith(t *testing.T, run time.Duration, timeouts settings.Agents, prepare ...func(*testCluster)) *testCluster {
	return newTestClusterRunning(t, func(string) time.Duration { return run }, timeouts, prepare...)
}

// newTestClusterRunning starts a cluster in which each task has a run time of its own.
func newTestClusterRunning(t *testing.T, run func(task string) time.Duration, timeouts settings.Agents, prepare ...func(*testCluster)) *testCluster {
	r := &testCluster{t: t, peerPaths: simulation.Paths{}, rng: rand.New(rand.NewPCG(1, 2)), httpc: &http.Client{Timeout: 4 * time.Second}}
	r.stateLimits = settings.KVStore{RequestsPerSecond: 400, ChangesPerSecond: 200, ValueKB: 16, ChangesPerTransaction: 16}
	r.checker = simulation.NewChecker(map[string]float64{"red": 24, "blue": 16})
	for _, p := range prepare {
		p(r)
	}
	var err error
	if r.state, err = simulation.NewKVStore(r.stateLimits.ChangesPerTransaction, int(r.stateLimits.ValueKB)); err != nil {
		t.Fatal(err)
	}
	r.checker.FollowEnds(r.state, userapi.EndedJobPrefix)
	names := []string{"node-a", "node-b", "node-c"}
	listen, peers := map[string]string{}, map[string]string{}
	host := simulation.NewHost()
	for _, n := range names {
		for _, m := range []map[string]string{listen, peers} {
			if m[n], err = host.Listen(); err != nil {
				t.Fatal(err)
			}
		}
	}
	per := simulation.AgentConfig{Heartbeat: settings.Seconds(timeouts.HeartbeatSeconds), Lease: settings.Seconds(timeouts.LeaseSeconds), Run: run, Fails: r.taskFails, Images: r.images}
	types := []protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, PricePerHour: 2, SpotPricePerHour: 1, BootSeconds: 1, Zones: []string{"east", "west"}}}
	r.cloud, err = simulation.NewCloud(types, 6, func(name, typ, zone string, spot bool) (*simulation.Agent, error) {
		a, err := simulation.NewAgent(name, typ, zone, spot, listen, names, per, r.checker)
		if err == nil && r.newAgent != nil {
			r.newAgent(a)
		}
		return a, err
	})
	if err != nil {
		t.Fatal(err)
	}
	for i, n := range names {
		endpoint, err := r.state.NewEndpoint()
		if err != nil {
			t.Fatal(err)
		}
		r.storeEndpoints = append(r.storeEndpoints, endpoint)
		s := &settings.Settings{Name: n, Zone: "east", Listen: listen[n], PeerListen: peers[n],
			Services: settings.ServiceAddrs{Cloud: r.cloud.Addr(), KVStore: endpoint.Addr()},
			Deployment: settings.Deployment{Size: 3, Zones: []string{"east", "west"},
				Teams:   []settings.Team{{Name: "red", CPUs: 16, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 16}},
				Agents:  timeouts,
				KVStore: r.stateLimits,
				Cloud:   settings.Cloud{RequestsPerSecond: 20, ListLagSeconds: 0.2}, Limits: settings.Limits{Cores: 1, MemoryMB: 256, MaxSockets: 512}}}
		for k, p := range names {
			if p != n {
				pipe, err := simulation.NewPipe(peers[p])
				if err != nil {
					t.Fatal(err)
				}
				r.peerPaths[[2]int{i, k}] = pipe
				s.Peers = append(s.Peers, settings.Peer{Name: p, Zone: "east", Endpoint: pipe.Addr()})
			}
		}
		r.nodeSettings = append(r.nodeSettings, s)
		r.nodes = append(r.nodes, nil)
		r.start(i)
	}
	t.Cleanup(func() {
		for i := range r.nodes {
			r.crash(i)
		}
		r.peerPaths.Close()
		r.cloud.Close()
		r.state.Close()
	})
	return r
}

// start starts a controller.
func (r *testCluster) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, stopped: make(chan struct{})}
	var out io.Writer = io.Discard
	if os.Getenv("TEST_LOG") != "" {
		out = os.Stderr
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
	set, options := r.nodeSettings[i], settings.DefaultOptions()
	options.ControllerLeaseSeconds, options.CopyWaitSeconds, options.ConfigMaxAgeSeconds = 2, r.copyWait, r.configBound
	go func() {
		defer close(p.stopped)
		if err := Run(ctx, set, options, log); err != nil && ctx.Err() == nil {
			r.t.Errorf("controller %d failed: %v", i, err)
		}
	}()
	r.nodes[i] = p
}

// crash ends a controller if it is running, and waits for its end.
func (r *testCluster) crash(i int) {
	if p := r.nodes[i]; p != nil {
		p.cancel()
		<-p.stopped
		r.nodes[i] = nil
	}
}

// request sends a request to a random controller, as a load balancer would.
func (r *testCluster) request(method, path string, body any) (int, protocol.Status) {
	var data []byte
	if body != nil {
		data = protocol.Encode(body)
	}
	s := r.nodeSettings[r.rng.IntN(len(r.nodeSettings))]
	req, err := http.NewRequest(method, "http://"+s.Listen+path, bytes.NewReader(data))
	if err != nil {
		r.t.Fatal(err)
	}
	resp, err := r.httpc.Do(req)
	if err != nil {
		return 0, protocol.Status{}
	}
	defer resp.Body.Close()
	if os.Getenv("TEST_LOG") != "" {
		fmt.Fprintln(os.Stderr, method, path, resp.StatusCode)
	}
	var st protocol.Status
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return resp.StatusCode, st
}

// arrayJob returns an array job with so many tasks.
func arrayJob(i, tasks int, team string) *protocol.Submission {
	return &protocol.Submission{UID: fmt.Sprintf("job-%06d", i), Class: "c", Team: team, Kind: protocol.JobArray, Priority: "standard",
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "img", EstimateSeconds: 1, Spot: i%2 == 0}
}

// submit submits a job until it is accepted.
func (r *testCluster) submit(spec *protocol.Submission) {
	r.checker.RecordSubmission(spec)
	r.waitUntil("accepting "+spec.UID, func() bool {
		status, st := r.request("POST", protocol.PathSubmit, spec)
		if status == 200 || status == 201 {
			r.checker.RecordAnswer(spec.UID, status, st.State, true)
			return true
		}
		return false
	})
}

// queryState requests the state of a job from a random controller and has the answer checked.
func (r *testCluster) queryState(uid string) protocol.JobState {
	status, st := r.request("GET", protocol.PathSubmit+"/"+uid, nil)
	r.checker.RecordAnswer(uid, status, st.State, false)
	return st.State
}

// waitUntil waits until a condition holds. Its deadline only ends hung tests.
func (r *testCluster) waitUntil(what string, f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if broken := r.checker.BrokenRules(); len(broken) > 0 {
			r.t.Fatalf("broken rules: %v", broken)
		}
		if f() {
			return
		}
	}
	r.t.Fatalf("timed out waiting for: %s", what)
}

// awaitAllDone waits until all jobs are done, and checks that they stay done.
func (r *testCluster) awaitAllDone(jobs []*protocol.Submission) {
	for _, j := range jobs {
		r.waitUntil(j.UID+" done", func() bool { return r.queryState(j.UID) == protocol.Done })
	}
	for _, j := range jobs { // final states stay
		r.waitUntil(j.UID+" still done", func() bool { return r.queryState(j.UID) == protocol.Done })
	}
}

// TestJobsCompleteWithoutFaults: array jobs of two teams complete within their quotas, a query of an unknown job gets
// 404, and a late repeated submission is answered with the job's state.
func TestJobsCompleteWithoutFaults(t *testing.T) {
	r := newTestCluster(t, 300*time.Millisecond)
	var jobs []*protocol.Submission
	for i := range 6 {
		jobs = append(jobs, arrayJob(i, 5+i, []string{"red", "blue"}[i%2]))
		r.submit(jobs[i])
	}
	r.awaitAllDone(jobs)
	r.waitUntil("404 for a job that nobody submitted", func() bool {
		status, _ := r.request("GET", protocol.PathSubmit+"/job-999999", nil)
		return status == 404
	})
	r.waitUntil("a late repeat with another body is known", func() bool {
		changed := *jobs[0]
		changed.Team = "nobody"
		status, st := r.request("POST", protocol.PathSubmit, &changed)
		r.checker.RecordAnswer(changed.UID, status, st.State, true)
		return status == 200 && st.State == protocol.Done
	})
	if r.checker.Started == 0 {
		t.Fatal("no task started")
	}
	resp, err := r.httpc.Get("http://" + r.nodeSettings[0].Listen + "/overview")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var o overview
	if err := json.NewDecoder(resp.Body).Decode(&o); err != nil || o.Term == 0 || len(o.Owners) != 3 || len(o.Members) != 3 {
		t.Fatalf("overview %+v, %v", o, err)
	}
}

// TestControllersCrash: each controller in turn, and then all at once, crash while tasks run. A successor with an
// in-sync replica continues from it; one without must pass the full barrier. In both cases no task runs twice.
func TestControllersCrash(t *testing.T) {
	r := newTestCluster(t, 3*time.Second)
	var jobs []*protocol.Submission
	for i := range 4 {
		jobs = append(jobs, arrayJob(100+i, 10, []string{"red", "blue"}[i%2]))
		r.submit(jobs[i])
	}
	r.waitUntil("tasks run", func() bool { return r.checker.CountRunning() > 4 })
	for i := range r.nodes {
		r.crash(i)
		r.queryState(jobs[0].UID)
		r.start(i)
		r.waitUntil("tasks run again", func() bool { return r.checker.CountRunning() > 2 })
	}
	for i := range r.nodes {
		r.crash(i)
	}
	for i := range r.nodes {
		r.start(i)
	}
	r.awaitAllDone(jobs)
}

// TestOutageWithDisconnectedMachine: the state service is down and one machine loses its network while tasks run; then
// a job is cancelled. The job stays cancelled, and its tasks end.
func TestOutageWithDisconnectedMachine(t *testing.T) {
	r := newTestCluster(t, 2*time.Second)
	jobs := []*protocol.Submission{arrayJob(200, 16, "red"), arrayJob(201, 8, "blue")}
	for _, j := range jobs {
		r.submit(j)
	}
	r.waitUntil("tasks run", func() bool { return r.checker.CountRunning() > 4 })
	r.state.SetOutage(true)
	ws := r.cloud.Agents()
	ws[0].DisconnectNetwork(true)
	time.Sleep(4 * time.Second)
	r.state.SetOutage(false)
	ws[0].DisconnectNetwork(false)
	long := arrayJob(202, 8, "blue")
	r.submit(long)
	r.checker.RecordCancellation(long.UID)
	r.waitUntil("cancelled", func() bool {
		status, st := r.request("POST", protocol.PathSubmit+"/"+long.UID+"/withdraw", struct{}{})
		r.checker.RecordAnswer(long.UID, status, st.State, false)
		return status == 200 && st.State == protocol.Cancelled
	})
	r.awaitAllDone(jobs)
	r.waitUntil("nothing is left on machines", func() bool { return r.checker.CountRunning() == 0 })
	if st := r.queryState(long.UID); st != protocol.Cancelled && st != "" {
		t.Fatalf("cancelled job is %s", st)
	}
}
