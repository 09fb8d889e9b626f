package controller

import (
	"iter"
	"slices"
	"strings"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
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

// evict asks the owner of a task to stop it. It does nothing if the task's job is not known.
func (n *Node) evict(e evictMsg) {
	j := n.jobs[e.Attempt.Job]
	if j == nil {
		return
	}
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
				if d.Probe {
					continue // probes are placed after all other work
				}
				if !yield(scheduler.Demand{Job: d.Job, Count: d.Count, Prioritized: d.Prioritized, Begins: d.Begins, Borrowed: d.Borrowed, Held: d.Held}) {
					return
				}
			}
		}
	}
}

// heartbeatSlack is how long, beyond two heartbeat intervals, a machine may be silent and still be given tasks.
const heartbeatSlack = 3 * time.Second

// acceptanceBasis is what acceptance of tasks by all machines depends on. A record is never changed but replaced by
// another one.
type acceptanceBasis struct {
	record           *leadership.Record
	roster           *agents.Roster
	unreachableHomes string // names, sorted
}

// AcceptingMachines tells which machines tasks can be placed on now. A machine whose home has not received a heartbeat
// from it since the term was raised accepts no orders yet.
func (s *schedulerSnapshot) AcceptingMachines(now time.Time) scheduler.Acceptance {
	n := (*Node)(s)
	unreachable := n.homesOutOfReach(now)
	draining := n.draining()
	check := &acceptanceCheck{
		node:        n,
		now:         now,
		freshFor:    2*time.Duration(n.settings.Deployment.Agents.HeartbeatSeconds*float64(time.Second)) + heartbeatSlack,
		term:        n.leadership.Term(),
		afterLoss:   n.leadership.Epoch() > 1,
		draining:    draining,
		unreachable: unreachable,
	}
	return scheduler.Acceptance{
		Basis:    acceptanceBasis{n.leadership.Record(), n.roster, strings.Join(unreachable, " ")},
		Volatile: n.volatileMachines(draining),
		Check:    check.accepts,
	}
}

// homesOutOfReach lists the peers that orders cannot be sent to, sorted by name.
func (n *Node) homesOutOfReach(now time.Time) (names []string) {
	for name, p := range n.peers {
		if !p.connected || !p.isReachable(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// volatileMachines yields the machines that may stop accepting tasks without a change of their status.
func (n *Node) volatileMachines(draining map[string]bool) iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range draining {
			if !yield(name) {
				return
			}
		}
		for name := range n.quarantine.SuspectMachines() {
			if !yield(name) {
				return
			}
		}
	}
}

// acceptanceCheck checks which machines tasks can be placed on at one point in time.
type acceptanceCheck struct {
	node        *Node
	now         time.Time
	freshFor    time.Duration // how long a machine is given tasks after a heartbeat
	term        uint64
	afterLoss   bool // machines may run tasks from before a loss of data
	draining    map[string]bool
	unreachable []string // homes that orders cannot be sent to
}

// accepts reports whether tasks can be placed on a machine, and until when; see scheduler.Acceptance.
func (c *acceptanceCheck) accepts(status *jobstate.MachineStatus) (accepts bool, until time.Time) {
	if status.Term != c.term || status.Notice {
		return false, time.Time{}
	}
	n, name := c.node, status.Machine
	m := n.machines[name]
	switch {
	case c.now.Sub(m.HeardAt) > c.freshFor, slices.Contains(c.unreachable, n.homeFor(m, name)):
		return false, time.Time{}
	case c.draining[name], !n.roster.Has(name), n.quarantine.IsMachineBad(name, c.now), n.isSlow(m, c.now):
		return false, time.Time{}
	case c.afterLoss && n.recovery.census.runsUndescribedJob(status):
		return false, time.Time{}
	case c.afterLoss && n.runsTaskFromBeforeLoss(status):
		return true, c.now // the description of its job may be forgotten at any time
	}
	return true, m.HeardAt.Add(c.freshFor)
}

// runsTaskFromBeforeLoss reports whether a machine runs a task from before the last loss of data.
func (n *Node) runsTaskFromBeforeLoss(status *jobstate.MachineStatus) bool {
	firstTerm := n.leadership.Record().FirstTerm
	return slices.ContainsFunc(status.Tasks, func(t jobstate.TaskStatus) bool {
		return t.State != protocol.Exited && jobstate.TermOf(t.Attempt) < firstTerm
	})
}

// slowMachineTimeout is how long a machine is given no tasks after it was found slow.
const slowMachineTimeout = time.Minute

// markSlow records that a task on a machine was found far slower than others of its job.
func (n *Node) markSlow(m *machine, name string, now time.Time) {
	m.slowAt = now
	n.scheduler.InvalidateMachines(slices.Values([]string{name}))
}

// isSlow returns whether a machine was found slow within the last slowMachineTimeout.
func (n *Node) isSlow(m *machine, now time.Time) bool {
	return !m.slowAt.IsZero() && now.Sub(m.slowAt) < slowMachineTimeout
}

// Plan returns the admission plan in force; nil if there is none.
func (s *schedulerSnapshot) Plan() *admission.Plan { return s.admission.planState.InForce() }
