package datarecovery

import (
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/protocol"
)

func always(string) bool { return true }
func never(string) bool  { return false }

func rememberedJob(uid string, at int64) RememberedJob {
	return RememberedJob{Spec: &protocol.Submission{UID: uid}, SubmittedAtMillis: at}
}

// TestGatheringWaitsForReachableMembers: teams started before a reachable member had sent a cancellation that only it
// knew.
func TestGatheringWaitsForReachableMembers(t *testing.T) {
	g := NewGathering()
	if progress := g.Progress(always, always); !progress.Ready || progress.Completed {
		t.Fatalf("without an exchange: %+v", progress)
	}
	g.Begin(2, []string{"b", "c"})
	if progress := g.Progress(always, always); progress.Ready {
		t.Error("ready although nobody answered")
	}
	if progress := g.Progress(always, never); !progress.Ready || progress.Completed {
		t.Errorf("nobody is reachable: %+v", progress)
	}
	if !g.StateAnswered("b") || g.AnswerReceived("b", 1) || !g.AnswerReceived("b", 2) {
		t.Error("an answer of another epoch counts, or one of this epoch does not")
	}
	if progress := g.Progress(always, func(name string) bool { return name == "b" }); !progress.Ready || progress.Completed || len(g.Awaited()) != 1 {
		t.Errorf("b answered, c is not reachable: %+v, awaited %v", progress, g.Awaited())
	}
	if progress := g.Progress(func(name string) bool { return name == "b" }, always); !progress.Completed {
		t.Errorf("c is no longer a member: %+v", progress)
	}
	if progress := g.Progress(always, always); !progress.Ready || progress.Completed || g.StateAnswered("b") || g.AnswerReceived("b", 2) {
		t.Errorf("completed again: %+v", progress)
	}
}

// TestStateIsSentUntilAllExchanged: retained state is sent until all peers have exchanged it, at most once per
// interval, and at once in a new epoch.
func TestStateIsSentUntilAllExchanged(t *testing.T) {
	g, now := NewGathering(), testStart
	exchanged := false
	all := func() bool { return exchanged }
	if !g.SendDue(now, all) || g.SendDue(now.Add(stateResendInterval), all) || !g.SendDue(now.Add(stateResendInterval+1), all) {
		t.Error("not sent at the start, or sent too often")
	}
	exchanged = true
	if g.SendDue(now.Add(time.Hour), all) {
		t.Error("sent although all have exchanged")
	}
	g.SendDue(now.Add(time.Hour), func() bool { return false })
	g.Begin(2, []string{"b"})
	if !g.SendDue(now.Add(time.Hour+1), all) {
		t.Error("not sent at once in a new epoch")
	}
	if g.ExchangedWith("b") {
		t.Error("a peer that sent nothing counts as exchanged")
	}
	if g.StateReceived("b"); !g.ExchangedWith("b") {
		t.Error("a peer that sent its state does not count as exchanged")
	}
}

// TestProposedJobs: a proposed job counts as accepted for as long as a user waits for the answer, unless the store
// already has it.
func TestProposedJobs(t *testing.T) {
	g := NewGathering()
	g.JobProposed(rememberedJob("job-000001", 1), testStart)
	g.JobProposed(rememberedJob("job-000002", 2), testStart)
	g.JobKnown("job-000002")
	if jobs := g.ProposedJobs(testStart.Add(proposedJobLife - 1)); len(jobs) != 1 || jobs[0].Spec.UID != "job-000001" {
		t.Errorf("proposed: %v", jobs)
	}
	if jobs := g.ProposedJobs(testStart.Add(proposedJobLife)); len(jobs) != 0 {
		t.Errorf("proposed for too long: %v", jobs)
	}
	g.ExpireProposedJobs(testStart.Add(proposedJobLife))
	if len(g.ProposedJobs(testStart)) != 1 {
		t.Error("expired too early")
	}
	if g.ExpireProposedJobs(testStart.Add(proposedJobLife + 1)); len(g.ProposedJobs(testStart)) != 0 {
		t.Error("not expired")
	}
}

// TestFinishedTasksAreAUnion: finished tasks are merged into a set that is separate from the caller's.
func TestFinishedTasksAreAUnion(t *testing.T) {
	g := NewGathering()
	mine := bitset.New(0).Set(1)
	g.MergeFinished("job-000001", mine)
	g.MergeFinished("job-000001", bitset.New(0).Set(3))
	if got := g.Finished("job-000001"); !got.Test(1) || !got.Test(3) || got.Count() != 2 || mine.Count() != 1 {
		t.Errorf("finished %v, given %v", got, mine)
	}
	g.MergeFinished("job-000002", mine)
	g.ForgetFinished("job-000002")
	if taken := g.TakeFinished(); len(taken) != 1 || g.Finished("job-000001") != nil || len(g.FinishedByJob()) != 0 {
		t.Errorf("taken %v, left %v", taken, g.FinishedByJob())
	}
}
