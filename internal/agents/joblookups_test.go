package agents

import (
	"strconv"
	"testing"
	"time"
)

// TestJobLookups: a job is looked up once at a time, not shortly after a failed lookup, and not while too many other
// lookups are in progress.
func TestJobLookups(t *testing.T) {
	l, now := NewJobLookups(), time.Unix(1000, 0)
	if !l.Begin("job-1", now) || l.Begin("job-1", now) {
		t.Error("lookup not begun, or begun twice")
	}
	l.Finish("job-1")
	l.Fail("job-1", now)
	if l.Begin("job-1", now.Add(lookupRetryDelay-1)) || !l.Begin("job-1", now.Add(lookupRetryDelay)) {
		t.Error("not looked up again exactly at the retry time")
	}
	for i := 2; l.Open() < maxOpenLookups; i++ {
		l.Begin("job-"+strconv.Itoa(i), now)
	}
	if l.Begin("another", now) {
		t.Errorf("looked up while %d other lookups are in progress", l.Open())
	}
	l.Finish("job-1")
	if !l.Begin("another", now) {
		t.Error("not looked up after another lookup has ended")
	}
	l.Fail("another", now)
	l.Finish("another")
	l.ForgetFailures(1)
	if l.ForgetFailures(0); !l.Begin("another", now) {
		t.Error("failure not forgotten")
	}
}
