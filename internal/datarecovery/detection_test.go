package datarecovery

import (
	"testing"
	"time"

	"topazhollow/internal/leadership"
)

var testStart = time.Unix(1000, 0)

func testRecord(epoch, term uint64, storeID string) *leadership.Record {
	return (&leadership.Record{Epoch: epoch, Term: term, FirstTerm: 100, StoreID: storeID}).Clone()
}

// trustedDetection returns the detection of a controller without peers that entered the record's epoch.
func trustedDetection(record *leadership.Record) *Detection {
	d := NewDetection("a", 7, nil, 4*time.Second)
	d.Started(testStart)
	d.Entered(record.Epoch, testStart)
	return d
}

func contentsOf(record *leadership.Record, version uint64) StoreContents {
	contents := StoreContents{Record: record, RecordVersion: version, Presences: map[string]leadership.Presence{"a": {Incarnation: 7, Version: 3}}, EpochKeys: map[string]uint64{}, ReadAt: testStart}
	if record != nil {
		contents.EpochKeys[EpochKey+record.StoreID] = 1
	}
	return contents
}

// TestFullList guards against applying the list of a store that lost data, and against not entering a later epoch.
func TestFullList(t *testing.T) {
	known := testRecord(2, 120, "s")
	for name, c := range map[string]struct {
		record  *leadership.Record
		stored  StoreContents
		want    ListVerdict
		suspect bool
		prove   bool
	}{
		"first of a process":             {nil, contentsOf(known, 9), ListOfOtherEpoch, false, false},
		"first, of an empty store":       {nil, contentsOf(nil, 0), ListOfOtherEpoch, false, false},
		"as known":                       {known, contentsOf(known, 9), ListCurrent, false, false},
		"later term":                     {known, contentsOf(testRecord(2, 121, "s"), 11), ListCurrent, false, false},
		"no record":                      {known, contentsOf(nil, 0), ListUnreliable, true, false},
		"earlier term":                   {known, contentsOf(testRecord(2, 119, "s"), 9), ListUnreliable, true, false},
		"earlier version":                {known, contentsOf(known, 8), ListUnreliable, true, false},
		"epoch key is gone":              {known, StoreContents{Record: known, RecordVersion: 9, ReadAt: testStart}, ListUnreliable, true, false},
		"later epoch":                    {known, contentsOf(testRecord(3, 130, "t"), 2), ListOfOtherEpoch, false, false},
		"later epoch, epoch key is gone": {known, StoreContents{Record: testRecord(3, 130, "t"), RecordVersion: 2, ReadAt: testStart}, ListUnreliable, false, true},
	} {
		got := trustedDetection(known).EvaluateList(c.stored, c.record, 9)
		if got.Verdict != c.want || (got.Suspicion != "") != c.suspect || (got.Proof != "") != c.prove {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// TestListWhilePeersKnowALaterEpoch: a list of the known epoch is applied, but proves a loss if a peer is in a later
// epoch.
func TestListWhilePeersKnowALaterEpoch(t *testing.T) {
	known := testRecord(2, 120, "s")
	d := NewDetection("a", 7, []string{"b"}, 4*time.Second)
	d.Entered(2, testStart)
	d.PeerAssessed("b", Assessment{Epoch: 3, Term: 140}, known, testStart)
	if got := d.EvaluateList(contentsOf(known, 9), known, 9); got.Verdict != ListCurrent || got.Proof == "" {
		t.Errorf("%+v", got)
	}
}

// TestLostStoreIsOnlyEvidence: once a loss is confirmed, the remaining contents of the store are not relied on, and a
// proposal requires this controller's presence key in them.
func TestLostStoreIsOnlyEvidence(t *testing.T) {
	known := testRecord(1, 120, "s")
	d := trustedDetection(known)
	if _, _, ready := d.Proposal(known, 0, testStart); ready {
		t.Error("an epoch is proposed without a loss")
	}
	now := confirmLoss(t, d, known)
	if got := d.EvaluateList(contentsOf(known, 9), known, 9); got.Verdict != ListUnreliable || got.Suspicion != "" || got.Proof != "" {
		t.Errorf("%+v", got)
	}
	if _, contents, ready := d.Proposal(known, 0, now); !ready || contents.RecordVersion != 9 {
		t.Errorf("ready %t, record version %d", ready, contents.RecordVersion)
	}
	without := contentsOf(known, 9)
	without.Presences = nil
	d.EvaluateList(without, known, 9)
	if _, _, ready := d.Proposal(known, 0, now); ready {
		t.Error("an epoch is proposed without the presence key in the store")
	}
}

// confirmLoss makes a detection without peers confirm a loss, and returns the time of that.
func confirmLoss(t *testing.T, d *Detection, record *leadership.Record) time.Time {
	t.Helper()
	now := testStart
	if !d.Suspect("a test", now) {
		t.Fatal("the store was not trusted before")
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		switch decision := d.Decide(now, record); {
		case decision.LossConfirmed:
			return now
		case decision.Task == TaskConfirmSuspicion:
			d.Compared(Missing, now)
		}
	}
	t.Fatal("no loss was confirmed")
	return now
}

// TestLossIsReportedOnce: a confirmed loss is reported by one decision only, and the next task is to list the keys.
func TestLossIsReportedOnce(t *testing.T) {
	known := testRecord(1, 120, "s")
	d := trustedDetection(known)
	now := confirmLoss(t, d, known)
	if !d.ConfirmedAt().Equal(now) {
		t.Errorf("confirmed at %s instead of %s", d.ConfirmedAt(), now)
	}
	if decision := d.Decide(now.Add(50*time.Millisecond), known); decision.LossConfirmed || decision.Phase != Lost || decision.Task != TaskRelist {
		t.Errorf("%+v", decision)
	}
}

// awaitingDetection returns the detection of a controller with one peer that entered the record's epoch and awaits it.
func awaitingDetection(record *leadership.Record) *Detection {
	d := NewDetection("a", 7, []string{"b"}, 4*time.Second)
	d.Entered(record.Epoch, testStart)
	return d
}

// TestSignWhileAwaitingPeers: a sign of loss that was seen while peers were awaited was dropped. The store was trusted
// once a comparison that began before the sign found every key, or after the wait without any comparison.
func TestSignWhileAwaitingPeers(t *testing.T) {
	known := testRecord(1, 120, "s")
	d := awaitingDetection(known)
	d.PeerAssessed("b", Assessment{Epoch: 1, Term: 120}, known, testStart)
	if task := d.Decide(testStart, known).Task; task != TaskConfirmSuspicion {
		t.Fatalf("task %d although all peers reported", task)
	}
	if !d.Suspect("a test", testStart) {
		t.Error("the sign is not recorded")
	}
	if d.Compared(Intact, testStart) {
		t.Error("trusted after a comparison that began before the sign")
	}

	d = awaitingDetection(known)
	d.Suspect("a test", testStart)
	if phase := d.Decide(testStart.Add(3*peerWaitTimeout+1), known).Phase; phase != Suspected {
		t.Errorf("phase %s although no comparison checked the sign", phase)
	}
}

// TestSuspicionDoesNotEndTheWaitForPeers: a suspicion that a comparison rules out before the peers have reported does
// not end the wait for them, and does not restart it either.
func TestSuspicionDoesNotEndTheWaitForPeers(t *testing.T) {
	known := testRecord(1, 120, "s")
	d := awaitingDetection(known)
	d.Suspect("a test", testStart)
	now := testStart.Add(compareInterval)
	if task := d.Decide(now, known).Task; task != TaskConfirmSuspicion {
		t.Fatalf("task %d after a sign", task)
	}
	if d.Compared(Intact, now) {
		t.Error("trusted although no peer has reported")
	}
	if decision := d.Decide(testStart.Add(peerWaitTimeout), known); decision.Phase != AwaitingPeers || decision.Task != TaskNone {
		t.Errorf("within the wait: %+v", decision)
	}
	now = testStart.Add(peerWaitTimeout + 1)
	if task := d.Decide(now, known).Task; task != TaskConfirmSuspicion {
		t.Errorf("task %d after the wait", task)
	}
	if !d.Compared(Intact, now) {
		t.Error("not trusted after the wait")
	}
}

// TestProposalWaitsForACompleteHistory: a controller with an incomplete history delays its proposal, so that a peer
// with a complete one may propose first.
func TestProposalWaitsForACompleteHistory(t *testing.T) {
	for _, complete := range []bool{true, false} {
		known := testRecord(1, 120, "s")
		d := trustedDetection(known)
		if complete {
			d.EndsRead(known)
			d.LossSeenHere()
		}
		lost := confirmLoss(t, d, known)
		contents := contentsOf(known, 9)
		for passed := time.Duration(0); ; passed += 50 * time.Millisecond {
			contents.ReadAt = lost.Add(passed)
			d.EvaluateList(contents, known, 9)
			if d.Decide(lost.Add(passed), known).Task == TaskProposeEpoch {
				if complete && passed > 0 || !complete && passed < completeHistoryWait {
					t.Errorf("complete %t: proposed after %s", complete, passed)
				}
				break
			}
			if passed > 10*time.Second {
				t.Fatalf("complete %t: never proposed", complete)
			}
		}
	}
}

// TestFencingTokens: a worker's token proves a loss only if it is from before the store's first term. A token later
// than the known term makes the controller read the record again, since the record known here may be out of date.
func TestFencingTokens(t *testing.T) {
	first, later := testRecord(1, 120, "s"), testRecord(2, 120, "s")
	for name, c := range map[string]struct {
		token  uint64
		record *leadership.Record
		prove  bool
		task   Task
	}{
		"of the term":                        {120, first, false, TaskNone},
		"none":                               {0, first, false, TaskNone},
		"before the store":                   {99, first, true, TaskNone},
		"before the store, in a later epoch": {99, later, false, TaskNone},
		"later than the term":                {121, first, false, TaskRefreshRecord},
		"no term at all":                     {termLimit, first, false, TaskNone},
		"before any record":                  {99, nil, false, TaskNone},
	} {
		d := trustedDetection(first)
		if proof := d.ObserveFencingToken(c.token, c.record); (proof != "") != c.prove {
			t.Errorf("%s: proof %q", name, proof)
		}
		if decision := d.Decide(testStart, first); decision.Task != c.task {
			t.Errorf("%s: task %d", name, decision.Task)
		}
	}
}

// TestLaterTermIsCheckedOnce: after the record was read again, a later term that a worker or peer knows is either a
// proof or settled.
func TestLaterTermIsCheckedOnce(t *testing.T) {
	for term, prove := range map[uint64]bool{120: true, 125: false, 130: false} {
		d := trustedDetection(testRecord(1, 120, "s"))
		d.ObserveFencingToken(125, testRecord(1, 120, "s"))
		if proof := d.RecordRefreshed(testRecord(1, term, "s")); (proof != "") != prove {
			t.Errorf("term %d: proof %q", term, proof)
		}
		if proof := d.RecordRefreshed(testRecord(1, 120, "s")); proof != "" {
			t.Errorf("term %d: proof again: %s", term, proof)
		}
	}
}

// TestProofMakesHistoryIncomplete: a proof shows that the store lost data before this process read it, so that the
// history here is incomplete. Only the first proof is reported as new.
func TestProofMakesHistoryIncomplete(t *testing.T) {
	known := testRecord(1, 120, "s")
	d := trustedDetection(known)
	d.EndsRead(known)
	if !d.HistoryComplete() {
		t.Fatal("the history is incomplete although all ends were read")
	}
	if !d.Prove("first") || d.Prove("second") || d.HistoryComplete() {
		t.Errorf("history complete %t", d.HistoryComplete())
	}
	if proof, proved := d.Proved(); !proved || proof != "first" {
		t.Errorf("proof %q", proof)
	}
	if _, outcome, ready := d.PlanComparison(nil, true); ready || outcome != Missing {
		t.Error("a proved loss is compared")
	}
	d.EndsRead(known)
	if d.HistoryComplete() {
		t.Error("the history is complete although a loss is proved")
	}
}

// TestSearchGivenUp: once the search is given up and all ends in the store were read, the history counts as complete.
func TestSearchGivenUp(t *testing.T) {
	incomplete := testRecord(2, 120, "s")
	incomplete.DataLost = true
	d := trustedDetection(incomplete)
	if d.SearchGivenUp(); d.HistoryComplete() {
		t.Error("complete before the ends were read")
	}
	if d.EndsRead(incomplete); d.HistoryComplete() {
		t.Error("complete although data was lost for good")
	}
	if d.SearchGivenUp(); !d.HistoryComplete() {
		t.Error("incomplete although the search is over")
	}
}

// TestFailedKeys: a key with another version was changed since, one with the same version is missing, and this
// controller's presence key may have expired with its lease.
func TestFailedKeys(t *testing.T) {
	d := trustedDetection(testRecord(1, 120, "s"))
	d.SuspectKey("w/a/job-000001", 5)
	d.EpochKeyChanged(EpochKey+"s", 1)
	plan, _, ready := d.PlanComparison(map[string]uint64{"w/c": 9}, true)
	plan.OwnKey, plan.OwnVersion = "w/n/a", 3
	if !ready || len(plan.Keys) != 3 || len(plan.Conditions(10)) != 4 || len(plan.Conditions(1)) != 2 {
		t.Fatalf("ready %t: %+v", ready, plan)
	}
	now := map[string]uint64{"w/c": 10, "w/a/job-000001": 5}
	versionNow := func(key string) uint64 { return now[key] }
	if got := d.EvaluateFailedKeys(plan, []string{"w/n/a", "w/c"}, 3, versionNow); got.Comparison != Intact || !got.OwnKeyGone || got.MissingKey != "" {
		t.Errorf("changed since: %+v", got)
	}
	if got := d.EvaluateFailedKeys(plan, []string{"w/n/a"}, 4, versionNow); got.OwnKeyGone {
		t.Errorf("the presence key was written again: %+v", got)
	}
	if d.EndsRead(testRecord(1, 120, "s")); d.Assessment(nil, 0).HistoryComplete {
		t.Error("the assessment claims a complete history although this process saw no loss")
	}
	if got := d.EvaluateFailedKeys(plan, []string{"w/c", "w/a/job-000001"}, 3, versionNow); got.Comparison != Missing || got.MissingKey != "w/a/job-000001" {
		t.Errorf("missing: %+v", got)
	}
	if !d.Assessment(nil, 0).HistoryComplete {
		t.Error("the assessment lacks that this process saw the loss")
	}
}

// TestPeriodicComparison: keys are compared every quarter of a lease, and at once while a key is suspect.
func TestPeriodicComparison(t *testing.T) {
	known := testRecord(1, 120, "s")
	d := trustedDetection(known)
	if task := d.Decide(testStart.Add(time.Second), known).Task; task != TaskNone {
		t.Errorf("task %d before the interval ended", task)
	}
	if task := d.Decide(testStart.Add(time.Second+1), known).Task; task != TaskPeriodicCompare {
		t.Errorf("task %d after the interval", task)
	}
	if task := d.Decide(testStart.Add(time.Second+2), known).Task; task != TaskNone {
		t.Errorf("task %d again", task)
	}
	d.SuspectKey("w/a/job-000001", 5)
	d.PeriodicCompared(Unanswered)
	if task := d.Decide(testStart.Add(time.Second+3), known).Task; task != TaskPeriodicCompare {
		t.Errorf("task %d with a suspect key", task)
	}
	d.PeriodicCompared(Intact)
	if task := d.Decide(testStart.Add(time.Second+4), known).Task; task != TaskNone {
		t.Errorf("task %d after it was found", task)
	}
}

// TestEnteringClearsEvidence: evidence against a store that lost data was used against the store of the next epoch.
func TestEnteringClearsEvidence(t *testing.T) {
	known := testRecord(1, 120, "s")
	d := trustedDetection(known)
	d.EpochKeyChanged(EpochKey+"s", 1)
	d.SuspectKey("w/c", 9)
	d.RecordOutOfChain()
	d.Prove("a test")
	confirmLoss(t, d, known)
	d.LeaveEpoch()
	d.ListAccepted()
	d.Entered(2, testStart.Add(time.Minute))
	if _, proved := d.Proved(); proved || d.RecordChainBroken() || d.EpochKeyVersion(EpochKey+"s") != 0 || !d.Trusted() {
		t.Error("evidence of the previous epoch is left")
	}
	if plan, _, ready := d.PlanComparison(nil, true); !ready || len(plan.Keys) != 0 {
		t.Errorf("ready %t with %v", ready, plan.Keys)
	}
}

// TestEpochKeyDeleted: only the deletion of the current epoch's key is a sign of loss.
func TestEpochKeyDeleted(t *testing.T) {
	known := testRecord(1, 120, "s")
	d := trustedDetection(known)
	d.EpochKeyChanged(EpochKey+"s", 1)
	if d.EpochKeyDeleted(EpochKey+"other", known) || !d.EpochKeyDeleted(EpochKey+"s", known) || d.EpochKeyDeleted(EpochKey+"s", nil) || d.EpochKeyVersion(EpochKey+"s") != 0 {
		t.Error("wrong sign, or the key is still known")
	}
}
