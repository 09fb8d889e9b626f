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

// The benchmarks of this file give the processor time of single roles at sizes that a whole run on one
// machine does not reach; docs/CAPACITY.md cites them.

// fleetSizes are the numbers of machines that roles are measured at.
var fleetSizes = []int{500, 1000, 2000, 4000, 8000, 15000}

// processorTime repeats work and reports the processor time of one time, which other programs on the machine
// disturb less than the time of day.
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

// busyTasks lists so many running tasks of a team's job on a machine.
func busyTasks(count int) (tasks []jobstate.TaskStatus) {
	for i := range count {
		tasks = append(tasks, jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: "job-000001", Index: i}, Attempt: 1 << 24, State: protocol.Running})
	}
	return tasks
}

// BenchmarkCapacityReport is a home's part in one report: parsed, taken in as a change, and told as a view.
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

// BenchmarkCapacityView is one controller's part in a view that a peer tells: every controller takes in every
// machine's. Teams are those that it owns.
func BenchmarkCapacityView(b *testing.B) {
	for _, c := range []struct{ machines, teams, tasks int }{
		{500, 3, 1}, {4000, 3, 1}, {15000, 3, 1},
		{1000, 3, 1}, {1000, 20, 1}, {1000, 100, 1}, {1000, 317, 1}, {1000, 950, 1},
		{1000, 3, 4}, {1000, 3, 8}, {1000, 3, 16}, {1000, 3, 26},
	} {
		b.Run(fmt.Sprintf("machines=%d/teams=%d/tasks=%d", c.machines, c.teams, c.tasks), func(b *testing.B) {
			g := newNodeHarness(c.machines, c.teams)
			view := *g.views[g.machineNames[0]]
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

// BenchmarkCapacityBarrier is a view that comes while 17 own items wait at a full barrier for every machine, as after
// an end of all controllers.
func BenchmarkCapacityBarrier(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			g := newNodeHarness(machines, 17)
			for shard := range g.n.shards.InOrder() {
				barrierShard(g.n, shard, 2, g.machineNames)
			}
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			view := *g.views[g.machineNames[0]]
			processorTime(b, func() {
				view.Seq++
				next := view
				g.n.applyStatus(&next, g.now)
			})
		})
	}
}

// BenchmarkCapacityStep is one step of a controller in which nothing is to be done, by machines and own teams.
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

// BenchmarkCapacityPlace is what each step that places anything begins with, a copy of every machine with room,
// and the choice of one of them.
func BenchmarkCapacityPlace(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			g := newNodeHarness(machines, 3)
			ask := &placement.Ask{CPUs: 1, MemoryGB: 1, Zone: -1, Spot: true, Image: "img-0", RunSeconds: 40}
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			processorTime(b, func() {
				if placement.Choose(g.n.rng, g.n.scheduler.Hosts((*schedulerSnapshot)(g.n), g.now, ask), ask, g.n.options.SampleSize, func(*placement.Host) bool { return false }) == nil {
					b.Fatal("nothing was placed")
				}
			})
		})
	}
}

// BenchmarkCapacityFleet is one look of the fleet's owner, twice a second, at machines that all are up.
func BenchmarkCapacityFleet(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			g := newNodeHarness(machines, 3)
			for range 30 {
				g.submit(100, 8)
			}
			g.advanceSecond(10)
			account := provisioning.New(provisioning.Options{}, g.now)
			f := autoscaler.New("b", autoscaler.Options{IdleTimeout: 24 * time.Hour, SpotShare: 1, SilenceTimeout: 30 * time.Second, SafetyRunTimes: 2})
			g.n.mu.Lock()
			defer g.n.mu.Unlock()
			processorTime(b, func() {
				f.Decide(g.n.scheduler.MachineTypes(), g.n.fleetMachines(account, g.now), nil, nil, g.now, g.now)
			})
		})
	}
}

// BenchmarkCapacityRecord is what a controller does with the membership record: ten times a second it looks whether
// it should change it (proposal), and with each new term it finds the home of every machine (homes).
func BenchmarkCapacityRecord(b *testing.B) {
	for _, c := range []struct{ controllers, teams int }{{3, 8}, {3, 100}, {3, 317}, {3, 950}, {9, 950}, {17, 950}, {46, 8}, {46, 950}} {
		record := (&leadership.Record{Term: 1}).Clone()
		live := map[string]leadership.Presence{}
		var items []string
		for i := range c.controllers {
			name := fmt.Sprintf("controller-%02d", i)
			record.Nodes[name], live[name] = 1, leadership.Presence{Incarnation: 1, Version: 1}
		}
		for i := range c.teams {
			items = append(items, fmt.Sprintf("team/team-%03d", i))
		}
		for item, owner := range leadership.AssignOwners(items, record.Members()) {
			record.Shards[item] = leadership.Shard{Owner: owner, SinceTerm: 1, InSync: record.Members()}
		}
		name := fmt.Sprintf("controllers=%d/teams=%d", c.controllers, c.teams)
		b.Run("proposal/"+name, func(b *testing.B) {
			processorTime(b, func() {
				leadership.ReconcileMembers(record, items, live)
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

// BenchmarkCapacityStatus is one status line, by the machines homed at its sender: made once and sent to each peer
// twice a second at least, and taken in by each.
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

// BenchmarkCapacityRecordLine is the membership record as one controller tells it another that knows an earlier one: made, and
// taken in.
func BenchmarkCapacityRecordLine(b *testing.B) {
	for _, c := range []struct{ controllers, teams int }{{3, 8}, {3, 950}, {46, 950}} {
		record := (&leadership.Record{Term: 1}).Clone()
		var items []string
		for i := range c.controllers {
			record.Nodes[fmt.Sprintf("controller-%02d", i)] = 1
		}
		for i := range c.teams {
			items = append(items, fmt.Sprintf("team/team-%03d", i))
		}
		for item, owner := range leadership.AssignOwners(items, record.Members()) {
			record.Shards[item] = leadership.Shard{Owner: owner, SinceTerm: 1, InSync: record.ReplicaHolders(item, owner, func(string) bool { return true })}
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
