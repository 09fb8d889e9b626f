package scheduler

import (
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
)

// placeGang places all missing tasks of a gang, or none of them.
func (p *pass) placeGang(w *waitingTasks, ask *placement.Request) bool {
	missing, attempt := w.team.MissingGangTasks(w.job)
	if len(missing) == 0 {
		return true // the gang is running or ending
	}
	p.releasePlaces(w.spec.UID, ask)
	for _, zone := range p.scheduler.candidateZones(w) {
		if p.placeGangIn(zone, w, ask, missing, attempt) {
			return true
		}
	}
	return false
}

// candidateZones returns the zones that can hold a whole gang, or anyZone if its tasks may be in different zones. The zone
// whose machines have fetched the gang's image comes first.
func (s *Scheduler) candidateZones(w *waitingTasks) []int {
	if !w.job.Spec.OneZone {
		return []int{anyZone}
	}
	zones := []int{}
	former := s.formerZone(w.job)
	for zone := range s.config.Deployment.Zones {
		if zone == former {
			zones = slices.Insert(zones, 0, zone)
		} else {
			zones = append(zones, zone)
		}
	}
	return zones
}

// placeGangIn places all missing tasks of a gang in a zone. If they do not all fit, it releases what it took.
func (p *pass) placeGangIn(zone int, w *waitingTasks, ask *placement.Request, missing []int, attempt uint64) bool {
	taken := p.takeGangRoom(zone, w, ask, missing)
	if len(taken) == len(missing) {
		locations := map[int]jobstate.Location{}
		for index, h := range taken {
			locations[index] = p.scheduler.location(h)
			h.Images[ask.Image] = true
		}
		if w.team.PlaceGang(w.job, attempt, locations) {
			return true
		}
	}
	for _, h := range taken {
		p.release(h, ask.CPUs, ask.GPUs, ask.MemoryGB)
	}
	return false
}

// takeGangRoom allocates hosts to as many of a gang's missing tasks as fit and returns them by task index.
func (p *pass) takeGangRoom(zone int, w *waitingTasks, ask *placement.Request, missing []int) map[int]*placement.Host {
	zones := p.scheduler.zoneRule(w)
	taken := map[int]*placement.Host{}
	for _, index := range missing {
		skips := func(avoids func(machine string, now time.Time) bool) func(*placement.Host) bool {
			return func(h *placement.Host) bool {
				return (zone != anyZone && h.Zone != zone) || avoids(h.Name, p.now) || !zones.allows(h)
			}
		}
		choose := func(avoids func(machine string, now time.Time) bool) *placement.Host {
			return p.scheduler.chooseHost(p.hosts, ask, skips(avoids))
		}
		h := p.formerHost(w, ask, index, skips(w.job.Avoids))
		if h == nil {
			h = choose(w.job.Avoids)
		}
		if h == nil && w.job.AvoidsAny() {
			h = choose(w.job.Excludes)
		}
		if h == nil {
			break
		}
		p.allocate(h, ask)
		zones.take(h)
		taken[index] = h
	}
	return taken
}
