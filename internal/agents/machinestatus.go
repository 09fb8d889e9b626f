package agents

import (
	"maps"
	"slices"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

// invalidateStatus increments the revision and drops the cached status.
func (a *Agent) invalidateStatus() {
	a.revision++
	a.status = nil
}

// Status returns the status of a machine that is reported to owners: the tasks that its agent lists and the state of
// the owners' orders. It is nil for an agent that has not sent a heartbeat here. The same value is returned until
// something changes.
func (g *Registry) Status(machine string) *jobstate.MachineStatus {
	a := g.agents[machine]
	if a == nil {
		return nil
	}
	if a.status == nil {
		a.status = g.makeStatus(machine, a)
	}
	return a.status
}

// makeStatus builds the status of a machine.
func (g *Registry) makeStatus(machine string, a *Agent) *jobstate.MachineStatus {
	h := &a.Heartbeat
	status := &jobstate.MachineStatus{
		Machine: machine, Addr: h.Addr, Type: h.Type, Zone: h.Zone, Spot: h.Spot,
		Incarnation: h.Incarnation, Seq: h.Seq, Revision: a.revision,
		FencingToken: h.FencingToken, Term: g.term, Notice: h.NoticeSeconds != nil,
	}
	for _, t := range h.Tasks {
		job, index, ok := protocol.SplitTask(t.Task)
		if ok {
			id := jobstate.TaskID{Job: job, Index: index}
			status.Tasks = append(status.Tasks, jobstate.TaskStatus{
				TaskID: id, Attempt: t.Attempt, State: t.State, Reason: t.Reason, Checkpointed: t.Checkpointed,
			})
		}
	}
	for ref, s := range a.starts {
		switch {
		case s.neverSent:
			status.Barred = append(status.Barred, ref)
		case !s.listed && s.order.Op == protocol.Start:
			status.Tasks = append(status.Tasks, jobstate.TaskStatus{
				TaskID: s.order.TaskID, Attempt: ref.Attempt, State: jobstate.Ordered,
			})
		}
	}
	return status
}

// maxStatusesPerMessage bounds the number of machines plus tasks per message, which limits it to about 300 KB. A link
// rejects messages above 4 MiB. The status of all machines of a large fleet exceeds that when a peer reconnects, and
// the link would be closed and the same message sent again.
const maxStatusesPerMessage = 4000

// MarkChanged marks a machine's status to be sent to the peers.
func (g *Registry) MarkChanged(machine string) { g.changed[machine] = true }

// Changed returns the number of machines whose status is to be sent.
func (g *Registry) Changed() int { return len(g.changed) }

// TakeChanged returns the statuses marked since the last call, in one batch per message.
func (g *Registry) TakeChanged() (batches [][]*jobstate.MachineStatus) {
	var batch []*jobstate.MachineStatus
	size := 0
	for _, machine := range slices.Sorted(maps.Keys(g.changed)) {
		status := g.Status(machine)
		if status == nil {
			continue
		}
		batch = append(batch, status)
		if size += 1 + len(status.Tasks); size >= maxStatusesPerMessage {
			batches = append(batches, batch)
			batch, size = nil, 0
		}
	}
	clear(g.changed)
	if len(batch) > 0 {
		batches = append(batches, batch)
	}
	return batches
}
