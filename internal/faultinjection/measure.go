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

// MeasureOptions are the parameters of the measurement of one data loss in a region of a given size.
type MeasureOptions struct {
	Program           string
	Dir               string
	Machines          int
	ActiveJobs        int  // active at the loss
	EndedJobs         int  // jobs that ended before the loss
	KilledControllers int  // controllers that are killed at the loss and restarted 3 s later
	KeepSnapshot      bool // keep a snapshot of the store, and restore it if all controllers are killed
	Out               io.Writer
}

// Measured holds the time from the loss to each step of the recovery. The simulations and the three controller
// processes share one machine's processors without limits.
type Measured struct {
	Noticed time.Duration `json:"noticed_ns"`        // the first controller noticed the loss
	Entered time.Duration `json:"generation_ns"`     // all running controllers are in the next epoch
	Polled  time.Duration `json:"polled_ns"`         // an active and an ended job are answered correctly; 0: neither a controller nor a snapshot has the data
	Taken   time.Duration `json:"accepted_ns"`       // the first new job was accepted
	Started time.Duration `json:"started_ns"`        // the first task started
	Written time.Duration `json:"written_back_ns"`   // all active and ended jobs are in the store again
	Changes int           `json:"changes"`           // the store's revision then, with other changes meanwhile
	Bytes   int           `json:"bytes"`             // size of the store's keys and values then
	On      [2]int        `json:"tasks_on_machines"` // before the loss and after the recovery
	Back    time.Duration `json:"copy_back_ns"`      // the snapshot was restored; 0: none was
	CPU     []float64     `json:"processor_s"`       // of each controller, from the loss until all was written back
	Memory  []float64     `json:"memory_mb"`         // peak of each controller
	Refused int           `json:"refused"`           // requests and transactions refused by the store's rate limits
	Broken  []string      `json:"broken,omitempty"`
}

// The parameters of a measured region.
const (
	measuredCPUs       = 16 // per machine
	measuredTaskCPUs   = 4
	measuredSubmitters = 16              // concurrent users that submit jobs
	firstEndedJob      = 500000          // number of the first job that ended before the loss
	firstNewJob        = 400000          // number of the job that is submitted after the loss
	restartAfter       = 3 * time.Second // from the loss until the killed controllers are restarted
)

// lossMeasurement is a measurement while it runs.
type lossMeasurement struct {
	*region
	options   MeasureOptions
	tasks     int // per job
	snapshots *snapshotFollower
	result    *Measured

	lostAt        time.Time // time of the loss
	startsBefore  int       // task starts until the loss
	refusedBefore int       // refused requests until the loss
	cpuBefore     []float64 // processor time of each controller until the loss, in seconds
}

// MeasureLoss measures how a region recovers from the loss of all of the state service's data. With an error it may
// return a partial result.
func MeasureLoss(ctx context.Context, o MeasureOptions) (m *Measured, err error) {
	g, err := openMeasuredRegion(o)
	if err != nil {
		return nil, err
	}
	defer g.close()
	// Half of the CPUs are kept busy, so that a new task has room to start.
	busyTasks := int(float64(o.Machines) * measuredCPUs / 2 / measuredTaskCPUs)
	l := &lossMeasurement{region: g, options: o, tasks: max(1, busyTasks/o.ActiveJobs)}
	if err := l.submitAll(ctx); err != nil {
		return nil, err
	}
	if err := l.awaitBusy(ctx); err != nil {
		return nil, err
	}
	if o.KeepSnapshot {
		if l.snapshots, err = g.startSnapshots(ctx); err != nil {
			return nil, err
		}
		defer l.snapshots.close()
	}
	wait.For(ctx, 10*time.Second)
	l.result = &Measured{On: [2]int{g.checker.CountRunning(), 0}}
	l.loseAllData()
	waitRestored := l.restoreInBackground(ctx)
	l.restartInBackground()
	err = l.awaitSteps(ctx)
	l.summarize()
	return l.result, errors.Join(err, waitRestored())
}

// openMeasuredRegion starts the region. The store already contains the jobs that ended before.
func openMeasuredRegion(o MeasureOptions) (g *region, err error) {
	quota := float64(o.Machines) * measuredCPUs
	team := func(name string) settings.Team { return settings.Team{Name: name, CPUs: quota / 2, CPUsMax: quota} }
	g = &region{
		dir:     o.Dir,
		program: o.Program,
		rng:     rand.New(rand.NewPCG(1, 2)),
		client:  &http.Client{Timeout: 4 * time.Second},
		checker: simulation.NewChecker(map[string]float64{"red": quota, "blue": quota}),
		size: regionSize{
			machines: o.Machines, cpus: measuredCPUs, taskDuration: 10 * time.Minute, memoryMB: 356,
			heartbeatSeconds: 5, leaseSeconds: 26.5, cancelSeconds: 46.5,
			teams: []settings.Team{team("red"), team("blue")},
			store: settings.KVStore{
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
	limits := g.size.store
	if g.store, err = simulation.NewKVStore(limits.ChangesPerTransaction, int(limits.ValueKB)); err != nil {
		return nil, err
	}
	g.store.LimitRates(limits.RequestsPerSecond, limits.ChangesPerSecond)
	for i := range o.EndedJobs {
		g.store.Put(fmt.Sprintf("f/job-%06d", firstEndedJob+i), `{"state":"done","tasks":1,"team":"red"}`)
	}
	if err := g.open(); err != nil {
		return nil, err
	}
	return g, nil
}

// job returns an active job with a number.
func (l *lossMeasurement) job(i int) *protocol.Submission {
	s := arrayJob(i, l.tasks)
	s.CPUs, s.MemoryGB, s.EstimateSeconds = measuredTaskCPUs, 8, 600
	return s
}

// submitAll submits all jobs with several concurrent users and returns once all are accepted.
func (l *lossMeasurement) submitAll(ctx context.Context) error {
	done := make(chan error, measuredSubmitters)
	for i := range measuredSubmitters {
		go func() {
			own := *l.region
			own.rng = rand.New(rand.NewPCG(3, uint64(i)))
			var err error
			for j := i; j < l.options.ActiveJobs && err == nil; j += measuredSubmitters {
				err = own.submit(ctx, l.job(j))
			}
			done <- err
		}()
	}
	for range measuredSubmitters {
		if err := <-done; err != nil {
			return err
		}
	}
	fmt.Fprintf(l.options.Out, "%d jobs of %d tasks accepted, %d jobs ended before\n", l.options.ActiveJobs, l.tasks, l.options.EndedJobs)
	return nil
}

// awaitBusy waits until nine tenths of the tasks run and all controllers have the store's complete history in memory.
func (l *lossMeasurement) awaitBusy(ctx context.Context) error {
	var last []storeView
	err := l.pollOverviews(ctx, func(views []storeView) bool {
		last = views
		complete := len(views) == len(controllerNames)
		for _, x := range views {
			complete = complete && x.Store.HistoryComplete
		}
		return complete && l.checker.CountRunning() >= l.options.ActiveJobs*l.tasks*9/10
	})
	if err != nil {
		return fmt.Errorf("%w: %d tasks are running; controllers %+v", err, l.checker.CountRunning(), last)
	}
	return nil
}

// loseAllData records the counters, kills the configured controllers and drops the store's data.
func (l *lossMeasurement) loseAllData() {
	l.startsBefore = l.checker.Starts()
	for i := range l.options.KilledControllers {
		l.kill(i)
	}
	l.cpuBefore = make([]float64, len(l.processes))
	for i, p := range l.processes {
		if !p.killed {
			l.cpuBefore[i], _ = p.usage()
		}
	}
	l.refusedBefore = l.store.CountRefused()
	l.store.LoseAll()
	l.lostAt = time.Now()
}

// restoreInBackground starts to restore the snapshot if all controllers are killed, because then none has the data in
// memory. The returned function waits for the restore.
func (l *lossMeasurement) restoreInBackground(ctx context.Context) (await func() error) {
	if !l.options.KeepSnapshot || l.options.KilledControllers != len(l.processes) {
		return func() error { return nil }
	}
	restored := make(chan error, 1)
	go func() { restored <- l.snapshots.restore(ctx) }()
	return func() error {
		err := <-restored
		if err == nil {
			l.result.Back = l.snapshots.restoredAt.Sub(l.lostAt)
		}
		return err
	}
}

// restartInBackground starts the killed controllers after restartAfter.
func (l *lossMeasurement) restartInBackground() {
	if l.options.KilledControllers == 0 {
		return
	}
	time.AfterFunc(restartAfter, func() {
		for i := range l.options.KilledControllers {
			_ = l.start(i) // a failure shows in the steps that are never reached
		}
	})
}

// awaitSteps records when each step of the recovery is first reached and returns once all are.
func (l *lossMeasurement) awaitSteps(ctx context.Context) error {
	m, o := l.result, l.options
	first := func(d *time.Duration, holds func() bool) {
		if *d == 0 && holds() {
			*d = time.Since(l.lostAt)
		}
	}
	forgotten := o.KilledControllers == len(l.processes) && !o.KeepSnapshot // neither a controller nor a snapshot has the data
	late := l.job(firstNewJob)
	l.checker.RecordSubmission(late)
	return l.pollOverviews(ctx, func(views []storeView) bool {
		noticed, entered, written := recoveryProgress(views)
		first(&m.Noticed, func() bool { return noticed })
		first(&m.Entered, func() bool { return entered })
		first(&m.Polled, l.answersCorrectly)
		first(&m.Taken, func() bool {
			status, _ := l.request("POST", protocol.PathSubmit, late)
			return status == 201 || status == 200
		})
		first(&m.Started, func() bool { return l.checker.Starts() > l.startsBefore })
		first(&m.Written, func() bool {
			return written && (l.store.CountKeys("w/e/") > 0 || o.EndedJobs == 0 || forgotten)
		})
		return m.Noticed > 0 && m.Entered > 0 && (m.Polled > 0 || forgotten) && m.Taken > 0 && m.Started > 0 && m.Written > 0
	})
}

// recoveryProgress reports whether any controller noticed the loss, whether all that answer are in the next epoch, and
// whether all three have written everything back.
func recoveryProgress(views []storeView) (noticed, entered, written bool) {
	entered, written = len(views) > 0, len(views) == len(controllerNames)
	for _, x := range views {
		noticed = noticed || x.Store.Phase == "doubted" || x.Store.Phase == "lost" || x.Store.Epoch > 1
		entered = entered && x.Store.Epoch > 1 && x.Store.Phase == "known"
		written = written && x.Store.Epoch > 1 && x.Store.Unwritten == 0 && !x.Store.RosterIncomplete
	}
	return noticed, entered, written
}

// answersCorrectly reports whether users get correct answers about an active job and about one that ended. It is always
// true without ended jobs.
func (l *lossMeasurement) answersCorrectly() bool {
	activeStatus, active := l.request("GET", protocol.PathSubmit+"/job-000001", nil)
	endedStatus, ended := l.request("GET", fmt.Sprintf("%s/job-%06d", protocol.PathSubmit, firstEndedJob+1), nil)
	if l.options.EndedJobs == 0 {
		return true
	}
	return activeStatus == 200 && active.State != protocol.Done && endedStatus == 200 && ended.State == protocol.Done
}

// summarize fills in the resource use and the final state.
func (l *lossMeasurement) summarize() {
	m := l.result
	for i, p := range l.processes {
		cpu, memory := p.usage()
		if m.Memory = append(m.Memory, memory); i < l.options.KilledControllers {
			l.cpuBefore[i] = 0 // the process was started after the loss
		}
		m.CPU = append(m.CPU, cpu-l.cpuBefore[i])
	}
	m.Refused = l.store.CountRefused() - l.refusedBefore
	m.Changes, m.Bytes = l.store.Size()
	m.On[1], m.Broken = l.checker.CountRunning(), l.checker.BrokenRules()
}

// snapshotFollower copies the state service's changes into a snapshot archive and restores the store from it.
type snapshotFollower struct {
	config     *snapshot.Config
	archive    *snapshot.Archive
	stop       context.CancelFunc
	done       chan error
	restoredAt time.Time
}

// startSnapshots starts to copy the state service's changes and returns once there is a snapshot. The follower may use
// a tenth of the request rate; a restore may use two thirds of the change rate.
func (g *region) startSnapshots(ctx context.Context) (*snapshotFollower, error) {
	s := &snapshotFollower{config: snapshot.DefaultConfig(), done: make(chan error, 1)}
	s.config.State, s.config.Dir = g.store.Addr(), filepath.Join(g.dir, "copies")
	s.config.RPS, s.config.WriteRPS = g.size.store.RequestsPerSecond/10, g.size.store.ChangesPerSecond*2/3
	s.config.ValueKB, s.config.TxnOps = g.size.store.ValueKB, g.size.store.ChangesPerTransaction
	var err error
	if s.archive, err = snapshot.Open(s.config.Dir, snapshot.Options{}); err != nil {
		return nil, err
	}
	following, stop := context.WithCancel(ctx)
	s.stop = stop
	go func() {
		s.done <- snapshot.NewFollower(s.config, s.archive, slog.New(slog.DiscardHandler)).Run(following)
	}()
	for {
		if _, ok := s.archive.Latest(); ok {
			return s, nil
		}
		if !wait.For(ctx, 50*time.Millisecond) {
			s.close()
			return nil, ctx.Err()
		}
	}
}

func (s *snapshotFollower) close() {
	s.stop()
	<-s.done
	_ = s.archive.Close() // the archive is not read any more
}

// restore restores the last snapshot once the controllers have begun the next epoch, which makes Plan succeed, and then
// declares to them that the restore is complete.
func (s *snapshotFollower) restore(ctx context.Context) error {
	last, _ := s.archive.Latest()
	r := snapshot.NewRestorer(s.config)
	for {
		plan, err := r.Plan(ctx, s.archive, last.ID, 0, false)
		if err == nil {
			if err = r.Apply(ctx, plan, nil); err == nil {
				_, err = r.Declare(ctx)
			}
		}
		if err == nil {
			s.restoredAt = time.Now()
			return nil
		}
		if !wait.For(ctx, 100*time.Millisecond) {
			return err
		}
	}
}

// storeView is the part of a controller's overview about the store.
type storeView struct {
	Store datarecovery.Status `json:"store"`
}

// pollOverviews reads the controllers' overviews repeatedly until a condition holds for them.
func (g *region) pollOverviews(ctx context.Context, holds func([]storeView) bool) error {
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
