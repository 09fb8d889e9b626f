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
	Jobs     int  // active ones
	Ends     int  // jobs that ended before
	Gone     int  // controllers that are killed with the loss, and start again 3 s later
	Copy     bool // the service is followed, and put back if nobody remembers
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

// MeasureLoss has a region of a size lose all of the key-value store's data.
func MeasureLoss(ctx context.Context, o MeasureOptions) (m *Measured, err error) {
	quota := float64(o.Machines) * 16
	g := &region{dir: o.Dir, program: o.Program, rng: rand.New(rand.NewPCG(1, 2)), client: &http.Client{Timeout: 4 * time.Second},
		check: simulation.NewChecker(map[string]float64{"red": quota, "blue": quota}),
		size: regionSize{machines: o.Machines, cpus: 16, run: 10 * time.Minute, report: 5, lease: 26.5, cancel: 46.5, memory: 356,
			teams: []settings.Team{{Name: "red", CPUs: quota / 2, CPUsMax: quota}, {Name: "blue", CPUs: quota / 2, CPUsMax: quota}},
			state: settings.KVStore{RequestsPerSecond: 600, ChangesPerSecond: 120, ValueKB: 16, ChangesPerTransaction: 12}, cloud: settings.Cloud{RequestsPerSecond: 15, ListLagSeconds: 4}}}
	defer g.close()
	if g.state, err = simulation.NewKVStore(g.size.state.ChangesPerTransaction, int(g.size.state.ValueKB)); err != nil {
		return nil, err
	}
	g.state.LimitRates(g.size.state.RequestsPerSecond, g.size.state.ChangesPerSecond)
	for i := range o.Ends {
		g.state.Put(fmt.Sprintf("f/job-%06d", 500000+i), `{"state":"done","tasks":1,"team":"red"}`)
	}
	if err := g.open(); err != nil {
		return nil, err
	}
	// Half of the CPUs are kept busy, so that there is room for a first start.
	tasks := max(1, int(quota/2/4)/o.Jobs)
	job := func(i int) *protocol.Submission {
		s := arrayJob(i, tasks)
		s.CPUs, s.MemoryGB, s.EstimateSeconds = 4, 8, 600
		return s
	}
	slots := make(chan error, 16)
	for i := range 16 {
		go func() {
			own := *g
			own.rng = rand.New(rand.NewPCG(3, uint64(i)))
			var err error
			for j := i; j < o.Jobs && err == nil; j += 16 {
				err = own.submit(ctx, job(j))
			}
			slots <- err
		}()
	}
	for range 16 {
		if err := <-slots; err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(o.Out, "%d jobs of %d tasks accepted, %d ends\n", o.Jobs, tasks, o.Ends)
	var before []storeView
	if err := g.awaitSteady(ctx, func(v []storeView) bool {
		before = v
		whole := len(v) == 3
		for _, x := range v {
			whole = whole && x.Store.MemoryComplete
		}
		return whole && g.check.CountOnMachines() >= o.Jobs*tasks*9/10
	}); err != nil {
		return nil, fmt.Errorf("%w: %d tasks run; controllers %+v", err, g.check.CountOnMachines(), before)
	}
	var copies *snapshotFollower
	if o.Copy {
		if copies, err = g.follow(ctx); err != nil {
			return nil, err
		}
		defer copies.close()
	}
	wait.For(ctx, 10*time.Second)
	m = &Measured{On: [2]int{g.check.CountOnMachines(), 0}}
	started := g.check.Starts()
	for i := range o.Gone {
		g.kill(i)
	}
	spent := make([]float64, len(g.nodes))
	for i, p := range g.nodes {
		if !p.killed {
			spent[i], _ = p.used()
		}
	}
	refused := g.state.CountRefused()
	g.state.LoseAll()
	began := time.Now()
	if o.Copy && o.Gone == len(g.nodes) {
		back := make(chan error, 1)
		go func() { back <- copies.restore(ctx) }()
		defer func() {
			if e := <-back; e != nil {
				err = errors.Join(err, e)
			} else {
				m.Back = copies.back.Sub(began)
			}
		}()
	}
	if o.Gone > 0 {
		time.AfterFunc(3*time.Second, func() {
			for i := range o.Gone {
				_ = g.start(i) // seen by what follows
			}
		})
	}
	first := func(d *time.Duration, holds func() bool) {
		if *d == 0 && holds() {
			*d = time.Since(began)
		}
	}
	forgotten := o.Gone == len(g.nodes) && !o.Copy
	late := job(400000)
	g.check.RecordSubmission(late)
	err = g.awaitSteady(ctx, func(v []storeView) bool {
		noticed, entered, written := false, len(v) > 0, len(v) == 3
		for _, x := range v {
			noticed = noticed || x.Store.Phase == "doubted" || x.Store.Phase == "lost" || x.Store.Epoch > 1
			entered = entered && x.Store.Epoch > 1 && x.Store.Phase == "known"
			written = written && x.Store.Epoch > 1 && x.Store.Unwritten == 0 && !x.Store.RosterIncomplete
		}
		first(&m.Noticed, func() bool { return noticed })
		first(&m.Entered, func() bool { return entered })
		first(&m.Polled, func() bool {
			a, s := g.ask("GET", protocol.PathSubmit+"/job-000001", nil)
			b, e := g.ask("GET", protocol.PathSubmit+"/job-500001", nil)
			return o.Ends == 0 || a == 200 && s.State != protocol.Done && b == 200 && e.State == protocol.Done
		})
		first(&m.Taken, func() bool {
			status, _ := g.ask("POST", protocol.PathSubmit, late)
			return status == 201 || status == 200
		})
		first(&m.Started, func() bool { return g.check.Starts() > started })
		first(&m.Written, func() bool { return written && (g.state.CountKeys("w/e/") > 0 || o.Ends == 0 || forgotten) })
		return m.Noticed > 0 && m.Entered > 0 && (m.Polled > 0 || forgotten) && m.Taken > 0 && m.Started > 0 && m.Written > 0
	})
	for i, p := range g.nodes {
		cpu, memory := p.used()
		if m.Memory = append(m.Memory, memory); i < o.Gone {
			spent[i] = 0 // a new process
		}
		m.CPU = append(m.CPU, cpu-spent[i])
	}
	m.Refused = g.state.CountRefused() - refused
	m.Changes, m.Bytes = g.state.Size()
	m.On[1], m.Broken = g.check.CountOnMachines(), g.check.BrokenRules()
	return m, err
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
