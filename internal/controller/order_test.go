package controller

import (
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// TestOrderOfWaitingWork: the guarantee goes before priority, priority before
// time. A job hurries for the next goal that it can still reach: one that missed
// its first must neither hold up those that can make theirs nor be given up.
func TestOrderOfWaitingWork(t *testing.T) {
	n := bare("127.0.0.1:1")
	n.settings.Deployment.Objectives = []settings.Objective{
		{Kind: "deadline", Class: "c", Times: 1}, {Kind: "deadline", Class: "c", Times: 2}, {Kind: "finished", Class: "d", WithinSeconds: 30},
		{Kind: "wait", Class: "d", WithinSeconds: 60}, {Kind: "guarantee", WithinSeconds: 8}}
	now := time.Unix(10000, 0)
	for _, x := range []struct {
		class    string
		deadline float64 // 0: none
		age      int
		goal     int // seconds after submission
		late     bool
	}{
		{"c", 100, 0, 100, false},
		{"c", 100, 96, 200, false}, // 4 s before its deadline, and half its estimate is 5 s
		{"c", 100, 196, 200, true},
		{"d", 0, 10, 30, false},
		{"d", 20, 10, 20, false},
		{"d", 20, 16, 30, false},
		{"d", 0, 26, 30, true},
		{"other", 0, 1000, int(far / time.Second), false},
		{"other", 50, 0, 50, false},
	} {
		spec := &protocol.Submission{Class: x.class, EstimateSeconds: 10}
		if x.deadline > 0 {
			spec.DeadlineSeconds = &x.deadline
		}
		j := &job{spec: spec, submittedAt: now.Add(-time.Duration(x.age) * time.Second)}
		goal, late := n.goal(j, now)
		if goal.Sub(j.submittedAt) != time.Duration(x.goal)*time.Second || late != x.late {
			t.Errorf("%+v: goal after %v, late %v", x, goal.Sub(j.submittedAt), late)
		}
	}
	for age, want := range map[int]bool{0: true, 8: true, 9: false} {
		if by, ok := n.promptly(now.Add(-time.Duration(age)*time.Second), now); ok != want || (ok && by.Sub(now) != time.Duration(8-age)*time.Second) {
			t.Errorf("work within the guarantee that waits for %d s should start by %v, %v", age, by, ok)
		}
	}
	for age, want := range map[int]bool{26: true, 60: true, 61: false} {
		j := &job{spec: &protocol.Submission{Class: "d", EstimateSeconds: 10}, submittedAt: now.Add(-time.Duration(age) * time.Second)}
		if by, ok := n.startBy(j, now); ok != want || (ok && by.Sub(j.submittedAt) != time.Minute) {
			t.Errorf("after %d s tasks should start by %v, %v", age, by, ok)
		}
	}
	waits := func(uid, priority string, borrowed, late bool, latest int) waitingTasks {
		return waitingTasks{spec: &protocol.Submission{UID: uid, Priority: priority}, borrowed: borrowed, late: late,
			latest: now.Add(time.Duration(latest) * time.Second), submitted: now}
	}
	lost := waits("g", "standard", false, true, 1)
	lost.lost = true
	list := []waitingTasks{waits("i", "prod", true, false, 1), lost, waits("h", "low", false, false, 1), waits("f", "standard", false, true, 3), waits("e", "standard", false, true, 2),
		waits("d", "standard", false, false, 9), waits("c", "standard", false, false, 8), waits("b", "high", false, true, 1), waits("a", "high", false, false, 50)}
	arrange(list)
	got := ""
	for _, w := range list {
		got += w.spec.UID
	}
	if got != "abcdefghi" {
		t.Errorf("order %s", got)
	}
}
