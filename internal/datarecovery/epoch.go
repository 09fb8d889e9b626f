package datarecovery

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

// NextEpoch is the proposal of the epoch that follows a loss.
type NextEpoch struct {
	Record         *leadership.Record
	WithoutBarrier bool // owners keep their assignments and need no barrier
}

// Evidence is what the controller that proposes an epoch knows.
type Evidence struct {
	Self             string
	Controllers      []string                       // all controllers of the deployment
	Shards           []string                       // all shards
	Record           *leadership.Record             // the latest known membership record; nil: none
	Stored           *leadership.Record             // the membership record that the store has now; nil: none
	Presences        map[string]leadership.Presence // presence keys that the store has now, by controller
	Assessments      map[string]Assessment          // of the reachable peers
	Own              Assessment
	HighestToken     uint64 // highest fencing token reported by any worker
	ChangeUnanswered bool   // the outcome of a change of the record is unknown
	StoreID          string // random ID of the new epoch's store
}

// NextEpoch builds the membership record of the next epoch. Its term is above every fencing token that a worker may
// have seen. Owners keep their shards and need no barrier only if every controller of the deployment is reachable, is
// the process named in the latest record, and knows no later record: then nobody can have acted under a record that is
// unknown here. If no controller has a complete history, as when all of them stopped together with the loss, machines
// may run tasks that were started under a record that nobody knows, so the barrier is needed.
func (e *Evidence) NextEpoch() NextEpoch {
	base := (&leadership.Record{}).Clone()
	if e.Record != nil {
		base = e.Record.Clone()
	}
	term, epoch := e.highest(base)
	complete := e.historyComplete(base.Epoch)
	keep := complete && e.allActedUnderLatestRecord(base)
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

// highest returns the highest term and epoch that any source knows.
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

// historyComplete reports whether this controller, or a peer that suspects or confirmed a loss in the given epoch, has
// a complete history.
func (e *Evidence) historyComplete(epoch uint64) bool {
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

// allActedUnderLatestRecord reports whether every controller is reachable and acted under no record other than the
// latest known here.
func (e *Evidence) allActedUnderLatestRecord(base *leadership.Record) bool {
	if e.Record == nil || e.ChangeUnanswered || (e.Stored != nil && e.Stored.Term > base.Term) {
		return false
	}
	for _, name := range e.Controllers {
		incarnation := e.Own.Incarnation
		if name != e.Self {
			a, reachable := e.Assessments[name]
			if !reachable || a.Epoch != base.Epoch || a.Term != base.Term {
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

// assignShards keeps each shard with its owner if that is a member of the next epoch, and assigns the others to
// members.
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

// Transaction returns the conditional write that starts the epoch: it replaces the membership record, creates the epoch
// key and deletes those of earlier epochs, with at most maxOps operations. It is conditional on the presence keys on
// which the membership is based.
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

// GiveUpSearch returns the membership record that ends the search for lost data once the configured wait for a restore
// from a copy of the data is over, and nil while the search goes on. With maxWait 0 there is no limit: only an operator
// ends the search.
func GiveUpSearch(r *leadership.Record, waited, maxWait time.Duration) *leadership.Record {
	if !r.DataLost || maxWait <= 0 || waited < maxWait {
		return nil
	}
	next := r.Clone()
	next.DataLost = false
	return next
}
