package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Machine is a machine that work may be placed on, as the maker of plans sees it.
type Machine struct {
	Name             string
	CPUs             float64 // in all
	Memory           float64 // in all, GB
	FreeCPUs         float64 // CPUs
	SecondsUntilIdle float64 // seconds until what runs there has probably ended
}

// Inputs are what a plan is made from.
type Inputs struct {
	Demands  []Demand
	Machines []Machine
	Teams    map[string]Quota
	Weights  *Weights
}

// Planner makes the plans while its controller owns the fleet shard.
type Planner struct {
	sinceTerm  uint64
	inForce    *Plan
	next       *Plan
	belowSince map[Key]time.Time // since when a class or team is under its floor
	lastFloors map[Key]float64   // its floor in the last plan
	idleSince  map[string]time.Time
	proposedAt time.Time
}

// NewPlanner goes on with what its controller acts on and has received: others may act on
// either. One that knows no plan begins with an empty one, which contradicts none.
func NewPlanner(since uint64, known *PlanState) *Planner {
	m := &Planner{
		sinceTerm:  since,
		belowSince: map[Key]time.Time{},
		lastFloors: map[Key]float64{},
		idleSince:  map[string]time.Time{},
	}
	m.inForce = known.inForce
	if m.inForce == nil {
		m.inForce = &Plan{ID: ID{SinceTerm: since}}
	}
	last := m.inForce
	if known.next != nil {
		last = known.next
	}
	m.next = &Plan{ID: ID{SinceTerm: since, Number: 1}, Floors: last.Floors, Reserved: last.Reserved}
	for _, f := range last.Floors { // who was short has waited long enough already
		group := Key{Class: f.Class}
		if f.WithinLimit {
			group = f.Key
		}
		m.belowSince[group] = time.Unix(1, 0)
		m.lastFloors[group] += f.CPUs
	}
	return m
}

// SinceTerm is the term since which the maker's controller owns the fleet.
func (m *Planner) SinceTerm() uint64 { return m.sinceTerm }

// Plans is the plan in force and the next one, nil if there is none.
func (m *Planner) Plans() (force, next *Plan) { return m.inForce, m.next }

// reservationGrace is how long a class has nothing that waits before its machines are free for all.
const reservationGrace = 5 * time.Second

// planInterval is the least time between two plans.
const planInterval = time.Second

// Step takes in which plans the members have received, brings the next plan into force once all
// have, and then makes another one if what is due has changed.
func (m *Planner) Step(now time.Time, in *Inputs, members map[string]ID) {
	if m.next != nil {
		for _, seen := range members {
			if seen.Compare(m.next.ID) < 0 {
				return // an unreachable member keeps its plan until the record drops it
			}
		}
		m.inForce, m.next = m.next, nil
	}
	if now.Sub(m.proposedAt) < planInterval {
		return
	}
	p := m.plan(now, in)
	if p.EqualContents(m.inForce) {
		return
	}
	p.ID = ID{SinceTerm: m.sinceTerm, Number: m.inForce.Number + 1}
	m.next, m.proposedAt = p, now
}

// plan is what should hold now, as far as it follows the plan in force.
func (m *Planner) plan(now time.Time, in *Inputs) *Plan {
	floors := m.currentFloors(now, in)
	p := &Plan{}
	d := &reservationDemand{
		smallestTask: math.Inf(1),
		waiting:      map[string]bool{},
		short:        map[string][]Demand{},
		floors:       map[string]float64{},
	}
	for _, n := range in.Demands {
		if n.Waiting <= 0 {
			continue
		}
		d.waiting[n.Class] = true
		d.smallestTask = min(d.smallestTask, n.TaskCPUs)
		switch {
		case floors.onMachines[n.Key] > 0:
			floor := n.wholeTasks(floors.onMachines[n.Key])
			p.Floors = append(p.Floors, Floor{Key: n.Key, CPUs: floor})
			d.short[n.Class] = append(d.short[n.Class], n)
			d.floors[n.Class] += floor
		case floors.withinLimit[n.Key] > 0:
			p.Floors = append(p.Floors, Floor{Key: n.Key, CPUs: n.wholeTasks(floors.withinLimit[n.Key]), WithinLimit: true})
		}
	}
	slices.SortFunc(p.Floors, func(a, b Floor) int { return a.Key.Compare(b.Key) })
	p.Reserved = m.reserveMachines(now, in, d)
	return p
}

// keyFloors are the floors in CPUs of keys that have been below them for long enough.
type keyFloors struct {
	onMachines  map[Key]float64
	withinLimit map[Key]float64 // of a team
}

// currentFloors brings up to date which groups are below their floors, and divides the floors of those that have been
// for long enough among their keys.
func (m *Planner) currentFloors(now time.Time, in *Inputs) keyFloors {
	cpus := 0.0
	for _, x := range in.Machines {
		cpus += x.CPUs
	}
	floors := keyFloors{onMachines: map[Key]float64{}, withinLimit: map[Key]float64{}}
	known := map[Key]bool{}
	for _, g := range Floors(cpus, in.Demands, in.Teams, in.Weights) {
		known[g.Key] = true
		g.Floor = m.steadyFloor(&g)
		m.updateBelow(&g, now)
		if since, below := m.belowSince[g.Key]; !below || now.Sub(since) < in.Weights.FloorAfter {
			delete(m.lastFloors, g.Key)
			continue
		}
		m.lastFloors[g.Key] = g.Floor
		if g.withinLimit() {
			floors.withinLimit[g.Key] = g.Floor
			continue
		}
		m.divideGroupFloor(g, in, floors.onMachines)
	}
	maps.DeleteFunc(m.belowSince, func(k Key, _ time.Time) bool { return !known[k] })
	return floors
}

// steadyFloor is a group's floor, or that of the last plan if it is about the same: plans do not change for little.
func (m *Planner) steadyFloor(g *Group) float64 {
	last := m.lastFloors[g.Key]
	if last > 0 && math.Abs(last-g.Floor) < max(last, g.Floor)/10 {
		return last
	}
	return g.Floor
}

// updateBelow notes since when a group is below its floor. One that has a floor in the plan stays until nothing waits.
func (m *Planner) updateBelow(g *Group, now time.Time) {
	switch {
	case !g.HasWaiting || g.Floor <= 0:
		delete(m.belowSince, g.Key)
	case g.Used < g.Floor && m.belowSince[g.Key].IsZero():
		m.belowSince[g.Key] = now
	case g.Used >= g.Floor && m.lastFloors[g.Key] == 0:
		delete(m.belowSince, g.Key)
	}
}

// wholeTasks rounds a floor to tasks of the need, one at least.
func (n *Demand) wholeTasks(floor float64) float64 {
	if n.TaskCPUs <= 0 {
		return floor
	}
	return max(1, math.Round(floor/n.TaskCPUs)) * n.TaskCPUs
}

// divideGroupFloor divides a group's floor among its keys: that of a class among the teams by weight, that
// of a team among its classes as they are urgent.
func (m *Planner) divideGroupFloor(g Group, in *Inputs, floors map[Key]float64) {
	var of []Demand
	var wants, weights []float64
	for _, n := range in.Demands {
		if g.Team == "" && n.Class == g.Class || g.Class == "" && n.Team == g.Team {
			of, wants, weights = append(of, n), append(wants, n.total()), append(weights, weight(in.Weights.Team, n.Team))
		}
	}
	if g.Team == "" {
		for i, x := range maxMinShares(g.Floor, wants, weights) {
			floors[of[i].Key] = max(floors[of[i].Key], x)
		}
		return
	}
	slices.SortStableFunc(of, func(a, b Demand) int { return b.Rank - a.Rank })
	left := g.Floor
	for _, n := range of {
		x := min(left, n.total())
		floors[n.Key] = max(floors[n.Key], x)
		left -= x
	}
}
