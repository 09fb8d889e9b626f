package loadtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"topazhollow/internal/protocol"
)

// maxBroken bounds how many broken rules are kept word for word.
const maxBroken = 20

// job is what is known of a job that users submitted.
type job struct {
	name      jobName
	tasks     int
	urgent    bool
	submitted time.Time // the first try
	accepted  bool
	done      map[int]bool      // tasks that completed
	final     protocol.JobState // as a user was told
}

// rules follows every start and end, in the order of their times, and notes each broken
// rule of the protocol. Its caller holds a lock.
type rules struct {
	limit  float64 // of each team, in tasks
	jobs   map[string]*job
	on     map[string]string // task -> machine
	used   []float64         // by team
	broken []string
	breaks int
	starts int64
	ends   int64
	most   float64   // that a team used of its limit
	last   time.Time // of the newest start
	gap    time.Duration
	urgent *hdrhistogram.Histogram // ms from submission to start
	others *hdrhistogram.Histogram
	told   []toldDone // to be checked once all events before are known
}

// toldDone is a job that a user was told to be done, and when.
type toldDone struct {
	uid string
	at  int64
}

func newWaits() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Hour.Milliseconds(), 3) }

func newRules(teams int, limit float64) *rules {
	return &rules{limit: limit, jobs: map[string]*job{}, on: map[string]string{}, used: make([]float64, teams), urgent: newWaits(), others: newWaits()}
}

func (r *rules) fault(rule, format string, args ...any) {
	r.breaks++
	if len(r.broken) < maxBroken {
		r.broken = append(r.broken, rule+": "+fmt.Sprintf(format, args...))
	}
}

// event takes in the next start or end.
func (r *rules) event(e *Event) {
	uid, index, _ := protocol.SplitTask(e.Task)
	j := r.jobs[uid]
	if j == nil {
		r.fault("invented", "%s on %s", e.Task, e.Machine)
		return
	}
	if e.Start {
		r.start(e, j)
		return
	}
	if r.on[e.Task] != e.Machine {
		return // it started beside another one, which was noted
	}
	delete(r.on, e.Task)
	r.used[j.name.Team]--
	r.ends++
	if e.Done {
		j.done[index] = true
	}
}

func (r *rules) start(e *Event, j *job) {
	if other, there := r.on[e.Task]; there {
		r.fault("ran_twice", "%s on %s and %s", e.Task, other, e.Machine)
		r.used[j.name.Team]--
	}
	r.on[e.Task] = e.Machine
	r.starts++
	r.used[j.name.Team]++
	r.most = max(r.most, r.used[j.name.Team]/r.limit)
	if r.used[j.name.Team] > r.limit+1e-6 {
		r.fault("quota", "team %d uses %g of %g", j.name.Team, r.used[j.name.Team], r.limit)
	}
	at := time.Unix(0, e.At)
	if !r.last.IsZero() {
		r.gap = max(r.gap, at.Sub(r.last))
	}
	r.last = at
	if j.name.Run == 0 {
		return
	}
	waits := r.others
	if j.urgent {
		waits = r.urgent
	}
	// Past an hour the histogram only says "longer".
	_ = waits.RecordValue(min(max(at.Sub(j.submitted).Milliseconds(), 1), time.Hour.Milliseconds()))
}

// answer takes in what a user was told of a job.
func (r *rules) answer(uid string, status int, state protocol.JobState, now time.Time) {
	j := r.jobs[uid]
	switch {
	case status == 404 && j.accepted:
		r.fault("forgotten", "%s got 404", uid)
	case status != 200 && status != 201:
		return
	case j.final != "" && state != j.final:
		r.fault("went_back", "%s: %s after %s", uid, state, j.final)
	case state == protocol.Cancelled:
		r.fault("went_back", "%s withdrawn, but not by its user", uid)
	case state == protocol.Done && j.final == "":
		r.told = append(r.told, toldDone{uid, now.UnixNano()})
	}
	j.accepted = true
	if state == protocol.Done {
		j.final = state
	}
}

// known says that all events before a moment were taken in.
func (r *rules) known(until int64) {
	r.told = slices.DeleteFunc(r.told, func(t toldDone) bool {
		if t.at > until {
			return false
		}
		if j := r.jobs[t.uid]; len(j.done) < j.tasks {
			r.fault("not_done", "%s: %d of %d tasks", t.uid, len(j.done), j.tasks)
		}
		return true
	})
}
