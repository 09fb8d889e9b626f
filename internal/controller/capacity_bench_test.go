package controller

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/autoscaler"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/peer"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
	"topazhollow/internal/provisioning"
)

// The benchmarks of this file measure the processor time of single roles of a controller, at sizes that a whole
// deployment on one machine cannot reach; docs/CAPACITY.md cites them.

// fleetSizes are the numbers of machines that roles are measured with.
var fleetSizes = []int{500, 1000, 2000, 4000, 8000, 15000}

// processorTime repeats work and reports the processor time per run, which other programs on the machine affect less
// than the elapsed time.
func processorTime(b *testing.B, work func()) {
	spent := func() time.Duration {
		var use syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
			b.Fatal(err)
		}
		return time.Duration(use.Utime.Nano() + use.Stime.Nano())
	}
	began := spent()
	for b.Loop() {
		work()
	}
	b.ReportMetric(float64(spent()-began)/float64(b.N), "processor-ns/op")
}

// busyTasks lists count running tasks of one job, as in a machine's status.
func busyTasks(count int) (tasks []jobstate.TaskStatus) {
	for i := range count {
		tasks = append(tasks, jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: "job-000001", Index: i}, Attempt: 1 << 24, State: protocol.Running})
	}
	return tasks
}

// BenchmarkCapacityReport measures a home's work for one heartbeat: decoding it, applying it as a change, and encoding
// the machine's status for the peers.
func BenchmarkCapacityReport(b *testing.B) {
	for _, tasks := range []int{1, 4, 8, 16, 26} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			h := agents.New(func(string) (float64, float64, float64, bool) { return 32, 0, 256, true },
				func(string) (float64, float64, float64) { return 1, 0, 1 })
			h.SetTerm(1, func(string) bool { return true })
			r := protocol.Heartbeat{Machine: "n-000001", Addr: "127.0.0.1:9000", Type: "m32", Zone: "east", Incarnation: 1, FencingToken: 1}
			for i := range tasks {
				r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: protocol.TaskName("job-000001", i), Attempt: 1 << 24, State: protocol.Running})
			}
			processorTime(b, func() {
				r.Seq++
				r.Tasks[0].Attempt++
				var got protocol.Heartbeat
				if err := protocol.Decode(protocol.Encode(&r), &got); err != nil {
					b.Fatal(err)
				}
				h.ApplyHeartbeat(&got, time.Unix(0, 0))
				peer.Encode(kindMachineStatuses, []*jobstate.MachineStatus{h.Status(r.Machine)})
			})
		})
	}
}

// BenchmarkCapacityView measures a controller's work for one machine status from a peer. Every controller receives the
// statuses of all machines. Teams is the number of teams that it owns.
func BenchmarkCapacityView(b *testing.B) {
	for _, c := range []struct{ machines, teams, tasks int }{
		{500, 3, 1}, {4000, 3, 1}, {15000, 3, 1},
		{1000, 3, 1}, {1000, 20, 1}, {1000, 100, 1}, {1000, 317, 1}, {1000, 950, 1},
		{1000, 3, 4}, {1000, 3, 8}, {1000, 3, 16}, {1000, 3, 26},
	} {
		b.Run(fmt.Sprintf("machines=%d/teams=%d/tasks=%d", c.machines, c.teams, c.tasks), func(b *testing.B) {
			g := newNodeHarness(c.machines, c.teams)
			view := *g.statuses[g.machineNames[0]]
			view.Tasks = busyTasks(c.tasks)
			body := protocol.Encode([]*jobstate.MachineStatus{&view})
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			processorTime(b, func() {
				var views []*jobstate.MachineStatus
				if err := protocol.Decode(body, &views); err != nil {
					b.Fatal(err)
				}
				view.Seq++
				views[0].Seq = view.Seq
				g.n.applyStatus(views[0], g.now)
			})
		})
	}
}

// BenchmarkCapacityBarrier measures the work for one machine status while 17 owned shards wait at a full barrier for
// every machine, as after a crash of all controllers.
func BenchmarkCapacityBarrier(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			g := newNodeHarness(machines, 17)
			for shard := range g.n.shards.InOrder() {
				barrierShard(g.n, shard, 2, g.machineNames)
			}
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			view := *g.statuses[g.machineNames[0]]
			processorTime(b, func() {
				view.Seq++
				next := view
				g.n.applyStatus(&next, g.now)
			})
		})
	}
}

// BenchmarkCapacityStep measures one idle step of the main loop, by the numbers of machines and owned teams.
func BenchmarkCapacityStep(b *testing.B) {
	for _, c := range []struct{ machines, teams int }{{500, 3}, {4000, 3}, {15000, 3}, {1000, 20}, {1000, 100}, {1000, 317}, {1000, 950}} {
		b.Run(fmt.Sprintf("machines=%d/teams=%d", c.machines, c.teams), func(b *testing.B) {
			g := newNodeHarness(c.machines, c.teams)
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			processorTime(b, func() {
				g.n.step(g.now)
			})
		})
	}
}

// BenchmarkCapacityPlace measures what each step that places a task begins with: listing the machines with room, and
// choosing one of them.
func BenchmarkCapacityPlace(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			g := newNodeHarness(machines, 3)
			request := &placement.Request{CPUs: 1, MemoryGB: 1, Zone: -1, Spot: true, Image: "img-0", RunSeconds: 40}
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			processorTime(b, func() {
				if placement.Choose(g.n.rng, g.n.scheduler.Hosts((*schedulerSnapshot)(g.n), g.now, request), request, g.n.options.SampleSize, func(*placement.Host) bool { return false }) == nil {
					b.Fatal("nothing was placed")
				}
			})
		})
	}
}

// BenchmarkCapacityPass measures a scheduling pass that places one task, or none because the waiting task fits on no
// machine. After each pass the machine of the placed task is lost, so that the task waits again.
func BenchmarkCapacityPass(b *testing.B) {
	for _, placed := range []int{1, 0} {
		for _, machines := range fleetSizes {
			b.Run(fmt.Sprintf("placed=%d/machines=%d", placed, machines), func(b *testing.B) {
				g := newNodeHarness(machines, 3)
				g.submit(1, []float64{64, 1}[placed])
				g.n.mu.Lock()
				defer g.n.mu.Unlock()
				team := g.n.shards.OfTeam("team-1").Team()
				processorTime(b, func() {
					g.n.place(g.now)
					held := team.Assignments().Machines()
					if len(held) != placed {
						b.Fatalf("%d tasks were placed, want %d", len(held), placed)
					}
					for _, name := range held {
						team.MachineReturned(name)
					}
				})
			})
		}
	}
}

// BenchmarkCapacityFleet measures one decision of the fleet's owner, made twice a second, with all machines up.
func BenchmarkCapacityFleet(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			g := newNodeHarness(machines, 3)
			for range 30 {
				g.submit(100, 8)
			}
			g.advanceSecond(10)
			state := provisioning.New(provisioning.Options{}, g.now)
			f := autoscaler.New("b", autoscaler.Options{IdleTimeout: 24 * time.Hour, SpotShare: 1, SilenceTimeout: 30 * time.Second, SafetyRunTimes: 2})
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			processorTime(b, func() {
				f.Decide(g.n.scheduler.MachineTypes(), g.n.fleetMachines(state, g.now), nil, nil, g.now, g.now)
			})
		})
	}
}

// BenchmarkCapacityRecord measures a controller's work on the membership record: ten times a second it checks whether
// to change the record (proposal), and with each new term it computes the home of every machine (homes).
func BenchmarkCapacityRecord(b *testing.B) {
	for _, c := range []struct{ controllers, teams int }{{3, 8}, {3, 100}, {3, 317}, {3, 950}, {9, 950}, {17, 950}, {46, 8}, {46, 950}} {
		record := (&leadership.Record{Term: 1}).Clone()
		live := map[string]leadership.Presence{}
		var shardNames []string
		for i := range c.controllers {
			name := fmt.Sprintf("controller-%02d", i)
			record.Nodes[name], live[name] = 1, leadership.Presence{Incarnation: 1, Version: 1}
		}
		for i := range c.teams {
			shardNames = append(shardNames, fmt.Sprintf("team/team-%03d", i))
		}
		for shard, owner := range leadership.AssignOwners(shardNames, record.Members()) {
			record.Shards[shard] = leadership.Shard{Owner: owner, SinceTerm: 1, InSync: record.Members()}
		}
		name := fmt.Sprintf("controllers=%d/teams=%d", c.controllers, c.teams)
		b.Run("proposal/"+name, func(b *testing.B) {
			processorTime(b, func() {
				leadership.ReconcileMembers(record, shardNames, live)
				leadership.UpdateShards(record, "controller-00", nil, true)
			})
			b.ReportMetric(float64(len(protocol.Encode(record))), "bytes")
		})
	}
	for _, controllers := range []int{3, 9, 17, 46} {
		record := (&leadership.Record{Term: 1}).Clone()
		for i := range controllers {
			record.Nodes[fmt.Sprintf("controller-%02d", i)] = 1
		}
		b.Run(fmt.Sprintf("homes/machines=15000/controllers=%d", controllers), func(b *testing.B) {
			processorTime(b, func() {
				for i := range 15000 {
					record.Home(fmt.Sprintf("n-%06d", i))
				}
			})
		})
	}
}

// BenchmarkCapacityStatus measures one status message, by the number of machines homed at its sender: composed and
// encoded once for all peers, at least twice a second (send), and decoded and applied by each of them (take).
func BenchmarkCapacityStatus(b *testing.B) {
	for _, homed := range []int{326, 1000, 2500, 5000} {
		g := newNodeHarness(homed, 3)
		for _, name := range g.machineNames {
			g.n.agents.ApplyHeartbeat(&protocol.Heartbeat{Machine: name, Addr: "127.0.0.1:9000", Type: "m32", Zone: "east", Incarnation: 1, Seq: 1, FencingToken: 1}, g.now)
		}
		g.n.mu.Lock()
		s := g.n.status(g.now)
		line := peer.Encode(kindStatus, s)
		b.Run(fmt.Sprintf("send/homed=%d", homed), func(b *testing.B) {
			processorTime(b, func() {
				peer.Encode(kindStatus, g.n.status(g.now))
			})
			b.ReportMetric(float64(len(line)), "bytes")
		})
		body := protocol.Encode(s)
		p := g.n.peers["node-b"]
		if p == nil {
			p = &peerState{}
		}
		b.Run(fmt.Sprintf("take/homed=%d", homed), func(b *testing.B) {
			processorTime(b, func() {
				var got statusMsg
				if err := protocol.Decode(body, &got); err != nil {
					b.Fatal(err)
				}
				g.n.applyPeerStatus(p, &got, g.now)
			})
		})
		g.n.mu.Unlock()
	}
}

// BenchmarkCapacityRecordLine measures the message that sends the membership record to a peer that knows an earlier
// one: encoding it (made) and decoding it (taken).
func BenchmarkCapacityRecordLine(b *testing.B) {
	for _, c := range []struct{ controllers, teams int }{{3, 8}, {3, 950}, {46, 950}} {
		record := (&leadership.Record{Term: 1}).Clone()
		var shardNames []string
		for i := range c.controllers {
			record.Nodes[fmt.Sprintf("controller-%02d", i)] = 1
		}
		for i := range c.teams {
			shardNames = append(shardNames, fmt.Sprintf("team/team-%03d", i))
		}
		for shard, owner := range leadership.AssignOwners(shardNames, record.Members()) {
			record.Shards[shard] = leadership.Shard{Owner: owner, SinceTerm: 1, InSync: record.ReplicaHolders(shard, owner, func(string) bool { return true })}
		}
		line := protocol.Encode(recordMsg{1, protocol.Encode(record)})
		name := fmt.Sprintf("controllers=%d/teams=%d", c.controllers, c.teams)
		b.Run("made/"+name, func(b *testing.B) {
			processorTime(b, func() { protocol.Encode(recordMsg{1, protocol.Encode(record)}) })
			b.ReportMetric(float64(len(line)), "bytes")
		})
		b.Run("taken/"+name, func(b *testing.B) {
			processorTime(b, func() {
				var m recordMsg
				if err := protocol.Decode(line, &m); err != nil {
					b.Fatal(err)
				}
			})
		})
	}
}
