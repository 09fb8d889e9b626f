package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Machine is a machine that tasks may be placed on, as the planner sees it.
type Machine struct {
	Name             string
	CPUs             float64 // total
	Memory           float64 // total, in GB
	FreeCPUs         float64
	SecondsUntilIdle float64 // estimated time until all running tasks have ended
}

// Inputs is what a plan is computed from.
type Inputs struct {
	Demands  []Demand
	Machines []Machine
	Teams    map[string]Quota
	Weights  *Weights
	// CannotGrow is set if tasks would start late and no machines are to be had for them.
	CannotGrow bool
}

// Planner computes the plans while its controller owns the fleet shard.
type Planner struct {
	sinceTerm       uint64
	inForce         *Plan
	next            *Plan
	belowFloorSince map[Key]time.Time    // by group, when it fell below its floor
	lastFloors      map[Key]float64      // by group, its floor in the last plan
	idleSince       map[string]time.Time // by class with reserved machines, since when it has no waiting tasks
	saturatedSince  time.Time            // since when the fleet cannot grow although tasks would start late; zero if it can
	proposedAt      time.Time
}

// NewPlanner returns a planner for a controller that has owned the fleet shard since a term. It continues from the
// plan in force and the next plan that the controller knows, since other controllers may act on either. Without a
// known plan it starts from an empty one, which conflicts with no other.
func NewPlanner(since uint64, known *PlanState) *Planner {
	pl := &Planner{
		sinceTerm:       since,
		belowFloorSince: map[Key]time.Time{},
		lastFloors:      map[Key]float64{},
		idleSince:       map[string]time.Time{},
	}
	pl.inForce = known.inForce
	if pl.inForce == nil {
		pl.inForce = &Plan{ID: ID{SinceTerm: since}}
	}
	last := pl.inForce
	if known.next != nil {
		last = known.next
	}
	pl.next = &Plan{ID: ID{SinceTerm: since, Number: 1}, Floors: last.Floors, Reserved: last.Reserved, FirstTasks: last.FirstTasks}
	if last.FirstTasks {
		pl.saturatedSince = time.Unix(1, 0)
	}
	for _, f := range last.Floors { // these groups have already been below their floors for FloorAfter
		group := Key{Class: f.Class}
		if f.WithinLimit {
			group = f.Key
		}
		pl.belowFloorSince[group] = time.Unix(1, 0)
		pl.lastFloors[group] += f.CPUs
	}
	return pl
}

// SinceTerm returns the term since which the planner's controller has owned the fleet shard.
func (pl *Planner) SinceTerm() uint64 { return pl.sinceTerm }

// Plans returns the plan in force and the next one, which is nil if there is none.
func (pl *Planner) Plans() (inForce, next *Plan) { return pl.inForce, pl.next }

// reservationGrace is how long a class keeps its reserved machines after its last task stopped waiting.
const reservationGrace = 5 * time.Second

// planInterval is the minimum time between two plans.
const planInterval = time.Second

// Step puts the next plan into force once every member has received it, and then proposes another one if the floors or
// reservations have changed. members maps each other member to the latest plan that it has received.
func (pl *Planner) Step(now time.Time, in *Inputs, members map[string]ID) {
	if pl.next != nil {
		for _, seen := range members {
			if seen.Compare(pl.next.ID) < 0 {
				return // an unreachable member acts on its old plan until the membership record drops it
			}
		}
		pl.inForce, pl.next = pl.next, nil
	}
	if now.Sub(pl.proposedAt) < planInterval {
		return
	}
	p := pl.plan(now, in)
	if p.EqualContents(pl.inForce) {
		return
	}
	p.ID = ID{SinceTerm: pl.sinceTerm, Number: pl.inForce.Number + 1}
	pl.next, pl.proposedAt = p, now
}

// plan computes the floors and reservations for the present inputs, as a plan that may follow the one in force.
func (pl *Planner) plan(now time.Time, in *Inputs) *Plan {
	saturated := pl.updateSaturation(now, in)
	floors := pl.currentFloors(now, in, saturated)
	p := &Plan{FirstTasks: saturated}
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
	p.Reserved = pl.reserveMachines(now, in, d)
	return p
}

// saturationDelay is how long the fleet must have been unable to grow before it counts as saturated. Ordinary bursts have
// passed by then, or their machines are on their way.
const saturationDelay = 10 * time.Second

// updateSaturation records since when the fleet cannot grow and reports whether it is saturated.
func (pl *Planner) updateSaturation(now time.Time, in *Inputs) bool {
	if !in.CannotGrow || in.Weights.FloorShare <= 0 {
		pl.saturatedSince = time.Time{}
		return false
	}
	if pl.saturatedSince.IsZero() {
		pl.saturatedSince = now
	}
	return now.Sub(pl.saturatedSince) >= saturationDelay
}

// keyFloors holds the floors, in CPUs, of the keys whose groups have been below their floors for FloorAfter.
type keyFloors struct {
	onMachines  map[Key]float64
	withinLimit map[Key]float64 // within the limit of the key's team
}

// currentFloors updates which groups are below their floors, and divides the floors of those that have been below for
// FloorAfter among their keys. In a saturated fleet it does not wait for that long, since the shortage cannot pass by
// itself.
func (pl *Planner) currentFloors(now time.Time, in *Inputs, saturated bool) keyFloors {
	after := in.Weights.FloorAfter
	if saturated {
		after = min(after, saturationDelay)
	}
	cpus := 0.0
	for _, x := range in.Machines {
		cpus += x.CPUs
	}
	floors := keyFloors{onMachines: map[Key]float64{}, withinLimit: map[Key]float64{}}
	known := map[Key]bool{}
	for _, g := range Floors(cpus, in.Demands, in.Teams, in.Weights) {
		known[g.Key] = true
		g.Floor = pl.dampedFloor(&g)
		pl.updateBelowFloor(&g, now)
		if since, below := pl.belowFloorSince[g.Key]; !below || now.Sub(since) < after {
			delete(pl.lastFloors, g.Key)
			continue
		}
		pl.lastFloors[g.Key] = g.Floor
		if g.withinLimit() {
			floors.withinLimit[g.Key] = g.Floor
			continue
		}
		pl.divideGroupFloor(g, in, floors.onMachines)
	}
	maps.DeleteFunc(pl.belowFloorSince, func(k Key, _ time.Time) bool { return !known[k] })
	return floors
}

// dampedFloor returns the group's floor, or its floor in the last plan if the two differ by less than 10 %, so that
// small changes cause no new plan.
func (pl *Planner) dampedFloor(g *Group) float64 {
	last := pl.lastFloors[g.Key]
	if last > 0 && math.Abs(last-g.Floor) < max(last, g.Floor)/10 {
		return last
	}
	return g.Floor
}

// updateBelowFloor records when a group fell below its floor. A group with a floor in the last plan keeps it until none
// of its tasks wait.
func (pl *Planner) updateBelowFloor(g *Group, now time.Time) {
	switch {
	case !g.HasWaiting || g.Floor <= 0:
		delete(pl.belowFloorSince, g.Key)
	case g.Used < g.Floor && pl.belowFloorSince[g.Key].IsZero():
		pl.belowFloorSince[g.Key] = now
	case g.Used >= g.Floor && pl.lastFloors[g.Key] == 0:
		delete(pl.belowFloorSince, g.Key)
	}
}

// wholeTasks rounds a floor to a multiple of the demand's largest waiting task, at least one task.
func (d *Demand) wholeTasks(floor float64) float64 {
	if d.TaskCPUs <= 0 {
		return floor
	}
	return max(1, math.Round(floor/d.TaskCPUs)) * d.TaskCPUs
}

// divideGroupFloor divides a group's floor among its keys: the floor of a class among the teams by weight, and the
// floor of a team among its classes in order of priority.
func (pl *Planner) divideGroupFloor(g Group, in *Inputs, floors map[Key]float64) {
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
