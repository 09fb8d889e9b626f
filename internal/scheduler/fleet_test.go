package scheduler

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// randomFleet is a cluster with random jobs, machines and changes. Two fleets with the same seed stay equal as long as
// their schedulers decide the same.
type randomFleet struct {
	*cluster
	random      *rand.Rand
	term        uint64
	statuses    map[string]*jobstate.MachineStatus
	heardAt     map[string]time.Time // by machine
	draining    map[string]bool
	demands     []Demand // of peers
	placed      map[jobstate.AttemptRef]bool
	victims     map[jobstate.AttemptRef]bool
	jobsAdded   int
	machinesNew int
}

// freshFor is how long a machine of a randomFleet accepts tasks after it was heard.
const freshFor = 8 * time.Second

func newRandomFleet(t *testing.T, seed uint64) *randomFleet {
	f := &randomFleet{
		cluster:  newCluster(t, 0, 3),
		random:   rand.New(rand.NewPCG(seed, 11)),
		term:     1,
		statuses: map[string]*jobstate.MachineStatus{},
		heardAt:  map[string]time.Time{},
		draining: map[string]bool{},
		placed:   map[jobstate.AttemptRef]bool{},
		victims:  map[jobstate.AttemptRef]bool{},
	}
	f.scheduler.config.Random = rand.New(rand.NewPCG(seed, 12))
	f.scheduler.SetMachineTypes([]protocol.MachineType{
		{Name: "m32", CPUs: 32, MemoryGB: 256, PricePerHour: 2, SpotPricePerHour: 0.5, FetchGBPerSecond: 0.25, Zones: f.settings.Zones},
		{Name: "g16", CPUs: 16, GPUs: 4, MemoryGB: 64, PricePerHour: 4, SpotPricePerHour: 1, FetchGBPerSecond: 0.5, Zones: f.settings.Zones},
	})
	for i, team := range f.teams {
		limits := team.Quota().Limits()
		limits.Guaranteed = jobstate.Resources{CPUs: float64(128 * i), GPUs: float64(4 * i)}
		limits.Max = jobstate.Resources{CPUs: 2000, GPUs: 64}
		team.Quota().SetLimits(limits)
	}
	for range 90 { // more than maxSingleUpdates
		f.addMachine()
	}
	return f
}

func (f *randomFleet) addMachine() {
	f.machinesNew++
	name := fmt.Sprintf("n-%06d", f.machinesNew)
	f.machines = append(f.machines, name)
	f.statuses[name] = &jobstate.MachineStatus{Machine: name, Type: []string{"m32", "m32", "g16", "unknown"}[f.random.IntN(20)/6],
		Zone: f.settings.Zones[f.random.IntN(2)], Spot: f.random.IntN(4) > 0, Incarnation: 1, Term: f.term}
	f.report(name, func(*jobstate.MachineStatus) {})
}

// report applies a changed status of a machine.
func (f *randomFleet) report(name string, change func(*jobstate.MachineStatus)) {
	status := *f.statuses[name]
	status.Seq++
	status.Term = f.term
	change(&status)
	f.statuses[name], f.heardAt[name] = &status, f.now
	f.scheduler.ObserveMachine(&status, f, f.now)
	for _, team := range f.teams {
		team.Observe(&status, f.now, teamDirectory{f, team})
	}
}

// teamDirectory implements jobstate.JobDirectory.
type teamDirectory struct {
	fleet *randomFleet
	team  *jobstate.Team
}

func (d teamDirectory) Job(uid string) jobstate.JobInfo {
	j := d.fleet.jobs[uid]
	if j == nil {
		return jobstate.JobInfo{}
	}
	return jobstate.JobInfo{Known: true, OwnTeam: d.team.Job(uid) != nil, Active: j.Active, Spec: j.Spec}
}

func (d teamDirectory) UnknownSizeBound(*jobstate.MachineStatus) (cpus, gpus float64) { return 0, 0 }

// reportTasks reports the placed tasks of a machine: some of them end, as do all victims of evictions.
func (f *randomFleet) reportTasks(name string) {
	f.report(name, func(status *jobstate.MachineStatus) {
		exited := map[jobstate.AttemptRef]bool{}
		for _, t := range status.Tasks {
			exited[t.Ref()] = t.State == protocol.Exited
		}
		status.Tasks, status.Notice = nil, false
		tasks := f.runningOn(name)
		slices.SortFunc(tasks, func(a, b jobstate.TaskStatus) int {
			return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
		})
		for _, t := range tasks {
			switch {
			case exited[t.Ref()]:
				continue
			case f.victims[t.Ref()]:
				t.State, t.Reason = protocol.Exited, protocol.ReasonStopped
			case f.random.IntN(6) == 0:
				t.State, t.Reason = protocol.Exited, protocol.ReasonDone
			case f.random.IntN(4) == 0:
				t.State = protocol.Pulling
			}
			status.Tasks = append(status.Tasks, t)
		}
	})
}

func (f *randomFleet) pick() string { return f.machines[f.random.IntN(len(f.machines))] }

// change applies a random change.
func (f *randomFleet) change() {
	switch f.random.IntN(24) {
	case 0, 1, 2:
		f.addJob()
	case 3:
		f.addMachine()
	case 4:
		if len(f.machines) > 80 {
			f.removeMachine(f.pick())
		}
	case 5:
		f.report(f.pick(), func(status *jobstate.MachineStatus) { status.Notice = true })
	case 6:
		if name := f.pick(); f.random.IntN(2) == 0 {
			f.draining[name] = true
		} else {
			clear(f.draining)
		}
	case 7:
		f.setPlan()
	case 8:
		f.setPeerDemands()
	case 9:
		if f.random.IntN(8) == 0 {
			f.term++
			for _, name := range f.machines[:f.random.IntN(len(f.machines))] {
				f.report(name, func(*jobstate.MachineStatus) {})
			}
		}
	case 10:
		f.scheduler.InvalidateMachines(slices.Values([]string{f.pick()}))
	case 11:
		if f.random.IntN(4) == 0 {
			f.endJob()
		}
	case 12, 13:
		for range 4 {
			f.heardAt[f.pick()] = f.now // a heartbeat without changes
		}
	default:
		f.reportTasks(f.pick())
	}
}

func (f *randomFleet) addJob() {
	f.jobsAdded++
	spec := protocol.Submission{
		UID:             fmt.Sprintf("job-%06d", f.jobsAdded),
		Class:           []string{"", "small", "large"}[f.random.IntN(3)],
		Kind:            []protocol.JobKind{protocol.JobArray, protocol.JobArray, protocol.Gang, protocol.Service}[f.random.IntN(4)],
		Priority:        []string{"low", "standard", "high"}[f.random.IntN(3)],
		Tasks:           1 + f.random.IntN(12),
		CPUs:            float64(int(1) << f.random.IntN(5)),
		MemoryGB:        float64(int(1) << f.random.IntN(6)),
		Image:           fmt.Sprint("img-", f.random.IntN(4)),
		ImageGB:         float64(f.random.IntN(8)),
		Spot:            f.random.IntN(4) > 0,
		EstimateSeconds: float64(int(8) << f.random.IntN(6)), // a power of two, so that sums of rates are exact
	}
	switch f.random.IntN(6) {
	case 0:
		spec.OneZone = true
	case 1:
		spec.Spread = true
	case 2:
		spec.Zone = &f.settings.Zones[f.random.IntN(2)]
	case 3:
		spec.Types = []string{"g16"}
		spec.GPUs = float64(f.random.IntN(3))
	case 4:
		deadline := float64(20 + f.random.IntN(200))
		spec.DeadlineSeconds = &deadline
	}
	f.submit(f.random.IntN(len(f.teams)), time.Duration(f.random.IntN(90))*time.Second, spec)
}

// endJob cancels a random job.
func (f *randomFleet) endJob() {
	uids := slices.Sorted(maps.Keys(f.jobs))
	if len(uids) == 0 {
		return
	}
	uid := uids[f.random.IntN(len(uids))]
	f.jobs[uid].Active = false
	for _, team := range f.teams {
		if job := team.Job(uid); job != nil {
			team.StopJob(job, 0)
			team.EndJob(uid)
		}
	}
}

func (f *randomFleet) removeMachine(name string) {
	f.machines = slices.DeleteFunc(f.machines, func(x string) bool { return x == name })
	f.scheduler.RemoveMachine(name)
	for _, team := range f.teams {
		team.MachineReturned(name)
	}
}

func (f *randomFleet) setPlan() {
	f.plan = nil
	if f.random.IntN(3) == 0 {
		return
	}
	reserved := map[string]string{}
	for range f.random.IntN(12) {
		reserved[f.pick()] = []string{"small", "large"}[f.random.IntN(2)]
	}
	f.plan = &admission.Plan{ID: admission.ID{SinceTerm: 1, Number: 1}, Reserved: reserved}
}

func (f *randomFleet) setPeerDemands() {
	f.demands = nil
	uids := slices.Sorted(maps.Keys(f.jobs))
	for range f.random.IntN(3) {
		if len(uids) > 0 {
			f.demands = append(f.demands, Demand{Job: uids[f.random.IntN(len(uids))], Count: 1 + f.random.IntN(4)})
		}
	}
}

func (f *randomFleet) PeerDemands(time.Time) iter.Seq[Demand] { return slices.Values(f.demands) }

// acceptsNow reports whether a machine accepts tasks.
func (f *randomFleet) acceptsNow(status *jobstate.MachineStatus) bool {
	return status.Term == f.term && !status.Notice && !f.draining[status.Machine] && f.now.Sub(f.heardAt[status.Machine]) <= freshFor
}

// passWithDecisions runs a pass and describes what it decided.
func (f *randomFleet) passWithDecisions() (decisions []string) {
	f.now = f.now.Add(time.Duration(f.random.IntN(400)) * time.Millisecond)
	for _, team := range f.teams {
		team.Quota().UpdateGangReservation(f.now)
	}
	result := f.scheduler.Pass(f, f.now)
	for _, e := range result.Evictions {
		f.victims[e.Victim] = true
		decisions = append(decisions, fmt.Sprintf("evict %v for %s", e.Victim.TaskID, e.For))
	}
	for _, team := range f.teams {
		for _, a := range team.Replica().Assignments {
			if !f.placed[a.Ref()] {
				f.placed[a.Ref()] = true
				decisions = append(decisions, fmt.Sprintf("place %v on %s", a.TaskID, a.Machine))
			}
		}
	}
	slices.Sort(decisions)
	return append(decisions, fmt.Sprintf("queued %v unplaced %v random %d", result.Queued, result.Unplaced, f.scheduler.config.Random.IntN(1<<30)))
}
