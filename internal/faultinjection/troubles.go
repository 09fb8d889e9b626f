package faultinjection

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// meetingTroubles are what is drawn: each begins, lasts for a time, and ends.
var meetingTroubles = []struct {
	name string
	play func(ctx context.Context, g *lossRegion, rng *rand.Rand, one int, lasts time.Duration) error
}{
	{"refused", func(ctx context.Context, g *lossRegion, _ *rand.Rand, one int, lasts time.Duration) error {
		g.doors[one].Refuse(true)
		defer g.doors[one].Refuse(false)
		wait.For(ctx, lasts)
		return nil
	}},
	{"no state, no peers", func(ctx context.Context, g *lossRegion, _ *rand.Rand, one int, lasts time.Duration) error {
		g.doors[one].Refuse(true)
		g.pipes.Apart(one, true)
		defer g.doors[one].Refuse(false)
		defer g.pipes.Apart(one, false)
		wait.For(ctx, lasts)
		return nil
	}},
	{"links refused", func(ctx context.Context, g *lossRegion, _ *rand.Rand, _ int, lasts time.Duration) error {
		for i := range g.nodes {
			g.pipes.Apart(i, true)
			defer g.pipes.Apart(i, false)
		}
		wait.For(ctx, lasts)
		return nil
	}},
	{"outage", func(ctx context.Context, g *lossRegion, _ *rand.Rand, _ int, lasts time.Duration) error {
		g.state.Outage(true)
		defer g.state.Outage(false)
		wait.For(ctx, 2*lasts)
		return nil
	}},
	{"late writes", func(ctx context.Context, g *lossRegion, rng *rand.Rand, _ int, lasts time.Duration) error {
		var mu sync.Mutex
		for _, d := range g.doors {
			d.Late(func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if rng.IntN(3) > 0 {
					return 0
				}
				return time.Duration(200+rng.IntN(6000)) * time.Millisecond
			})
			defer d.Late(nil)
		}
		wait.For(ctx, lasts)
		return nil
	}},
	{"late reports", func(ctx context.Context, g *lossRegion, rng *rand.Rand, _ int, lasts time.Duration) error {
		var mu sync.Mutex
		for _, w := range g.cloud.Workers() {
			w.Again(func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(rng.IntN(2)*(500+rng.IntN(7000))) * time.Millisecond
			})
			defer w.Again(nil)
		}
		wait.For(ctx, lasts)
		return nil
	}},
	{"lost answers", func(ctx context.Context, g *lossRegion, rng *rand.Rand, _ int, lasts time.Duration) error {
		drawn := oneInTurn(rng, 4)
		for _, d := range g.doors {
			d.Unanswered(func(*protocol.Txn) bool { return drawn() })
			defer d.Unanswered(nil)
		}
		wait.For(ctx, lasts)
		return nil
	}},
	{"late commands", func(ctx context.Context, g *lossRegion, rng *rand.Rand, _ int, lasts time.Duration) error {
		drawn, held := oneInTurn(rng, 2), time.Duration(500+rng.IntN(5000))*time.Millisecond
		for _, w := range g.cloud.Workers() {
			w.SlowCommands(func(*protocol.DirectCommands) time.Duration {
				if drawn() {
					return held
				}
				return 0
			})
			defer w.SlowCommands(nil)
		}
		wait.For(ctx, lasts)
		return nil
	}},
	{"reports for the next leader", func(ctx context.Context, g *lossRegion, rng *rand.Rand, one int, _ time.Duration) error {
		machines := g.cloud.Workers()
		for _, w := range machines {
			w.KeepCopies(true)
			w.HoldReports(rng.IntN(3))
		}
		wait.For(ctx, time.Duration(1000+rng.IntN(2000))*time.Millisecond)
		g.kill(one)
		wait.For(ctx, time.Duration(1500+rng.IntN(3000))*time.Millisecond)
		for _, w := range machines {
			w.KeepCopies(false)
			w.HoldReports(0)
			w.Deliver(regionNames...)
		}
		return g.start(one)
	}},
	{"mute machine", onMachine(func(w *simulation.Worker, _ int, on bool) { w.Mute(on) })},
	{"machine hangs", onMachine(func(w *simulation.Worker, _ int, on bool) { w.Hang(on) })},
	{"machine gone", func(_ context.Context, g *lossRegion, rng *rand.Rand, _ int, _ time.Duration) error {
		if ws := g.cloud.Workers(); len(ws) > 0 {
			g.cloud.Take(ws[rng.IntN(len(ws))].Name())
		}
		return nil
	}},
	{"deaf machine", onMachine(func(w *simulation.Worker, _ int, on bool) { w.Deaf(on) })},
	{"machine cut", onMachine(func(w *simulation.Worker, _ int, on bool) { w.Cut(on) })},
	{"machine heard by one only", onMachine(func(w *simulation.Worker, one int, on bool) {
		if on {
			w.Reach(regionNames[one])
		} else {
			w.Reach()
		}
	})},
	{"one ends", func(ctx context.Context, g *lossRegion, rng *rand.Rand, one int, _ time.Duration) error {
		g.kill(one)
		wait.For(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
		return g.start(one)
	}},
	{"all end", func(ctx context.Context, g *lossRegion, rng *rand.Rand, _ int, _ time.Duration) error {
		for i := range g.nodes {
			g.kill(i)
		}
		wait.For(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
		for i := range g.nodes {
			if err := g.start(i); err != nil {
				return err
			}
		}
		return nil
	}},
	{"ends again", func(ctx context.Context, g *lossRegion, rng *rand.Rand, one int, _ time.Duration) error {
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
	{"standstill", func(ctx context.Context, g *lossRegion, _ *rand.Rand, one int, lasts time.Duration) error {
		p := g.node(one)
		if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return nil // another trouble has ended it
		}
		wait.For(ctx, lasts)
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // as above
		return nil
	}},
}

// onMachine is a trouble of one drawn machine, if there is any.
func onMachine(set func(w *simulation.Worker, one int, on bool)) func(context.Context, *lossRegion, *rand.Rand, int, time.Duration) error {
	return func(ctx context.Context, g *lossRegion, rng *rand.Rand, one int, lasts time.Duration) error {
		if ws := g.cloud.Workers(); len(ws) > 0 {
			w := ws[rng.IntN(len(ws))]
			set(w, one, true)
			defer set(w, one, false)
		}
		wait.For(ctx, lasts)
		return nil
	}
}

// oneInTurn draws one of so many, for concurrent use.
func oneInTurn(rng *rand.Rand, of int) func() bool {
	var mu sync.Mutex
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(of) == 0
	}
}
