package controller

import (
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/shards"
)

// reconcileMachine compares a machine's report with what a shard's owner has assigned to it, and sends the orders
// that follow.
func (n *Node) reconcileMachine(shard *shards.Owned, v *jobstate.MachineStatus) {
	if !shard.IsReady() || shard.IsFleet() {
		return
	}
	team, _ := shards.TeamOf(shard.Name())
	orders := shard.Team().Observe(v, time.Now(), teamJobs{n, team})
	if len(orders) > 0 {
		n.sendOrders(v.Machine, orders)
	}
	for _, ref := range shard.Team().Quota().OrphansOfUnknownSize(v.Machine) {
		n.lookUpEnd(ref.Job, ref.Attempt)
	}
}

// reconcileMachinesOf does so again for the machines that list tasks of a job.
func (n *Node) reconcileMachinesOf(shard *shards.Owned, uid string) {
	for _, name := range n.taskIndex.Machines(uid) {
		n.reconcileMachine(shard, n.machines[name].status)
	}
}

// sendOrders hands orders for a machine to its home; false if they surely did not go out.
func (n *Node) sendOrders(name string, orders []jobstate.Order) bool {
	home := n.homeOf(name)
	if home == n.name {
		n.acceptOrders(name, n.leadership.Term(), orders)
		return true
	}
	return n.links.Send(home, kindOrders, ordersMsg{Term: n.leadership.Term(), Machine: name, Orders: orders})
}

// acceptOrders queues orders of an owner at the machine's home.
func (n *Node) acceptOrders(name string, term uint64, orders []jobstate.Order) {
	if n.agents.QueueOrders(term, name, orders) {
		n.wakeCommandSender(name)
	}
	n.publishStatus(name)
}
