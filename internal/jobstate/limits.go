package jobstate

import (
	"slices"

	"topazhollow/internal/protocol"
)

// Limits that change while the team runs.

// SetLimits changes what the team is guaranteed and what it may hold. What it holds beyond lowered limits
// stays held; nothing more fits until it is within them again.
func (t *Team) SetLimits(cpus, maxCPUs, gpus, maxGPUs float64) {
	t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs = cpus, maxCPUs, gpus, maxGPUs
}

// over says whether more is used than allowed, with so much of it given up.
func (t *Team) exceedsLimits(cpus, gpus float64) bool {
	usedCPUs, usedGPUs := t.charged()
	return usedCPUs-cpus > t.MaxCPUs+roundingTolerance || usedGPUs-gpus > t.MaxGPUs+roundingTolerance
}

// comes says whether an attempt may yet get onto its machine: it has not been listed, or waits for its image.
func (a *attempt) mayYetStart() bool { return a.state == "" || a.state == protocol.Pulling }

// LimitsInForce says whether nothing can get onto a machine any more beyond the limits.
func (t *Team) LimitsInForce() bool {
	if !t.exceedsLimits(0, 0) {
		return true
	}
	if len(t.orphans.machines) > 0 {
		return false // whether these wait for their images is not told
	}
	for _, a := range t.held {
		if a.mayYetStart() {
			return false
		}
	}
	return true
}

// StopExcess stops attempts beyond the limits, least urgent jobs and last tasks first: those that have not got
// onto their machines, and only if running is true others too, with the grace to save. A gang is stopped as a whole.
func (t *Team) StopExcess(running bool) {
	if !t.exceedsLimits(0, 0) {
		return
	}
	cpus, gpus := t.usageOfStopping()
	for _, j := range slices.Backward(t.queue) {
		for _, a := range slices.Backward(t.attemptsOf(j)) {
			if !t.exceedsLimits(cpus, gpus) {
				return
			}
			if a.stopping || !running && !a.mayYetStart() {
				continue
			}
			if j.Spec.Kind == protocol.Gang {
				t.StopJob(j, j.Spec.CheckpointSeconds)
				cpus, gpus = t.usageOfStopping()
				break
			}
			t.Stop(a.Ref(), j.Spec.CheckpointSeconds)
			cpus, gpus = cpus+a.CPUs, gpus+a.GPUs
		}
	}
}

// stopping sums up what attempts hold that were told to stop, or are told so since their jobs are over.
func (t *Team) usageOfStopping() (cpus, gpus float64) {
	for _, a := range t.held {
		if a.stopping || t.jobs[a.Job] == nil {
			cpus, gpus = cpus+a.CPUs, gpus+a.GPUs
		}
	}
	return cpus, gpus
}
