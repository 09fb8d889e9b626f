package admission

import (
	"cmp"
	"maps"
	"slices"
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
	CPUs float64 `json:"cpus"`
	// WithinLimit says that the floor orders what waits for the team's limit; no machines are reserved for it.
	WithinLimit bool `json:"within_limit,omitempty"`
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
	compare := func(f Floor, k Key) int { return f.Key.Compare(k) }
	if i, ok := slices.BinarySearchFunc(p.Floors, k, compare); ok && !p.Floors[i].WithinLimit {
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

// EqualContents says whether two plans say the same, whatever their numbers.
func (p *Plan) EqualContents(o *Plan) bool {
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

// PlanStatus is what a status says of plans. Only the owner of the fleet shard sends plans: the one in force, and the
// next one, which nobody acts on yet.
type PlanStatus struct {
	Latest  ID    `json:"seen"` // the latest plan received, in force or not
	InForce *Plan `json:"force,omitempty"`
	Next    *Plan `json:"next,omitempty"`
}

// PlanState is a controller's part of the plans: what it acts on and what it has received. A
// plan comes into force when every member has received it, and is sent only together with the
// one in force, so that what any two controllers act on is at most one plan apart; and no
// machine is held for one class in a plan and for another one in the next.
type PlanState struct {
	inForce *Plan
	next    *Plan
}

// InForce is the plan to act on; nil for none.
func (a *PlanState) InForce() *Plan { return a.inForce }

// Latest is the latest plan received.
func (a *PlanState) Latest() ID {
	var id ID
	for _, p := range []*Plan{a.inForce, a.next} {
		if p != nil && p.ID.Compare(id) > 0 {
			id = p.ID
		}
	}
	return id
}

// Apply takes in what the owner of the fleet shard since a term sends. What an earlier owner sent is ignored if it
// arrives late.
func (a *PlanState) Apply(since uint64, w PlanStatus) {
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
