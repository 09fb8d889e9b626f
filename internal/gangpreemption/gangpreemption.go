// Package gangpreemption decides which tasks to stop so that all tasks of a gang have room at the same time. It does no I/O and
// reads no clock.
package gangpreemption

import (
	"cmp"
	"slices"
)

// Amount is what tasks take or machines have: CPUs, GPUs, and memory in GB.
type Amount struct{ CPUs, GPUs, Memory float64 }

func (a Amount) plus(b Amount) Amount {
	return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.Memory + b.Memory}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.Memory - b.Memory}
}

// slack absorbs rounding in sums of amounts.
const slack = 1e-6

func (a Amount) holds(b Amount) bool {
	return a.CPUs+slack >= b.CPUs && a.GPUs+slack >= b.GPUs && a.Memory+slack >= b.Memory
}

// Victim is a task that may be stopped for the gang. ID is the caller's.
type Victim struct {
	ID   int
	Size Amount
	Loss float64 // CPU seconds of progress thrown away
	Own  bool    // of the gang's team: what it takes of the quota becomes free as well
}

// Machine is one that the gang may use.
type Machine struct {
	Zone    int
	Free    Amount
	Victims []Victim // in the order in which they are to be stopped
}

// Gang is what needs room.
type Gang struct {
	Tasks   int
	Each    Amount // that a task takes
	OneZone bool
	Quota   Amount // that is left to its team; memory counts for nothing
}

// Stop is what to stop on a machine, and how many of the gang's tasks have room there then.
type Stop struct {
	Machine int // index into the machines
	Slots   int
	Victims []Victim
}

// Make gives the stops with the least loss, one for each machine that the gang would use and for each where tasks are stopped
// for the quota alone. ok is false if there is no room for the whole gang whatever is stopped.
func Make(g Gang, machines []Machine) (stops []Stop, ok bool) {
	lowest := 0.0
	for _, zone := range zones(g, machines) {
		list, loss, enough := makeIn(g, machines, zone)
		if enough && (!ok || loss < lowest) {
			stops, lowest, ok = list, loss, true
		}
	}
	return stops, ok
}

// anyZone stands for all zones together.
const anyZone = -1

// zones lists where the whole gang has to run.
func zones(g Gang, machines []Machine) (list []int) {
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

// makeIn makes room for a gang on the machines of one zone.
func makeIn(g Gang, machines []Machine, zone int) (stops []Stop, loss float64, ok bool) {
	stops = make([]Stop, len(machines))
	left := make([]Amount, len(machines))
	for i := range machines {
		stops[i].Machine, left[i] = i, machines[i].Free
	}
	for range g.Tasks {
		best, count, low := -1, 0, 0.0
		for i := range machines {
			if zone != anyZone && machines[i].Zone != zone {
				continue
			}
			n, lost, fits := nextSlot(g.Each, left[i], machines[i].Victims[len(stops[i].Victims):])
			if fits && (best < 0 || lost < low) {
				best, count, low = i, n, lost
			}
		}
		if best < 0 {
			return nil, 0, false
		}
		from := len(stops[best].Victims)
		for _, v := range machines[best].Victims[from : from+count] {
			left[best] = left[best].plus(v.Size)
		}
		stops[best].Victims = machines[best].Victims[:from+count]
		stops[best].Slots++
		left[best] = left[best].minus(g.Each)
		loss += low
	}
	more, ok := freeQuota(g, machines, stops)
	stops = slices.DeleteFunc(stops, func(s Stop) bool { return s.Slots == 0 && len(s.Victims) == 0 })
	return stops, loss + more, ok
}

// nextSlot is how many of the victims, in their order, have to be stopped so that one more task fits.
func nextSlot(each, free Amount, victims []Victim) (count int, loss float64, ok bool) {
	for ; !free.holds(each); count++ {
		if count == len(victims) {
			return 0, 0, false
		}
		free = free.plus(victims[count].Size)
		loss += victims[count].Loss
	}
	return count, loss, true
}

// freeQuota adds victims of the gang's team on any machine until its quota is enough.
func freeQuota(g Gang, machines []Machine, stops []Stop) (loss float64, ok bool) {
	quota, need := g.Quota, Amount{CPUs: float64(g.Tasks) * g.Each.CPUs, GPUs: float64(g.Tasks) * g.Each.GPUs}
	quota.Memory = 0
	type candidate struct {
		machine int
		Victim
	}
	var others []candidate
	for i := range machines {
		chosen := len(stops[i].Victims)
		for at, v := range machines[i].Victims {
			if v.Own && at < chosen {
				quota.CPUs, quota.GPUs = quota.CPUs+v.Size.CPUs, quota.GPUs+v.Size.GPUs
			} else if v.Own {
				others = append(others, candidate{i, v})
			}
		}
	}
	slices.SortStableFunc(others, func(a, b candidate) int { return cmp.Compare(a.Loss, b.Loss) })
	for _, c := range others {
		if quota.holds(need) {
			break
		}
		quota.CPUs, quota.GPUs = quota.CPUs+c.Size.CPUs, quota.GPUs+c.Size.GPUs
		stops[c.machine].Victims = append(slices.Clip(stops[c.machine].Victims), c.Victim)
		loss += c.Loss
	}
	return loss, quota.holds(need)
}
