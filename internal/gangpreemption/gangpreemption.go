// Package gangpreemption selects the tasks to stop so that all tasks of a gang fit on machines at the same time. It
// keeps no state, does no I/O and reads no clock.
package gangpreemption

import (
	"cmp"
	"slices"
)

// Resources is an amount of CPUs, GPUs and memory in GB.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

func (a Resources) plus(b Resources) Resources {
	return Resources{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.MemoryGB + b.MemoryGB}
}

func (a Resources) minus(b Resources) Resources {
	return Resources{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.MemoryGB - b.MemoryGB}
}

// roundingTolerance is the largest rounding error of summed amounts.
const roundingTolerance = 1e-6

// covers reports whether a is at least b.
func (a Resources) covers(b Resources) bool {
	return a.CPUs+roundingTolerance >= b.CPUs && a.GPUs+roundingTolerance >= b.GPUs && a.MemoryGB+roundingTolerance >= b.MemoryGB
}

// Victim is a task that may be stopped for the gang. The caller assigns the ID.
type Victim struct {
	ID             int
	Size           Resources
	LostCPUSeconds float64 // progress lost if it is stopped
	SameTeam       bool    // it is of the gang's team, so that stopping it also frees quota
}

// Machine is a machine that the gang may run on.
type Machine struct {
	Zone    int
	Free    Resources
	Victims []Victim // in the order in which they may be stopped
}

// Gang is the gang to be placed.
type Gang struct {
	Tasks   int
	PerTask Resources // needed by each task
	OneZone bool
	Quota   Resources // unused by its team; memory is ignored
}

// Stop lists the victims to stop on a machine, and how many of the gang's tasks then fit there.
type Stop struct {
	Machine int // index into the machines
	Slots   int
	Victims []Victim
}

// Plan returns which tasks to stop. It returns one Stop for each machine that the gang would use, and for each machine
// where tasks are stopped only to free quota. If the gang must run in one zone, it is the zone in which least progress
// is lost. Within a zone, the search adds one task of the gang at a time, where that loses least progress. ok is false
// if the gang does not fit even if all victims are stopped.
func Plan(g Gang, machines []Machine) (stops []Stop, ok bool) {
	lowestLoss := 0.0
	for _, zone := range candidateZones(g, machines) {
		zoneStops, loss, fits := planInZone(g, machines, zone)
		if fits && (!ok || loss < lowestLoss) {
			stops, lowestLoss, ok = zoneStops, loss, true
		}
	}
	return stops, ok
}

// anyZone stands for all zones together.
const anyZone = -1

// candidateZones lists the zones to try: each zone that has machines if the gang must run in one, else anyZone.
func candidateZones(g Gang, machines []Machine) (list []int) {
	if !g.OneZone {
		return []int{anyZone}
	}
	for i := range machines {
		if !slices.Contains(list, machines[i].Zone) {
			list = append(list, machines[i].Zone)
		}
	}
	return list
}

// zonePlanner searches for the stops on the machines of one zone, or of all zones.
type zonePlanner struct {
	gang     Gang
	machines []Machine
	zone     int
	stops    []Stop      // by machine
	free     []Resources // by machine, after the stops and slots chosen so far
}

// planInZone plans the stops for the gang on the machines of one zone, or of all zones.
func planInZone(g Gang, machines []Machine, zone int) (stops []Stop, loss float64, ok bool) {
	p := &zonePlanner{
		gang:     g,
		machines: machines,
		zone:     zone,
		stops:    make([]Stop, len(machines)),
		free:     make([]Resources, len(machines)),
	}
	for i := range machines {
		p.stops[i].Machine, p.free[i] = i, machines[i].Free
	}
	for range g.Tasks {
		lost, found := p.addSlot()
		if !found {
			return nil, 0, false
		}
		loss += lost
	}
	quotaLoss, ok := freeQuota(g, machines, p.stops)
	stops = slices.DeleteFunc(p.stops, func(s Stop) bool { return s.Slots == 0 && len(s.Victims) == 0 })
	return stops, loss + quotaLoss, ok
}

// addSlot adds a slot for one more task on the machine where that loses least progress.
func (p *zonePlanner) addSlot() (loss float64, ok bool) {
	best, count := -1, 0
	for i := range p.machines {
		if p.zone != anyZone && p.machines[i].Zone != p.zone {
			continue
		}
		n, lost, fits := nextSlot(p.gang.PerTask, p.free[i], p.machines[i].Victims[len(p.stops[i].Victims):])
		if fits && (best < 0 || lost < loss) {
			best, count, loss = i, n, lost
		}
	}
	if best < 0 {
		return 0, false
	}
	stop := &p.stops[best]
	from := len(stop.Victims)
	for _, v := range p.machines[best].Victims[from : from+count] {
		p.free[best] = p.free[best].plus(v.Size)
	}
	stop.Victims = p.machines[best].Victims[:from+count]
	stop.Slots++
	p.free[best] = p.free[best].minus(p.gang.PerTask)
	return loss, true
}

// nextSlot returns how many of the victims, in order, have to be stopped for one more task to fit, and the progress
// lost.
func nextSlot(perTask, free Resources, victims []Victim) (count int, loss float64, ok bool) {
	for ; !free.covers(perTask); count++ {
		if count == len(victims) {
			return 0, 0, false
		}
		free = free.plus(victims[count].Size)
		loss += victims[count].LostCPUSeconds
	}
	return count, loss, true
}

// freeQuota adds victims of the gang's team on any machine, least loss first, until the team's quota suffices. Quota of
// victims that are already chosen counts as free.
func freeQuota(g Gang, machines []Machine, stops []Stop) (loss float64, ok bool) {
	quota, need := g.Quota, Resources{CPUs: float64(g.Tasks) * g.PerTask.CPUs, GPUs: float64(g.Tasks) * g.PerTask.GPUs}
	quota.MemoryGB = 0
	type candidate struct {
		machine int
		Victim
	}
	var others []candidate
	for i := range machines {
		chosen := len(stops[i].Victims)
		for at, v := range machines[i].Victims {
			if v.SameTeam && at < chosen {
				quota.CPUs, quota.GPUs = quota.CPUs+v.Size.CPUs, quota.GPUs+v.Size.GPUs
			} else if v.SameTeam {
				others = append(others, candidate{i, v})
			}
		}
	}
	slices.SortStableFunc(others, func(a, b candidate) int { return cmp.Compare(a.LostCPUSeconds, b.LostCPUSeconds) })
	for _, c := range others {
		if quota.covers(need) {
			break
		}
		quota.CPUs, quota.GPUs = quota.CPUs+c.Size.CPUs, quota.GPUs+c.Size.GPUs
		stops[c.machine].Victims = append(slices.Clip(stops[c.machine].Victims), c.Victim)
		loss += c.LostCPUSeconds
	}
	return loss, quota.covers(need)
}
