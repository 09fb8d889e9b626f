package loadtest

import (
	"math"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// TestRulesDetectViolations breaks each rule once and expects one recorded violation. Rules that miss a violation would
// let faulty runs pass.
func TestRulesDetectViolations(t *testing.T) {
	name := jobName{Number: 1, Team: 0, Run: time.Second}
	uid := name.String()
	task := func(i int) string { return protocol.TaskName(uid, i) }
	start := func(r *rules, i int, machine string) {
		r.applyEvent(&Event{At: 1, Start: true, Task: task(i), Machine: machine})
	}
	now := time.Unix(0, 10)
	for rule, breaks := range map[string]func(r *rules){
		"ran_twice": func(r *rules) { start(r, 0, "a"); start(r, 0, "b") },
		"quota":     func(r *rules) { start(r, 0, "a"); start(r, 1, "a"); start(r, 2, "a") },
		"invented":  func(r *rules) { r.applyEvent(&Event{Start: true, Task: "job-9/0", Machine: "a"}) },
		"forgotten": func(r *rules) { r.applyAnswer(uid, 201, protocol.Pending, now); r.applyAnswer(uid, 404, "", now) },
		"not_done":  func(r *rules) { r.applyAnswer(uid, 200, protocol.Done, now); r.advance(11) },
		"went_back": func(r *rules) {
			r.applyAnswer(uid, 200, protocol.Done, now)
			r.applyAnswer(uid, 200, protocol.Running, now)
		},
	} {
		r := newRules(1, 2)
		r.jobs[uid] = &job{name: name, tasks: 3, done: map[int]bool{}}
		if breaks(r); r.brokenCount != 1 || !strings.HasPrefix(r.broken[0], rule) {
			t.Errorf("%s: %d violations, %v", rule, r.brokenCount, r.broken)
		}
	}
	r := newRules(1, 2)
	r.jobs[uid] = &job{name: name, tasks: 1, done: map[int]bool{}}
	start(r, 0, "a")
	r.applyAnswer(uid, 200, protocol.Done, now) // the task's end arrives after the answer, although it is earlier
	r.applyEvent(&Event{At: 5, Task: task(0), Machine: "a", Done: true})
	if r.advance(11); r.brokenCount != 0 || r.usedByTeam[0] != 0 {
		t.Errorf("%v, %g used", r.broken, r.usedByTeam[0])
	}
}

// TestJobName: a job's ID must be parsed to the values that it was formatted from.
func TestJobName(t *testing.T) {
	n := jobName{Number: 1234567, Team: 949, Run: 1500 * time.Millisecond}
	if got, ok := parseJobName(n.String()); !ok || got != n || !protocol.ValidUID(n.String()) {
		t.Errorf("%v: %+v %v", n, got, ok)
	}
	if _, ok := parseJobName("job-000412"); ok {
		t.Error("an ID of another form was accepted")
	}
}

// TestSlopes: points on a line must be fitted by that line, and points on a parabola must show a bend.
func TestSlopes(t *testing.T) {
	var straight, bent []Point
	for x := 1.0; x <= 5; x++ {
		straight = append(straight, Point{x, 3 + 2*x}, Point{x, 3 + 2*x})
		bent = append(bent, Point{x, x * x})
	}
	l := fit(straight)
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-3) > 1e-9 || residual(straight, l) > 1e-9 || math.Abs(bend(straight)-1) > 1e-9 || spread(straight) != 0 {
		t.Errorf("%+v, residual %g, bend %g, spread %g", l, residual(straight, l), bend(straight), spread(straight))
	}
	if b := bend(bent); b < 1.5 {
		t.Errorf("bend %g of a square", b)
	}
	if s := spread([]Point{{1, 2}, {1, 4}}); math.Abs(s-2.0/3) > 1e-9 {
		t.Errorf("spread %g", s)
	}
}

// TestLineKind: lines between controllers must be counted under their kind.
func TestLineKind(t *testing.T) {
	for line, kind := range map[string]string{`{"kind":"views","body":[]}`: "views", `{"node":"a"}`: "hello", "": "hello"} {
		if got := lineKind([]byte(line)); got != kind {
			t.Errorf("%q: %q", line, got)
		}
	}
}
