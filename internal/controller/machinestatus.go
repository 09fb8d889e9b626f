package controller

import (
	"slices"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/scheduler"
	"topazhollow/internal/shards"
)

// The status of machines. A machine's home derives it from the agent's heartbeats and sends it to all other
// controllers.

// machine returns the entry of a machine, and adds an empty one if there is none.
func (n *Node) machine(name string) *machine {
	m := n.machines[name]
	if m == nil {
		m = &machine{}
		n.machines[name] = m
	}
	return m
}

// machineGone records that the cloud has confirmed the end of a machine, removes everything else that is known of it,
// and has the teams owned here release its assignments.
func (n *Node) machineGone(name string) {
	m := n.machine(name)
	if m.gone {
		return
	}
	if m.status != nil {
		n.scheduler.RemoveMachine(name)
		n.taskIndex.Remove(m.status)
	}
	*m = machine{gone: true, Liveness: agents.Liveness{HeardAt: time.Now()}}
	n.quarantine.ForgetMachine(name)
	n.agents.Drop(name)
	n.unreachableHomes.Forget(name)
	n.log.Info("machine gone", "machine", name)
	for shard := range n.shards.All() {
		if shard.IsReady() {
			shard.Team().MachineReturned(name)
		}
	}
	if d := n.commandSenders[name]; d != nil {
		delete(n.commandSenders, name)
		close(d.signal)
	}
	n.wake()
}

// homeOf returns the home of a machine according to the current membership record.
func (n *Node) homeOf(name string) string {
	if m := n.machines[name]; m != nil {
		return n.homeFor(m, name)
	}
	return n.leadership.Record().Home(name)
}

// homeFor is homeOf for a known machine. The result is cached until the record changes.
func (n *Node) homeFor(m *machine, name string) string {
	if m.homeRecord != n.leadership.Record() {
		m.home, m.homeRecord = n.leadership.Record().Home(name), n.leadership.Record()
	}
	return m.home
}

// publishStatus applies the status of a machine whose home this controller is, and marks it to be sent to the peers.
func (n *Node) publishStatus(name string) {
	v := n.agents.Status(name)
	if v == nil || n.machine(name).status == v {
		return // nothing changed
	}
	n.agents.MarkChanged(name)
	n.applyStatus(v, time.Now())
}

// applyStatus applies a machine's status, derived here or sent by a peer, unless a newer one is known.
func (n *Node) applyStatus(v *jobstate.MachineStatus, now time.Time) {
	m := n.machine(v.Machine)
	if m.gone {
		return
	}
	if m.status != nil {
		newer := v.Newer(m.status)
		n.logOlderHeartbeat(v, m.status, newer)
		if !newer {
			return
		}
	}
	n.recordOutcomes(v, m.status, now)
	n.replaceStatus(m, v)
	n.recordStartedTasks(v)
	m.HeardAt = now
	n.recordRunTimes(n.scheduler.ObserveMachine(v, (*schedulerSnapshot)(n), now), now)
	n.recordIdleness(m, v, now)
	n.reconcileShards(v)
	n.stopOrphanedTasks(v)
	n.wake()
}

// logOlderHeartbeat logs that a home reports, under a later term, a status made from an older heartbeat than the known
// one. That happens if a copy of a heartbeat is the first that a home receives in its term.
func (n *Node) logOlderHeartbeat(v, known *jobstate.MachineStatus, replaces bool) {
	if v.Term <= known.Term || v.HeartbeatID().Compare(known.HeartbeatID()) >= 0 {
		return
	}
	n.log.Info("home reports an older heartbeat", "machine", v.Machine, "term", v.Term, "seq", v.Seq, "known_term", known.Term,
		"known_seq", known.Seq, "fencing_token", v.FencingToken, "known_fencing_token", known.FencingToken, "replaces", replaces)
}

// replaceStatus replaces a machine's known status and updates the index of tasks.
func (n *Node) replaceStatus(m *machine, v *jobstate.MachineStatus) {
	if m.status != nil {
		n.taskIndex.Remove(m.status)
	}
	n.taskIndex.Add(v)
	m.status = v
}

// recordRunTimes records the tasks that were first reported running, and the run times of completed ones.
func (n *Node) recordRunTimes(observed scheduler.Observation, now time.Time) {
	for _, ref := range observed.Started {
		n.recordFirstRun(ref.Job, now)
	}
	for _, task := range observed.Completed {
		if j := n.jobs[task.Job]; j != nil {
			j.longestRun = max(j.longestRun, task.Ran)
			j.completedRuns++
		}
	}
}

// maxStartLatency is the largest time from submission to start that the histogram records; longer ones count as this.
const maxStartLatency = time.Hour

// recordFirstRun records the start latency of a task that was first reported running.
func (n *Node) recordFirstRun(uid string, now time.Time) {
	j := n.jobs[uid]
	if j == nil || j.waitingSince.IsZero() {
		return
	}
	n.recordStarted(j.spec, now)
	latency := max(now.Sub(j.waitingSince).Milliseconds(), 1)
	_ = n.startLatency.RecordValue(min(latency, maxStartLatency.Milliseconds()))
}

// recordOutcomes records the outcomes of the tasks that a machine lists as exited for the first time.
func (n *Node) recordOutcomes(v, earlier *jobstate.MachineStatus, now time.Time) {
	for t := range v.NewlyExited(earlier) {
		n.recordOutcome(t, v.Machine, now)
	}
}

// recordIdleness records since when a machine is idle. It does not become idle by a heartbeat that does not know its home's
// term: that may be a copy of an old one, sent before tasks started.
func (n *Node) recordIdleness(m *machine, v *jobstate.MachineStatus, now time.Time) {
	busy := slices.ContainsFunc(v.Tasks, func(t jobstate.TaskStatus) bool { return t.State != protocol.Exited })
	switch {
	case busy:
		m.idleSince = time.Time{}
	case m.idleSince.IsZero() && v.FencingToken >= v.Term:
		m.idleSince = now
	}
}

// reconcileShards passes a status to the owned shards that it concerns.
func (n *Node) reconcileShards(v *jobstate.MachineStatus) {
	teams := n.teamsOn(v)
	unknown := n.oldestUnknownTerm(v)
	for shard := range n.shards.InOrder() {
		switch {
		case shard.IsReady():
			if concerns(shard, v, teams, unknown) {
				n.reconcileMachine(shard, v)
			}
		case shard.Phase() == shards.Barrier && shard.Awaits(v.Machine):
			n.machineReported(shard, v)
		}
	}
}

// concerns returns whether a status concerns a shard: tasks of the shard's team are listed in it, or may be, or the
// shard has assigned tasks to the machine. Unknown is the earliest term of the listed attempts whose jobs are not known
// here; an attempt that is older than the ownership of the shard may be one of its team's.
func concerns(shard *shards.Owned, v *jobstate.MachineStatus, teams []string, unknown uint64) bool {
	name, _ := shards.TeamOf(shard.Name())
	team := shard.Team()
	return slices.Contains(teams, name) ||
		team.Assignments().AnyOn(v.Machine) ||
		team.Quota().HasOrphansOn(v.Machine) ||
		unknown < team.FirstTerm()
}

// teamsOn lists the teams of the jobs whose tasks a status lists.
func (n *Node) teamsOn(v *jobstate.MachineStatus) (teams []string) {
	for _, t := range v.Tasks {
		if j := n.jobs[t.Job]; j != nil && !slices.Contains(teams, j.spec.Team) {
			teams = append(teams, j.spec.Team)
		}
	}
	return teams
}

// recordOutcome records an exited task's success or failure for the quarantine of jobs and machines. As every
// controller receives every status, a new owner of a team already knows the team's faulty jobs.
func (n *Node) recordOutcome(t jobstate.TaskStatus, machine string, now time.Time) {
	j := n.jobs[t.Job]
	if j == nil || !j.active || (t.Reason != protocol.ReasonError && t.Reason != protocol.ReasonDone) {
		return
	}
	faulty := t.Reason == protocol.ReasonError
	if faulty && n.quarantine.RecordFailure(t.Job, machine, now) {
		n.log.Info("job marked faulty: failed on several machines and succeeded on none",
			"job", t.Job, "team", j.spec.Team, "last", machine)
	} else if !faulty && n.quarantine.RecordSuccess(t.Job, machine) {
		n.log.Info("job no longer marked faulty", "job", t.Job, "team", j.spec.Team)
	} else {
		return
	}
	if shard := n.shards.OfTeam(j.spec.Team); shard != nil && shard.Phase() != shards.Loading {
		shard.Team().Job(t.Job).SetFaulty(faulty, now)
	}
}

// recordRuns ends the quarantine of the team's services of which a replica has run for long.
func (n *Node) recordRuns(shard *shards.Owned, now time.Time) {
	shard.Team().Jobs(func(job *jobstate.Job) {
		if job.Spec.Kind != protocol.Service || !n.quarantine.IsJobFaulty(job.Spec.UID) {
			return
		}
		job.Running(func(assignment jobstate.Assignment) {
			since, running := n.scheduler.RunningSince(assignment.Machine, assignment.Ref())
			if running && n.quarantine.RecordRun(job.Spec.UID, now.Sub(since)) {
				n.log.Info("job no longer marked faulty: a task runs", "job", job.Spec.UID, "team", job.Spec.Team, "machine", assignment.Machine)
				job.SetFaulty(false, now)
			}
		})
	})
}

// sendChangedStatuses sends the statuses that changed to all peers.
func (n *Node) sendChangedStatuses() {
	for _, statuses := range n.agents.TakeChanged() {
		n.broadcast(kindMachineStatuses, statuses)
	}
}
