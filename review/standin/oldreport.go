//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// restartDelay is how long after its end a controller is back.
const restartDelay = 3 * time.Second

// machinesAtStart is the number of machines, half of them in each zone.
const machinesAtStart = 6

// oldReport: while a machine hangs, all controllers end, and one of them again soon after it is back. When that one begins
// the second time, a copy of an old report of each machine arrives at it, from before the machine's tasks started.
func oldReport(rec *record, dir string, trouble bool) (broken string, err error) {
	g, err := openRegion(rec, dir, peaje(cordillera, 5, machinesAtStart/2))
	if err != nil {
		return "", err
	}
	defer g.close()
	g.jobs.runs = func(uid string) time.Duration { return 90 * time.Second }
	if err := g.awaitHealthy(20 * time.Second); err != nil {
		return "", err
	}
	if err := g.awaitAnswered(); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	const tasks = 22 // five machines are full, one has two tasks
	job := array("job-000001", "plate-match", "cobranza", tasks, 4, 27, 90)
	job.Spot = false
	if err := g.submit(job); err != nil {
		return "", err
	}
	if err := g.awaitStarts(job.UID, tasks); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if !trouble {
		time.Sleep(20 * time.Second)
		return strings.Join(g.jobs.ranTwice(), "; "), nil
	}
	again := g.chooseAgain("team/" + job.Team)
	rec.add("the node that ends again is %s", again.name)
	before := g.overview(again)
	if before == nil || !g.hasFullMachine(again) {
		return "", fmt.Errorf("no full machine reports to %s", again.name)
	}
	hung := g.otherMachine(again)
	hung.hang(true)
	for _, n := range g.nodes {
		g.kill(n)
	}
	time.Sleep(restartDelay)
	began := time.Now()
	for _, n := range g.nodes {
		if err := g.start(n); err != nil {
			return "", err
		}
	}
	// Wait until machines of that node have reported to it under the new term.
	term := uint64(0)
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if o := g.overview(again); o != nil && o.Entitled && o.Term > before.Term && g.heardBy(again, began) > 0 {
			term = o.Term
			break
		}
	}
	g.logPhases()
	g.kill(again)
	time.Sleep(restartDelay)
	if err := g.start(again); err != nil {
		return "", err
	}
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if o := g.overview(again); o != nil && o.Entitled && o.Term > term {
			break
		}
	}
	g.logPhases()
	for _, w := range g.cloud.workers() {
		w.mu.Lock()
		old := w.old
		w.mu.Unlock()
		if old != nil {
			g.copyReport(w, old, again)
		}
	}
	time.Sleep(100 * time.Millisecond)
	hung.hang(false)
	for until := time.Now().Add(12 * time.Second); time.Now().Before(until) && len(g.jobs.ranTwice()) == 0; time.Sleep(200 * time.Millisecond) {
		g.logPhases()
	}
	time.Sleep(2 * time.Second)
	return strings.Join(g.jobs.ranTwice(), "; "), nil
}

// chooseAgain returns the node that owns the fewest teams, and of these the one that is home of the most machines with
// tasks.
func (g *region) chooseAgain(item string) (chosen *node) {
	owned, owner := map[string]int{}, ""
	for _, n := range g.nodes {
		if o := g.overview(n); o != nil {
			owned[n.name], owner = len(o.Items), o.Owners[item]
		}
	}
	for _, n := range g.nodes {
		if n.name == owner {
			continue
		}
		if chosen == nil || owned[n.name] < owned[chosen.name] ||
			owned[n.name] == owned[chosen.name] && g.heardBy(n, time.Time{}) > g.heardBy(chosen, time.Time{}) {
			chosen = n
		}
	}
	return chosen
}

// otherMachine returns a machine with tasks whose home is another node.
func (g *region) otherMachine(n *node) (chosen *worker) {
	for _, w := range g.cloud.workers() {
		w.mu.Lock()
		if w.home != n.serve && len(w.entries) > 0 {
			chosen = w
		}
		w.mu.Unlock()
	}
	return chosen
}

// awaitAnswered waits until every machine is up and a report of it was answered.
func (g *region) awaitAnswered() error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		answered := 0
		for _, w := range g.cloud.workers() {
			w.mu.Lock()
			if w.home != "" {
				answered++
			}
			w.mu.Unlock()
		}
		if answered == machinesAtStart {
			return nil
		}
	}
	return fmt.Errorf("not all machines were answered")
}

// hasFullMachine reports whether a machine without room reports to a node.
func (g *region) hasFullMachine(n *node) bool {
	for _, w := range g.cloud.workers() {
		w.mu.Lock()
		here := w.home == n.serve
		w.mu.Unlock()
		if here && w.freeCPUs() == 0 {
			return true
		}
	}
	return false
}

// heardBy counts the machines whose last report was answered by a node, after a time.
func (g *region) heardBy(n *node, after time.Time) (count int) {
	for _, w := range g.cloud.workers() {
		w.mu.Lock()
		if w.home == n.serve && w.homeAt.After(after) && len(w.entries) > 0 {
			count++
		}
		w.mu.Unlock()
	}
	return count
}

func (g *region) logPhases() {
	for _, n := range g.nodes {
		o := g.overview(n)
		if o == nil {
			g.rec.add("overview %s: no answer", n.name)
			continue
		}
		g.rec.add("overview %s: term %d entitled %v items %v", n.name, o.Term, o.Entitled, o.Items)
	}
}
