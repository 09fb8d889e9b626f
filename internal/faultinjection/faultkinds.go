package faultinjection

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// Faults of which a trial can be told to have them always: copies of messages that were executed and answered arrive again.
const (
	RepeatedCommands = "repeated commands"
	RepeatedWrites   = "repeated writes"
)

// lateCopy is how late a copy of a message may arrive: half as long again as an agent's lease.
func (g *region) lateCopy() time.Duration { return settings.Seconds(1.5 * g.size.leaseSeconds) }

// drawDelays returns a function that draws a delay of up to a limit in one of the given number of calls on average, and 0
// otherwise. The function is safe for concurrent use.
func drawDelays(rng *rand.Rand, of int, limit time.Duration) func() time.Duration {
	var mu sync.Mutex
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if rng.IntN(of) > 0 {
			return 0
		}
		return time.Duration(1 + rng.Int64N(int64(limit)))
	}
}

// combinedFaultKinds are the faults that a trial draws from. play injects the fault, waits for its duration and removes
// it; one is the index of the affected controller. Some faults have a duration of their own or affect all controllers.
var combinedFaultKinds = []struct {
	name string
	play func(ctx context.Context, g *region, rng *rand.Rand, one int, duration time.Duration) error
}{
	{"refused", func(ctx context.Context, g *region, _ *rand.Rand, one int, duration time.Duration) error {
		g.endpoints[one].RefuseAll(true)
		defer g.endpoints[one].RefuseAll(false)
		wait.For(ctx, duration)
		return nil
	}},
	{"no state, no peers", func(ctx context.Context, g *region, _ *rand.Rand, one int, duration time.Duration) error {
		g.endpoints[one].RefuseAll(true)
		g.pipes.Isolate(one, true)
		defer g.endpoints[one].RefuseAll(false)
		defer g.pipes.Isolate(one, false)
		wait.For(ctx, duration)
		return nil
	}},
	{"links refused", func(ctx context.Context, g *region, _ *rand.Rand, _ int, duration time.Duration) error {
		for i := range g.processes {
			g.pipes.Isolate(i, true)
			defer g.pipes.Isolate(i, false)
		}
		wait.For(ctx, duration)
		return nil
	}},
	{"outage", func(ctx context.Context, g *region, _ *rand.Rand, _ int, duration time.Duration) error {
		g.store.SetOutage(true)
		defer g.store.SetOutage(false)
		wait.For(ctx, 2*duration)
		return nil
	}},
	{"late writes", func(ctx context.Context, g *region, rng *rand.Rand, _ int, duration time.Duration) error {
		var mu sync.Mutex
		for _, d := range g.endpoints {
			d.DelayTransactions(func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if rng.IntN(3) > 0 {
					return 0
				}
				return time.Duration(200+rng.IntN(6000)) * time.Millisecond
			})
			defer d.DelayTransactions(nil)
		}
		wait.For(ctx, duration)
		return nil
	}},
	{"late reports", func(ctx context.Context, g *region, rng *rand.Rand, _ int, duration time.Duration) error {
		var mu sync.Mutex
		for _, w := range g.cloud.Agents() {
			w.RepeatHeartbeats(func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(rng.IntN(2)*(500+rng.IntN(7000))) * time.Millisecond
			})
			defer w.RepeatHeartbeats(nil)
		}
		wait.For(ctx, duration)
		return nil
	}},
	{"lost answers", func(ctx context.Context, g *region, rng *rand.Rand, _ int, duration time.Duration) error {
		drawn := drawOneIn(rng, 4)
		for _, d := range g.endpoints {
			d.DropAnswers(func(*protocol.Txn) bool { return drawn() })
			defer d.DropAnswers(nil)
		}
		wait.For(ctx, duration)
		return nil
	}},
	{"late commands", func(ctx context.Context, g *region, rng *rand.Rand, _ int, duration time.Duration) error {
		drawn, held := drawOneIn(rng, 2), time.Duration(500+rng.IntN(5000))*time.Millisecond
		for _, w := range g.cloud.Agents() {
			w.DelayCommands(func(*protocol.DirectCommands) time.Duration {
				if drawn() {
					return held
				}
				return 0
			})
			defer w.DelayCommands(nil)
		}
		wait.For(ctx, duration)
		return nil
	}},
	{RepeatedCommands, func(ctx context.Context, g *region, rng *rand.Rand, _ int, duration time.Duration) error {
		delay := drawDelays(rng, 2, g.lateCopy())
		for _, w := range g.cloud.Agents() {
			w.RepeatCommands(func(*protocol.DirectCommands) time.Duration { return delay() })
			defer w.RepeatCommands(nil)
		}
		wait.For(ctx, duration)
		return nil
	}},
	{RepeatedWrites, func(ctx context.Context, g *region, rng *rand.Rand, _ int, duration time.Duration) error {
		delay := drawDelays(rng, 2, g.lateCopy())
		for _, d := range g.endpoints {
			d.RepeatTransactions(delay)
			defer d.RepeatTransactions(nil)
		}
		wait.For(ctx, duration)
		return nil
	}},
	{"reports for the next leader", func(ctx context.Context, g *region, rng *rand.Rand, one int, _ time.Duration) error {
		machines := g.cloud.Agents()
		for _, w := range machines {
			w.CopyHeartbeats(true)
			w.HoldHeartbeats(rng.IntN(3))
		}
		wait.For(ctx, time.Duration(1000+rng.IntN(2000))*time.Millisecond)
		g.kill(one)
		wait.For(ctx, time.Duration(1500+rng.IntN(3000))*time.Millisecond)
		for _, w := range machines {
			w.CopyHeartbeats(false)
			w.HoldHeartbeats(0)
			w.DeliverHeld(controllerNames...)
		}
		return g.start(one)
	}},
	{"mute machine", machineFault(func(w *simulation.Agent, _ int, on bool) { w.DropHeartbeats(on) })},
	{"machine hangs", machineFault(func(w *simulation.Agent, _ int, on bool) { w.Hang(on) })},
	{"machine gone", func(_ context.Context, g *region, rng *rand.Rand, _ int, _ time.Duration) error {
		if ws := g.cloud.Agents(); len(ws) > 0 {
			g.cloud.TerminateMachine(ws[rng.IntN(len(ws))].Name())
		}
		return nil
	}},
	{"deaf machine", machineFault(func(w *simulation.Agent, _ int, on bool) { w.DropAnswers(on) })},
	{"machine cut", machineFault(func(w *simulation.Agent, _ int, on bool) { w.DisconnectNetwork(on) })},
	{"machine heard by one only", machineFault(func(w *simulation.Agent, one int, on bool) {
		if on {
			w.LimitReach(controllerNames[one])
		} else {
			w.LimitReach()
		}
	})},
	{"one ends", func(ctx context.Context, g *region, rng *rand.Rand, one int, _ time.Duration) error {
		g.kill(one)
		wait.For(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
		return g.start(one)
	}},
	{"all end", func(ctx context.Context, g *region, rng *rand.Rand, _ int, _ time.Duration) error {
		for i := range g.processes {
			g.kill(i)
		}
		wait.For(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
		for i := range g.processes {
			if err := g.start(i); err != nil {
				return err
			}
		}
		return nil
	}},
	{"ends again", func(ctx context.Context, g *region, rng *rand.Rand, one int, _ time.Duration) error {
		for range 3 {
			g.kill(one)
			wait.For(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
			if err := g.start(one); err != nil {
				return err
			}
			wait.For(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
		}
		return nil
	}},
	{"standstill", func(ctx context.Context, g *region, _ *rand.Rand, one int, duration time.Duration) error {
		p := g.process(one)
		if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return nil // another fault killed the process
		}
		wait.For(ctx, duration)
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // another fault may have killed the process meanwhile
		return nil
	}},
}

// machineFault returns a fault that set activates and deactivates on one random machine, if there is any.
func machineFault(set func(w *simulation.Agent, one int, on bool)) func(context.Context, *region, *rand.Rand, int, time.Duration) error {
	return func(ctx context.Context, g *region, rng *rand.Rand, one int, duration time.Duration) error {
		if ws := g.cloud.Agents(); len(ws) > 0 {
			w := ws[rng.IntN(len(ws))]
			set(w, one, true)
			defer set(w, one, false)
		}
		wait.For(ctx, duration)
		return nil
	}
}

// drawOneIn returns a function that returns true in one of the given number of calls on average. The function is safe
// for concurrent use.
func drawOneIn(rng *rand.Rand, of int) func() bool {
	var mu sync.Mutex
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(of) == 0
	}
}
