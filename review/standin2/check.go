package main

// The rules of PROTOCOL, as users, workers and the platform see them.

import (
	"fmt"
	"sync"
	"time"
)

// Spec is a submission.
type Spec struct {
	UID       string   `json:"uid"`
	Clase     string   `json:"clase"`
	Equipo    string   `json:"equipo"`
	Tipo      string   `json:"tipo_trabajo"`
	Prioridad string   `json:"prioridad"`
	Tramos    int      `json:"tramos"`
	Cores     float64  `json:"cores"`
	Cards     float64  `json:"cards"`
	RAM       float64  `json:"ram_gb"`
	Imagen    string   `json:"imagen"`
	ImageGB   float64  `json:"image_gb"`
	Modelos   []string `json:"modelos"`
	Zona      *string  `json:"zona"`
	Together  bool     `json:"together"`
	Apart     bool     `json:"apart"`
	Prestadas bool     `json:"prestadas"`
	Estimado  float64  `json:"estimado_s"`
	Guardado  float64  `json:"guardado_cada_s"`
	Guardar   float64  `json:"guardar_s"`
	Vence     *float64 `json:"vence_s"`

	run float64 // true run time of a task, seconds
}

type place struct {
	machine, zone string
	attempt       uint64
	since         time.Time
}

type jobRec struct {
	spec        *Spec
	accepted    time.Time
	final       string
	finalAt     time.Time
	cancelAsked bool
	done        map[int]bool
	starts      int
	firstOn     time.Time
	overdue     bool
	goodPoll    time.Time
	waits       float64
	waitTold    bool
	active      time.Time // when it last had a task on a machine
}

// Checker holds what was seen and which rules were broken.
type Checker struct {
	w      *World
	mu     sync.Mutex
	limits map[string]float64
	jobs   map[string]*jobRec
	on     map[string]place
	prog   map[string]time.Duration
	Broken []string
	Starts int
	late   int // starts after a confirmed cancellation
}

func newChecker(w *World, limits map[string]float64) *Checker {
	return &Checker{w: w, limits: limits, jobs: map[string]*jobRec{}, on: map[string]place{}, prog: map[string]time.Duration{}}
}

func (c *Checker) bad(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	c.Broken = append(c.Broken, line)
	c.w.rec("BROKEN %s", line)
}

func (c *Checker) spec(uid string) *Spec {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[uid]; j != nil {
		return j.spec
	}
	return nil
}

func (c *Checker) submitted(s *Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[s.UID] == nil {
		c.jobs[s.UID] = &jobRec{spec: s, done: map[int]bool{}}
	}
}

func (c *Checker) started(k taskKey, m *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	uid, _, _ := splitTask(k.task)
	if j := c.jobs[uid]; j != nil && j.final == "withdrawn" {
		c.late++
	}
}

func (c *Checker) resultKept(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	uid, i, _ := splitTask(task)
	j := c.jobs[uid]
	return j != nil && j.done[i]
}

func (c *Checker) saved(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.prog[task]
}

func (c *Checker) progress(task string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prog[task] += d
}

// on records that a task has its image and is on its machine.
func (c *Checker) on_(k taskKey, machine, typ, zone string, spot bool) {
	uid, index, _ := splitTask(k.task)
	c.Starts++
	j := c.jobs[uid]
	if p, there := c.on[k.task]; there {
		c.bad("ran_twice", "%s starts on %s (attempt %d) while on %s (attempt %d) since %.1fs", k.task, machine, k.attempt, p.machine, p.attempt, time.Since(p.since).Seconds())
	}
	c.on[k.task] = place{machine, zone, k.attempt, time.Now()}
	c.w.detail("task %s attempt %d is on %s (%s)", k.task, k.attempt, machine, zone)
	if j == nil {
		c.bad("invented", "%s runs", k.task)
		return
	}
	j.starts++
	j.active = time.Now()
	if j.firstOn.IsZero() {
		j.firstOn = time.Now()
	}
	s := j.spec
	if index >= s.Tramos {
		c.bad("invented", "%s runs of %d", k.task, s.Tramos)
	}
	if j.final == "withdrawn" && time.Since(j.finalAt) > secs(c.w.periods.Cancel) {
		c.bad("ran_cancelled", "%s starts on %s %.1fs after its cancellation was told", k.task, machine, time.Since(j.finalAt).Seconds())
	}
	okType := len(s.Modelos) == 0
	for _, t := range s.Modelos {
		okType = okType || t == typ
	}
	if !okType || (spot && !s.Prestadas) || (s.Zona != nil && *s.Zona != zone) {
		c.bad("wrong_place", "%s on %s (%s %s spot=%v)", k.task, machine, typ, zone, spot)
	}
	zones := map[string]int{}
	used, cards := 0.0, 0.0
	for t, p := range c.on {
		u, _, _ := splitTask(t)
		if u == uid {
			zones[p.zone]++
		}
		if o := c.jobs[u]; o != nil && o.spec.Equipo == s.Equipo {
			used += o.spec.Cores
			cards += o.spec.Cards
		}
	}
	if s.Together && len(zones) > 1 {
		c.bad("wrong_place", "%s starts in %s, its job is in %v and must be in one zone", k.task, zone, zones)
	}
	if s.Apart && zones[zone] > (s.Tramos+1)/2 {
		c.bad("wrong_place", "%s starts in %s, %d of %d are there", k.task, zone, zones[zone], s.Tramos)
	}
	if used > c.limits[s.Equipo]+1e-6 {
		c.bad("quota", "%s uses %g of %g", s.Equipo, used, c.limits[s.Equipo])
	}
	if l, ok := c.limits[s.Equipo+"/cards"]; ok && cards > l+1e-6 {
		c.bad("quota", "%s uses %g cards of %g", s.Equipo, cards, l)
	}
}

// on is called by a worker that holds its own lock.
func (m *Checker) onMachine(k taskKey, w *Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.on_(k, w.name, w.typ, w.zone, w.spot)
}

func (c *Checker) off(task, machine string, done bool) {
	uid, index, _ := splitTask(task)
	c.mu.Lock()
	if p, ok := c.on[task]; ok && p.machine == machine {
		c.w.detail("task %s attempt %d is off %s, completed %v", task, p.attempt, machine, done)
		delete(c.on, task)
	}
	j := c.jobs[uid]
	if j != nil {
		j.active = time.Now()
		if done {
			j.done[index] = true
			if j.spec.Tipo == "ensemble" {
				for i := 0; i < j.spec.Tramos; i++ {
					j.done[i] = true
				}
			}
		}
	}
	c.mu.Unlock()
	if j != nil && j.spec.Tipo == "ensemble" {
		c.w.gangs.leftName(task, machine)
	}
}

// tick checks what time alone breaks.
func (c *Checker) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, p := range c.on {
		uid, _, _ := splitTask(t)
		if j := c.jobs[uid]; j != nil && j.final == "withdrawn" && !j.overdue && time.Since(j.finalAt) > secs(c.w.periods.Cancel) {
			j.overdue = true
			c.bad("ran_cancelled", "%s is on %s %.1fs after its cancellation was told", t, p.machine, time.Since(j.finalAt).Seconds())
		}
	}
}

// known is what users had been told of a job when a request was sent.
type known struct {
	accepted bool
	final    string
}

func (c *Checker) known(uid string) known {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[uid]
	if j == nil {
		return known{}
	}
	return known{!j.accepted.IsZero(), j.final}
}

// answered judges an answer. kind is submit, ask or cancel.
func (c *Checker) answered(kind, uid string, before known, status int, state string, node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[uid]
	if j == nil {
		if status == 200 || status == 201 {
			c.bad("invented", "%s got %d %s from %s", uid, status, state, node)
		}
		return
	}
	switch {
	case status == 404 && before.accepted:
		c.bad("forgotten", "%s %s got 404 from %s", kind, uid, node)
	case kind == "submit" && before.accepted && (status == 400 || status == 422):
		c.bad("forgotten", "repeated submission of %s got %d from %s", uid, status, node)
	case status == 200 || status == 201:
		now := time.Now()
		if kind != "cancel" || state == "done" || state == "withdrawn" {
			if j.accepted.IsZero() {
				j.accepted = now
			}
		}
		j.goodPoll = now
		final := state == "done" || state == "withdrawn"
		if before.final != "" && state != before.final {
			c.bad("went_back", "%s %s: %s from %s after %s", kind, uid, state, node, before.final)
		} else if final && j.final != "" && j.final != state {
			c.bad("went_back", "%s %s: %s from %s after %s", kind, uid, state, node, j.final)
		}
		if state == "withdrawn" && !j.cancelAsked {
			c.bad("went_back", "%s is cancelled, but not by its user", uid)
		}
		if final && j.final == "" {
			j.final, j.finalAt = state, now
		}
		if state == "done" && len(j.done) < j.spec.Tramos {
			c.bad("not_done", "%s: %d of %d tasks", uid, len(j.done), j.spec.Tramos)
		}
	}
}

func (c *Checker) on2() int { c.mu.Lock(); defer c.mu.Unlock(); return len(c.on) }

func (c *Checker) broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.Broken...)
}
