package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/history"
	"topazhollow/internal/protocol"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// CombinedTrial is two or three troubles around one moment and what came of them.
type CombinedTrial struct {
	Seed    uint64        `json:"seed"`
	Faults     []string      `json:"met"`
	Broken  string        `json:"broken,omitempty"`
	Settled time.Duration `json:"settled_ns"` // from the end of the troubles until all that was accepted was done
}

// meetingRegion has short times, so that a day of troubles takes half a minute.
func meetingRegion() regionSize {
	size := smallRegion
	size.lease, size.cancel = 4, 12
	return size
}

// checkSlack is what a busy machine may add to the time of a cancellation before the simulation calls it broken.
const checkSlack = time.Second

// CombinedFaults simulates drawn troubles that overlap against real controller processes on loopback, each meeting in a region of
// its own, with jobs whose tasks end far apart and jobs of long tasks that are cancelled meanwhile.
func CombinedFaults(ctx context.Context, o TrialOptions) ([]CombinedTrial, error) {
	trials := make([]CombinedTrial, o.Trials)
	err := runTrials(ctx, o.Trials, o.AtOnce, o.Out, func(ctx context.Context, i int) (string, error) {
		t := &trials[i]
		t.Seed = o.Seed + uint64(i)
		dir := filepath.Join(o.Dir, fmt.Sprint(t.Seed))
		rng := rand.New(rand.NewPCG(t.Seed, 29))
		g := &region{dir: dir, program: o.Program, rng: rng, size: meetingRegion(), client: &http.Client{Timeout: 3 * time.Second},
			check: simulation.NewChecker(map[string]float64{"red": 24, "blue": 16}), run: meetingRun}
		g.check.CancelTimeout = time.Duration(g.size.cancel*float64(time.Second)) + checkSlack
		var err error
		if t.Broken, err = g.runTrial(ctx, func() error { return g.runCombined(ctx, t) }); err != nil {
			return "", err
		}
		verdict, err := verdictOf(dir, t.Broken)
		return fmt.Sprintf("seed %d: %s: settled after %s, %s", t.Seed, strings.Join(t.Faults, " + "), t.Settled.Round(100*time.Millisecond), verdict), err
	})
	if err != nil {
		return nil, err
	}
	return trials, nil
}

// firstLong is the number from which on jobs have tasks that never end by themselves.
const firstLong = 500

// meetingRun has the tasks of a job end far apart.
func meetingRun(task string) time.Duration {
	uid, index, _ := protocol.SplitTask(task)
	var number int
	if _, err := fmt.Sscanf(uid, "job-%d", &number); err == nil && number >= firstLong {
		return time.Hour
	}
	return time.Second + time.Duration(index%3)*4*time.Second
}

// runCombined has jobs accepted, troubles around one moment, cancellations and close looks in between, and sees that all
// comes to its end.
func (g *region) runCombined(ctx context.Context, t *CombinedTrial) error {
	m := &combinedFaults{region: g, users: simulation.NewUsers(g.listen, g.check), seed: t.Seed}
	defer m.users.Close()
	for i := range 4 {
		m.short, m.long = append(m.short, arrayJob(i, 2+i%2)), append(m.long, arrayJob(firstLong+i, 2))
		if err := errors.Join(m.accept(ctx, m.long[i]), m.accept(ctx, m.short[i])); err != nil {
			return err
		}
	}
	if err := g.await(ctx, "tasks run", func() bool { return g.check.CountRunning() > 6 }); err != nil {
		return err
	}
	if err := m.trouble(ctx, t); err != nil {
		return err
	}
	began := time.Now()
	if err := m.settle(ctx); err != nil {
		return err
	}
	t.Settled = time.Since(began)
	if err := g.await(ctx, "nothing is left on machines", func() bool { return g.check.CountRunning() == 0 }); err != nil {
		return err
	}
	if found := history.Check(m.users.Log().Calls()); len(found) > 0 {
		return fmt.Errorf("%d answers contradict earlier ones, as %v", len(found), found[0])
	}
	return nil
}

// combinedFaults is one drawn meeting while it is played.
type combinedFaults struct {
	*region
	users       *simulation.Users
	seed        uint64
	short, long []*protocol.Submission // jobs that end by themselves, and jobs that are cancelled
}

// awaitTimeout bounds what a user repeats.
const awaitTimeout = 90 * time.Second

// draws gives numbers of one user's own: how often others asked until now depends on the machine.
func (m *combinedFaults) draws(user uint64) *rand.Rand {
	return rand.New(rand.NewPCG(m.seed, 100+user))
}

// repeat does something that a user repeats until it is answered.
func (m *combinedFaults) repeat(ctx context.Context, what string, until func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	if !until(ctx) {
		return fmt.Errorf("never came true: %s", what)
	}
	return nil
}

func (m *combinedFaults) accept(ctx context.Context, job *protocol.Submission) error {
	return m.repeat(ctx, job.UID+" accepted", func(ctx context.Context) bool { return m.users.SubmitUntil(ctx, m.rng, job) })
}

// trouble plays two or three drawn troubles that overlap, while users cancel the long jobs and look closely at all.
func (m *combinedFaults) trouble(ctx context.Context, t *CombinedTrial) error {
	troubles, during := errgroup.WithContext(ctx)
	draw := rand.New(rand.NewPCG(m.seed, 37))
	count := 2 + draw.IntN(2)
	for _, k := range draw.Perm(len(combinedFaultKinds))[:count] {
		x := combinedFaultKinds[k]
		t.Faults = append(t.Faults, x.name)
		own := rand.New(rand.NewPCG(m.seed, uint64(k)))
		// The same controller for most of them: troubles of one meet there.
		one, after := int(m.seed%3), time.Duration(own.IntN(4000))*time.Millisecond
		if own.IntN(4) == 0 {
			one = own.IntN(3)
		}
		lasts := time.Duration(3000+own.IntN(9000)) * time.Millisecond
		troubles.Go(func() error {
			wait.For(during, after)
			return x.play(during, m.region, own, one, lasts)
		})
	}
	for i, job := range m.long {
		after := time.Duration(draw.IntN(8000)) * time.Millisecond
		troubles.Go(func() error {
			wait.For(during, after)
			return m.cancelAndLook(during, uint64(i), job)
		})
	}
	return troubles.Wait()
}

// closeLooks is how often each controller is asked within milliseconds.
const closeLooks = 3

// cancelAndLook has a job cancelled, and all controllers asked for it and another job at once.
func (m *combinedFaults) cancelAndLook(ctx context.Context, user uint64, job *protocol.Submission) error {
	if err := m.repeat(ctx, job.UID+" cancelled", func(ctx context.Context) bool { return m.users.CancelUntil(ctx, m.draws(user), job.UID) }); err != nil {
		return err
	}
	m.users.AskEveryController(job, closeLooks)
	m.users.AskEveryController(m.short[user], closeLooks)
	return nil
}

// settle sees every job end, and one that comes after all troubles.
func (m *combinedFaults) settle(ctx context.Context) error {
	late := arrayJob(90, 3)
	if err := m.accept(ctx, late); err != nil {
		return err
	}
	for i, job := range append(append(m.short, late), m.long...) {
		rng := m.draws(uint64(20 + i))
		if err := m.repeat(ctx, job.UID+" ends", func(ctx context.Context) bool { return m.users.AwaitEnd(ctx, rng, job.UID) }); err != nil {
			return err
		}
		m.users.AskEveryController(job, 1)
	}
	return nil
}
