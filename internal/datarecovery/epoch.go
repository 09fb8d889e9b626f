package datarecovery

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

// NextEpoch is the membership record of the next epoch.
type NextEpoch struct {
	Record         *leadership.Record
	WithoutBarrier bool // owners keep their accounts: no barrier
}

// Evidence is what the controller that proposes an epoch knows.
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
	StoreID          string // drawn name of the epoch's store
}

// NextEpoch makes the membership record of the next epoch. Terms go above every token that any worker may have
// seen. Owners keep what they own, and without a barrier, only if every controller of the
// deployment is heard, is the process that the latest record names, and knows no later
// one: then nobody can have acted under a record that is not known here. If no memory goes back
// before the loss, as when all of them ended with it, it was acted under one that nobody knows.
func (e *Evidence) NextEpoch() NextEpoch {
	base := (&leadership.Record{}).Clone()
	if e.Record != nil {
		base = e.Record.Clone()
	}
	term, epoch := e.highest(base)
	complete := e.memoryComplete(base.Epoch)
	keep := complete && e.nobodyActedElsewhere(base)
	next := (&leadership.Record{
		Term: term + 1, FirstTerm: term + 1, Epoch: epoch + 1, StoreID: e.StoreID, RosterIncomplete: true,
	}).Clone()
	next.DataLost = base.DataLost || !complete || (e.Stored != nil && e.Stored.DataLost)
	for name, presence := range e.Presences {
		next.Nodes[name] = presence.Incarnation
		if slices.Contains(base.Unreachable, name) {
			next.Unreachable = append(next.Unreachable, name)
		}
	}
	slices.Sort(next.Unreachable)
	e.assignShards(next, base, keep)
	return NextEpoch{Record: next, WithoutBarrier: keep}
}

// highest are the highest term and epoch that anybody knows.
func (e *Evidence) highest(base *leadership.Record) (term, epoch uint64) {
	term, epoch = max(base.Term, e.HighestToken), base.Epoch
	if e.Stored != nil {
		term, epoch = max(term, e.Stored.Term), max(epoch, e.Stored.Epoch)
	}
	for _, a := range e.Assessments {
		term, epoch = max(term, a.Term), max(epoch, a.Epoch)
	}
	return term, epoch
}

// memoryComplete says whether a controller that saw the loss in an epoch remembers everything.
func (e *Evidence) memoryComplete(epoch uint64) bool {
	if e.Own.HistoryComplete {
		return true
	}
	for _, a := range e.Assessments {
		if a.HistoryComplete && a.SuspectsLoss && a.Epoch == epoch {
			return true
		}
	}
	return false
}

// nobodyActedElsewhere says whether every controller is heard and acted under no other record than the latest known
// here.
func (e *Evidence) nobodyActedElsewhere(base *leadership.Record) bool {
	if e.Record == nil || e.ChangeUnanswered || (e.Stored != nil && e.Stored.Term > base.Term) {
		return false
	}
	for _, name := range e.Controllers {
		incarnation := e.Own.Incarnation
		if name != e.Self {
			a, heard := e.Assessments[name]
			if !heard || a.Epoch != base.Epoch || a.Term != base.Term {
				return false
			}
			incarnation = a.Incarnation
		}
		if base.Nodes[name] != incarnation || e.Presences[name].Incarnation != incarnation {
			return false
		}
	}
	return true
}

// assignShards leaves shards with their owners that are members, and gives the others to members.
func (e *Evidence) assignShards(next, base *leadership.Record, keep bool) {
	assigned := leadership.AssignOwners(e.Shards, next.Members())
	for _, name := range e.Shards {
		before := base.Shards[name]
		shard := leadership.Shard{Owner: before.Owner, SinceTerm: next.Term, NeedsBarrier: !keep || before.NeedsBarrier}
		if _, member := next.Nodes[shard.Owner]; !member {
			shard.Owner, shard.NeedsBarrier = assigned[name], true
		}
		next.Shards[name] = shard
	}
}

// Transaction is the one conditional write that begins the epoch in place of what the store holds: it replaces the
// membership record, makes the epoch's own key and deletes those of earlier epochs, at most maxOps operations. It
// rests on the presences that the epoch names.
func (p *NextEpoch) Transaction(controlKey, presencePrefix string, replaced StoreContents, maxOps int) protocol.Txn {
	p.Record.PreviousVersion = replaced.RecordVersion
	txn := protocol.Txn{
		Conditions: []protocol.Condition{{Key: controlKey, Version: replaced.RecordVersion}},
		Then: []protocol.Op{
			{Set: controlKey, Value: protocol.Encode(p.Record)},
			{Set: EpochKey + p.Record.StoreID, Value: []byte("{}")},
		},
	}
	for _, key := range slices.Sorted(maps.Keys(replaced.EpochKeys)) {
		if len(txn.Then) < maxOps {
			txn.Conditions = append(txn.Conditions, protocol.Condition{Key: key, Version: replaced.EpochKeys[key]})
			txn.Then = append(txn.Then, protocol.Op{Delete: key})
		}
	}
	for name, presence := range replaced.Presences {
		txn.Conditions = append(txn.Conditions, protocol.Condition{Key: presencePrefix + name, Version: presence.Version})
	}
	return txn
}

// GiveUpSearch is the membership record with which the search for what nobody remembers ends, once
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
