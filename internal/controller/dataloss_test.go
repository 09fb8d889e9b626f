package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/simulation"
	"topazhollow/internal/snapshot"
	"topazhollow/internal/userapi"
)

// loss is a region in which jobs run, one is withdrawn and some are done, when its
// state service loses data.
type dataLoss struct {
	*region
	jobs      []*protocol.Submission
	savedJobs int // jobs that were accepted before the state was saved
	cancelled *protocol.Submission
	saved     simulation.Saved
	newEpoch  bool // a new generation is due
}

func newDataLoss(t *testing.T) *dataLoss {
	l := &dataLoss{region: newRegion(t, 2*time.Second)}
	l.cancelled = array(390, 10, "blue")
	for i := range 8 {
		j := array(300+i, 10, []string{"red", "blue"}[i%2])
		l.jobs = append(l.jobs, j)
		l.submit(j)
		if i == 3 {
			l.saved, l.savedJobs = l.state.Save(), i+1
		}
	}
	l.submit(l.cancelled)
	l.withdraw(l.cancelled.UID)
	l.until("a job is done", func() bool {
		for _, j := range l.jobs {
			if l.poll(j.UID) == protocol.Done {
				return true
			}
		}
		return false
	})
	l.until("tasks run", func() bool { return l.check.On() > 4 })
	return l
}

func (r *region) withdraw(uid string) {
	r.check.Withdrawing(uid)
	r.until(uid+" withdrawn", func() bool {
		status, st := r.ask("POST", protocol.PathSubmit+"/"+uid+"/withdraw", struct{}{})
		r.check.Told(uid, status, st.State, false)
		return status == 200
	})
}

// overviews asks each controller that runs.
func (r *region) overviews() (all []overview) {
	for i, s := range r.sets {
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

// rebuilt says whether all controllers are in the same generation after the first, with
// nothing left to do; or, if not so, in the first.
func (r *region) recovered(after bool) bool {
	all := r.overviews()
	for _, o := range all {
		s := o.Store
		if s.Phase != "known" || s.Epoch != all[0].Store.Epoch || s.Epoch > 1 != after || s.Unwritten+s.StaleActive+len(s.AwaitedMemories) > 0 || s.RosterIncomplete {
			return false
		}
	}
	return len(all) > 0
}

// settled sees that what was accepted comes to its end and new work runs.
func (l *dataLoss) checkRecovered() {
	l.t.Helper()
	late := array(350, 6, "red")
	l.submit(late)
	l.allDone(append(l.jobs, late))
	l.until("withdrawn still", func() bool { return l.poll(l.cancelled.UID) == protocol.Cancelled })
	l.until("all is written back", func() bool { return l.recovered(l.newEpoch) && (!l.newEpoch || !l.overviews()[0].Store.DataLost) })
	l.until("an unknown job is unknown", func() bool {
		status, _ := l.ask("GET", protocol.PathSubmit+"/job-999999", nil)
		return status == http.StatusNotFound
	})
}

// TestLossWhileControllersLive: the state service loses data in each way while all
// controllers live. Nothing that was accepted, done or withdrawn is forgotten, no task
// runs twice, and new work is taken and run.
func TestDataLossWhileControllersRun(t *testing.T) {
	for name, lose := range map[string]func(*dataLoss){
		"all":    func(l *dataLoss) { l.state.LoseAll() },
		"back":   func(l *dataLoss) { l.state.Back(l.saved) },
		"jobs":   func(l *dataLoss) { l.state.LosePrefix("w/a/") },
		"roster": func(l *dataLoss) { l.state.LosePrefix("w/m/") },
		"record": func(l *dataLoss) { l.state.LosePrefix("w/c") },
		"leases": func(l *dataLoss) { l.state.LoseLeases() },
		"twice":  func(l *dataLoss) { l.state.LoseAll(); time.Sleep(700 * time.Millisecond); l.state.LoseAll() },
		"in_outage": func(l *dataLoss) {
			l.state.Outage(true)
			time.Sleep(time.Second)
			l.state.LoseAll()
			l.state.Outage(false)
		},
		"one_ends": func(l *dataLoss) { l.crash(0); l.state.LoseAll(); l.start(0) },
		// One that starts without the lists of machines writes its own anew: the others must not
		// take the machines that it does not name for struck off, with what they run.
		"roster_one_ends": func(l *dataLoss) { l.crash(0); l.state.LosePrefix("w/m/"); l.start(0) },
		"jobs_one_ends":   func(l *dataLoss) { l.crash(0); l.state.LosePrefix("w/a/"); l.start(0) },
		"machine_cut": func(l *dataLoss) {
			w := l.cloud.Workers()[0]
			w.Cut(true)
			l.state.LoseAll()
			time.Sleep(5 * time.Second)
			w.Cut(false)
		},
		// Requests to the cloud from before the loss are carried out after it: a machine goes that
		// the controllers remember, and one comes that nobody rented in this generation.
		"late_rental_and_return": func(l *dataLoss) {
			l.state.LoseAll()
			post := func(path, body string) string {
				resp, err := l.httpc.Post("http://"+l.cloud.Addr()+path, "application/json", strings.NewReader(body))
				if err != nil {
					l.t.Error(err)
					return ""
				}
				defer resp.Body.Close()
				answer, _ := io.ReadAll(resp.Body)
				return string(answer)
			}
			post("/hosts/return", `{"estaciones":["n-000001"]}`)
			if got := post("/hosts", `{"pedido":"late-1","modelo":"m8","zona":"east","prestadas":false,"how_many":1}`); !strings.Contains(got, "n-0") {
				l.t.Errorf("no machine came late: %s", got)
			}
		},
		"withdrawal_under_way": func(l *dataLoss) {
			extra := array(391, 10, "red")
			l.submit(extra)
			told := make(chan struct{})
			go func() { // its user repeats it until it gets an answer, as the loss comes
				defer close(told)
				l.check.Withdrawing(extra.UID)
				for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
					s := l.sets[time.Now().UnixNano()%3]
					resp, err := l.httpc.Post("http://"+s.Listen+protocol.PathSubmit+"/"+extra.UID+"/withdraw", "application/json", strings.NewReader("{}"))
					if err != nil {
						continue
					}
					var st protocol.Status
					_ = json.NewDecoder(resp.Body).Decode(&st)
					resp.Body.Close()
					l.check.Told(extra.UID, resp.StatusCode, st.State, false)
					if resp.StatusCode == http.StatusOK {
						return
					}
				}
			}()
			time.Sleep(10 * time.Millisecond)
			l.state.Back(l.saved)
			<-told
		},
		// An end goes to the store that went back before anybody noticed, under guards that
		// hold by accident. Whoever finds it there tells it; nobody may call the job active
		// after that, from a memory that it never reaches by the watch.
		"end_in_the_store_that_went_back": func(l *dataLoss) {
			extra := array(392, 10, "red")
			l.submit(extra)
			l.check.Withdrawing(extra.UID)
			l.state.Back(l.saved)
			l.state.Put(userapi.EndedJobPrefix+extra.UID, string(protocol.Encode(userapi.JobEnd{State: protocol.Cancelled, Tasks: 10, Team: "red"})))
			told := 0 // each controller is asked, one after the other, until all tell the end
			l.until("all tell the end", func() bool {
				for _, s := range l.sets {
					resp, err := l.httpc.Get("http://" + s.Listen + protocol.PathSubmit + "/" + extra.UID)
					if err != nil {
						continue
					}
					var st protocol.Status
					_ = json.NewDecoder(resp.Body).Decode(&st) // the status says the most of it
					resp.Body.Close()
					l.check.Told(extra.UID, resp.StatusCode, st.State, false)
					if st.State == protocol.Cancelled {
						told++
					}
				}
				return told > 30
			})
		},
		"ended_in_rebuilding": func(l *dataLoss) {
			l.state.LoseAll()
			l.until("a generation begins", func() bool { all := l.overviews(); return len(all) > 0 && all[0].Store.Epoch > 1 })
			l.crash(2) // while what it remembers is gathered and written back
			l.start(2)
		},
		"one_is_gone": func(l *dataLoss) { l.crash(1); l.state.Back(l.saved); time.Sleep(8 * time.Second); l.start(1) },
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

// TestNothingIsAcceptedBeforeTheFirstRecord: a store that lost everything before the first control
// record was made looks like a new one, and jobs accepted by then were forgotten.
func TestNothingIsAcceptedBeforeTheFirstRecord(t *testing.T) {
	n := newGrown(2, 1).n
	n.watchedKeysRead = true
	if !(userBackend{n}).StoreTrusted() {
		t.Fatal("a controller with a record takes nothing")
	}
	n.leadership = leadership.New(n.name, n.incarnation, leadership.Lease{}, nil, time.Now())
	if (userBackend{n}).StoreTrusted() {
		t.Error("jobs are taken before there is a record")
	}
}

// TestRecordWrittenPastALoss: the store went back, and a controller that started since wrote the record
// past the revision that the others had seen, so that every version they compare is there
// again or was changed. That the record does not follow the one known is the sign.
func TestRecordOutOfChainIsSuspected(t *testing.T) {
	for after, want := range map[uint64]datarecovery.Phase{12: datarecovery.Suspected, 17: datarecovery.Trusted, 18: datarecovery.Trusted} {
		n := newGrown(2, 1).n
		record := n.leadership.Record().Clone()
		record.Epoch = 1
		n.leadership.Adopt(record, 17, time.Now())
		n.recovery.detection = datarecovery.NewDetection("node-a", n.incarnation, nil, time.Second)
		n.recovery.detection.Entered(1, time.Now())
		next := n.leadership.Record().Clone()
		next.Term, next.PreviousVersion = next.Term+1, after
		n.changed(protocol.Change{Set: controlKey, Value: protocol.Encode(next), Version: 19})
		if phase, _, _ := n.recovery.detection.Phase(); phase != want || (n.leadership.RecordVersion() == 19) != (want == datarecovery.Trusted) {
			t.Errorf("after %d: %s, version %d", after, phase, n.leadership.RecordVersion())
		}
	}
}

// TestMemoryFromBeforeTheFirstRecord: a process that had read the store before there was a first record took
// its memory for good to have holes. A loss of data then left all that was unknown without an answer.
func TestMemoryReadBeforeTheFirstRecordIsComplete(t *testing.T) {
	l := &dataLoss{region: newRegion(t, 300*time.Millisecond), newEpoch: true, cancelled: array(390, 10, "blue")}
	for i := range l.nodes {
		l.crash(i)
	}
	l.state.LoseAll() // nobody is there who would miss it: a new store
	l.start(0)        // waits for the others before it makes the first record, and has read all by then
	l.until("there is a record", func() bool { all := l.overviews(); return len(all) > 0 && all[0].Term > 0 })
	l.start(1)
	l.start(2)
	l.until("all remember all", func() bool {
		all := l.overviews()
		return len(all) == 3 && !slices.ContainsFunc(all, func(o overview) bool { return !o.Store.MemoryComplete })
	})
	l.submit(l.cancelled)
	l.withdraw(l.cancelled.UID)
	l.state.LoseAll()
	l.checkRecovered()
}

// TestLateTransactions: what was sent before a loss and is carried out after it, as when
// packets were held, changes nothing.
func TestLateTransactionsChangeNothing(t *testing.T) {
	l := newDataLoss(t)
	l.newEpoch = true
	var marker protocol.Entry
	for _, e := range l.keys(datarecovery.EpochKey) {
		marker = e
	}
	if marker.Version == 0 {
		t.Fatal("the generation has no key of its own")
	}
	l.state.Back(l.saved)
	l.until("a generation begins", func() bool { return l.recovered(true) })
	ghost := array(398, 1, "red")
	late := protocol.Txn{Conditions: []protocol.Condition{{Key: marker.Key, Version: marker.Version}, {Key: snapshot.JobKey + ghost.UID}},
		Then: []protocol.Op{{Set: snapshot.JobKey + ghost.UID, Value: protocol.Encode(userapi.ActiveJob{Spec: ghost})}}}
	resp, err := l.httpc.Post("http://"+l.state.Addr()+"/txn", "application/json", bytes.NewReader(protocol.Encode(late)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusConflict || l.state.Keys(snapshot.JobKey+ghost.UID) != 0 {
		t.Fatalf("a late acceptance got %d", resp.StatusCode)
	}
	l.checkRecovered()
}

// keys lists keys of the stand-in by its protocol.
func (r *region) keys(prefix string) []protocol.Entry {
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

// TestLossAtAnEndOfAll: the store loses data at the moment in which all controllers end,
// so that nobody remembers. What cannot be known is never called unknown, what runs is
// left alone and no task runs twice, new work is taken and run; what the store still has
// comes to its end.
func TestDataLossWhileAllControllersRestart(t *testing.T) {
	for name, lose := range map[string]func(*dataLoss){
		"all":  func(l *dataLoss) { l.state.LoseAll() },
		"back": func(l *dataLoss) { l.state.Back(l.saved) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newDataLoss(t)
			for i := range l.nodes {
				l.crash(i)
			}
			lose(l)
			for i := range l.nodes {
				l.start(i)
			}
			late := array(350, 6, "red")
			l.submit(late)
			known := []*protocol.Submission{late}
			if name == "back" {
				known = append(known, l.jobs[:l.savedJobs]...)
			}
			l.allDone(known)
			for _, j := range append(l.jobs, l.cancelled, array(999, 1, "red")) {
				status, st := l.ask("GET", protocol.PathSubmit+"/"+j.UID, nil)
				l.check.Told(j.UID, status, st.State, false)
				if status != http.StatusOK && status != http.StatusServiceUnavailable {
					t.Errorf("%s: status %d", j.UID, status)
				}
			}
			for _, o := range l.overviews() {
				if s := o.Store; s.Epoch < 2 || !s.DataLost || s.Phase != "known" {
					t.Errorf("%s: %+v", o.Node, s)
				}
			}
			if broken := l.check.Rules(); len(broken) > 0 {
				t.Fatal(broken)
			}
		})
	}
}

// TestNoCopyCame: nobody remembers and no copy is put back. Once it was waited for as long as
// the operators said, what nobody knows is told to be unknown, and a later loss is one that
// everything known survives again.
func TestSearchIsGivenUpWithoutACopy(t *testing.T) {
	l := newDataLoss(t)
	for i := range l.nodes {
		l.crash(i)
	}
	l.state.LoseAll()
	l.copyWait = 4
	for i := range l.nodes {
		l.start(i)
	}
	told := func() int { status, _ := l.ask("GET", protocol.PathSubmit+"/"+l.jobs[0].UID, nil); return status }
	l.until("controllers serve", func() bool { return len(l.overviews()) == 3 })
	lost := false
	l.until("given up", func() bool {
		all := l.overviews()
		given := len(all) == 3
		for _, o := range all {
			lost = lost || o.Store.DataLost
			given = given && o.Store.Epoch > 1 && !o.Store.DataLost && o.Store.MemoryComplete
		}
		if status := told(); !given && status == http.StatusNotFound {
			for _, o := range l.overviews() { // unless that came between
				if o.Store.DataLost {
					t.Error("unknown before it was given up")
				}
			}
		}
		return given
	})
	if !lost {
		t.Error("nothing was held to be lost for good before")
	}
	l.until("an unknown job is unknown", func() bool { return told() == http.StatusNotFound })
	job := array(360, 6, "red")
	l.submit(job)
	l.state.LoseAll()
	l.until("rebuilt", func() bool { return l.recovered(true) && !l.overviews()[0].Store.DataLost })
	l.allDone([]*protocol.Submission{job})
}

// TestRestoreFromSnapshot: the store loses everything at the moment in which all
// controllers end, but it was followed. What was accepted, done and withdrawn comes back
// into the generation that the controllers began, running tasks are taken up again, and
// unknown jobs are unknown once nothing more is to be found. A second restore does nothing.
func TestRestoreFromSnapshot(t *testing.T) {
	l := newDataLoss(t)
	set := snapshot.DefaultConfig()
	set.State, set.Dir, set.RPS, set.WriteRPS, set.ValueKB, set.TxnOps = l.state.Addr(), t.TempDir(), 100, 100, 16, 16
	a, err := snapshot.Open(set.Dir, snapshot.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- snapshot.NewFollower(set, a, slog.New(slog.DiscardHandler)).Run(ctx) }()
	last := array(380, 10, "red")
	l.submit(last)
	l.until("the snapshot has the last job", func() bool {
		c, ok := a.Latest()
		if !ok {
			return false
		}
		keys, _, err := a.Load(c.ID, 0)
		_, there := keys[snapshot.JobKey+last.UID]
		return err == nil && there
	})
	for i := range l.nodes {
		l.crash(i)
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	copy, _ := a.Latest()
	l.state.LoseAll()
	for i := range l.nodes {
		l.start(i)
	}
	l.until("the controllers know what they lost", func() bool {
		all := l.overviews()
		for _, o := range all {
			if s := o.Store; s.Epoch < 2 || !s.DataLost || s.Phase != "known" {
				return false
			}
		}
		return len(all) == 3
	})
	r := snapshot.NewRestorer(set)
	plan, err := r.Plan(t.Context(), a, copy.ID, 0, false)
	if err != nil || plan.Jobs == 0 || plan.Ends == 0 {
		t.Fatalf("plan %+v, %v", plan, err)
	}
	if err := r.Apply(t.Context(), plan, nil); err != nil {
		t.Fatal(err)
	}
	if plan, err = r.Plan(t.Context(), a, copy.ID, 0, false); err != nil || plan.Changes != 0 {
		t.Fatalf("a second restore would write: %+v, %v", plan, err)
	}
	if changed, err := r.Declare(t.Context()); err != nil || !changed {
		t.Fatalf("declared: %t, %v", changed, err)
	}
	l.jobs, l.newEpoch = append(l.jobs, last), true
	l.checkRecovered()
}
