package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/agents"
	"topazhollow/internal/autoscaler"
	"topazhollow/internal/cancelwatermark"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/provisioning"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/userapi"
)

// nodeHarness is one controller of a deployment with many machines, without a network: it owns every team, and the test
// passes it the machines' statuses as if a peer had sent them.
type nodeHarness struct {
	n            *Node
	rng          *rand.Rand
	now          time.Time
	machineNames []string
	statuses     map[string]*jobstate.MachineStatus
	ends         map[jobstate.AttemptRef]time.Time
	jobs         int
	started      int
}

// newNodeHarness returns a controller that owns so many teams and knows so many idle machines of 32 CPUs.
func newNodeHarness(machines, teams int) *nodeHarness {
	s := &settings.Settings{Name: "node-a", Deployment: settings.Deployment{Size: 3, Zones: []string{"east", "west"},
		Agents: settings.Agents{HeartbeatSeconds: 4, LeaseSeconds: 26, CancelSeconds: 56}, KVStore: settings.KVStore{RequestsPerSecond: 150, ChangesPerSecond: 30, ValueKB: 8, ChangesPerTransaction: 24},
		Cloud: settings.Cloud{RequestsPerSecond: 6, ListLagSeconds: 3}, Limits: settings.Limits{MemoryMB: 200, MaxSockets: 2500}}}
	record := (&leadership.Record{Term: 1}).Clone()
	for _, name := range []string{"node-a", "node-b", "node-c"} {
		record.Nodes[name] = 1
	}
	for i := range teams {
		t := settings.Team{Name: fmt.Sprintf("team-%d", i), CPUs: 3500, CPUsMax: 10000}
		s.Deployment.Teams = append(s.Deployment.Teams, t)
	}
	g := &nodeHarness{n: New(s, settings.DefaultOptions(), slog.New(slog.DiscardHandler)), rng: rand.New(rand.NewPCG(3, 4)), now: time.Now(),
		statuses: map[string]*jobstate.MachineStatus{}, ends: map[jobstate.AttemptRef]time.Time{}}
	n := g.n
	n.scheduler.SetMachineTypes([]protocol.MachineType{{Name: "m32", CPUs: 32, MemoryGB: 256, PricePerHour: 2, SpotPricePerHour: 0.5, BootSeconds: 35, FetchGBPerSecond: 0.25, Zones: s.Deployment.Zones}})
	record.Nodes["node-a"] = n.incarnation
	record.Unreachable = []string{"node-b", "node-c"} // this controller is the home of all machines
	for _, t := range s.Deployment.Teams {
		name := shards.ForTeam(t.Name)
		record.Shards[name] = leadership.Shard{Owner: "node-a", SinceTerm: 1}
		readyShard(n, name, 1)
	}
	learnRecord(n, record)
	n.leadership.ResetForNewEpoch() // the record's version is unknown, so that no check of the state service begins
	ended, cancel := context.WithCancel(context.Background())
	cancel() // no request is sent
	n.group, n.ctx = &errgroup.Group{}, ended
	n.leadership.LeaseRenewed(g.now)
	*n.cancelWatermark = *cancelwatermark.New([]string{"node-b", "node-c"}, settings.Seconds(s.Deployment.Agents.CancelSeconds), settings.Seconds(s.Deployment.Agents.LeaseSeconds))
	n.cancelWatermark.RecordRead(g.now)
	for i := range machines {
		g.machineNames = append(g.machineNames, fmt.Sprintf("n-%06d", i))
	}
	for i := 0; i < machines; i += 200 {
		n.roster.ApplyList(fmt.Sprint(i), 1, agents.RosterValue{Names: g.machineNames[i:min(i+200, machines)]})
	}
	for i, name := range g.machineNames {
		g.statuses[name] = &jobstate.MachineStatus{Machine: name, Type: "m32", Zone: s.Deployment.Zones[i%2], Spot: i%4 > 0, Incarnation: 1, Seq: 1, FencingToken: 1, Term: 1}
		n.applyStatus(g.statuses[name], g.now)
	}
	return g
}

// submit adds an accepted job with so many tasks.
func (g *nodeHarness) submit(tasks int, cpus float64) {
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	g.jobs++
	spec := &protocol.Submission{UID: fmt.Sprintf("job-%06d", g.jobs), Team: fmt.Sprintf("team-%d", g.jobs%len(g.n.settings.Deployment.Teams)), Kind: protocol.JobArray,
		Priority: []string{"standard", "high"}[g.jobs%2], Tasks: tasks, CPUs: cpus, MemoryGB: 20, Image: fmt.Sprint("img-", g.jobs%10), EstimateSeconds: 40, Spot: true}
	g.n.learnJob(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: g.now.UnixMilli()}, 1)
}

// reportStatus applies a changed status of a machine.
func (g *nodeHarness) reportStatus(name string, change func(v *jobstate.MachineStatus)) {
	old := g.statuses[name]
	v := *old
	v.Seq++
	v.Tasks = append([]jobstate.TaskStatus(nil), old.Tasks...)
	change(&v)
	g.statuses[name] = &v
	g.n.applyStatus(&v, g.now)
}

// advanceSecond simulates one second in so many steps of the main loop: placed tasks are listed as running, and those
// whose run time is over exit and are then no longer listed.
func (g *nodeHarness) advanceSecond(steps int) {
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	for range steps {
		g.now = g.now.Add(time.Second / time.Duration(steps))
		g.n.leadership.LeaseRenewed(g.now)
		g.n.step(g.now)
		for _, name := range g.machineNames {
			g.n.machines[name].HeardAt = g.now
			var fresh []jobstate.TaskStatus
			for shard := range g.n.shards.All() {
				shard.Team().Assignments().On(name, func(h jobstate.Assignment) {
					if g.ends[h.Ref()].IsZero() {
						g.ends[h.Ref()] = g.now.Add(20*time.Second + time.Duration(g.rng.IntN(40000))*time.Millisecond)
						fresh = append(fresh, jobstate.TaskStatus{TaskID: h.TaskID, Attempt: h.Attempt, State: protocol.Running})
					}
				})
			}
			g.started += len(fresh)
			over := false
			for _, t := range g.statuses[name].Tasks {
				over = over || t.State == protocol.Exited || !g.now.Before(g.ends[t.Ref()])
			}
			if len(fresh) == 0 && !over {
				continue
			}
			g.reportStatus(name, func(v *jobstate.MachineStatus) {
				var kept []jobstate.TaskStatus
				for _, t := range v.Tasks {
					if t.State == protocol.Exited {
						continue
					}
					if !g.now.Before(g.ends[t.Ref()]) {
						t.State, t.Reason = protocol.Exited, protocol.ReasonDone
					}
					kept = append(kept, t)
				}
				v.Tasks = append(kept, fresh...)
			})
		}
	}
	for _, j := range g.n.jobs { // complete jobs end
		if shard := g.n.shards.OfTeam(j.spec.Team); j.active && shard != nil {
			if tj := shard.Team().Job(j.spec.UID); tj != nil && tj.Complete() {
				g.n.endJob(j.spec.UID)
			}
		}
	}
}

// TestFreeCapacityModel: the scheduler updates the free capacity of a machine only when something changes there. The
// result must equal a full recount of every machine, also after jobs end, machines go and shards change owners. An
// error one way loses capacity for good, the other way it overfills machines.
func TestFreeCapacityModel(t *testing.T) {
	g := newNodeHarness(60, 3)
	n := g.n
	for i := range 150 {
		if i%2 == 0 && i < 100 {
			g.submit(1+g.rng.IntN(40), float64(1+g.rng.IntN(16)))
		}
		g.advanceSecond(2)
		n.mu.Lock()
		switch i {
		case 40, 80:
			n.machineGone(g.machineNames[len(g.machineNames)-1])
			g.machineNames = g.machineNames[:len(g.machineNames)-1]
		case 60: // another controller takes a team over
			next := n.leadership.Record().Clone()
			next.Term++
			name := shards.ForTeam("team-1")
			next.Shards[name] = leadership.Shard{Owner: "node-b", SinceTerm: next.Term}
			n.adopt(next, n.leadership.RecordVersion()+1)
			for uid, j := range n.jobs { // its jobs no longer run here
				if j.spec.Team == "team-1" {
					n.endJob(uid)
				}
			}
		}
		view := (*schedulerSnapshot)(n)
		n.scheduler.InvalidateMachines(view.TakeChangedMachines())
		for _, name := range g.machineNames {
			cached, known := n.scheduler.Room(name, view)
			if !known {
				t.Fatalf("%s has no type", name)
			}
			n.scheduler.InvalidateMachines(slices.Values([]string{name}))
			recounted, _ := n.scheduler.Room(name, view)
			cpus, memory := recounted.CPUs, recounted.MemoryGB
			if cached.CPUs != cpus || cached.MemoryGB != memory {
				t.Fatalf("second %d: %s has %g CPUs and %g GB cached, %g and %g recounted", i, name, cached.CPUs, cached.MemoryGB, cpus, memory)
			}
			if cpus < -1e-6 || memory < -1e-6 {
				t.Fatalf("second %d: %s is overfull: %g CPUs, %g GB", i, name, cpus, memory)
			}
		}
		n.mu.Unlock()
	}
	if g.started == 0 {
		t.Fatal("no task was placed")
	}
}

// BenchmarkDeploymentSecond measures the only owner's work for one second of a deployment of 1,000 machines, which
// start and end some 50 tasks.
func BenchmarkDeploymentSecond(b *testing.B) {
	for _, load := range []struct {
		name string
		jobs int // submitted first; they fill the machines in part or wholly
	}{{"room", 10}, {"full", 120}} {
		b.Run(load.name, func(b *testing.B) {
			g := newNodeHarness(1000, 6)
			for range load.jobs {
				g.submit(100, 8)
			}
			for range 3 {
				g.advanceSecond(10)
			}
			for b.Loop() {
				g.submit(60, 8)
				g.advanceSecond(20)
			}
			b.ReportMetric(float64(g.started)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkFleet measures one decision of the fleet's owner about 1,000 machines, by the number of waiting tasks.
func BenchmarkFleet(b *testing.B) {
	for _, waiting := range []int{300, 3000, 30000, 100000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			g := newNodeHarness(1000, 6)
			for range (waiting + 4000) / 100 {
				g.submit(100, 8)
			}
			g.advanceSecond(10)
			state := provisioning.New(provisioning.Options{}, g.now)
			f := autoscaler.New("b", autoscaler.Options{IdleTimeout: 10 * time.Second, SpotShare: 1, SilenceTimeout: 30 * time.Second, SafetyRunTimes: 2})
			for b.Loop() {
				machines := g.n.fleetMachines(state, g.now)
				var demands []autoscaler.Demand
				for _, d := range g.n.demands(g.now) {
					j := g.n.jobs[d.Job]
					demands = append(demands, autoscaler.Demand{Spec: j.spec, Count: d.Count, Due: g.n.dueTime(j, g.now)})
				}
				f.ForgetUnsent()
				f.Decide(g.n.scheduler.MachineTypes(), machines, demands, nil, g.now, g.now)
			}
		})
	}
}

// BenchmarkPlace measures one scheduling pass over 1,000 full machines, on which no task can be placed, by the number
// of waiting tasks.
func BenchmarkPlace(b *testing.B) {
	for _, waiting := range []int{300, 3000, 30000, 100000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			g := newNodeHarness(1000, 6)
			for range (waiting + 4000) / 100 {
				g.submit(100, 8)
			}
			g.advanceSecond(10)
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			for b.Loop() {
				g.n.place(g.now)
			}
		})
	}
}
