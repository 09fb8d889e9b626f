package scheduler

import (
	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
)

// placeGang finds room for all missing tasks of a gang, or takes none.
func (p *pass) placeGang(w *waitingTasks, ask *placement.Request) bool {
	missing, attempt := w.team.MissingGangTasks(w.job)
	if len(missing) == 0 {
		return true // it runs or ends
	}
	for _, zone := range p.scheduler.zonesToTry(w) {
		if p.placeGangIn(zone, w, ask, missing, attempt) {
			return true
		}
	}
	return false
}

// zonesToTry lists the zones in which all of a gang may go, or anyZone if they may differ.
func (s *Scheduler) zonesToTry(w *waitingTasks) []int {
	if !w.job.Spec.OneZone {
		return []int{anyZone}
	}
	var zones []int
	for zone := range s.config.Deployment.Zones {
		zones = append(zones, zone)
	}
	return zones
}

// placeGangIn places all missing tasks of a gang in a zone, or takes no room.
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
		h.Release(ask.CPUs, ask.GPUs, ask.MemoryGB)
	}
	return false
}

// takeGangRoom takes room for as many of a gang's missing tasks as it can, by their index.
func (p *pass) takeGangRoom(zone int, w *waitingTasks, ask *placement.Request, missing []int) map[int]*placement.Host {
	zones := p.scheduler.zoneRule(w)
	taken := map[int]*placement.Host{}
	for _, index := range missing {
		h := p.scheduler.chooseHost(p.hosts, ask, func(h *placement.Host) bool {
			return (zone != anyZone && h.Zone != zone) || w.job.Avoids(h.Name, p.now) || !zones.allows(h)
		})
		if h == nil {
			break
		}
		h.Allocate(ask)
		zones.take(h)
		taken[index] = h
	}
	return taken
}
