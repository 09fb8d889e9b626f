package datarecovery

import (
	"maps"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

const (
	// completeMemoryWait is how long a controller whose memory is incomplete leaves the proposal of the next
	// epoch to one that may find that it remembers everything.
	completeMemoryWait = 2 * time.Second
	// relistInterval is how often the keys of a store that lost data are listed again.
	relistInterval = 250 * time.Millisecond
	// noTerm is the first fencing token that is no term: attempts have no room for it.
	noTerm = 1 << 29
)

// StoreContents are the controllers' own keys as a full list of the state service named them.
type StoreContents struct {
	Record        *leadership.Record             // the membership record; nil: there is none
	RecordVersion uint64                         // of the membership record's key
	Presences     map[string]leadership.Presence // by controller
	EpochKeys     map[string]uint64              // versions of the epochs' own keys, by key
	ReadAt        time.Time
}

// ListVerdict is what a full list of the followed keys means.
type ListVerdict int

// The verdicts.
const (
	ListUnreliable   ListVerdict = iota // the store lacks something acknowledged: the list is only evidence
	ListCurrent                         // of the epoch that this controller is in
	ListOfOtherEpoch                    // of a later epoch, or the first list of this process
)

// ListJudgement is a verdict with what else the list shows.
type ListJudgement struct {
	Verdict   ListVerdict
	Suspicion Sign // of loss; empty: none
	Proof     Sign // of loss; empty: none
}

// Task is what a controller is to do next to know its store.
type Task int

// The tasks.
const (
	TaskNone             Task = iota
	TaskConfirmSuspicion      // compare acknowledged keys, and tell the outcome with Compared
	TaskRelist                // read all that is followed
	TaskProposeEpoch          // make the next epoch
	TaskRefreshRecord         // read the membership record, since somebody knows a later term
	TaskPeriodicCompare       // compare acknowledged keys, and tell the outcome with PeriodicCompared
)

// Decision is what Decide found.
type Decision struct {
	Task          Task
	Phase         Phase
	LossConfirmed bool // since the last decision
}

// ComparisonPlan is the comparison of acknowledged keys with the store.
type ComparisonPlan struct {
	Keys         map[string]uint64 // acknowledged versions
	OwnKey       string            // key of this controller's presence
	OwnVersion   uint64            // its version; 0: it is not compared
	SeenRevision uint64            // highest revision that a peer saw; an answer must have at least this one
}

// Conditions are the conditions of the plan's transaction, at most this many and one for the own key.
func (p *ComparisonPlan) Conditions(limit int) []protocol.Condition {
	var conditions []protocol.Condition
	for key, version := range p.Keys {
		if len(conditions) < limit {
			conditions = append(conditions, protocol.Condition{Key: key, Version: version})
		}
	}
	if p.OwnVersion > 0 {
		conditions = append(conditions, protocol.Condition{Key: p.OwnKey, Version: p.OwnVersion})
	}
	return conditions
}

// FailedKeys is what keys mean that did not have the versions compared, once all changes were read.
type FailedKeys struct {
	Comparison Comparison
	MissingKey string // acknowledged, and neither there nor changed since
	OwnKeyGone bool   // the own presence is not the one known
}

// Detection judges whether the state service still has what it acknowledged. It owns the evidence: the
// phase that the controllers agreed on, the epochs' keys, suspicions and proofs, later terms that others know.
// It does no I/O and reads no clock; its owner guards it by a lock.
type Detection struct {
	self        string
	incarnation uint64
	leaseLife   time.Duration
	agreement   *Agreement

	epochKeys    map[string]uint64 // versions of the epochs' own keys that the store has
	suspectKeys  map[string]uint64 // acknowledged versions of keys that a user's request did not find
	contents     StoreContents     // of a store that cannot be relied on
	proof        Sign              // of a loss that the store's own answers do not show
	brokenChain  bool              // a membership record was seen that does not follow the one known
	seenHere     bool              // what this process itself saw shows the loss, not only what others know
	laterTerm    uint64            // a fencing token, or a peer's term, that is higher than the term
	highestToken uint64            // of all workers heard

	endsRead       bool // all single ends that the store has were read
	memoryComplete bool // the ends known go back to the deployment's beginning

	comparedAt  time.Time // last periodic comparison
	confirmedAt time.Time // when the last loss was agreed on here
}

// NewDetection is the detection of a process that has read nothing yet. leaseLife is that of controllers' leases.
func NewDetection(self string, incarnation uint64, peers []string, leaseLife time.Duration) *Detection {
	return &Detection{
		self: self, incarnation: incarnation, leaseLife: leaseLife,
		agreement:   NewAgreement(self, peers, leaseLife),
		epochKeys:   map[string]uint64{},
		suspectKeys: map[string]uint64{},
	}
}

// Trusted says whether what the store answers counts: nobody saw a sign that it lost anything since it was read.
func (d *Detection) Trusted() bool {
	return d.agreement.phase == Trusted || d.agreement.phase == Starting
}

// Phase tells the phase, since when, and the sign that led to it.
func (d *Detection) Phase() (phase Phase, since time.Time, sign Sign) { return d.agreement.Phase() }

// Counts tells how many signs of loss were seen, and how many losses were agreed on.
func (d *Detection) Counts() (suspicions, losses int) { return d.agreement.Counts() }

// ConfirmedAt is when the last loss was agreed on here.
func (d *Detection) ConfirmedAt() time.Time { return d.confirmedAt }

// HistoryComplete says whether the ends known here go back to the deployment's beginning.
func (d *Detection) HistoryComplete() bool { return d.memoryComplete }

// Proved says whether there is a proof of a loss, and which.
func (d *Detection) Proved() (proof Sign, proved bool) { return d.proof, d.proof != "" }

// RecordChainBroken says whether a membership record was seen that does not follow the one known.
func (d *Detection) RecordChainBroken() bool { return d.brokenChain }

// Assessment is what peers are told of the store. record is the latest known, nil for none; revision is the highest
// that an answer named.
func (d *Detection) Assessment(record *leadership.Record, revision uint64) Assessment {
	a := Assessment{
		Epoch: epochOf(record), Revision: revision, Incarnation: d.incarnation,
		HistoryComplete: d.memoryComplete && d.seenHere,
	}
	a.ConfirmedLoss = d.agreement.phase == Lost
	a.SuspectsLoss = d.agreement.phase == Suspected || a.ConfirmedLoss
	if record != nil {
		a.Term = record.Term
	}
	return a
}

// PeerAssessments are those of the peers that are heard.
func (d *Detection) PeerAssessments(now time.Time) map[string]Assessment {
	return d.agreement.Assessments(now)
}

// PeerAssessed takes in a peer's assessment.
func (d *Detection) PeerAssessed(peer string, a Assessment, record *leadership.Record, now time.Time) {
	d.agreement.PeerAssessed(peer, a, now)
	if record != nil && a.Epoch == record.Epoch && a.Term > record.Term {
		d.laterTerm = max(d.laterTerm, a.Term)
	}
}

// Suspect takes in a sign of loss. It says whether that is news: nothing was suspected before.
func (d *Detection) Suspect(sign Sign, now time.Time) bool {
	if !d.Trusted() {
		return false
	}
	d.agreement.Suspect(sign, now)
	return true
}

// Prove takes in evidence of a loss that no answer of the store shows. It says whether it is the first: the memory
// then lacks what was there before this process read the store, and the loss is to be suspected.
func (d *Detection) Prove(proof Sign) bool {
	if d.proof != "" {
		return false
	}
	d.proof = proof
	d.memoryComplete = false
	return true
}

// ObserveFencingToken takes in a worker's fencing token. It returns the proof of a loss if the store never gave
// that token out, and "" otherwise.
func (d *Detection) ObserveFencingToken(token uint64, record *leadership.Record) (proof Sign) {
	if token >= noTerm || record == nil {
		return ""
	}
	d.highestToken = max(d.highestToken, token)
	switch {
	case token > record.Term:
		d.laterTerm = max(d.laterTerm, token)
	case token > 0 && token < record.FirstTerm && record.Epoch == 1:
		return ProofTokenBeforeStore
	}
	return ""
}

// RecordRefreshed judges a later term that somebody knows, after the membership record was read again. It returns the
// proof of a loss if the store still does not have that term.
func (d *Detection) RecordRefreshed(record *leadership.Record) (proof Sign) {
	if record != nil && d.laterTerm > record.Term {
		proof = ProofLaterTerm
	}
	d.laterTerm = 0
	return proof
}

// SuspectKey has the next comparison include a key that a request of a user did not find.
func (d *Detection) SuspectKey(key string, version uint64) { d.suspectKeys[key] = version }

// LossSeenHere books that what this process itself had seen shows the loss. Only then does its memory reach back
// before it: one that started afterwards read what was left, and would take that for the whole.
func (d *Detection) LossSeenHere() { d.seenHere = true }

// RecordOutOfChain books a membership record that was written over an older version than the one known.
func (d *Detection) RecordOutOfChain() { d.brokenChain, d.seenHere = true, true }

// EpochKeyChanged books an epoch's own key as the store has it.
func (d *Detection) EpochKeyChanged(key string, version uint64) { d.epochKeys[key] = version }

// EpochKeyDeleted books that an epoch's own key is not there any more. It says whether the record's epoch is this
// one.
func (d *Detection) EpochKeyDeleted(key string, record *leadership.Record) (current bool) {
	delete(d.epochKeys, key)
	return record != nil && key == EpochKey+record.StoreID
}

// EpochKeyVersion is the version of an epoch's own key, 0 if the store has none as far as known.
func (d *Detection) EpochKeyVersion(key string) uint64 { return d.epochKeys[key] }

// NewerEpochSeen books that a membership record of a later epoch was seen.
func (d *Detection) NewerEpochSeen(epoch uint64) { d.agreement.NewerEpochSeen(epoch) }

// EndsRead books that all single ends that the store has were read.
func (d *Detection) EndsRead(record *leadership.Record) {
	d.endsRead = true
	d.memoryComplete = d.proof == "" && record != nil && !record.DataLost
}

// SearchGivenUp books that nothing more will be remembered than is known now.
func (d *Detection) SearchGivenUp() {
	if d.endsRead {
		d.memoryComplete = true
	}
}

// Started begins the periodic comparisons.
func (d *Detection) Started(now time.Time) { d.comparedAt = now }

// Decide says what to do next.
func (d *Detection) Decide(now time.Time, record *leadership.Record) Decision {
	term := uint64(0)
	if record != nil {
		term = record.Term
	}
	action := d.agreement.Step(now, term, d.presenceListed)
	phase, since, _ := d.agreement.Phase()
	decision := Decision{Phase: phase}
	if phase == Lost && since.After(d.confirmedAt) {
		d.confirmedAt = since
		decision.LossConfirmed = true
	}
	if action == ActionNone && phase == Lost && now.Sub(d.contents.ReadAt) > relistInterval {
		action = ActionRelist
	}
	if action == ActionPropose && !(d.memoryComplete && d.seenHere) && now.Sub(since) < completeMemoryWait {
		action = ActionNone // a peer may yet find that it remembers more
	}
	decision.Task = d.task(action, phase, term, now)
	return decision
}

func (d *Detection) task(action Action, phase Phase, term uint64, now time.Time) Task {
	switch {
	case action == ActionCompare:
		return TaskConfirmSuspicion
	case action == ActionRelist:
		return TaskRelist
	case action == ActionPropose:
		return TaskProposeEpoch
	case d.laterTerm > term && (phase == Trusted || phase == AwaitingPeers):
		return TaskRefreshRecord
	case phase == Trusted && (now.Sub(d.comparedAt) > d.leaseLife/4 || len(d.suspectKeys) > 0):
		d.comparedAt = now
		return TaskPeriodicCompare
	}
	return TaskNone
}

// presenceListed says whether a lost store was found to hold a controller's presence; for the own one, that of
// this process.
func (d *Detection) presenceListed(name string) bool {
	presence, there := d.contents.Presences[name]
	return there && (name != d.self || presence.Incarnation == d.incarnation)
}

// PlanComparison merges the keys that are followed with the evidence. ready is false if the outcome is known without
// asking the store.
func (d *Detection) PlanComparison(
	followed map[string]uint64, listed bool,
) (plan ComparisonPlan, outcome Comparison, ready bool) {
	if d.proof != "" || d.brokenChain {
		return plan, Missing, false
	}
	if !listed {
		return plan, Unanswered, false
	}
	plan.Keys = maps.Clone(d.suspectKeys)
	maps.Copy(plan.Keys, d.epochKeys)
	maps.Copy(plan.Keys, followed)
	plan.SeenRevision = d.agreement.PeersRevision()
	return plan, Unanswered, true
}

// JudgeFailedKeys judges keys that did not have the versions compared. Whoever calls it has read all changes of the
// store since; versionNow is a key's version by these, ownVersion that of the own presence.
func (d *Detection) JudgeFailedKeys(
	plan ComparisonPlan, failed []string, ownVersion uint64, versionNow func(key string) uint64,
) FailedKeys {
	judged := FailedKeys{Comparison: Intact}
	for _, key := range failed {
		if key == plan.OwnKey {
			judged.OwnKeyGone = judged.OwnKeyGone || ownVersion == plan.OwnVersion // its lease may have ended
			continue
		}
		if version, compared := plan.Keys[key]; compared && versionNow(key) == version {
			d.seenHere = true
			judged.Comparison, judged.MissingKey = Missing, key
			return judged
		}
	}
	return judged
}

// Compared takes in the outcome of a comparison that a suspicion led to. It says whether the store is trusted again.
func (d *Detection) Compared(outcome Comparison, now time.Time) (trusted bool) {
	d.agreement.Compared(outcome, now)
	if !d.Trusted() {
		return false
	}
	clear(d.suspectKeys)
	return true
}

// PeriodicCompared takes in the outcome of a periodic comparison.
func (d *Detection) PeriodicCompared(outcome Comparison) {
	if outcome == Intact {
		clear(d.suspectKeys)
	}
}

// JudgeList says what a full list of the followed keys means. record is the latest known, nil for none; recordVersion
// is its key's.
func (d *Detection) JudgeList(contents StoreContents, record *leadership.Record, recordVersion uint64) ListJudgement {
	stored := contents.Record
	newer := stored != nil && stored.Epoch > epochOf(record)
	judgement := ListJudgement{}
	switch {
	case newer && contents.EpochKeys[EpochKey+stored.StoreID] == 0:
		// Its own key is gone: this store has lost data already, and what it holds is only evidence.
		judgement.Proof = ProofEpochKeyGone
	case record == nil || newer:
		return ListJudgement{Verdict: ListOfOtherEpoch}
	case d.agreement.phase == Lost:
	case stored == nil || stored.Term < record.Term || contents.RecordVersion < recordVersion ||
		contents.EpochKeys[EpochKey+record.StoreID] == 0:
		judgement.Suspicion = SignListLacks
	default:
		return ListJudgement{Verdict: ListCurrent, Proof: d.proofByPeers(record, contents.ReadAt)}
	}
	d.contents = contents
	return judgement
}

// proofByPeers is the proof of a loss if a peer knows a later epoch than a list that was just read.
func (d *Detection) proofByPeers(record *leadership.Record, now time.Time) Sign {
	for _, a := range d.agreement.Assessments(now) {
		if a.Epoch > record.Epoch {
			return ProofLaterEpoch
		}
	}
	return ""
}

// LeaveEpoch drops what is known of an epoch's keys, as another is about to be entered.
func (d *Detection) LeaveEpoch() {
	d.epochKeys, d.suspectKeys = map[string]uint64{}, map[string]uint64{}
}

// ListAccepted drops the evidence against a store, as a list of another epoch is about to be taken in.
func (d *Detection) ListAccepted() {
	d.seenHere, d.brokenChain, d.proof, d.laterTerm = false, false, "", 0
}

// Entered books that all that is followed was read, or that a membership record was adopted, of an epoch.
func (d *Detection) Entered(epoch uint64, now time.Time) { d.agreement.Entered(epoch, now) }

// Proposal is the evidence on which the next epoch is made, and the store's contents that it replaces. ready
// is false while this controller may not propose: no loss is agreed on, or its own key is not in the store.
func (d *Detection) Proposal(
	record *leadership.Record, revision uint64, now time.Time,
) (evidence Evidence, contents StoreContents, ready bool) {
	if d.agreement.phase != Lost || d.contents.Presences[d.self].Incarnation != d.incarnation {
		return evidence, contents, false
	}
	evidence = Evidence{
		Self: d.self, Record: record, Stored: d.contents.Record, Presences: d.contents.Presences,
		Assessments: d.agreement.Assessments(now), Own: d.Assessment(record, revision), HighestToken: d.highestToken,
	}
	return evidence, d.contents, true
}

func epochOf(record *leadership.Record) uint64 {
	if record == nil {
		return 0
	}
	return record.Epoch
}
