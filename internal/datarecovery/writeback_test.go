package datarecovery

import (
	"slices"
	"testing"
	"time"
)

func uids(jobs []RememberedJob) (names []string) {
	for _, job := range jobs {
		names = append(names, job.Spec.UID)
	}
	return names
}

// TestJobsAreWrittenBackInOrder: jobs are written back oldest first, with at most the given number in flight.
func TestJobsAreWrittenBackInOrder(t *testing.T) {
	w := NewWriteBack()
	missing := []RememberedJob{rememberedJob("job-000003", 30), rememberedJob("job-000001", 10), rememberedJob("job-000002", 20)}
	if got := uids(w.StartJobs(missing, 2)); !slices.Equal(got, []string{"job-000001", "job-000002"}) {
		t.Errorf("started %v", got)
	}
	if got := w.StartJobs([]RememberedJob{rememberedJob("job-000003", 30)}, 2); len(got) != 0 || w.InFlight("job-000003") {
		t.Errorf("started %v beyond the limit", uids(got))
	}
	w.Written("job-000001")
	if got := uids(w.StartJobs([]RememberedJob{rememberedJob("job-000003", 30)}, 2)); !slices.Equal(got, []string{"job-000003"}) || w.InFlight("job-000001") {
		t.Errorf("started %v", got)
	}
	if got := w.StartJobs([]RememberedJob{rememberedJob("job-000004", 30)}, 1); len(got) != 0 {
		t.Errorf("started %v with more in flight than the limit", uids(got))
	}
}

// TestStaleKeys: the owner writes the end of a job again that the store has as active, but not before the change that
// ended the job had time to be read.
func TestStaleKeys(t *testing.T) {
	w, due := NewWriteBack(), testStart.Add(staleKeyDelay)
	w.EndedKeyActive("job-000001", 5, testStart)
	for name, started := range map[string][]StaleKey{
		"early":      w.StartStaleKeys(due.Add(-1), 9, always, always),
		"not owned":  w.StartStaleKeys(due, 9, never, always),
		"limit of 0": w.StartStaleKeys(due, 0, always, always),
	} {
		if len(started) != 0 || w.StaleKeys() != 1 {
			t.Errorf("%s: started %v, %d left", name, started, w.StaleKeys())
		}
	}
	if started := w.StartStaleKeys(due, 9, always, always); !slices.Equal(started, []StaleKey{{"job-000001", 5}}) {
		t.Fatalf("started %v", started)
	}
	if started := w.StartStaleKeys(due, 9, always, always); len(started) != 0 {
		t.Errorf("started again: %v", started)
	}
	w.Written("job-000001")
	if w.ActiveKeyDeleted("job-000001"); w.StaleKeys() != 0 {
		t.Error("still stale although the key was deleted")
	}
	w.EndedKeyActive("job-000002", 6, testStart)
	if started := w.StartStaleKeys(due, 9, always, never); len(started) != 0 || w.StaleKeys() != 0 {
		t.Errorf("a job that has not ended: started %v, %d left", started, w.StaleKeys())
	}
}

// TestPagesOfEnds: pages of ends are written once in an epoch, and again after an incomplete write or once more ends
// are known.
func TestPagesOfEnds(t *testing.T) {
	w := NewWriteBack()
	if !w.StartPages() || w.StartPages() {
		t.Error("not started, or started twice")
	}
	w.PagesDone(false)
	if !w.StartPages() {
		t.Error("not started again after a failure")
	}
	if w.PagesDone(true); w.StartPages() {
		t.Error("started again although everything is written")
	}
	for _, again := range []func(){w.EndsLearned, w.Begin} {
		if again(); !w.StartPages() {
			t.Error("not started again")
		}
		w.PagesDone(true)
	}
}

// TestEndsLearnedDuringAWrite: ends that become known while pages are being written may be on none of them. They counted
// as written once that write was complete, and were on no page for the rest of the epoch.
func TestEndsLearnedDuringAWrite(t *testing.T) {
	for name, again := range map[string]func(*WriteBack){"ends learned": (*WriteBack).EndsLearned, "epoch entered": (*WriteBack).Begin} {
		w := NewWriteBack()
		w.StartPages()
		if again(w); w.StartPages() {
			t.Errorf("%s: a second write started beside the first", name)
		}
		if w.PagesDone(true); !w.StartPages() {
			t.Errorf("%s during a write: pages are not written again", name)
		}
		if w.PagesDone(true); w.StartPages() {
			t.Errorf("%s: started again although everything is written", name)
		}
	}
}

// TestRounds: write-back is checked at most once per interval.
func TestRounds(t *testing.T) {
	w := NewWriteBack()
	if !w.RoundDue(testStart) || w.RoundDue(testStart.Add(writeBackInterval-1)) || !w.RoundDue(testStart.Add(writeBackInterval)) {
		t.Error("not due, or too often")
	}
}

// TestCensus: the roster is complete only once it has every machine that is remembered or named by the cloud's list,
// which is read after its lag.
func TestCensus(t *testing.T) {
	c, lag := NewCensus(), 4*time.Second
	c.Remember("n-1")
	c.Begin(testStart)
	if c.ListRead() || c.Due(testStart.Add(2*lag), lag) || !c.Due(testStart.Add(2*lag+1), lag) {
		t.Error("list counts as read, is not due, or is due too early")
	}
	c.RecordListed([]string{"n-2"})
	if !c.ListRead() || c.Due(testStart.Add(time.Hour), lag) {
		t.Error("list does not count as read, or is due again")
	}
	if name, found := c.Unaccounted(func(name string) bool { return name == "n-2" }); !found || name != "n-1" {
		t.Errorf("unaccounted %q", name)
	}
	if name, found := c.Unaccounted(func(name string) bool { return name == "n-1" }); !found || name != "n-2" {
		t.Errorf("unaccounted %q", name)
	}
	if name, found := c.Unaccounted(always); found {
		t.Errorf("unaccounted %q", name)
	}
	if listed, remembered := c.Counts(); listed != 1 || remembered != 1 || !slices.Equal(slices.Collect(c.Listed()), []string{"n-2"}) || !slices.Equal(slices.Collect(c.Remembered()), []string{"n-1"}) {
		t.Errorf("%d listed, %d remembered", listed, remembered)
	}
	c.RecordListed(nil)
	if !c.ListRead() {
		t.Error("an empty list does not count as read")
	}
	if c.Begin(testStart.Add(time.Minute)); c.ListRead() || !c.EnteredAt().Equal(testStart.Add(time.Minute)) || len(slices.Collect(c.Remembered())) != 1 {
		t.Error("another epoch: list still counts as read, or no machine is remembered")
	}
}
