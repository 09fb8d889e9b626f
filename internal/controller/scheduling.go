package controller

import (
	"iter"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/scheduler"
	"topazhollow/internal/shards"
)

// The controller's side of internal/scheduler, which decides about placement and preemption.

// place runs a scheduling pass, which places waiting tasks, and asks the owners of the tasks that the pass preempts to
// stop them.
func (n *Node) place(now time.Time) {
	result := n.scheduler.Pass((*schedulerSnapshot)(n), now)
	for _, e := range result.Evictions {
		n.evict(evictMsg{Attempt: e.Victim, Beneficiary: e.For})
	}
	if result.Queued && (result.Unplaced || n.waitingAnnounced) {
		n.waitingAnnounced = result.Unplaced
		n.requestStatus()
	}
}

// evict asks the owner of a task to stop it.
func (n *Node) evict(e evictMsg) {
	j := n.jobs[e.Attempt.Job]
	owner := n.leadership.Record().OwnerOf(shards.ForTeam(j.spec.Team))
	if owner == n.name {
		n.onEvict(&e)
		return
	}
	n.links.Send(owner, "evict", e)
}

// onEvict stops a task of a team that this controller owns in favour of a job of higher priority.
func (n *Node) onEvict(e *evictMsg) {
	victim, job := n.jobs[e.Attempt.Job], n.jobs[e.Beneficiary]
	if victim == nil || job == nil || protocol.Rank(job.spec.Priority) <= protocol.Rank(victim.spec.Priority) {
		return
	}
	shard := n.shards.OfTeam(victim.spec.Team)
	if shard == nil || !shard.IsReady() {
		return
	}
	if shard.Team().Stop(e.Attempt, victim.spec.CheckpointSeconds) {
		n.log.Debug("task preempted", "task", e.Attempt.Job, "index", e.Attempt.Index, "for", e.Beneficiary)
		n.wake()
	}
}

// objectives returns the times by which a job should be complete; it is empty if the job has no objective.
func (n *Node) objectives(j *job) jobstate.Objectives {
	if j.objectives == nil {
		levels := scheduler.ServiceLevels(n.settings.Deployment.Objectives)
		j.objectives = levels.CompletionTimes(j.spec.Class, j.waitingSince, n.deadline(j))
	}
	return j.objectives
}

// nextObjective returns the next of a job's objectives that it can still meet; late is true if there is none.
func (n *Node) nextObjective(j *job, now time.Time) (by time.Time, late bool) {
	scheduled := scheduler.Job{Spec: j.spec, SubmittedAt: j.waitingSince, Objectives: n.objectives(j)}
	return scheduled.NextObjective(now)
}

// schedulerSnapshot is the scheduler's read-only view of the controller.
type schedulerSnapshot Node

// Job returns a job that is or was active.
func (s *schedulerSnapshot) Job(uid string) (scheduler.Job, bool) {
	j := s.jobs[uid]
	if j == nil {
		return scheduler.Job{}, false
	}
	scheduled := scheduler.Job{Spec: j.spec, SubmittedAt: j.waitingSince, Active: j.active}
	if j.active {
		scheduled.Objectives = (*Node)(s).objectives(j)
	}
	return scheduled, true
}

// AssignmentsOn calls f for each attempt that a team owned here has assigned to a machine.
func (s *schedulerSnapshot) AssignmentsOn(machine string, f func(jobstate.Assignment)) {
	for shard := range s.shards.All() {
		shard.Team().Assignments().On(machine, f)
	}
}

// TakeChangedMachines lists the machines whose assignments of teams owned here changed since the last call.
func (s *schedulerSnapshot) TakeChangedMachines() iter.Seq[string] {
	return func(yield func(string) bool) {
		for shard := range s.shards.All() {
			for machine := range shard.Team().Assignments().TakeChangedMachines() {
				if !yield(machine) {
					return
				}
			}
		}
	}
}

// ownTeam is the scheduler's view of a team that this controller owns.
type ownTeam struct {
	*jobstate.Team
	node  *Node
	shard *shards.Owned
}

// PrioritizedTasks returns for each demand how many of its tasks are placed before more urgent work.
func (t *ownTeam) PrioritizedTasks(demands []jobstate.Demand, now time.Time) []int {
	return t.node.prioritizedTasks(t.shard, demands, now)
}

// Teams lists the teams owned here whose tasks may be placed now.
func (s *schedulerSnapshot) Teams() []scheduler.Team {
	var teams []scheduler.Team
	for shard := range s.shards.All() {
		if shard.MayPlace() && !shard.IsFleet() {
			teams = append(teams, &ownTeam{shard.Team(), (*Node)(s), shard})
		}
	}
	return teams
}

// PeerDemands yields the demands of the teams that other controllers own.
func (s *schedulerSnapshot) PeerDemands(now time.Time) iter.Seq[scheduler.Demand] {
	return func(yield func(scheduler.Demand) bool) {
		for _, p := range s.peers {
			if !p.isReachable(now) || !p.entitled {
				continue // other controllers have taken over the teams of one that lost its lease
			}
			for _, d := range p.demands {
				if !yield(scheduler.Demand{Job: d.Job, Count: d.Count, Prioritized: d.Prioritized, Borrowed: d.Borrowed}) {
					return
				}
			}
		}
	}
}

// heartbeatSlack is how long, beyond two heartbeat intervals, a machine may be silent and still be given tasks.
const heartbeatSlack = 3 * time.Second

// AcceptingMachines returns a filter for the machines that tasks can be placed on now. A machine whose home has not
// received a heartbeat from it since the term was raised accepts no orders yet.
func (s *schedulerSnapshot) AcceptingMachines(now time.Time) func(*jobstate.MachineStatus) bool {
	n := (*Node)(s)
	fresh := 2*time.Duration(n.settings.Deployment.Agents.HeartbeatSeconds*float64(time.Second)) + heartbeatSlack
	draining := n.draining()
	unreachable := map[string]bool{} // homes that orders cannot be sent to
	for name, p := range n.peers {
		unreachable[name] = !p.connected || !p.isReachable(now)
	}
	return func(status *jobstate.MachineStatus) bool {
		name := status.Machine
		m := n.machines[name]
		switch {
		case status.Term != n.leadership.Term(), status.Notice, n.recovery.census.runsUndescribedJob(status):
			return false
		case now.Sub(m.HeardAt) > fresh, unreachable[n.homeFor(m, name)]:
			return false
		case n.quarantine.IsMachineBad(name, now), n.isSlow(m, now):
			return false
		}
		return !draining[name] && n.roster.Has(name)
	}
}

// slowMachineTimeout is how long a machine is given no tasks after it was found slow.
const slowMachineTimeout = time.Minute

// isSlow returns whether a machine was found slow within the last slowMachineTimeout.
func (n *Node) isSlow(m *machine, now time.Time) bool {
	return !m.slowAt.IsZero() && now.Sub(m.slowAt) < slowMachineTimeout
}

// Plan returns the admission plan in force; nil if there is none.
func (s *schedulerSnapshot) Plan() *admission.Plan { return s.admission.planState.InForce() }
