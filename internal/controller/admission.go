package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/autoscaler"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
)

// The controller's side of internal/admission, which makes the decisions; docs/admission.md states its guarantees.

// admissionState holds the admission plans, the weights and rate limits, and counts of how jobs are served. Node.mu
// guards it.
type admissionState struct {
	planState     admission.PlanState
	planner       *admission.Planner // while this controller owns the fleet
	served        *admission.ServedCounts
	rateLimiter   *admission.RateLimiter
	weights       *admission.Weights
	lateCountedAt time.Time // when late jobs were last counted
	floorsLogged  time.Time // when the use of the floors was last logged
}

func newAdmissionState(o *settings.Options) *admissionState {
	return &admissionState{
		served:      admission.NewServedCounts(),
		rateLimiter: admission.NewRateLimiter(admission.DefaultRateLimits),
		weights: &admission.Weights{
			Team:       o.TeamWeights,
			Class:      o.ClassWeights,
			FloorShare: o.ClassFloor,
			FloorAfter: settings.Seconds(o.FloorAfterSeconds),
		},
	}
}

// admissionKey returns the team and class that a job is admitted and counted under.
func admissionKey(s *protocol.Submission) admission.Key {
	return admission.Key{Team: s.Team, Class: s.Class}
}

// classFloors returns the CPUs that the plan in force guarantees to each class of a shard's team.
func (n *Node) classFloors(shard *shards.Owned) map[string]float64 {
	plan := n.admission.planState.InForce()
	team, ok := shards.TeamOf(shard.Name())
	if plan == nil || len(plan.Floors) == 0 || !ok {
		return nil
	}
	floors := map[string]float64{}
	for _, f := range plan.Floors {
		if f.Team == team {
			floors[f.Class] = f.CPUs
		}
	}
	return floors
}

// firstTaskShare returns the fraction of a class's jobs that the plan in force has begin before other work is done.
func (n *Node) firstTaskShare() float64 {
	if plan := n.admission.planState.InForce(); plan != nil && plan.FirstTasks {
		return admission.FirstTaskShare
	}
	return 0
}

// prioritizedTasks returns for each of a team's demands how many of its tasks are placed before more urgent work: the
// first task of a large array that has waited long, and as many tasks as fit into the CPUs that the class still lacks
// to reach its floor.
func (n *Node) prioritizedTasks(shard *shards.Owned, list []jobstate.Demand, now time.Time) []int {
	prioritized := make([]int, len(list))
	firstTasks := map[string]float64{} // CPUs by class
	for i, d := range list {
		if d.FirstTask {
			prioritized[i] = d.Count
			firstTasks[d.Spec.Class] += float64(d.Count) * d.Spec.CPUs
		}
	}
	plan := n.admission.planState.InForce()
	if plan == nil || len(plan.Floors) == 0 {
		return prioritized
	}
	used := shard.Team().Quota().CPUsByClass()
	lacks := map[string]float64{}
	var waiting []*admission.WaitingTasks
	for i, d := range list {
		j, lack := n.jobs[d.Spec.UID], plan.Deficit(admissionKey(d.Spec), used[d.Spec.Class])
		if plan.FirstTasks {
			lack -= firstTasks[d.Spec.Class]
		}
		if j != nil && !d.Probe && d.Spec.CPUs > 0 && lack >= d.Spec.CPUs {
			lacks[d.Spec.Class] = lack
			waiting = append(waiting, n.waitingTasks(j, i, &d, prioritized[i], now))
		}
	}
	admission.PrioritizeTasks(waiting, lacks)
	for _, w := range waiting {
		prioritized[w.Index] = w.Prioritized
	}
	return prioritized
}

// waitingTasks describes a demand, with its index in the list of demands, for the division of the floors among tasks.
func (n *Node) waitingTasks(j *job, index int, d *jobstate.Demand, prioritized int, now time.Time) *admission.WaitingTasks {
	objective, late := n.nextObjective(j, now)
	return &admission.WaitingTasks{
		Index:       index,
		Class:       d.Spec.Class,
		Count:       d.Count,
		TaskCPUs:    d.Spec.CPUs,
		Gang:        d.Spec.Kind == protocol.Gang,
		Late:        late,
		StartBy:     objective.Add(-d.Spec.RunTime()),
		SubmittedAt: j.waitingSince,
		Prioritized: prioritized,
	}
}

// planStatus returns the part of this controller's status that concerns admission plans.
func (n *Node) planStatus() admission.PlanStatus {
	w := admission.PlanStatus{Latest: n.admission.planState.Latest()}
	if n.admission.planner != nil && n.shards.OwnsFleet() {
		w.InForce, w.Next = n.admission.planner.Plans()
	}
	return w
}

// onPlanStatus applies the part of a peer's status that concerns admission plans.
func (n *Node) onPlanStatus(node string, incarnation uint64, p *peerState, w *admission.PlanStatus) {
	p.admissionPlan = w.Latest
	if n.leadership.Record() == nil {
		return
	}
	record := n.leadership.Record()
	if fleet := record.Shards[leadership.FleetShard]; fleet.Owner == node && record.IsMember(node, incarnation) {
		before := n.admission.planState.InForce()
		n.admission.planState.Apply(fleet.SinceTerm, *w)
		n.logPlanInForce(before)
	}
}

// logPlanInForce logs the plan in force here and wakes the main loop, if the plan's contents differ from those of the
// one before.
func (n *Node) logPlanInForce(before *admission.Plan) {
	now := n.admission.planState.InForce()
	if now == before || before != nil && now.EqualContents(before) || before == nil && now.EqualContents(&admission.Plan{}) {
		return
	}
	n.log.Info("plan in force", "since", now.SinceTerm, "number", now.Number, "floors", now.Floors,
		"machines_held", reservedPerClass(now), "first_tasks", now.FirstTasks)
	n.wake()
}

// reservedPerClass counts the machines that a plan reserves, by class.
func reservedPerClass(p *admission.Plan) map[string]int {
	count := map[string]int{}
	for _, class := range p.Reserved {
		count[class]++
	}
	return count
}

// updatePlan, which the fleet's owner calls, puts the next admission plan into force once all members have received it,
// and then computes another one from the status of all machines and the demands of all teams.
func (n *Node) updatePlan(machines []autoscaler.Machine, demands []autoscaler.Demand, cannotGrow bool, now time.Time) {
	fleet := n.leadership.Record().Shards[leadership.FleetShard]
	if n.admission.planner == nil || n.admission.planner.SinceTerm() != fleet.SinceTerm {
		n.admission.planner = admission.NewPlanner(fleet.SinceTerm, &n.admission.planState)
	}
	inputs := n.planInputs(machines, demands, now)
	inputs.CannotGrow = cannotGrow
	before := n.admission.planState.InForce()
	n.admission.planner.Step(now, inputs, n.latestPlans())
	force, next := n.admission.planner.Plans()
	n.admission.planState.Apply(fleet.SinceTerm, admission.PlanStatus{InForce: force, Next: next})
	n.logPlanInForce(before)
	n.logFloors(inputs, now)
	if next != nil {
		n.requestStatus()
	}
}

// logFloors logs at every fleetLogInterval what each class with a floor has, so that a floor that gives nothing shows.
func (n *Node) logFloors(in *admission.Inputs, now time.Time) {
	plan := n.admission.planState.InForce()
	if plan == nil || len(plan.Floors) == 0 || now.Sub(n.admission.floorsLogged) < fleetLogInterval {
		return
	}
	n.admission.floorsLogged = now
	held := reservedPerClass(plan)
	for i := range in.Demands {
		d := &in.Demands[i]
		if floor := plan.Floor(d.Key); floor > 0 {
			n.log.Info("floor in force", "team", d.Team, "class", d.Class, "cpus", floor, "used_cpus", d.Used, "waiting_cpus", d.Waiting,
				"task_cpus", d.TaskCPUs, "machines_held", held[d.Class])
		}
	}
}

// latestPlans returns the ID of the latest plan that each other member has received.
func (n *Node) latestPlans() map[string]admission.ID {
	members := map[string]admission.ID{}
	for name := range n.leadership.Record().Nodes {
		if p := n.peers[name]; p != nil {
			members[name] = p.admissionPlan
		}
	}
	return members
}

// planInputs collects the quotas, demands and machines that a plan is computed from.
func (n *Node) planInputs(machines []autoscaler.Machine, demands []autoscaler.Demand, now time.Time) *admission.Inputs {
	in := &admission.Inputs{Teams: n.quotas(), Weights: n.admission.weights}
	collector := admission.NewDemandCollector(arrivalWindow)
	addWaiting(collector, demands)
	for i := range machines {
		m := n.machines[machines[i].Name]
		if m == nil || m.status == nil || m.gone {
			continue
		}
		n.addUsed(collector, m)
		if planned, ok := n.admissionMachine(&machines[i], m, now); ok {
			in.Machines = append(in.Machines, planned)
		}
	}
	n.addArrivals(collector, now)
	in.Demands = collector.List()
	return in
}

// quotas returns each team's guaranteed CPUs, and its limit if it has one.
func (n *Node) quotas() map[string]admission.Quota {
	teams := map[string]admission.Quota{}
	for _, t := range n.teams() {
		g := admission.Quota{Guaranteed: t.CPUs}
		if !math.IsInf(t.CPUsMax, 1) {
			g.Limit = t.CPUsMax
		}
		teams[t.Name] = g
	}
	return teams
}

// addWaiting adds the waiting tasks to the demands of a plan.
func addWaiting(collector *admission.DemandCollector, demands []autoscaler.Demand) {
	for i := range demands {
		d := &demands[i]
		collector.AddWaiting(admissionKey(d.Spec), admission.PendingWork{
			CPUs:            float64(d.Count)*d.Spec.CPUs + d.CPUsBeyondQuota,
			Rank:            protocol.Rank(d.Spec.Priority),
			TaskCPUs:        d.Spec.CPUs,
			TaskMemory:      d.Spec.MemoryGB,
			EstimateSeconds: d.Spec.EstimateSeconds,
		})
	}
}

// addUsed adds the CPUs of the tasks on a machine to the demands of a plan.
func (n *Node) addUsed(collector *admission.DemandCollector, m *machine) {
	for _, t := range m.status.Tasks {
		if j := n.jobs[t.Job]; j != nil && t.State != protocol.Exited {
			collector.AddUsed(admissionKey(j.spec), j.spec.CPUs)
		}
	}
}

// admissionMachine describes a machine for a plan; ok is false if the plan must not count on it.
func (n *Node) admissionMachine(m *autoscaler.Machine, known *machine, now time.Time) (planned admission.Machine, ok bool) {
	cpus, _, memory, ok := n.scheduler.Capacity(m.Type)
	if !ok || m.SpotNotice || m.Faulty || n.provisioner.draining()[m.Name] || now.Sub(known.LastSeenAt()) > n.unreachableHomes.Timing().RedirectTimeout {
		return planned, false
	}
	left := 0.0
	for _, s := range m.Tasks {
		left = max(left, s.SecondsLeft)
	}
	planned = admission.Machine{Name: m.Name, CPUs: cpus, Memory: memory, FreeCPUs: m.FreeCPUs, SecondsUntilIdle: left}
	return planned, true
}

// addArrivals adds the work of newly submitted jobs to the demands of a plan.
func (n *Node) addArrivals(collector *admission.DemandCollector, now time.Time) {
	for _, j := range n.jobs {
		if j.spec.Kind != protocol.Service && !j.waits {
			work := float64(j.spec.Tasks) * j.spec.CPUs * j.spec.EstimateSeconds
			first := j.spec.CPUs * (j.spec.EstimateSeconds + autoscaler.ImageFetchSeconds(n.scheduler.MachineTypes(), j.spec))
			collector.AddArrival(admissionKey(j.spec), work, first, now.Sub(j.waitingSince))
		}
	}
}

// recordServed updates the counts of a job's team and class, if this controller owns the team.
func (n *Node) recordServed(s *protocol.Submission, now time.Time, what func(*admission.Count)) {
	if n.shards.OfTeam(s.Team) != nil {
		n.admission.served.Record(admissionKey(s), now, what)
	}
}

// recordStarted counts a task that was first reported running.
func (n *Node) recordStarted(s *protocol.Submission, now time.Time) {
	n.recordServed(s, now, func(c *admission.Count) { c.Started++ })
}

// recordCompleted counts a completed job, and also whether it was in time, unless countLateJobs has counted it as late.
func (n *Node) recordCompleted(s *protocol.Submission, now time.Time) {
	j := n.jobs[s.UID]
	n.recordServed(s, now, func(c *admission.Count) {
		if c.Done++; j != nil && !j.countedLate && !n.missedObjective(j, now) {
			c.InTime++
		} else if j != nil && !j.countedLate {
			c.Late++
		}
	})
}

// missedObjective returns whether a job's first objective has passed.
func (n *Node) missedObjective(j *job, now time.Time) bool {
	objectives := n.objectives(j)
	return len(objectives) > 0 && now.After(objectives[0])
}

// lateCountInterval is the least time between two counts of late jobs.
const lateCountInterval = 2 * time.Second

// countLateJobs counts the jobs of teams owned here that have missed their first objective, and logs the teams' classes
// that are poorly served.
func (n *Node) countLateJobs(now time.Time) {
	if now.Sub(n.admission.lateCountedAt) < lateCountInterval {
		return
	}
	n.admission.lateCountedAt = now
	for shard := range n.shards.All() {
		if shard.IsFleet() {
			continue
		}
		shard.Team().Jobs(func(tj *jobstate.Job) {
			if j := n.jobs[tj.Spec.UID]; j != nil && j.active && !j.countedLate && n.missedObjective(j, now) {
				j.countedLate = true
				n.recordServed(j.spec, now, func(c *admission.Count) { c.Late++ })
			}
		})
	}
	n.logPoorlyServed(now)
}

// logPoorlyServed logs the teams' classes with less than half of their jobs in time.
func (n *Node) logPoorlyServed(now time.Time) {
	poorlyServed := n.admission.served.PoorlyServed(now)
	if len(poorlyServed) == 0 {
		return
	}
	counts := n.admission.served.Counts(now)
	for _, k := range poorlyServed {
		c := counts[k]
		n.log.Info("less than half of the jobs in time", "team", k.Team, "class", k.Class, "in_time", c.InTime, "late", c.Late,
			"started", c.Started, "floor", n.admission.planState.InForce().Floor(k))
	}
}

// admissionStatus summarises admission for the overview.
func (n *Node) admissionStatus(now time.Time) admission.Status {
	wait, _ := n.kvStore.UrgentDelay()
	status := admission.Status{Refused: n.admission.rateLimiter.Rejected(), AcceptanceWaitSeconds: wait.Seconds()}
	plan := n.admission.planState.InForce()
	if plan != nil {
		status.Plan, status.Floors, status.Reserved = plan.ID, plan.Floors, reservedPerClass(plan)
	}
	keys := keyStatuses{plan: plan, byKey: map[admission.Key]*admission.KeyStatus{}}
	for k, count := range n.admission.served.Counts(now) {
		x := keys.of(k)
		x.Count, x.Share = count, count.InTimeShare()
	}
	for shard := range n.shards.All() {
		if team, ok := shards.TeamOf(shard.Name()); ok && shard.IsReady() {
			n.addTeamStatus(&keys, team, shard.Team(), now)
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(keys.byKey), admission.Key.Compare) {
		status.Keys = append(status.Keys, *keys.byKey[k])
	}
	return status
}

// keyStatuses collects the status of teams' classes.
type keyStatuses struct {
	plan  *admission.Plan // in force; nil: none
	byKey map[admission.Key]*admission.KeyStatus
}

// of returns the status of a key, and adds an empty one if there is none.
func (s *keyStatuses) of(k admission.Key) *admission.KeyStatus {
	if s.byKey[k] == nil {
		s.byKey[k] = &admission.KeyStatus{Key: k, Share: 1, Floor: s.plan.Floor(k)}
	}
	return s.byKey[k]
}

// addTeamStatus adds what the classes of a team owned here use, and the tasks that wait in them.
func (n *Node) addTeamStatus(keys *keyStatuses, name string, team *jobstate.Team, now time.Time) {
	for class, cpus := range team.Quota().CPUsByClass() {
		keys.of(admission.Key{Team: name, Class: class}).UsedCPUs = cpus
	}
	for _, d := range team.Quota().Demands(now) {
		x := keys.of(admissionKey(d.Spec))
		x.Waiting += d.Count + int(d.CPUsBeyondQuota/max(d.Spec.CPUs, 1e-9)+0.5)
		if j := n.jobs[d.Spec.UID]; j != nil {
			x.OldestWaitSeconds = max(x.OldestWaitSeconds, now.Sub(j.waitingSince).Seconds())
		}
	}
}
