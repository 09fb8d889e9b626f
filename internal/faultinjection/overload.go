package faultinjection

import (
	"context"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"topazhollow/internal/admission"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// OverloadOptions are the choices of a simulation of overload.
type OverloadOptions struct {
	TrialOptions
	Floor float64 // the controllers' class_floor
}

// OverloadTrial is one crowd of urgent work over a class of large tasks, and who was served.
type OverloadTrial struct {
	Seed     uint64             `json:"seed"`
	Trouble  string             `json:"trouble"`
	LoadFactor    float64            `json:"crowd"`            // CPUs that it asks for, of all there are
	DemandCPUs   map[string]float64 `json:"wanted_cpus"`      // that would keep up with what comes, by class
	MeanCPUs      map[string]float64 `json:"got_cpus"`         // in the mean, once floors had time to work
	MinLargeCPUs    float64            `json:"least_large_cpus"` // of the large class, over any five seconds of that time without trouble
	Jain     float64            `json:"jain"`             // of what each class got of what it wanted
	MinShare float64            `json:"smallest_share"`   // of what a class wanted
	Refused  int                `json:"refused"`          // answers that said to come back
	Broken   string             `json:"broken,omitempty"`

	samples []sample
	from    time.Duration // when floors had time to work
}

type sample struct {
	at    time.Duration
	using map[string]float64
}

var overloads = []string{"none", "one ends", "all end", "outage", "goes back"}

// The classes of the simulation. Large tasks take three quarters of a machine, so that they
// find no room where small ones take each piece that comes free.
const (
	small, large = "small", "large"
	crowdFor     = 40 * time.Second
	floorAfter   = 3 * time.Second
	settleAfter  = 19 * time.Second // until the crowd is noticed and what ran on the machines held has ended
	recoverAfter = 12 * time.Second
)

// Overloads simulates crowds with troubles against real controller processes on loopback.
func Overloads(ctx context.Context, o OverloadOptions) ([]OverloadTrial, error) {
	trials := make([]OverloadTrial, o.Trials)
	err := runTrials(ctx, o.Trials, o.AtOnce, o.Out, func(ctx context.Context, i int) (string, error) {
		t := &trials[i]
		t.Seed = o.Seed + uint64(i)
		t.Trouble = overloads[t.Seed%uint64(len(overloads))]
		dir := filepath.Join(o.Dir, fmt.Sprint(t.Seed))
		if err := overloadTrial(ctx, &o, dir, t); err != nil {
			return "", err
		}
		verdict, err := verdictOf(dir, t.Broken)
		return fmt.Sprintf("seed %d: %.1f times, %s: large %.0f of %.0f CPUs wanted, %.0f at least; small %.0f of %.0f; Jain %.2f; %d refused; %s", t.Seed, t.LoadFactor, t.Trouble,
			t.MeanCPUs[large], t.DemandCPUs[large], t.MinLargeCPUs, t.MeanCPUs[small], t.DemandCPUs[small], t.Jain, t.Refused, verdict), err
	})
	if err != nil {
		return nil, err
	}
	return trials, nil
}

func overloadTrial(ctx context.Context, o *OverloadOptions, dir string, t *OverloadTrial) (err error) {
	rng := rand.New(rand.NewPCG(t.Seed, 31))
	size := smallRegion
	size.machines = 12
	size.teams = []settings.Team{{Name: "red", CPUs: 48, CPUsMax: 96}, {Name: "blue", CPUs: 48, CPUsMax: 96}}
	g := &region{dir: dir, program: o.Program, rng: rng, size: size, client: &http.Client{Timeout: 4 * time.Second}, check: simulation.NewChecker(map[string]float64{"red": 96, "blue": 96}),
		script: fmt.Sprintf("class_floor = %g\nfloor_after_s = %g\n", o.Floor, floorAfter.Seconds())}
	g.run = func(task string) time.Duration {
		if uid, _, _ := protocol.SplitTask(task); g.check.Spec(uid) != nil && g.check.Spec(uid).Class == large {
			return 3 * time.Second
		}
		return 2 * time.Second
	}
	t.Broken, err = g.runTrial(ctx, func() error { return g.runOverload(ctx, rng, t) })
	return err
}

// runOverload hands in work for a while, several times more small and urgent tasks than there is
// room for beside large ones, and takes down who runs.
func (g *region) runOverload(ctx context.Context, rng *rand.Rand, t *OverloadTrial) error {
	cpus := float64(g.size.machines) * g.size.cpus
	t.LoadFactor = 2 + 2*rng.Float64()
	t.DemandCPUs = map[string]float64{small: t.LoadFactor * cpus, large: 6 * 6 * 3 / 2}
	c := &crowd{
		region: g,
		trial:  t,
		saved:  g.state.Snapshot(),
		failed: make(chan error, 1),
		// jobs of 12 tasks of a CPU and two seconds
		rates: map[string]float64{small: t.LoadFactor * cpus / 24, large: 0.5},
	}
	if err := c.submitAll(ctx, rng); err != nil {
		return err
	}
	if err := c.awaitDone(ctx); err != nil {
		return err
	}
	if floor := 0.5 * t.DemandCPUs[large] * 0.7; t.MinLargeCPUs < floor { // whole tasks, and the gap between two of them
		return fmt.Errorf("the large class had %.1f CPUs for five seconds, %.1f are due", t.MinLargeCPUs, floor)
	}
	return nil
}

// crowd is the users of an overload trial and what they submitted.
type crowd struct {
	*region
	trial  *OverloadTrial
	saved  simulation.StoreSnapshot
	rates  map[string]float64 // jobs a second by class
	jobs   []*protocol.Submission
	users  sync.WaitGroup
	failed chan error // the first job that was never accepted

	mu sync.Mutex // guards trial.Refused while users run
}

// submitAll has jobs submitted at their rates, injects the trial's fault in between and samples who is served. It
// returns once all jobs are accepted.
func (c *crowd) submitAll(ctx context.Context, rng *rand.Rand) error {
	t := c.trial
	began := time.Now()
	trouble := time.Duration(4+rng.IntN(8)) * time.Second
	t.from = floorAfter + settleAfter
	due := map[string]float64{}
	struck, over := false, time.Duration(0)
	for passed := time.Duration(0); passed < crowdFor; passed = time.Since(began) {
		for class, perSecond := range c.rates {
			for due[class] < perSecond*passed.Seconds()+1 {
				due[class]++
				c.submitOne(ctx, class)
			}
		}
		if !struck && passed > trouble {
			struck = true
			if err := c.injectFault(ctx, rng, t.Trouble, c.saved); err != nil {
				return err
			}
			over = time.Since(began)
		}
		t.samples = append(t.samples, sample{passed, c.check.CPUsByClass()})
		if !wait.For(ctx, 100*time.Millisecond) {
			return ctx.Err()
		}
	}
	c.users.Wait()
	select {
	case err := <-c.failed:
		return err
	default:
	}
	t.sum(trouble, over)
	return nil
}

// submitOne has a user submit the next job until it is accepted.
func (c *crowd) submitOne(ctx context.Context, class string) {
	s := &protocol.Submission{
		UID:      fmt.Sprintf("job-%06d", len(c.jobs)+1),
		Class:    class,
		Team:     []string{"red", "blue"}[len(c.jobs)%2],
		Kind:     protocol.JobArray,
		Priority: "high",
		Tasks:    12, CPUs: 1, MemoryGB: 1, Image: "img", EstimateSeconds: 2, Spot: true,
	}
	if class == large {
		s.Priority, s.Tasks, s.CPUs, s.EstimateSeconds = "standard", 6, 6, 3
	}
	c.jobs = append(c.jobs, s)
	user := *c.region
	user.rng = rand.New(rand.NewPCG(c.trial.Seed, uint64(len(c.jobs))))
	c.users.Go(func() { c.submitUntilAccepted(ctx, &user, s) })
}

// acceptedWithin is how long a user goes on submitting a job.
const acceptedWithin = 60 * time.Second

func (c *crowd) submitUntilAccepted(ctx context.Context, user *region, s *protocol.Submission) {
	c.check.RecordSubmission(s)
	for end := time.Now().Add(acceptedWithin); ; {
		status, st := user.ask("POST", protocol.PathSubmit, s)
		c.check.RecordAnswer(s.UID, status, st.State, false)
		if status == 200 || status == 201 {
			return
		}
		c.mu.Lock()
		c.trial.Refused++
		c.mu.Unlock()
		if time.Now().After(end) || !wait.For(ctx, time.Second) {
			select {
			case c.failed <- fmt.Errorf("%s never accepted", s.UID):
			default:
			}
			return
		}
	}
}

// awaitDone waits for a quarter of the jobs: the rest of the crowd would take minutes, and shows nothing more.
func (c *crowd) awaitDone(ctx context.Context) error {
	for i, j := range c.jobs {
		if i > len(c.jobs)/4 {
			break
		}
		if err := c.awaitState(ctx, j.UID, protocol.Done); err != nil {
			return err
		}
	}
	return nil
}

func (g *region) injectFault(ctx context.Context, rng *rand.Rand, trouble string, saved simulation.StoreSnapshot) error {
	switch trouble {
	case "one ends":
		i := rng.IntN(len(g.nodes))
		g.kill(i)
		return g.start(i)
	case "all end":
		for i := range g.nodes {
			g.kill(i)
		}
		for i := range g.nodes {
			if err := g.start(i); err != nil {
				return err
			}
		}
	case "outage":
		g.state.SetOutage(true)
		wait.For(ctx, 3*time.Second)
		g.state.SetOutage(false)
	case "goes back":
		g.state.RollBack(saved)
	}
	return nil
}

// sum sums up who had how much once floors had time to work, apart from a trouble and the
// time to recover from it.
func (t *OverloadTrial) sum(struck, over time.Duration) {
	t.MeanCPUs = map[string]float64{}
	counted := func(at time.Duration) bool {
		return at > t.from && (t.Trouble == "none" || at < struck || at > over+recoverAfter)
	}
	n, window := 0.0, []float64{}
	t.MinLargeCPUs = -1
	for _, x := range t.samples {
		if !counted(x.at) {
			window = window[:0]
			continue
		}
		n++
		for _, class := range []string{small, large} {
			t.MeanCPUs[class] += x.using[class]
		}
		if window = append(window, x.using[large]); len(window) > 50 {
			window = window[1:]
		}
		if mean := 0.0; len(window) == 50 {
			for _, v := range window {
				mean += v / 50
			}
			if t.MinLargeCPUs < 0 || mean < t.MinLargeCPUs {
				t.MinLargeCPUs = mean
			}
		}
	}
	var parts []float64
	for class := range t.DemandCPUs {
		t.MeanCPUs[class] /= max(n, 1)
		parts = append(parts, t.MeanCPUs[class]/t.DemandCPUs[class])
	}
	t.Jain, t.MinShare = admission.JainIndex(parts), admission.Smallest(parts)
}

var overloadPage = template.Must(template.New("overload").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Rehearsal of overload</title>
<style>body{font:15px/1.5 system-ui,sans-serif;max-width:54rem;margin:2rem auto;padding:0 1rem;color:#222}
.bad{color:#a00}svg{max-width:100%;height:auto}</style></head><body>
<h1>Rehearsal of overload</h1>
<p>A crowd of small urgent tasks over large ones of lower priority, on a dozen stand-in machines and three real controllers. The
large class is to have half of what comes, whatever the crowd.</p>
{{range .}}<h2{{if .T.Broken}} class="bad"{{end}}>Seed {{.T.Seed}}: crowd of {{printf "%.1f" .T.LoadFactor}} times the machines; {{.T.Trouble}}</h2>
{{if .T.Broken}}<p class="bad">{{.T.Broken}}</p>{{end}}
<p>Large tasks had {{printf "%.0f" (index .T.MeanCPUs "large")}} CPUs of {{printf "%.0f" (index .T.DemandCPUs "large")}} wanted, {{printf "%.0f" .T.MinLargeCPUs}} at least over five seconds; small ones {{printf "%.0f" (index .T.MeanCPUs "small")}} of {{printf "%.0f" (index .T.DemandCPUs "small")}}. Jain's index {{printf "%.2f" .T.Jain}}. {{.T.Refused}} answers said to come back.</p>
{{.Plot}}{{end}}
</body></html>
`))

// OverloadReport writes the trials as one page that fetches nothing.
func OverloadReport(w io.Writer, trials []OverloadTrial) error {
	type row struct {
		T    *OverloadTrial
		Plot template.HTML
	}
	var rows []row
	for i := range trials {
		t := &trials[i]
		p := plot.New()
		p.X.Label.Text, p.Y.Label.Text = "s", "CPUs"
		p.Legend.Top = true
		for k, class := range []string{small, large} {
			var points plotter.XYs
			for _, x := range t.samples {
				points = append(points, plotter.XY{X: x.at.Seconds(), Y: x.using[class]})
			}
			l, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			l.Color, l.Width = []color.Color{color.RGBA{190, 90, 40, 255}, color.RGBA{40, 90, 170, 255}}[k], vg.Points(1.2)
			p.Add(l)
			p.Legend.Add(class, l)
		}
		picture, err := svg(p)
		if err != nil {
			return err
		}
		rows = append(rows, row{t, picture})
	}
	return overloadPage.Execute(w, rows)
}
