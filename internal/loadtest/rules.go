package loadtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"topazhollow/internal/protocol"
)

// maxBroken bounds how many violations are kept as text.
const maxBroken = 20

// job is a submitted job and its state.
type job struct {
	name      jobName
	tasks     int
	urgent    bool
	submitted time.Time // first attempt to submit
	accepted  bool
	done      map[int]bool      // tasks that completed
	final     protocol.JobState // as answered to a user
}

// rules checks every start and end of a task, in the order of their times, and users' answers, and records each
// violation of the protocol. Callers hold region.mu.
type rules struct {
	limit       float64 // of each team, in tasks
	jobs        map[string]*job
	running     map[string]string // task -> machine
	usedByTeam  []float64         // tasks on machines, by team
	broken      []string
	brokenCount int
	starts      int64
	ends        int64
	maxUse      float64                 // greatest share of its limit that a team used
	lastStart   time.Time               // of any task
	longestGap  time.Duration           // between two successive starts
	urgentWaits *hdrhistogram.Histogram // ms from submission to start
	usualWaits  *hdrhistogram.Histogram
	pendingDone []doneAnswer // not checked yet, because earlier events may not have arrived
}

// doneAnswer is an answer to a user that a job is done, and its time in Unix nanoseconds.
type doneAnswer struct {
	uid string
	at  int64
}

func newWaitHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
}

func newRules(teams int, limit float64) *rules {
	return &rules{limit: limit, jobs: map[string]*job{}, running: map[string]string{}, usedByTeam: make([]float64, teams), urgentWaits: newWaitHistogram(), usualWaits: newWaitHistogram()}
}

func (r *rules) recordViolation(rule, format string, args ...any) {
	r.brokenCount++
	if len(r.broken) < maxBroken {
		r.broken = append(r.broken, rule+": "+fmt.Sprintf(format, args...))
	}
}

// applyEvent applies the next start or end.
func (r *rules) applyEvent(e *Event) {
	uid, index, _ := protocol.SplitTask(e.Task)
	j := r.jobs[uid]
	if j == nil {
		r.recordViolation("invented", "%s on %s", e.Task, e.Machine)
		return
	}
	if e.Start {
		r.start(e, j)
		return
	}
	if r.running[e.Task] != e.Machine {
		return // the end of a duplicate start, which was recorded as a violation
	}
	delete(r.running, e.Task)
	r.usedByTeam[j.name.Team]--
	r.ends++
	if e.Done {
		j.done[index] = true
	}
}

func (r *rules) start(e *Event, j *job) {
	if other, there := r.running[e.Task]; there {
		r.recordViolation("ran_twice", "%s on %s and %s", e.Task, other, e.Machine)
		r.usedByTeam[j.name.Team]--
	}
	r.running[e.Task] = e.Machine
	r.starts++
	r.usedByTeam[j.name.Team]++
	r.maxUse = max(r.maxUse, r.usedByTeam[j.name.Team]/r.limit)
	if r.usedByTeam[j.name.Team] > r.limit+1e-6 {
		r.recordViolation("quota", "team %d uses %g of %g", j.name.Team, r.usedByTeam[j.name.Team], r.limit)
	}
	at := time.Unix(0, e.At)
	if !r.lastStart.IsZero() {
		r.longestGap = max(r.longestGap, at.Sub(r.lastStart))
	}
	r.lastStart = at
	if j.name.Run == 0 {
		return
	}
	waits := r.usualWaits
	if j.urgent {
		waits = r.urgentWaits
	}
	// Waits beyond an hour are recorded as an hour, the histogram's maximum.
	_ = waits.RecordValue(min(max(at.Sub(j.submitted).Milliseconds(), 1), time.Hour.Milliseconds()))
}

// applyAnswer applies an answer that a user received about a job.
func (r *rules) applyAnswer(uid string, status int, state protocol.JobState, now time.Time) {
	j := r.jobs[uid]
	switch {
	case status == 404 && j.accepted:
		r.recordViolation("forgotten", "%s got 404", uid)
	case status != 200 && status != 201:
		return
	case j.final != "" && state != j.final:
		r.recordViolation("went_back", "%s: %s after %s", uid, state, j.final)
	case state == protocol.Cancelled:
		r.recordViolation("went_back", "%s was cancelled, but not by its user", uid)
	case state == protocol.Done && j.final == "":
		r.pendingDone = append(r.pendingDone, doneAnswer{uid, now.UnixNano()})
	}
	j.accepted = true
	if state == protocol.Done {
		j.final = state
	}
}

// advance checks the jobs that were answered as done before a time. All events before that time have been applied.
func (r *rules) advance(until int64) {
	r.pendingDone = slices.DeleteFunc(r.pendingDone, func(t doneAnswer) bool {
		if t.at > until {
			return false
		}
		if j := r.jobs[t.uid]; len(j.done) < j.tasks {
			r.recordViolation("not_done", "%s: %d of %d tasks", t.uid, len(j.done), j.tasks)
		}
		return true
	})
}
