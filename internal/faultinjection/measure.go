package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/snapshot"
	"topazhollow/internal/wait"
)

// MeasureOptions are the choices of a measurement of one loss at size.
type MeasureOptions struct {
	Program  string
	Dir      string
	Machines int
	ActiveJobs     int  // active ones
	EndedJobs     int  // jobs that ended before
	KilledControllers     int  // controllers that are killed with the loss, and start again 3 s later
	KeepSnapshot     bool // the service is followed, and put back if nobody remembers
	Out      io.Writer
}

// Measured is how long after the loss each step was reached, in real time, with stand-ins
// and three controller processes on one machine whose processor they share unbounded.
type Measured struct {
	Noticed time.Duration `json:"noticed_ns"`        // by the first controller
	Entered time.Duration `json:"generation_ns"`     // all that live are in the next generation
	Polled  time.Duration `json:"polled_ns"`         // an active job and one that ended are told rightly; 0: nobody remembers
	Taken   time.Duration `json:"accepted_ns"`       // the first new job
	Started time.Duration `json:"started_ns"`        // the first start of a task
	Written time.Duration `json:"written_back_ns"`   // all jobs and ends
	Changes int           `json:"changes"`           // of the key-value store until then, with what comes meanwhile
	Bytes   int           `json:"bytes"`             // that its keys take then
	On      [2]int        `json:"tasks_on_machines"` // before and after
	Back    time.Duration `json:"copy_back_ns"`      // a copy was put back; 0 without
	CPU     []float64     `json:"processor_s"`       // of each controller from the loss until all was written back
	Memory  []float64     `json:"memory_mb"`         // of each, the most it held
	Refused int           `json:"refused"`           // requests and changes beyond the service's rates
	Broken  []string      `json:"broken,omitempty"`
}

// What a measured region is made of.
const (
	measuredCPUs      = 16 // of each machine
	measuredTaskCPUs  = 4
	measuredSubmitter = 16 // users that submit at the same time
	firstEndedJob     = 500000
	firstNewJob       = 400000
	restartAfter      = 3 * time.Second // of killed controllers
)

// lossMeasurement is one measurement while it runs.
type lossMeasurement struct {
	*region
	options MeasureOptions
	tasks   int // of each job
	copies  *snapshotFollower
	result  *Measured

	began   time.Time // of the loss
	started int       // tasks until then
	refused int       // requests until then
	spent   []float64 // processor time of each controller until then, in seconds
}

// MeasureLoss has a region of a size lose all of the key-value store's data. With an error the result may be partial.
func MeasureLoss(ctx context.Context, o MeasureOptions) (m *Measured, err error) {
	g, err := openMeasured(o)
	if err != nil {
		return nil, err
	}
	defer g.close()
	// Half of the CPUs are kept busy, so that there is room for a first start.
	busyTasks := int(float64(o.Machines) * measuredCPUs / 2 / measuredTaskCPUs)
	l := &lossMeasurement{region: g, options: o, tasks: max(1, busyTasks/o.ActiveJobs)}
	if err := l.submitAll(ctx); err != nil {
		return nil, err
	}
	if err := l.awaitBusy(ctx); err != nil {
		return nil, err
	}
	if o.KeepSnapshot {
		if l.copies, err = g.follow(ctx); err != nil {
			return nil, err
		}
		defer l.copies.close()
	}
	wait.For(ctx, 10*time.Second)
	l.result = &Measured{On: [2]int{g.check.CountRunning(), 0}}
	l.loseEverything()
	awaitRestore := l.restoreInBackground(ctx)
	l.restartInBackground()
	err = l.awaitSteps(ctx)
	l.sumUp()
	return l.result, errors.Join(err, awaitRestore())
}

// openMeasured starts the region, with the ends of jobs that are over already in the store.
func openMeasured(o MeasureOptions) (g *region, err error) {
	quota := float64(o.Machines) * measuredCPUs
	team := func(name string) settings.Team { return settings.Team{Name: name, CPUs: quota / 2, CPUsMax: quota} }
	g = &region{
		dir:     o.Dir,
		program: o.Program,
		rng:     rand.New(rand.NewPCG(1, 2)),
		client:  &http.Client{Timeout: 4 * time.Second},
		check:   simulation.NewChecker(map[string]float64{"red": quota, "blue": quota}),
		size: regionSize{
			machines: o.Machines, cpus: measuredCPUs, run: 10 * time.Minute, memory: 356,
			report: 5, lease: 26.5, cancel: 46.5,
			teams: []settings.Team{team("red"), team("blue")},
			state: settings.KVStore{
				RequestsPerSecond: 600, ChangesPerSecond: 120, ValueKB: 16, ChangesPerTransaction: 12,
			},
			cloud: settings.Cloud{RequestsPerSecond: 15, ListLagSeconds: 4},
		},
	}
	defer func() {
		if err != nil {
			g.close()
		}
	}()
	limits := g.size.state
	if g.state, err = simulation.NewKVStore(limits.ChangesPerTransaction, int(limits.ValueKB)); err != nil {
		return nil, err
	}
	g.state.LimitRates(limits.RequestsPerSecond, limits.ChangesPerSecond)
	for i := range o.EndedJobs {
		g.state.Put(fmt.Sprintf("f/job-%06d", firstEndedJob+i), `{"state":"done","tasks":1,"team":"red"}`)
	}
	if err := g.open(); err != nil {
		return nil, err
	}
	return g, nil
}

func (l *lossMeasurement) job(i int) *protocol.Submission {
	s := arrayJob(i, l.tasks)
	s.CPUs, s.MemoryGB, s.EstimateSeconds = measuredTaskCPUs, 8, 600
	return s
}

// submitAll has all jobs accepted, by several users at the same time.
func (l *lossMeasurement) submitAll(ctx context.Context) error {
	ended := make(chan error, measuredSubmitter)
	for i := range measuredSubmitter {
		go func() {
			own := *l.region
			own.rng = rand.New(rand.NewPCG(3, uint64(i)))
			var err error
			for j := i; j < l.options.ActiveJobs && err == nil; j += measuredSubmitter {
				err = own.submit(ctx, l.job(j))
			}
			ended <- err
		}()
	}
	for range measuredSubmitter {
		if err := <-ended; err != nil {
			return err
		}
	}
	fmt.Fprintf(l.options.Out, "%d jobs of %d tasks accepted, %d ends\n", l.options.ActiveJobs, l.tasks, l.options.EndedJobs)
	return nil
}

// awaitBusy waits until nine tenths of the tasks run and all controllers remember all that the store has.
func (l *lossMeasurement) awaitBusy(ctx context.Context) error {
	var last []storeView
	err := l.awaitSteady(ctx, func(views []storeView) bool {
		last = views
		whole := len(views) == len(regionNames)
		for _, x := range views {
			whole = whole && x.Store.HistoryComplete
		}
		return whole && l.check.CountRunning() >= l.options.ActiveJobs*l.tasks*9/10
	})
	if err != nil {
		return fmt.Errorf("%w: %d tasks run; controllers %+v", err, l.check.CountRunning(), last)
	}
	return nil
}

// loseEverything kills the controllers that are to go and drops the store's data, and notes where things stood.
func (l *lossMeasurement) loseEverything() {
	l.started = l.check.Starts()
	for i := range l.options.KilledControllers {
		l.kill(i)
	}
	l.spent = make([]float64, len(l.nodes))
	for i, p := range l.nodes {
		if !p.killed {
			l.spent[i], _ = p.used()
		}
	}
	l.refused = l.state.CountRefused()
	l.state.LoseAll()
	l.began = time.Now()
}

// restoreInBackground puts the copy back if no controller is left to remember. What it gives waits for that.
func (l *lossMeasurement) restoreInBackground(ctx context.Context) (await func() error) {
	if !l.options.KeepSnapshot || l.options.KilledControllers != len(l.nodes) {
		return func() error { return nil }
	}
	restored := make(chan error, 1)
	go func() { restored <- l.copies.restore(ctx) }()
	return func() error {
		err := <-restored
		if err == nil {
			l.result.Back = l.copies.back.Sub(l.began)
		}
		return err
	}
}

// restartInBackground starts the killed controllers after a while.
func (l *lossMeasurement) restartInBackground() {
	if l.options.KilledControllers == 0 {
		return
	}
	time.AfterFunc(restartAfter, func() {
		for i := range l.options.KilledControllers {
			_ = l.start(i) // seen by what follows
		}
	})
}

// awaitSteps notes when each step is reached first, until all are.
func (l *lossMeasurement) awaitSteps(ctx context.Context) error {
	m, o := l.result, l.options
	first := func(d *time.Duration, holds func() bool) {
		if *d == 0 && holds() {
			*d = time.Since(l.began)
		}
	}
	forgotten := o.KilledControllers == len(l.nodes) && !o.KeepSnapshot
	late := l.job(firstNewJob)
	l.check.RecordSubmission(late)
	return l.awaitSteady(ctx, func(views []storeView) bool {
		noticed, entered, written := recoveryOf(views)
		first(&m.Noticed, func() bool { return noticed })
		first(&m.Entered, func() bool { return entered })
		first(&m.Polled, l.answersRightly)
		first(&m.Taken, func() bool {
			status, _ := l.ask("POST", protocol.PathSubmit, late)
			return status == 201 || status == 200
		})
		first(&m.Started, func() bool { return l.check.Starts() > l.started })
		first(&m.Written, func() bool {
			return written && (l.state.CountKeys("w/e/") > 0 || o.EndedJobs == 0 || forgotten)
		})
		return m.Noticed > 0 && m.Entered > 0 && (m.Polled > 0 || forgotten) && m.Taken > 0 && m.Started > 0 && m.Written > 0
	})
}

// recoveryOf says whether any controller noticed the loss, all that answer are in the next epoch, and all three have
// written everything back.
func recoveryOf(views []storeView) (noticed, entered, written bool) {
	entered, written = len(views) > 0, len(views) == len(regionNames)
	for _, x := range views {
		noticed = noticed || x.Store.Phase == "doubted" || x.Store.Phase == "lost" || x.Store.Epoch > 1
		entered = entered && x.Store.Epoch > 1 && x.Store.Phase == "known"
		written = written && x.Store.Epoch > 1 && x.Store.Unwritten == 0 && !x.Store.RosterIncomplete
	}
	return noticed, entered, written
}

// answersRightly says whether users are told of an active job and of one that ended.
func (l *lossMeasurement) answersRightly() bool {
	activeStatus, active := l.ask("GET", protocol.PathSubmit+"/job-000001", nil)
	endedStatus, ended := l.ask("GET", fmt.Sprintf("%s/job-%06d", protocol.PathSubmit, firstEndedJob+1), nil)
	if l.options.EndedJobs == 0 {
		return true
	}
	return activeStatus == 200 && active.State != protocol.Done && endedStatus == 200 && ended.State == protocol.Done
}

// sumUp notes what it took.
func (l *lossMeasurement) sumUp() {
	m := l.result
	for i, p := range l.nodes {
		cpu, memory := p.used()
		if m.Memory = append(m.Memory, memory); i < l.options.KilledControllers {
			l.spent[i] = 0 // a new process
		}
		m.CPU = append(m.CPU, cpu-l.spent[i])
	}
	m.Refused = l.state.CountRefused() - l.refused
	m.Changes, m.Bytes = l.state.Size()
	m.On[1], m.Broken = l.check.CountRunning(), l.check.BrokenRules()
}

// snapshotFollower is a follower of the key-value store, and what puts its copy back.
type snapshotFollower struct {
	set   *snapshot.Config
	a     *snapshot.Archive
	stop  context.CancelFunc
	ended chan error
	back  time.Time
}

// follow begins to copy the key-value store, and returns once there is a copy. It takes as
// much of the rates as a tenth of each.
func (g *region) follow(ctx context.Context) (*snapshotFollower, error) {
	c := &snapshotFollower{set: snapshot.DefaultConfig(), ended: make(chan error, 1)}
	c.set.State, c.set.Dir = g.state.Addr(), filepath.Join(g.dir, "copies")
	c.set.RPS, c.set.WriteRPS = g.size.state.RequestsPerSecond/10, g.size.state.ChangesPerSecond*2/3
	c.set.ValueKB, c.set.TxnOps = g.size.state.ValueKB, g.size.state.ChangesPerTransaction
	var err error
	if c.a, err = snapshot.Open(c.set.Dir, snapshot.Options{}); err != nil {
		return nil, err
	}
	following, stop := context.WithCancel(ctx)
	c.stop = stop
	go func() { c.ended <- snapshot.NewFollower(c.set, c.a, slog.New(slog.DiscardHandler)).Run(following) }()
	for {
		if _, ok := c.a.Latest(); ok {
			return c, nil
		}
		if !wait.For(ctx, 50*time.Millisecond) {
			c.close()
			return nil, ctx.Err()
		}
	}
}

func (c *snapshotFollower) close() {
	c.stop()
	<-c.ended
	_ = c.a.Close() // everything in it was read already
}

// restore puts the copy from before the loss back once the controllers began the next
// generation, and tells them that there is nothing more to come.
func (c *snapshotFollower) restore(ctx context.Context) error {
	last, _ := c.a.Latest()
	r := snapshot.NewRestorer(c.set)
	for {
		plan, err := r.Plan(ctx, c.a, last.ID, 0, false)
		if err == nil {
			if err = r.Apply(ctx, plan, nil); err == nil {
				_, err = r.Declare(ctx)
			}
		}
		if err == nil {
			c.back = time.Now()
			return nil
		}
		if !wait.For(ctx, 100*time.Millisecond) {
			return err
		}
	}
}

// storeView is what a controller's overview says of the store.
type storeView struct {
	Store datarecovery.Status `json:"store"`
}

// awaitSteady looks at the controllers' overviews until something holds.
func (g *region) awaitSteady(ctx context.Context, holds func([]storeView) bool) error {
	for {
		var all []storeView
		for _, addr := range g.listen {
			resp, err := g.client.Get("http://" + addr + "/overview")
			if err != nil {
				continue
			}
			var v storeView
			if json.NewDecoder(resp.Body).Decode(&v) == nil {
				all = append(all, v)
			}
			resp.Body.Close()
		}
		if holds(all) {
			return nil
		}
		if !wait.For(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
}
