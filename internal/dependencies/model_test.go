package dependencies

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/jobstate"
)

// model is a plain reference for Graph. It keeps the sets of active jobs and recorded outcomes and what was learned of
// each job, and derives everything else from scratch after each event.
type model struct {
	jobs     []Job // each needs only earlier ones
	index    map[string]int
	active   map[string]bool
	recorded map[string]Outcome // as the state service has them

	known     map[string]Outcome // outcomes of jobs that are not active, as looked up last
	started   map[string]bool
	cancelled map[string]bool // with another job
}

func newModel(jobs []Job) *model {
	m := &model{jobs: jobs, index: map[string]int{}, active: map[string]bool{}, recorded: map[string]Outcome{},
		known: map[string]Outcome{}, started: map[string]bool{}, cancelled: map[string]bool{}}
	for i, job := range jobs {
		m.index[job.UID] = i
	}
	return m
}

// ActiveJob implements Jobs.
func (m *model) ActiveJob(uid string) (Job, bool) { return m.job(uid), m.active[uid] }

// Outcome implements Jobs.
func (m *model) Outcome(uid string) Outcome { return m.recorded[uid] }

func (m *model) job(uid string) Job { return m.jobs[m.index[uid]] }

// activeJobs lists the active jobs, each after those that it needs.
func (m *model) activeJobs() (list []Job) {
	for _, job := range m.jobs {
		if m.active[job.UID] {
			list = append(list, job)
		}
	}
	return list
}

// tracked returns the active jobs with dependencies, and the dependencies.
func (m *model) tracked() map[string]bool {
	tracked := map[string]bool{}
	for _, job := range m.activeJobs() {
		for _, uid := range job.Dependencies {
			tracked[job.UID], tracked[uid] = true, true
		}
	}
	return tracked
}

// dependents lists the active jobs that need a job.
func (m *model) dependents(uid string) (list []string) {
	for _, job := range m.activeJobs() {
		if slices.Contains(job.Dependencies, uid) {
			list = append(list, job.UID)
		}
	}
	slices.Sort(list)
	return list
}

// track records that a job is active. The outcomes of its dependencies are looked up unless they are tracked already.
func (m *model) track(uid string) {
	if m.active[uid] {
		return
	}
	before := m.tracked()
	m.active[uid] = true
	delete(m.known, uid)
	for _, d := range m.job(uid).Dependencies {
		if !before[d] && !m.active[d] {
			m.known[d] = m.recorded[d]
		}
	}
	m.derive()
}

// end records that a job is no longer active.
func (m *model) end(uid string) {
	if m.active[uid] {
		m.active[uid] = false
		m.known[uid] = m.recorded[uid]
		m.derive()
	}
}

// settle looks up all outcomes.
func (m *model) settle() {
	for uid := range m.tracked() {
		if !m.active[uid] {
			m.known[uid] = m.recorded[uid]
		}
	}
	m.derive()
}

// start records that tasks of a job were started.
func (m *model) start(uid string) {
	if m.active[uid] && len(m.job(uid).Dependencies) > 0 && !m.cancelled[uid] {
		m.started[uid] = true
	}
}

// derive forgets the jobs that are no longer needed and finds those that are cancelled with others.
func (m *model) derive() {
	tracked := m.tracked()
	unneeded := func(uid string, _ bool) bool { return !tracked[uid] }
	maps.DeleteFunc(m.started, unneeded)
	maps.DeleteFunc(m.cancelled, unneeded)
	maps.DeleteFunc(m.known, func(uid string, _ Outcome) bool { return !tracked[uid] })
	for uid, outcome := range m.known {
		if outcome == Done {
			delete(m.cancelled, uid)
		}
	}
	for _, job := range m.activeJobs() {
		isCancelled := func(uid string) bool { return m.cancelled[uid] || m.known[uid] == Cancelled }
		if !m.started[job.UID] && slices.ContainsFunc(job.Dependencies, isCancelled) {
			m.cancelled[job.UID] = true
		}
	}
}

func (m *model) state(uid string) State {
	notDone := func(uid string) bool { return m.active[uid] || m.known[uid] != Done }
	switch {
	case m.started[uid]:
		return Ready
	case m.cancelled[uid]:
		return CancelledWith
	case slices.ContainsFunc(m.job(uid).Dependencies, notDone):
		return Waiting
	}
	return Ready
}

// unsettled lists the tracked jobs whose end is not known although they are not active.
func (m *model) unsettled() (list []string) {
	for uid := range m.tracked() {
		if !m.active[uid] && m.known[uid] == Unknown {
			list = append(list, uid)
		}
	}
	slices.Sort(list)
	return list
}

// before returns the jobs that a job needs, directly or through active ones.
func (m *model) before(uid string) map[string]bool {
	needed := map[string]bool{}
	for i := m.index[uid]; i >= 0; i-- {
		if job := m.jobs[i]; m.active[job.UID] && (job.UID == uid || needed[job.UID]) {
			for _, d := range job.Dependencies {
				needed[d] = true
			}
		}
	}
	return needed
}

// urgencies derives the urgency of each active job: for each job it finds all jobs that need it and are not cancelled,
// the longest time that they and those in between take, and of all their deadlines the earliest.
func (m *model) urgencies() map[string]Urgency {
	longest := map[string]map[string]time.Duration{} // by the needed job and the job that needs it
	urgencies := map[string]Urgency{}
	for i := len(m.jobs) - 1; i >= 0; i-- {
		uid := m.jobs[i].UID
		if !m.active[uid] {
			continue
		}
		longest[uid] = map[string]time.Duration{uid: 0}
		for _, d := range m.dependents(uid) {
			if m.cancelled[d] {
				continue
			}
			for last, duration := range longest[d] {
				longest[uid][last] = max(longest[uid][last], duration+m.job(d).Duration)
			}
		}
		urgencies[uid] = m.mostUrgent(longest[uid])
	}
	return urgencies
}

// mostUrgent returns the highest priority and the earliest deadline of some jobs, less the given reserves.
func (m *model) mostUrgent(reserves map[string]time.Duration) (u Urgency) {
	var deadlines []jobstate.Deadline
	for uid, reserve := range reserves {
		own := m.job(uid).Urgency
		u.Rank = max(u.Rank, own.Rank)
		if own.Deadline != nil {
			deadline := *own.Deadline
			deadline.Reserve = reserve
			deadlines = append(deadlines, deadline)
		}
	}
	slices.SortFunc(deadlines, func(a, b jobstate.Deadline) int {
		return cmp.Or(
			a.SubmittedAt.Add(a.Allowed-a.Reserve).Compare(b.SubmittedAt.Add(b.Allowed-b.Reserve)),
			a.SubmittedAt.Compare(b.SubmittedAt), cmp.Compare(a.Reserve, b.Reserve), cmp.Compare(a.Class, b.Class))
	})
	if len(deadlines) > 0 {
		u.Deadline = &deadlines[0]
	}
	return u
}

// modelRun applies random events to a Graph and to the model.
type modelRun struct {
	t      *testing.T
	random *rand.Rand
	model  *model
	graph  *Graph
	events []string
	taken  map[string]string // state and urgency of each active job as taken last
	fixed  map[string]State  // active jobs that are ready or cancelled, which is never taken back
	counts map[string]int    // how often each kind of event and state occurred
}

// fail reports a difference with the events that led to it.
func (r *modelRun) fail(format string, args ...any) {
	r.t.Helper()
	r.t.Fatalf("%s\nafter %d events: %v\njobs: %+v", fmt.Sprintf(format, args...), len(r.events), r.events, r.model.jobs)
}

// event applies an event to a random job.
func (r *modelRun) event() {
	uid := r.model.jobs[r.random.IntN(len(r.model.jobs))].UID
	active, recorded := r.model.active[uid], r.model.recorded[uid]
	switch kind := r.random.IntN(12); {
	case kind < 4 && (active || recorded == Unknown):
		r.apply("track", uid)
	case kind < 6 && recorded == Unknown:
		r.record(uid)
		if r.random.IntN(3) > 0 {
			r.apply("end", uid) // otherwise it comes late
		}
	case kind == 6 && (recorded != Unknown || r.random.IntN(3) == 0):
		r.apply("end", uid)
	case kind == 7 && r.random.IntN(4) == 0:
		r.apply("start", uid)
	case kind >= 9:
		r.apply("settle", "")
		r.compare()
	}
}

// record records the outcome of a job.
func (r *modelRun) record(uid string) {
	outcome := Done
	if r.random.IntN(6) == 0 {
		outcome = Cancelled
	}
	r.model.recorded[uid] = outcome
	r.events = append(r.events, fmt.Sprint("record ", uid, " ", outcome))
	r.counts["record"]++
}

// apply applies an event to the graph and the model.
func (r *modelRun) apply(kind, uid string) {
	r.events = append(r.events, kind+" "+uid)
	r.counts[kind]++
	switch kind {
	case "track":
		known := r.model.active[uid]
		r.model.track(uid)
		r.graph.Track(r.model.job(uid))
		if !known {
			r.taken[uid] = r.describe(uid) // whoever learns of an active job reads its state
		}
	case "end":
		r.model.end(uid)
		r.graph.Ended(uid)
		delete(r.taken, uid)
		delete(r.fixed, uid)
	case "start":
		r.model.start(uid)
		r.graph.Started(uid)
	case "settle":
		r.model.settle()
		r.graph.Settle()
	}
	r.checkFixed()
}

// describe returns an active job's state and urgency according to the graph.
func (r *modelRun) describe(uid string) string {
	urgency, tracked := r.graph.Urgency(uid)
	if !tracked {
		urgency = r.model.job(uid).Urgency
	}
	return fmt.Sprint(r.graph.State(uid), describeUrgency(urgency))
}

func describeUrgency(u Urgency) string {
	if u.Deadline == nil {
		return fmt.Sprintf("{rank %d}", u.Rank)
	}
	return fmt.Sprintf("{rank %d, deadline %+v}", u.Rank, *u.Deadline)
}

// checkFixed checks that no job that was ready waits again, that none that was cancelled with another is ready again,
// and that none is ready before everything that it needs is done.
func (r *modelRun) checkFixed() {
	r.t.Helper()
	for _, job := range r.model.activeJobs() {
		state := r.graph.State(job.UID)
		if before, fixed := r.fixed[job.UID]; fixed && state != before {
			r.fail("job %s: state %d, after state %d", job.UID, state, before)
		}
		if state != Waiting {
			r.fixed[job.UID] = state
		}
		for _, d := range job.Dependencies {
			if state == Ready && !r.model.started[job.UID] && r.model.recorded[d] != Done {
				r.fail("job %s is ready, but %s that it needs is not done", job.UID, d)
			}
		}
	}
}

// compare compares all that the graph derives with the model.
func (r *modelRun) compare() {
	r.t.Helper()
	tracked := r.model.tracked()
	if got, want := slices.Sorted(maps.Keys(r.graph.nodes)), slices.Sorted(maps.Keys(tracked)); !slices.Equal(got, want) {
		r.fail("tracked jobs %v, want %v", got, want)
	}
	unsettled := r.model.unsettled()
	if got := r.graph.Unsettled(); !slices.Equal(got, unsettled) {
		r.fail("unsettled jobs %v, want %v", got, unsettled)
	}
	for uid := range tracked {
		if got, want := r.graph.Dependents(uid), r.model.dependents(uid); !slices.Equal(got, want) {
			r.fail("dependents of %s: %v, want %v", uid, got, want)
		}
	}
	urgencies := r.model.urgencies()
	for _, job := range r.model.activeJobs() {
		r.compareJob(job.UID, tracked[job.UID], urgencies[job.UID])
		before := r.model.before(job.UID)
		want := slices.DeleteFunc(slices.Clone(unsettled), func(uid string) bool { return !before[uid] })
		if got := slices.Sorted(slices.Values(r.graph.UnsettledBefore(job.UID))); !slices.Equal(got, want) {
			r.fail("job %s: needs the unsettled jobs %v, want %v", job.UID, got, want)
		}
	}
	if r.random.IntN(2) == 0 {
		r.takeChanged()
	}
}

// compareJob compares an active job's state and urgency with the model.
func (r *modelRun) compareJob(uid string, tracked bool, want Urgency) {
	r.t.Helper()
	state := r.model.state(uid)
	r.counts[fmt.Sprint("state ", state)]++
	if got := r.graph.State(uid); got != state {
		r.fail("job %s: state %d, want %d", uid, got, state)
	}
	got, known := r.graph.Urgency(uid)
	if known != tracked {
		r.fail("job %s: urgency known is %v, want %v", uid, known, tracked)
	}
	if known && describeUrgency(got) != describeUrgency(want) {
		r.fail("job %s: urgency %s, want %s", uid, describeUrgency(got), describeUrgency(want))
	}
}

// takeChanged checks that every active job whose state or urgency has changed is listed.
func (r *modelRun) takeChanged() {
	r.t.Helper()
	changed := r.graph.TakeChanged()
	for _, job := range r.model.activeJobs() {
		now := r.describe(job.UID)
		if r.taken[job.UID] != now && !slices.Contains(changed, job.UID) {
			r.fail("job %s changed from %s to %s, but only %v are listed as changed", job.UID, r.taken[job.UID], now, changed)
		}
		r.taken[job.UID] = now
	}
	if again := r.graph.TakeChanged(); len(again) > 0 {
		r.fail("the changed jobs %v are listed twice", again)
	}
}

// endAll ends all jobs in a random order and checks that nothing is left of them.
func (r *modelRun) endAll() {
	r.t.Helper()
	for _, i := range r.random.Perm(len(r.model.jobs)) {
		r.apply("end", r.model.jobs[i].UID)
	}
	if len(r.graph.nodes)+len(r.graph.unsettled) > 0 {
		r.fail("%d nodes and %d unsettled jobs are left of ended jobs", len(r.graph.nodes), len(r.graph.unsettled))
	}
}

// randomJobs returns jobs of a random shape. Priorities, deadlines and durations have few values, so that many are
// equal.
func randomJobs(random *rand.Rand) []Job {
	count := 2 + random.IntN(10)
	if random.IntN(8) == 0 {
		count = 2 + random.IntN(59)
	}
	shape, width := random.IntN(5), 1+random.IntN(4)
	jobs := make([]Job, count)
	for i := range jobs {
		jobs[i] = Job{UID: fmt.Sprintf("job-%02d", i), Duration: time.Duration(random.IntN(4)) * time.Second}
		for d := range i {
			if needs(random, shape, width, i, d) {
				jobs[i].Dependencies = append(jobs[i].Dependencies, jobs[d].UID)
			}
		}
		jobs[i].Urgency.Rank = random.IntN(4)
		if random.IntN(2) == 0 {
			jobs[i].Urgency.Deadline = &jobstate.Deadline{SubmittedAt: time.Unix(int64(random.IntN(3)), 0),
				Allowed: time.Duration(5+random.IntN(4)) * time.Second, Class: []string{"build", "train"}[random.IntN(2)]}
		}
	}
	return jobs
}

// needs returns whether job i of a graph of some shape needs job d, an earlier one.
func needs(random *rand.Rand, shape, width, i, d int) bool {
	switch shape {
	case 0: // a chain
		return d == i-1
	case 1: // a fan
		return d == 0
	case 2: // diamonds: all jobs of one layer need all of the layer before
		return d/width == i/width-1
	case 3: // several chains
		return d == i-width
	}
	return random.IntN(i+1) < 2
}

// modelSeeds is the number of seeds of TestModel, from 0.
const modelSeeds = 500

// TestModel compares Graph with the model over random graphs and events: doubled, late and lost ones, jobs that are
// known before those that they need, and jobs that become active again.
func TestModel(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(modelSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			m := newModel(randomJobs(random))
			r := &modelRun{t: t, random: random, model: m, graph: New(m), taken: map[string]string{}, fixed: map[string]State{}, counts: counts}
			for range 20 + 6*len(m.jobs) {
				r.event()
			}
			r.endAll()
		})
	}
	for _, kind := range []string{"track", "record", "end", "start", "settle", "state 0", "state 1", "state 2"} {
		if counts[kind] == 0 {
			t.Errorf("no %s in any run", kind)
		}
	}
	t.Logf("%d seeds: %v", modelSeeds, counts)
}
