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

// roamingAgent is a plain agent: it sends its heartbeats to its home, waits for an answer, and goes to the controller
// under test when none comes.
type roamingAgent struct {
	name              string
	next              time.Time // of its next report
	here              bool      // it reports to the controller under test
	answered          time.Time // when its last answered report was sent
	longestUnanswered time.Duration
}

// play lets an agent send heartbeats until a time. homeAnswers says whether its home answers one sent then; alive is
// called as time goes on.
func (w *roamingAgent) play(n *Node, home string, until time.Time, homeAnswers func(time.Time) bool, alive func(time.Time)) {
	for !w.next.After(until) {
		now := w.next
		alive(now)
		switch {
		case !w.here && homeAnswers(now):
			n.machine(w.name).HomeHeardAt = now // as the home tells in its status
			w.answer(now)
		case !w.here: // 4 s for an answer, 1 s to the next controller
			w.here, w.next = true, now.Add(5*time.Second)
		case n.routeMisdirected(home, w.name, now) == agents.KeepAlive:
			w.answer(now)
		default:
			w.here, w.next = false, now.Add(500*time.Millisecond)
		}
		w.longestUnanswered = max(w.longestUnanswered, now.Sub(w.answered))
	}
}

func (w *roamingAgent) answer(now time.Time) {
	w.answered, w.next = now, now.Add(2500*time.Millisecond)
}

// TestAgentsOfAnUnreachableHomeKeepTheirLeases: a home that stands still, or that agents alone cannot reach, leaves them
// without answers. Redirected to it time and again, each waiting 4 s, they lost their lease of 12 s and 700 tasks with it
// in one incident. They must be answered elsewhere, and be home again soon after it answers.
func TestAgentsOfAnUnreachableHomeKeepTheirLeases(t *testing.T) {
	for _, silent := range []bool{true, false} { // do the peers hear the home?
		n := newGrown(4, 1).n
		n.settings.Deployment.Agents = settings.Agents{HeartbeatSeconds: 2, LeaseSeconds: 12, CancelSeconds: 32}
		n.unreachableHomes = agents.NewUnreachableHomes(agentTiming(n.settings))
		lease := settings.Seconds(n.settings.Deployment.Agents.LeaseSeconds)
		start := time.Now()
		n.leadership.ResetStableSince(start.Add(-time.Minute))
		n.peers["node-b"] = &peerState{lastMessageAt: start}
		cut, mended := start.Add(20*time.Second), start.Add(60*time.Second)
		w := &roamingAgent{name: "n-000001", next: start, answered: start}
		down := func(now time.Time) bool { return !now.Before(cut) && now.Before(mended) }
		play := func(until time.Time) {
			w.play(n, "node-b", until, func(now time.Time) bool { return !down(now) }, func(now time.Time) {
				if !silent || !down(now) {
					n.peers["node-b"].lastMessageAt = now
				}
			})
		}
		play(mended.Add(-time.Second))
		if w.longestUnanswered >= lease {
			t.Errorf("silent %v: unanswered for %v, its lease is %v", silent, w.longestUnanswered, lease)
		}
		if !w.here {
			t.Fatalf("silent %v: at a home that does not answer", silent)
		}
		play(mended.Add(lease + 6*time.Second))
		if w.here {
			t.Errorf("silent %v: still away from its home %v after that answers again", silent, lease)
		}
	}
}

// TestUnreachableHomeIsFound: one machine with a broken path must not have a controller left out of the homes, as that
// moves all machines under a new term; many must.
func TestUnreachableHomeIsFound(t *testing.T) {
	n := newGrown(120, 1).n
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
	come := func(names []string) string {
		n.unreachableHomes = agents.NewUnreachableHomes(agentTiming(n.settings))
		for i := range 6 {
			at := now.Add(time.Duration(i) * time.Second)
			n.peers[home].lastMessageAt = at
			for _, name := range names {
				n.routeMisdirected(home, name, at)
			}
		}
		return n.unreachableHomes.Find(machineHomes{n}, now.Add(6*time.Second))
	}
	if got := come(homed[:1]); got != "" || len(homed) < 20 {
		t.Errorf("one machine of %d leaves %q out", len(homed), got)
	}
	if got := come(homed[:len(homed)/2]); got != home {
		t.Errorf("half of %d machines leave %q out, not %s", len(homed), got, home)
	}
}

// TestFaultyJobAsksForLittle: a job that fails everywhere is tried one task at a
// time and rents nothing, while the machines that it failed on stay in use; a
// success brings it back. It used to fill the machines and condemn them.
func TestFaultyJobAsksForLittle(t *testing.T) {
	g := newGrown(12, 1)
	g.submit(40, 4)
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	n, shard := g.n, g.n.shards.OfTeam("team-0")
	end := func(why protocol.ExitReason) {
		for _, name := range g.names {
			var held []jobstate.Assignment
			shard.Team().Assignments().On(name, func(h jobstate.Assignment) { held = append(held, h) })
			g.tell(name, func(v *jobstate.MachineStatus) {
				v.Tasks = nil
				for _, h := range held {
					v.Tasks = append(v.Tasks, jobstate.TaskStatus{TaskID: h.TaskID, Attempt: h.Attempt, State: protocol.Exited, Reason: why})
				}
			})
			g.tell(name, func(v *jobstate.MachineStatus) { v.Tasks = nil })
		}
	}
	held := func() int { h, _ := shard.Team().Assignments().Count(); return h }
	step := func(after time.Duration) {
		g.now = g.now.Add(after)
		n.leadership.LeaseRenewed(g.now)
		for _, name := range g.names {
			n.machines[name].HeardAt = g.now
		}
		n.step(g.now)
	}
	step(time.Second)
	if held() != 40 {
		t.Fatalf("%d of 40 placed at first", held())
	}
	end(protocol.ReasonError)
	for i := range 4 {
		step(2 * time.Minute)
		if held() > 1 {
			t.Fatalf("try %d: %d tasks placed of a faulty job", i, held())
		}
		if list := n.demands(g.now); len(list) != 0 {
			t.Fatalf("a faulty job asks peers and fleet for room: %v", list)
		}
		if i < 3 {
			end(protocol.ReasonError)
		}
	}
	if held() != 1 {
		t.Fatal("a faulty job is not tried any more")
	}
	if got := len(n.scheduler.Hosts((*schedulerSnapshot)(n), g.now, nil)); got != 12 {
		t.Fatalf("%d of 12 machines in use after a faulty job", got)
	}
	end(protocol.ReasonDone)
	step(time.Second)
	if held() != 39 {
		t.Fatalf("%d of 39 placed after a success", held())
	}
}

// TestMisdirectedAgentIsNotSilent: agents that a home does not answer send their heartbeats to others, who keep them
// alive. The fleet's owner must learn of that from whoever does, or it returns the machines for their silence.
func TestMisdirectedAgentIsNotSilent(t *testing.T) {
	g := newGrown(6, 1)
	fleetOwner, n := newGrown(6, 1).n, g.n
	n.leadership.Record().Unreachable = nil
	at := g.now.Add(20 * time.Second)
	n.leadership.LeaseRenewed(at)
	name := g.names[slices.IndexFunc(g.names, func(name string) bool { return n.leadership.Record().Home(name) != n.name })]
	r := protocol.Heartbeat{Machine: name, Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: 9, FencingToken: 1, Tasks: []protocol.TaskStatus{}}
	n.handleHeartbeat(protocol.Encode(r))
	s := n.status(at)
	if !slices.Equal(s.Misdirected, []string{name}) || len(n.status(at).Misdirected) != 0 {
		t.Fatalf("tells of %v, then of more", s.Misdirected)
	}
	m := fleetOwner.machine(name)
	before := m.LastSign()
	fleetOwner.applyPeerStatus(&peerState{}, &s, at)
	if got := m.LastSign(); got != at || before == at {
		t.Errorf("the fleet's owner last heard the machine at %v, not %v", got, at)
	}
	if m.HomeHeardAt == at {
		t.Error("a home that heard nothing counts as having heard")
	}
}

// TestImpossibleHeartbeats: what is no heartbeat is refused with the field named, and what one says of tasks that can't be
// changes nothing: no job, no task done, no assignment, no machine, no suspicion of the store.
func TestImpossibleHeartbeats(t *testing.T) {
	g := newGrown(0, 1)
	n := g.n
	n.agents.SetTerm(1, func(string) bool { return true })
	n.roster.ApplyList("x", 1, agents.RosterValue{Names: []string{"n-1"}})
	spec := array(1, 3, "team-0")
	n.learnJob(userapi.ActiveJob{Spec: spec, SubmittedAtMillis: g.now.UnixMilli()}, 1)
	team := n.shards.OfTeam("team-0").Team()
	good := protocol.Heartbeat{Machine: "n-1", Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: 1, FencingToken: 1, Tasks: []protocol.TaskStatus{}}
	if a := n.handleHeartbeat(protocol.Encode(good)); a.Status != 200 {
		t.Fatalf("a good report got %d %s", a.Status, a.Body)
	}
	n.place(g.now)
	state := func() string {
		done, _ := team.Progress(spec.UID)
		proof, _ := n.recovery.detection.Proved()
		return fmt.Sprint(len(n.jobs), len(n.machines), len(n.roster.All()), done, len(team.Replica().Assignments), proof, n.recovery.detection.RecordChainBroken(), n.trusted())
	}
	before := state()
	if held, _ := team.Assignments().Count(); held == 0 {
		t.Fatal("nothing was placed that a report could undo")
	}
	for field, spoil := range map[string]func(*protocol.Heartbeat){
		"estacion": func(r *protocol.Heartbeat) { r.Machine = "n 1" },
		"address":  func(r *protocol.Heartbeat) { r.Addr = "" },
		"jornada":  func(r *protocol.Heartbeat) { r.Incarnation = 0 },
		"modelo":   func(r *protocol.Heartbeat) { r.Type = "" },
	} {
		r := good
		spoil(&r)
		if a := n.handleHeartbeat(protocol.Encode(r)); a.Status != 400 || !strings.Contains(string(a.Body), field) {
			t.Errorf("%s spoiled: %d %s", field, a.Status, a.Body)
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
		t.Errorf("a token that nobody gave out: %d, %s, before %s", a.Status, state(), before)
	}
}
