package admission

import (
	"maps"
	"slices"
	"time"
)

// Window is the time over which it is counted who was served, in parts.
const (
	Window      = 2 * time.Minute
	windowStep  = 10 * time.Second
	windowSteps = int(Window / windowStep)
)

// Count is what became of a key's jobs within the window, as far as one controller saw it.
type Count struct {
	Asked    int `json:"asked"`    // submissions handed in, first tries
	Accepted int `json:"accepted"` // of them here
	Refused  int `json:"refused"`  // answers that said to come back
	Started  int `json:"started"`  // tasks
	Done     int `json:"done"`     // jobs
	InTime   int `json:"in_time"`  // jobs done by their first goal
	Late     int `json:"late"`     // jobs that were not
}

func (c *Count) add(o *Count) {
	c.Asked += o.Asked
	c.Accepted += o.Accepted
	c.Refused += o.Refused
	c.Started += o.Started
	c.Done += o.Done
	c.InTime += o.InTime
	c.Late += o.Late
}

// InTimeShare is the part of the jobs whose first goal was decided that reached it; 1 if there
// were none.
func (c *Count) InTimeShare() float64 {
	if c.InTime+c.Late == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.InTime+c.Late)
}

// ServedCounts counts who was served. What it keeps is bounded by the number of keys.
type ServedCounts struct {
	keys     map[Key]*[windowSteps]Count
	step     int64 // part of time that is counted into
	loggedAt map[Key]time.Time
}

// NewServedCounts has counted nothing.
func NewServedCounts() *ServedCounts {
	return &ServedCounts{keys: map[Key]*[windowSteps]Count{}, loggedAt: map[Key]time.Time{}}
}

func (s *ServedCounts) advance(now time.Time) {
	at := now.UnixNano() / int64(windowStep)
	for s.step < at {
		if s.step++; at-s.step > int64(windowSteps) {
			s.step = at - int64(windowSteps)
		}
		for _, c := range s.keys {
			c[s.step%int64(windowSteps)] = Count{}
		}
	}
}

// Record counts something for a key.
func (s *ServedCounts) Record(k Key, now time.Time, what func(*Count)) {
	s.advance(now)
	c := s.keys[k]
	if c == nil {
		c = &[windowSteps]Count{}
		s.keys[k] = c
	}
	what(&c[s.step%int64(windowSteps)])
}

// Counts sums up the window for each key that anything was counted for.
func (s *ServedCounts) Counts(now time.Time) map[Key]Count {
	s.advance(now)
	out := map[Key]Count{}
	for k, list := range s.keys {
		var sum Count
		for i := range list {
			sum.add(&list[i])
		}
		if sum == (Count{}) {
			delete(s.keys, k)
			continue
		}
		out[k] = sum
	}
	return out
}

// enough is how many jobs must have ended or missed their goals to say that a key is served
// badly, and tellAgain after what time it is said again.
const (
	minDecidedJobs = 5
	repeatAfter    = time.Minute
)

// PoorlyServed names the keys of whose jobs less than half were in time, those not named for a
// while.
func (s *ServedCounts) PoorlyServed(now time.Time) (short []Key) {
	counts := s.Counts(now)
	for _, k := range slices.SortedFunc(maps.Keys(counts), Key.Compare) {
		c := counts[k]
		if c.InTime+c.Late >= minDecidedJobs && c.InTimeShare() < 0.5 && now.Sub(s.loggedAt[k]) > repeatAfter {
			s.loggedAt[k] = now
			short = append(short, k)
		}
	}
	maps.DeleteFunc(s.loggedAt, func(_ Key, at time.Time) bool { return now.Sub(at) > 2*repeatAfter })
	return short
}
