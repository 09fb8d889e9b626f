package provisioning

import (
	"iter"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/settings"
)

// Observation is what the controllers know about a machine, as opposed to the cloud.
type Observation struct {
	// Machine holds the data from heartbeats and the state service. Type, Zone and Spot are valid only if Reported is
	// set.
	Machine  autoscaler.Machine
	Reported bool // the machine's home has a status of the machine
}

// Candidates returns the machines that may exist, sorted by name: those in the cloud's list, those acquired by this
// owner and those known to the controllers. Machines that are being released are left out.
func (p *Provisioner) Candidates(known iter.Seq[string]) []string {
	names := map[string]bool{}
	for name := range p.listed {
		names[name] = true
	}
	for name := range p.acquired {
		names[name] = true
	}
	for name := range known {
		names[name] = true
	}
	for name := range p.scalingIn {
		delete(names, name)
	}
	return slices.Sorted(maps.Keys(names))
}

// Describe combines the observations of machines with the data from the cloud.
func (p *Provisioner) Describe(observations []Observation, now time.Time) []autoscaler.Machine {
	newest := p.newestListed()
	machines := make([]autoscaler.Machine, 0, len(observations))
	for i := range observations {
		machines = append(machines, p.describe(&observations[i], newest, now))
	}
	return machines
}

// describe combines the data of one machine.
func (p *Provisioner) describe(observed *Observation, newestListed string, now time.Time) autoscaler.Machine {
	machine := observed.Machine
	machine.AcquiredAt = p.acquiredAt(machine.Name, now)
	host, listed := p.listed[machine.Name]
	machine.ListedState = host.State
	machine.SkippedInList = !listed && machine.Name < newestListed
	if observed.Reported {
		if machine.LastHeartbeat.IsZero() {
			machine.LastHeartbeat = p.startedAt
		}
		return machine
	}
	if listed {
		machine.Type, machine.Zone, machine.Spot = host.Type, host.Zone, host.Spot
	} else if request, acquired := p.acquired[machine.Name]; acquired {
		machine.Type, machine.Zone, machine.Spot = request.Type, request.Zone, request.Spot
	}
	return machine
}

// acquiredAt returns when a machine was acquired or, if unknown, first seen.
func (p *Provisioner) acquiredAt(name string, now time.Time) time.Time {
	if since := p.firstSeen[name]; !since.IsZero() {
		return since
	}
	since := now
	if host, listed := p.listed[name]; listed {
		since = now.Add(-settings.Seconds(host.AgeSeconds))
	}
	p.firstSeen[name] = since
	return since
}

// newestListed returns the most recently acquired machine in the cloud's list. Names sort by acquisition.
func (p *Provisioner) newestListed() string {
	newest := ""
	for name := range p.listed {
		newest = max(newest, name)
	}
	return newest
}
