// Package provisioning tracks the machines that the fleet's owner, a controller, acquires from the cloud and releases
// to it. Package autoscaler decides which machines are wanted. This package tracks which machines exist and which
// requests are in progress, and determines when a decision may be carried out. Callers pass in events and the time and
// carry out the returned Actions: the package does no I/O and reads no clock. Its types are not safe for concurrent
// use.
package provisioning

import (
	"slices"
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/protocol"
)

// minListInterval is the minimum interval between two reads of the cloud's list of machines.
const minListInterval = 2 * time.Second

// Options describe one period of ownership of the fleet.
type Options struct {
	SinceTerm  uint64        // term in which the controller became the fleet's owner
	Prefix     string        // prefix of the names of scale-out requests; must not be used by any other owner
	ListLag    time.Duration // maximum age of the cloud's list
	Autoscaler autoscaler.Options
}

// Provisioner tracks the cloud's machines during one period of ownership of the fleet.
type Provisioner struct {
	options           Options
	autoscaler        *autoscaler.Autoscaler
	startedAt         time.Time
	listed            map[string]protocol.Host            // the cloud's list as last read
	firstSeen         map[string]time.Time                // when each machine was acquired or, if unknown, first seen
	acquired          map[string]protocol.ScaleOutRequest // by machine, the request that acquired it
	scalingIn         map[string]bool                     // machines that are being released
	listReadAt        time.Time                           // when the list was last read; zero before the first time
	draining          map[string]bool                     // machines that must get no tasks
	slowBootLocations []string                            // locations where all booting machines are late
	reading           bool                                // a read of the list is in progress
}

// New returns a Provisioner for an owner whose ownership begins now.
func New(options Options, now time.Time) *Provisioner {
	return &Provisioner{
		options:    options,
		autoscaler: autoscaler.New(options.Prefix, options.Autoscaler),
		startedAt:  now,
		listed:     map[string]protocol.Host{},
		firstSeen:  map[string]time.Time{},
		acquired:   map[string]protocol.ScaleOutRequest{},
		scalingIn:  map[string]bool{},
	}
}

// SinceTerm returns the term in which the controller became the fleet's owner.
func (p *Provisioner) SinceTerm() uint64 { return p.options.SinceTerm }

// Ready reports whether the cloud's list has been read. No decisions are made before.
func (p *Provisioner) Ready() bool { return !p.listReadAt.IsZero() }

// Hosts returns the cloud's list as last read, by machine. The caller must not modify it.
func (p *Provisioner) Hosts() map[string]protocol.Host { return p.listed }

// BeginListing reports whether the cloud's list should be read now, which is about twice per ListLag, and records that
// the read has begun. The caller must then call ListingRead or ListingFailed.
func (p *Provisioner) BeginListing(now time.Time) bool {
	interval := max(minListInterval, p.options.ListLag/2)
	if p.reading || now.Sub(p.listReadAt) < interval {
		return false
	}
	p.reading = true
	return true
}

// ListingRead applies the cloud's list. Machines that are known to be gone are left out, since an outdated list may
// still contain them.
func (p *Provisioner) ListingRead(hosts []protocol.Host, gone func(machine string) bool, now time.Time) {
	p.reading = false
	p.listReadAt = now
	p.listed = map[string]protocol.Host{}
	for _, host := range hosts {
		if !gone(host.UID) {
			p.listed[host.UID] = host
		}
	}
}

// ListingFailed records that the cloud's list could not be read.
func (p *Provisioner) ListingFailed() { p.reading = false }

// DropObsolete reports whether a scale-out request that has not been sent yet is pointless, because its pool has
// refused another one in the meantime. Such a request is recorded as answered with no machine.
func (p *Provisioner) DropObsolete(request protocol.ScaleOutRequest, now time.Time) bool {
	if !p.autoscaler.Obsolete(request, now) {
		return false
	}
	p.autoscaler.RecordScaleOut(request, 0, now, false)
	return true
}

// ScaleOutAnswered records the machines that a scale-out request acquired. certain is true if the cloud has no more
// capacity, and false if the request may merely have failed.
func (p *Provisioner) ScaleOutAnswered(request protocol.ScaleOutRequest, machines []string, certain bool, now time.Time) {
	for _, machine := range machines {
		p.acquired[machine] = request
		p.firstSeen[machine] = now
	}
	p.autoscaler.RecordScaleOut(request, len(machines), now, certain)
}

// ScaleInConfirmed records that the cloud has confirmed the release of machines.
func (p *Provisioner) ScaleInConfirmed(machines []string) {
	for _, machine := range machines {
		delete(p.scalingIn, machine)
		delete(p.acquired, machine)
		delete(p.listed, machine)
	}
}

// ScaleInFailed records that a request to release machines failed. It may be retried.
func (p *Provisioner) ScaleInFailed(machines []string) {
	for _, machine := range machines {
		delete(p.scalingIn, machine)
	}
}

// Continue adopts the draining machines and slow boot locations from an earlier ownership of the same process.
func (p *Provisioner) Continue(earlier *Provisioner) {
	p.draining, p.slowBootLocations = earlier.draining, earlier.slowBootLocations
}

// StartDraining sets the machines that must get no tasks from now on. A machine is released by the next decision at the
// earliest, so that no start is still in transit to it.
func (p *Provisioner) StartDraining(machines map[string]bool) { p.draining = machines }

// Draining returns the machines that must get no tasks. The caller must not modify the map.
func (p *Provisioner) Draining() map[string]bool { return p.draining }

// UpdateSlowBootLocations sets the locations where all booting machines are late, and reports whether they changed.
func (p *Provisioner) UpdateSlowBootLocations(locations []string) (changed bool) {
	changed = !slices.Equal(locations, p.slowBootLocations)
	p.slowBootLocations = locations
	return changed
}

// SlowBootLocations returns the locations where all booting machines are late, as "type in zone".
func (p *Provisioner) SlowBootLocations() []string { return p.slowBootLocations }
