package controller

import (
	"testing"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// TestViewsAreToldInBoundedLines: however many machines a home tells of at once, no line comes near what a link takes.
func TestStatusesAreSentInBoundedMessages(t *testing.T) {
	view := &jobstate.MachineStatus{Machine: "n-000001", Addr: "10.1.0.232:9000", Type: "mtatsminda-32", Zone: "batumi-coast", Incarnation: 1 << 20, Seq: 1 << 40, Revision: 1 << 30, FencingToken: 1 << 40, Term: 1 << 40}
	const tasks = 30
	for i := range tasks {
		view.Tasks = append(view.Tasks, jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: "job-000001", Index: 1<<16 + i}, Attempt: jobstate.AttemptID(1<<28, 1<<20), State: protocol.Running})
	}
	machines := maxStatusesPerMessage/(1+tasks) + 1
	line := protocol.Encode(view)
	const linkTakes = 4 << 20
	if size := machines * (len(line) + 1); size > linkTakes/4 {
		t.Errorf("%d machines of %d tasks take %d bytes in one line", machines, tasks, size)
	}
}
