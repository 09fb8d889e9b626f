package controller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/simulation"
	"topazhollow/internal/snapshot"
	"topazhollow/internal/userapi"
)

// dataLoss is a test cluster with running jobs, a cancelled job and done ones, whose state service then loses data.
type dataLoss struct {
	*testCluster
	jobs      []*protocol.Submission
	savedJobs int // number of jobs accepted before the state was saved
	cancelled *protocol.Submission
	saved     simulation.StoreSnapshot
	newEpoch  bool // the loss leads to a new epoch
}

func newDataLoss(t *testing.T) *dataLoss {
	l := &dataLoss{testCluster: newTestCluster(t, 2*time.Second)}
	l.cancelled = arrayJob(390, 10, "blue")
	for i := range 8 {
		j := arrayJob(300+i, 10, []string{"red", "blue"}[i%2])
		l.jobs = append(l.jobs, j)
		l.submit(j)
		if i == 3 {
			l.saved, l.savedJobs = l.state.Snapshot(), i+1
		}
	}
	l.submit(l.cancelled)
	l.withdraw(l.cancelled.UID)
	l.waitUntil("a job is done", func() bool {
		for _, j := range l.jobs {
			if l.queryState(j.UID) == protocol.Done {
				return true
			}
		}
		return false
	})
	l.waitUntil("tasks run", func() bool { return l.checker.CountRunning() > 4 })
	return l
}

func (r *testCluster) withdraw(uid string) {
	r.checker.RecordCancellation(uid)
	r.waitUntil(uid+" cancelled", func() bool {
		status, st := r.request("POST", protocol.PathSubmit+"/"+uid+"/withdraw", struct{}{})
		r.checker.RecordAnswer(uid, status, st.State, false)
		return status == 200
	})
}

// overviews returns the overview of each running controller.
func (r *testCluster) overviews() (all []overview) {
	for i, s := range r.nodeSettings {
		if r.nodes[i] == nil {
			continue
		}
		resp, err := r.httpc.Get("http://" + s.Listen + "/overview")
		if err != nil {
			continue
		}
		var o overview
		if json.NewDecoder(resp.Body).Decode(&o) == nil {
			all = append(all, o)
		}
		resp.Body.Close()
	}
	return all
}

// recovered reports whether all controllers have nothing left to recover and are in the same epoch: a later one than
// the first if laterEpoch is true, the first otherwise.
func (r *testCluster) recovered(laterEpoch bool) bool {
	all := r.overviews()
	for _, o := range all {
		s := o.Store
		if s.Phase != "known" || s.Epoch != all[0].Store.Epoch || s.Epoch > 1 != laterEpoch || s.Unwritten+s.StaleActive+len(s.AwaitedMembers) > 0 || s.RosterIncomplete {
			return false
		}
	}
	return len(all) > 0
}

// checkRecovered checks that accepted jobs complete and that new ones run.
func (l *dataLoss) checkRecovered() {
	l.t.Helper()
	late := arrayJob(350, 6, "red")
	l.submit(late)
	l.awaitAllDone(append(l.jobs, late))
	l.waitUntil("still cancelled", func() bool { return l.queryState(l.cancelled.UID) == protocol.Cancelled })
	l.waitUntil("everything is written back", func() bool { return l.recovered(l.newEpoch) && (!l.newEpoch || !l.overviews()[0].Store.DataLost) })
	l.waitUntil("an unknown job is unknown", func() bool {
		status, _ := l.request("GET", protocol.PathSubmit+"/job-999999", nil)
		return status == http.StatusNotFound
	})
}

// TestDataLossWhileControllersRun: the state service loses data in each way while all controllers run. No accepted,
// done or cancelled job is forgotten, no task runs twice, and new jobs are accepted and run.
func TestDataLossWhileControllersRun(t *testing.T) {
	for name, lose := range map[string]func(*dataLoss){
		"all":       func(l *dataLoss) { l.state.LoseAll() },
		"back":      func(l *dataLoss) { l.state.RollBack(l.saved) },
		"jobs":      func(l *dataLoss) { l.state.LosePrefix("w/a/") },
		"roster":    func(l *dataLoss) { l.state.LosePrefix("w/m/") },
		"record":    func(l *dataLoss) { l.state.LosePrefix("w/c") },
		"leases":    func(l *dataLoss) { l.state.LoseLeases() },
		"twice":     func(l *dataLoss) { l.state.LoseAll(); time.Sleep(700 * time.Millisecond); l.state.LoseAll() },
		"in_outage": (*dataLoss).loseInAnOutage,
		"one_ends":  func(l *dataLoss) { l.crash(0); l.state.LoseAll(); l.start(0) },
		// A controller that starts without the roster lists writes its own list again. The others must not treat the
		// machines that it lacks as removed together with the tasks on them.
		"roster_one_ends":                 func(l *dataLoss) { l.crash(0); l.state.LosePrefix("w/m/"); l.start(0) },
		"jobs_one_ends":                   func(l *dataLoss) { l.crash(0); l.state.LosePrefix("w/a/"); l.start(0) },
		"machine_cut":                     (*dataLoss).loseWhileAMachineIsCut,
		"late_rental_and_return":          (*dataLoss).rentAndReturnLate,
		"cancellation_under_way":          (*dataLoss).loseDuringACancellation,
		"end_in_the_store_that_went_back": (*dataLoss).endInTheStoreThatWentBack,
		"ended_in_rebuilding":             (*dataLoss).restartDuringRecovery,
		"one_is_gone":                     func(l *dataLoss) { l.crash(1); l.state.RollBack(l.saved); time.Sleep(8 * time.Second); l.start(1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newDataLoss(t)
			l.newEpoch = name != "leases"
			lose(l)
			l.checkRecovered()
		})
	}
}

// TestNothingIsAcceptedBeforeTheFirstRecord: a store that loses everything before the first membership record is
// written looks like a new one, and jobs accepted by then were forgotten.
func TestNothingIsAcceptedBeforeTheFirstRecord(t *testing.T) {
	n := newNodeHarness(2, 1).n
	n.watchedKeysRead = true
	if !(userBackend{n}).StoreTrusted() {
		t.Fatal("a controller with a record accepts no jobs")
	}
	*n.leadership = *leadership.New(n.name, n.incarnation, leadership.Lease{}, nil, time.Now())
	if (userBackend{n}).StoreTrusted() {
		t.Error("jobs are accepted before there is a record")
	}
}

// TestRecordOutOfChainIsSuspected: the store was reset to an earlier state, and a controller that started since wrote
// the record until the store passed the revision that the others had seen. Every key that they compare then exists
// again or was changed. Only the broken chain of records is a sign of the loss.
func TestRecordOutOfChainIsSuspected(t *testing.T) {
	for previous, want := range map[uint64]datarecovery.Phase{12: datarecovery.Suspected, 17: datarecovery.Trusted, 18: datarecovery.Trusted} {
		n := newNodeHarness(2, 1).n
		record := n.leadership.Record().Clone()
		record.Epoch = 1
		n.leadership.Adopt(record, 17, time.Now())
		n.recovery.detection.Detection = datarecovery.NewDetection("node-a", n.incarnation, nil, time.Second)
		n.recovery.detection.Entered(1, time.Now())
		next := n.leadership.Record().Clone()
		next.Term, next.PreviousVersion = next.Term+1, previous
		n.applyChange(protocol.Change{Set: recordKey, Value: protocol.Encode(next), Version: 19})
		if phase, _, _ := n.recovery.detection.Phase(); phase != want || (n.leadership.RecordVersion() == 19) != (want == datarecovery.Trusted) {
			t.Errorf("record that follows version %d: %s, version %d", previous, phase, n.leadership.RecordVersion())
		}
	}
}

// TestHistoryReadBeforeTheFirstRecordIsComplete: a process that had read the store before the first record was written
// treated its history as incomplete for good. After a loss of data, requests for unknown jobs then got no answer.
func TestHistoryReadBeforeTheFirstRecordIsComplete(t *testing.T) {
	l := &dataLoss{testCluster: newTestCluster(t, 300*time.Millisecond), newEpoch: true, cancelled: arrayJob(390, 10, "blue")}
	for i := range l.nodes {
		l.crash(i)
	}
	l.state.LoseAll() // no controller runs that could notice it: to them, this is a new store
	l.start(0)        // waits for its peers before it writes the first record, and has read everything by then
	l.waitUntil("there is a record", func() bool { all := l.overviews(); return len(all) > 0 && all[0].Term > 0 })
	l.start(1)
	l.start(2)
	l.waitUntil("all have a complete history", func() bool {
		all := l.overviews()
		return len(all) == 3 && !slices.ContainsFunc(all, func(o overview) bool { return !o.Store.HistoryComplete })
	})
	l.submit(l.cancelled)
	l.withdraw(l.cancelled.UID)
	l.state.LoseAll()
	l.checkRecovered()
}

// TestLateTransactionsChangeNothing: a transaction that was sent before a loss and is executed after it, because its
// packets were delayed, changes nothing.
func TestLateTransactionsChangeNothing(t *testing.T) {
	l := newDataLoss(t)
	l.newEpoch = true
	var epochKey protocol.Entry
	for _, e := range l.keys(datarecovery.EpochKey) {
		epochKey = e
	}
	if epochKey.Version == 0 {
		t.Fatal("there is no epoch key")
	}
	l.state.RollBack(l.saved)
	l.waitUntil("an epoch begins", func() bool { return l.recovered(true) })
	lateJob := arrayJob(398, 1, "red")
	late := protocol.Txn{Conditions: []protocol.Condition{{Key: epochKey.Key, Version: epochKey.Version}, {Key: snapshot.JobKey + lateJob.UID}},
		Then: []protocol.Op{{Set: snapshot.JobKey + lateJob.UID, Value: protocol.Encode(userapi.ActiveJob{Spec: lateJob})}}}
	resp, err := l.httpc.Post("http://"+l.state.Addr()+"/txn", "application/json", bytes.NewReader(protocol.Encode(late)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusConflict || l.state.CountKeys(snapshot.JobKey+lateJob.UID) != 0 {
		t.Fatalf("a late acceptance got %d", resp.StatusCode)
	}
	l.checkRecovered()
}

// keys lists keys of the simulated state service through its protocol.
func (r *testCluster) keys(prefix string) []protocol.Entry {
	resp, err := r.httpc.Get("http://" + r.state.Addr() + "/store?limit=1000&under=" + prefix)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	var list protocol.EntryList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		r.t.Fatal(err)
	}
	return list.Items
}
