package loadtest

import (
	"math"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// TestRulesCatch: each broken rule is noted, so that a run without findings means something.
func TestRulesCatch(t *testing.T) {
	name := jobName{Number: 1, Team: 0, Run: time.Second}
	uid := name.String()
	task := func(i int) string { return protocol.TaskName(uid, i) }
	start := func(r *rules, i int, machine string) {
		r.event(&Event{At: 1, Start: true, Task: task(i), Machine: machine})
	}
	now := time.Unix(0, 10)
	for rule, breaks := range map[string]func(r *rules){
		"ran_twice": func(r *rules) { start(r, 0, "a"); start(r, 0, "b") },
		"quota":     func(r *rules) { start(r, 0, "a"); start(r, 1, "a"); start(r, 2, "a") },
		"invented":  func(r *rules) { r.event(&Event{Start: true, Task: "job-9/0", Machine: "a"}) },
		"forgotten": func(r *rules) { r.answer(uid, 201, protocol.Pending, now); r.answer(uid, 404, "", now) },
		"not_done":  func(r *rules) { r.answer(uid, 200, protocol.Done, now); r.known(11) },
		"went_back": func(r *rules) { r.answer(uid, 200, protocol.Done, now); r.answer(uid, 200, protocol.Running, now) },
	} {
		r := newRules(1, 2)
		r.jobs[uid] = &job{name: name, tasks: 3, done: map[int]bool{}}
		if breaks(r); r.breaks != 1 || !strings.HasPrefix(r.broken[0], rule) {
			t.Errorf("%s: %d breaks, %v", rule, r.breaks, r.broken)
		}
	}
	r := newRules(1, 2)
	r.jobs[uid] = &job{name: name, tasks: 1, done: map[int]bool{}}
	start(r, 0, "a")
	r.answer(uid, 200, protocol.Done, now) // its end is told a little later
	r.event(&Event{At: 5, Task: task(0), Machine: "a", Done: true})
	if r.known(11); r.breaks != 0 || r.used[0] != 0 {
		t.Errorf("%v, %g used", r.broken, r.used[0])
	}
}

// TestJobName: what a job's id tells is read back.
func TestJobName(t *testing.T) {
	n := jobName{Number: 1234567, Team: 949, Run: 1500 * time.Millisecond}
	if got, ok := parseJobName(n.String()); !ok || got != n || !protocol.ValidUID(n.String()) {
		t.Errorf("%v: %+v %v", n, got, ok)
	}
	if _, ok := parseJobName("job-000412"); ok {
		t.Error("an id of another form was read")
	}
}

// TestSlopes: a line is found again, and a bend is told.
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

// TestLineKind: a line between controllers is counted under its kind.
func TestLineKind(t *testing.T) {
	for line, kind := range map[string]string{`{"kind":"views","body":[]}`: "views", `{"node":"a"}`: "hello", "": "hello"} {
		if got := lineKind([]byte(line)); got != kind {
			t.Errorf("%q: %q", line, got)
		}
	}
}
