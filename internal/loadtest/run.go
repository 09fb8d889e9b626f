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

// Reasons for which a run ends before its time.
var (
	errMemory = errors.New("the run's processes hold more than limits.memory_mb")
	errTime   = errors.New("limits.seconds are over")
)

// Times of a run.
const (
	sampleEvery = time.Second
	tellEvery   = 5 * time.Second
	mostRamp    = 15 * time.Second // from the first array until measuring begins
)

// settledShare is which part of agents and services is to be up before measuring begins.
const settledShare = 0.995

// run is one experiment under way.
type run struct {
	c        *Config
	o        Options
	g        *region
	u        *users
	r        *Result
	watched  []*watched // controllers, then processes of agents, then this process
	counts   Counts     // as measuring began
	before   []Traffic
	busy     float64
	starts   int64
	ends     int64
	polls    int64
	began    time.Time // of measuring
	lastTold time.Time
}

// Run plays an experiment. A result comes with the error if the run ended before its time;
// broken rules are in the result and are no error.
func Run(ctx context.Context, c *Config, o Options) (*Result, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(settings.Seconds(c.Limits.Seconds), func() { cancel(errTime) })
	defer timer.Stop()
	x := &run{c: c, o: o, g: newRegion(c, o), r: &Result{Began: time.Now().UTC(), Controller: filepath.Base(o.Controller[0]), Machine: thisMachine(), Config: *c}}
	defer x.g.close()
	if err := x.g.open(ctx); err != nil {
		return nil, err
	}
	go x.guard(ctx, cancel)
	x.u = newUsers(x.g)
	x.play(ctx)
	err := context.Cause(ctx)
	if err != nil {
		x.r.Stopped = err.Error()
	}
	cancel(nil)
	x.u.all.Wait()
	x.u.client.CloseIdleConnections()
	return x.r, err
}

// guard ends the run if a process ended by itself or too much memory is held.
func (x *run) guard(ctx context.Context, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-x.g.failed:
			cancel(err)
			return
		case <-ticker.C:
		}
		held := sampleProcess(os.Getpid()).Memory
		for _, p := range x.g.controllers {
			held += sampleProcess(p.pid()).Memory
		}
		for _, p := range x.g.pools {
			held += sampleProcess(p.cmd.Process.Pid).Memory
		}
		if held > x.c.Limits.MemoryMB {
			cancel(fmt.Errorf("%w: %.0f", errMemory, held))
			return
		}
	}
}

// play lets the region settle, measures, and sums up.
func (x *run) play(ctx context.Context) {
	x.settle(ctx)
	load, stop := context.WithCancel(ctx)
	defer stop()
	if x.c.StartsPerSecond > 0 {
		go x.u.arrays(load)
		wait.For(ctx, min(2*settings.Seconds(x.c.TaskRun), mostRamp))
	}
	if ctx.Err() != nil {
		return
	}
	x.begin()
	faults := x.faults(load)
	for time.Since(x.began) < settings.Seconds(x.c.Duration) && wait.For(ctx, sampleEvery) {
		x.sample()
		x.tell("measuring")
	}
	x.sumUp()
	stop()
	<-faults
	wait.For(ctx, 2*batchEvery) // what users were told last is checked against what happened before
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.r.Broken, x.r.BrokenCount = slices.Clone(x.g.rules.broken), x.g.rules.breaks
}

// settle waits until agents are answered and services run.
func (x *run) settle(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, settings.Seconds(x.c.SettleTimeout))
	defer cancel()
	wanted, standing := settledShare*float64(x.c.Agents), settledShare*float64(x.c.standing())
	for {
		homed, _ := x.g.reached()
		if float64(homed) >= wanted {
			break
		}
		x.tell("workers come in")
		if !wait.For(ctx, batchEvery) {
			break
		}
	}
	x.u.stand(ctx)
	for {
		homed, on := x.g.reached()
		if x.r.Settled = float64(homed) >= wanted && float64(on) >= standing; x.r.Settled {
			break
		}
		x.tell("services start")
		if !wait.For(ctx, batchEvery) {
			break
		}
	}
	x.r.SettledIn = time.Since(began).Seconds()
	if x.r.Settled {
		wait.For(ctx, settings.Seconds(x.c.HeartbeatInterval)) // what the starts brought about
	}
}

// faults ends controllers at their times. The channel closes once that is over.
func (x *run) faults(ctx context.Context) <-chan struct{} {
	over := make(chan struct{})
	go func() {
		defer close(over)
		if at := x.c.Faults.KillOneAt; at > 0 && wait.For(ctx, settings.Seconds(at)) {
			x.g.end(ctx, x.g.controllers[:1])
		}
		if at := x.c.Faults.KillAllAt; at > 0 && wait.For(ctx, time.Until(x.began.Add(settings.Seconds(at)))) {
			x.g.end(ctx, x.g.controllers)
		}
	}()
	return over
}

// begin starts to measure.
func (x *run) begin() {
	for _, p := range x.g.controllers {
		x.watched = append(x.watched, &watched{name: p.name, pid: p.pid()})
	}
	for i, p := range x.g.pools {
		x.watched = append(x.watched, &watched{name: fmt.Sprintf("workers-%d", i), pid: p.cmd.Process.Pid})
	}
	x.watched = append(x.watched, &watched{name: "stand-ins and users", pid: os.Getpid()})
	for _, w := range x.watched {
		w.begin()
	}
	x.counts, x.before, x.busy, x.polls = x.g.total(), x.g.traffic.list(nil), machineBusy(), x.u.polls.Load()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	rules := x.g.rules
	rules.urgent, rules.others, rules.gap, rules.last, x.g.trips = newWaits(), newWaits(), 0, time.Now(), newTrips()
	x.starts, x.ends, x.began = rules.starts, rules.ends, time.Now()
}

func (x *run) sample() {
	for i, w := range x.watched {
		if i < len(x.g.controllers) {
			w.replaced(x.g.controllers[i].pid())
		}
		w.sample()
	}
}

// tell says how the run goes, every few seconds.
func (x *run) tell(doing string) {
	if time.Since(x.lastTold) < tellEvery {
		return
	}
	x.lastTold = time.Now()
	homed, on := x.g.reached()
	x.g.mu.Lock()
	starts, breaks := x.g.rules.starts, x.g.rules.breaks
	x.g.mu.Unlock()
	fmt.Fprintf(x.o.Out, "%s: %d of %d workers answered, %d tasks run, %d starts so far, %d rules broken\n", doing, homed, x.c.Agents, on, starts, breaks)
}

// sumUp fills in the result.
func (x *run) sumUp() {
	x.sample()
	r, g := x.r, x.g
	r.Measured = time.Since(x.began).Seconds()
	counts := g.total()
	counts.add(x.counts, -1)
	r.Traffic = append(g.traffic.list(x.before), workerTraffic(counts)...)
	own := 0.0
	for i, w := range x.watched {
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
	r.MachineBusy = (machineBusy() - x.busy) / r.Measured
	r.OthersBusy = max(0, r.MachineBusy-own)
	r.Heartbeats, r.LeasesExpired, r.Redirected, r.HeartbeatsFailed = float64(counts.Heartbeats)/r.Measured, counts.Expired, counts.Redirected, counts.Failed
	bytes := counts.HeartbeatBytes + counts.AnswerBytes + counts.CommandBytes + counts.ResultBytes
	r.BytesPerAgent = float64(bytes) / r.Measured / float64(x.c.Agents)
	r.Connected, r.Running = g.reached()
	r.Polls, r.UsersRetried, r.NotSubmitted = float64(x.u.polls.Load()-x.polls)/r.Measured, x.u.failed.Load(), x.u.left.Load()
	r.StoreRefused = g.state.CountRefused()
	g.cloud.mu.Lock()
	r.MachinesReturned = g.cloud.returned
	g.cloud.mu.Unlock()
	x.sumUpStarts()
	r.Overviews = x.seen()
}

// sumUpStarts fills in what is known of starts.
func (x *run) sumUpStarts() {
	r, g := x.r, x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Starts, r.Ends = float64(g.rules.starts-x.starts)/r.Measured, float64(g.rules.ends-x.ends)/r.Measured
	r.UrgentWait, r.UsualWait, r.HeartbeatLatency = quantiles(g.rules.urgent), quantiles(g.rules.others), quantiles(g.trips)
	r.LongestGap, r.MaxQuotaUse = max(g.rules.gap, time.Since(g.rules.last)).Seconds(), g.rules.most
}

// workerTraffic is what agents sent and got, as other messages are counted.
func workerTraffic(c Counts) []Traffic {
	return []Traffic{
		{"workers", "report", c.Heartbeats, c.HeartbeatBytes, c.AnswerBytes},
		{"workers", "command", c.Commands, c.CommandBytes, c.ResultBytes},
	}
}

// seen asks the controllers what they see; one that does not answer is left out.
func (x *run) seen() (all []ControllerOverview) {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for _, p := range x.g.controllers {
		resp, err := client.Get("http://" + p.listen + "/overview")
		if err != nil {
			continue
		}
		var o overview
		if json.NewDecoder(resp.Body).Decode(&o) == nil {
			all = append(all, o.seen())
		}
		_ = resp.Body.Close() // it was read
	}
	return all
}
