package jobstate

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Which starts and stops an account has sent, and which are to be sent now.

// resendInterval is how long an order may go unconfirmed before it is sent again.
const resendInterval = 1500 * time.Millisecond

// TakeDueOrders gives the starts and stops to send now, by machine, and counts them as sent. acked is the sequence
// number that every replica in sync acknowledged; ready reports whether a machine's home and registration allow a start
// under the term. Only attempts made in this term are started: older ones wait until they are listed or proven off.
func (t *Team) TakeDueOrders(
	acked uint64, now time.Time, ready func(machine string, incarnation uint64) bool,
) map[string][]Order {
	due := map[string][]Order{}
	t.stopIncompleteGangs()
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

// RetractUnsent takes back orders that surely never left, as when there is no connection to the machine's home. An
// attempt whose start never left is on no machine, and its task is free to be placed elsewhere.
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

// UnconfirmedStops counts attempts of this term whose stop was first sent longer ago than after and that no heartbeat
// has listed yet: only a later term can prove them off.
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
