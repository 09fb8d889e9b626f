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

// LossTrial is one random data loss and its outcome.
type LossTrial struct {
	Seed    uint64        `json:"seed"`
	Loss    string        `json:"loss"`
	Fault   string        `json:"trouble"`
	Broken  string        `json:"broken,omitempty"`
	Settled time.Duration `json:"settled_ns"` // from the loss until all accepted jobs were done
}

// The kinds of losses, and of faults that are active during the loss, that trials draw from. The losses are: all keys;
// a rollback to a moment between two submissions ("back") or shortly before the loss ("seconds"); the active jobs'
// keys; the lists of machines ("roster"); the control record ("record"); and the leases.
var (
	lossKinds  = []string{"all", "back", "seconds", "jobs", "roster", "record", "leases"}
	lossFaults = []string{"none", "one ends", "one is killed while rebuilding", "machine cut", "outage", "loses twice"}
)

// Losses runs trials of random losses of the state service's data against real controller processes on loopback, each
// in a region of its own. The trials are returned in the order of their seeds.
func Losses(ctx context.Context, o TrialOptions) ([]LossTrial, error) {
	trials := make([]LossTrial, o.Trials)
	err := runTrials(ctx, o.Trials, o.AtOnce, o.Out, func(ctx context.Context, i int) (string, error) {
		t := &trials[i]
		t.Seed = o.Seed + uint64(i)
		rng := rand.New(rand.NewPCG(t.Seed, 23))
		t.Loss, t.Fault = lossKinds[rng.IntN(len(lossKinds))], lossFaults[rng.IntN(len(lossFaults))]
		dir := filepath.Join(o.Dir, fmt.Sprint(t.Seed))
		if err := lossTrial(ctx, o.Program, dir, rng, t); err != nil {
			return "", err
		}
		verdict, err := trialVerdict(dir, t.Broken)
		return fmt.Sprintf("seed %d: %s, %s: settled after %s, %s", t.Seed, t.Loss, t.Fault, t.Settled.Round(100*time.Millisecond), verdict), err
	})
	if err != nil {
		return nil, err
	}
	return trials, nil
}

func lossTrial(ctx context.Context, program, dir string, rng *rand.Rand, t *LossTrial) (err error) {
	g := &region{dir: dir, program: program, rng: rng, size: smallRegion, client: &http.Client{Timeout: 4 * time.Second}, checker: simulation.NewChecker(map[string]float64{"red": 24, "blue": 16})}
	t.Broken, err = g.runTrial(ctx, func() error { return g.runLossTrial(ctx, t) })
	return err
}

var smallRegion = regionSize{machines: 6, cpus: 8, taskDuration: time.Second, heartbeatSeconds: 0.2, leaseSeconds: 26.5, cancelSeconds: 60, memoryMB: 256,
	teams: []settings.Team{{Name: "red", CPUs: 16, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 16}},
	store: settings.KVStore{RequestsPerSecond: 400, ChangesPerSecond: 200, ValueKB: 16, ChangesPerTransaction: 16}, cloud: settings.Cloud{RequestsPerSecond: 20, ListLagSeconds: 0.2}}

// runLossTrial submits jobs, cancels one, and lets some complete. It then loses data while another fault is active, and
// waits until all jobs have ended.
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
			saved = g.store.Snapshot()
		}
	}
	cancelled := job(90)
	if err := g.submit(ctx, cancelled); err != nil {
		return err
	}
	g.checker.RecordCancellation(cancelled.UID)
	if err := g.await(ctx, cancelled.UID+" is cancelled", func() bool {
		status, st := g.request("POST", protocol.PathSubmit+"/"+cancelled.UID+"/withdraw", struct{}{})
		g.checker.RecordAnswer(cancelled.UID, status, st.State, false)
		return status == 200
	}); err != nil {
		return err
	}
	if t.Loss == "seconds" {
		saved = g.store.Snapshot()
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
	for _, j := range append(jobs, late) { // the state must not change any more
		if err := g.awaitState(ctx, j.UID, protocol.Done); err != nil {
			return err
		}
	}
	return g.awaitState(ctx, cancelled.UID, protocol.Cancelled)
}

// loseData drops the data of the trial's loss while the trial's fault is active. It returns after the fault has ended.
func (g *region) loseData(ctx context.Context, t *LossTrial, saved simulation.StoreSnapshot) error {
	drop := func() {
		switch t.Loss {
		case "all":
			g.store.LoseAll()
		case "back", "seconds":
			g.store.RollBack(saved)
		case "jobs":
			g.store.LosePrefix("w/a/")
		case "roster":
			g.store.LosePrefix("w/m/")
		case "record":
			g.store.LosePrefix("w/c")
		case "leases":
			g.store.LoseLeases()
		}
	}
	i := g.rng.IntN(len(g.processes))
	switch t.Fault {
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
		g.store.SetOutage(true)
		wait.For(ctx, time.Duration(g.rng.IntN(4000))*time.Millisecond)
		drop()
		g.store.SetOutage(false)
	case "loses twice":
		drop()
		wait.For(ctx, time.Duration(g.rng.IntN(3000))*time.Millisecond)
		drop()
	default:
		drop()
	}
	return nil
}
