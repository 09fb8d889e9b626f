package dependencies

import "time"

// maxForecastEdges bounds the work of one forecast.
const maxForecastEdges = 100_000

// forecast derives when jobs are expected to end.
type forecast struct {
	now   time.Time
	edges int                 // that were followed
	ends  map[*node]time.Time // zero: not known, or being derived
}

// ExpectedEnds returns when active jobs are expected to end, if each begins as soon as all jobs that it needs have
// ended. Jobs that are not tracked and those for which this is not known are left out: they need, directly or through
// others, a cancelled job or one that is not active and has no known outcome.
func (g *Graph) ExpectedEnds(uids []string, now time.Time) map[string]time.Time {
	f := &forecast{now: now, ends: map[*node]time.Time{}}
	expected := map[string]time.Time{}
	for _, uid := range uids {
		n := g.nodes[uid]
		if n == nil {
			continue
		}
		if end := f.end(n); n.active && !end.IsZero() {
			expected[uid] = end
		}
	}
	return expected
}

// end returns when a job is expected to end, now for one that is done, and zero if it is not known.
func (f *forecast) end(n *node) time.Time {
	if end, derived := f.ends[n]; derived {
		return end
	}
	f.ends[n] = time.Time{}
	f.ends[n] = f.derive(n)
	return f.ends[n]
}

// derive derives a job's end from those of the jobs that it needs.
func (f *forecast) derive(n *node) time.Time {
	switch {
	case n.outcome == Done:
		return f.now
	case n.cancelled || !n.active:
		return time.Time{}
	case n.started:
		return f.now.Add(n.duration)
	}
	start := f.now
	for _, d := range n.dependencies {
		f.edges++
		end := f.end(d)
		if end.IsZero() || f.edges > maxForecastEdges {
			return time.Time{}
		}
		if end.After(start) {
			start = end
		}
	}
	return start.Add(n.duration)
}
