package agents

import (
	"strconv"
	"testing"
	"time"
)

// TestEndLookUps: a job is looked up once at a time, not again shortly after that failed, and not beside too many others.
func TestEndLookUps(t *testing.T) {
	l, now := NewJobLookups(), time.Unix(1000, 0)
	if !l.Begin("job-1", now) || l.Begin("job-1", now) {
		t.Error("not looked up once at a time")
	}
	l.Finish("job-1")
	l.Fail("job-1", now)
	if l.Begin("job-1", now.Add(lookUpRetryAfter-1)) || !l.Begin("job-1", now.Add(lookUpRetryAfter)) {
		t.Error("not looked up again just after the time")
	}
	for i := 2; l.Open() < maxLookUps; i++ {
		l.Begin("job-"+strconv.Itoa(i), now)
	}
	if l.Begin("another", now) {
		t.Errorf("looked up beside %d others", l.Open())
	}
	l.Finish("job-1")
	if !l.Begin("another", now) {
		t.Error("not looked up once another is over")
	}
	l.Fail("another", now)
	l.Finish("another")
	l.ForgetFailures(1)
	if l.ForgetFailures(0); !l.Begin("another", now) {
		t.Error("remembers a failure that was dropped")
	}
}
