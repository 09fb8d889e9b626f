package controller

import (
	"fmt"
	"testing"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// TestSharedPageSurvivesFailover: the finished tasks of two jobs share a page. An owner that takes over must find both,
// and its own writes must keep them.
func TestSharedPageSurvivesFailover(t *testing.T) {
	n := newStoppedNode("127.0.0.1:1")
	name := shards.ForTeam("red")
	store := map[string]protocol.Entry{}
	for round := range 4 {
		shard := readyShard(n, name, uint64(round+1))
		var entries []protocol.Entry
		for _, e := range store {
			entries = append(entries, e)
		}
		for i := range 2 {
			spec := arrayJob(i, 10, "red")
			n.jobs[spec.UID] = &job{spec: spec, active: true}
			shard.Team().AddJob(spec, 1, n.startedAt, nil)
		}
		n.pagesLoaded(shard, entries)
		for i := range 2 {
			if done, _ := shard.Team().Progress(fmt.Sprintf("job-%06d", i)); done != round {
				t.Fatalf("round %d: %d tasks of job %d are known to be done", round, done, i)
			}
		}
		for i := range 2 { // one more task of each completes, job 1 is written first
			uid := fmt.Sprintf("job-%06d", 1-i)
			v := &jobstate.MachineStatus{Machine: "m", Incarnation: 1, Tasks: []jobstate.TaskStatus{{TaskID: jobstate.TaskID{Job: uid, Index: round}, Attempt: 1, State: protocol.Exited, Reason: protocol.ReasonDone}}}
			shard.Team().Observe(v, n.startedAt, teamJobs{n, "red"})
			pages, due := shard.BeginSaving()
			if !due {
				t.Fatalf("round %d: no page is due", round)
			}
			for _, p := range pages {
				key := shard.Pages().Key(p.Number)
				store[key] = protocol.Entry{Key: key, Value: protocol.Encode(p.Parts), Version: p.Version + 1}
				shard.Pages().MarkSaved(p, p.Version+1)
			}
			shard.Pages().EndSaving()
		}
	}
}
