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

// OverloadOptions are the parameters of a series of overload trials.
type OverloadOptions struct {
	TrialOptions
	Floor float64 // the controllers' class_floor
}

// OverloadTrial is an overload of urgent small tasks that compete with a class of large tasks, and the CPUs that each
// class got.
type OverloadTrial struct {
	Seed         uint64             `json:"seed"`
	Fault        string             `json:"trouble"`
	LoadFactor   float64            `json:"crowd"`            // CPUs requested by small tasks, as a multiple of all CPUs
	DemandCPUs   map[string]float64 `json:"wanted_cpus"`      // CPUs that would keep up with the submitted load, by class
	MeanCPUs     map[string]float64 `json:"got_cpus"`         // mean by class, after the floors had time to take effect
	MinLargeCPUs float64            `json:"least_large_cpus"` // lowest mean of the large class over any five seconds of that time, without the fault and the recovery from it
	Jain         float64            `json:"jain"`             // Jain's index of each class's mean CPUs relative to its demand
	MinShare     float64            `json:"smallest_share"`   // smallest mean CPUs of a class relative to its demand
	Refused      int                `json:"refused"`          // submissions that were not accepted and had to be retried
	Broken       string             `json:"broken,omitempty"`

	samples      []usageSample // of the whole trial, about ten per second
	measuredFrom time.Duration // from the beginning until the floors have taken effect
}

// usageSample is the CPUs of each class's tasks on machines at one moment.
type usageSample struct {
	at   time.Duration // since the beginning of the trial
	cpus map[string]float64
}

// overloadFaults are the faults that trials inject in turn.
var overloadFaults = []string{"none", "one ends", "all end", "outage", "goes back"}

// The classes and times of the simulation. Large tasks need three quarters of a machine, so they find no room if small
// ones occupy each freed CPU.
const (
	smallClass, largeClass = "small", "large"
	loadDuration           = 40 * time.Second // how long jobs are submitted
	floorDelay             = 3 * time.Second  // the controllers' floor_after_s
	settleTime             = 19 * time.Second // until the overload is detected and the tasks on reserved machines have ended
	recoveryTime           = 12 * time.Second // after a fault, not measured
)

// Overloads runs overload trials with faults against real controller processes on loopback.
func Overloads(ctx context.Context, o OverloadOptions) ([]OverloadTrial, error) {
	trials := make([]OverloadTrial, o.Trials)
	err := runTrials(ctx, o.Trials, o.AtOnce, o.Out, func(ctx context.Context, i int) (string, error) {
		t := &trials[i]
		t.Seed = o.Seed + uint64(i)
		t.Fault = overloadFaults[t.Seed%uint64(len(overloadFaults))]
		dir := filepath.Join(o.Dir, fmt.Sprint(t.Seed))
		if err := overloadTrial(ctx, &o, dir, t); err != nil {
			return "", err
		}
		verdict, err := trialVerdict(dir, t.Broken)
		return fmt.Sprintf("seed %d: load factor %.1f, %s: large %.0f of %.0f CPUs wanted, %.0f at least; small %.0f of %.0f; Jain %.2f; %d refused; %s", t.Seed, t.LoadFactor, t.Fault,
			t.MeanCPUs[largeClass], t.DemandCPUs[largeClass], t.MinLargeCPUs, t.MeanCPUs[smallClass], t.DemandCPUs[smallClass], t.Jain, t.Refused, verdict), err
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
	g := &region{dir: dir, program: o.Program, rng: rng, size: size, client: &http.Client{Timeout: 4 * time.Second}, checker: simulation.NewChecker(map[string]float64{"red": 96, "blue": 96}),
		script: fmt.Sprintf("class_floor = %g\nfloor_after_s = %g\n", o.Floor, floorDelay.Seconds())}
	g.taskDuration = func(task string) time.Duration {
		if uid, _, _ := protocol.SplitTask(task); g.checker.Spec(uid) != nil && g.checker.Spec(uid).Class == largeClass {
			return 3 * time.Second
		}
		return 2 * time.Second
	}
	t.Broken, err = g.runTrial(ctx, func() error { return g.runOverload(ctx, rng, t) })
	return err
}

// runOverload submits large tasks and several times more urgent small tasks than the machines can run, samples the CPUs
// of each class, and checks that the large class got its floor.
func (g *region) runOverload(ctx context.Context, rng *rand.Rand, t *OverloadTrial) error {
	cpus := float64(g.size.machines) * g.size.cpus
	t.LoadFactor = 2 + 2*rng.Float64()
	t.DemandCPUs = map[string]float64{smallClass: t.LoadFactor * cpus, largeClass: 6 * 6 * 3 / 2}
	o := &overloadRun{
		region: g,
		trial:  t,
		saved:  g.store.Snapshot(),
		failed: make(chan error, 1),
		// A small job has 12 tasks of one CPU and two seconds. A large one has 6 tasks of 6 CPUs and three seconds.
		rates: map[string]float64{smallClass: t.LoadFactor * cpus / 24, largeClass: 0.5},
	}
	if err := o.submitAll(ctx, rng); err != nil {
		return err
	}
	if err := o.awaitDone(ctx); err != nil {
		return err
	}
	// The floor is half of the demand. 0.7 of it suffices, because tasks are not divisible and CPUs idle between two
	// tasks.
	if floor := 0.5 * t.DemandCPUs[largeClass] * 0.7; t.MinLargeCPUs < floor {
		return fmt.Errorf("the large class got %.1f CPUs over five seconds, expected at least %.1f", t.MinLargeCPUs, floor)
	}
	return nil
}

// overloadRun is an overload trial while it runs.
type overloadRun struct {
	*region
	trial  *OverloadTrial
	saved  simulation.StoreSnapshot
	rates  map[string]float64 // jobs per second by class
	jobs   []*protocol.Submission
	users  sync.WaitGroup
	failed chan error // receives the first job that was not accepted in time

	mu sync.Mutex // guards trial.Refused while users run
}

// submitAll submits jobs at their rates, injects the trial's fault at a random moment and samples the CPUs of each
// class. It returns once all jobs are accepted.
func (o *overloadRun) submitAll(ctx context.Context, rng *rand.Rand) error {
	t := o.trial
	began := time.Now()
	faultAt := time.Duration(4+rng.IntN(8)) * time.Second
	t.measuredFrom = floorDelay + settleTime
	due := map[string]float64{}
	injected, faultEnded := false, time.Duration(0)
	for passed := time.Duration(0); passed < loadDuration; passed = time.Since(began) {
		for class, perSecond := range o.rates {
			for due[class] < perSecond*passed.Seconds()+1 {
				due[class]++
				o.submitOne(ctx, class)
			}
		}
		if !injected && passed > faultAt {
			injected = true
			if err := o.injectFault(ctx, rng, t.Fault, o.saved); err != nil {
				return err
			}
			faultEnded = time.Since(began)
		}
		t.samples = append(t.samples, usageSample{passed, o.checker.CPUsByClass()})
		if !wait.For(ctx, 100*time.Millisecond) {
			return ctx.Err()
		}
	}
	o.users.Wait()
	select {
	case err := <-o.failed:
		return err
	default:
	}
	t.summarize(faultAt, faultEnded)
	return nil
}

// submitOne starts a user that submits the next job until it is accepted.
func (o *overloadRun) submitOne(ctx context.Context, class string) {
	s := &protocol.Submission{
		UID:      fmt.Sprintf("job-%06d", len(o.jobs)+1),
		Class:    class,
		Team:     []string{"red", "blue"}[len(o.jobs)%2],
		Kind:     protocol.JobArray,
		Priority: "high",
		Tasks:    12, CPUs: 1, MemoryGB: 1, Image: "img", EstimateSeconds: 2, Spot: true,
	}
	if class == largeClass {
		s.Priority, s.Tasks, s.CPUs, s.EstimateSeconds = "standard", 6, 6, 3
	}
	o.jobs = append(o.jobs, s)
	user := *o.region
	user.rng = rand.New(rand.NewPCG(o.trial.Seed, uint64(len(o.jobs))))
	o.users.Go(func() { o.submitUntilAccepted(ctx, &user, s) })
}

// submitTimeout is how long a user retries a submission.
const submitTimeout = 60 * time.Second

// submitUntilAccepted repeats a submission until it is accepted or submitTimeout has passed, and counts the refusals.
func (o *overloadRun) submitUntilAccepted(ctx context.Context, user *region, s *protocol.Submission) {
	o.checker.RecordSubmission(s)
	for end := time.Now().Add(submitTimeout); ; {
		status, st := user.request("POST", protocol.PathSubmit, s)
		o.checker.RecordAnswer(s.UID, status, st.State, false)
		if status == 200 || status == 201 {
			return
		}
		o.mu.Lock()
		o.trial.Refused++
		o.mu.Unlock()
		if time.Now().After(end) || !wait.For(ctx, time.Second) {
			select {
			case o.failed <- fmt.Errorf("%s was not accepted in time", s.UID):
			default:
			}
			return
		}
	}
}

// awaitDone waits until a quarter of the jobs are done. The rest would take minutes and prove nothing more.
func (o *overloadRun) awaitDone(ctx context.Context) error {
	for i, j := range o.jobs {
		if i > len(o.jobs)/4 {
			break
		}
		if err := o.awaitState(ctx, j.UID, protocol.Done); err != nil {
			return err
		}
	}
	return nil
}

// injectFault injects an overload trial's fault and returns after it has ended.
func (g *region) injectFault(ctx context.Context, rng *rand.Rand, fault string, saved simulation.StoreSnapshot) error {
	switch fault {
	case "one ends":
		i := rng.IntN(len(g.processes))
		g.kill(i)
		return g.start(i)
	case "all end":
		for i := range g.processes {
			g.kill(i)
		}
		for i := range g.processes {
			if err := g.start(i); err != nil {
				return err
			}
		}
	case "outage":
		g.store.SetOutage(true)
		wait.For(ctx, 3*time.Second)
		g.store.SetOutage(false)
	case "goes back":
		g.store.RollBack(saved)
	}
	return nil
}

// summarize computes each class's CPUs after the floors had time to take effect, without the time of the fault and of
// the recovery from it.
func (t *OverloadTrial) summarize(faultAt, faultEnded time.Duration) {
	t.MeanCPUs = map[string]float64{}
	counted := func(at time.Duration) bool {
		return at > t.measuredFrom && (t.Fault == "none" || at < faultAt || at > faultEnded+recoveryTime)
	}
	n, window := 0.0, []float64{}
	t.MinLargeCPUs = -1
	for _, x := range t.samples {
		if !counted(x.at) {
			window = window[:0]
			continue
		}
		n++
		for _, class := range []string{smallClass, largeClass} {
			t.MeanCPUs[class] += x.cpus[class]
		}
		if window = append(window, x.cpus[largeClass]); len(window) > 50 {
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
	t.Jain, t.MinShare = admission.JainIndex(parts), admission.MinShare(parts)
}

var overloadPage = template.Must(template.New("overload").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Fault injection: overload</title>
<style>body{font:15px/1.5 system-ui,sans-serif;max-width:54rem;margin:2rem auto;padding:0 1rem;color:#222}
.bad{color:#a00}svg{max-width:100%;height:auto}</style></head><body>
<h1>Fault injection: overload</h1>
<p>Many small urgent tasks compete with large ones of lower priority, on a dozen simulated machines and three real controllers. The
large class must get half of its demand, however great the overload.</p>
{{range .}}<h2{{if .T.Broken}} class="bad"{{end}}>Seed {{.T.Seed}}: small tasks request {{printf "%.1f" .T.LoadFactor}} times the machines' CPUs; fault: {{.T.Fault}}</h2>
{{if .T.Broken}}<p class="bad">{{.T.Broken}}</p>{{end}}
<p>Large tasks got {{printf "%.0f" (index .T.MeanCPUs "large")}} of {{printf "%.0f" (index .T.DemandCPUs "large")}} CPUs requested, {{printf "%.0f" .T.MinLargeCPUs}} at least over five seconds; small ones {{printf "%.0f" (index .T.MeanCPUs "small")}} of {{printf "%.0f" (index .T.DemandCPUs "small")}}. Jain's index {{printf "%.2f" .T.Jain}}. {{.T.Refused}} submissions had to be retried.</p>
{{.Plot}}{{end}}
</body></html>
`))

// OverloadReport writes the trials as a self-contained page.
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
		for k, class := range []string{smallClass, largeClass} {
			var points plotter.XYs
			for _, x := range t.samples {
				points = append(points, plotter.XY{X: x.at.Seconds(), Y: x.cpus[class]})
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
