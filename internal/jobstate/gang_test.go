package jobstate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// newModelWithGang returns a model whose team has a gang of three tasks of 2 CPUs, and a location for each task.
func newModelWithGang(t *testing.T) (*model, *Job, map[int]Location) {
	m := newModel(t, 3)
	s := &protocol.Submission{UID: "job-9", Team: "team", Kind: protocol.Gang, Priority: "standard", Tasks: 3, CPUs: 2, CheckpointSeconds: 2, CheckpointEverySeconds: 5}
	m.specs[s.UID], m.active[s.UID] = s, true
	m.team.AddJob(s, 1, m.now, nil)
	locations := map[int]Location{}
	for i := range s.Tasks {
		locations[i] = Location{fmt.Sprintf("m%d", i), "z", 1}
	}
	return m, m.team.Job(s.UID), locations
}

// observeGangTask has the team observe a heartbeat that lists one task of the gang in the given state.
func observeGangTask(m *model, j *Job, id uint64, index int, state protocol.TaskState, why protocol.ExitReason) {
	v := &MachineStatus{Machine: fmt.Sprintf("m%d", index), Zone: "z", Incarnation: 1, FencingToken: 1}
	v.Tasks = []TaskStatus{{TaskID: TaskID{j.Spec.UID, index}, Attempt: id, State: state, Reason: why}}
	m.team.Observe(v, m.now, m)
}

// TestGangAllOrNone checks that no task of a gang that does not fit the quota is placed.
func TestGangAllOrNone(t *testing.T) {
	m, j, locations := newModelWithGang(t)
	m.team.quota.limits.Max.CPUs = 5
	if m.team.PlaceGang(j, 0, locations) || len(m.team.Replica().Assignments) != 0 {
		t.Fatal("an incomplete gang was placed")
	}
}

// TestGangTaskIsReplacedBeforeStart checks that a task that its machine rejects while the others wait to start is
// placed again under the same attempt.
func TestGangTaskIsReplacedBeforeStart(t *testing.T) {
	m, j, locations := newModelWithGang(t)
	if !m.team.PlaceGang(j, 0, locations) {
		t.Fatal("not placed")
	}
	id := AttemptID(1, 1)
	observeGangTask(m, j, id, 0, protocol.Waiting, "")
	observeGangTask(m, j, id, 1, protocol.Exited, protocol.ReasonFull)
	if missing, same := m.team.MissingGangTasks(j); len(missing) != 1 || missing[0] != 1 || same != id {
		t.Fatalf("missing %v of attempt %d", missing, same)
	}
}

// TestGangRestartsAsAWhole checks that a gang that lost a running task is stopped as a whole, with the grace period for
// a checkpoint, and that no new attempt starts before every task is proven to be off its machine.
func TestGangRestartsAsAWhole(t *testing.T) {
	m, j, locations := newModelWithGang(t)
	m.team.PlaceGang(j, 0, locations)
	id := AttemptID(1, 1)
	for i := range 3 {
		observeGangTask(m, j, id, i, protocol.Running, "")
	}
	observeGangTask(m, j, id, 1, protocol.Exited, protocol.ReasonError)
	if missing, _ := m.team.MissingGangTasks(j); len(missing) != 0 {
		t.Fatalf("tasks %v would start while the gang runs", missing)
	}
	stops := 0
	for _, orders := range m.team.TakeDueOrders(99, m.now, func(string, uint64) bool { return true }) {
		for _, o := range orders {
			if o.Op != protocol.Stop || o.GraceSeconds != j.Spec.CheckpointSeconds {
				t.Fatalf("orders %+v", o)
			}
			stops++
		}
	}
	if stops != 2 {
		t.Fatalf("%d stops, want 2 for the two remaining tasks", stops)
	}
	observeGangTask(m, j, id, 0, protocol.Exited, protocol.ReasonStopped)
	if missing, _ := m.team.MissingGangTasks(j); len(missing) != 0 {
		t.Fatal("a new attempt would start while a task of the old one may run")
	}
	observeGangTask(m, j, id, 2, protocol.Exited, protocol.ReasonPeers)
	if missing, fresh := m.team.MissingGangTasks(j); len(missing) != 3 || fresh != 0 {
		t.Fatalf("missing %v of attempt %d", missing, fresh)
	}
}

// TestGangCompletesTogether checks that all tasks of a gang are done once one of them is.
func TestGangCompletesTogether(t *testing.T) {
	m, j, locations := newModelWithGang(t)
	m.team.PlaceGang(j, 0, locations)
	observeGangTask(m, j, AttemptID(1, 1), 2, protocol.Exited, protocol.ReasonDone)
	if !j.Complete() {
		t.Fatal("one task is done but the gang is not complete")
	}
}

// TestStoppedGangGivesItsFetchesUp checks that a gang that waits for its image holds the places of its exited tasks, and
// that its other tasks are stopped at once and the places soon given up when the gang is to be stopped for another reason,
// such as a machine that the cloud takes back.
func TestStoppedGangGivesItsFetchesUp(t *testing.T) {
	m, j, locations := newModelWithGang(t)
	m.team.PlaceGang(j, 0, locations)
	id := AttemptID(1, 1)
	observeGangTask(m, j, id, 1, protocol.Pulling, "")
	observeGangTask(m, j, id, 2, protocol.Pulling, "")
	observeGangTask(m, j, id, 0, protocol.Exited, protocol.ReasonIncomplete)
	due := func() int { return len(m.team.TakeDueOrders(99, m.now, func(string, uint64) bool { return true })) }
	if stops, held := due(), j.HeldPlaces(m.now); stops != 0 || !slices.Equal(held, []string{"m0"}) {
		t.Fatalf("stops on %d machines, %v held; want none while the image is fetched, and m0 held", stops, held)
	}
	observeGangTask(m, j, id, 1, protocol.Exited, protocol.ReasonIncomplete)
	m.team.MachineReturned("m1")
	if held := j.HeldPlaces(m.now); !slices.Equal(held, []string{"m0"}) {
		t.Fatalf("%v held, want no place on a machine that no longer exists", held)
	}
	until := m.now.Add(placeHold)
	m.now = m.now.Add(time.Second)
	m.team.StopJob(j, 0)
	if stops, held := due(), j.HeldPlaces(until); stops != 1 || len(held) != 0 {
		t.Fatalf("stops on %d machines, want 1; %v held", stops, held)
	}
}
