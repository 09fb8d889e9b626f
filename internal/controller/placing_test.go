package controller

import (
	"testing"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/userapi"
)

// TestHurriedTakeTheSoonest: a task with hardly any time left went to a cheap
// machine that had to fetch its image for longer than it had, beside a dear one that
// had the image. What has time goes where it costs least.
func TestHurriedTakeTheSoonest(t *testing.T) {
	for _, deadline := range []float64{30, 300} {
		g := newGrown(8, 1)
		n := g.n
		n.mu.Lock()
		n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: &protocol.Submission{UID: "job-000001", Team: "team-0", Kind: protocol.JobArray, Priority: "high",
			Tasks: 2, CPUs: 4, MemoryGB: 1, Image: "img", ImageGB: 4, EstimateSeconds: 10, Spot: true, DeadlineSeconds: &deadline}}, 1)
		for _, m := range n.machines {
			m.images["img"], m.counted = !m.status.Spot, false
		}
		n.place(g.now.Add(100 * time.Millisecond))
		for _, h := range n.shards.OfTeam("team-0").Team().Replica().Assignments {
			if spot := n.machines[h.Machine].status.Spot; spot != (deadline == 300) {
				t.Errorf("due in %g s: placed on a spot machine without the image: %v", deadline, spot)
			}
		}
		n.mu.Unlock()
	}
}

// TestNewTermKeepsPlaces: a raised term is told of to peers with every homed machine's
// view; a controller must know its own machines under it as well, or it places nothing
// on them until each has reported again.
func TestNewTermKeepsPlaces(t *testing.T) {
	g := newGrown(0, 1)
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agents.SetTerm(1, func(string) bool { return true })
	n.roster.ApplyList("x", 1, agents.RosterValue{Names: []string{"n-1", "n-2"}})
	for _, name := range []string{"n-1", "n-2"} {
		n.applyHeartbeat(&protocol.Heartbeat{Machine: name, Addr: "127.0.0.1:1", Type: "m32", Zone: "east", Incarnation: 1, Seq: 1, FencingToken: 1, Tasks: []protocol.TaskStatus{}}, g.now)
	}
	if got := len(n.hosts(g.now, nil)); got != 2 {
		t.Fatalf("%d of 2 machines take tasks", got)
	}
	next := n.leadership.Record().Clone()
	next.Term++
	n.adopt(next, n.leadership.RecordVersion()+1)
	if got := len(n.hosts(g.now, nil)); got != 2 {
		t.Errorf("%d of 2 machines take tasks after the term was raised", got)
	}
	if len(n.changedMachines) != 2 {
		t.Errorf("%d of 2 machines are to be told of", len(n.changedMachines))
	}
}

// TestRoomIsKeptForGangs: small tasks of an array took each piece of room that came free, so that gangs of higher
// priority waited until the array was over. What a gang can get is left to it; one that all machines
// of a zone could not take keeps nobody waiting, nor does one that waits for its team's quota, nor one of lower priority.
func TestRoomIsKeptForGangs(t *testing.T) {
	for _, c := range []struct {
		tasks    int
		priority string
		quota    float64
		kept     bool
	}{{8, "high", 1000, true}, {9, "high", 1000, false}, {8, "low", 1000, false}, {8, "high", 48, false}} {
		g := newGrown(8, 2) // two of them ordinary, in one zone
		n := g.n
		n.mu.Lock()
		submit := func(spec protocol.Submission) {
			spec.MemoryGB, spec.Image, spec.EstimateSeconds, spec.OneZone = 1, "img", 40, spec.Kind == protocol.Gang
			n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: &spec}, 1)
		}
		held := func(uid string) (count int) {
			for shard := range n.shards.All() {
				for key := range shard.Team().Replica().Assignments {
					if key.Job == uid {
						count++
					}
				}
			}
			return count
		}
		n.shards.OfTeam("team-0").Team().MaxCPUs = c.quota
		submit(protocol.Submission{UID: "job-000001", Team: "team-0", Kind: protocol.JobArray, Priority: "high", Tasks: 1, CPUs: 8})
		n.place(g.now)
		submit(protocol.Submission{UID: "job-000002", Team: "team-0", Kind: protocol.Gang, Priority: c.priority, Tasks: c.tasks, CPUs: 8})
		submit(protocol.Submission{UID: "job-000003", Team: "team-1", Kind: protocol.JobArray, Priority: "standard", Tasks: 40, CPUs: 1})
		n.place(g.now)
		if held("job-000001") != 1 || held("job-000002") != 0 {
			t.Fatalf("%+v: the gang has %d tasks placed beside what runs", c, held("job-000002"))
		}
		if got := held("job-000003"); got != 0 && c.kept || got != 40 && !c.kept {
			t.Errorf("%+v: %d of 40 tasks of the array were placed", c, got)
		}
		n.mu.Unlock()
		for range 70 {
			g.second(1) // what ran ends
		}
		n.mu.Lock()
		if done, _ := n.shards.OfTeam("team-0").Team().Progress("job-000002"); done == 0 && held("job-000002") == 0 && c.tasks == 8 && c.quota > 64 {
			t.Errorf("%+v: the gang did not start in the room that came free", c)
		}
		n.mu.Unlock()
	}
}

// TestUnusedRoomIsReleased: room was kept without end for a gang that could not start, so that an array waited for minutes
// beside it. After a minute in which no gang started the array gets it.
func TestUnusedRoomIsReleased(t *testing.T) {
	g := newGrown(8, 2) // two of them ordinary, in one zone
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	submit := func(uid, team, priority string, kind protocol.JobKind, tasks int, cpus float64) {
		n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: &protocol.Submission{UID: uid, Team: team, Kind: kind, Priority: priority, Tasks: tasks, CPUs: cpus,
			MemoryGB: 1, Image: "img", EstimateSeconds: 40, OneZone: kind == protocol.Gang}}, 1)
	}
	gangs, arrays := n.shards.OfTeam("team-0").Team(), n.shards.OfTeam("team-1").Team()
	placeAt := func(after time.Duration) int {
		now := g.now.Add(after)
		for _, m := range n.machines {
			m.heardAt = now
		}
		gangs.UpdateGangReservation(now)
		n.place(now)
		return len(arrays.Replica().Assignments)
	}
	submit("job-000001", "team-0", "high", protocol.Service, 1, 8)
	placeAt(0)
	submit("job-000002", "team-0", "high", protocol.Gang, 8, 8)
	submit("job-000003", "team-1", "standard", protocol.JobArray, 40, 1)
	if got := placeAt(0); got != 0 {
		t.Fatalf("%d of 40 tasks of the array were placed at once", got)
	}
	if got := placeAt(time.Minute); got != 40 {
		t.Errorf("%d of 40 tasks of the array were placed after a minute", got)
	}
	if got := len(gangs.Replica().Assignments); got != 1 {
		t.Errorf("%d tasks of the other team are held, want the service alone", got)
	}
}

// TestGangStopsLessUrgentWork: gangs of high priority waited for minutes until arrays of their team were over. Beyond its
// guarantee a gang stops tasks of its own team, as many as it takes, and none of others; one of low priority stops nothing, nor
// does one that can reach no goal any more.
func TestGangStopsLessUrgentWork(t *testing.T) {
	for _, c := range []struct {
		priority string
		deadline float64
		stops    int
	}{{"high", 1000, 40}, {"low", 1000, 0}, {"high", 100, 0}} {
		priority := c.priority
		g := newGrown(8, 2) // two of them ordinary, of 32 CPUs and in one zone
		n := g.n
		n.shards.OfTeam("team-0").Team().GuaranteedCPUs, n.shards.OfTeam("team-0").Team().MaxCPUs = 0, 44
		submit := func(uid, team, priority string, kind protocol.JobKind, tasks int, cpus float64) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.UnixMilli(), Spec: &protocol.Submission{UID: uid, Team: team, Kind: kind, Priority: priority, Tasks: tasks, CPUs: cpus,
				MemoryGB: 1, Image: "img", EstimateSeconds: 600, OneZone: kind == protocol.Gang, DeadlineSeconds: &c.deadline}}, 1)
		}
		submit("job-000001", "team-1", "standard", protocol.JobArray, 16, 1)
		submit("job-000002", "team-0", "standard", protocol.JobArray, 60, 1)
		for range 3 {
			g.second(2)
		}
		submit("job-000003", "team-0", priority, protocol.Gang, 5, 8)
		for range 6 {
			g.second(2)
		}
		n.mu.Lock()
		stopped := 0
		for ref := range n.evictions {
			if ref.Job != "job-000002" {
				t.Errorf("%s: %v was asked to make room", priority, ref)
			}
			stopped++
		}
		// 44 of the 64 CPUs are all that the team may use, and the array has them: 40 of them are for the gang.
		if stopped != c.stops {
			t.Errorf("%+v: %d tasks were asked to make room", c, stopped)
		}
		n.mu.Unlock()
	}
}

// TestGangsInTimeGoFirst: gangs wait for room by when they could be complete, so that one that could still
// start within its goal stood behind those that no longer could.
func TestGangsInTimeGoFirst(t *testing.T) {
	g := newGrown(8, 1) // two of them ordinary, in one zone
	n := g.n
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settings.Deployment.Objectives = []settings.Objective{{Kind: "finished", Class: "c", WithinSeconds: 300}, {Kind: "wait", Class: "c", WithinSeconds: 20}}
	for uid, age := range map[string]time.Duration{"job-000001": 100 * time.Second, "job-000002": 5 * time.Second} {
		n.learnJob(userapi.ActiveJob{SubmittedAtMillis: g.now.Add(-age).UnixMilli(), Spec: &protocol.Submission{UID: uid, Class: "c", Team: "team-0", Kind: protocol.Gang, Priority: "high",
			Tasks: 8, CPUs: 8, MemoryGB: 1, Image: "img", EstimateSeconds: 40, OneZone: true}}, 1)
	}
	n.place(g.now)
	holds := n.shards.OfTeam("team-0").Team().Replica().Assignments
	for key := range holds {
		if key.Job != "job-000002" {
			t.Errorf("%v was placed before the gang that can start in time", key)
		}
	}
	if len(holds) != 8 {
		t.Errorf("%d tasks placed", len(holds))
	}
}
