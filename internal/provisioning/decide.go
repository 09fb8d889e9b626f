package provisioning

import (
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/protocol"
)

// maxScaleIn is how many machines one request releases at most.
const maxScaleIn = 100

// Inputs are what a decision rests on.
type Inputs struct {
	Types    []protocol.MachineType
	Machines []autoscaler.Machine
	Demands  []autoscaler.Demand // most urgent first
	Arrivals autoscaler.Arrivals
	// SettledAt is when the members last changed: silence of machines counts only from then.
	SettledAt time.Time
	// TakenOver says that there was an owner before, whose last machines the cloud's list may
	// not name yet.
	TakenOver bool
}

// Actions are what is to be done now.
type Actions struct {
	ScaleOut          []protocol.ScaleOutRequest // requests to send, most urgent first
	ScaleIn           []string                   // machines to release; ScaleInConfirmed or ScaleInFailed follows
	Drain             map[string]bool            // machines that get no tasks from now on
	SlowBootLocations []string                   // places where no machine comes up in time
	Retired           int                        // how many machines go back once they are idle
}

// Decide says what to acquire, to release and to drain. StartDraining is to follow.
func (a *Provisioner) Decide(in *Inputs, now time.Time) Actions {
	settled := in.SettledAt
	if a.startedAt.After(settled) {
		settled = a.startedAt
	}
	plan := a.fleet.Decide(in.Types, in.Machines, in.Demands, in.Arrivals, now, settled)
	if in.TakenOver && now.Sub(a.startedAt) < a.options.ListLag {
		plan.ScaleOut = nil
		a.fleet.ForgetUnsent()
	}
	return Actions{
		ScaleOut:          plan.ScaleOut,
		ScaleIn:           a.beginScaleIn(plan.ScaleIn),
		Drain:             drained(plan.ScaleIn, plan.Retire),
		SlowBootLocations: plan.SlowBootLocations,
		Retired:           len(plan.Retire),
	}
}

// beginScaleIn picks the machines that are released now: those that already got no tasks as
// of the last decision, so that no start is on its way to them.
func (a *Provisioner) beginScaleIn(wanted []string) (now []string) {
	for _, machine := range wanted {
		if a.draining[machine] && len(now) < maxScaleIn {
			now = append(now, machine)
			a.scalingIn[machine] = true
		}
	}
	return now
}

// drained is the set of machines that are to be released now or once they are idle.
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
