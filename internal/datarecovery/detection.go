package datarecovery

import (
	"maps"
	"time"

	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
)

const (
	// completeHistoryWait is how long a controller with an incomplete history delays its proposal of the next epoch, so
	// that a peer with a complete one may propose first.
	completeHistoryWait = 2 * time.Second
	// relistInterval is the time between two lists of the keys of a store that lost data.
	relistInterval = 250 * time.Millisecond
	// termLimit is the lowest fencing token that cannot be a term: attempt numbers have no bits for higher terms.
	termLimit = 1 << 29
)

// StoreContents is the control data found in a full list of the state service: the membership record, the presence keys
// and the epoch keys.
type StoreContents struct {
	Record        *leadership.Record             // nil: there is none
	RecordVersion uint64                         // version of the membership record's key
	Presences     map[string]leadership.Presence // by controller
	EpochKeys     map[string]uint64              // versions of the epoch keys, by key
	ReadAt        time.Time
}

// ListVerdict classifies a full list of the watched keys.
type ListVerdict int

// The verdicts.
const (
	ListUnreliable   ListVerdict = iota // the store lacks something acknowledged; the list only serves as evidence
	ListCurrent                         // of this controller's epoch
	ListOfOtherEpoch                    // of a later epoch, or the first list that this process read
)

// ListEvaluation is the verdict on a full list together with any sign or proof of loss that it shows.
type ListEvaluation struct {
	Verdict   ListVerdict
	Suspicion Sign // of loss; empty: none
	Proof     Sign // of loss; empty: none
}

// Task is the next step of a controller that checks its store.
type Task int

// The tasks.
const (
	TaskNone             Task = iota
	TaskConfirmSuspicion      // compare acknowledged keys and report the outcome to Compared
	TaskRelist                // list all watched keys
	TaskProposeEpoch          // create the next epoch
	TaskRefreshRecord         // read the membership record again, since a worker or peer knows a later term
	TaskPeriodicCompare       // compare acknowledged keys and report the outcome to PeriodicCompared
)

// Decision is the result of Decide.
type Decision struct {
	Task          Task
	Phase         Phase
	LossConfirmed bool // a loss was confirmed since the last decision
}

// ComparisonPlan lists the keys whose acknowledged versions are compared with the store.
type ComparisonPlan struct {
	Keys         map[string]uint64 // acknowledged versions, by key
	OwnKey       string            // this controller's presence key
	OwnVersion   uint64            // version of OwnKey; 0: it is not compared
	SeenRevision uint64            // highest revision that a peer saw; an answer must not have a lower one
}

// Conditions returns the conditions of the comparing transaction: at most limit for acknowledged keys, and one for this
// controller's presence key.
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

// FailedKeys is the result of evaluating the keys that did not have the compared versions, after all changes were read.
type FailedKeys struct {
	Comparison Comparison
	MissingKey string // acknowledged, but neither present nor changed since
	OwnKeyGone bool   // this controller's presence key does not have the known version
}

// Detection decides whether the state service still has what it acknowledged. It keeps the evidence: the phase agreed
// on with the peers, the epoch keys, suspicions, proofs, and later terms that others know. It does no I/O and reads no
// clock; the caller guards it by a lock.
type Detection struct {
	self        string
	incarnation uint64
	leaseLife   time.Duration
	agreement   *Agreement

	epochKeys    map[string]uint64 // versions of the epoch keys in the store
	suspectKeys  map[string]uint64 // acknowledged versions of keys that were missing when a user's request read them
	contents     StoreContents     // of the last unreliable list
	proof        Sign              // of a loss that the store's own answers do not show; empty: none
	brokenChain  bool              // a membership record was seen that does not follow the known one
	seenHere     bool              // this process saw the loss itself, instead of only learning of it from others
	laterTerm    uint64            // higher term known from a worker's fencing token or from a peer; 0: none
	highestToken uint64            // highest fencing token reported by any worker

	endsRead        bool // all individual job ends in the store were read
	historyComplete bool // all job ends since the deployment began are known

	comparedAt  time.Time // when the last periodic comparison began
	confirmedAt time.Time // when the last loss was confirmed here
}

// NewDetection returns the detection of a process that has read nothing yet. leaseLife is the lifetime of the
// controllers' leases.
func NewDetection(self string, incarnation uint64, peers []string, leaseLife time.Duration) *Detection {
	return &Detection{
		self: self, incarnation: incarnation, leaseLife: leaseLife,
		agreement:   NewAgreement(self, peers, leaseLife),
		epochKeys:   map[string]uint64{},
		suspectKeys: map[string]uint64{},
	}
}

// Trusted reports whether the store's answers can be relied on: no sign of loss was seen since the store was read, or
// it was not read yet.
func (d *Detection) Trusted() bool {
	return d.agreement.phase == Trusted || d.agreement.phase == Starting
}

// Phase returns the phase, when it was entered and the sign that led to it.
func (d *Detection) Phase() (phase Phase, since time.Time, sign Sign) { return d.agreement.Phase() }

// Counts returns how many times a loss was suspected and how many losses were confirmed.
func (d *Detection) Counts() (suspicions, losses int) { return d.agreement.Counts() }

// ConfirmedAt returns when the last loss was confirmed here.
func (d *Detection) ConfirmedAt() time.Time { return d.confirmedAt }

// HistoryComplete reports whether all job ends since the deployment began are known here.
func (d *Detection) HistoryComplete() bool { return d.historyComplete }

// Proved returns the proof of a loss and whether there is one.
func (d *Detection) Proved() (proof Sign, proved bool) { return d.proof, d.proof != "" }

// RecordChainBroken reports whether a membership record was seen that does not follow the known one.
func (d *Detection) RecordChainBroken() bool { return d.brokenChain }

// Assessment returns the view of the store that is sent to peers. record is the latest known, nil for none; revision is
// the highest that the store named.
func (d *Detection) Assessment(record *leadership.Record, revision uint64) Assessment {
	a := Assessment{
		Epoch: epochOf(record), Revision: revision, Incarnation: d.incarnation,
		HistoryComplete: d.historyComplete && d.seenHere,
	}
	a.ConfirmedLoss = d.agreement.phase == Lost
	a.SuspectsLoss = d.agreement.phase == Suspected || a.ConfirmedLoss
	if record != nil {
		a.Term = record.Term
	}
	return a
}

// PeerAssessments returns the assessments of the reachable peers.
func (d *Detection) PeerAssessments(now time.Time) map[string]Assessment {
	return d.agreement.Assessments(now)
}

// PeerAssessed records a peer's assessment.
func (d *Detection) PeerAssessed(peer string, a Assessment, record *leadership.Record, now time.Time) {
	d.agreement.PeerAssessed(peer, a, now)
	if record != nil && a.Epoch == record.Epoch && a.Term > record.Term {
		d.laterTerm = max(d.laterTerm, a.Term)
	}
}

// Suspect records a sign of loss. It returns false, and records nothing, if the store was not read yet or is being
// checked already.
func (d *Detection) Suspect(sign Sign, now time.Time) bool { return d.agreement.Suspect(sign, now) }

// Prove records a proof of a loss that the store's own answers do not show. It returns true for the first proof: the
// store lost data before this process read it, so the history here is incomplete and the caller has to call Suspect.
func (d *Detection) Prove(proof Sign) bool {
	if d.proof != "" {
		return false
	}
	d.proof = proof
	d.historyComplete = false
	return true
}

// ObserveFencingToken records a worker's fencing token. It returns a proof of loss if the token is from before this
// store's first term, and "" otherwise. In later epochs such tokens prove nothing: they are from before the known loss.
func (d *Detection) ObserveFencingToken(token uint64, record *leadership.Record) (proof Sign) {
	if token >= termLimit || record == nil {
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

// RecordRefreshed is called after the membership record was read again because a worker or peer knows a later term. It
// returns a proof of loss if the store still lacks that term, and "" otherwise.
func (d *Detection) RecordRefreshed(record *leadership.Record) (proof Sign) {
	if record != nil && d.laterTerm > record.Term {
		proof = ProofLaterTerm
	}
	d.laterTerm = 0
	return proof
}

// SuspectKey adds a key that a user's request did not find to the next comparison.
func (d *Detection) SuspectKey(key string, version uint64) { d.suspectKeys[key] = version }

// LossSeenHere records that this process saw the loss itself. Only then can its history include the time before the
// loss: a process that started later read only what was left.
func (d *Detection) LossSeenHere() { d.seenHere = true }

// RecordOutOfChain records a membership record that replaced an older version than the known one.
func (d *Detection) RecordOutOfChain() { d.brokenChain, d.seenHere = true, true }

// EpochKeyChanged records the version of an epoch key in the store.
func (d *Detection) EpochKeyChanged(key string, version uint64) { d.epochKeys[key] = version }

// EpochKeyDeleted records the deletion of an epoch key. It reports whether that is the key of the record's epoch.
func (d *Detection) EpochKeyDeleted(key string, record *leadership.Record) (current bool) {
	delete(d.epochKeys, key)
	return record != nil && key == EpochKey+record.StoreID
}

// EpochKeyVersion returns the known version of an epoch key, 0 if the store has none.
func (d *Detection) EpochKeyVersion(key string) uint64 { return d.epochKeys[key] }

// NewerEpochSeen records that a membership record of a later epoch was seen.
func (d *Detection) NewerEpochSeen(epoch uint64) { d.agreement.NewerEpochSeen(epoch) }

// EndsRead records that all individual job ends in the store were read.
func (d *Detection) EndsRead(record *leadership.Record) {
	d.endsRead = true
	d.historyComplete = d.proof == "" && record != nil && !record.DataLost
}

// SearchGivenUp records that the search for lost job ends is over, so that the ends known now count as all.
func (d *Detection) SearchGivenUp() {
	if d.endsRead {
		d.historyComplete = true
	}
}

// Started starts the interval of the periodic comparisons.
func (d *Detection) Started(now time.Time) { d.comparedAt = now }

// Decide returns the current phase and the next task.
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
	if action == ActionPropose && !(d.historyComplete && d.seenHere) && now.Sub(since) < completeHistoryWait {
		action = ActionNone // a peer may have a complete history
	}
	decision.Task = d.taskFor(action, phase, term, now)
	return decision
}

// taskFor translates an action of the agreement into a task, or returns a due check of the trusted store.
func (d *Detection) taskFor(action Action, phase Phase, term uint64, now time.Time) Task {
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

// presenceListed reports whether the last unreliable list has a controller's presence key. For this controller, the key
// must be of this process.
func (d *Detection) presenceListed(name string) bool {
	presence, found := d.contents.Presences[name]
	return found && (name != d.self || presence.Incarnation == d.incarnation)
}

// PlanComparison returns the keys to compare: the given acknowledged ones, the epoch keys and the suspect keys. If
// ready is false, outcome is known without a request to the store. listed reports whether all watched keys were read.
func (d *Detection) PlanComparison(
	acknowledged map[string]uint64, listed bool,
) (plan ComparisonPlan, outcome Comparison, ready bool) {
	if d.proof != "" || d.brokenChain {
		return plan, Missing, false
	}
	if !listed {
		return plan, Unanswered, false
	}
	plan.Keys = maps.Clone(d.suspectKeys)
	maps.Copy(plan.Keys, d.epochKeys)
	maps.Copy(plan.Keys, acknowledged)
	plan.SeenRevision = d.agreement.PeersRevision()
	return plan, Unanswered, true
}

// EvaluateFailedKeys decides what it means that keys did not have the compared versions. The caller must have read all
// changes of the store since the comparison: versionNow returns a key's version according to these, ownVersion is the
// version of this controller's presence key.
func (d *Detection) EvaluateFailedKeys(
	plan ComparisonPlan, failed []string, ownVersion uint64, versionNow func(key string) uint64,
) FailedKeys {
	result := FailedKeys{Comparison: Intact}
	for _, key := range failed {
		if key == plan.OwnKey {
			result.OwnKeyGone = result.OwnKeyGone || ownVersion == plan.OwnVersion // its lease may have expired
			continue
		}
		if version, compared := plan.Keys[key]; compared && versionNow(key) == version {
			d.seenHere = true
			result.Comparison, result.MissingKey = Missing, key
			return result
		}
	}
	return result
}

// Compared records the outcome of a comparison that checked a suspicion. It reports whether the store is trusted again.
func (d *Detection) Compared(outcome Comparison, now time.Time) (trusted bool) {
	d.agreement.Compared(outcome, now)
	if !d.Trusted() {
		return false
	}
	clear(d.suspectKeys)
	return true
}

// PeriodicCompared records the outcome of a periodic comparison.
func (d *Detection) PeriodicCompared(outcome Comparison) {
	if outcome == Intact {
		clear(d.suspectKeys)
	}
}

// EvaluateList classifies a full list of the watched keys. record is the latest known membership record, nil for none,
// and recordVersion is the version of its key.
func (d *Detection) EvaluateList(contents StoreContents, record *leadership.Record, recordVersion uint64) ListEvaluation {
	stored := contents.Record
	newer := stored != nil && stored.Epoch > epochOf(record)
	evaluation := ListEvaluation{}
	switch {
	case newer && contents.EpochKeys[EpochKey+stored.StoreID] == 0:
		// The key of its epoch is gone: the store has lost data since, and its contents are only evidence.
		evaluation.Proof = ProofEpochKeyGone
	case record == nil || newer:
		return ListEvaluation{Verdict: ListOfOtherEpoch}
	case d.agreement.phase == Lost: // the list is only evidence, and the loss is known
	case stored == nil || stored.Term < record.Term || contents.RecordVersion < recordVersion ||
		contents.EpochKeys[EpochKey+record.StoreID] == 0:
		evaluation.Suspicion = SignListLacks
	default:
		return ListEvaluation{Verdict: ListCurrent, Proof: d.proofByPeers(record, contents.ReadAt)}
	}
	d.contents = contents
	return evaluation
}

// proofByPeers returns a proof of loss if a peer knows a later epoch than a list that was just read.
func (d *Detection) proofByPeers(record *leadership.Record, now time.Time) Sign {
	for _, a := range d.agreement.Assessments(now) {
		if a.Epoch > record.Epoch {
			return ProofLaterEpoch
		}
	}
	return ""
}

// LeaveEpoch clears the keys known of an epoch, before another one is entered.
func (d *Detection) LeaveEpoch() {
	d.epochKeys, d.suspectKeys = map[string]uint64{}, map[string]uint64{}
}

// ListAccepted clears the evidence against the store, before a list of another epoch is applied.
func (d *Detection) ListAccepted() {
	d.seenHere, d.brokenChain, d.proof, d.laterTerm = false, false, "", 0
}

// Entered records that all watched keys of an epoch were read, or that a membership record of it was adopted.
func (d *Detection) Entered(epoch uint64, now time.Time) { d.agreement.Entered(epoch, now) }

// Proposal returns the evidence for the next epoch and the store contents that it replaces. ready is false while this
// controller may not propose: no loss is confirmed, or its presence key is not in the store.
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
