package scheduler

import (
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
	"topazhollow/internal/settings"
)

// testTeam is an own team that prioritizes only the first tasks of large arrays.
type testTeam struct{ *jobstate.Team }

func (testTeam) PrioritizedTasks(demands []jobstate.Demand, _ time.Time) []int {
	prioritized := make([]int, len(demands))
	for i, d := range demands {
		if d.FirstTask {
			prioritized[i] = d.Count
		}
	}
	return prioritized
}

// cluster implements Snapshot for a deployment with two zones in which all machines accept tasks.
type cluster struct {
	t         *testing.T
	scheduler *Scheduler
	settings  settings.Deployment
	now       time.Time
	jobs      map[string]*Job
	teams     []*jobstate.Team
	plan      *admission.Plan
	machines  []string
}

// newCluster returns a cluster of machines with 32 CPUs, three out of four of them spot, and of teams with a large
// guarantee and limit.
func newCluster(t *testing.T, machines, teams int) *cluster {
	c := &cluster{t: t, now: time.Unix(10000, 0), jobs: map[string]*Job{}}
	c.settings.Zones = []string{"east", "west"}
	c.scheduler = New(Config{Deployment: &c.settings, Options: settings.DefaultOptions(), Random: rand.New(rand.NewPCG(3, 4))})
	c.scheduler.SetMachineTypes([]protocol.MachineType{{Name: "m32", CPUs: 32, MemoryGB: 256, PricePerHour: 2, SpotPricePerHour: 0.5, BootSeconds: 35,
		FetchGBPerSecond: 0.25, Zones: c.settings.Zones}})
	for i := range teams {
		name, log := fmt.Sprintf("team-%d", i), func(string, ...any) {}
		limits := jobstate.Limits{Guaranteed: jobstate.Resources{CPUs: 3500}, Max: jobstate.Resources{CPUs: 10000}}
		c.teams = append(c.teams, jobstate.NewTeam(name, limits, jobstate.NewReplica(), 1, log))
	}
	for i := range machines {
		c.machines = append(c.machines, fmt.Sprintf("n-%06d", i))
		c.observe(i)
	}
	return c
}

// observe reports a status with these tasks for a machine.
func (c *cluster) observe(machine int, tasks ...jobstate.TaskStatus) {
	status := &jobstate.MachineStatus{Machine: c.machines[machine], Type: "m32", Zone: c.settings.Zones[machine%2],
		Spot: machine%4 > 0, Incarnation: 1, Tasks: tasks}
	c.scheduler.ObserveMachine(status, c, c.now)
}

// submit adds a job to a team that was submitted age ago.
func (c *cluster) submit(team int, age time.Duration, spec protocol.Submission) {
	spec.Team = fmt.Sprintf("team-%d", team)
	j := &Job{Spec: &spec, SubmittedAt: c.now.Add(-age), Active: true}
	j.Objectives = ServiceLevels(c.settings.Objectives).CompletionTimes(j.Spec.Class, j.SubmittedAt, DeadlineOf(j.Spec, j.SubmittedAt))
	c.jobs[spec.UID] = j
	c.teams[team].AddJob(j.Spec, 1, j.SubmittedAt, nil)
	c.teams[team].Job(spec.UID).SetObjectives(j.Objectives)
}

// pass runs a scheduling pass.
func (c *cluster) pass() Result { return c.scheduler.Pass(c, c.now) }

// run advances the time in steps of half a second with a pass in each. Placed tasks run and never end. It returns the
// evicted tasks, each with the job that it was evicted for.
func (c *cluster) run(seconds int) (victims map[jobstate.AttemptRef]string) {
	victims = map[jobstate.AttemptRef]string{}
	for range 2 * seconds {
		c.now = c.now.Add(500 * time.Millisecond)
		for _, team := range c.teams {
			team.Quota().UpdateGangReservation(c.now)
		}
		for _, e := range c.pass().Evictions {
			victims[e.Victim] = e.For
		}
		for i, name := range c.machines {
			c.observe(i, c.runningOn(name)...)
		}
	}
	return victims
}

// runningOn returns the tasks that were placed on a machine, as running.
func (c *cluster) runningOn(machine string) (tasks []jobstate.TaskStatus) {
	c.AssignmentsOn(machine, func(a jobstate.Assignment) {
		tasks = append(tasks, jobstate.TaskStatus{TaskID: a.TaskID, Attempt: a.Attempt, State: protocol.Running})
	})
	return tasks
}

func (c *cluster) Job(uid string) (Job, bool) {
	if j := c.jobs[uid]; j != nil {
		return *j, true
	}
	return Job{}, false
}

func (c *cluster) AssignmentsOn(machine string, f func(jobstate.Assignment)) {
	for _, team := range c.teams {
		team.Assignments().On(machine, f)
	}
}

func (c *cluster) TakeChangedMachines() iter.Seq[string] {
	changed := map[string]bool{}
	for _, team := range c.teams {
		maps.Copy(changed, team.Assignments().TakeChangedMachines())
	}
	return maps.Keys(changed)
}

func (c *cluster) Teams() (teams []Team) {
	for _, team := range c.teams {
		teams = append(teams, testTeam{team})
	}
	return teams
}

func (c *cluster) PeerDemands(time.Time) iter.Seq[Demand] { return slices.Values([]Demand(nil)) }

func (c *cluster) AcceptingMachines(now time.Time) Acceptance {
	check := func(*jobstate.MachineStatus) (accepts bool, until time.Time) { return true, now.Add(time.Minute) }
	return Acceptance{Volatile: slices.Values([]string(nil)), Check: check}
}

func (c *cluster) Plan() *admission.Plan { return c.plan }
