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

// testTeam returns a team without jobs that starts from a replica.
func testTeam(replica *jobstate.Replica) *jobstate.Team {
	tenCPUs := jobstate.Resources{CPUs: 10}
	return jobstate.NewTeam(testShard, jobstate.Limits{Guaranteed: tenCPUs, Max: tenCPUs}, replica, 5, func(string, ...any) {})
}

// testSpec returns the submission of an array with the given number of tasks.
func testSpec(uid string, tasks int) *protocol.Submission {
	return &protocol.Submission{UID: uid, Team: "red", Kind: protocol.JobArray, Tasks: tasks, CPUs: 1}
}

// testLoading returns an owned shard in the Loading phase.
func testLoading(needsBarrier bool, replica *jobstate.Replica, now time.Time) *Owned {
	return NewOwned(Options{
		Name:         testShard,
		SinceTerm:    5,
		NeedsBarrier: needsBarrier,
		Team:         testTeam(replica),
		PageSizes:    jobstate.PageSizes{Present: 8 << 10, Lowest: 8 << 10},
		TakenAt:      now,
	})
}

// testOwned returns an owned shard that is ready.
func testOwned(replica *jobstate.Replica, now time.Time) *Owned {
	o := testLoading(false, replica, now)
	o.EnterBarrier(nil)
	o.PassBarrier(now)
	return o
}

// testCluster returns a cluster in which node-a owns the shard, with in-sync replicas at node-b and node-c.
func testCluster() *Cluster {
	record := (&leadership.Record{Term: 5, FirstTerm: 1, Epoch: 1}).Clone()
	record.Nodes = map[string]uint64{"node-a": 1, "node-b": 1, "node-c": 1}
	record.Shards[testShard] = leadership.Shard{Owner: "node-a", SinceTerm: 5, InSync: []string{"node-b", "node-c"}}
	return &Cluster{Self: "node-a", Record: record, Connected: map[string]bool{"node-b": true, "node-c": true}}
}

// clonedDone returns a copy of a message's finished tasks, as the receiver decodes them.
func clonedDone(done jobstate.DoneTasks) jobstate.DoneTasks {
	cloned := jobstate.DoneTasks{}
	for job, set := range done {
		cloned[job] = set.Clone()
	}
	return cloned
}

// replicaModel simulates an owner and its replicas over ordered connections that may be lost.
type replicaModel struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	owner   *Owned
	cluster *Cluster
	held    map[string]*Held
	toNode  map[string][]any             // messages in flight from the owner
	toOwner map[string][]Acknowledgement // acknowledgements in flight to the owner
	parts   int                          // number of parts sent
	broken  map[string]bool              // connections that reject messages and will be found lost by the owner
	refused int                          // messages that were not sent
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

// randomNode returns a random replica's controller.
func (m *replicaModel) randomNode() string { return []string{"node-b", "node-c"}[m.rng.IntN(2)] }

// replicate sends the owner's pending messages.
func (m *replicaModel) replicate() {
	for _, out := range m.owner.Replicas().Replicate(m.cluster, m.now) {
		for _, to := range out.To {
			if !m.cluster.Connected[to] {
				m.t.Fatal("a message is sent without a connection")
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

// asDecoded returns a copy of a message that shares no state with the owner.
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

// deliver makes a replica process the next message.
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

// acknowledge makes the owner process the next acknowledgement.
func (m *replicaModel) acknowledge(node string) {
	if len(m.toOwner[node]) == 0 {
		return
	}
	answer := m.toOwner[node][0]
	m.toOwner[node] = m.toOwner[node][1:]
	m.owner.Replicas().HandleAcknowledgement(node, m.cluster.Record.Nodes[node], &answer, m.now)
}

// disconnect closes a connection and drops everything in flight on it.
func (m *replicaModel) disconnect(node string) {
	m.toNode[node], m.toOwner[node] = nil, nil
	m.owner.Replicas().Forget(node)
	m.cluster.Connected[node], m.broken[node] = false, false
}

// restart replaces a replica's process by one that holds nothing.
func (m *replicaModel) restart(node string) {
	m.disconnect(node)
	m.held[node] = NewHeld()
	m.cluster.Record.Nodes[node]++
}

// step performs one random event.
func (m *replicaModel) step() {
	node := m.randomNode()
	m.now = m.now.Add(time.Duration(m.rng.IntN(60)) * time.Millisecond)
	switch m.rng.IntN(20) {
	case 0, 1, 2, 3:
		task := uint(m.rng.IntN(1000))
		m.owner.Team().MergeDone(fmt.Sprint("job-", m.rng.IntN(4)), bitset.New(task+1).Set(task))
	case 4, 5, 6, 7:
		m.replicate()
	case 8:
		if m.broken[node] || m.rng.IntN(8) == 0 {
			m.disconnect(node)
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

// nextTask returns the first unfinished task of job-1.
func (m *replicaModel) nextTask() uint {
	done := m.owner.Team().Replica().Done["job-1"]
	if done == nil {
		return 0
	}
	return done.Count()
}

// check verifies that each replica has everything that the owner counts as acknowledged.
func (m *replicaModel) check() {
	acknowledged := m.owner.Replicas().AcknowledgedByAll(m.cluster)
	for node, held := range m.held {
		if acknowledged == 0 {
			return
		}
		if replica := held.Replica(testShard); replica == nil || replica.Seq < acknowledged {
			m.t.Fatalf("%s counts as having acknowledged %d but has less", node, acknowledged)
		}
	}
}

// settle delivers all messages until every replica is up to date.
func (m *replicaModel) settle() {
	for node := range m.cluster.Connected {
		if m.broken[node] {
			m.disconnect(node)
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
	m.t.Fatal("the replicas never caught up with the owner")
}

// TestReplicationModel guards that, whatever is lost between an owner and its replicas, nothing that a replica lacks
// counts as acknowledged, and that all replicas match the owner once the connections are stable.
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
				t.Fatalf("seed %d: the replica of %s differs from the owner's, at sequence numbers %d and %d", seed, node, have.Seq, want.Seq)
			}
		}
		parts += m.parts
		refused += m.refused
	}
	if parts < 100 || refused < 100 {
		t.Errorf("only %d parts sent and %d messages refused: the cases are not covered", parts, refused)
	}
}

// sameDone reports whether two sets contain the same finished tasks.
func sameDone(a, b jobstate.DoneTasks) bool {
	return maps.EqualFunc(a, b, func(x, y *bitset.BitSet) bool { return x.SymmetricDifference(y).None() })
}

// TestDeltasSentBeforeParts guards that the changes since the previous part are sent before the next part, which is
// made from the current state of the replica. In any other order a replica would request copy after copy.
func TestDeltasSentBeforeParts(t *testing.T) {
	m := newReplicaModel(t, 0) // seed 0 has a replica that is sent in parts
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
					t.Fatalf("%s requests a copy though nothing was lost", node)
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
	t.Fatal("the replicas never caught up with the owner")
}

// TestReplicaStatus checks that a replica that acknowledges nothing lags after the timeout, counted from the sending
// and from when the owner was able to receive; that a replica with everything is in sync; and that the acknowledgement
// of an earlier process counts for neither.
func TestReplicaStatus(t *testing.T) {
	begin := time.Unix(1000, 0)
	o, c := testOwned(jobstate.NewReplica(), begin), testCluster()
	o.Team().MergeDone("job-1", bitset.New(1).Set(0))
	o.Replicas().Replicate(c, begin)
	whole := Acknowledgement{Shard: testShard, SinceTerm: 5, Seq: o.Team().Replica().Seq}
	o.Replicas().HandleAcknowledgement("node-b", 1, &whole, begin)
	inTime := o.Status(c, begin.Add(AcknowledgementTimeout))
	if s := inTime; !s.Ready || !s.InSync["node-b"] || s.InSync["node-c"] || len(s.Lagging) != 0 {
		t.Errorf("at the timeout: %+v", s)
	}
	late := begin.Add(AcknowledgementTimeout + time.Millisecond)
	if s := o.Status(c, late); !s.InSync["node-b"] || s.Lagging["node-b"] || !s.Lagging["node-c"] {
		t.Errorf("after the timeout: %+v", s)
	}
	o.Resume(late)
	if s := o.Status(c, late); len(s.Lagging) != 0 {
		t.Errorf("lagging though the owner could not receive: %+v", s)
	}
	o.Replicas().HandleAcknowledgement("node-c", 1, &whole, late)
	if got, want := o.Replicas().AcknowledgedByAll(c), o.Team().Replica().Seq; got != want {
		t.Errorf("acknowledged up to %d, want %d", got, want)
	}
	c.Record.Nodes["node-b"]++
	if s := o.Status(c, late); s.InSync["node-b"] {
		t.Error("an earlier process's acknowledgement puts a replica in sync")
	}
	if o.Replicas().AcknowledgedByAll(c) != 0 {
		t.Error("an earlier process's acknowledgement counts for a start")
	}
	o.BeginHandOver()
	if o.Status(c, late).Ready {
		t.Error("a shard that is being handed over counts as ready")
	}
}

// TestStartsNeedPendingReplicas guards that a replica that a pending change of the record puts in sync must have
// acknowledged a start, because the change may already be in force.
func TestStartsNeedPendingReplicas(t *testing.T) {
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
		t.Errorf("acknowledged up to %d without the pending replica", got)
	}
	o.RecordChangeSettled()
	if got := o.Replicas().AcknowledgedByAll(c); got != seq {
		t.Errorf("acknowledged up to %d after the change was settled, want %d", got, seq)
	}
}

// TestCopyRequestsAreRateLimited guards that a replica that keeps requesting copies is sent at most one per
// copyRetryInterval.
func TestCopyRequestsAreRateLimited(t *testing.T) {
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
		t.Fatal("not exactly one initial copy")
	}
	for i, want := range []int{1, 0, 0, 1} {
		if taken := o.Replicas().HandleAcknowledgement("node-b", 1, &request, now); taken != (want == 1) {
			t.Errorf("request %d accepted: %v", i, taken)
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
		t.Error("a copy that was not sent is not repeated, or one that was sent is")
	}
	earlier := CopyRequest(testShard, 4)
	if o.Replicas().HandleAcknowledgement("node-b", 1, &earlier, now.Add(time.Minute)) {
		t.Error("a request from an earlier term of ownership is accepted")
	}
}
