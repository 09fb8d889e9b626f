package jobstate

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

// checkAccount compares what the team keeps up to date as things change with a plain
// count of all that it holds: an attempt that is forgotten there would never get
// its order.
func (m *model) checkAccount() (violation string) {
	on, jobs := map[string]int{}, map[string]int{}
	cpus := 0.0
	for k, a := range m.team.assignments.byTask {
		on[a.Machine]++
		jobs[k.Job]++
		cpus += a.CPUs
		if j := m.team.jobs.byUID[k.Job]; (j == nil || a.stopping || a.state == "") && !m.team.assignments.openOrders[a] {
			return fmt.Sprintf("attempt %v needs an order and is not looked at", a.Ref())
		} else if j != nil && j.attempts[k.Index] != a {
			return fmt.Sprintf("attempt %v is missing at its job", a.Ref())
		}
	}
	for a := range m.team.assignments.openOrders {
		if m.team.assignments.byTask[a.TaskID] != a {
			return fmt.Sprintf("attempt %v is off and still looked at", a.Ref())
		}
	}
	for uid, j := range m.team.jobs.byUID {
		if len(j.attempts) != jobs[uid] {
			return fmt.Sprintf("%s holds %d, plainly %d", uid, len(j.attempts), jobs[uid])
		}
	}
	for machine, list := range m.team.assignments.byMachine {
		if len(list) != on[machine] {
			return fmt.Sprintf("%s holds %d, plainly %d", machine, len(list), on[machine])
		}
	}
	if len(m.team.jobs.ordered) != len(m.team.jobs.byUID) || !slices.IsSortedFunc(m.team.jobs.ordered, Urgency) || cpus != m.team.quota.used.CPUs {
		return "jobs out of order, or quota miscounted"
	}
	return ""
}

// TestOwnerModel runs an owner's account against plain agents with messages in any order, leases that run out,
// machines that hang or die, jobs that are cancelled, old heartbeats, and failovers to an in-sync replica or without
// memory, when nobody knows the jobs that are over. At every start no task may be on two machines and the quota must
// hold; what the account calls done must be done.
func TestOwnerModel(t *testing.T) {
	starts := 0
	reached := map[string]bool{}
	for seed := range uint64(1500) {
		m := newModel(t, seed)
		m.reached = reached
		for range 400 {
			broken := m.step()
			if broken == "" {
				broken = m.checkAccount()
			}
			if broken != "" {
				t.Fatalf("seed %d: %s", seed, broken)
			}
		}
		for uid, b := range m.team.Replica().Done {
			for i, ok := b.NextSet(0); ok; i, ok = b.NextSet(i + 1) {
				if !m.done[TaskID{uid, int(i)}] {
					t.Fatalf("seed %d: %s/%d called done", seed, uid, i)
				}
				starts++
			}
		}
	}
	if starts == 0 {
		t.Fatal("the model ran nothing")
	}
	for _, what := range []string{"a message waits at a machine that hangs", "quota is reserved for orphaned tasks", "a barrier is passed",
		"a failover without memory", "an old heartbeat replaces a newer one"} {
		if !reached[what] {
			t.Errorf("never happened: %s", what)
		}
	}
}

// TestOwnerModelDetectsReleaseWithoutProof shows that the model fails an owner that takes a silent
// machine's tasks for gone: the rule that only proof releases an assignment matters.
func TestOwnerModelDetectsReleaseWithoutProof(t *testing.T) {
	for seed := range uint64(400) {
		m := newModel(t, seed)
		m.releasesWithoutProof = true
		for range 400 {
			if m.step() != "" {
				return
			}
		}
	}
	t.Fatal("a careless owner was not caught")
}

// TestReplicaIgnoresOldAndRefusesGaps: older deltas change nothing, a gap needs a
// full copy.
func TestReplicaIgnoresOldAndRefusesGaps(t *testing.T) {
	r := NewReplica()
	hold := Assignment{TaskID: TaskID{"job-1", 0}, Attempt: 1, Machine: "m"}
	if err := r.Apply(Delta{Seq: 1, Placed: []Assignment{hold}}); err != nil {
		t.Fatal(err)
	}
	if err := r.Apply(Delta{Seq: 1, Released: []TaskID{hold.TaskID}}); err != nil || len(r.Assignments) != 1 {
		t.Fatal("an older delta was applied")
	}
	if err := r.Apply(Delta{Seq: 3}); err == nil {
		t.Fatal("a gap went unnoticed")
	}
}

// TestForgetWaitsForSavedBitmap: an agent keeps a result until the state service
// knows it; before, a crash of all controllers would run the task again.
func TestForgetWaitsForSavedBitmap(t *testing.T) {
	m := newModel(t, 1)
	spec := m.specs["job-0"]
	j := m.team.Job(spec.UID)
	if !m.team.Place(j, 0, Location{"m0", "z", 1}) {
		t.Fatal("not placed")
	}
	v := &MachineStatus{Machine: "m0", Incarnation: 1, Seq: 1, FencingToken: 1, Tasks: []TaskStatus{{TaskID: TaskID{spec.UID, 0}, Attempt: AttemptID(1, 1), State: protocol.Exited, Reason: protocol.ReasonDone}}}
	if orders := m.team.Observe(v, m.now, m); len(orders) != 0 {
		t.Fatalf("ordered %v before the bitmap was written", orders)
	}
	m.team.Job(spec.UID).RecordSaved(bitset.New(1).Set(0))
	if orders := m.team.Observe(v, m.now, m); len(orders) != 1 || orders[0].Op != protocol.Forget {
		t.Fatalf("ordered %v after the bitmap was written", orders)
	}
}

// TestAttemptsStayBelow2to53 guards the numbers that travel as JSON.
func TestAttemptsStayBelow2to53(t *testing.T) {
	if a := AttemptID(1<<29-1, 1<<24-1); a >= 1<<53 || TermOf(a) != 1<<29-1 {
		t.Fatal(a)
	}
	if AttemptID(2, 1) <= AttemptID(1, 1<<24-1) {
		t.Fatal("a later term made an earlier number")
	}
}

// TestQuotaBacklogIsUrgent: a demand says how long the whole quota takes for what
// waits beyond it. Without that a team at a few tasks of its quota seemed to be in
// no hurry, and its quota stood empty while a long line waited behind it.
func TestQuotaBacklogIsUrgent(t *testing.T) {
	team := NewTeam("t", Limits{Max: Resources{CPUs: 8}}, NewReplica(), 1, func(string, ...any) {})
	team.quota.limits.Max.GPUs = math.Inf(1)
	spec := &protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "standard", Tasks: 20, CPUs: 2, EstimateSeconds: 30}
	team.AddJob(spec, 1, time.Unix(1000, 0), nil)
	list := team.Quota().Demands(time.Unix(1000, 0))
	// 4 tasks fit the quota; the other 16 take it four times over, 30 s each.
	if len(list) != 2 || list[0].Count != 4 || list[0].QuotaDelay != 2*time.Minute || list[1].Count != 0 || list[1].CPUsBeyondQuota != 32 {
		t.Fatalf("demands %+v, want 4 tasks with 2 minutes behind them, and 32 CPUs beyond the quota", list)
	}
	// A class that is kept room for is asked for within the quota, whatever is more urgent.
	urgent := &protocol.Submission{UID: "job-000002", Class: "urgent", Kind: protocol.JobArray, Priority: "high", Tasks: 20, CPUs: 2, EstimateSeconds: 30}
	team.AddJob(urgent, 1, time.Unix(1000, 0), nil)
	team.Quota().SetFloors(map[string]float64{"": 4})
	counts := map[string]int{}
	for _, d := range team.Quota().Demands(time.Unix(1000, 0)) {
		counts[d.Spec.UID] += d.Count
	}
	if counts[spec.UID] != 2 || counts[urgent.UID] != 2 {
		t.Fatalf("%v tasks asked for, want two of each", counts)
	}
	team.Quota().SetFloors(nil)
	team.EndJob(urgent.UID)
	team.quota.limits.Max.CPUs = math.Inf(1)
	if list = team.Quota().Demands(time.Unix(1000, 0)); list[0].Count != 20 || list[0].QuotaDelay != 0 {
		t.Fatalf("demands %+v without a limit, want all and nothing behind", list)
	}
}
