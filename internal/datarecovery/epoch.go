package datarecovery

import (
	"slices"
	"time"

	"topazhollow/internal/leadership"
)

// Next is the control record of the next generation.
type NextEpoch struct {
	Record         *leadership.Record
	WithoutBarrier bool // owners keep their accounts: no barrier
}

// Evidence is what the maker of a generation knows.
type Evidence struct {
	Self             string
	Controllers      []string                       // all controllers of the deployment
	Shards           []string                       // all items
	Record           *leadership.Record             // the latest known; nil if none
	Stored           *leadership.Record             // as the store has it now; nil if it has none
	Presences        map[string]leadership.Presence // controllers' keys as the store has them now
	Assessments      map[string]Assessment          // of the peers that are heard
	Own              Assessment
	HighestToken     uint64 // highest that any worker was heard with
	ChangeUnanswered bool   // a change of the record had no answer
	StoreID          string // drawn name of the generation's store
}

// Generation makes the next one. Terms go above every token that any worker may have
// seen. Owners keep what they own, and without a barrier, only if every controller of the
// deployment is heard, is the process that the latest record names, and knows no later
// one: then nobody can have acted under a record that is not known here. If no memory goes back
// before the loss, as when all of them ended with it, it was acted under one that nobody knows.
func (e *Evidence) NextEpoch() NextEpoch {
	base := (&leadership.Record{}).Clone()
	if e.Record != nil {
		base = e.Record.Clone()
	}
	top, generation := max(base.Term, e.HighestToken), base.Epoch
	whole := e.Own.MemoryComplete
	if e.Stored != nil {
		top, generation = max(top, e.Stored.Term), max(generation, e.Stored.Epoch)
	}
	for _, w := range e.Assessments {
		top, generation = max(top, w.Term), max(generation, w.Epoch)
		whole = whole || (w.MemoryComplete && w.SuspectsLoss && w.Epoch == base.Epoch)
	}
	kept := whole && e.Record != nil && !e.ChangeUnanswered && (e.Stored == nil || e.Stored.Term <= base.Term)
	for _, name := range e.Controllers {
		inc := e.Own.Incarnation
		if name != e.Self {
			w, heard := e.Assessments[name]
			kept = kept && heard && w.Epoch == base.Epoch && w.Term == base.Term
			inc = w.Incarnation
		}
		kept = kept && base.Nodes[name] == inc && e.Presences[name].Incarnation == inc
	}
	r := (&leadership.Record{Term: top + 1, FirstTerm: top + 1, Epoch: generation + 1, StoreID: e.StoreID, RosterIncomplete: true}).Clone()
	r.DataLost = base.DataLost || !whole
	if e.Stored != nil {
		r.DataLost = r.DataLost || e.Stored.DataLost
	}
	for name, p := range e.Presences {
		r.Nodes[name] = p.Incarnation
		if slices.Contains(base.Unreachable, name) {
			r.Unreachable = append(r.Unreachable, name)
		}
	}
	slices.Sort(r.Unreachable)
	wish := leadership.AssignOwners(e.Shards, r.Members())
	for _, name := range e.Shards {
		old := base.Shards[name]
		it := leadership.Shard{Owner: old.Owner, SinceTerm: r.Term, NeedsBarrier: !kept || old.NeedsBarrier}
		if _, there := r.Nodes[it.Owner]; !there {
			it.Owner, it.NeedsBarrier = wish[name], true
		}
		r.Shards[name] = it
	}
	return NextEpoch{Record: r, WithoutBarrier: kept}
}

// GiveUp is the control record with which the search for what nobody remembers ends, once
// a copy was waited for as long as the operators said; nil if it goes on. 0 is no bound:
// then only their word ends it.
func GiveUpSearch(r *leadership.Record, waited, most time.Duration) *leadership.Record {
	if !r.DataLost || most <= 0 || waited < most {
		return nil
	}
	next := r.Clone()
	next.DataLost = false
	return next
}
