package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/userapi"
)

// roamingAgent models an agent that sends its heartbeats to its home, and to the controller under test when the home
// does not answer in time.
type roamingAgent struct {
	name              string
	next              time.Time // when it sends the next heartbeat
	here              bool      // it sends its heartbeats to the controller under test
	answered          time.Time // when it sent the last heartbeat that was answered
	longestUnanswered time.Duration
}

// run simulates the agent's heartbeats until a time. homeAnswers returns whether the home answers a heartbeat sent at a
// time; alive is called with the time of each heartbeat.
func (w *roamingAgent) run(n *Node, home string, until time.Time, homeAnswers func(time.Time) bool, alive func(time.Time)) {
	for !w.next.After(until) {
		now := w.next
		alive(now)
		switch {
		case !w.here && homeAnswers(now):
			n.machine(w.name).HomeHeardAt = now // as the home's status reports
			w.answer(now)
		case !w.here: // 4 s without an answer, and 1 s until it tries the next controller
			w.here, w.next = true, now.Add(5*time.Second)
		case n.routeMisdirected(home, w.name, now) == agents.KeepAlive:
			w.answer(now)
		default:
			w.here, w.next = false, now.Add(500*time.Millisecond)
		}
		w.longestUnanswered = max(w.longestUnanswered, now.Sub(w.answered))
	}
}

// answer records that a heartbeat sent at a time was answered.
func (w *roamingAgent) answer(now time.Time) {
	w.answered, w.next = now, now.Add(2500*time.Millisecond)
}

// TestAgentsOfAnUnreachableHomeKeepTheirLeases: agents get no answer from a home that is stalled, or that only agents
// cannot reach. Redirected to the home again and again, each time waiting 4 s for an answer, they lost their leases of
// 12 s in one incident, and 700 tasks with them. Another controller must answer them, and they must return to their
// home soon after it answers again.
func TestAgentsOfAnUnreachableHomeKeepTheirLeases(t *testing.T) {
	for _, silent := range []bool{true, false} { // does the home send its peers no messages?
		n := newNodeHarness(4, 1).n
		n.settings.Deployment.Agents = settings.Agents{HeartbeatSeconds: 2, LeaseSeconds: 12, CancelSeconds: 32}
		*n.unreachableHomes = *agents.NewUnreachableHomes(agentTiming(n.settings))
		lease := settings.Seconds(n.settings.Deployment.Agents.LeaseSeconds)
		start := time.Now()
		n.leadership.ResetStableSince(start.Add(-time.Minute))
		n.peers["node-b"] = &peerState{lastMessageAt: start}
		failed, recovered := start.Add(20*time.Second), start.Add(60*time.Second)
		w := &roamingAgent{name: "n-000001", next: start, answered: start}
		down := func(now time.Time) bool { return !now.Before(failed) && now.Before(recovered) }
		runUntil := func(until time.Time) {
			w.run(n, "node-b", until, func(now time.Time) bool { return !down(now) }, func(now time.Time) {
				if !silent || !down(now) {
					n.peers["node-b"].lastMessageAt = now
				}
			})
		}
		runUntil(recovered.Add(-time.Second))
		if w.longestUnanswered >= lease {
			t.Errorf("silent %v: unanswered for %v, its lease is %v", silent, w.longestUnanswered, lease)
		}
		if !w.here {
			t.Fatalf("silent %v: sends its heartbeats to a home that does not answer", silent)
		}
		runUntil(recovered.Add(lease + 6*time.Second))
		if w.here {
			t.Errorf("silent %v: still not back at its home %v after the home answers again", silent, lease)
		}
	}
}

// TestUnreachableHomeIsFound: if many machines cannot reach their home, the home must count as unreachable. A single
// machine with a broken network path must not be enough, as excluding a controller from the homes moves machines under
// a new term.
func TestUnreachableHomeIsFound(t *testing.T) {
	n := newNodeHarness(120, 1).n
	n.leadership.Record().Unreachable = nil
	now := time.Now()
	n.leadership.ResetStableSince(now.Add(-time.Minute))
	home := "node-b"
	n.peers[home] = &peerState{lastMessageAt: now}
	var homed []string
	for i := range 120 {
		if name := fmt.Sprintf("n-%06d", i); n.leadership.Record().Home(name) == home {
			homed = append(homed, name)
		}
	}
	findAfterHeartbeatsOf := func(names []string) string {
		*n.unreachableHomes = *agents.NewUnreachableHomes(agentTiming(n.settings))
		for i := range 6 {
			at := now.Add(time.Duration(i) * time.Second)
			n.peers[home].lastMessageAt = at
			for _, name := range names {
				n.routeMisdirected(home, name, at)
			}
		}
		return n.unreachableHomes.Find(homesView{n}, now.Add(6*time.Second))
	}
	if got := findAfterHeartbeatsOf(homed[:1]); got != "" || len(homed) < 20 {
		t.Errorf("misdirected heartbeats of one machine of %d make %q unreachable", len(homed), got)
	}
	if got := findAfterHeartbeatsOf(homed[:len(homed)/2]); got != home {
		t.Errorf("misdirected heartbeats of half of %d machines make %q unreachable, not %s", len(homed), got, home)
	}
}

// TestFaultyJobIsThrottled: of a job that fails on every machine only one task at a time is tried, and no machine is
// acquired for it, while the machines that it failed on stay in use; after a success all its tasks are placed again.
// Without that the job fills the machines and has them quarantined.
func TestFaultyJobIsThrottled(t *testing.T) {
	g := newNodeHarness(12, 1)
	g.submit(40, 4)
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	n, shard := g.n, g.n.shards.OfTeam("team-0")
	end := func(why protocol.ExitReason) {
		for _, name := range g.machineNames {
			var held []jobstate.Assignment
			shard.Team().Assignments().On(name, func(h jobstate.Assignment) { held = append(held, h) })
			g.reportStatus(name, func(v *jobstate.MachineStatus) {
				v.Tasks = nil
				for _, h := range held {
					v.Tasks = append(v.Tasks, jobstate.TaskStatus{TaskID: h.TaskID, Attempt: h.Attempt, State: protocol.Exited, Reason: why})
				}
			})
			g.reportStatus(name, func(v *jobstate.MachineStatus) { v.Tasks = nil })
		}
	}
	placed := func() int { h, _ := shard.Team().Assignments().Count(); return h }
	step := func(after time.Duration) {
		g.now = g.now.Add(after)
		n.leadership.LeaseRenewed(g.now)
		for _, name := range g.machineNames {
			n.machines[name].HeardAt = g.now
		}
		n.step(g.now)
	}
	step(time.Second)
	if placed() != 40 {
		t.Fatalf("%d of 40 placed at first", placed())
	}
	end(protocol.ReasonError)
	for i := range 4 {
		step(2 * time.Minute)
		if placed() > 1 {
			t.Fatalf("try %d: %d tasks placed of a faulty job", i, placed())
		}
		if list := n.demands(g.now); len(list) != 0 {
			t.Fatalf("a faulty job has demands: %v", list)
		}
		if i < 3 {
			end(protocol.ReasonError)
		}
	}
	if placed() != 1 {
		t.Fatal("no task of a faulty job is tried any more")
	}
	if got := len(n.scheduler.Hosts((*schedulerSnapshot)(n), g.now, nil)); got != 12 {
		t.Fatalf("%d of 12 machines in use after a faulty job", got)
	}
	end(protocol.ReasonDone)
	step(time.Second)
	if placed() != 39 {
		t.Fatalf("%d of 39 placed after a success", placed())
	}
}

// TestMisdirectedAgentIsNotSilent: agents that their home does not answer send their heartbeats to other controllers,
// which keep them alive. The fleet's owner must learn of that from these controllers, or it releases the machines as
// silent.
func TestMisdirectedAgentIsNotSilent(t *testing.T) {
	g := newNodeHarness(6, 1)
	fleetOwner, n := newNodeHarness(6, 1).n, g.n
	n.leadership.Record().Unreachable = nil
	at := g.now.Add(20 * time.Second)
	n.leadership.LeaseRenewed(at)
	name := g.machineNames[slices.IndexFunc(g.machineNames, func(name string) bool { return n.leadership.Record().Home(name) != n.name })]
	r := protocol.Heartbeat{Machine: name, Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: 9, FencingToken: 1, Tasks: []protocol.TaskStatus{}}
	n.handleHeartbeat(protocol.Encode(r))
	s := n.status(at)
	if !slices.Equal(s.Misdirected, []string{name}) || len(n.status(at).Misdirected) != 0 {
		t.Fatalf("the first status lists %v as misdirected, or the second status repeats them", s.Misdirected)
	}
	m := fleetOwner.machine(name)
	before := m.LastSeenAt()
	fleetOwner.applyPeerStatus(&peerState{}, &s, at)
	if got := m.LastSeenAt(); got != at || before == at {
		t.Errorf("the fleet's owner has last seen the machine at %v, want %v", got, at)
	}
	if m.HomeHeardAt == at {
		t.Error("a home that received no heartbeat counts as having received one")
	}
}

// TestInvalidHeartbeats: an invalid heartbeat is refused with the name of the field, and a valid one that lists
// impossible tasks changes nothing: no job, no done task, no assignment, no machine, no suspicion of a loss of data.
func TestInvalidHeartbeats(t *testing.T) {
	g := newNodeHarness(0, 1)
	n := g.n
	n.agents.SetTerm(1, func(string) bool { return true })
	n.roster.ApplyList("x", 1, agents.RosterValue{Names: []string{"n-1"}})
	spec := arrayJob(1, 3, "team-0")
	n.learnJob(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: g.now.UnixMilli()}, 1)
	team := n.shards.OfTeam("team-0").Team()
	good := protocol.Heartbeat{Machine: "n-1", Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: 1, FencingToken: 1, Tasks: []protocol.TaskStatus{}}
	if a := n.handleHeartbeat(protocol.Encode(good)); a.Status != 200 {
		t.Fatalf("a valid heartbeat got %d %s", a.Status, a.Body)
	}
	n.place(g.now)
	state := func() string {
		done, _ := team.Progress(spec.UID)
		proof, _ := n.recovery.detection.Proved()
		return fmt.Sprint(len(n.jobs), len(n.machines), len(n.roster.All()), done, len(team.Replica().Assignments), proof, n.recovery.detection.RecordChainBroken(), n.recovery.detection.Trusted())
	}
	before := state()
	if held, _ := team.Assignments().Count(); held == 0 {
		t.Fatal("no task was placed that a heartbeat could affect")
	}
	for field, invalidate := range map[string]func(*protocol.Heartbeat){
		"estacion": func(r *protocol.Heartbeat) { r.Machine = "n 1" },
		"address":  func(r *protocol.Heartbeat) { r.Addr = "" },
		"jornada":  func(r *protocol.Heartbeat) { r.Incarnation = 0 },
		"modelo":   func(r *protocol.Heartbeat) { r.Type = "" },
	} {
		r := good
		invalidate(&r)
		if a := n.handleHeartbeat(protocol.Encode(r)); a.Status != 400 || !strings.Contains(string(a.Body), field) {
			t.Errorf("invalid %s: answered with %d %s", field, a.Status, a.Body)
		}
	}
	for _, body := range []string{"", "{", "[]", `{"estacion":7}`, `{"tramos":{}}`} {
		if a := n.handleHeartbeat([]byte(body)); a.Status != 400 {
			t.Errorf("%q: %d %s", body, a.Status, a.Body)
		}
	}
	seq := good.Seq
	for _, x := range []protocol.TaskStatus{
		{Task: "", Attempt: 1, State: protocol.Running}, {Task: "/0", Attempt: 1, State: protocol.Exited, Reason: protocol.ReasonDone},
		{Task: spec.UID + "/-1", Attempt: 1, State: protocol.Exited, Reason: protocol.ReasonDone}, {Task: spec.UID + "/007", Attempt: 1, State: protocol.Exited, Reason: protocol.ReasonDone},
		{Task: spec.UID + "/3", Attempt: 1, State: protocol.Exited, Reason: protocol.ReasonDone}, {Task: spec.UID + "/999999999999", Attempt: 1, State: protocol.Exited, Reason: protocol.ReasonDone},
		{Task: spec.UID, Attempt: 1, State: protocol.Exited, Reason: protocol.ReasonDone},
	} {
		r := good
		seq++
		r.Seq, r.Tasks = seq, []protocol.TaskStatus{x}
		n.handleHeartbeat(protocol.Encode(r))
		if got := state(); got != before {
			t.Errorf("%+v: %s, before %s", x, got, before)
		}
	}
	r := good
	r.Seq, r.FencingToken = seq+1, 1<<60
	if a := n.handleHeartbeat(protocol.Encode(r)); a.Status != 503 || state() != before {
		t.Errorf("a fencing token that was never issued: %d, %s, before %s", a.Status, state(), before)
	}
}
