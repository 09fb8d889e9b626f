package provisioning

import (
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/protocol"
)

// maxScaleIn is the maximum number of machines that one request releases.
const maxScaleIn = 100

// Inputs are the inputs of a decision.
type Inputs struct {
	Types    []protocol.MachineType
	Machines []autoscaler.Machine
	Demands  []autoscaler.Demand // most urgent first
	Arrivals autoscaler.Arrivals
	// SettledAt is when the set of controllers last changed. Silence of machines is counted from then at the earliest.
	SettledAt time.Time
	// TakenOver is set if there was an earlier owner. The cloud's list may not contain the machines it acquired last.
	TakenOver bool
}

// Actions are the actions to carry out now.
type Actions struct {
	ScaleOut          []protocol.ScaleOutRequest // requests to send, most urgent first
	ScaleIn           []string                   // machines to release; ScaleInConfirmed or ScaleInFailed follows
	Drain             map[string]bool            // machines that must get no tasks from now on
	SlowBootLocations []string                   // locations where all booting machines are late
	Retired           int                        // number of machines that will be released once idle
	Outlook           autoscaler.Outlook         // what is expected of the waiting tasks
}

// Decide returns the machines to acquire, release and drain. The caller must then call StartDraining. After a takeover
// no machines are acquired for ListLag, until the list must contain those that the earlier owner acquired.
func (p *Provisioner) Decide(in *Inputs, now time.Time) Actions {
	settled := in.SettledAt
	if p.startedAt.After(settled) {
		settled = p.startedAt
	}
	plan := p.autoscaler.Decide(in.Types, in.Machines, in.Demands, in.Arrivals, now, settled)
	if in.TakenOver && now.Sub(p.startedAt) < p.options.ListLag {
		plan.ScaleOut = nil
		p.autoscaler.ForgetUnsent()
	}
	return Actions{
		ScaleOut:          plan.ScaleOut,
		ScaleIn:           p.beginScaleIn(plan.ScaleIn),
		Drain:             drainSet(plan.ScaleIn, plan.Retire),
		SlowBootLocations: plan.SlowBootLocations,
		Retired:           len(plan.Retire),
		Outlook:           plan.Outlook,
	}
}

// beginScaleIn selects the machines that are released now: those that have been draining since the last decision, so
// that no start is still in transit to them.
func (p *Provisioner) beginScaleIn(wanted []string) (now []string) {
	for _, machine := range wanted {
		if p.draining[machine] && len(now) < maxScaleIn {
			now = append(now, machine)
			p.scalingIn[machine] = true
		}
	}
	return now
}

// drainSet returns the set of machines that are released now or once they are idle.
func drainSet(released, retired []string) map[string]bool {
	set := map[string]bool{}
	for _, machine := range released {
		set[machine] = true
	}
	for _, machine := range retired {
		set[machine] = true
	}
	return set
}
