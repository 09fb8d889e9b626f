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
	Since  uint64 `json:"since"`
	Number uint64 `json:"number"`
}

// Compare orders plans.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Number, b.Number))
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

// For is the only class that may start on a machine, "" for any.
func (p *Plan) For(machine string) string {
	if p == nil {
		return ""
	}
	return p.Reserved[machine]
}

// Same says whether two plans say the same, whatever their numbers.
func (p *Plan) Same(o *Plan) bool {
	return slices.Equal(p.Floors, o.Floors) && maps.Equal(p.Reserved, o.Reserved)
}

// Contradicts says whether two controllers that act on these plans at the same time would
// hold the same machine for different classes.
func (p *Plan) Contradicts(o *Plan) bool {
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

// Word is what a controller tells the others of plans with each status. Only the fleet's
// owner tells bodies: the plan that is in force, and the next one, which nobody acts on yet.
type Word struct {
	Seen  ID    `json:"seen"` // the latest plan heard of, in force or not
	Force *Plan `json:"force,omitempty"`
	Next  *Plan `json:"next,omitempty"`
}

// Agreed is a controller's part of the plans: what it acts on and what it has heard of. A
// plan comes into force when every member has heard of it, and hears of it only together with the
// one in force, so that what any two controllers act on is at most one plan apart; and no
// machine is held for one class in a plan and for another one in the next.
type Agreed struct {
	act  *Plan
	next *Plan
}

// Acts is the plan to act on; nil for none.
func (a *Agreed) Acts() *Plan { return a.act }

// Seen is the latest plan heard of.
func (a *Agreed) Seen() ID {
	var id ID
	for _, p := range []*Plan{a.act, a.next} {
		if p != nil && p.ID.Compare(id) > 0 {
			id = p.ID
		}
	}
	return id
}

// Hear takes in what the fleet's owner since a term tells. What an earlier owner told, and
// arrives late, counts for nothing.
func (a *Agreed) Hear(since uint64, w Word) {
	if w.Force == nil || w.Force.Since > since || w.Next != nil && w.Next.Since != since {
		return
	}
	if a.act == nil || w.Force.ID.Compare(a.act.ID) > 0 {
		a.act = w.Force
	}
	if w.Next != nil && w.Next.ID.Compare(a.Seen()) > 0 {
		a.next = w.Next
	}
	if a.next != nil && a.act != nil && a.next.ID.Compare(a.act.ID) <= 0 {
		a.next = nil
	}
}

// Machine is a machine that work may be placed on, as the maker of plans sees it.
type Machine struct {
	Name   string
	CPUs   float64 // in all
	Memory float64 // in all, GB
	Free   float64 // CPUs
	Left   float64 // seconds until what runs there has probably ended
}

// Inputs are what a plan is made from.
type Inputs struct {
	Needs    []Need
	Machines []Machine
	Teams    map[string]Guarantee
	Weights  *Weights
}

// Maker makes the plans while its controller owns the fleet.
type Maker struct {
	since    uint64
	force    *Plan
	next     *Plan
	under    map[Key]time.Time // since when a class or team is under its floor
	had      map[Key]float64   // its floor in the last plan
	eased    map[string]time.Time
	proposed time.Time
}

// NewMaker goes on with what its controller acts on and has heard of: others may act on
// either. One that knows no plan begins with an empty one, which contradicts none.
func NewMaker(since uint64, known *Agreed) *Maker {
	m := &Maker{since: since, under: map[Key]time.Time{}, had: map[Key]float64{}, eased: map[string]time.Time{}}
	m.force = known.act
	if m.force == nil {
		m.force = &Plan{ID: ID{Since: since}}
	}
	last := m.force
	if known.next != nil {
		last = known.next
	}
	m.next = &Plan{ID: ID{Since: since, Number: 1}, Floors: last.Floors, Reserved: last.Reserved}
	for _, f := range last.Floors { // who was short has waited long enough already
		group := Key{Class: f.Class}
		if f.WithinLimit {
			group = f.Key
		}
		m.under[group] = time.Unix(1, 0)
		m.had[group] += f.CPUs
	}
	return m
}

// Since is the term since which the maker's controller owns the fleet.
func (m *Maker) Since() uint64 { return m.since }

// Word is what the maker tells.
func (m *Maker) Word() (force, next *Plan) { return m.force, m.next }

// easeAfter is how long a class has nothing that waits before its machines are free for all.
const easeAfter = 5 * time.Second

// planEvery is the least time between two plans.
const planEvery = time.Second

// Step takes in what the members have heard of, brings the next plan into force once all
// have, and then makes another one if what is due has changed.
func (m *Maker) Step(now time.Time, in *Inputs, members map[string]ID) {
	if m.next != nil {
		for _, seen := range members {
			if seen.Compare(m.next.ID) < 0 {
				return // one that is not heard keeps its plan until it is no member any more
			}
		}
		m.force, m.next = m.next, nil
	}
	if now.Sub(m.proposed) < planEvery {
		return
	}
	p := m.plan(now, in)
	if p.Same(m.force) {
		return
	}
	p.ID = ID{Since: m.since, Number: m.force.Number + 1}
	m.next, m.proposed = p, now
}

// plan is what should hold now, as far as it follows the plan in force.
func (m *Maker) plan(now time.Time, in *Inputs) *Plan {
	cpus := 0.0
	for _, x := range in.Machines {
		cpus += x.CPUs
	}
	floors, limited := map[Key]float64{}, map[Key]float64{}
	known := map[Key]bool{}
	for _, g := range Floors(cpus, in.Needs, in.Teams, in.Weights) {
		known[g.Key] = true
		had := m.had[g.Key]
		if had > 0 && math.Abs(had-g.Floor) < max(had, g.Floor)/10 {
			g.Floor = had // plans do not change for little
		}
		switch {
		case !g.Waits || g.Floor <= 0:
			delete(m.under, g.Key)
		case g.Held < g.Floor && m.under[g.Key].IsZero():
			m.under[g.Key] = now
		case g.Held >= g.Floor && had == 0:
			delete(m.under, g.Key)
		}
		if since, ok := m.under[g.Key]; !ok || now.Sub(since) < in.Weights.After {
			delete(m.had, g.Key)
			continue
		}
		m.had[g.Key] = g.Floor
		if g.withinLimit() {
			limited[g.Key] = g.Floor
			continue
		}
		m.part(g, in, floors)
	}
	maps.DeleteFunc(m.under, func(k Key, _ time.Time) bool { return !known[k] })
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
		least = min(least, n.Each)
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
	p.Reserved = m.reserve(now, in, short, sums, least, waits)
	return p
}

// wholeTasks rounds a floor to tasks of the need, one at least.
func (n *Need) wholeTasks(floor float64) float64 {
	if n.Each <= 0 {
		return floor
	}
	return max(1, math.Round(floor/n.Each)) * n.Each
}

// part divides a group's floor among its keys: that of a class among the teams by weight, that
// of a team among its classes as they are urgent.
func (m *Maker) part(g Group, in *Inputs, floors map[Key]float64) {
	var of []Need
	var wants, weights []float64
	for _, n := range in.Needs {
		if g.Team == "" && n.Class == g.Class || g.Class == "" && n.Team == g.Team {
			of, wants, weights = append(of, n), append(wants, n.all()), append(weights, weight(in.Weights.Team, n.Team))
		}
	}
	if g.Team == "" {
		for i, x := range maxMin(g.Floor, wants, weights) {
			floors[of[i].Key] = max(floors[of[i].Key], x)
		}
		return
	}
	slices.SortStableFunc(of, func(a, b Need) int { return b.Rank - a.Rank })
	left := g.Floor
	for _, n := range of {
		x := min(left, n.all())
		floors[n.Key] = max(floors[n.Key], x)
		left -= x
	}
}

// reserve says which machines are held for which class: for one that got too little though its
// tasks are larger than others that wait, so that it finds no room where those take each
// piece that comes free. A machine that was held for a class is first free for all.
func (m *Maker) reserve(now time.Time, in *Inputs, short map[string][]Need, floors map[string]float64, least float64, waits map[string]bool) map[string]string {
	reserved := map[string]string{}
	there := map[string]*Machine{}
	for i := range in.Machines {
		there[in.Machines[i].Name] = &in.Machines[i]
	}
	held := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(m.force.Reserved)) {
		class := m.force.Reserved[name]
		if !waits[class] && m.eased[class].IsZero() {
			m.eased[class] = now
		}
		if there[name] != nil && (waits[class] || now.Sub(m.eased[class]) < easeAfter) {
			held[class] = append(held[class], name)
		}
	}
	maps.DeleteFunc(m.eased, func(class string, _ time.Time) bool { return waits[class] })
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
			each, memory = max(each, n.Each), max(memory, n.Memory)
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
			if x := &in.Machines[i]; reserved[x.Name] == "" && m.force.Reserved[x.Name] == "" {
				free = append(free, x)
			}
		}
		slices.SortFunc(free, func(a, b *Machine) int { // what is emptied soonest
			return cmp.Or(cmp.Compare(a.Left, b.Left), cmp.Compare(b.Free, a.Free), strings.Compare(a.Name, b.Name))
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
