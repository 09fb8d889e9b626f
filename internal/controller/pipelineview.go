package controller

import (
	"strings"
	"time"

	"topazhollow/internal/dependencies"
	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// pathPipelines is the path of jobs and those that they need or are needed by; a slash and a job's ID follow it.
const pathPipelines = "/pipelines"

// Bounds of the answer to GET /pipelines/JOB.
const (
	maxPipelineJobs  = 500
	maxPipelineEdges = 5000
)

// PipelineState is the state of a job in a PipelineView.
type PipelineState string

// States of a job in a pipeline.
const (
	PipelineWaiting   PipelineState = "waiting" // some job that it needs is not done
	PipelineReady     PipelineState = "ready"   // none of its tasks runs, but they may start
	PipelineRunning   PipelineState = "running"
	PipelineDone      PipelineState = "done"
	PipelineCancelled PipelineState = "withdrawn" // by its user, or with a job that it needs
	PipelineUnknown   PipelineState = "unknown"   // not active here, and its end is not known here
)

// PipelineView is the body of the answer to GET /pipelines/JOB: a job, those that it needs and the active ones that need
// it, directly or through others, as one controller knows them. Of an ended job it may no longer be known what it
// needed.
type PipelineView struct {
	Node string        `json:"node"`
	Job  string        `json:"job"`
	Jobs []PipelineJob `json:"jobs"`          // Job first, then by distance from it
	Cut  bool          `json:"cut,omitempty"` // there are more jobs, or jobs need more than is listed
}

// PipelineJob is a job of a pipeline. Priority, Deadline and ExpectedEnd are those of an active job that is not
// cancelled.
type PipelineJob struct {
	UID         string        `json:"job"`
	Team        string        `json:"team,omitempty"`
	Class       string        `json:"class,omitempty"`
	State       PipelineState `json:"state"`
	Needs       []string      `json:"needs,omitempty"`     // directly
	WaitsFor    []string      `json:"waits_for,omitempty"` // those of Needs that are not done, if it waits
	Priority    string        `json:"priority,omitempty"`  // with what it takes over from jobs that need it
	Deadline    *time.Time    `json:"deadline,omitempty"`  // likewise
	Tasks       int           `json:"tasks,omitempty"`     // in all
	Done        int           `json:"done_tasks"`
	Running     int           `json:"running_tasks"`
	ExpectedEnd *time.Time    `json:"expected_end,omitempty"` // if it begins as soon as it may
}

// handlePipeline answers GET /pipelines/JOB.
func (n *Node) handlePipeline(r *httpx.Request) httpx.Answer {
	if r.Method != "GET" {
		return methodNotAllowed("GET")
	}
	view, known := n.pipelineView(strings.TrimPrefix(r.Path, pathPipelines+"/"), time.Now())
	if !known {
		return httpx.Refuse(404, "no such job is known here")
	}
	return httpx.Answer{Status: 200, Body: protocol.Encode(view)}
}

// pipelineView describes a job and those before and behind it; false if the job is not known here.
func (n *Node) pipelineView(uid string, now time.Time) (PipelineView, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	graph := n.dependencies.graph
	if n.jobs[uid] == nil && !graph.Tracks(uid) && !n.hasEnded(uid) {
		return PipelineView{}, false
	}
	graph.Settle()
	view := PipelineView{Node: n.name, Job: uid}
	uids, cut := n.pipelineOf(uid)
	view.Cut = cut
	ends, edges := graph.ExpectedEnds(uids, now), 0
	for _, uid := range uids {
		needs := n.neededBy(uid)
		if most := maxPipelineEdges - edges; len(needs) > most {
			needs, view.Cut = needs[:most], true
		}
		edges += len(needs)
		view.Jobs = append(view.Jobs, n.pipelineJob(uid, needs, ends, now))
	}
	return view, true
}

// pipelineOf lists a job, those that it needs and those that need it, directly or through others, nearest first. cut
// reports that there are more than maxPipelineJobs.
func (n *Node) pipelineOf(uid string) (uids []string, cut bool) {
	seen := map[string]bool{uid: true}
	uids = []string{uid}
	next := func(level []string, neighbours func(uid string) []string) (found []string) {
		for _, uid := range level {
			for _, neighbour := range neighbours(uid) {
				if seen[neighbour] {
					continue
				}
				if len(uids) == maxPipelineJobs {
					cut = true
					return nil
				}
				seen[neighbour] = true
				uids = append(uids, neighbour)
				found = append(found, neighbour)
			}
		}
		return found
	}
	before, behind := uids, uids
	for len(before)+len(behind) > 0 && !cut {
		before = next(before, n.neededBy)
		behind = next(behind, n.dependencies.graph.Dependents)
	}
	return uids, cut
}

// neededBy lists the jobs that a job needs directly, as far as known here.
func (n *Node) neededBy(uid string) []string {
	j := n.jobs[uid]
	if j == nil || j.accepted.Spec == nil {
		return nil
	}
	return j.accepted.Spec.Dependencies
}

// pipelineJob describes a job. ends has the expected ends of jobs that the graph tracks.
func (n *Node) pipelineJob(uid string, needs []string, ends map[string]time.Time, now time.Time) PipelineJob {
	x := PipelineJob{UID: uid, Needs: needs, State: n.pipelineState(uid)}
	j := n.jobs[uid]
	if end, ended := n.userAPI.KnownEnd(uid); ended {
		x.Team, x.Tasks = end.Team, end.Tasks
	}
	if j != nil {
		x.Team, x.Class, x.Tasks = j.spec.Team, j.spec.Class, j.spec.Tasks
	}
	switch x.State {
	case PipelineDone:
		x.Done = x.Tasks
		return x
	case PipelineCancelled, PipelineUnknown:
		return x
	case PipelineWaiting:
		x.WaitsFor = n.notDone(needs)
	}
	x.Done, x.Running = n.progress(uid)
	x.Priority = n.scheduledSpec(j).Priority
	if deadline := n.deadline(j); deadline != nil {
		x.Deadline = roundedTime(deadline.At(1))
	}
	if end, known := ends[uid]; known {
		x.ExpectedEnd = roundedTime(end)
	} else if !n.dependencies.graph.Tracks(uid) {
		x.ExpectedEnd = roundedTime(now.Add(n.expectedDuration(j.accepted.Spec)))
	}
	return x
}

// pipelineState returns the state of a job.
func (n *Node) pipelineState(uid string) PipelineState {
	if end, ended := n.userAPI.KnownEnd(uid); ended {
		if end.State == protocol.Cancelled {
			return PipelineCancelled
		}
		return PipelineDone
	}
	if j := n.jobs[uid]; j == nil || !j.active {
		return PipelineUnknown
	}
	switch n.dependencies.graph.State(uid) {
	case dependencies.CancelledWith:
		return PipelineCancelled
	case dependencies.Waiting:
		return PipelineWaiting
	}
	if _, running := n.progress(uid); running > 0 {
		return PipelineRunning
	}
	return PipelineReady
}

// notDone lists those of some jobs that are not done.
func (n *Node) notDone(uids []string) (list []string) {
	for _, uid := range uids {
		if n.pipelineState(uid) != PipelineDone {
			list = append(list, uid)
		}
	}
	return list
}

// roundedTime returns a time in whole seconds of UTC.
func roundedTime(t time.Time) *time.Time {
	rounded := t.UTC().Truncate(time.Second)
	return &rounded
}
