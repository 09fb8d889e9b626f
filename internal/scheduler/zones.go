package scheduler

import (
	"slices"

	"topazhollow/internal/placement"
)

// anyZone is used in place of a zone index and stands for all zones.
const anyZone = -1

// unknownZone is the index of zones that are not part of the deployment. It matches no machine's zone.
const unknownZone = 1 << 20

// zoneIndex returns the index of a zone in the deployment's list, or unknownZone.
func (s *Scheduler) zoneIndex(zone string) int {
	if i := slices.Index(s.config.Deployment.Zones, zone); i >= 0 {
		return i
	}
	return unknownZone
}

// zoneRule restricts the zones of a job's tasks: all in one zone, or at most half of them in any zone. It takes tasks
// that are already placed into account.
type zoneRule struct {
	tasks      map[int]int // placed tasks by zone index
	maxPerZone int         // maximum number of tasks per zone; 0 means no limit
	oneZone    bool
}

// zoneRule returns the zone restriction of a job with the current zones of its tasks.
func (s *Scheduler) zoneRule(w *waitingTasks) *zoneRule {
	spec := w.job.Spec
	rule := &zoneRule{tasks: map[int]int{}, oneZone: spec.OneZone}
	if !spec.OneZone && !spec.Spread {
		return rule
	}
	if spec.Spread {
		rule.maxPerZone = (spec.Tasks + 1) / 2
	}
	for zone, count := range w.job.TasksByZone() {
		rule.tasks[s.zoneIndex(zone)] += count
	}
	return rule
}

// allows reports whether another task may be placed in a host's zone.
func (r *zoneRule) allows(h *placement.Host) bool {
	if r.oneZone && len(r.tasks) > 0 && r.tasks[h.Zone] == 0 {
		return false
	}
	return r.maxPerZone == 0 || r.tasks[h.Zone] < r.maxPerZone
}

// take records that a task was placed on a host.
func (r *zoneRule) take(h *placement.Host) {
	if r.oneZone || r.maxPerZone > 0 {
		r.tasks[h.Zone]++
	}
}
