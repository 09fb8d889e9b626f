package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/rehearse"
	"topazhollow/internal/wait"
	"topazhollow/internal/wire"
)

// MeetingTrial is two or three troubles around one moment and what came of them.
type MeetingTrial struct {
	Seed    uint64        `json:"seed"`
	Met     []string      `json:"met"`
	Broken  string        `json:"broken,omitempty"`
	Settled time.Duration `json:"settled_ns"` // from the end of the troubles until all that was accepted was done
}

// meetingRegion has short times, so that a day of troubles takes half a minute.
func meetingRegion() regionSize {
	size := smallRegion
	size.lease, size.cancel = 4, 12
	return size
}

// checkSlack is what a busy machine may add to the time of a cancellation before the rehearsal calls it broken.
const checkSlack = time.Second

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
	{"deaf machine", onMachine(func(w *rehearse.Worker, _ int, on bool) { w.Deaf(on) })},
	{"machine cut", onMachine(func(w *rehearse.Worker, _ int, on bool) { w.Cut(on) })},
	{"machine heard by one only", onMachine(func(w *rehearse.Worker, one int, on bool) {
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
func onMachine(set func(w *rehearse.Worker, one int, on bool)) func(context.Context, *lossRegion, *rand.Rand, int, time.Duration) error {
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

// Meetings rehearses drawn troubles that overlap against real controller processes on loopback, each meeting in a region of
// its own, with jobs whose tasks end far apart and jobs of long tasks that are withdrawn meanwhile.
func Meetings(ctx context.Context, o Draw) ([]MeetingTrial, error) {
	trials := make([]MeetingTrial, o.Trials)
	err := each(ctx, o.Trials, o.AtOnce, o.Out, func(ctx context.Context, i int) (string, error) {
		t := &trials[i]
		t.Seed = o.Seed + uint64(i)
		dir := filepath.Join(o.Dir, fmt.Sprint(t.Seed))
		rng := rand.New(rand.NewPCG(t.Seed, 29))
		g := &lossRegion{dir: dir, program: o.Program, rng: rng, size: meetingRegion(), client: &http.Client{Timeout: 3 * time.Second},
			check: rehearse.NewChecker(map[string]float64{"red": 24, "blue": 16}), run: meetingRun}
		g.check.Cancel = time.Duration(g.size.cancel*float64(time.Second)) + checkSlack
		var err error
		if t.Broken, err = g.trial(ctx, func() error { return g.meet(ctx, t) }); err != nil {
			return "", err
		}
		verdict, err := judged(dir, t.Broken)
		return fmt.Sprintf("seed %d: %s: settled after %s, %s", t.Seed, strings.Join(t.Met, " + "), t.Settled.Round(100*time.Millisecond), verdict), err
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
	uid, index, _ := wire.SplitTask(task)
	var number int
	if _, err := fmt.Sscanf(uid, "job-%d", &number); err == nil && number >= firstLong {
		return time.Hour
	}
	return time.Second + time.Duration(index%3)*4*time.Second
}

// meet has jobs accepted, troubles around one moment, withdrawals in between, and sees that all comes to its end.
func (g *lossRegion) meet(ctx context.Context, t *MeetingTrial) error {
	var jobs, long []*wire.Submission
	for i := range 4 {
		jobs, long = append(jobs, array(i, 2+i%2)), append(long, array(firstLong+i, 2))
		for _, j := range []*wire.Submission{long[i], jobs[i]} {
			if err := g.submit(ctx, j); err != nil {
				return err
			}
		}
	}
	if err := g.until(ctx, "tasks run", func() bool { return g.check.On() > 6 }); err != nil {
		return err
	}
	troubles, during := errgroup.WithContext(ctx)
	draw := rand.New(rand.NewPCG(t.Seed, 37)) // of its own: how often users asked until now depends on the machine
	count := 2 + draw.IntN(2)
	for _, k := range draw.Perm(len(meetingTroubles))[:count] {
		x := meetingTroubles[k]
		t.Met = append(t.Met, x.name)
		own := rand.New(rand.NewPCG(t.Seed, uint64(k)))
		// The same controller for most of them: troubles of one meet there.
		one, after := int(t.Seed%3), time.Duration(own.IntN(4000))*time.Millisecond
		if own.IntN(4) == 0 {
			one = own.IntN(3)
		}
		lasts := time.Duration(3000+own.IntN(9000)) * time.Millisecond
		troubles.Go(func() error {
			wait.For(during, after)
			return x.play(during, g, own, one, lasts)
		})
	}
	for i, j := range long { // their users ask until they are told, and go on asking
		g.check.Withdrawing(j.UID)
		asks := rand.New(rand.NewPCG(t.Seed, 100+uint64(i)))
		after := time.Duration(draw.IntN(8000)) * time.Millisecond
		troubles.Go(func() error {
			wait.For(during, after)
			return g.until(during, j.UID+" withdrawn", func() bool {
				status, st := g.askOf(asks, "POST", wire.PathSubmit+"/"+j.UID+"/withdraw", struct{}{})
				g.check.Told(j.UID, status, st.State, false)
				return status == http.StatusOK
			})
		})
	}
	if err := troubles.Wait(); err != nil {
		return err
	}
	began := time.Now()
	for _, j := range jobs {
		if err := g.reaches(ctx, j.UID, wire.Done); err != nil {
			return err
		}
	}
	late := array(90, 3)
	if err := g.submit(ctx, late); err != nil {
		return err
	}
	if err := g.reaches(ctx, late.UID, wire.Done); err != nil {
		return err
	}
	for _, j := range long {
		if err := g.reaches(ctx, j.UID, wire.Withdrawn); err != nil {
			return err
		}
	}
	t.Settled = time.Since(began)
	return g.until(ctx, "nothing is left on machines", func() bool { return g.check.On() == 0 })
}
