package shards

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

const testShard = "team/red"

// testTeam is a team without jobs, with a replica to begin with.
func testTeam(replica *jobstate.Replica) *jobstate.Team {
	tenCPUs := jobstate.Resources{CPUs: 10}
	return jobstate.NewTeam(testShard, jobstate.Limits{Guaranteed: tenCPUs, Max: tenCPUs}, replica, 5, func(string, ...any) {})
}

// testSpec is an array of so many tasks.
func testSpec(uid string, tasks int) *protocol.Submission {
	return &protocol.Submission{UID: uid, Team: "red", Kind: protocol.JobArray, Tasks: tasks, CPUs: 1}
}

// testLoading is an owned shard that is to be loaded.
func testLoading(needsBarrier bool, replica *jobstate.Replica, now time.Time) *Owned {
	return NewOwned(Options{
		Name:         testShard,
		SinceTerm:    5,
		NeedsBarrier: needsBarrier,
		Team:         testTeam(replica),
		PageBytes:    8 << 10,
		TakenAt:      now,
	})
}

// testOwned is an owned shard that is ready.
func testOwned(replica *jobstate.Replica, now time.Time) *Owned {
	o := testLoading(false, replica, now)
	o.EnterBarrier(nil)
	o.PassBarrier(now)
	return o
}

// testCluster has node-a own the shard, with replicas in sync at node-b and node-c.
func testCluster() *Cluster {
	record := (&leadership.Record{Term: 5, FirstTerm: 1, Epoch: 1}).Clone()
	record.Nodes = map[string]uint64{"node-a": 1, "node-b": 1, "node-c": 1}
	record.Shards[testShard] = leadership.Shard{Owner: "node-a", SinceTerm: 5, InSync: []string{"node-b", "node-c"}}
	return &Cluster{Self: "node-a", Record: record, Connected: map[string]bool{"node-b": true, "node-c": true}}
}

// clonedDone is a message's finished tasks as the other side decodes them.
func clonedDone(done jobstate.DoneTasks) jobstate.DoneTasks {
	cloned := jobstate.DoneTasks{}
	for job, set := range done {
		cloned[job] = set.Clone()
	}
	return cloned
}

// replicaModel is an owner and its replicas with ordered connections that may be lost.
type replicaModel struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	owner   *Owned
	cluster *Cluster
	held    map[string]*Held
	toNode  map[string][]any             // messages under way from the owner
	toOwner map[string][]Acknowledgement // and back
	parts   int                          // that went out
	broken  map[string]bool              // connections that take nothing any more, which the owner will find lost
	refused int                          // messages that did not go out
}

func newReplicaModel(t *testing.T, seed uint64) *replicaModel {
	m := &replicaModel{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 31)),
		now:     time.Unix(1000, 0),
		cluster: testCluster(),
		held:    map[string]*Held{},
		toNode:  map[string][]any{},
		toOwner: map[string][]Acknowledgement{},
		broken:  map[string]bool{},
	}
	replica := jobstate.NewReplica()
	if seed%4 == 0 { // too large for one message
		for i := range 20 {
			replica.Done[fmt.Sprint("large-", i)] = bitset.New(1e6).Set(1e6 - 1)
		}
	}
	m.owner = testOwned(replica, m.now)
	for node := range m.cluster.Connected {
		m.held[node] = NewHeld()
	}
	return m
}

// drawNode is one of the replicas' controllers.
func (m *replicaModel) drawNode() string { return []string{"node-b", "node-c"}[m.rng.IntN(2)] }

// replicate sends what the owner wants sent.
func (m *replicaModel) replicate() {
	for _, out := range m.owner.Replicas().Replicate(m.cluster, m.now) {
		for _, to := range out.To {
			if !m.cluster.Connected[to] {
				m.t.Fatal("a message goes out without a connection")
			}
			if m.broken[to] {
				m.refused++
				m.owner.Replicas().NotSent(to, out.Message)
				continue
			}
			m.toNode[to] = append(m.toNode[to], m.asDecoded(out))
		}
	}
}

// asDecoded is a message that shares nothing with the owner.
func (m *replicaModel) asDecoded(out Outgoing) any {
	switch body := out.Message.(type) {
	case Copy:
		body.Copy.Done = clonedDone(body.Copy.Done)
		return &body
	case CopyPart:
		m.parts++
		body.Part.Done = clonedDone(body.Part.Done)
		return &body
	case Deltas:
		return &body
	}
	m.t.Fatalf("unknown message %T", out.Message)
	return nil
}

// deliver has a replica take the next message.
func (m *replicaModel) deliver(node string) {
	if len(m.toNode[node]) == 0 {
		return
	}
	message := m.toNode[node][0]
	m.toNode[node] = m.toNode[node][1:]
	held := m.held[node]
	var answer Acknowledgement
	due := true
	switch x := message.(type) {
	case *Copy:
		answer = held.ReceiveCopy(x)
	case *CopyPart:
		answer = held.ReceivePart(x)
	case *Deltas:
		answer, due = held.ReceiveDeltas(x)
	}
	if due {
		m.toOwner[node] = append(m.toOwner[node], answer)
	}
}

// acknowledge has the owner take the next acknowledgement.
func (m *replicaModel) acknowledge(node string) {
	if len(m.toOwner[node]) == 0 {
		return
	}
	answer := m.toOwner[node][0]
	m.toOwner[node] = m.toOwner[node][1:]
	m.owner.Replicas().HandleAcknowledgement(node, m.cluster.Record.Nodes[node], &answer, m.now)
}

// lose ends a connection with all that is under way on it.
func (m *replicaModel) lose(node string) {
	m.toNode[node], m.toOwner[node] = nil, nil
	m.owner.Replicas().Forget(node)
	m.cluster.Connected[node], m.broken[node] = false, false
}

// restart ends a replica's process; the next one holds nothing.
func (m *replicaModel) restart(node string) {
	m.lose(node)
	m.held[node] = NewHeld()
	m.cluster.Record.Nodes[node]++
}

// step draws one event.
func (m *replicaModel) step() {
	node := m.drawNode()
	m.now = m.now.Add(time.Duration(m.rng.IntN(60)) * time.Millisecond)
	switch m.rng.IntN(20) {
	case 0, 1, 2, 3:
		task := uint(m.rng.IntN(1000))
		m.owner.Team().MergeDone(fmt.Sprint("job-", m.rng.IntN(4)), bitset.New(task+1).Set(task))
	case 4, 5, 6, 7:
		m.replicate()
	case 8:
		if m.broken[node] || m.rng.IntN(8) == 0 {
			m.lose(node)
		} else {
			m.broken[node] = m.cluster.Connected[node] && m.rng.IntN(4) == 0
		}
	case 9:
		if m.rng.IntN(8) == 0 {
			m.restart(node)
		}
	case 10, 11:
		m.cluster.Connected[node] = true
	case 12, 13, 14, 15:
		m.acknowledge(node)
	default:
		m.deliver(node)
	}
}

// nextTask is the first task of job-1 that is not finished.
func (m *replicaModel) nextTask() uint {
	done := m.owner.Team().Replica().Done["job-1"]
	if done == nil {
		return 0
	}
	return done.Count()
}

// check compares what the owner takes for acknowledged with what the replicas have.
func (m *replicaModel) check() {
	acknowledged := m.owner.Replicas().AcknowledgedByAll(m.cluster)
	for node, held := range m.held {
		if acknowledged == 0 {
			return
		}
		if replica := held.Replica(testShard); replica == nil || replica.Seq < acknowledged {
			m.t.Fatalf("%s counts as having acknowledged %d, and has less", node, acknowledged)
		}
	}
}

// settle has everything delivered until every replica is whole.
func (m *replicaModel) settle() {
	for node := range m.cluster.Connected {
		if m.broken[node] {
			m.lose(node)
		}
		m.cluster.Connected[node] = true
	}
	for range 200 {
		m.now = m.now.Add(2 * copyRetryInterval)
		m.replicate()
		for node := range m.held {
			for len(m.toNode[node])+len(m.toOwner[node]) > 0 {
				m.deliver(node)
				m.acknowledge(node)
			}
		}
		if len(m.owner.Status(m.cluster, m.now).InSync) == len(m.held) {
			return
		}
	}
	m.t.Fatal("the replicas never became whole")
}

// TestReplicationModel: whatever is lost between an owner and its replicas, nothing counts as acknowledged that a
// replica does not have, and once the connections hold all replicas become the owner's.
func TestReplicationModel(t *testing.T) {
	parts, refused := 0, 0
	for seed := range uint64(60) {
		m := newReplicaModel(t, seed)
		for range 400 {
			m.step()
			m.check()
		}
		m.settle()
		m.check()
		want := m.owner.Team().Replica()
		for node, held := range m.held {
			have := held.Replica(testShard)
			if have.Seq != want.Seq || !maps.Equal(have.Assignments, want.Assignments) || !sameDone(have.Done, want.Done) {
				t.Fatalf("seed %d: %s has another replica than the owner, at %d and %d", seed, node, have.Seq, want.Seq)
			}
		}
		parts += m.parts
		refused += m.refused
	}
	if parts < 100 || refused < 100 {
		t.Errorf("%d parts went out and %d messages did not: nothing was tried", parts, refused)
	}
}

// sameDone says whether the same tasks are finished.
func sameDone(a, b jobstate.DoneTasks) bool {
	return maps.EqualFunc(a, b, func(x, y *bitset.BitSet) bool { return x.SymmetricDifference(y).None() })
}

// TestDeltasGoBeforeParts: a part is made of the replica as it is now, so the changes since the part before go out
// before it; a replica that got them in another order would ask for copy after copy.
func TestDeltasGoBeforeParts(t *testing.T) {
	m := newReplicaModel(t, 0) // of a replica in parts
	for range 50 {
		m.owner.Team().MergeDone("job-1", bitset.New(m.nextTask()+1).Set(m.nextTask()))
		m.now = m.now.Add(2 * copyRetryInterval)
		m.replicate()
		for node, held := range m.held {
			for len(m.toNode[node]) > 0 {
				m.deliver(node)
			}
			for _, answer := range m.toOwner[node] {
				if answer.NeedsCopy {
					t.Fatalf("%s asks for a copy though nothing was lost", node)
				}
			}
			for len(m.toOwner[node]) > 0 {
				m.acknowledge(node)
			}
			if m.parts > 0 && held.Replica(testShard) != nil && len(m.owner.Status(m.cluster, m.now).InSync) == 2 {
				return
			}
		}
	}
	t.Fatal("the replicas never became whole")
}

// TestSyncStates: a replica that acknowledges nothing is late after its time, counted from the sending and from
// when the owner could receive anything; one that has everything is whole, and one under another process is
// neither at once.
func TestSyncStates(t *testing.T) {
	begin := time.Unix(1000, 0)
	o, c := testOwned(jobstate.NewReplica(), begin), testCluster()
	o.Team().MergeDone("job-1", bitset.New(1).Set(0))
	o.Replicas().Replicate(c, begin)
	whole := Acknowledgement{Shard: testShard, SinceTerm: 5, Seq: o.Team().Replica().Seq}
	o.Replicas().HandleAcknowledgement("node-b", 1, &whole, begin)
	inTime := o.Status(c, begin.Add(AcknowledgementTimeout))
	if s := inTime; !s.Ready || !s.InSync["node-b"] || s.InSync["node-c"] || len(s.Lagging) != 0 {
		t.Errorf("just in time: %+v", s)
	}
	late := begin.Add(AcknowledgementTimeout + time.Millisecond)
	if s := o.Status(c, late); !s.InSync["node-b"] || s.Lagging["node-b"] || !s.Lagging["node-c"] {
		t.Errorf("after the time to acknowledge: %+v", s)
	}
	o.Resume(late)
	if s := o.Status(c, late); len(s.Lagging) != 0 {
		t.Errorf("late though the owner could receive nothing: %+v", s)
	}
	o.Replicas().HandleAcknowledgement("node-c", 1, &whole, late)
	if got, want := o.Replicas().AcknowledgedByAll(c), o.Team().Replica().Seq; got != want {
		t.Errorf("acknowledged up to %d, want %d", got, want)
	}
	c.Record.Nodes["node-b"]++
	if s := o.Status(c, late); s.InSync["node-b"] {
		t.Error("an earlier process's acknowledgement makes a replica whole")
	}
	if o.Replicas().AcknowledgedByAll(c) != 0 {
		t.Error("an earlier process's acknowledgement counts for a start")
	}
	o.BeginHandOver()
	if o.Status(c, late).Ready {
		t.Error("a shard that is being handed over counts as ready")
	}
}

// TestStartsNeedReplicasBeingAdded: a replica that a pending change of the record puts in sync must have
// acknowledged what starts, as the change may be in force already.
func TestStartsNeedReplicasBeingAdded(t *testing.T) {
	now := time.Unix(1000, 0)
	o, c := testOwned(jobstate.NewReplica(), now), testCluster()
	entry := c.Record.Shards[testShard]
	entry.InSync = []string{"node-b"}
	c.Record.Shards[testShard] = entry
	o.Team().MergeDone("job-1", bitset.New(1).Set(0))
	o.Replicas().Replicate(c, now)
	seq := o.Team().Replica().Seq
	o.Replicas().HandleAcknowledgement("node-b", 1, &Acknowledgement{Shard: testShard, SinceTerm: 5, Seq: seq}, now)
	if got := o.Replicas().AcknowledgedByAll(c); got != seq {
		t.Fatalf("acknowledged up to %d, want %d", got, seq)
	}
	o.Replicas().SetPendingReplicas([]string{"node-b", "node-c"})
	if got := o.Replicas().AcknowledgedByAll(c); got != 0 {
		t.Errorf("acknowledged up to %d without the replica that is being added", got)
	}
	o.RecordChangeSettled()
	if got := o.Replicas().AcknowledgedByAll(c); got != seq {
		t.Errorf("acknowledged up to %d after the change was settled, want %d", got, seq)
	}
}

// TestCopiesAreNotAskedForTooOften: a replica that asks for copies again and again gets one in copyRetryInterval.
func TestCopiesAreNotAskedForTooOften(t *testing.T) {
	now := time.Unix(1000, 0)
	o, c := testOwned(jobstate.NewReplica(), now), testCluster()
	copies := func() (n int) {
		for _, m := range o.Replicas().Replicate(c, now) {
			if m.Message.Kind() == KindCopy && m.To[0] == "node-b" {
				n++
			}
		}
		return n
	}
	request := CopyRequest(testShard, 5)
	if copies() != 1 || copies() != 0 {
		t.Fatal("not one copy at first")
	}
	for i, want := range []int{1, 0, 0, 1} {
		if taken := o.Replicas().HandleAcknowledgement("node-b", 1, &request, now); taken != (want == 1) {
			t.Errorf("request %d taken: %v", i, taken)
		}
		if got := copies(); got != want {
			t.Errorf("request %d: %d copies, want %d", i, got, want)
		}
		now = now.Add(copyRetryInterval/2 - time.Millisecond*time.Duration(1-i%2))
	}
	o.Replicas().Forget("node-b")
	if copies() != 1 {
		t.Error("no copy on a new connection")
	}
	o.Replicas().NotSent("node-b", Copy{})
	if copies() != 1 || copies() != 0 {
		t.Error("a copy that did not go out is not sent again, or one that did is")
	}
	earlier := CopyRequest(testShard, 4)
	if o.Replicas().HandleAcknowledgement("node-b", 1, &earlier, now.Add(time.Minute)) {
		t.Error("a request for an earlier ownership is taken")
	}
}
