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

// What connects internal/admission, which decides, to the controller: docs/admission.md
// tells what it promises.

// admit is what a controller knows of who gets how much of what is short.
type admissionState struct {
	known   admission.Agreed
	maker   *admission.Maker // while this controller owns the fleet
	served  *admission.Served
	door    *admission.Door
	weights *admission.Weights
	runs    map[admission.Key]float64 // CPUs of running tasks, as of the last estimate of what ends
	looked  time.Time                 // when late jobs were last counted
}

func newAdmissionState(o *settings.Options) *admissionState {
	return &admissionState{served: admission.NewServed(), door: admission.NewDoor(admission.DefaultLimits), runs: map[admission.Key]float64{},
		weights: &admission.Weights{Team: o.TeamWeights, Class: o.ClassWeights, Floor: o.ClassFloor, After: settings.Seconds(o.FloorAfterSeconds)}}
}

func keyOf(s *protocol.Submission) admission.Key { return admission.Key{Team: s.Team, Class: s.Class} }

// floorsOf is what the plan in force leaves to a team's classes.
func (n *Node) floorsOf(shard *shards.Owned) map[string]float64 {
	plan := n.admission.known.Acts()
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

// inTime is the part of what a class has too little of that goes to its jobs that can still
// be in time, soonest first; the rest goes to its oldest, so that none waits for ever.
const inTime = 0.75

// goFirst tells for each of a team's demands how many of its tasks go before what is more
// urgent: as many as its class has less than the plan leaves it, and the first one of an array that has waited long.
func (n *Node) goFirst(shard *shards.Owned, list []jobstate.Demand, now time.Time) []int {
	first := make([]int, len(list))
	for i, d := range list {
		if d.Begins {
			first[i] = d.Count
		}
	}
	plan := n.admission.known.Acts()
	if plan == nil || len(plan.Floors) == 0 {
		return first
	}
	f := &floorFilling{list: list, first: first, lacks: map[string]float64{}}
	held := shard.Team().HeldBy()
	for i, d := range list {
		lacks := plan.Floor(keyOf(d.Spec)) - held[d.Spec.Class]
		if n.jobs[d.Spec.UID] != nil && !d.Probe && d.Spec.CPUs > 0 && lacks >= d.Spec.CPUs {
			f.lacks[d.Spec.Class] = lacks
			f.order = append(f.order, i)
		}
	}
	f.orderByReach(n, now)
	f.give(inTime)
	slices.SortStableFunc(f.order, func(a, b int) int {
		return n.jobs[list[a].Spec.UID].submittedAt.Compare(n.jobs[list[b].Spec.UID].submittedAt)
	})
	f.give(1)
	return f.first
}

// floorFilling shares out what a team's classes have less than the plan leaves them.
type floorFilling struct {
	list  []jobstate.Demand
	first []int              // of each demand, how many tasks go first
	lacks map[string]float64 // by class, the CPUs that it still lacks
	order []int              // of the demands that get any
}

// orderByReach orders demands by when they must start to be in time, those that cannot be last.
func (f *floorFilling) orderByReach(n *Node, now time.Time) {
	type reach struct {
		late bool
		by   time.Time
	}
	reaches := make([]reach, len(f.list))
	for _, i := range f.order {
		spec := f.list[i].Spec
		goal, late := n.goal(n.jobs[spec.UID], now)
		reaches[i] = reach{late, goal.Add(-spec.RunTime())}
	}
	slices.SortStableFunc(f.order, func(a, b int) int {
		x, y := reaches[a], reaches[b]
		if x.late != y.late {
			return falseFirst(x.late)
		}
		return x.by.Compare(y.by)
	})
}

// give gives a part of what each class lacks to its demands in their order.
func (f *floorFilling) give(part float64) {
	most := map[string]float64{}
	for class, cpus := range f.lacks {
		most[class] = cpus * part
	}
	for _, i := range f.order {
		d := &f.list[i]
		count := min(d.Count-f.first[i], int(most[d.Spec.Class]/d.Spec.CPUs+1e-9))
		if d.Spec.Kind == protocol.Gang && count < d.Count || count <= 0 {
			continue // a gang is placed whole or not at all
		}
		f.first[i] += count
		cpus := float64(count) * d.Spec.CPUs
		most[d.Spec.Class] -= cpus
		f.lacks[d.Spec.Class] -= cpus
	}
}

// keepsFloor says whether a task of a job may not be stopped for others, since its class
// would have less than the plan leaves it.
func (n *Node) keepsFloor(s *protocol.Submission) bool {
	floor := n.admission.known.Acts().Floor(keyOf(s))
	return floor > 0 && n.admission.runs[keyOf(s)]-s.CPUs < floor
}

// planWord is what this controller tells of plans.
func (n *Node) planWord() admission.Word {
	w := admission.Word{Seen: n.admission.known.Seen()}
	if n.admission.maker != nil && n.shards.OwnsFleet() {
		w.Force, w.Next = n.admission.maker.Word()
	}
	return w
}

// onPlan takes in what a peer tells of plans.
func (n *Node) onPlan(node string, incarnation uint64, p *peerState, w *admission.Word) {
	p.admissionPlan = w.Seen
	if n.record == nil {
		return
	}
	if fleet := n.record.Shards[leadership.FleetShard]; fleet.Owner == node && n.record.Nodes[node] == incarnation {
		before := n.admission.known.Acts()
		n.admission.known.Hear(fleet.SinceTerm, *w)
		n.tellPlan(before)
	}
}

// tellPlan logs a plan that came into force here.
func (n *Node) tellPlan(before *admission.Plan) {
	now := n.admission.known.Acts()
	if now == before || before != nil && now.Same(before) || before == nil && now.Same(&admission.Plan{}) {
		return
	}
	n.log.Info("plan in force", "since", now.Since, "number", now.Number, "floors", now.Floors, "machines_held", held(now))
	n.wake()
}

// held counts the machines that a plan holds, by class.
func held(p *admission.Plan) map[string]int {
	count := map[string]int{}
	for _, class := range p.Reserved {
		count[class]++
	}
	return count
}

// backlogOver is the time in which a backlog is worked off at the least, so that what waits
// when nothing comes any more goes on.
const backlogOver = 10 * time.Minute

// makePlan has the fleet's owner make the plans, from every machine's view and from what
// all owners say waits.
func (n *Node) makePlan(machines []autoscaler.Machine, demands []autoscaler.Demand, now time.Time) {
	fleet := n.record.Shards[leadership.FleetShard]
	if n.admission.maker == nil || n.admission.maker.Since() != fleet.SinceTerm {
		n.admission.maker = admission.NewMaker(fleet.SinceTerm, &n.admission.known)
	}
	inputs := n.planInputs(machines, demands, now)
	before := n.admission.known.Acts()
	n.admission.maker.Step(now, inputs, n.plansHeard())
	force, next := n.admission.maker.Word()
	n.admission.known.Hear(fleet.SinceTerm, admission.Word{Force: force, Next: next})
	n.tellPlan(before)
	if next != nil {
		n.requestStatus()
	}
}

// plansHeard is the latest plan that each other member has heard of.
func (n *Node) plansHeard() map[string]admission.ID {
	members := map[string]admission.ID{}
	for name := range n.record.Nodes {
		if p := n.peers[name]; p != nil {
			members[name] = p.admissionPlan
		}
	}
	return members
}

// planInputs is what a plan is made from.
func (n *Node) planInputs(machines []autoscaler.Machine, demands []autoscaler.Demand, now time.Time) *admission.Inputs {
	in := &admission.Inputs{Teams: n.guarantees(), Weights: n.admission.weights}
	needs := needsByKey{}
	needs.addWaiting(demands)
	for i := range machines {
		m := n.machines[machines[i].Name]
		if m == nil || m.status == nil || m.gone {
			continue
		}
		n.addHeld(needs, m)
		if planned, ok := n.plannedMachine(&machines[i], m, now); ok {
			in.Machines = append(in.Machines, planned)
		}
	}
	n.setRates(needs, demands, now)
	for _, k := range slices.SortedFunc(maps.Keys(needs), admission.Key.Compare) {
		in.Needs = append(in.Needs, *needs[k])
	}
	return in
}

// guarantees is what each team is guaranteed, and its limit if it has one.
func (n *Node) guarantees() map[string]admission.Guarantee {
	teams := map[string]admission.Guarantee{}
	for _, t := range n.teams() {
		g := admission.Guarantee{CPUs: t.CPUs}
		if !math.IsInf(t.CPUsMax, 1) {
			g.Most = t.CPUsMax
		}
		teams[t.Name] = g
	}
	return teams
}

// needsByKey is what teams' classes need.
type needsByKey map[admission.Key]*admission.Need

// of finds or makes the need of a job's team and class.
func (needs needsByKey) of(s *protocol.Submission) *admission.Need {
	k := keyOf(s)
	if needs[k] == nil {
		needs[k] = &admission.Need{Key: k}
	}
	return needs[k]
}

// addWaiting adds what waits.
func (needs needsByKey) addWaiting(demands []autoscaler.Demand) {
	for i := range demands {
		d := &demands[i]
		need := needs.of(d.Spec)
		need.Waiting += waitingCPUs(d)
		need.Rank = protocol.Rank(d.Spec.Priority)
		need.Each = max(need.Each, d.Spec.CPUs)
		need.Memory = max(need.Memory, d.Spec.MemoryGB)
	}
}

// waitingCPUs is how many CPUs a demand asks for, with those beyond its team's quota.
func waitingCPUs(d *autoscaler.Demand) float64 { return float64(d.Count)*d.Spec.CPUs + d.Beyond }

// addHeld adds what the tasks on a machine hold.
func (n *Node) addHeld(needs needsByKey, m *machine) {
	for _, t := range m.status.Tasks {
		if j := n.jobs[t.Job]; j != nil && t.State != protocol.Exited {
			needs.of(j.spec).Held += j.spec.CPUs
		}
	}
}

// plannedMachine describes a machine for a plan, if the plan may count on it.
func (n *Node) plannedMachine(m *autoscaler.Machine, known *machine, now time.Time) (planned admission.Machine, ok bool) {
	cpus, _, memory, ok := n.capacity(m.Type)
	if !ok || m.SpotNotice || m.Faulty || n.drainingMachines[m.Name] || now.Sub(known.lastHeard()) > n.redirectTimeout() {
		return planned, false
	}
	left := 0.0
	for _, s := range m.Slots {
		left = max(left, s.Left)
	}
	return admission.Machine{Name: m.Name, CPUs: cpus, Memory: memory, Free: m.CPUs, Left: left}, true
}

// setRates sets what keeps each need up: as it came of late. What waits counts little, or a
// class that floods would have its floor raised by all that nobody could serve.
func (n *Node) setRates(needs needsByKey, demands []autoscaler.Demand, now time.Time) {
	backlog, oldest := map[admission.Key]float64{}, map[*admission.Need]time.Duration{}
	for i := range demands {
		d := &demands[i]
		backlog[keyOf(d.Spec)] += waitingCPUs(d) * d.Spec.EstimateSeconds
	}
	for _, j := range n.jobs {
		need, age := needs[keyOf(j.spec)], now.Sub(j.submittedAt)
		if need != nil && j.spec.Kind != protocol.Service && age < inflowOver {
			need.Rate += float64(j.spec.Tasks) * j.spec.CPUs * j.spec.EstimateSeconds
			oldest[need] = max(oldest[need], age)
		}
	}
	for k, need := range needs {
		over := min(max(oldest[need], inflowOver/3), inflowOver) // of a class that has just begun to come
		need.Rate = max(need.Rate/over.Seconds(), backlog[k]/backlogOver.Seconds())
	}
}

// book counts something for a job's team and class, if this controller owns the team.
func (n *Node) book(s *protocol.Submission, now time.Time, what func(*admission.Count)) {
	if n.shards.OfTeam(s.Team) != nil {
		n.admission.served.Book(keyOf(s), now, what)
	}
}

func (n *Node) started(s *protocol.Submission, now time.Time) {
	n.book(s, now, func(c *admission.Count) { c.Started++ })
}

// ranOut counts a job that is done.
func (n *Node) ranOut(s *protocol.Submission, now time.Time) {
	j := n.jobs[s.UID]
	n.book(s, now, func(c *admission.Count) {
		if c.Done++; j != nil && !j.countedLate && !n.missed(j, now) {
			c.InTime++
		} else if j != nil && !j.countedLate {
			c.Late++
		}
	})
}

// missed says whether a job's first goal has passed.
func (n *Node) missed(j *job, now time.Time) bool {
	goals := n.goals(j)
	return len(goals) > 0 && now.After(goals[0])
}

// countLate counts the own jobs that have missed their first goal, and logs who is served
// badly.
func (n *Node) countLate(now time.Time) {
	if now.Sub(n.admission.looked) < 2*time.Second {
		return
	}
	n.admission.looked = now
	for shard := range n.shards.All() {
		if shard.IsFleet() {
			continue
		}
		shard.Team().Jobs(func(tj *jobstate.Job) {
			if j := n.jobs[tj.Spec.UID]; j != nil && j.active && !j.countedLate && n.missed(j, now) {
				j.countedLate = true
				n.book(j.spec, now, func(c *admission.Count) { c.Late++ })
			}
		})
	}
	counts := map[admission.Key]admission.Count{}
	for _, k := range n.admission.served.Short(now) {
		if len(counts) == 0 {
			counts = n.admission.served.Counts(now)
		}
		c := counts[k]
		n.log.Info("less than half is served in time", "team", k.Team, "class", k.Class, "in_time", c.InTime, "late", c.Late, "started", c.Started,
			"floor", n.admission.known.Acts().Floor(k))
	}
}

// admissionStatus sums up admission for operators.
func (n *Node) admissionStatus(now time.Time) admission.Status {
	wait, _ := n.kvStore.UrgentDelay()
	st := admission.Status{Refused: n.admission.door.Waiting(), Pressure: wait.Seconds()}
	plan := n.admission.known.Acts()
	if plan != nil {
		st.Plan, st.Floors, st.Reserved = plan.ID, plan.Floors, held(plan)
	}
	keys := map[admission.Key]*admission.KeyStatus{}
	of := func(k admission.Key) *admission.KeyStatus {
		if keys[k] == nil {
			keys[k] = &admission.KeyStatus{Key: k, Share: 1, Floor: plan.Floor(k)}
		}
		return keys[k]
	}
	for k, c := range n.admission.served.Counts(now) {
		x := of(k)
		x.Count, x.Share = c, c.Share()
	}
	for shard := range n.shards.All() {
		team, ok := shards.TeamOf(shard.Name())
		if !ok || !shard.IsReady() {
			continue
		}
		for class, cpus := range shard.Team().HeldBy() {
			of(admission.Key{Team: team, Class: class}).Held = cpus
		}
		for _, d := range shard.Team().Demands(now) {
			x := of(keyOf(d.Spec))
			x.Waiting += d.Count + int(d.Beyond/max(d.Spec.CPUs, 1e-9)+0.5)
			if j := n.jobs[d.Spec.UID]; j != nil {
				x.Oldest = max(x.Oldest, now.Sub(j.submittedAt).Seconds())
			}
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(keys), admission.Key.Compare) {
		st.Keys = append(st.Keys, *keys[k])
	}
	return st
}
