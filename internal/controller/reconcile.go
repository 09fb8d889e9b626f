package controller

import (
	"math"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/userapi"
)

// Reconciliation of orphaned tasks: tasks that a machine lists although no team's state has them assigned to it, or
// although their job has ended. The team's state counts them against the quota (internal/jobstate). The code here stops
// them, and looks up in the state service the ends of jobs that this controller does not know.

// teamJobs describes jobs and machines, as known to this controller, to the state of a team.
type teamJobs struct {
	n    *Node
	team string
}

// Job describes a job from the watched keys, or else from its recorded end.
func (k teamJobs) Job(uid string) jobstate.JobInfo {
	if j := k.n.jobs[uid]; j != nil {
		return jobstate.JobInfo{Known: true, OwnTeam: j.spec.Team == k.team, Active: j.active, Spec: j.spec}
	}
	if end, ended := k.n.userAPI.KnownEnd(uid); ended {
		return jobstate.JobInfo{Known: true, OwnTeam: end.Team == k.team, Spec: endedSpec(uid, end)}
	}
	return jobstate.JobInfo{}
}

// UnknownSizeBound returns an upper bound of what the listed tasks of unknown size take together: the machine's
// capacity less the tasks of known size.
func (k teamJobs) UnknownSizeBound(v *jobstate.MachineStatus) (cpus, gpus float64) {
	cpus, gpus, _, ok := k.n.scheduler.Capacity(v.Type)
	if !ok {
		return math.Inf(1), math.Inf(1)
	}
	for _, t := range v.Tasks {
		if t.State != protocol.Exited {
			c, g, _ := k.n.taskSize(t.Job)
			cpus, gpus = cpus-c, gpus-g
		}
	}
	return cpus, gpus
}

// endedSpec returns the part of a job's specification that its recorded end keeps.
func endedSpec(uid string, end userapi.JobEnd) *protocol.Submission {
	return &protocol.Submission{
		UID: uid, Team: end.Team, Tasks: end.Tasks,
		CPUs: end.CPUs, GPUs: end.GPUs, MemoryGB: end.MemoryGB,
	}
}

// hasSize returns whether the resources that a job's tasks take are known.
func hasSize(spec *protocol.Submission) bool { return spec.CPUs > 0 || spec.GPUs > 0 }

// oldestUnknownTerm returns the earliest term of the listed attempts whose jobs this controller does not know;
// math.MaxUint64 if there are none.
func (n *Node) oldestUnknownTerm(v *jobstate.MachineStatus) uint64 {
	oldest := uint64(math.MaxUint64)
	for _, t := range v.Tasks {
		if t.State != protocol.Exited && n.jobs[t.Job] == nil {
			oldest = min(oldest, jobstate.TermOf(t.Attempt))
		}
	}
	return oldest
}

// reobserveReserved reconciles the machines that list tasks of a job again, once the job has become known. Until then
// quota is reserved for the job's orphaned tasks as tasks of unknown size.
func (n *Node) reobserveReserved(uid string) {
	for _, name := range n.taskIndex.Machines(uid) {
		for shard := range n.shards.All() {
			if shard.IsReady() && shard.Team().Quota().HasOrphansOn(name) {
				n.reconcileMachine(shard, n.machines[name].status)
			}
		}
	}
}

// lookUpEnd reads from the state service the end of a job that a machine lists and whose size is not known here.
func (n *Node) lookUpEnd(uid string, attempt uint64) {
	if j := n.jobs[uid]; j != nil && (j.active || hasSize(j.spec)) {
		return
	}
	if !n.endLookUps.Begin(uid, time.Now()) {
		return
	}
	n.group.Go(func() error {
		end, found, absent := n.userAPI.LookUpEndOrAbsence(n.ctx, uid)
		if found && end.CPUs == 0 && end.GPUs == 0 {
			if stored, ok := n.userAPI.ReadEnd(n.ctx, uid); ok {
				end = stored
			}
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.endLookUps.Finish(uid)
		if found {
			n.applyLookedUpEnd(uid, end)
		} else {
			n.recordEndNotFound(uid, attempt, absent)
		}
		return nil
	})
}

// applyLookedUpEnd records the end of a job that lookUpEnd found.
func (n *Node) applyLookedUpEnd(uid string, end userapi.JobEnd) {
	spec := endedSpec(uid, end)
	j := n.jobs[uid]
	switch {
	case j == nil:
		n.jobs[uid] = &job{spec: spec, endedAt: time.Now()}
	case !j.active && !hasSize(j.spec):
		j.spec = spec
	}
	if !hasSize(spec) {
		n.endLookUps.Fail(uid, time.Now())
	}
	n.reobserveReserved(uid)
}

// recordEndNotFound records that the state service has no end of a job; absent means that it has no active job either.
func (n *Node) recordEndNotFound(uid string, attempt uint64, absent bool) {
	if n.jobs[uid] != nil {
		return
	}
	n.endLookUps.Fail(uid, time.Now())
	record := n.leadership.Record()
	if absent && record != nil && (n.leadership.Epoch() == 1 || jobstate.TermOf(attempt) >= record.FirstTerm) {
		// Tasks are started only for accepted jobs, and an accepted job always has either its active or its ended key.
		n.recovery.detection.proveLoss(datarecovery.ProofUnknownJob)
	}
}

// stopOrphanedTasks queues orders for a machine homed here to stop, or to forget if exited, the tasks of jobs that have
// ended. That needs no order of the team's owner, as an ended job never becomes active again.
func (n *Node) stopOrphanedTasks(v *jobstate.MachineStatus) {
	if n.agents.Get(v.Machine) == nil || n.leadership.Record() == nil || n.homeOf(v.Machine) != n.name {
		return
	}
	var orders []jobstate.Order
	for _, t := range v.Tasks {
		j := n.jobs[t.Job]
		if t.State == jobstate.Ordered || (j != nil && j.active) {
			continue
		}
		if j == nil {
			n.lookUpEnd(t.Job, t.Attempt)
			continue
		}
		o := jobstate.Order{Op: protocol.Stop, TaskID: t.TaskID, Attempt: t.Attempt, Incarnation: v.Incarnation}
		if t.State == protocol.Exited {
			if !jobstate.MayForget(t.Attempt, n.leadership.Term()) {
				continue
			}
			o.Op = protocol.Forget
		}
		orders = append(orders, o)
	}
	if len(orders) > 0 && n.agents.QueueOrders(n.leadership.Term(), v.Machine, orders) {
		n.wakeCommandSender(v.Machine)
	}
}
