package agents

import (
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
)

func (a *Agent) invalidateStatus() {
	a.revision++
	a.status = nil
}

// Status returns what owners are told of a machine: what its agent lists, and what became of the owners' orders. It is
// nil for an agent that has not sent a heartbeat here, and the same value until something changes.
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
		case !s.listed && !s.forgotten && s.order.Op == protocol.Start:
			status.Tasks = append(status.Tasks, jobstate.TaskStatus{
				TaskID: s.order.TaskID, Attempt: ref.Attempt, State: jobstate.Ordered,
			})
		}
	}
	return status
}
