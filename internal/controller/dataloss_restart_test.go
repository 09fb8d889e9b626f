package controller

import (
	"context"
	"log/slog"
	"net/http"
	"testing"

	"topazhollow/internal/protocol"
	"topazhollow/internal/snapshot"
)

// TestDataLossWhileAllControllersRestart: the store loses data at the moment when all controllers stop, so that no
// controller retains any state. A job about which nothing can be known must not be answered as unknown, running tasks
// are left alone, no task runs twice, new jobs are accepted and run, and jobs that the store still has complete.
func TestDataLossWhileAllControllersRestart(t *testing.T) {
	for name, lose := range map[string]func(*dataLoss){
		"all":  func(l *dataLoss) { l.state.LoseAll() },
		"back": func(l *dataLoss) { l.state.RollBack(l.saved) },
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
			late := arrayJob(350, 6, "red")
			l.submit(late)
			known := []*protocol.Submission{late}
			if name == "back" {
				known = append(known, l.jobs[:l.savedJobs]...)
			}
			l.awaitAllDone(known)
			for _, j := range append(l.jobs, l.cancelled, arrayJob(999, 1, "red")) {
				status, st := l.request("GET", protocol.PathSubmit+"/"+j.UID, nil)
				l.checker.RecordAnswer(j.UID, status, st.State, false)
				if status != http.StatusOK && status != http.StatusServiceUnavailable {
					t.Errorf("%s: status %d", j.UID, status)
				}
			}
			for _, o := range l.overviews() {
				if s := o.Store; s.Epoch < 2 || !s.DataLost || s.Phase != "known" {
					t.Errorf("%s: %+v", o.Node, s)
				}
			}
			if broken := l.checker.BrokenRules(); len(broken) > 0 {
				t.Fatal(broken)
			}
		})
	}
}

// TestSearchIsGivenUpWithoutACopy: no controller retains any state and no copy is restored. After the configured wait
// for a copy, jobs that nobody knows are answered as unknown, and everything known survives a later loss again.
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
	pollStatus := func() int { status, _ := l.request("GET", protocol.PathSubmit+"/"+l.jobs[0].UID, nil); return status }
	l.waitUntil("controllers serve", func() bool { return len(l.overviews()) == 3 })
	lost := false
	l.waitUntil("given up", func() bool {
		all := l.overviews()
		given := len(all) == 3
		for _, o := range all {
			lost = lost || o.Store.DataLost
			given = given && o.Store.Epoch > 1 && !o.Store.DataLost && o.Store.HistoryComplete
		}
		if status := pollStatus(); !given && status == http.StatusNotFound {
			for _, o := range l.overviews() { // unless the search was given up in between
				if o.Store.DataLost {
					t.Error("answered as unknown before the search was given up")
				}
			}
		}
		return given
	})
	if !lost {
		t.Error("no controller reported data as lost for good before")
	}
	l.waitUntil("an unknown job is unknown", func() bool { return pollStatus() == http.StatusNotFound })
	job := arrayJob(360, 6, "red")
	l.submit(job)
	l.state.LoseAll()
	l.waitUntil("recovered", func() bool { return l.recovered(true) && !l.overviews()[0].Store.DataLost })
	l.awaitAllDone([]*protocol.Submission{job})
}

// TestRestoreFromSnapshot: the store loses everything at the moment when all controllers stop, but a follower copied it
// before. Accepted, done and cancelled jobs are restored into the epoch that the controllers began, running tasks are
// adopted, and unknown jobs are answered as unknown once the search is declared over. A second restore writes nothing.
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
	last := arrayJob(380, 10, "red")
	l.submit(last)
	l.waitUntil("the snapshot has the last job", func() bool {
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
	l.waitUntil("the controllers know what they lost", func() bool {
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
