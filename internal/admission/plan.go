package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// ID names a plan: who owns the fleet since a term numbers its plans, and a later owner's
// come after all of an earlier one's.
type ID struct {
	SinceTerm uint64 `json:"since"`
	Number    uint64 `json:"number"`
}

// Compare orders plans.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.SinceTerm, b.SinceTerm), cmp.Compare(a.Number, b.Number))
}

// Floor is what a key is to have of the machines before others get more, in CPUs.
type Floor struct {
	Key
	CPUs        float64 `json:"cpus"`
	WithinLimit bool    `json:"within_limit,omitempty"` // it orders what waits for the team's limit; machines are not kept for it
}

// Plan is what all controllers keep to while something is short.
type Plan struct {
	ID
	Floors   []Floor           `json:"floors,omitempty"`   // of keys that got too little, in order
	Reserved map[string]string `json:"reserved,omitempty"` // machine -> the only class that starts there
}

// Floor is a key's floor on machines, 0 for none. Floors within a team's limit are none.
func (p *Plan) Floor(k Key) float64 {
	if p == nil {
		return 0
	}
	if i, ok := slices.BinarySearchFunc(p.Floors, k, func(f Floor, k Key) int { return f.Key.Compare(k) }); ok && !p.Floors[i].WithinLimit {
		return p.Floors[i].CPUs
	}
	return 0
}

// ReservedClass is the only class that may start on a machine, "" for any.
func (p *Plan) ReservedClass(machine string) string {
	if p == nil {
		return ""
	}
	return p.Reserved[machine]
}

// Same says whether two plans say the same, whatever their numbers.
func (p *Plan) Same(o *Plan) bool {
	return slices.Equal(p.Floors, o.Floors) && maps.Equal(p.Reserved, o.Reserved)
}

// ConflictsWith says whether two controllers that act on these plans at the same time would
// hold the same machine for different classes.
func (p *Plan) ConflictsWith(o *Plan) bool {
	if p == nil || o == nil {
		return false
	}
	for m, class := range p.Reserved {
		if other := o.Reserved[m]; other != "" && other != class {
			return true
		}
	}
	return false
}

// PlanStatus is what a status says of plans. Only the owner of the fleet shard sends plans: the one in force, and the next
// one, which nobody acts on yet.
type PlanStatus struct {
	Latest  ID    `json:"seen"` // the latest plan received, in force or not
	InForce *Plan `json:"force,omitempty"`
	Next    *Plan `json:"next,omitempty"`
}

// Agreement is a controller's part of the plans: what it acts on and what it has received. A
// plan comes into force when every member has received it, and is sent only together with the
// one in force, so that what any two controllers act on is at most one plan apart; and no
// machine is held for one class in a plan and for another one in the next.
type Agreement struct {
	inForce *Plan
	next    *Plan
}

// InForce is the plan to act on; nil for none.
func (a *Agreement) InForce() *Plan { return a.inForce }

// Latest is the latest plan received.
func (a *Agreement) Latest() ID {
	var id ID
	for _, p := range []*Plan{a.inForce, a.next} {
		if p != nil && p.ID.Compare(id) > 0 {
			id = p.ID
		}
	}
	return id
}

// Apply takes in what the owner of the fleet shard since a term sends. What an earlier owner sent is ignored if it arrives
// late.
func (a *Agreement) Apply(since uint64, w PlanStatus) {
	if w.InForce == nil || w.InForce.SinceTerm > since || w.Next != nil && w.Next.SinceTerm != since {
		return
	}
	if a.inForce == nil || w.InForce.ID.Compare(a.inForce.ID) > 0 {
		a.inForce = w.InForce
	}
	if w.Next != nil && w.Next.ID.Compare(a.Latest()) > 0 {
		a.next = w.Next
	}
	if a.next != nil && a.inForce != nil && a.next.ID.Compare(a.inForce.ID) <= 0 {
		a.next = nil
	}
}

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
	Needs    []Need
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
func NewPlanner(since uint64, known *Agreement) *Planner {
	m := &Planner{sinceTerm: since, belowSince: map[Key]time.Time{}, lastFloors: map[Key]float64{}, idleSince: map[string]time.Time{}}
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
	if p.Same(m.inForce) {
		return
	}
	p.ID = ID{SinceTerm: m.sinceTerm, Number: m.inForce.Number + 1}
	m.next, m.proposedAt = p, now
}

// plan is what should hold now, as far as it follows the plan in force.
func (m *Planner) plan(now time.Time, in *Inputs) *Plan {
	cpus := 0.0
	for _, x := range in.Machines {
		cpus += x.CPUs
	}
	floors, limited := map[Key]float64{}, map[Key]float64{}
	known := map[Key]bool{}
	for _, g := range Floors(cpus, in.Needs, in.Teams, in.Weights) {
		known[g.Key] = true
		had := m.lastFloors[g.Key]
		if had > 0 && math.Abs(had-g.Floor) < max(had, g.Floor)/10 {
			g.Floor = had // plans do not change for little
		}
		switch {
		case !g.HasWaiting || g.Floor <= 0:
			delete(m.belowSince, g.Key)
		case g.Used < g.Floor && m.belowSince[g.Key].IsZero():
			m.belowSince[g.Key] = now
		case g.Used >= g.Floor && had == 0:
			delete(m.belowSince, g.Key)
		}
		if since, ok := m.belowSince[g.Key]; !ok || now.Sub(since) < in.Weights.FloorAfter {
			delete(m.lastFloors, g.Key)
			continue
		}
		m.lastFloors[g.Key] = g.Floor
		if g.withinLimit() {
			limited[g.Key] = g.Floor
			continue
		}
		m.divideGroupFloor(g, in, floors)
	}
	maps.DeleteFunc(m.belowSince, func(k Key, _ time.Time) bool { return !known[k] })
	p := &Plan{}
	least := math.Inf(1) // the smallest task that waits
	waits := map[string]bool{}
	short := map[string][]Need{} // by class: keys with a floor
	sums := map[string]float64{}
	for _, n := range in.Needs {
		if n.Waiting <= 0 {
			continue
		}
		waits[n.Class] = true
		least = min(least, n.TaskCPUs)
		switch {
		case floors[n.Key] > 0:
			floor := n.wholeTasks(floors[n.Key])
			p.Floors = append(p.Floors, Floor{Key: n.Key, CPUs: floor})
			short[n.Class] = append(short[n.Class], n)
			sums[n.Class] += floor
		case limited[n.Key] > 0:
			p.Floors = append(p.Floors, Floor{Key: n.Key, CPUs: n.wholeTasks(limited[n.Key]), WithinLimit: true})
		}
	}
	slices.SortFunc(p.Floors, func(a, b Floor) int { return a.Key.Compare(b.Key) })
	p.Reserved = m.reserveMachines(now, in, short, sums, least, waits)
	return p
}

// wholeTasks rounds a floor to tasks of the need, one at least.
func (n *Need) wholeTasks(floor float64) float64 {
	if n.TaskCPUs <= 0 {
		return floor
	}
	return max(1, math.Round(floor/n.TaskCPUs)) * n.TaskCPUs
}

// divideGroupFloor divides a group's floor among its keys: that of a class among the teams by weight, that
// of a team among its classes as they are urgent.
func (m *Planner) divideGroupFloor(g Group, in *Inputs, floors map[Key]float64) {
	var of []Need
	var wants, weights []float64
	for _, n := range in.Needs {
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
	slices.SortStableFunc(of, func(a, b Need) int { return b.Rank - a.Rank })
	left := g.Floor
	for _, n := range of {
		x := min(left, n.total())
		floors[n.Key] = max(floors[n.Key], x)
		left -= x
	}
}

// reserveMachines says which machines are held for which class: for one that got too little though its
// tasks are larger than others that wait, so that it finds no room where those take each
// piece that comes free. A machine that was held for a class is first free for all.
func (m *Planner) reserveMachines(now time.Time, in *Inputs, short map[string][]Need, floors map[string]float64, least float64, waits map[string]bool) map[string]string {
	reserved := map[string]string{}
	there := map[string]*Machine{}
	for i := range in.Machines {
		there[in.Machines[i].Name] = &in.Machines[i]
	}
	held := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(m.inForce.Reserved)) {
		class := m.inForce.Reserved[name]
		if !waits[class] && m.idleSince[class].IsZero() {
			m.idleSince[class] = now
		}
		if there[name] != nil && (waits[class] || now.Sub(m.idleSince[class]) < reservationGrace) {
			held[class] = append(held[class], name)
		}
	}
	maps.DeleteFunc(m.idleSince, func(class string, _ time.Time) bool { return waits[class] })
	for class, names := range held {
		if !waits[class] { // for a moment, in case more comes
			for _, name := range names {
				reserved[name] = class
			}
		}
	}
	classes := slices.Sorted(maps.Keys(short))
	most := len(in.Machines) / 2
	for _, class := range classes {
		each, memory := 0.0, 0.0
		for _, n := range short[class] {
			each, memory = max(each, n.TaskCPUs), max(memory, n.TaskMemory)
		}
		names := held[class]
		if each <= least+1e-6 && len(names) == 0 {
			continue // whatever comes free is large enough
		}
		left := floors[class]
		keep := func(x *Machine) bool {
			fit := math.Floor(x.CPUs/each + 1e-9)
			if memory > 0 {
				fit = min(fit, math.Floor(x.Memory/memory+1e-9))
			}
			if left <= 0 || fit < 1 || len(reserved) >= most {
				return false
			}
			reserved[x.Name] = class
			left -= fit * each
			return true
		}
		for _, name := range names {
			keep(there[name])
		}
		if left <= 0 {
			continue
		}
		free := make([]*Machine, 0, len(in.Machines))
		for i := range in.Machines {
			if x := &in.Machines[i]; reserved[x.Name] == "" && m.inForce.Reserved[x.Name] == "" {
				free = append(free, x)
			}
		}
		slices.SortFunc(free, func(a, b *Machine) int { // what is emptied soonest
			return cmp.Or(cmp.Compare(a.SecondsUntilIdle, b.SecondsUntilIdle), cmp.Compare(b.FreeCPUs, a.FreeCPUs), strings.Compare(a.Name, b.Name))
		})
		for _, x := range free {
			if left <= 0 {
				break
			}
			keep(x)
		}
	}
	if len(reserved) == 0 {
		return nil
	}
	return reserved
}
