package provisioning

import (
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/protocol"
)

// maxReturns is how many machines one request returns at most.
const maxReturns = 100

// Inputs are what a decision rests on.
type Inputs struct {
	Types    []protocol.MachineType
	Machines []autoscaler.Machine
	Demands  []autoscaler.Demand // most urgent first
	Inflow   autoscaler.Inflow
	// Settled is when the members last changed: silence of machines counts only from then.
	Settled time.Time
	// TakenOver says that there was an owner before, whose last machines the cloud's list may
	// not name yet.
	TakenOver bool
	// Draining are the machines that get no tasks as of the last decision.
	Draining map[string]bool
}

// Actions are what is to be done now.
type Actions struct {
	Rent    []protocol.ScaleOutRequest // requests to send, most urgent first
	Return  []string                   // machines to return; ReturnConfirmed or ReturnFailed follows
	Drain   map[string]bool            // machines that get no tasks from now on
	Late    []string                   // places where no machine comes up in time
	Retired int                        // how many machines go back once they are idle
}

// Decide says what to rent, to return and to drain.
func (a *Account) Decide(in *Inputs, now time.Time) Actions {
	settled := in.Settled
	if a.began.After(settled) {
		settled = a.began
	}
	plan := a.fleet.Decide(in.Types, in.Machines, in.Demands, in.Inflow, now, settled)
	if in.TakenOver && now.Sub(a.began) < a.options.ListLag {
		plan.Rent = nil
		a.fleet.Forget()
	}
	return Actions{
		Rent:    plan.Rent,
		Return:  a.beginReturn(plan.Return, in.Draining),
		Drain:   drained(plan.Return, plan.Retire),
		Late:    plan.Late,
		Retired: len(plan.Retire),
	}
}

// beginReturn picks the machines that are returned now: those that already got no tasks as
// of the last decision, so that no start is on its way to them.
func (a *Account) beginReturn(wanted []string, draining map[string]bool) (now []string) {
	for _, machine := range wanted {
		if draining[machine] && len(now) < maxReturns {
			now = append(now, machine)
			a.returning[machine] = true
		}
	}
	return now
}

// drained is the set of machines that are to be returned now or once they are idle.
func drained(returned, retired []string) map[string]bool {
	set := map[string]bool{}
	for _, machine := range returned {
		set[machine] = true
	}
	for _, machine := range retired {
		set[machine] = true
	}
	return set
}
