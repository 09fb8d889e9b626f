package shards

import (
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/leadership"
)

// recordWithShard returns a membership record with the given entry for the test's shard.
func recordWithShard(firstTerm, epoch uint64, shard leadership.Shard) *leadership.Record {
	record := (&leadership.Record{Term: 9, FirstTerm: firstTerm, Epoch: epoch}).Clone()
	record.Nodes = map[string]uint64{"node-a": 1, "node-b": 1}
	record.Shards[testShard] = shard
	return record
}

// takeOver makes a controller take over the test's shard.
func takeOver(r *Registry, record *leadership.Record) *Owned {
	now := time.Unix(1000, 0)
	return r.TakeOver(Takeover{Name: testShard, Record: record, NewTeam: testTeam, PageSizes: jobstate.PageSizes{Present: 8 << 10, Lowest: 8 << 10}, Now: now})
}

// TestBarrierRequirement guards that an owner without the team's progress passes the barrier: one that did not started
// running tasks a second time. Only an owner that holds the replica, or the deployment's first owner, starts without
// it.
func TestBarrierRequirement(t *testing.T) {
	for _, c := range []struct {
		name             string
		firstTerm, epoch uint64
		shard            leadership.Shard
		held             bool
		wantBarrier      bool
		wantAssignments  int
	}{
		{"in sync with a replica", 3, 1, leadership.Shard{SinceTerm: 9}, true, false, 1},
		{"in sync according to the record, without a replica", 3, 1, leadership.Shard{SinceTerm: 9}, false, true, 0},
		{"not in sync, with an outdated replica", 3, 1, leadership.Shard{SinceTerm: 9, NeedsBarrier: true}, true, true, 0},
		{"the deployment's first owner", 9, 1, leadership.Shard{SinceTerm: 9}, false, false, 0},
		{"the first owner after a loss of data", 9, 2, leadership.Shard{SinceTerm: 9}, false, true, 0},
	} {
		r := NewRegistry()
		if c.held {
			replica := jobstate.NewReplica()
			task := jobstate.TaskID{Job: "job-1"}
			replica.Assignments[task] = jobstate.Assignment{TaskID: task, Attempt: 1, Machine: "m-1"}
			r.Held().Put(testShard, 8, replica)
		}
		o := takeOver(r, recordWithShard(c.firstTerm, c.epoch, c.shard))
		assignments := len(o.Team().Replica().Assignments)
		if o.NeedsBarrier() != c.wantBarrier || assignments != c.wantAssignments {
			t.Errorf("%s: barrier %v with %d assignments, want %v and %d", c.name,
				o.NeedsBarrier(), assignments, c.wantBarrier, c.wantAssignments)
		}
		if r.Held().Has(testShard) || r.Owned(testShard) != o {
			t.Errorf("%s: the held replica was not dropped, or the shard is not owned", c.name)
		}
		if o.CanStartBeforeRead() == c.wantBarrier {
			t.Errorf("%s: can start before the state service answers: %v", c.name, o.CanStartBeforeRead())
		}
	}
}

// TestApplyRecord checks that a controller gives up what a new record assigns to another, and keeps it as a replica if
// it had passed the barrier and is a member; that it takes over again what it owns since another term; and that it
// leaves all other shards unchanged.
func TestApplyRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		ready    bool
		member   bool
		entry    leadership.Shard
		wantHeld bool
		wantGone bool
		wantTake bool
	}{
		{"kept", true, true, leadership.Shard{Owner: "node-a", SinceTerm: 5}, false, false, false},
		{"given to another", true, true, leadership.Shard{Owner: "node-b", SinceTerm: 9}, true, true, false},
		{"given to another during the barrier", false, true, leadership.Shard{Owner: "node-b", SinceTerm: 9}, false, true, false},
		{"owned since another term", true, true, leadership.Shard{Owner: "node-a", SinceTerm: 9}, true, true, true},
		{"no longer a member", true, false, leadership.Shard{Owner: "node-b", SinceTerm: 9}, false, true, false},
		{"another process is the member", true, false, leadership.Shard{Owner: "node-a", SinceTerm: 5}, false, true, false},
	} {
		r := NewRegistry()
		o := testLoading(false, jobstate.NewReplica(), now)
		if c.ready {
			o.EnterBarrier(nil)
			o.PassBarrier(now)
			o.BeginHandOver()
		}
		r.Add(o)
		changes := r.ApplyRecord(recordWithShard(3, 1, c.entry), "node-a", c.member)
		if gone := slices.Contains(changes.GivenUp, o); gone != c.wantGone || r.Owns(o) == c.wantGone {
			t.Errorf("%s: given up %v, owned %v", c.name, gone, r.Owns(o))
		}
		if taken := slices.Contains(changes.ToTakeOver, testShard); taken != c.wantTake {
			t.Errorf("%s: to take over %v, want %v", c.name, taken, c.wantTake)
		}
		if held := r.Held().Replica(testShard) != nil; held != c.wantHeld {
			t.Errorf("%s: held as a replica %v, want %v", c.name, held, c.wantHeld)
		}
		if !c.wantGone && !o.MayPlace() {
			t.Errorf("%s: no task may be placed although the change of the record is settled", c.name)
		}
	}
}

// TestKeptReplicaFollowsNoDelta: an owner that gave a shard up kept its state as a replica under the new owner's term. A
// copy of the new owner that arrives before the record is refused; a delta that follows it was then acknowledged if its
// sequence number was not higher than the kept one, and applied to the wrong state if it was the next one.
func TestKeptReplicaFollowsNoDelta(t *testing.T) {
	const newTerm = 9
	for _, seq := range []uint64{1, 2} {
		r := NewRegistry()
		previous := testOwned(jobstate.NewReplica(), time.Unix(1000, 0))
		r.Add(previous)
		kept := jobstate.TaskID{Job: "job-1"}
		if err := previous.Team().Replica().Apply(jobstate.Delta{Seq: 1, Done: []jobstate.TaskID{kept}}); err != nil {
			t.Fatal(err) // a change that the new owner did not receive
		}
		r.ApplyRecord(recordWithShard(3, 1, leadership.Shard{Owner: "node-b", SinceTerm: newTerm}), "node-a", true)
		delta := jobstate.Delta{Seq: seq, Done: []jobstate.TaskID{{Job: "job-2"}}}
		answer, due := r.Held().ReceiveDeltas(&Deltas{Shard: testShard, SinceTerm: newTerm, Deltas: []jobstate.Delta{delta}})
		if !due || !answer.NeedsCopy {
			t.Errorf("delta %d: answer %+v, due %v, instead of a request for a copy", seq, answer, due)
		}
		if done := r.Held().Replica(testShard).Done; done["job-2"] != nil || done["job-1"] == nil {
			t.Errorf("delta %d: the kept state was changed: %v", seq, done)
		}
		r.Held().ReceiveCopy(&Copy{Shard: testShard, SinceTerm: newTerm, Copy: jobstate.Copy{Seq: seq}})
		delta.Seq++
		if answer, due := r.Held().ReceiveDeltas(&Deltas{Shard: testShard, SinceTerm: newTerm, Deltas: []jobstate.Delta{delta}}); !due || answer.NeedsCopy || answer.Seq != seq+1 {
			t.Errorf("delta %d after a copy: answer %+v, due %v", seq+1, answer, due)
		}
	}
}

// TestBarrierWaitsForMachines guards that the barrier of an owner that was not in sync waits for each machine until it
// has reported under the owner's term or is gone, and that an owner in sync waits for none.
func TestBarrierWaitsForMachines(t *testing.T) {
	machines := []string{"m-1", "m-2", "m-3"}
	for _, needs := range []bool{false, true} {
		r := NewRegistry()
		o := testLoading(needs, jobstate.NewReplica(), time.Unix(1000, 0))
		r.Add(o)
		o.EnterBarrier(slices.Values(machines))
		if got := r.AwaitedMachines(); needs && !slices.Equal(got, machines) || !needs && len(got) > 0 {
			t.Fatalf("not in sync %v: waits for %v", needs, got)
		}
		if !needs {
			continue
		}
		if o.MachineAnswered("m-1", 4) || !o.Awaits("m-1") {
			t.Error("a report under an earlier term settles a machine")
		}
		if o.MachineAnswered("m-1", 5) || o.Awaits("m-1") {
			t.Error("a report under the term does not settle the machine, or settles all")
		}
		o.RemoveSettledMachines(func(name string, term uint64) bool { return name == "m-2" && term == 5 })
		if got := r.AwaitedMachines(); !slices.Equal(got, machines[2:]) {
			t.Errorf("waits for %v, want the third machine", got)
		}
		o.AwaitMachines(slices.Values([]string{"m-4"}))
		if o.MachineAnswered("m-3", 6) || !o.MachineAnswered("m-4", 5) {
			t.Error("the barrier does not end with the last machine")
		}
	}
}

// TestReload guards that a shard that is not ready is loaded again, with its pages unread, when the roster turns out to
// have been incomplete, and that the result of the earlier load is ignored. A shard that is ready stays ready.
func TestReload(t *testing.T) {
	for _, needs := range []bool{false, true} {
		o := testLoading(needs, jobstate.NewReplica(), time.Unix(1000, 0))
		earlier := o.BeginLoad()
		o.EnterBarrier(slices.Values([]string{"m-1"}))
		o.Pages().MarkRead()
		if !o.Reload() || o.Pages().AreRead() || (o.Phase() == Loading) != needs {
			t.Errorf("not in sync %v: phase %s, pages read %v", needs, o.Phase(), o.Pages().AreRead())
		}
		if later := o.BeginLoad(); o.LoadIsCurrent(earlier) || !o.LoadIsCurrent(later) {
			t.Error("the earlier load is still current")
		}
		o.PassBarrier(time.Unix(1000, 0))
		o.Pages().MarkRead()
		if o.Reload() || !o.Pages().AreRead() || !o.IsReady() {
			t.Error("a ready shard is loaded again")
		}
	}
}

// TestPagesAreSavedOneAtATime guards that finished tasks are written only after the barrier is passed and the current
// pages are read, and not while an earlier write is in progress; what was saved is not written again.
func TestPagesAreSavedOneAtATime(t *testing.T) {
	now := time.Unix(1000, 0)
	o := testLoading(false, jobstate.NewReplica(), now)
	o.Team().AddJob(testSpec("job-1", 10), 1, now, nil)
	o.Team().MergeDone("job-1", bitset.New(1).Set(0))
	due := func() bool { _, due := o.BeginSaving(); return due }
	o.Pages().MarkRead()
	if due() {
		t.Error("written before the barrier")
	}
	o.Reload()
	o.EnterBarrier(nil)
	o.PassBarrier(now)
	if due() {
		t.Error("written before the pages were read")
	}
	o.Pages().MarkRead()
	pages, begun := o.BeginSaving()
	if !begun || len(pages) != 1 {
		t.Fatalf("%d pages to be written, begun %v", len(pages), begun)
	}
	if due() {
		t.Error("written while a write is in progress")
	}
	o.Pages().SetVersion(pages[0].Number, 7) // the write failed on another version
	o.Pages().EndSaving()
	pages, begun = o.BeginSaving()
	if !begun || len(pages) != 1 || pages[0].Version != 7 {
		t.Fatalf("written again: %v, %+v", begun, pages)
	}
	o.Pages().MarkSaved(pages[0], 8)
	o.Pages().EndSaving()
	if due() {
		t.Error("saved tasks are written again")
	}
}

// TestProbesOncePerTerm guards that a machine is probed once per term and counts as unanswered until it is settled in
// another way. The next term starts afresh, and a late result of a probe of an earlier term is ignored.
func TestProbesOncePerTerm(t *testing.T) {
	var p Probes
	settled := map[string]bool{}
	unanswered := func() []string {
		return p.Unanswered(func(name string, _ uint64) bool { return settled[name] })
	}
	if !p.Begin(5) || p.Begin(5) || !p.MarkProbed("m-1") || p.MarkProbed("m-1") || !p.MarkProbed("m-2") {
		t.Fatal("not exactly one probe per machine in the first term")
	}
	p.MarkUnanswered(5, "m-2")
	p.MarkUnanswered(5, "m-1")
	if got := unanswered(); !slices.Equal(got, []string{"m-1", "m-2"}) {
		t.Errorf("unanswered are %v", got)
	}
	settled["m-1"] = true
	if got := unanswered(); !slices.Equal(got, []string{"m-2"}) {
		t.Errorf("unanswered are %v after one machine reported on its own", got)
	}
	if !p.Begin(6) || !p.MarkProbed("m-1") || len(unanswered()) != 0 {
		t.Error("the next term does not start afresh")
	}
	p.MarkUnanswered(5, "m-2")
	if got := unanswered(); len(got) != 0 {
		t.Errorf("unanswered are %v by a probe of an earlier term", got)
	}
}
