package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// event is the end of a task in the history that the reference model evaluates.
type event struct {
	job, machine string
	done         bool
	at           time.Time
}

// TestTrackerModel compares the tracker with a reference model that evaluates the whole history. It guards against
// faulty jobs marking machines as bad: three of them once marked every machine that they were tried on, and the
// machines were returned to the cloud in waves. Failures of a job that succeeds nowhere are no evidence against a
// machine.
func TestTrackerModel(t *testing.T) {
	badMachines, faultyJobs := 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		tracker, now := New(), time.Unix(1000, 0)
		var history []event
		for range 120 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Second)
			job, machine := rng.IntN(8), rng.IntN(6)
			e := event{fmt.Sprint("job-", job), fmt.Sprint("m-", machine), job > 2 && machine > 1, now}
			if job > 2 && machine > 1 && rng.IntN(5) == 0 {
				e.done = false // any job fails occasionally
			}
			before := modelFaulty(history, e.job)
			history = append(history, e)
			after := modelFaulty(history, e.job)
			if e.done {
				if tracker.RecordSuccess(e.job, e.machine) != (before && !after) {
					t.Fatalf("seed %d: wrong result of RecordSuccess after %v", seed, history)
				}
			} else if tracker.RecordFailure(e.job, e.machine, now) != (after && !before) {
				t.Fatalf("seed %d: wrong result of RecordFailure after %v", seed, history)
			}
			for j := range 8 {
				want := modelFaulty(history, fmt.Sprint("job-", j))
				if got := tracker.IsJobFaulty(fmt.Sprint("job-", j)); got != want {
					t.Fatalf("seed %d: job-%d faulty %v, want %v", seed, j, got, want)
				}
				if want {
					faultyJobs++
				}
			}
			for m := range 6 {
				want := modelBad(history, fmt.Sprint("m-", m), now)
				if got := tracker.IsMachineBad(fmt.Sprint("m-", m), now); got != want {
					t.Fatalf("seed %d: m-%d bad %v, want %v", seed, m, got, want)
				}
				if want {
					badMachines++
				}
				if want && m > 1 && onlyFaulty(history, fmt.Sprint("m-", m)) {
					t.Fatalf("seed %d: m-%d is bad because of faulty jobs alone", seed, m)
				}
			}
		}
	}
	if badMachines == 0 || faultyJobs == 0 {
		t.Fatalf("bad %d, faulty %d times: the test exercised nothing", badMachines, faultyJobs)
	}
}

// modelFaulty reports whether a job failed on three machines and never succeeded.
func modelFaulty(history []event, job string) bool {
	failedOn := map[string]bool{}
	for _, e := range history {
		if e.job == job && e.done {
			return false
		}
		if e.job == job {
			failedOn[e.machine] = true
		}
	}
	return len(failedOn) >= 3
}

// modelBad reports whether three jobs that succeeded somewhere failed on the machine within the last five minutes and
// have not succeeded there since.
func modelBad(history []event, machine string, now time.Time) bool {
	last, succeeded := map[string]event{}, map[string]bool{}
	for _, e := range history {
		if e.machine == machine {
			last[e.job] = e
		}
		succeeded[e.job] = succeeded[e.job] || e.done
	}
	failures := 0
	for job, e := range last {
		if !e.done && succeeded[job] && now.Sub(e.at) <= 5*time.Minute {
			failures++
		}
	}
	return failures >= 3
}

// onlyFaulty reports whether all jobs that failed on a machine are those that fail everywhere.
func onlyFaulty(history []event, machine string) bool {
	for _, e := range history {
		if e.machine == machine && !e.done && e.job > "job-2" {
			return false
		}
	}
	return true
}

// TestRunningTaskEndsQuarantine checks that a job whose tasks never end is sound again once one has run for long, and that
// the time doubles each time, so that a job whose tasks fail late does not fill the machines again and again.
func TestRunningTaskEndsQuarantine(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	for i := range 10 {
		for machine := range minFailures {
			if tracker.RecordRun("job", time.Hour) {
				t.Fatalf("round %d: a job with %d failures became sound", i, machine)
			}
			tracker.RecordFailure("job", fmt.Sprint("m-", machine), now)
		}
		ran := provenRun << min(i, maxProvenDoublings)
		if tracker.RecordRun("job", ran-time.Second) || !tracker.RecordRun("job", ran) || tracker.IsJobFaulty("job") {
			t.Fatalf("round %d: faulty or sound at a wrong time, want sound after %v", i, ran)
		}
	}
}
