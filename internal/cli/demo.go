package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"topazhollow"
	"topazhollow/internal/artifactreplication"
	"topazhollow/internal/artifactstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
	"topazhollow/internal/taskrunner"
	"topazhollow/internal/tomlfile"
	"topazhollow/internal/wait"
)

// controllerCmd runs a controller as the platform's program does, so that demo needs no
// other program than its own.
type controllerCmd struct {
	Config string `required:""`
	Script string
}

func (c *controllerCmd) Run(r *run) error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	o, err := settings.LoadScript(c.Script)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return topazhollow.Run(r.ctx, s, o, logger(r.err))
}

type demoCmd struct {
	Job  string        `default:"examples/grades.toml" help:"What to run (TOML)."`
	Stay bool          `help:"Stay up afterwards, and print the addresses and what to try."`
	Most time.Duration `default:"2m" help:"Give up after this."`
}

// example is a job for demo.
type example struct {
	Name     string   `toml:"name"`
	Tasks    int      `toml:"tasks"`
	CPUs     float64  `toml:"cpus"`
	Memory   float64  `toml:"memory_gb"`
	Estimate float64  `toml:"estimate_s"`
	Command  []string `toml:"command"`
	Files    []string `toml:"files"`
}

func loadExample(path string) (*example, error) {
	e := &example{Tasks: 1, CPUs: 1, Memory: 1, Estimate: 10}
	if err := tomlfile.Load(path, e); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	switch {
	case len(e.Command) == 0:
		return nil, fmt.Errorf("%w: %s: field command: a program and its arguments are expected", errUsage, path)
	case e.Tasks < 1 || e.Tasks > 100 || !(e.CPUs > 0 && e.CPUs <= 8) || !(e.Memory > 0 && e.Memory <= 64):
		return nil, fmt.Errorf("%w: %s: 1 to 100 tasks of up to 8 CPUs and 64 GB are expected", errUsage, path)
	}
	return e, nil
}

// region is a whole deployment on loopback: stand-ins for everything around, three
// controllers as processes and a keeper.
type region struct {
	dir       string
	key       []byte
	log       *slog.Logger
	keeper    string // its address
	listen    []string
	check     *simulation.Checker
	state     *simulation.KVStore
	cloud     *simulation.Cloud
	processes []*exec.Cmd
	example   *example
	stop      context.CancelFunc
	ended     chan error
	tasks     sync.WaitGroup
}

func (c *demoCmd) Run(r *run) (err error) {
	e, err := loadExample(c.Job)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, c.Most)
	defer cancel()
	g, err := newRegion(ctx, e)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, g.close()) }()
	fmt.Fprintf(r.out, "three controllers at %s, a keeper at %s\n", strings.Join(g.listen, ", "), g.keeper)
	spec := &protocol.Submission{UID: "job-000001", Class: e.Name, Team: "red", Kind: protocol.JobArray, Priority: "standard", Tasks: e.Tasks, CPUs: e.CPUs,
		MemoryGB: e.Memory, Image: e.Name, EstimateSeconds: e.Estimate, Spot: true}
	g.check.RecordSubmission(spec)
	if err := g.until(ctx, "the job to be accepted", func() bool {
		status, _ := g.ask(ctx, "POST", protocol.PathSubmit, spec)
		return status == 200 || status == 201
	}); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "%s accepted: %d tasks of %s\n", spec.UID, spec.Tasks, e.Name)
	reader := &artifactstore.Reader{URL: g.keeper, Token: artifactstore.Grant{Right: artifactstore.Read, Job: spec.UID, Until: time.Now().Add(24 * time.Hour)}.Token(g.key)}
	if err := g.until(ctx, "output of its first task", func() bool {
		list, err := reader.Attempts(ctx, spec.UID, 0)
		return err == nil && len(list) > 0
	}); err != nil {
		return err
	}
	end, err := reader.Logs(ctx, spec.UID, 0, artifactstore.Query{Follow: true}, func(l artifactstore.Line) error {
		_, err := fmt.Fprintf(r.out, "  %s/0 | %s\n", spec.UID, l.Record.Data)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "its log ends: attempt %d is %s\n", end.Attempt, end.State)
	if err := g.until(ctx, "the job to be done", func() bool {
		status, st := g.ask(ctx, "GET", protocol.PathSubmit+"/"+spec.UID, nil)
		return status == 200 && st.State == protocol.Done
	}); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "%s is done\n", spec.UID)
	for task := range spec.Tasks {
		m, final, err := reader.Manifest(ctx, spec.UID, task, 0)
		if err != nil {
			return err
		}
		if !final {
			return fmt.Errorf("task %d is done without a final result", task)
		}
		for _, f := range m.Files {
			to := filepath.Join(g.dir, "fetched", f.Path)
			if err := reader.Fetch(ctx, m, f, to, nil); err != nil {
				return err
			}
			content, err := os.ReadFile(to)
			if err != nil {
				return err
			}
			fmt.Fprintf(r.out, "  %s/%d %s: %s\n", spec.UID, task, f.Path, bytes.TrimSpace(content))
		}
	}
	if broken := g.check.BrokenRules(); len(broken) > 0 {
		return fmt.Errorf("rules broken: %v", broken)
	}
	if c.Stay {
		cancel()
		fmt.Fprintf(r.out, "\nstill up; Ctrl-C ends it. To try next:\n  export TOPAZ_KEEPER=%s TOPAZ_TOKEN=%s\n  topazhollowctl logs %s/1\n  topazhollowctl attempts %s/1\n  topazhollowctl fetch %s/1 /tmp/profiles\n  curl http://%s/overview\n",
			g.keeper, reader.Token, spec.UID, spec.UID, spec.UID, g.listen[0])
		<-r.ctx.Done()
	}
	return nil
}

func freeAddr() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newRegion(ctx context.Context, e *example) (g *region, err error) {
	g = &region{example: e, key: make([]byte, 32), log: slog.New(slog.DiscardHandler), ended: make(chan error, 1), check: simulation.NewChecker(map[string]float64{"red": 64})}
	_, _ = rand.Read(g.key) // never fails
	if g.dir, err = os.MkdirTemp("", "topaz-demo-"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, g.close())
		}
	}()
	set := artifactreplication.DefaultConfig()
	set.Listen, set.Dir = "127.0.0.1:0", filepath.Join(g.dir, "keep")
	keeping, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.stop = stop
	ready := make(chan string, 1)
	go func() { g.ended <- Keep(keeping, set, g.key, io.Discard, func(addr string) { ready <- addr }) }()
	select {
	case addr := <-ready:
		g.keeper = "http://" + addr
	case err := <-g.ended:
		g.ended <- nil
		return g, err
	}
	if g.state, err = simulation.NewKVStore(24, 16); err != nil {
		return g, err
	}
	names := []string{"estacion-0", "estacion-1", "estacion-2"}
	listen, peers := map[string]string{}, map[string]string{}
	for _, n := range names {
		var err, err2 error
		listen[n], err = freeAddr()
		peers[n], err2 = freeAddr()
		if err := errors.Join(err, err2); err != nil {
			return g, err
		}
		g.listen = append(g.listen, listen[n])
	}
	per := simulation.Periods{Heartbeat: 300 * time.Millisecond, Lease: 20 * time.Second, Exec: g.execute}
	types := []protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, PricePerHour: 2, SpotPricePerHour: 1, BootSeconds: 1, Zones: []string{"east", "west"}}}
	g.cloud, err = simulation.NewCloud(types, 4, func(name, typ, zone string, spot bool) (*simulation.Agent, error) {
		return simulation.NewAgent(name, typ, zone, spot, listen, names, per, g.check)
	})
	if err != nil {
		return g, err
	}
	program, err := os.Executable()
	if err != nil {
		return g, err
	}
	for i, n := range names {
		s := &settings.Settings{Name: n, Zone: []string{"east", "west"}[i%2], Listen: listen[n], PeerListen: peers[n],
			Outside: settings.Outside{Cloud: g.cloud.Addr(), KVStore: g.state.Addr()},
			Deployment: settings.Deployment{Size: 3, Zones: []string{"east", "west"}, Teams: []settings.Team{{Name: "red", CPUs: 32, CPUsMax: 64}},
				Agents:  settings.Agents{HeartbeatSeconds: 0.3, LeaseSeconds: 20, GangWaitSeconds: 10, GangPeerSeconds: 4, CancelSeconds: 60},
				KVStore: settings.KVStore{RequestsPerSecond: 400, ChangesPerSecond: 200, ValueKB: 16, ChangesPerTransaction: 24},
				Cloud:   settings.Cloud{RequestsPerSecond: 20, ListLagSeconds: 0.2}, Limits: settings.Limits{Cores: 1, MemoryMB: 256, MaxSockets: 512}}}
		for _, p := range names {
			if p != n {
				s.Peers = append(s.Peers, settings.Peer{Name: p, Zone: "east", Endpoint: peers[p]})
			}
		}
		path := filepath.Join(g.dir, n+".json")
		if err := os.WriteFile(path, protocol.Encode(s), 0o600); err != nil {
			return g, err
		}
		log, err := os.Create(filepath.Join(g.dir, n+".log"))
		if err != nil {
			return g, err
		}
		cmd := exec.Command(program, "controller", "--config", path)
		cmd.Stderr = log
		err = cmd.Start()
		log.Close()
		if err != nil {
			return g, err
		}
		g.processes = append(g.processes, cmd)
	}
	return g, nil
}

// execute is what a stand-in worker does with a task: it runs the example's command
// for real and brings what that puts out to the keeper.
func (g *region) execute(ctx context.Context, machine string, session uint64, name string, attempt uint64) bool {
	g.tasks.Add(1)
	defer g.tasks.Done()
	job, index, ok := protocol.SplitTask(name)
	if !ok {
		return false
	}
	c := artifactstore.Claim{Attempt: artifactstore.Attempt{Job: job, Task: index, Number: attempt}, Tenant: "red", Machine: machine, Session: session, Class: g.example.Name}
	token := artifactstore.Grant{Right: artifactstore.Write, Tenant: c.Tenant, Job: job, Task: &index, Number: attempt, Machine: machine, Session: session, Class: c.Class,
		Until: time.Now().Add(time.Hour)}.Token(g.key)
	dir := filepath.Join(g.dir, "work", fmt.Sprintf("%s-%d-%d", job, index, attempt))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false
	}
	got, err := taskrunner.Run(ctx, taskrunner.Options{Spool: filepath.Join(g.dir, "spool", machine), Keepers: []string{g.keeper}, Log: g.log},
		taskrunner.Task{Claim: c, Token: token, Command: g.example.Command, Env: []string{"PATH=" + os.Getenv("PATH"), fmt.Sprint("TASK=", index)}, Dir: dir, Files: g.example.Files}, 2*time.Second)
	return err == nil && got.Exit.Completed
}

// ask sends a request to the first controller that answers.
func (g *region) ask(ctx context.Context, method, path string, body any) (int, protocol.Status) {
	var st protocol.Status
	var data []byte
	if body != nil {
		data = protocol.Encode(body)
	}
	for _, addr := range g.listen {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(data))
		if err != nil {
			return 0, st
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = json.NewDecoder(resp.Body).Decode(&st) // the status says the most of it
		resp.Body.Close()
		if resp.StatusCode < 500 {
			return resp.StatusCode, st
		}
	}
	return 0, st
}

// until tries until something holds.
func (g *region) until(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		if !wait.For(ctx, 100*time.Millisecond) {
			return fmt.Errorf("waited in vain for %s; the controllers' logs are in %s: %w", what, g.dir, ctx.Err())
		}
	}
	return nil
}

// close ends everything and leaves nothing behind but, after a failure, the directory
// that the error names.
func (g *region) close() error {
	for _, p := range g.processes {
		_ = p.Process.Kill() // it may have ended by itself
		_ = p.Wait()
	}
	if g.cloud != nil {
		g.cloud.Close()
	}
	if g.state != nil {
		g.state.Close()
	}
	g.tasks.Wait()
	var err error
	if g.stop != nil {
		g.stop()
		err = <-g.ended
	}
	return errors.Join(err, os.RemoveAll(g.dir))
}
