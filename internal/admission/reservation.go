package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// reservationDemand is the demand that machines are reserved for.
type reservationDemand struct {
	waiting      map[string]bool     // classes with waiting tasks
	smallestTask float64             // smallest TaskCPUs of all waiting demands
	short        map[string][]Demand // by class, the demands that have a floor
	floors       map[string]float64  // by class, the sum of these floors
}

// reservations holds the machines that a new plan reserves.
type reservations struct {
	machines map[string]*Machine // all machines, by name
	previous map[string]string   // reserved by the plan in force
	reserved map[string]string
	limit    int // maximum number of reserved machines
}

// classReservation is what remains to be reserved for a class.
type classReservation struct {
	class    string
	taskCPUs float64 // largest number of CPUs of a waiting task
	memory   float64 // largest memory of a waiting task, in GB
	left     float64 // CPUs still to be reserved
}

// reserveMachines returns the class that each reserved machine is reserved for. A class below its floor gets
// reservations if its tasks are larger than other waiting tasks, which would otherwise fill every gap before a large
// one fits. A machine is unreserved for at least one plan before it is reserved for another class.
func (pl *Planner) reserveMachines(now time.Time, in *Inputs, d *reservationDemand) map[string]string {
	r := &reservations{
		machines: map[string]*Machine{},
		previous: pl.inForce.Reserved,
		reserved: map[string]string{},
		limit:    len(in.Machines) / 2,
	}
	for i := range in.Machines {
		r.machines[in.Machines[i].Name] = &in.Machines[i]
	}
	kept := pl.keptReservations(now, r.machines, d.waiting)
	for class, names := range kept {
		if !d.waiting[class] { // kept for reservationGrace, in case more tasks arrive
			for _, name := range names {
				r.reserved[name] = class
			}
		}
	}
	for _, class := range slices.Sorted(maps.Keys(d.short)) {
		c := classReservation{class: class, left: d.floors[class]}
		for _, n := range d.short[class] {
			c.taskCPUs, c.memory = max(c.taskCPUs, n.TaskCPUs), max(c.memory, n.TaskMemory)
		}
		if c.taskCPUs <= d.smallestTask+1e-6 && len(kept[class]) == 0 {
			continue // no waiting task is smaller, so its tasks fit into the same gaps
		}
		r.reserveFor(&c, kept[class])
	}
	if len(r.reserved) == 0 {
		return nil
	}
	return r.reserved
}

// keptReservations returns, by class, the machines that the plan in force reserves and that may stay reserved.
func (pl *Planner) keptReservations(now time.Time, machines map[string]*Machine, waiting map[string]bool) map[string][]string {
	kept := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(pl.inForce.Reserved)) {
		class := pl.inForce.Reserved[name]
		if !waiting[class] && pl.idleSince[class].IsZero() {
			pl.idleSince[class] = now
		}
		if machines[name] != nil && (waiting[class] || now.Sub(pl.idleSince[class]) < reservationGrace) {
			kept[class] = append(kept[class], name)
		}
	}
	maps.DeleteFunc(pl.idleSince, func(class string, _ time.Time) bool { return waiting[class] })
	return kept
}

// reserveFor reserves machines for a class: first those already reserved for it, then those expected to be idle
// soonest.
func (r *reservations) reserveFor(c *classReservation, kept []string) {
	for _, name := range kept {
		r.add(c, r.machines[name])
	}
	if c.left <= 0 {
		return
	}
	for _, machine := range r.unreserved() {
		if c.left <= 0 {
			return
		}
		r.add(c, machine)
	}
}

// unreserved returns the machines that neither this plan nor the one in force reserves, in order of when they are
// expected to be idle.
func (r *reservations) unreserved() []*Machine {
	free := make([]*Machine, 0, len(r.machines))
	for name, machine := range r.machines {
		if r.reserved[name] == "" && r.previous[name] == "" {
			free = append(free, machine)
		}
	}
	slices.SortFunc(free, func(a, b *Machine) int {
		return cmp.Or(
			cmp.Compare(a.SecondsUntilIdle, b.SecondsUntilIdle),
			cmp.Compare(b.FreeCPUs, a.FreeCPUs),
			strings.Compare(a.Name, b.Name),
		)
	})
	return free
}

// add reserves a machine for a class if the class still needs CPUs, one of its tasks fits the machine, and the limit on
// reservations is not reached.
func (r *reservations) add(c *classReservation, machine *Machine) {
	tasks := math.Floor(machine.CPUs/c.taskCPUs + 1e-9)
	if c.memory > 0 {
		tasks = min(tasks, math.Floor(machine.Memory/c.memory+1e-9))
	}
	if c.left <= 0 || tasks < 1 || len(r.reserved) >= r.limit {
		return
	}
	r.reserved[machine.Name] = c.class
	c.left -= tasks * c.taskCPUs
}
