package scheduler

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// imageMachine models a machine that fetches the image of the gang, and the tasks on it. It has all other images.
type imageMachine struct {
	fetch    time.Duration // time that it takes to fetch the image
	hasImage bool
	fetched  time.Time // when the present fetch is complete
	tasks    []jobstate.TaskStatus
	since    map[jobstate.AttemptRef]time.Time // when tasks got their image
}

// gangWait is how long a task waits for the others of its gang.
const gangWait = 30 * time.Second

// execute executes orders as an agent does.
func (m *imageMachine) execute(orders []jobstate.Order) {
	for _, o := range orders {
		i := slices.IndexFunc(m.tasks, func(t jobstate.TaskStatus) bool { return t.Ref() == o.Ref() })
		switch {
		case o.Op == protocol.Start && i < 0:
			m.tasks = append(m.tasks, jobstate.TaskStatus{TaskID: o.TaskID, Attempt: o.Attempt, State: protocol.Pulling})
		case o.Op == protocol.Stop && i >= 0 && m.tasks[i].State != protocol.Exited:
			m.tasks[i].State, m.tasks[i].Reason = protocol.Exited, protocol.ReasonStopped
		case o.Op == protocol.Forget && i >= 0:
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

// advance continues the fetch, which is given up when no task waits for it, and lets tasks wait for their gang.
func (m *imageMachine) advance(now time.Time, jobs map[string]*Job) {
	pulls := false
	for i := range m.tasks {
		t := &m.tasks[i]
		switch {
		case t.State == protocol.Pulling && t.Job != gangUID:
			t.State, m.since[t.Ref()] = protocol.Running, now
		case t.State == protocol.Running && now.Sub(m.since[t.Ref()]) > jobs[t.Job].Spec.RunTime():
			t.State, t.Reason = protocol.Exited, protocol.ReasonDone
		case t.State == protocol.Pulling && m.hasImage:
			t.State, m.since[t.Ref()] = protocol.Waiting, now
		case t.State == protocol.Pulling:
			pulls = true
		case t.State == protocol.Waiting && now.Sub(m.since[t.Ref()]) > gangWait:
			t.State, t.Reason = protocol.Exited, protocol.ReasonIncomplete
		}
	}
	switch {
	case !pulls:
		m.fetched = time.Time{}
	case m.fetched.IsZero():
		m.fetched = now.Add(m.fetch)
	default:
		m.hasImage = !now.Before(m.fetched)
	}
}

// gangRegion is a cluster of machines that fetch images, and a team with a gang whose tasks fill most of a machine each.
type gangRegion struct {
	*cluster
	models []*imageMachine
	term   uint64
}

// addMachine adds a machine that takes a time to fetch the image; 0: it has the image.
func (g *gangRegion) addMachine(fetch time.Duration) {
	g.machines = append(g.machines, fmt.Sprintf("n-%06d", len(g.machines)))
	g.models = append(g.models, &imageMachine{fetch: fetch, hasImage: fetch == 0, since: map[jobstate.AttemptRef]time.Time{}})
	g.observe(len(g.machines) - 1)
}

// step advances the region by half a second. It reports whether all tasks of the gang wait, so that it runs.
func (g *gangRegion) step() (runs bool) {
	team, waiting := g.teams[0], map[uint64]int{}
	g.now = g.now.Add(500 * time.Millisecond)
	team.Quota().UpdateGangReservation(g.now)
	g.pass()
	due := team.TakeDueOrders(math.MaxUint64, g.now, func(string, uint64) bool { return true })
	for i, m := range g.models {
		m.execute(due[g.machines[i]])
		m.advance(g.now, g.jobs)
		g.observe(i, slices.Clone(m.tasks)...)
		status := *g.scheduler.machines[g.machines[i]].status
		status.FencingToken = g.term
		m.execute(team.Observe(&status, g.now, jobDirectory{g.cluster}))
		for _, t := range m.tasks {
			if t.State == protocol.Waiting {
				waiting[t.Attempt]++
				runs = runs || waiting[t.Attempt] == g.jobs[gangUID].Spec.Tasks
			}
		}
	}
	return runs
}

// gangUID is the gang that the tests below submit.
const gangUID = "job-000001"

// TestGangStartsAlthoughAMachineFetchesLong guards against a gang that never runs (review/7): the tasks whose machines had
// the image exited as incomplete, the others were stopped before theirs had it, and each attempt began the fetches anew.
func TestGangStartsAlthoughAMachineFetchesLong(t *testing.T) {
	const long, never = 44 * time.Second, 24 * time.Hour
	for name, c := range map[string]struct {
		fetch  []time.Duration // by each machine at the beginning
		later  time.Duration   // by a machine that comes up after 10 s; 0: there is none
		raised bool            // the term is raised every 10 s
		array  bool            // other work of the same priority waits for any room
		shares bool            // the gang shares a zone; machines of the first one, which lack the image, are busy for 20 s
		within time.Duration
	}{
		"one machine has the image":           {fetch: []time.Duration{0, long}, within: 50 * time.Second},
		"the term rises":                      {fetch: []time.Duration{0, long}, raised: true, within: 50 * time.Second},
		"other work waits for room":           {fetch: []time.Duration{0, long}, array: true, within: 50 * time.Second},
		"a cheaper machine comes up":          {fetch: []time.Duration{0, long}, later: long, within: 50 * time.Second},
		"machines finish one after the other": {fetch: []time.Duration{0, 40 * time.Second, 75 * time.Second, 110 * time.Second}, within: 115 * time.Second},
		"the gang shares a zone":              {fetch: []time.Duration{long, 0, long, long}, shares: true, within: 50 * time.Second},
		"one machine never has the image":     {fetch: []time.Duration{0, never}, later: long, within: 4 * time.Minute},
	} {
		g := &gangRegion{cluster: newCluster(t, 0, 1), term: 1}
		for _, fetch := range c.fetch {
			g.addMachine(fetch)
		}
		gang := protocol.Submission{UID: gangUID, Kind: protocol.Gang, Priority: "standard", Tasks: len(c.fetch), CPUs: 20, MemoryGB: 20,
			Image: "img", ImageGB: 11, EstimateSeconds: 60, Spot: true}
		if c.shares {
			gang.OneZone, gang.Tasks = true, len(c.fetch)/len(g.settings.Zones)
			g.submit(0, 0, protocol.Submission{UID: "job-000002", Kind: protocol.JobArray, Priority: "high", Tasks: gang.Tasks, CPUs: 20, MemoryGB: 1,
				Image: "other", EstimateSeconds: 20, Spot: true, Zone: &g.settings.Zones[0]})
			g.step()
		}
		g.submit(0, 0, gang)
		for began := g.now; !g.step(); {
			elapsed := g.now.Sub(began)
			if elapsed > c.within {
				t.Errorf("%s: the gang does not run within %v", name, c.within)
				break
			}
			if c.later > 0 && elapsed == 10*time.Second {
				g.addMachine(c.later)
			}
			if c.array && elapsed == 20*time.Second {
				g.submit(0, 0, protocol.Submission{UID: "job-000000", Kind: protocol.JobArray, Priority: "standard", Tasks: 500, CPUs: 1, MemoryGB: 1,
					Image: "other", EstimateSeconds: 300, Spot: true})
			}
			if c.raised && elapsed%(10*time.Second) == 0 {
				g.term++
				g.teams[0].SetTerm(g.term)
			}
		}
	}
}

// peerCluster is a cluster with waiting tasks of teams that other controllers own.
type peerCluster struct {
	*cluster
	demands []Demand
}

func (c peerCluster) PeerDemands(time.Time) iter.Seq[Demand] { return slices.Values(c.demands) }

// TestPassLeavesHeldRoomToPeers checks that room which a gang of another controller holds is left to it, and that no other
// room is left for the tasks that it is held for.
func TestPassLeavesHeldRoomToPeers(t *testing.T) {
	g := peerCluster{newCluster(t, 2, 2), []Demand{{Job: gangUID, Count: 1, Held: []string{"n-000001"}}}}
	g.submit(0, time.Minute, protocol.Submission{UID: gangUID, Kind: protocol.Gang, Priority: "low", Tasks: 2, CPUs: 20, Spot: true})
	g.submit(1, time.Minute, protocol.Submission{UID: "job-000002", Kind: protocol.JobArray, Priority: "high", Tasks: 100, CPUs: 1, EstimateSeconds: 10, Spot: true})
	g.teams = g.teams[1:] // the first one has another owner
	g.scheduler.Pass(g, g.now)
	if first, second := len(g.runningOn("n-000000")), len(g.runningOn("n-000001")); first != 32 || second != 12 {
		t.Fatalf("%d and %d tasks of 1 CPU placed beside a peer's held 20 of 32 CPUs on the second machine", first, second)
	}
}
