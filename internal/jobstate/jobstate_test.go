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

// checkDerivedState compares the indexes and sums that the team updates incrementally with a full count over all
// attempts.
// An attempt that is missing from openOrders, for example, would never be started or stopped.
func (m *model) checkDerivedState() (violation string) {
	on, jobs := map[string]int{}, map[string]int{}
	cpus := 0.0
	for k, a := range m.team.assignments.byTask {
		on[a.Machine]++
		jobs[k.Job]++
		cpus += a.CPUs
		if j := m.team.jobs.byUID[k.Job]; (j == nil || a.stopping || a.state == "") && !m.team.assignments.openOrders[a] {
			return fmt.Sprintf("attempt %v needs an order and is not in openOrders", a.Ref())
		} else if j != nil && j.attempts[k.Index] != a {
			return fmt.Sprintf("attempt %v is not among the attempts of its job", a.Ref())
		}
	}
	for a := range m.team.assignments.openOrders {
		if m.team.assignments.byTask[a.TaskID] != a {
			return fmt.Sprintf("attempt %v is released and still in openOrders", a.Ref())
		}
	}
	for uid, j := range m.team.jobs.byUID {
		if len(j.attempts) != jobs[uid] {
			return fmt.Sprintf("job %s has %d attempts, want %d", uid, len(j.attempts), jobs[uid])
		}
	}
	for machine, list := range m.team.assignments.byMachine {
		if len(list) != on[machine] {
			return fmt.Sprintf("machine %s has %d attempts, want %d", machine, len(list), on[machine])
		}
	}
	if len(m.team.jobs.ordered) != len(m.team.jobs.byUID) || !slices.IsSortedFunc(m.team.jobs.ordered, Urgency) || cpus != m.team.quota.used.CPUs {
		return "jobs not in order, or wrong quota use"
	}
	return ""
}

// TestOwnerModel runs a team's state at its owner against modelled agents. Messages are reordered and delayed, leases
// expire, machines hang or die, jobs are cancelled, old heartbeats arrive again, the term is raised, and the owner
// crashes. Its successor starts from an in-sync replica, or without one and without knowing the jobs that have ended. At
// every start the task must run on no other machine and the quota must not be exceeded, and only tasks that completed
// may be recorded as done.
func TestOwnerModel(t *testing.T) {
	doneTasks := 0
	reached := map[string]bool{}
	for seed := range uint64(4000) {
		m := newModel(t, seed)
		m.reached, m.tasksRunLong = reached, seed%4 > 0
		for range 400 {
			violation := m.step()
			if violation == "" {
				violation = m.checkDerivedState()
			}
			if violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
		}
		for uid, b := range m.team.Replica().Done {
			for i, ok := b.NextSet(0); ok; i, ok = b.NextSet(i + 1) {
				if !m.done[TaskID{uid, int(i)}] {
					t.Fatalf("seed %d: %s/%d is recorded as done but is not", seed, uid, i)
				}
				doneTasks++
			}
		}
	}
	if doneTasks == 0 {
		t.Fatal("no task was done in any run")
	}
	for _, what := range []string{"a message waits for a hung machine", "quota is reserved for orphaned tasks", "a barrier is passed",
		"a failover without a replica", "an attempt is forgotten", "an old heartbeat arrives under a later term than a newer one", "the term is raised during a barrier"} {
		if !reached[what] {
			t.Errorf("not covered by any run: %s", what)
		}
	}
}

// TestOwnerModelDetectsReleaseWithoutProof checks that the model detects an owner that releases the assignments of a
// silent machine without proof that the tasks are off it.
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
	t.Fatal("an owner that releases without proof was not detected")
}

// TestReplicaIgnoresOldAndRefusesGaps checks that a delta that is already applied is ignored, and that a missing one is
// an error.
func TestReplicaIgnoresOldAndRefusesGaps(t *testing.T) {
	r := NewReplica()
	assignment := Assignment{TaskID: TaskID{"job-1", 0}, Attempt: 1, Machine: "m"}
	if err := r.Apply(Delta{Seq: 1, Placed: []Assignment{assignment}}); err != nil {
		t.Fatal(err)
	}
	if err := r.Apply(Delta{Seq: 1, Released: []TaskID{assignment.TaskID}}); err != nil || len(r.Assignments) != 1 {
		t.Fatal("an older delta was applied")
	}
	if err := r.Apply(Delta{Seq: 3}); err == nil {
		t.Fatal("a missing delta was not detected")
	}
}

// TestForgetWaitsForSavedBitmap checks that an agent is ordered to forget a success only once it is saved in the state
// service. Otherwise a crash of all controllers in between would make the task run again.
func TestForgetWaitsForSavedBitmap(t *testing.T) {
	m := newModel(t, 1)
	spec := m.specs["job-0"]
	j := m.team.Job(spec.UID)
	if !m.team.Place(j, 0, Location{"m0", "z", 1}) {
		t.Fatal("not placed")
	}
	v := &MachineStatus{Machine: "m0", Incarnation: 1, Seq: 1, FencingToken: 1, Tasks: []TaskStatus{{TaskID: TaskID{spec.UID, 0}, Attempt: AttemptID(1, 1), State: protocol.Exited, Reason: protocol.ReasonDone}}}
	if orders := m.team.Observe(v, m.now, m); len(orders) != 0 {
		t.Fatalf("ordered %v before the bitmap was saved", orders)
	}
	m.team.Job(spec.UID).RecordSaved(bitset.New(1).Set(0))
	if orders := m.team.Observe(v, m.now, m); len(orders) != 0 {
		t.Fatalf("ordered %v while a copy of the start may arrive", orders)
	}
	m.team.SetTerm(2)
	if orders := m.team.Observe(v, m.now, m); len(orders) != 1 || orders[0].Op != protocol.Forget {
		t.Fatalf("ordered %v after the bitmap was saved", orders)
	}
}

// TestUnsentAttemptsAreReleasedInTheNextTerm checks that a raised term releases the attempts whose starts were not sent, and
// keeps those that were sent and those of an earlier owner.
func TestUnsentAttemptsAreReleasedInTheNextTerm(t *testing.T) {
	m := newModel(t, 1)
	job := m.team.Job("job-0")
	m.team.Place(job, 0, Location{"m0", "z", 1})
	m.replicate()
	m.term++
	m.failOver(false)
	job = m.team.Job("job-0")
	m.team.Place(job, 1, Location{"m1", "z", 1})
	m.replicate()
	m.team.TakeDueOrders(m.replica.Seq, m.now, func(string, uint64) bool { return true })
	m.team.Place(job, 2, Location{"m2", "z", 1})
	m.team.SetTerm(3)
	for index, want := range []bool{true, true, false} {
		if assigned := m.team.assignments.byTask[TaskID{"job-0", index}] != nil; assigned != want {
			t.Errorf("task %d: assigned %v, want %v", index, assigned, want)
		}
	}
}

// TestNewlyExited checks which exits a status lists first, also if the order of the list changes.
func TestNewlyExited(t *testing.T) {
	list := func(tasks ...TaskStatus) *MachineStatus { return &MachineStatus{Tasks: tasks} }
	task := func(index int, state protocol.TaskState) TaskStatus {
		return TaskStatus{TaskID: TaskID{"job-0", index}, Attempt: uint64(index), State: state}
	}
	before := list(task(0, protocol.Exited), task(1, protocol.Running), task(2, protocol.Exited))
	now := list(task(2, protocol.Exited), task(3, protocol.Exited), task(1, protocol.Exited), task(0, protocol.Exited), task(4, protocol.Running))
	for _, c := range []struct {
		earlier *MachineStatus
		want    []int
	}{{before, []int{3, 1}}, {nil, []int{2, 3, 1, 0}}, {now, nil}, {list(), []int{2, 3, 1, 0}}} {
		var got []int
		for x := range now.NewlyExited(c.earlier) {
			got = append(got, x.Index)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("after %v: %v, want %v", c.earlier, got, c.want)
		}
	}
}

// TestAttemptsStayBelow2to53 checks that JSON numbers represent all attempt numbers exactly, and that the numbers of a
// later term are higher.
func TestAttemptsStayBelow2to53(t *testing.T) {
	if a := AttemptID(1<<29-1, 1<<24-1); a >= 1<<53 || TermOf(a) != 1<<29-1 {
		t.Fatal(a)
	}
	if AttemptID(2, 1) <= AttemptID(1, 1<<24-1) {
		t.Fatal("the number of a later term is not higher")
	}
}

// TestDemandsHaveQuotaDelay checks the QuotaDelay of demands. Without it a team that demanded only the few tasks that
// fit its quota did not seem urgent, and its quota was left unused while many more tasks waited.
func TestDemandsHaveQuotaDelay(t *testing.T) {
	team := NewTeam("t", Limits{Max: Resources{CPUs: 8}}, NewReplica(), 1, func(string, ...any) {})
	team.quota.limits.Max.GPUs = math.Inf(1)
	spec := &protocol.Submission{UID: "job-000001", Kind: protocol.JobArray, Priority: "standard", Tasks: 20, CPUs: 2, EstimateSeconds: 30}
	team.AddJob(spec, 1, time.Unix(1000, 0), nil)
	list := team.Quota().Demands(time.Unix(1000, 0))
	// 4 tasks fit the quota; the other 16 use the whole quota four times in sequence, 30 s each.
	if len(list) != 2 || list[0].Count != 4 || list[0].QuotaDelay != 2*time.Minute || list[1].Count != 0 || list[1].CPUsBeyondQuota != 32 {
		t.Fatalf("demands %+v, want 4 tasks with a quota delay of 2 minutes, and 32 CPUs beyond the quota", list)
	}
	// Tasks of a class below its floor are demanded even if another class is more urgent.
	urgent := &protocol.Submission{UID: "job-000002", Class: "urgent", Kind: protocol.JobArray, Priority: "high", Tasks: 20, CPUs: 2, EstimateSeconds: 30}
	team.AddJob(urgent, 1, time.Unix(1000, 0), nil)
	team.Quota().SetFloors(map[string]float64{"": 4})
	counts := map[string]int{}
	for _, d := range team.Quota().Demands(time.Unix(1000, 0)) {
		counts[d.Spec.UID] += d.Count
	}
	if counts[spec.UID] != 2 || counts[urgent.UID] != 2 {
		t.Fatalf("%v tasks demanded, want 2 of each", counts)
	}
	team.Quota().SetFloors(nil)
	team.EndJob(urgent.UID)
	team.quota.limits.Max.CPUs = math.Inf(1)
	if list = team.Quota().Demands(time.Unix(1000, 0)); list[0].Count != 20 || list[0].QuotaDelay != 0 {
		t.Fatalf("demands %+v without a limit, want all tasks and no quota delay", list)
	}
}

// TestReturnedAttemptsAreReported checks that a listed attempt counts as returned if the owner had released it, once, and
// that one of an earlier owner does not.
func TestReturnedAttemptsAreReported(t *testing.T) {
	m := newModel(t, 1)
	m.team.Place(m.team.Job("job-0"), 0, Location{"m0", "z", 1})
	ref := AttemptRef{TaskID{"job-0", 0}, AttemptID(1, 1)}
	report := func(seq uint64, attempt uint64, state protocol.TaskState, reason protocol.ExitReason) []AttemptRef {
		v := &MachineStatus{Machine: "m0", Incarnation: 1, Seq: seq, FencingToken: 1, Term: 1, Tasks: []TaskStatus{{TaskID: ref.TaskID, Attempt: attempt, State: state, Reason: reason}}}
		m.team.Observe(v, m.now, m)
		return m.team.Returned().Take()
	}
	if got := report(1, ref.Attempt, protocol.Running, ""); len(got) > 0 {
		t.Errorf("an assigned attempt counts as returned: %v", got)
	}
	report(2, ref.Attempt, protocol.Exited, protocol.ReasonError)
	if got := report(3, ref.Attempt, protocol.Running, ""); !slices.Equal(got, []AttemptRef{ref}) || m.team.Returned().Count() != 1 {
		t.Errorf("returned attempts %v, want %v", got, ref)
	}
	report(4, ref.Attempt, protocol.Exited, protocol.ReasonError)
	if got := report(5, AttemptID(0, 9), protocol.Running, ""); len(got) > 0 || m.team.Returned().Count() != 1 {
		t.Errorf("an attempt of an earlier owner counts as returned: %v", got)
	}
}

// TestProbesAreDemandedEverLater checks that the wait before machines are acquired for a faulty job doubles with each probe
// that fails, so that few are acquired for a job that fails everywhere, and that none are beyond the quota.
func TestProbesAreDemandedEverLater(t *testing.T) {
	now := time.Unix(1000, 0)
	team := NewTeam("t", Limits{Max: Resources{CPUs: 10, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	team.AddJob(&protocol.Submission{UID: "job-1", Kind: protocol.Gang, Tasks: 5, CPUs: 2}, 1, now, nil)
	j := team.Job("job-1")
	j.SetFaulty(true, now)
	tasks := func(at time.Time) int { return team.Quota().Demands(at)[0].ProbeTasks }
	for failed := range 9 {
		wait := firstProbeWait << min(failed, maxProbeDoublings)
		if before, after := tasks(j.probeSince.Add(wait-time.Second)), tasks(j.probeSince.Add(wait)); before != 0 || after != 5 {
			t.Fatalf("after %d failed probes %d and %d tasks are demanded around %v, want 0 and 5", failed, before, after, wait)
		}
		now = now.Add(time.Hour)
		j.recordFailedProbe(now)
	}
	team.Quota().SetLimits(Limits{Max: Resources{CPUs: 9}})
	if got := tasks(now.Add(time.Hour)); got != 0 {
		t.Fatalf("%d tasks of 2 CPUs are demanded within a limit of 9", got)
	}
}
