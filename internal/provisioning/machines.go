package provisioning

import (
	"iter"
	"maps"
	"slices"
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/settings"
)

// Observation is what the controllers know of a machine beside what the cloud says of it.
type Observation struct {
	// Machine holds all that heartbeats and the state service say. Type, zone and kind count
	// only if Reported is set.
	Machine  autoscaler.Machine
	Reported bool // the machine's home has a status of it
}

// Candidates lists the machines that may exist, in the order of their names: those of the
// cloud's list, those acquired lately and those that the controllers know. Machines whose
// release is under way are left out.
func (a *Provisioner) Candidates(known iter.Seq[string]) []string {
	names := map[string]bool{}
	for name := range a.listed {
		names[name] = true
	}
	for name := range a.acquired {
		names[name] = true
	}
	for name := range known {
		names[name] = true
	}
	for name := range a.scalingIn {
		delete(names, name)
	}
	return slices.Sorted(maps.Keys(names))
}

// Describe joins what the controllers know of machines with what the cloud says.
func (a *Provisioner) Describe(observations []Observation, now time.Time) []autoscaler.Machine {
	newest := a.newestListed()
	machines := make([]autoscaler.Machine, 0, len(observations))
	for i := range observations {
		machines = append(machines, a.describe(&observations[i], newest, now))
	}
	return machines
}

// describe joins what is known of one machine.
func (a *Provisioner) describe(observed *Observation, newestListed string, now time.Time) autoscaler.Machine {
	machine := observed.Machine
	machine.AcquiredAt = a.since(machine.Name, now)
	host, listed := a.listed[machine.Name]
	machine.ListedState = host.State
	machine.SkippedInList = !listed && machine.Name < newestListed
	if observed.Reported {
		if machine.LastHeartbeat.IsZero() {
			machine.LastHeartbeat = a.startedAt
		}
		return machine
	}
	if listed {
		machine.Type, machine.Zone, machine.Spot = host.Type, host.Zone, host.Spot
	} else if request, rented := a.acquired[machine.Name]; rented {
		machine.Type, machine.Zone, machine.Spot = request.Type, request.Zone, request.Spot
	}
	return machine
}

// since is when a machine was acquired, as far as known, or first seen.
func (a *Provisioner) since(name string, now time.Time) time.Time {
	if since := a.firstSeen[name]; !since.IsZero() {
		return since
	}
	since := now
	if host, listed := a.listed[name]; listed {
		since = now.Add(-settings.Seconds(host.AgeSeconds))
	}
	a.firstSeen[name] = since
	return since
}

// newestListed is the machine acquired last of those in the cloud's list: names are in the
// order of acquisition.
func (a *Provisioner) newestListed() string {
	newest := ""
	for name := range a.listed {
		newest = max(newest, name)
	}
	return newest
}
