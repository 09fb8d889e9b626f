package main

import (
	"fmt"
	"os"
	"time"
)

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// begin starts a region whose machines are up after bootS seconds.
func begin(site Site, root, record, dir string, seed int64) *World {
	w := newWorld(site, seed, record, dir, root)
	w.quiet, w.detailed = true, true
	if l := os.Getenv("CASE_LOG"); l != "" {
		w.loglevel = l
	}
	for i := range w.nodes {
		w.Start(i)
	}
	if !w.Ready(20 * time.Second) {
		w.rec("controllers are not ready")
		w.Close()
		os.Exit(2)
	}
	w.rec("three controllers are healthy")
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			w.check.tick()
		}
	}()
	return w
}

// until waits for a condition.
func until(d time.Duration, f func() bool) bool {
	end := time.Now().Add(d)
	for !f() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// onMachines returns where the tasks of a job are.
func (c *Checker) onMachines(uid string) map[string]place {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := map[string]place{}
	for t, p := range c.on {
		if u, _, _ := splitTask(t); u == uid {
			m[t] = p
		}
	}
	return m
}

func (w *World) finish(what string, broken bool) int {
	for _, b := range w.check.broken() {
		broken = true
		what += "; " + b
	}
	defer w.Close()
	if broken {
		w.rec("RULE BROKEN: %s", what)
		fmt.Println("rule broken:", what)
		return 1
	}
	w.rec("the rule held: %s", what)
	fmt.Println("held:", what)
	return 0
}

func (w *World) norun(what string) int {
	w.rec("could not run: %s", what)
	fmt.Println("could not run:", what)
	w.Close()
	return 2
}

// caseService: three faulty machines, then replicas of a service that are never started again.
func caseService(root, record, dir string, seed int64) int {
	w := begin(peaje(), root, record, dir, seed)
	s := &Spec{UID: "job-000101", Clase: "plate-match", Equipo: "cobranza", Tipo: "service", Prioridad: "standard", Tramos: 4, Cores: 10, RAM: 8,
		Imagen: "img-1", ImageGB: 0.5, Prestadas: true}
	if st := w.Submit(s, 10*time.Second); st != 201 && st != 200 {
		return w.norun("service not accepted")
	}
	if !until(25*time.Second, func() bool { return len(w.check.onMachines(s.UID)) == 4 }) {
		return w.norun("the service's replicas did not start")
	}
	w.rec("all 4 replicas run: %v", w.check.onMachines(s.UID))
	time.Sleep(time.Second)
	if trouble() {
		var bad []*Worker
		for _, m := range w.cloud.Workers() {
			m.mu.Lock()
			runs := false
			for k, t := range m.tasks {
				u, _, _ := splitTask(k.task)
				runs = runs || u == s.UID && t.State == "running"
			}
			if runs && len(bad) < 3 {
				m.faulty = true
				bad = append(bad, m)
				w.rec("machine %s is faulty: its tasks fail", m.name)
			}
			m.mu.Unlock()
		}
		time.Sleep(3 * time.Second)
		for _, m := range bad {
			m.mu.Lock()
			m.faulty = false
			m.mu.Unlock()
			w.rec("machine %s is sound again", m.name)
		}
	}
	// Other work keeps four machines up and leaves room for one replica on each.
	a := &Spec{UID: "job-000102", Clase: "plate-match", Equipo: "cobranza", Tipo: "batch", Prioridad: "standard", Tramos: 4, Cores: 2, RAM: 100,
		Imagen: "img-1", ImageGB: 0.5, Prestadas: true, Estimado: 100, run: 100}
	if st := w.Submit(a, 10*time.Second); st != 201 && st != 200 {
		return w.norun("second job not accepted")
	}
	over := time.Now()
	waited := time.Time{}
	for time.Since(over) < 95*time.Second {
		time.Sleep(250 * time.Millisecond)
		on := w.check.onMachines(s.UID)
		room := 0
		for _, m := range w.cloud.Workers() {
			m.mu.Lock()
			c, r := 16.0, 128.0
			for k, t := range m.tasks {
				if t.State != "exited" {
					u, _, _ := splitTask(k.task)
					if x := w.check.spec(u); x != nil {
						c, r = c-x.Cores, r-x.RAM
					}
				}
			}
			if c >= s.Cores && r >= s.RAM {
				room++
			}
			m.mu.Unlock()
		}
		if len(on) == 4 {
			return w.finish("all 4 replicas run", false)
		}
		if room == 0 {
			waited = time.Time{}
		} else if waited.IsZero() {
			waited = time.Now()
		}
		if int(time.Since(over).Seconds()*4)%40 == 0 {
			st, state := w.call(0, "ask", s.UID, nil)
			w.rec("%d of 4 replicas on machines, %d machines have room for one; state told: %d %s; waiting for %.0f s", len(on), room, st, state, time.Since(waited).Seconds())
		}
		if !waited.IsZero() && time.Since(waited) > 90*time.Second {
			return w.finish(fmt.Sprintf("%d of 4 replicas waited for 90 s while %d machines had room and the team was under its limit", 4-len(on), room), true)
		}
	}
	return w.finish(fmt.Sprintf("room only for %.0f s", time.Since(waited).Seconds()), false)
}

// caseGuarantee: the cloud has fewer machines to give; a team's services hold them beyond its guarantee and never give
// them back to a team that stays within its own.
func caseGuarantee(root, record, dir string, seed int64) int {
	site := peaje()
	w := begin(site, root, record, dir, seed)
	if trouble() {
		// As in the site file: count = 0.5, spot = 0.0 in santiago-centro, for 100 s.
		w.cloud.mu.Lock()
		w.cloud.capacity["cordillera-16/santiago-centro/false"] = 3
		w.cloud.capacity["cordillera-16/santiago-centro/true"] = 0
		w.cloud.mu.Unlock()
		w.rec("the cloud has fewer machines to give: 3 ordinary ones and no cheap one in santiago-centro")
	}
	s := &Spec{UID: "job-000201", Clase: "plate-match", Equipo: "vision-vial", Tipo: "service", Prioridad: "standard", Tramos: 16, Cores: 16, RAM: 27,
		Imagen: "img-1", ImageGB: 0.5, Prestadas: true}
	if st := w.Submit(s, 10*time.Second); st != 201 && st != 200 {
		return w.norun("service not accepted")
	}
	n, want := 0, 16
	if trouble() {
		want = 15 // 3 + 0 in santiago-centro, 4 + 8 in concepcion-sur
	}
	if !until(40*time.Second, func() bool { n = len(w.check.onMachines(s.UID)); return n == want }) {
		return w.norun(fmt.Sprintf("only %d replicas run", n))
	}
	time.Sleep(2 * time.Second)
	w.rec("vision-vial runs %d replicas, %d cores; it is guaranteed 80", n, 16*n)
	a := &Spec{UID: "job-000202", Clase: "dispute-rerun", Equipo: "fiscalia-ops", Tipo: "batch", Prioridad: "high", Tramos: 1, Cores: 2, RAM: 12,
		Imagen: "img-1", ImageGB: 0.5, Prestadas: true, Estimado: 20, run: 5}
	if st := w.Submit(a, 10*time.Second); st != 201 && st != 200 {
		return w.norun("job not accepted")
	}
	from := time.Now()
	for time.Since(w.began) < 112*time.Second && time.Since(from) < 90*time.Second {
		time.Sleep(time.Second)
		st, state := w.call(0, "ask", a.UID, nil)
		if int(time.Since(from).Seconds())%10 == 0 {
			w.rec("fiscalia-ops waits for %.0f s, told %d %s; vision-vial uses %d cores", time.Since(from).Seconds(), st, state, 16*len(w.check.onMachines(s.UID)))
		}
		if len(w.check.onMachines(a.UID)) > 0 || state == "done" {
			return w.finish(fmt.Sprintf("the job within its team's guarantee started after %.0f s", time.Since(from).Seconds()), false)
		}
	}
	return w.finish(fmt.Sprintf("a high job of fiscalia-ops (2 of 128 guaranteed cores) waited for %.0f s for standard work of vision-vial beyond its guarantee (%d of 80 cores)",
		time.Since(from).Seconds(), 16*len(w.check.onMachines(s.UID))), true)
}

// caseGang: three machines go bad and stop; the gang whose tasks failed on them is never started again.
func caseGang(root, record, dir string, seed int64) int {
	w := begin(peaje(), root, record, dir, seed)
	// Earlier work, after which five machines are up.
	e := &Spec{UID: "job-000300", Clase: "plate-match", Equipo: "cobranza", Tipo: "batch", Prioridad: "standard", Tramos: 4, Cores: 10, RAM: 27,
		Imagen: "img-1", ImageGB: 0.5, Prestadas: true, Estimado: 40, run: 4}
	if st := w.Submit(e, 10*time.Second); st != 201 && st != 200 {
		return w.norun("earlier work not accepted")
	}
	if !until(25*time.Second, func() bool { _, state := w.call(0, "ask", e.UID, nil); return state == "done" }) {
		return w.norun("earlier work not done")
	}
	s := &Spec{UID: "job-000301", Clase: "plate-match", Equipo: "cobranza", Tipo: "ensemble", Prioridad: "standard", Tramos: 4, Cores: 10, RAM: 27,
		Imagen: "img-1", ImageGB: 0.5, Prestadas: true, Estimado: 15, run: 15}
	if st := w.Submit(s, 10*time.Second); st != 201 && st != 200 {
		return w.norun("not accepted")
	}
	if !until(25*time.Second, func() bool { return len(w.check.onMachines(s.UID)) == 4 }) {
		return w.norun("the gang did not start")
	}
	time.Sleep(time.Second)
	if trouble() {
		var bad []*Worker
		for _, p := range w.check.onMachines(s.UID) {
			for _, m := range w.cloud.Workers() {
				if m.name == p.machine && len(bad) < 3 {
					bad = append(bad, m)
				}
			}
		}
		// They fail together, so that none of their tasks is stopped before it fails.
		for _, m := range bad {
			m.mu.Lock()
		}
		for _, m := range bad {
			m.faulty = true
			for _, t := range m.tasks {
				if t.State == "running" {
					m.exit(t, "error", false)
				}
			}
		}
		for _, m := range bad {
			m.mu.Unlock()
			w.rec("machine %s is faulty: its tasks fail", m.name)
		}
		time.Sleep(4 * time.Second)
		for _, m := range bad {
			w.cloud.Fail(m.name)
			w.rec("machine %s stopped by itself", m.name)
		}
	}
	over := time.Now()
	for time.Since(over) < 90500*time.Millisecond {
		time.Sleep(500 * time.Millisecond)
		st, state := w.call(0, "ask", s.UID, nil)
		on := len(w.check.onMachines(s.UID))
		if int(time.Since(over).Seconds()*2)%20 == 0 {
			w.rec("%.0f s after the trouble: told %d %s, %d tasks on machines, %d sound machines of 28 that the cloud would give", time.Since(over).Seconds(), st, state, on, len(w.cloud.Workers()))
		}
		if state == "done" {
			return w.finish(fmt.Sprintf("done %.0f s after the trouble", time.Since(over).Seconds()), false)
		}
		if on == 4 && trouble() {
			over = time.Now().Add(-60 * time.Second) // it runs again: give it the time to end
		}
	}
	return w.finish(fmt.Sprintf("90 s after the trouble the accepted gang is not started, its team uses nothing, %d machines are up and the cloud was not asked for more", len(w.cloud.Workers())), true)
}

// caseImage: a machine of a running gang stops; its next attempt never comes together, since each one that is given up
// also gives up the image that the new machine is fetching.
func caseImage(root, record, dir string, seed int64) int {
	w := begin(peaje(), root, record, dir, seed)
	w.fetchFactor = 1
	const image = "img-big"
	if !until(5*time.Second, func() bool { return len(w.cloud.Workers()) == 2 }) {
		return w.norun("no machines")
	}
	for _, m := range w.cloud.Workers() {
		m.mu.Lock()
		m.images[image] = true // as after earlier work
		m.mu.Unlock()
	}
	// Other work that keeps the machines up and leaves room for a task of the gang on each.
	a := &Spec{UID: "job-000400", Clase: "plate-match", Equipo: "cobranza", Tipo: "batch", Prioridad: "standard", Tramos: 2, Cores: 2, RAM: 80,
		Imagen: "img-1", ImageGB: 0.1, Prestadas: true, Estimado: 115, run: 115}
	if st := w.Submit(a, 10*time.Second); st != 201 && st != 200 {
		return w.norun("other work not accepted")
	}
	if !until(10*time.Second, func() bool { return len(w.check.onMachines(a.UID)) == 2 }) {
		return w.norun("other work did not start")
	}
	s := &Spec{UID: "job-000401", Clase: "plate-match", Equipo: "cobranza", Tipo: "ensemble", Prioridad: "high", Tramos: 2, Cores: 12, RAM: 27,
		Imagen: image, ImageGB: 22, Prestadas: true, Estimado: 15, run: 12}
	if st := w.Submit(s, 10*time.Second); st != 201 && st != 200 {
		return w.norun("not accepted")
	}
	if !until(15*time.Second, func() bool { return len(w.check.onMachines(s.UID)) == 2 }) {
		return w.norun("the gang did not start")
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble() {
		m := w.cloud.Workers()[1]
		w.cloud.Fail(m.name)
		w.rec("machine %s stopped with all that is on it", m.name)
	}
	over := time.Now()
	for time.Since(w.began) < 114*time.Second {
		time.Sleep(500 * time.Millisecond)
		st, state := w.call(0, "ask", s.UID, nil)
		if int(time.Since(over).Seconds()*2)%20 == 0 {
			w.rec("%.0f s after the trouble: told %d %s, %d tasks have their image, %d attempts so far", time.Since(over).Seconds(), st, state, len(w.check.onMachines(s.UID)), w.gangs.attempts(s.UID))
		}
		if state == "done" || w.gangs.running(s.UID) > 1 {
			return w.finish(fmt.Sprintf("runs again %.0f s after the trouble", time.Since(over).Seconds()), false)
		}
	}
	return w.finish(fmt.Sprintf("%.0f s after one machine stopped the accepted gang has not started again; %d attempts", time.Since(over).Seconds(), w.gangs.attempts(s.UID)), true)
}

// attempts returns how many attempts of a gang any task has had its image for, and running how many of them began.
func (g *gangs) attempts(uid string) (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k := range g.m {
		if k.task == uid {
			n++
		}
	}
	return n
}

func (g *gangs) running(uid string) (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, x := range g.m {
		if k.task == uid && x.begun {
			n++
		}
	}
	return n
}

// caseReport: the cloud has fewer machines to give; a team's small tasks fill the reports of all of them, and a job
// within another team's guarantee waits beside free cores.
func caseReport(root, record, dir string, seed int64) int {
	w := begin(peaje(), root, record, dir, seed)
	if trouble() {
		// As in the site file: count = 0.5, spot = 0.0 in santiago-centro, for 100 s.
		w.cloud.mu.Lock()
		w.cloud.capacity["cordillera-16/santiago-centro/false"] = 3
		w.cloud.capacity["cordillera-16/santiago-centro/true"] = 0
		w.cloud.mu.Unlock()
		w.rec("the cloud has fewer machines to give: 3 ordinary ones and no cheap one in santiago-centro")
	}
	// Work that brings 15 machines up: it takes 100 of 128 GB and one of 16 cores of each.
	e := &Spec{UID: "job-000500", Clase: "plate-match", Equipo: "cobranza", Tipo: "batch", Prioridad: "standard", Tramos: 15, Cores: 1, RAM: 100,
		Imagen: "img-1", ImageGB: 0.1, Prestadas: true, Estimado: 300, run: 300}
	if st := w.Submit(e, 10*time.Second); st != 201 && st != 200 {
		return w.norun("first work not accepted")
	}
	if !until(30*time.Second, func() bool { return len(w.check.onMachines(e.UID)) == 15 }) {
		return w.norun(fmt.Sprintf("only %d machines have work", len(w.check.onMachines(e.UID))))
	}
	s := &Spec{UID: "job-000501", Clase: "plate-match", Equipo: "cobranza", Tipo: "batch", Prioridad: "standard", Tramos: 8000, Cores: 0.025, RAM: 0.01,
		Imagen: "img-1", ImageGB: 0.1, Prestadas: true, Estimado: 300, run: 300}
	if st := w.Submit(s, 10*time.Second); st != 201 && st != 200 {
		return w.norun("small tasks not accepted")
	}
	n, want := 0, 8000
	if trouble() {
		want = 7350 // about 495 on each of 15 machines
	}
	if !until(40*time.Second, func() bool { n = len(w.check.onMachines(s.UID)); return n >= want }) {
		return w.norun(fmt.Sprintf("only %d small tasks run", n))
	}
	time.Sleep(2 * time.Second)
	n = len(w.check.onMachines(s.UID))
	w.rec("cobranza runs %d small tasks, %.0f cores in all; it is guaranteed 160", n, s.Cores*float64(n)+15)
	a := &Spec{UID: "job-000502", Clase: "dispute-rerun", Equipo: "fiscalia-ops", Tipo: "batch", Prioridad: "high", Tramos: 1, Cores: 2, RAM: 12,
		Imagen: "img-1", ImageGB: 0.1, Prestadas: true, Estimado: 20, run: 5}
	if st := w.Submit(a, 10*time.Second); st != 201 && st != 200 {
		return w.norun("job not accepted")
	}
	from, used, room, up := time.Now(), 0.0, 0, 0
	for time.Since(w.began) < 114*time.Second && time.Since(from) < 90500*time.Millisecond {
		time.Sleep(time.Second)
		st, state := w.call(0, "ask", a.UID, nil)
		if len(w.check.onMachines(a.UID)) > 0 || state == "done" {
			return w.finish(fmt.Sprintf("the job within its team's guarantee started after %.0f s", time.Since(from).Seconds()), false)
		}
		tasks := map[string]int{}
		for _, p := range w.check.onMachines(s.UID) {
			tasks[p.machine]++
		}
		used, room, up = 0, 0, len(w.cloud.Workers())
		for _, k := range tasks { // besides one task of the first work
			used += e.Cores + s.Cores*float64(k)
			if 16-e.Cores-s.Cores*float64(k) >= a.Cores && 128-e.RAM-s.RAM*float64(k) >= a.RAM {
				room++
			}
		}
		if int(time.Since(from).Seconds())%10 == 0 {
			w.rec("fiscalia-ops waits for %.0f s, told %d %s; cobranza uses %.0f cores; %d of %d machines have 2 free cores", time.Since(from).Seconds(), st, state, used, room, up)
		}
	}
	if time.Since(from) < 90*time.Second {
		return w.norun("not enough time left")
	}
	return w.finish(fmt.Sprintf("a high job of fiscalia-ops (2 of 128 guaranteed cores) waited for %.0f s for standard work of cobranza beyond its guarantee (%.0f of 160 cores), while %d of %d machines had 2 free cores",
		time.Since(from).Seconds(), used, room, up), used > 160)
}
