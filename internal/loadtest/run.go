package loadtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"topazhollow/internal/settings"
	"topazhollow/internal/wait"
)

// Reasons for which a run is aborted.
var (
	errMemory = errors.New("the run's processes use more than limits.memory_mb")
	errTime   = errors.New("the run exceeded limits.seconds")
)

// Intervals of a run.
const (
	sampleInterval   = time.Second
	progressInterval = 5 * time.Second
	maxRampUp        = 15 * time.Second // limit for the time from the first array until measuring begins
)

// settledShare is the share of agents and services that must be up before measuring begins.
const settledShare = 0.995

// run is the state of one running experiment.
type run struct {
	config        *Config
	options       Options
	region        *region
	users         *users
	result        *Result
	monitors      []*processMonitor // controllers, then agent processes, then this process
	countsBefore  Counts            // value when measuring began, as in the other fields whose names end in Before
	trafficBefore []Traffic
	busyBefore    float64
	startsBefore  int64
	endsBefore    int64
	pollsBefore   int64
	began         time.Time // time when measuring began
	lastPrinted   time.Time
}

// Run executes an experiment. If the run is aborted, it returns the partial result with the error. Broken rules are
// part of the result and not an error.
func Run(ctx context.Context, c *Config, o Options) (*Result, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(settings.Seconds(c.Limits.Seconds), func() { cancel(errTime) })
	defer timer.Stop()
	x := &run{config: c, options: o, region: newRegion(c, o), result: &Result{Began: time.Now().UTC(), Controller: filepath.Base(o.Controller[0]), Machine: thisMachine(), Config: *c}}
	defer x.region.close()
	if err := x.region.open(ctx); err != nil {
		return nil, err
	}
	go x.watchLimits(ctx, cancel)
	x.users = newUsers(x.region)
	x.execute(ctx)
	err := context.Cause(ctx)
	if err != nil {
		x.result.Stopped = err.Error()
	}
	cancel(nil)
	x.users.wg.Wait()
	x.users.client.CloseIdleConnections()
	return x.result, err
}

// watchLimits aborts the run if a process exits unexpectedly or the processes use too much memory.
func (x *run) watchLimits(ctx context.Context, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-x.region.failed:
			cancel(err)
			return
		case <-ticker.C:
		}
		memoryMB := sampleProcess(os.Getpid()).Memory
		for _, p := range x.region.controllers {
			memoryMB += sampleProcess(p.pid()).Memory
		}
		for _, p := range x.region.pools {
			memoryMB += sampleProcess(p.cmd.Process.Pid).Memory
		}
		if memoryMB > x.config.Limits.MemoryMB {
			cancel(fmt.Errorf("%w: %.0f MB", errMemory, memoryMB))
			return
		}
	}
}

// execute lets the region settle, measures it and fills in the result.
func (x *run) execute(ctx context.Context) {
	x.awaitSettled(ctx)
	load, stop := context.WithCancel(ctx)
	defer stop()
	if x.config.StartsPerSecond > 0 {
		go x.users.submitArrays(load)
		wait.For(ctx, min(2*settings.Seconds(x.config.TaskRun), maxRampUp))
	}
	if ctx.Err() != nil {
		return
	}
	x.beginMeasuring()
	faults := x.injectFaults(load)
	for time.Since(x.began) < settings.Seconds(x.config.Duration) && wait.For(ctx, sampleInterval) {
		x.sample()
		x.printProgress("measuring")
	}
	x.summarize()
	stop()
	<-faults
	wait.For(ctx, 2*batchInterval) // the last answers to users are checked once all earlier events have arrived
	x.region.mu.Lock()
	defer x.region.mu.Unlock()
	x.result.Broken, x.result.BrokenCount = slices.Clone(x.region.rules.broken), x.region.rules.brokenCount
}

// awaitSettled waits until the agents are connected and the services run, up to the experiment's settle timeout.
func (x *run) awaitSettled(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, settings.Seconds(x.config.SettleTimeout))
	defer cancel()
	wanted, standing := settledShare*float64(x.config.Agents), settledShare*float64(x.config.serviceTasks())
	for {
		connected, _ := x.region.progress()
		if float64(connected) >= wanted {
			break
		}
		x.printProgress("waiting for agents to connect")
		if !wait.For(ctx, batchInterval) {
			break
		}
	}
	x.users.submitServices(ctx)
	for {
		connected, running := x.region.progress()
		if x.result.Settled = float64(connected) >= wanted && float64(running) >= standing; x.result.Settled {
			break
		}
		x.printProgress("waiting for services to start")
		if !wait.For(ctx, batchInterval) {
			break
		}
	}
	x.result.SettledIn = time.Since(began).Seconds()
	if x.result.Settled {
		wait.For(ctx, settings.Seconds(x.config.HeartbeatInterval)) // one heartbeat interval for the effects of the starts to end
	}
}

// injectFaults kills controllers at the configured times. The returned channel closes after the last fault.
func (x *run) injectFaults(ctx context.Context) <-chan struct{} {
	over := make(chan struct{})
	go func() {
		defer close(over)
		if at := x.config.Faults.KillOneAt; at > 0 && wait.For(ctx, settings.Seconds(at)) {
			x.region.restartControllers(ctx, x.region.controllers[:1])
		}
		if at := x.config.Faults.KillAllAt; at > 0 && wait.For(ctx, time.Until(x.began.Add(settings.Seconds(at)))) {
			x.region.restartControllers(ctx, x.region.controllers)
		}
	}()
	return over
}

// beginMeasuring resets the counters and starts to measure.
func (x *run) beginMeasuring() {
	for _, p := range x.region.controllers {
		x.monitors = append(x.monitors, &processMonitor{name: p.name, pid: p.pid()})
	}
	for i, p := range x.region.pools {
		x.monitors = append(x.monitors, &processMonitor{name: fmt.Sprintf("workers-%d", i), pid: p.cmd.Process.Pid})
	}
	x.monitors = append(x.monitors, &processMonitor{name: "stand-ins and users", pid: os.Getpid()})
	for _, w := range x.monitors {
		w.start()
	}
	x.countsBefore, x.trafficBefore, x.busyBefore, x.pollsBefore = x.region.totalCounts(), x.region.traffic.list(nil), machineBusySeconds(), x.users.polls.Load()
	x.region.mu.Lock()
	defer x.region.mu.Unlock()
	rules := x.region.rules
	rules.urgentWaits, rules.usualWaits, rules.longestGap, rules.lastStart, x.region.latencies = newWaitHistogram(), newWaitHistogram(), 0, time.Now(), newLatencyHistogram()
	x.startsBefore, x.endsBefore, x.began = rules.starts, rules.ends, time.Now()
}

// sample samples all processes, with the current process of each controller.
func (x *run) sample() {
	for i, w := range x.monitors {
		if i < len(x.region.controllers) {
			w.follow(x.region.controllers[i].pid())
		}
		w.sample()
	}
}

// printProgress prints the run's progress, at most once per progressInterval.
func (x *run) printProgress(doing string) {
	if time.Since(x.lastPrinted) < progressInterval {
		return
	}
	x.lastPrinted = time.Now()
	connected, running := x.region.progress()
	x.region.mu.Lock()
	starts, breaks := x.region.rules.starts, x.region.rules.brokenCount
	x.region.mu.Unlock()
	fmt.Fprintf(x.options.Out, "%s: %d of %d agents connected, %d tasks running, %d starts so far, %d rules broken\n", doing, connected, x.config.Agents, running, starts, breaks)
}

// summarize fills in the result.
func (x *run) summarize() {
	x.sample()
	r, g := x.result, x.region
	r.Measured = time.Since(x.began).Seconds()
	counts := g.totalCounts()
	counts.add(x.countsBefore, -1)
	r.Traffic = append(g.traffic.list(x.trafficBefore), agentTraffic(counts)...)
	own := 0.0
	for i, w := range x.monitors {
		own += w.use.Cores
		switch {
		case i < len(g.controllers):
			r.Controllers = append(r.Controllers, w.use)
		case i < len(g.controllers)+len(g.pools):
			r.AgentProcesses = append(r.AgentProcesses, w.use)
		default:
			r.StandIns = w.use
		}
	}
	r.MachineBusy = (machineBusySeconds() - x.busyBefore) / r.Measured
	r.OthersBusy = max(0, r.MachineBusy-own)
	r.Heartbeats, r.LeasesExpired, r.Redirected, r.HeartbeatsFailed = float64(counts.Heartbeats)/r.Measured, counts.Expired, counts.Redirected, counts.Failed
	bytes := counts.HeartbeatBytes + counts.AnswerBytes + counts.CommandBytes + counts.ResultBytes
	r.BytesPerAgent = float64(bytes) / r.Measured / float64(x.config.Agents)
	r.Connected, r.Running = g.progress()
	r.Polls, r.UsersRetried, r.NotSubmitted = float64(x.users.polls.Load()-x.pollsBefore)/r.Measured, x.users.failedSubmissions.Load(), x.users.skipped.Load()
	r.StoreRefused = g.store.CountRefused()
	g.cloud.mu.Lock()
	r.MachinesReturned = g.cloud.machinesReturned
	g.cloud.mu.Unlock()
	x.summarizeStarts()
	r.Overviews = x.queryOverviews()
}

// summarizeStarts fills in the part of the result about starts and waits.
func (x *run) summarizeStarts() {
	r, g := x.result, x.region
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Starts, r.Ends = float64(g.rules.starts-x.startsBefore)/r.Measured, float64(g.rules.ends-x.endsBefore)/r.Measured
	r.UrgentWait, r.UsualWait, r.HeartbeatLatency = quantiles(g.rules.urgentWaits), quantiles(g.rules.usualWaits), quantiles(g.latencies)
	r.LongestGap, r.MaxQuotaUse = max(g.rules.longestGap, time.Since(g.rules.lastStart)).Seconds(), g.rules.maxUse
}

// agentTraffic returns the agents' messages in the form of the other traffic counts.
func agentTraffic(c Counts) []Traffic {
	return []Traffic{
		{"workers", "report", c.Heartbeats, c.HeartbeatBytes, c.AnswerBytes},
		{"workers", "command", c.Commands, c.CommandBytes, c.ResultBytes},
	}
}

// queryOverviews reads the controllers' overviews. A controller that does not answer is left out.
func (x *run) queryOverviews() (all []ControllerOverview) {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for _, p := range x.region.controllers {
		resp, err := client.Get("http://" + p.listen + "/overview")
		if err != nil {
			continue
		}
		var o overview
		if json.NewDecoder(resp.Body).Decode(&o) == nil {
			all = append(all, o.withItemCounts())
		}
		_ = resp.Body.Close() // the body was read
	}
	return all
}
