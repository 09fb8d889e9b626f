package jobstate

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Sending of start and stop orders.

// resendInterval is the time after which an unconfirmed order is sent again.
const resendInterval = 1500 * time.Millisecond

// TakeDueOrders returns the starts and stops to send now, by machine, and records them as sent. acked is the sequence
// number that every replica in sync has acknowledged; ready reports whether a machine's home and registration allow a
// start under the present term. Only attempts created in this term are started; older ones wait until they are listed
// or proven to be off their machines.
func (t *Team) TakeDueOrders(
	acked uint64, now time.Time, ready func(machine string, incarnation uint64) bool,
) map[string][]Order {
	due := map[string][]Order{}
	t.stopIncompleteGangs(now)
	for a := range t.assignments.openOrders {
		if now.Sub(a.lastOrdered) < resendInterval {
			continue
		}
		order := Order{
			TaskID:      a.TaskID,
			Attempt:     a.Attempt,
			Incarnation: a.Incarnation,
			CPUs:        a.CPUs,
			GPUs:        a.GPUs,
			MemoryGB:    a.Memory,
		}
		switch {
		case a.stopping || t.Job(a.Job) == nil:
			order.Op, order.GraceSeconds = protocol.Stop, a.graceSeconds
			if a.stopOrdered.IsZero() {
				a.stopOrdered = now
			}
		case a.state != "":
			delete(t.assignments.openOrders, a)
			continue
		case a.placedSeq <= acked && TermOf(a.Attempt) == t.term && ready(a.Machine, a.Incarnation):
			order.Op = protocol.Start
			a.startsInFlight++
		default:
			continue
		}
		a.lastOrdered = now
		due[a.Machine] = append(due[a.Machine], order)
	}
	for _, orders := range due {
		slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Attempt, b.Attempt) })
	}
	return due
}

// RetractUnsent retracts orders that were certainly not transmitted, for example because there is no connection to the
// machine's home. An attempt whose start was never transmitted is on no machine, so that its task may be placed again.
func (t *Team) RetractUnsent(orders []Order) {
	for _, order := range orders {
		a := t.assignments.find(order.Ref())
		if a == nil || order.Op != protocol.Start {
			continue
		}
		a.startsInFlight--
		if a.startsInFlight == 0 && a.state == "" {
			t.release(a, "never sent")
		}
	}
}

// UnconfirmedStops counts the attempts of this term whose stop was first sent longer ago than after and that no
// heartbeat has listed yet. Only a later term can prove them to be off their machines.
func (t *Team) UnconfirmedStops(now time.Time, after time.Duration) int {
	count := 0
	for a := range t.assignments.openOrders {
		overdue := !a.stopOrdered.IsZero() && now.Sub(a.stopOrdered) > after
		if overdue && a.state == "" && TermOf(a.Attempt) == t.term {
			count++
		}
	}
	return count
}
