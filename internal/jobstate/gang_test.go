package jobstate

import (
	"fmt"
	"testing"

	"topazhollow/internal/protocol"
)

func newModelWithGang(t *testing.T) (*model, *Job, map[int]Location) {
	m := newModel(t, 3)
	s := &protocol.Submission{UID: "job-9", Team: "team", Kind: protocol.Gang, Priority: "standard", Tasks: 3, CPUs: 2, CheckpointSeconds: 2, CheckpointEverySeconds: 5}
	m.specs[s.UID], m.active[s.UID] = s, true
	m.team.AddJob(s, 1, m.now, nil)
	spots := map[int]Location{}
	for i := range s.Tasks {
		spots[i] = Location{fmt.Sprintf("m%d", i), "z", 1}
	}
	return m, m.team.Job(s.UID), spots
}

func observeGangTask(m *model, j *Job, id uint64, index int, state protocol.TaskState, why protocol.ExitReason) {
	v := &MachineStatus{Machine: fmt.Sprintf("m%d", index), Zone: "z", Incarnation: 1, FencingToken: 1}
	v.Tasks = []TaskStatus{{TaskID: TaskID{j.Spec.UID, index}, Attempt: id, State: state, Reason: why}}
	m.team.Observe(v, m.now, m)
}

// TestGangAllOrNone: a gang that does not fit the quota takes nothing of it.
func TestGangAllOrNone(t *testing.T) {
	m, j, spots := newModelWithGang(t)
	m.team.quota.limits.Max.CPUs = 5
	if m.team.PlaceGang(j, 0, spots) || len(m.team.Replica().Assignments) != 0 {
		t.Fatal("half a gang was placed")
	}
}

// TestGangTaskIsReplacedBeforeStart: a task refused while the others wait is replaced
// under the same attempt.
func TestGangTaskIsReplacedBeforeStart(t *testing.T) {
	m, j, spots := newModelWithGang(t)
	if !m.team.PlaceGang(j, 0, spots) {
		t.Fatal("not placed")
	}
	id := AttemptID(1, 1)
	observeGangTask(m, j, id, 0, protocol.Waiting, "")
	observeGangTask(m, j, id, 1, protocol.Exited, protocol.ReasonFull)
	if missing, same := m.team.MissingGangTasks(j); len(missing) != 1 || missing[0] != 1 || same != id {
		t.Fatalf("missing %v of attempt %d", missing, same)
	}
}

// TestGangRestartsAsAWhole: a gang that lost a running task stops as a whole, with
// the grace to save, and begins a new attempt only when every task is off: an old
// task may still be on its machine.
func TestGangRestartsAsAWhole(t *testing.T) {
	m, j, spots := newModelWithGang(t)
	m.team.PlaceGang(j, 0, spots)
	id := AttemptID(1, 1)
	for i := range 3 {
		observeGangTask(m, j, id, i, protocol.Running, "")
	}
	observeGangTask(m, j, id, 1, protocol.Exited, protocol.ReasonError)
	if missing, _ := m.team.MissingGangTasks(j); len(missing) != 0 {
		t.Fatalf("would start %v beside a running gang", missing)
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
		t.Fatalf("%d stops for two tasks left", stops)
	}
	observeGangTask(m, j, id, 0, protocol.Exited, protocol.ReasonStopped)
	if missing, _ := m.team.MissingGangTasks(j); len(missing) != 0 {
		t.Fatal("a new attempt while one old task is not off")
	}
	observeGangTask(m, j, id, 2, protocol.Exited, protocol.ReasonPeers)
	if missing, fresh := m.team.MissingGangTasks(j); len(missing) != 3 || fresh != 0 {
		t.Fatalf("missing %v of attempt %d", missing, fresh)
	}
}

// TestGangCompletesTogether: if one task of a gang is done, all are.
func TestGangCompletesTogether(t *testing.T) {
	m, j, spots := newModelWithGang(t)
	m.team.PlaceGang(j, 0, spots)
	observeGangTask(m, j, AttemptID(1, 1), 2, protocol.Exited, protocol.ReasonDone)
	if !j.Complete() {
		t.Fatal("one task done, the gang not")
	}
}
