package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// reservationDemand is what the reservation of machines goes by.
type reservationDemand struct {
	waiting      map[string]bool     // classes with tasks that wait
	smallestTask float64             // CPUs of the smallest task that waits
	short        map[string][]Demand // by class, the needs that have a floor
	floors       map[string]float64  // by class, the sum of these floors
}

// reservations are the machines that a new plan reserves.
type reservations struct {
	machines map[string]*Machine // those that there are
	previous map[string]string   // reserved by the plan in force
	reserved map[string]string
	limit    int // how many machines may be reserved
}

// classReservation is what is still to be reserved for a class.
type classReservation struct {
	class    string
	taskCPUs float64 // of its largest task that waits
	memory   float64 // of the same, GB
	left     float64 // CPUs
}

// reserveMachines says which machines are held for which class: for one that got too little though its
// tasks are larger than others that wait, so that it finds no room where those take each
// piece that comes free. A machine that was held for a class is first free for all.
func (m *Planner) reserveMachines(now time.Time, in *Inputs, d *reservationDemand) map[string]string {
	r := &reservations{
		machines: map[string]*Machine{},
		previous: m.inForce.Reserved,
		reserved: map[string]string{},
		limit:    len(in.Machines) / 2,
	}
	for i := range in.Machines {
		r.machines[in.Machines[i].Name] = &in.Machines[i]
	}
	kept := m.keptReservations(now, r.machines, d.waiting)
	for class, names := range kept {
		if !d.waiting[class] { // for a moment, in case more comes
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
			continue // whatever comes free is large enough
		}
		r.reserveFor(&c, kept[class])
	}
	if len(r.reserved) == 0 {
		return nil
	}
	return r.reserved
}

// keptReservations lists, by class, the machines that the plan in force reserves and that may stay reserved.
func (m *Planner) keptReservations(now time.Time, machines map[string]*Machine, waiting map[string]bool) map[string][]string {
	kept := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(m.inForce.Reserved)) {
		class := m.inForce.Reserved[name]
		if !waiting[class] && m.idleSince[class].IsZero() {
			m.idleSince[class] = now
		}
		if machines[name] != nil && (waiting[class] || now.Sub(m.idleSince[class]) < reservationGrace) {
			kept[class] = append(kept[class], name)
		}
	}
	maps.DeleteFunc(m.idleSince, func(class string, _ time.Time) bool { return waiting[class] })
	return kept
}

// reserveFor reserves machines for a class: those that it has first, then those that are empty soonest.
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

// unreserved lists the machines that neither this plan nor the one in force reserves, those first that are empty
// soonest.
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

// add reserves a machine for a class if that lacks any, a task has room there, and the plan may reserve one more.
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
