package admission

import (
	"cmp"
	"maps"
	"slices"
)

// ID identifies a plan by the term since which its author has owned the fleet shard and by a number that the author
// counts up. All plans of a later owner are newer than those of an earlier one.
type ID struct {
	SinceTerm uint64 `json:"since"`
	Number    uint64 `json:"number"`
}

// Compare orders IDs from the oldest plan to the newest.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.SinceTerm, b.SinceTerm), cmp.Compare(a.Number, b.Number))
}

// Floor is the number of CPUs that a key is guaranteed before other keys get more.
type Floor struct {
	Key
	CPUs float64 `json:"cpus"`
	// WithinLimit marks a floor that only orders the tasks waiting for the team's limit. No machines are reserved for
	// it.
	WithinLimit bool `json:"within_limit,omitempty"`
}

// Plan holds the floors and reservations that all controllers enforce while CPUs are short.
type Plan struct {
	ID
	Floors   []Floor           `json:"floors,omitempty"`   // of keys below their floors, sorted by key
	Reserved map[string]string `json:"reserved,omitempty"` // by machine, the only class whose tasks start there
	// FirstTasks is set while the fleet is saturated: until FirstTaskShare of a class's jobs have begun, the first tasks of
	// the others go before other tasks.
	FirstTasks bool `json:"first_tasks,omitempty"`
}

// FirstTaskShare is the fraction of the unfinished jobs of a class that begin before other work is done while the fleet
// is saturated. The rest of the room is for finishing jobs.
const FirstTaskShare = 0.55

// Floor returns a key's floor on machines, 0 if it has none. Floors within a team's limit do not count.
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

// ReservedClass returns the only class whose tasks may start on a machine, "" if any class's may.
func (p *Plan) ReservedClass(machine string) string {
	if p == nil {
		return ""
	}
	return p.Reserved[machine]
}

// EqualContents reports whether two plans have the same contents, regardless of their IDs.
func (p *Plan) EqualContents(o *Plan) bool {
	return p.FirstTasks == o.FirstTasks && slices.Equal(p.Floors, o.Floors) && maps.Equal(p.Reserved, o.Reserved)
}

// ConflictsWith reports whether two controllers that act on these plans at the same time would reserve the same machine
// for different classes.
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

// PlanStatus is the part of a controller's status message that concerns plans. Only the owner of the fleet shard sends
// plans: the one in force and the next one, which no controller acts on yet.
type PlanStatus struct {
	Latest  ID    `json:"seen"` // latest plan that the sender has received, in force or not
	InForce *Plan `json:"force,omitempty"`
	Next    *Plan `json:"next,omitempty"`
}

// PlanState holds the plan that a controller acts on and the next one that it has received.
//
// A plan comes into force once every member has received it, and is sent only together with the plan in force, so the
// plans that any two controllers act on are at most one apart. Two consecutive plans never reserve the same machine for
// different classes.
type PlanState struct {
	inForce *Plan
	next    *Plan
}

// InForce returns the plan to act on, nil if there is none.
func (s *PlanState) InForce() *Plan { return s.inForce }

// Latest returns the ID of the latest plan received.
func (s *PlanState) Latest() ID {
	var id ID
	for _, p := range []*Plan{s.inForce, s.next} {
		if p != nil && p.ID.Compare(id) > 0 {
			id = p.ID
		}
	}
	return id
}

// Apply processes the plans sent by the controller that has owned the fleet shard since a term. Late messages of an
// earlier owner are ignored.
func (s *PlanState) Apply(since uint64, status PlanStatus) {
	if status.InForce == nil || status.InForce.SinceTerm > since || status.Next != nil && status.Next.SinceTerm != since {
		return
	}
	if s.inForce == nil || status.InForce.ID.Compare(s.inForce.ID) > 0 {
		s.inForce = status.InForce
	}
	if status.Next != nil && status.Next.ID.Compare(s.Latest()) > 0 {
		s.next = status.Next
	}
	if s.next != nil && s.inForce != nil && s.next.ID.Compare(s.inForce.ID) <= 0 {
		s.next = nil
	}
}
