package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// LossTrial is one drawn loss and what came of it.
type LossTrial struct {
	Seed    uint64        `json:"seed"`
	Loss    string        `json:"loss"`
	Trouble string        `json:"trouble"`
	Broken  string        `json:"broken,omitempty"`
	Settled time.Duration `json:"settled_ns"` // from the loss until all that was accepted was done
}

// The losses and troubles that are drawn.
var (
	losses   = []string{"all", "back", "seconds", "jobs", "roster", "record", "leases"}
	troubles = []string{"none", "one ends", "one is killed while rebuilding", "machine cut", "outage", "loses twice"}
)

// Losses simulates drawn losses of the key-value store's data against real controller
// processes on loopback, each in a region of its own. The trials come in the order of their seeds.
func Losses(ctx context.Context, o TrialOptions) ([]LossTrial, error) {
	trials := make([]LossTrial, o.Trials)
	err := runTrials(ctx, o.Trials, o.AtOnce, o.Out, func(ctx context.Context, i int) (string, error) {
		t := &trials[i]
		t.Seed = o.Seed + uint64(i)
		rng := rand.New(rand.NewPCG(t.Seed, 23))
		t.Loss, t.Trouble = losses[rng.IntN(len(losses))], troubles[rng.IntN(len(troubles))]
		dir := filepath.Join(o.Dir, fmt.Sprint(t.Seed))
		if err := lossTrial(ctx, o.Program, dir, rng, t); err != nil {
			return "", err
		}
		verdict, err := verdictOf(dir, t.Broken)
		return fmt.Sprintf("seed %d: %s, %s: settled after %s, %s", t.Seed, t.Loss, t.Trouble, t.Settled.Round(100*time.Millisecond), verdict), err
	})
	if err != nil {
		return nil, err
	}
	return trials, nil
}

func lossTrial(ctx context.Context, program, dir string, rng *rand.Rand, t *LossTrial) (err error) {
	g := &region{dir: dir, program: program, rng: rng, size: smallRegion, client: &http.Client{Timeout: 4 * time.Second}, check: simulation.NewChecker(map[string]float64{"red": 24, "blue": 16})}
	t.Broken, err = g.runTrial(ctx, func() error { return g.runLossTrial(ctx, t) })
	return err
}

var smallRegion = regionSize{machines: 6, cpus: 8, run: time.Second, report: 0.2, lease: 26.5, cancel: 60, memory: 256,
	teams: []settings.Team{{Name: "red", CPUs: 16, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 16}},
	state: settings.KVStore{RequestsPerSecond: 400, ChangesPerSecond: 200, ValueKB: 16, ChangesPerTransaction: 16}, cloud: settings.Cloud{RequestsPerSecond: 20, ListLagSeconds: 0.2}}

// runLossTrial has jobs accepted, one cancelled and some done, takes data away with a trouble
// beside it, and sees that everything comes to its end.
func (g *region) runLossTrial(ctx context.Context, t *LossTrial) error {
	job := func(i int) *protocol.Submission {
		s := arrayJob(i, 4+g.rng.IntN(8))
		s.Spot = i%2 == 0
		return s
	}
	var jobs []*protocol.Submission
	var saved simulation.StoreSnapshot
	for i := range 8 {
		j := job(i)
		if err := g.submit(ctx, j); err != nil {
			return err
		}
		if jobs = append(jobs, j); i == 3 {
			saved = g.state.Snapshot()
		}
	}
	gone := job(90)
	if err := g.submit(ctx, gone); err != nil {
		return err
	}
	g.check.RecordCancellation(gone.UID)
	if err := g.await(ctx, "withdrawn", func() bool {
		status, st := g.ask("POST", protocol.PathSubmit+"/"+gone.UID+"/withdraw", struct{}{})
		g.check.RecordAnswer(gone.UID, status, st.State, false)
		return status == 200
	}); err != nil {
		return err
	}
	if t.Loss == "seconds" {
		saved = g.state.Snapshot()
	}
	wait.For(ctx, time.Duration(g.rng.IntN(3000))*time.Millisecond)
	began := time.Now()
	if err := g.loseData(ctx, t, saved); err != nil {
		return err
	}
	late := job(99)
	if err := g.submit(ctx, late); err != nil {
		return err
	}
	for _, j := range append(jobs, late) {
		if err := g.awaitState(ctx, j.UID, protocol.Done); err != nil {
			return err
		}
	}
	t.Settled = time.Since(began)
	for _, j := range append(jobs, late) { // and stays so
		if err := g.awaitState(ctx, j.UID, protocol.Done); err != nil {
			return err
		}
	}
	return g.awaitState(ctx, gone.UID, protocol.Cancelled)
}

func (g *region) loseData(ctx context.Context, t *LossTrial, saved simulation.StoreSnapshot) error {
	drop := func() {
		switch t.Loss {
		case "all":
			g.state.LoseAll()
		case "back", "seconds":
			g.state.RollBack(saved)
		case "jobs":
			g.state.LosePrefix("w/a/")
		case "roster":
			g.state.LosePrefix("w/m/")
		case "record":
			g.state.LosePrefix("w/c")
		case "leases":
			g.state.LoseLeases()
		}
	}
	i := g.rng.IntN(len(g.nodes))
	switch t.Trouble {
	case "one ends":
		g.kill(i)
		drop()
		return g.start(i)
	case "one is killed while rebuilding":
		drop()
		wait.For(ctx, time.Duration(g.rng.IntN(2500))*time.Millisecond)
		g.kill(i)
		return g.start(i)
	case "machine cut":
		ws := g.cloud.Agents()
		if len(ws) > 0 {
			ws[0].DisconnectNetwork(true)
			defer ws[0].DisconnectNetwork(false)
		}
		drop()
		wait.For(ctx, 4*time.Second)
	case "outage":
		g.state.SetOutage(true)
		wait.For(ctx, time.Duration(g.rng.IntN(4000))*time.Millisecond)
		drop()
		g.state.SetOutage(false)
	case "loses twice":
		drop()
		wait.For(ctx, time.Duration(g.rng.IntN(3000))*time.Millisecond)
		drop()
	default:
		drop()
	}
	return nil
}
