package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/history"
	"topazhollow/internal/protocol"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// CombinedTrial is two or three overlapping faults and their outcome.
type CombinedTrial struct {
	Seed    uint64        `json:"seed"`
	Faults  []string      `json:"met"`
	Broken  string        `json:"broken,omitempty"`
	Settled time.Duration `json:"settled_ns"` // from the end of the faults until all accepted jobs had ended

	Pipelines          int      `json:"pipelines"`              // groups of jobs that need one another
	CancelledPipelines int      `json:"cancelled_pipelines"`    // of these, the ones of which a job was cancelled
	BrokenRules        []string `json:"broken_rules,omitempty"` // names of the checker's rules that were violated
}

// combinedFaultRegion returns a small region with short timeouts, so that a trial takes about half a minute.
func combinedFaultRegion() regionSize {
	size := smallRegion
	size.leaseSeconds, size.cancelSeconds = 4, 12
	return size
}

// cancelSlack is how much a busy machine may exceed the cancel timeout before the checker records a violation.
const cancelSlack = time.Second

// CombinedFaults runs trials of random overlapping faults against real controller processes on loopback, each in a
// region of its own, with jobs whose tasks end at different times and jobs of long tasks that are cancelled meanwhile.
func CombinedFaults(ctx context.Context, o TrialOptions) ([]CombinedTrial, error) {
	trials := make([]CombinedTrial, o.Trials)
	err := runTrials(ctx, o.Trials, o.AtOnce, o.Out, func(ctx context.Context, i int) (string, error) {
		t := &trials[i]
		t.Seed = o.Seed + uint64(i)
		dir := filepath.Join(o.Dir, fmt.Sprint(t.Seed))
		rng := rand.New(rand.NewPCG(t.Seed, 29))
		g := &region{dir: dir, program: o.Program, rng: rng, size: combinedFaultRegion(), client: &http.Client{Timeout: 3 * time.Second},
			checker: simulation.NewChecker(map[string]float64{"red": 24, "blue": 16}), taskDuration: combinedTaskDuration, taskFails: failFirstStarts(),
			images: drawnImages(t.Seed)}
		g.checker.CancelTimeout = time.Duration(g.size.cancelSeconds*float64(time.Second)) + cancelSlack
		var err error
		if t.Broken, err = g.runTrial(ctx, func() error { return g.runCombined(ctx, t, o.Always) }); err != nil {
			return "", err
		}
		t.BrokenRules = g.checker.BrokenRuleNames()
		verdict, err := trialVerdict(dir, t.Broken)
		return t.summary(verdict), err
	})
	if err != nil {
		return nil, err
	}
	return trials, nil
}

// summary returns a line about the trial.
func (t *CombinedTrial) summary(verdict string) string {
	rules := ""
	if len(t.BrokenRules) > 0 {
		rules = " [" + strings.Join(t.BrokenRules, ", ") + "]"
	}
	return fmt.Sprintf("seed %d: %s: %d pipelines, %d with a cancelled job: settled after %s, %s%s", t.Seed, strings.Join(t.Faults, " + "),
		t.Pipelines, t.CancelledPipelines, t.Settled.Round(100*time.Millisecond), verdict, rules)
}

// firstLongJob is the lowest number of a job whose tasks run until they are stopped.
const firstLongJob = 500

// combinedTaskDuration returns a task's duration. The tasks of a short job end four seconds apart.
func combinedTaskDuration(task string) time.Duration {
	uid, index, _ := protocol.SplitTask(task)
	var number int
	if _, err := fmt.Sscanf(uid, "job-%d", &number); err == nil && number >= firstLongJob {
		return time.Hour
	}
	return time.Second + time.Duration(index%3)*4*time.Second
}

// failingIndex is the index of the tasks that fail at their first start.
const failingIndex = 1

// failFirstStarts returns a function that lets the first start of some tasks fail.
func failFirstStarts() func(task string) bool {
	var mu sync.Mutex
	started := map[string]bool{}
	return func(task string) bool {
		_, index, _ := protocol.SplitTask(task)
		mu.Lock()
		defer mu.Unlock()
		first := !started[task]
		started[task] = true
		return first && index%3 == failingIndex
	}
}

// firstGang is the lowest number of a gang.
const firstGang = 80

// runCombined submits jobs, injects overlapping faults while users cancel and query jobs, waits until all jobs have
// ended, and checks the answers against each other.
func (g *region) runCombined(ctx context.Context, t *CombinedTrial, always []string) error {
	f := &combinedFaults{region: g, users: simulation.NewUsers(g.listen, g.checker), seed: t.Seed, always: always}
	defer f.users.Close()
	for i := range 4 {
		f.short, f.long = append(f.short, arrayJob(i, 2+i%2)), append(f.long, arrayJob(firstLongJob+i, 2))
		if err := errors.Join(f.submitUntilAccepted(ctx, f.long[i]), f.submitUntilAccepted(ctx, f.short[i])); err != nil {
			return err
		}
	}
	for i := range 2 {
		gang := gangJob(firstGang+i, 2+i)
		if err := f.submitUntilAccepted(ctx, gang); err != nil {
			return err
		}
		f.short = append(f.short, gang)
	}
	if err := g.await(ctx, "seven tasks are running", func() bool { return g.checker.CountRunning() > 6 }); err != nil {
		return err
	}
	if err := f.injectFaults(ctx, t); err != nil {
		return err
	}
	began := time.Now()
	if err := f.awaitAllEnded(ctx); err != nil {
		return err
	}
	t.Settled = time.Since(began)
	t.Pipelines, t.CancelledPipelines = len(f.pipelines), f.countCancelledPipelines()
	if err := g.await(ctx, "no task is left on a machine", func() bool { return g.checker.CountRunning() == 0 }); err != nil {
		return err
	}
	if found := history.Check(f.users.Log().Calls()); len(found) > 0 {
		return fmt.Errorf("%d answers contradict earlier ones, for example %v", len(found), found[0])
	}
	return f.checkPipelineEnds()
}

// combinedFaults is a trial while it runs.
type combinedFaults struct {
	*region
	users       *simulation.Users
	seed        uint64
	always      []string               // names of faults that are injected beside the drawn ones
	short, long []*protocol.Submission // jobs that end by themselves, and jobs that are cancelled
	pipelines   []*pipelineUser
}

// userTimeout bounds how long a user repeats a request.
const userTimeout = 90 * time.Second

// userRand returns a random source for one user. A shared one would depend on how often other users made requests
// before, and therefore on the machine's speed.
func (f *combinedFaults) userRand(user uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.seed, 100+user))
}

// withUserTimeout runs a function that repeats a request until it is answered, for at most userTimeout.
func (f *combinedFaults) withUserTimeout(ctx context.Context, what string, until func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	if !until(ctx) {
		return fmt.Errorf("timed out waiting until: %s", what)
	}
	return nil
}

func (f *combinedFaults) submitUntilAccepted(ctx context.Context, job *protocol.Submission) error {
	return f.withUserTimeout(ctx, job.UID+" is accepted", func(ctx context.Context) bool { return f.users.SubmitUntil(ctx, f.rng, job) })
}

// injectFaults injects two or three random overlapping faults while users cancel the long jobs and query all
// controllers.
func (f *combinedFaults) injectFaults(ctx context.Context, t *CombinedTrial) error {
	group, during := errgroup.WithContext(ctx)
	draw := rand.New(rand.NewPCG(f.seed, 37))
	for _, k := range f.drawFaults(draw) {
		x := combinedFaultKinds[k]
		t.Faults = append(t.Faults, x.name)
		own := rand.New(rand.NewPCG(f.seed, uint64(k)))
		// Most faults affect the same controller, so that they overlap there.
		one, after := int(f.seed%3), time.Duration(own.IntN(4000))*time.Millisecond
		if own.IntN(4) == 0 {
			one = own.IntN(3)
		}
		duration := time.Duration(3000+own.IntN(9000)) * time.Millisecond
		group.Go(func() error {
			wait.For(during, after)
			return x.play(during, f.region, own, one, duration)
		})
	}
	f.startPipelines(during, group)
	for i, job := range f.long {
		after := time.Duration(draw.IntN(8000)) * time.Millisecond
		group.Go(func() error {
			wait.For(during, after)
			return f.cancelAndQuery(during, uint64(i), job)
		})
	}
	return group.Wait()
}

// drawFaults returns the indices of two or three drawn faults, and of those that are always injected.
func (f *combinedFaults) drawFaults(draw *rand.Rand) []int {
	count := 2 + draw.IntN(2)
	kinds := draw.Perm(len(combinedFaultKinds))[:count]
	for k, x := range combinedFaultKinds {
		if slices.Contains(f.always, x.name) && !slices.Contains(kinds, k) {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// queriesPerController is how often each controller is queried in immediate succession.
const queriesPerController = 3

// cancelAndQuery cancels a long job and then queries all controllers concurrently about it and about a short job.
func (f *combinedFaults) cancelAndQuery(ctx context.Context, user uint64, job *protocol.Submission) error {
	if err := f.withUserTimeout(ctx, job.UID+" is cancelled", func(ctx context.Context) bool { return f.users.CancelUntil(ctx, f.userRand(user), job.UID) }); err != nil {
		return err
	}
	f.users.AskEveryController(job, queriesPerController)
	f.users.AskEveryController(f.short[user], queriesPerController)
	return nil
}

// awaitAllEnded submits one more job after the faults and waits until all jobs have ended.
func (f *combinedFaults) awaitAllEnded(ctx context.Context) error {
	late := arrayJob(90, 3)
	if err := f.submitUntilAccepted(ctx, late); err != nil {
		return err
	}
	jobs := append(append(f.short, late), f.long...)
	for _, user := range f.pipelines {
		jobs = append(jobs, user.pipeline.Jobs...)
	}
	for i, job := range jobs {
		rng := f.userRand(uint64(20 + i))
		if err := f.withUserTimeout(ctx, job.UID+" ends", func(ctx context.Context) bool { return f.users.AwaitEnd(ctx, rng, job.UID) }); err != nil {
			return err
		}
		f.users.AskEveryController(job, 1)
	}
	return nil
}
