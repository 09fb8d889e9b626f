package jobstate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// requestingJobs lists the jobs with demands within the quota, in the order of their first demand.
func requestingJobs(team *Team, now time.Time) []string {
	var requested []string
	for _, d := range team.Quota().Demands(now) {
		if d.Count > 0 && !slices.Contains(requested, d.Spec.UID) {
			requested = append(requested, d.Spec.UID)
		}
	}
	return requested
}

// TestQuotaGoesToAttainableObjectives checks the order in which jobs get quota that does not suffice for all: by
// priority, then started jobs with little left to start, jobs that can still reach an objective by latest start time,
// late jobs, and jobs without objectives.
func TestQuotaGoesToAttainableObjectives(t *testing.T) {
	now := time.Unix(1000, 0)
	team := NewTeam("team", Limits{Max: Resources{CPUs: 5, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	add := func(uid, priority string, due time.Duration, estimate float64) {
		team.AddJob(&protocol.Submission{UID: uid, Kind: protocol.JobArray, Priority: priority, Tasks: 2, CPUs: 1, EstimateSeconds: estimate}, 1, now, nil)
		if due != 0 {
			team.Job(uid).SetObjectives(Objectives{now.Add(due)})
		}
	}
	add("job-aimless", "standard", 0, 10)
	add("job-late", "standard", -time.Minute, 10)
	add("job-begun", "standard", -time.Hour, 10)
	started := team.Job("job-begun")
	if !team.Place(started, 0, Location{Machine: "m", Zone: "z", Incarnation: 1}) {
		t.Fatal("not placed")
	}
	add("job-long", "standard", 5*time.Minute, 270) // has a later objective, but must start earlier
	add("job-short", "standard", 2*time.Minute, 10)
	if requested := requestingJobs(team, now); !slices.Equal(requested, []string{"job-begun", "job-long", "job-short"}) {
		t.Fatalf("%v demand 4 CPUs of quota", requested)
	}
	add("job-urgent", "high", 0, 10)
	if requested := requestingJobs(team, now); !slices.Equal(requested, []string{"job-urgent", "job-begun", "job-long"}) {
		t.Errorf("%v demand 4 CPUs of quota together with an urgent job", requested)
	}
	team.Quota().SetLimits(Limits{Max: Resources{CPUs: 100, GPUs: math.Inf(1)}})
	if requested := requestingJobs(team, now); len(requested) != 6 {
		t.Errorf("%v demand quota that suffices for all", requested)
	}
}

// TestLargeStartedJobLeavesTheLimitToOthers checks that a started job that could use the whole limit for minutes has no
// precedence over jobs that can reach an objective, but precedes late jobs that have not started.
func TestLargeStartedJobLeavesTheLimitToOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	team := NewTeam("team", Limits{Max: Resources{CPUs: 8, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	add := func(uid string, tasks int, due time.Duration) {
		team.AddJob(&protocol.Submission{UID: uid, Kind: protocol.JobArray, Priority: "standard", Tasks: tasks, CPUs: 1, EstimateSeconds: 10}, 1, now, nil)
		team.Job(uid).SetObjectives(Objectives{now.Add(due)})
	}
	add("job-giant", 20, -time.Minute)
	if !team.Place(team.Job("job-giant"), 0, Location{Machine: "m", Zone: "z", Incarnation: 1}) {
		t.Fatal("not placed")
	}
	add("job-late", 20, -time.Minute)
	add("job-small", 3, 5*time.Minute)
	if requested := requestingJobs(team, now); !slices.Equal(requested, []string{"job-small", "job-giant"}) {
		t.Errorf("%v demand 7 CPUs of quota", requested)
	}
}

// TestLargeArraysStartTheirFirstTask checks that the first task of a large array that has waited long and can reach no
// objective is demanded ahead of others that fill the limit, and that this does not apply to an array that has started,
// was just submitted, is small, or can still reach an objective.
func TestLargeArraysStartTheirFirstTask(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		tasks   int
		age     time.Duration
		started bool
		want    int
	}{
		{"waited long", 40, firstTaskDelay + time.Second, false, 1},
		{"late", 40, firstTaskDelay + 2*time.Second, false, 1},
		{"can reach an objective", 40, firstTaskDelay + 3*time.Second, false, 0},
		{"just submitted", 40, time.Second, false, 0},
		{"small", firstTaskMinTasks - 1, firstTaskDelay + time.Second, false, 0},
		{"has started", 40, firstTaskDelay + time.Second, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			team := NewTeam("team", Limits{Max: Resources{CPUs: 10, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
			team.AddJob(&protocol.Submission{UID: "job-large", Kind: protocol.JobArray, Priority: "low", Tasks: c.tasks, CPUs: 1, EstimateSeconds: 10}, 1, now.Add(-c.age), nil)
			switch c.name {
			case "late":
				team.Job("job-large").SetObjectives(Objectives{now.Add(-time.Minute)})
			case "can reach an objective":
				team.Job("job-large").SetObjectives(Objectives{now.Add(-time.Minute), now.Add(time.Minute)})
			}
			if c.started && !team.Place(team.Job("job-large"), 0, Location{Machine: "m", Zone: "z", Incarnation: 1}) {
				t.Fatal("not placed")
			}
			team.AddJob(&protocol.Submission{UID: "job-urgent", Kind: protocol.JobArray, Priority: "high", Tasks: 100, CPUs: 1, EstimateSeconds: 10}, 1, now, nil)
			firstTasks, requested := 0, 0
			for _, d := range team.Quota().Demands(now) {
				requested += d.Count
				if d.FirstTask {
					firstTasks += d.Count
				}
			}
			assigned := len(team.assignments.byTask)
			if firstTasks != c.want || requested+assigned != 10 {
				t.Errorf("%d first tasks of %d demanded with %d assigned, want %d, and 10 in all", firstTasks, requested, assigned, c.want)
			}
		})
	}
}

// TestGangsKeepTheirOrder checks that a gang that has missed its objectives still precedes a later one. Otherwise it
// would never have enough quota at once.
func TestGangsKeepTheirOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	team := NewTeam("team", Limits{Max: Resources{CPUs: 4, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	for i, uid := range []string{"job-000001", "job-000002"} {
		team.AddJob(&protocol.Submission{UID: uid, Kind: protocol.Gang, Priority: "high", Tasks: 4, CPUs: 1, EstimateSeconds: 10}, 1, now, nil)
		team.Job(uid).SetObjectives(Objectives{now.Add(time.Duration(6*i-1) * time.Minute)})
	}
	if requested := requestingJobs(team, now); len(requested) == 0 || requested[0] != "job-000001" {
		t.Errorf("%v demand quota", requested)
	}
}

// simulateAtLimit simulates arrays of random sizes that demand more than the limit. Every eighth array is long: its
// tasks run four times as long. It returns the fraction of arrays that were done by their deadline, and the fraction of
// the long arrays whose tasks had all started within four minutes of their submission.
func simulateAtLimit(seed uint64, withObjectives bool) (inTime, longStarted float64) {
	const (
		jobs  = 96
		limit = 120
		end   = 900 * time.Second
	)
	type array struct {
		spec           *protocol.Submission
		submitted, due time.Duration
		run            time.Duration // of each task
		started        int           // number of tasks
		allStarted     time.Duration
		done           time.Duration
	}
	rng := rand.New(rand.NewPCG(seed, 11))
	start := time.Unix(1000, 0)
	team := NewTeam("team", Limits{Max: Resources{CPUs: limit, GPUs: math.Inf(1)}}, NewReplica(), 1, func(string, ...any) {})
	var arrays []*array
	for i := range jobs {
		run := time.Duration(20+rng.IntN(40)) * time.Second
		if i%8 == 0 {
			run *= 4
		}
		due := run*5/2 + 10*time.Second
		estimate := run.Seconds() * (0.7 + 0.6*rng.Float64())
		deadline := due.Seconds()
		spec := &protocol.Submission{UID: fmt.Sprintf("job-%06d", i), Kind: protocol.JobArray, Priority: "standard", Tasks: 10 + rng.IntN(30), CPUs: 1, EstimateSeconds: estimate, DeadlineSeconds: &deadline}
		at := time.Duration(rng.IntN(600)) * time.Second
		arrays = append(arrays, &array{spec: spec, submitted: at, due: at + due, run: run, allStarted: end, done: end})
	}
	running := map[time.Duration][]*attempt{}
	for now := time.Duration(0); now < end; now += time.Second {
		for _, a := range arrays {
			if a.submitted == now {
				team.AddJob(a.spec, 1, start.Add(now), nil)
				if withObjectives {
					team.Job(a.spec.UID).SetObjectives(Objectives{start.Add(a.due)})
				}
			}
		}
		for _, ended := range running[now] {
			team.attemptExited(ended, &TaskStatus{TaskID: ended.TaskID, Attempt: ended.Attempt, State: protocol.Exited, Reason: protocol.ReasonDone}, start.Add(now))
		}
		before := map[TaskID]bool{}
		for k := range team.assignments.byTask {
			before[k] = true
		}
		placeDemanded(team, start.Add(now))
		for _, a := range arrays {
			job := team.Job(a.spec.UID)
			if job == nil {
				continue
			}
			for _, placed := range job.attempts {
				if !before[placed.TaskID] {
					a.started++
					running[now+a.run] = append(running[now+a.run], placed)
				}
			}
			if a.started == a.spec.Tasks {
				a.allStarted = min(a.allStarted, now)
			}
			if job.Complete() {
				a.done = now
				team.EndJob(a.spec.UID)
			}
		}
	}
	long := 0
	for i, a := range arrays {
		if a.done <= a.due {
			inTime++
		}
		if i%8 == 0 {
			long++
			if a.allStarted-a.submitted <= 4*time.Minute {
				longStarted++
			}
		}
	}
	return inTime / jobs, longStarted / float64(long)
}

// TestObjectivesAtLimitBeatDeadlineOrder checks that under a limit that is too low the order by objectives completes
// more jobs in time than the order by deadline alone, and starts more of the long ones within four minutes.
func TestObjectivesAtLimitBeatDeadlineOrder(t *testing.T) {
	var inTime, longStarted, inTimeByDeadline, longStartedByDeadline float64
	const seeds = 12
	for seed := range uint64(seeds) {
		a, b := simulateAtLimit(seed, true)
		inTime, longStarted = inTime+a/seeds, longStarted+b/seeds
		a, b = simulateAtLimit(seed, false)
		inTimeByDeadline, longStartedByDeadline = inTimeByDeadline+a/seeds, longStartedByDeadline+b/seeds
	}
	t.Logf("in time %.2f, by deadline order %.2f; long ones started %.2f, by deadline order %.2f", inTime, inTimeByDeadline, longStarted, longStartedByDeadline)
	if inTime <= inTimeByDeadline || longStarted <= longStartedByDeadline {
		t.Fail()
	}
}
