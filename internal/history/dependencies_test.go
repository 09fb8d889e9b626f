package history

import (
	"slices"
	"testing"

	"topazhollow/internal/protocol"
)

// TestCancelledWithADependency: a job may be reported as cancelled once the cancellation of a job that it needs, directly
// or through others, was requested, unless that job is done. Any other cancelled state without a request is a violation.
func TestCancelledWithADependency(t *testing.T) {
	submit := func(l *Log, job string, dependencies ...string) {
		l.Return(l.Invoke(0, Submit, job, dependencies...), 201, protocol.Pending)
	}
	chain := func() *Log {
		l := &Log{}
		submit(l, "a")
		submit(l, "b", "a")
		submit(l, "c", "b")
		return l
	}
	ask := func(l *Log, job string, state protocol.JobState) { l.Return(l.Invoke(0, Ask, job), 200, state) }
	cancel := func(l *Log, job string, state protocol.JobState) { l.Return(l.Invoke(0, Cancel, job), 200, state) }
	for name, c := range map[string]struct {
		happens func(l *Log)
		broken  []string
	}{
		"directly":           {func(l *Log) { cancel(l, "a", protocol.Cancelled); ask(l, "b", protocol.Cancelled) }, nil},
		"through another":    {func(l *Log) { cancel(l, "a", protocol.Cancelled); ask(l, "c", protocol.Cancelled) }, nil},
		"without a request":  {func(l *Log) { ask(l, "b", protocol.Cancelled) }, []string{WentBack}},
		"before the request": {func(l *Log) { ask(l, "b", protocol.Cancelled); cancel(l, "a", protocol.Cancelled) }, []string{WentBack}},
		"the other is done":  {func(l *Log) { cancel(l, "a", protocol.Done); ask(l, "b", protocol.Cancelled) }, []string{WentBack}},
		"a later one":        {func(l *Log) { cancel(l, "b", protocol.Cancelled); ask(l, "a", protocol.Cancelled) }, []string{WentBack}},
		"active again": {func(l *Log) {
			cancel(l, "a", protocol.Cancelled)
			ask(l, "b", protocol.Cancelled)
			ask(l, "b", protocol.Pending)
		}, []string{WentBack}},
		"the one between too": {func(l *Log) { cancel(l, "b", protocol.Cancelled); ask(l, "c", protocol.Cancelled) }, nil},
	} {
		l := chain()
		c.happens(l)
		var rules []string
		for _, v := range Check(l.Calls()) {
			rules = append(rules, v.Rule)
		}
		if !slices.Equal(rules, c.broken) {
			t.Errorf("%s: found %v, not %v", name, rules, c.broken)
		}
	}
}
