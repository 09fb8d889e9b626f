package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/shards"
)

// reconcileMachine compares a machine's status with the assignments in an owned shard, and sends the orders that
// result.
func (n *Node) reconcileMachine(shard *shards.Owned, v *jobstate.MachineStatus) {
	if !shard.IsReady() || shard.IsFleet() {
		return
	}
	team, _ := shards.TeamOf(shard.Name())
	orders := shard.Team().Observe(v, time.Now(), teamJobs{n, team})
	n.logReturned(team, v, shard.Team().Returned().Take())
	if len(orders) > 0 {
		n.sendOrders(v.Machine, orders)
	}
	for _, ref := range shard.Team().Quota().OrphansOfUnknownSize(v.Machine) {
		n.lookUpEnd(ref.Job, ref.Attempt)
	}
}

// logReturned logs attempts that a machine lists although they had been proven to be off it.
func (n *Node) logReturned(team string, v *jobstate.MachineStatus, attempts []jobstate.AttemptRef) {
	for _, ref := range attempts {
		n.log.Info("released attempt is on its machine again", "team", team, "job", ref.Job, "index", ref.Index, "attempt", ref.Attempt,
			"attempt_term", jobstate.TermOf(ref.Attempt), "machine", v.Machine, "incarnation", v.Incarnation, "seq", v.Seq,
			"fencing_token", v.FencingToken, "home_term", v.Term)
	}
}

// reconcileMachinesOf reconciles the machines that list tasks of a job.
func (n *Node) reconcileMachinesOf(shard *shards.Owned, uid string) {
	for _, name := range n.taskIndex.Machines(uid) {
		n.reconcileMachine(shard, n.machines[name].status)
	}
}

// sendOrders sends orders for a machine to its home. It returns false if they were certainly not sent.
func (n *Node) sendOrders(name string, orders []jobstate.Order) bool {
	home := n.homeOf(name)
	if home == n.name {
		n.acceptOrders(name, n.leadership.Term(), orders)
		return true
	}
	return n.links.Send(home, kindOrders, ordersMsg{Term: n.leadership.Term(), Machine: name, Orders: orders})
}

// acceptOrders queues a shard owner's orders for a machine whose home this controller is.
func (n *Node) acceptOrders(name string, term uint64, orders []jobstate.Order) {
	if n.agents.QueueOrders(term, name, orders) {
		n.wakeCommandSender(name)
	}
	n.publishStatus(name)
}
