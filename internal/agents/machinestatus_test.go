package agents

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// TestStatusMessagesAreBounded: no message with statuses comes near the size limit of a link, however many
// machines a home reports at once.
func TestStatusMessagesAreBounded(t *testing.T) {
	status := &jobstate.MachineStatus{
		Machine: "n-000001", Addr: "10.1.0.232:9000", Type: "mtatsminda-32", Zone: "batumi-coast", Incarnation: 1 << 20,
		Seq: 1 << 40, Revision: 1 << 30, FencingToken: 1 << 40, Term: 1 << 40,
	}
	const tasks = 30
	for i := range tasks {
		status.Tasks = append(status.Tasks, jobstate.TaskStatus{
			TaskID:  jobstate.TaskID{Job: "job-000001", Index: 1<<16 + i},
			Attempt: jobstate.AttemptID(1<<28, 1<<20), State: protocol.Running,
		})
	}
	machines := maxStatusesPerMessage/(1+tasks) + 1
	message := protocol.Encode(status)
	const maxLinkMessageBytes = 4 << 20
	if size := machines * (len(message) + 1); size > maxLinkMessageBytes/4 {
		t.Errorf("a message with %d machines of %d tasks has %d bytes", machines, tasks, size)
	}
}

// TestTakeChanged: each changed machine is returned once, in batches of bounded size; unknown machines are left out.
func TestTakeChanged(t *testing.T) {
	g, _ := newTestRegistry(t)
	const machines = 2*maxStatusesPerMessage + 1 // each machine counts as one, as it lists no tasks
	for i := range machines {
		h := testHeartbeat(1)
		h.Machine = fmt.Sprintf("n-%06d", i)
		g.ApplyHeartbeat(h, time.Unix(1, 0))
		g.MarkChanged(h.Machine)
		g.MarkChanged(h.Machine)
	}
	g.MarkChanged("gone")
	var sizes []int
	for _, batch := range g.TakeChanged() {
		sizes = append(sizes, len(batch))
	}
	if !slices.Equal(sizes, []int{maxStatusesPerMessage, maxStatusesPerMessage, 1}) {
		t.Errorf("batches of %v", sizes)
	}
	if again := g.TakeChanged(); len(again) != 0 {
		t.Errorf("%d batches again", len(again))
	}
}

// TestTaskIndex: a job's machines are those whose last status lists at least one of its tasks.
func TestTaskIndex(t *testing.T) {
	x := NewTaskIndex()
	status := func(machine string, jobs ...string) *jobstate.MachineStatus {
		s := &jobstate.MachineStatus{Machine: machine}
		for i, job := range jobs {
			s.Tasks = append(s.Tasks, jobstate.TaskStatus{TaskID: jobstate.TaskID{Job: job, Index: i}})
		}
		return s
	}
	first, second := status("n-2", "job-1", "job-1", "job-2"), status("n-1", "job-1")
	x.Add(first)
	x.Add(second)
	if got := x.Machines("job-1"); !slices.Equal(got, []string{"n-1", "n-2"}) {
		t.Errorf("job-1 on %v", got)
	}
	x.Remove(first)
	if got := x.Machines("job-1"); !slices.Equal(got, []string{"n-1"}) || len(x.Machines("job-2")) != 0 {
		t.Errorf("job-1 on %v, job-2 on %v", got, x.Machines("job-2"))
	}
	if x.Remove(second); len(x.machines) != 0 {
		t.Errorf("%d jobs without machines remain in the index", len(x.machines))
	}
}
