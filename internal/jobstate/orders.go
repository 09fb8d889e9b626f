package jobstate

import (
	"cmp"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Which starts and stops an account has given, and which are to be given now.

// resend is how long an order may take before it is given again.
const resendInterval = 1500 * time.Millisecond

// TakeDueOrders gives the starts and stops to send now. acked is the sequence number that
// every backup in sync acknowledged; ready says whether a machine's home and
// registration allow a start under the term. Only attempts made in this term
// are started: older ones wait until they are listed or proven off.
func (t *Team) TakeDueOrders(acked uint64, now time.Time, ready func(machine string, session uint64) bool) map[string][]Order {
	due := map[string][]Order{}
	t.stopIncompleteGangs()
	for a := range t.todo {
		if now.Sub(a.lastOrdered) < resendInterval {
			continue
		}
		order := Order{TaskID: a.TaskID, Attempt: a.Attempt, Incarnation: a.Incarnation, CPUs: a.CPUs, GPUs: a.GPUs, MemoryGB: a.Memory}
		j := t.jobs[a.Job]
		switch {
		case j == nil || a.stopping:
			order.Op, order.GraceSeconds = protocol.Stop, a.graceSeconds
			if a.stopOrdered.IsZero() {
				a.stopOrdered = now
			}
		case a.state != "":
			delete(t.todo, a)
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

// RetractUnsent takes back orders that surely went nowhere, as when there is no connection
// to the machine's home. An attempt whose start never left is on no machine, and
// its task is free to be placed elsewhere.
func (t *Team) RetractUnsent(orders []Order) {
	for _, o := range orders {
		a := t.held[o.TaskID]
		if a == nil || a.Attempt != o.Attempt || o.Op != protocol.Start {
			continue
		}
		if a.startsInFlight--; a.startsInFlight == 0 && a.state == "" {
			t.release(a, "never sent")
		}
	}
}

// CountAttempts counts the attempts that may be on machines, and those of them that no
// report has listed yet.
func (t *Team) CountAttempts() (held, unlisted int) {
	for _, a := range t.held {
		if a.state == "" {
			unlisted++
		}
	}
	return len(t.held), unlisted
}

// UnconfirmedStops counts attempts of this term whose stop was ordered long ago and
// that are still in no list: only a later term can prove them off.
func (t *Team) UnconfirmedStops(now time.Time, after time.Duration) int {
	n := 0
	for a := range t.todo {
		if a.state == "" && !a.stopOrdered.IsZero() && now.Sub(a.stopOrdered) > after && TermOf(a.Attempt) == t.term {
			n++
		}
	}
	return n
}
