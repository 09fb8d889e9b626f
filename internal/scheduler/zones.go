package scheduler

import (
	"slices"

	"topazhollow/internal/placement"
)

// anyZone stands for all zones where a zone's index is expected.
const anyZone = -1

// unknownZone is the index of a zone that the deployment does not have; no machine is in it.
const unknownZone = 1 << 20

// zoneIndex is a zone's dense index.
func (s *Scheduler) zoneIndex(zone string) int {
	if i := slices.Index(s.config.Deployment.Zones, zone); i >= 0 {
		return i
	}
	return unknownZone
}

// zoneRule holds a job's tasks, of which some may be on machines already, to one zone or to at most half of them in
// one.
type zoneRule struct {
	tasks     map[int]int // by zone
	mostInOne int         // 0: no bound
	oneZone   bool
}

// zoneRule counts where a job's tasks are, if its zones are restricted.
func (s *Scheduler) zoneRule(w *waitingTasks) *zoneRule {
	spec := w.job.Spec
	rule := &zoneRule{tasks: map[int]int{}, oneZone: spec.OneZone}
	if !spec.OneZone && !spec.Spread {
		return rule
	}
	if spec.Spread {
		rule.mostInOne = (spec.Tasks + 1) / 2
	}
	for zone, count := range w.job.TasksByZone() {
		rule.tasks[s.zoneIndex(zone)] += count
	}
	return rule
}

// allows says whether another task may go to a host's zone.
func (r *zoneRule) allows(h *placement.Host) bool {
	if r.oneZone && len(r.tasks) > 0 && r.tasks[h.Zone] == 0 {
		return false
	}
	return r.mostInOne == 0 || r.tasks[h.Zone] < r.mostInOne
}

// take counts a task on a host.
func (r *zoneRule) take(h *placement.Host) {
	if r.oneZone || r.mostInOne > 0 {
		r.tasks[h.Zone]++
	}
}
