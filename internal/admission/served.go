package admission

import (
	"maps"
	"slices"
	"time"
)

// Window is the sliding window of ServedCounts, which advances by windowStep.
const (
	Window      = 2 * time.Minute
	windowStep  = 10 * time.Second
	windowSteps = int(Window / windowStep)
)

// Count holds what happened to a key's jobs within the window, as observed by one controller.
type Count struct {
	Asked    int `json:"asked"`    // submissions, without retries
	Accepted int `json:"accepted"` // submissions accepted by this controller
	Refused  int `json:"refused"`  // submissions rejected with a request to retry
	Started  int `json:"started"`  // tasks started
	Done     int `json:"done"`     // jobs completed
	InTime   int `json:"in_time"`  // jobs that met their first goal
	Late     int `json:"late"`     // jobs that missed their first goal
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

// InTimeShare returns the fraction of jobs that met their first goal among those that met or missed it, 1 if there are
// none.
func (c *Count) InTimeShare() float64 {
	if c.InTime+c.Late == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.InTime+c.Late)
}

// ServedCounts counts events by key over a sliding window. Its memory is bounded by the number of keys.
type ServedCounts struct {
	keys     map[Key]*[windowSteps]Count
	step     int64             // number of the current window step
	loggedAt map[Key]time.Time // when PoorlyServed last returned the key
}

// NewServedCounts returns empty counts.
func NewServedCounts() *ServedCounts {
	return &ServedCounts{keys: map[Key]*[windowSteps]Count{}, loggedAt: map[Key]time.Time{}}
}

// advance moves the window to the present and clears the steps that have left it.
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

// Record has an update applied to the present counts of a key.
func (s *ServedCounts) Record(k Key, now time.Time, update func(*Count)) {
	s.advance(now)
	c := s.keys[k]
	if c == nil {
		c = &[windowSteps]Count{}
		s.keys[k] = c
	}
	update(&c[s.step%int64(windowSteps)])
}

// Counts returns the sums over the window for each key that has any.
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

// Conditions for PoorlyServed to return a key.
const (
	minDecidedJobs = 5           // jobs that met or missed their goals
	repeatAfter    = time.Minute // since it last returned the same key
)

// PoorlyServed returns the keys of which fewer than half of the jobs were in time, each at most once per repeatAfter.
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
