//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"topazhollow/internal/protocol"
)

// g8 is the machine type of the protocol's example of the catalog.
var g8 = protocol.MachineType{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, CacheGB: 200, FetchGBPerSecond: 1, PricePerHour: 12,
	SpotPricePerHour: 4.5, BootSeconds: 15}

// array returns a job of independent tasks.
func array(uid, class, team string, tasks int, cpus, memory, estimate float64) *protocol.Submission {
	return &protocol.Submission{UID: uid, Class: class, Team: team, Kind: protocol.JobArray, Priority: "standard", Tasks: tasks, CPUs: cpus,
		MemoryGB: memory, Image: "img-" + class, ImageGB: 0.5, Spot: true, EstimateSeconds: estimate}
}

// smallTasks: a class of jobs with many small tasks comes four times as often; meanwhile another team's job must run.
func smallTasks(rec *record, dir string, trouble bool) (broken string, err error) {
	g, err := openRegion(rec, dir, peaje(g8, 2, 1))
	if err != nil {
		return "", err
	}
	defer g.close()
	g.jobs.runs = func(uid string) time.Duration { return 25 * time.Second }
	if err := g.awaitHealthy(20 * time.Second); err != nil {
		return "", err
	}
	other := array("job-000001", "plate-match", "cobranza", 4, 4, 27, 25)
	if err := g.submit(other); err != nil {
		return "", err
	}
	burst := 1
	if trouble {
		burst = 4
	}
	var list []*protocol.Submission
	for i := range burst {
		small := array(fmt.Sprintf("job-%06d", 10+i), "permit-checks", "fiscalia-ops", 400, 0.05, 0.25, 25)
		if err := g.submit(small); err != nil {
			return "", err
		}
		list = append(list, small)
	}
	list = append(list, other)
	open := map[string]bool{}
	for _, s := range list {
		open[s.UID] = true
	}
	for rec.seconds() < 108 && len(open) > 0 {
		time.Sleep(5 * time.Second)
		for uid := range open {
			if g.poll(uid).State == protocol.Done {
				delete(open, uid)
			}
		}
	}
	var lines []string
	for _, s := range list {
		starts, killed, _, done := g.jobs.figures(s.UID)
		line := fmt.Sprintf("%s: %d tasks, %d starts, %d killed by an expired lease, %d completed, called done: %v", s.UID, s.Tasks, starts, killed, done, !open[s.UID])
		rec.add("%s", line)
		if open[s.UID] && killed > 0 {
			lines = append(lines, line)
		}
	}
	for _, w := range g.cloud.workers() {
		w.mu.Lock()
		rec.add("worker %s: longest report %d bytes, lease ran out %d times, reports refused by status %v", w.name, w.longest, w.leases, w.refused)
		w.mu.Unlock()
	}
	return strings.Join(lines, "; "), nil
}
