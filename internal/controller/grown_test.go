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

// grown is one controller's own account of a deployment of many machines, with
// plain workers in place of its network: it owns every team and hears every
// machine as from a peer.
type grown struct {
	n       *Node
	rng     *rand.Rand
	now     time.Time
	names   []string
	views   map[string]*jobstate.MachineStatus
	ends    map[jobstate.AttemptRef]time.Time
	jobs    int
	started int
}

func newGrown(machines, teams int) *grown {
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
	g := &grown{n: New(s, settings.DefaultOptions(), slog.New(slog.DiscardHandler)), rng: rand.New(rand.NewPCG(3, 4)), now: time.Now(),
		views: map[string]*jobstate.MachineStatus{}, ends: map[jobstate.AttemptRef]time.Time{}}
	n := g.n
	n.scheduler.SetMachineTypes([]protocol.MachineType{{Name: "m32", CPUs: 32, MemoryGB: 256, PricePerHour: 2, SpotPricePerHour: 0.5, BootSeconds: 35, FetchGBPerSecond: 0.25, Zones: s.Deployment.Zones}})
	record.Nodes["node-a"] = n.incarnation
	record.Unreachable = []string{"node-b", "node-c"} // this controller is the home of all
	for _, t := range s.Deployment.Teams {
		name := shards.ForTeam(t.Name)
		record.Shards[name] = leadership.Shard{Owner: "node-a", SinceTerm: 1}
		readyShard(n, name, 1)
	}
	learnRecord(n, record)
	n.leadership.ResetForNewEpoch() // no version of the record is known: nothing is compared with a state service
	ended, cancel := context.WithCancel(context.Background())
	cancel() // nothing goes out
	n.group, n.ctx = &errgroup.Group{}, ended
	n.leadership.LeaseRenewed(g.now)
	n.cancelWatermark = cancelwatermark.New([]string{"node-b", "node-c"}, settings.Seconds(s.Deployment.Agents.CancelSeconds), settings.Seconds(s.Deployment.Agents.LeaseSeconds))
	n.cancelWatermark.RecordRead(g.now)
	for i := range machines {
		g.names = append(g.names, fmt.Sprintf("n-%06d", i))
	}
	for i := 0; i < machines; i += 200 {
		n.roster.ApplyList(fmt.Sprint(i), 1, agents.RosterValue{Names: g.names[i:min(i+200, machines)]})
	}
	for i, name := range g.names {
		g.views[name] = &jobstate.MachineStatus{Machine: name, Type: "m32", Zone: s.Deployment.Zones[i%2], Spot: i%4 > 0, Incarnation: 1, Seq: 1, FencingToken: 1, Term: 1}
		n.applyStatus(g.views[name], g.now)
	}
	return g
}

// submit has a user hand in a job of so many tasks.
func (g *grown) submit(tasks int, cpus float64) {
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	g.jobs++
	spec := &protocol.Submission{UID: fmt.Sprintf("job-%06d", g.jobs), Team: fmt.Sprintf("team-%d", g.jobs%len(g.n.settings.Deployment.Teams)), Kind: protocol.JobArray,
		Priority: []string{"standard", "high"}[g.jobs%2], Tasks: tasks, CPUs: cpus, MemoryGB: 20, Image: fmt.Sprint("img-", g.jobs%10), EstimateSeconds: 40, Spot: true}
	g.n.learnJob(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: g.now.UnixMilli()}, 1)
}

// tell has a machine report what changed on it.
func (g *grown) tell(name string, change func(v *jobstate.MachineStatus)) {
	old := g.views[name]
	v := *old
	v.Seq++
	v.Tasks = append([]jobstate.TaskStatus(nil), old.Tasks...)
	change(&v)
	g.views[name] = &v
	g.n.applyStatus(&v, g.now)
}

// second plays one second: tasks placed are listed as running, those that ran
// out exit and are forgotten.
func (g *grown) second(steps int) {
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	for range steps {
		g.now = g.now.Add(time.Second / time.Duration(steps))
		g.n.leadership.LeaseRenewed(g.now)
		g.n.step(g.now)
		for _, name := range g.names {
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
			for _, t := range g.views[name].Tasks {
				over = over || t.State == protocol.Exited || !g.now.Before(g.ends[t.Ref()])
			}
			if len(fresh) == 0 && !over {
				continue
			}
			g.tell(name, func(v *jobstate.MachineStatus) {
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
	for _, j := range g.n.jobs { // ended jobs leave the account
		if shard := g.n.shards.OfTeam(j.spec.Team); j.active && shard != nil {
			if tj := shard.Team().Job(j.spec.UID); tj != nil && tj.Complete() {
				g.n.endJob(j.spec.UID)
			}
		}
	}
}

// TestFreeRoomModel: the free room that placement works with is kept up to date
// where something changed; it must be what counting every machine anew gives,
// also after jobs end, machines go and items change hands. Room counted twice
// would be lost for good, room forgotten would earn refusals.
func TestFreeRoomModel(t *testing.T) {
	g := newGrown(60, 3)
	n := g.n
	for i := range 150 {
		if i%2 == 0 && i < 100 {
			g.submit(1+g.rng.IntN(40), float64(1+g.rng.IntN(16)))
		}
		g.second(2)
		n.mu.Lock()
		switch i {
		case 40, 80:
			n.machineGone(g.names[len(g.names)-1])
			g.names = g.names[:len(g.names)-1]
		case 60: // another controller takes a team over
			next := n.leadership.Record().Clone()
			next.Term++
			name := shards.ForTeam("team-1")
			next.Shards[name] = leadership.Shard{Owner: "node-b", SinceTerm: next.Term}
			n.adopt(next, n.leadership.RecordVersion()+1)
			for uid, j := range n.jobs { // its jobs are no more this one's to run
				if j.spec.Team == "team-1" {
					n.endJob(uid)
				}
			}
		}
		view := (*schedulerSnapshot)(n)
		n.scheduler.InvalidateMachines(view.TakeChangedMachines())
		for _, name := range g.names {
			kept, known := n.scheduler.Room(name, view)
			if !known {
				t.Fatalf("%s has no type", name)
			}
			n.scheduler.InvalidateMachines(slices.Values([]string{name}))
			anew, _ := n.scheduler.Room(name, view)
			cpus, memory := anew.CPUs, anew.MemoryGB
			if kept.CPUs != cpus || kept.MemoryGB != memory {
				t.Fatalf("second %d: %s has %g CPUs and %g GB kept, %g and %g counted anew", i, name, kept.CPUs, kept.MemoryGB, cpus, memory)
			}
			if cpus < -1e-6 || memory < -1e-6 {
				t.Fatalf("second %d: %s is overfull: %g CPUs, %g GB", i, name, cpus, memory)
			}
		}
		n.mu.Unlock()
	}
	if g.started == 0 {
		t.Fatal("nothing was placed")
	}
}

// BenchmarkGrown is one second of a deployment of 1,000 machines that start and
// end some 50 tasks, as its only owner sees it.
func BenchmarkGrown(b *testing.B) {
	for _, load := range []struct {
		name string
		jobs int // waiting at first, which more or less fill the machines
	}{{"room", 10}, {"full", 120}} {
		b.Run(load.name, func(b *testing.B) {
			g := newGrown(1000, 6)
			for range load.jobs {
				g.submit(100, 8)
			}
			for range 3 {
				g.second(10)
			}
			for b.Loop() {
				g.submit(60, 8)
				g.second(20)
			}
			b.ReportMetric(float64(g.started)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkFleet is one look of the fleet's owner at 1,000 machines, by how many tasks wait.
func BenchmarkFleet(b *testing.B) {
	for _, waiting := range []int{300, 3000, 30000, 100000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			g := newGrown(1000, 6)
			for range (waiting + 4000) / 100 {
				g.submit(100, 8)
			}
			g.second(10)
			account := provisioning.New(provisioning.Options{}, g.now)
			f := autoscaler.New("b", autoscaler.Options{IdleTimeout: 10 * time.Second, SpotShare: 1, SilenceTimeout: 30 * time.Second, SafetyRunTimes: 2})
			for b.Loop() {
				machines := g.n.fleetMachines(account, g.now)
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

// BenchmarkPlace is one step of placing beside a full fleet of 1,000 machines, by how many
// tasks wait: nothing can start.
func BenchmarkPlace(b *testing.B) {
	for _, waiting := range []int{300, 3000, 30000, 100000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			g := newGrown(1000, 6)
			for range (waiting + 4000) / 100 {
				g.submit(100, 8)
			}
			g.second(10)
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			for b.Loop() {
				g.n.place(g.now)
			}
		})
	}
}
