// Package provisioning keeps the account of the machines that the fleet's owner acquires from
// the cloud and releases to it. Package autoscaler decides which machines are wanted; this package
// knows which there are, which requests are under way, and when a decision may be carried
// out. Events and the time go in, actions come out. It does no I/O, reads no clock, and its
// types are not safe for concurrent use.
package provisioning

import (
	"slices"
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/protocol"
)

// minListInterval is the least time between two reads of the cloud's list.
const minListInterval = 2 * time.Second

// Options describe one ownership of the fleet.
type Options struct {
	SinceTerm  uint64        // term in which the controller became the fleet's owner
	Prefix     string        // of the names of scale-out requests; no other owner uses it
	ListLag    time.Duration // how old the cloud's list may be
	Autoscaler autoscaler.Options
}

// Provisioner is what the fleet's owner knows of the cloud's machines, from when it became the
// owner.
type Provisioner struct {
	options    Options
	fleet      *autoscaler.Autoscaler
	startedAt  time.Time
	listed     map[string]protocol.Host            // the cloud's list as last read
	firstSeen  map[string]time.Time                // when a machine was acquired, or became known
	acquired   map[string]protocol.ScaleOutRequest // by machine, the request that it was acquired by
	scalingIn  map[string]bool                     // machines whose release is under way
	listReadAt time.Time                           // when the list was last read; zero before the first time
	draining   map[string]bool                     // machines that no task should go to
	slowPlaces []string                            // places where no machine comes up in time
	reading    bool                                // a read of the list is under way
}

// New begins the account of an owner that starts now.
func New(options Options, now time.Time) *Provisioner {
	return &Provisioner{
		options:   options,
		fleet:     autoscaler.New(options.Prefix, options.Autoscaler),
		startedAt: now,
		listed:    map[string]protocol.Host{},
		firstSeen: map[string]time.Time{},
		acquired:  map[string]protocol.ScaleOutRequest{},
		scalingIn: map[string]bool{},
	}
}

// SinceTerm is the term in which the controller became the fleet's owner.
func (a *Provisioner) SinceTerm() uint64 { return a.options.SinceTerm }

// Ready says whether the cloud's list was read. Nothing is decided before.
func (a *Provisioner) Ready() bool { return !a.listReadAt.IsZero() }

// Hosts is the cloud's list as last read, by machine. The caller does not change it.
func (a *Provisioner) Hosts() map[string]protocol.Host { return a.listed }

// BeginListing says whether the cloud's list is to be read now, about twice in its lag, and
// records that the read has begun. ListingRead or ListingFailed ends it.
func (a *Provisioner) BeginListing(now time.Time) bool {
	interval := max(minListInterval, a.options.ListLag/2)
	if a.reading || now.Sub(a.listReadAt) < interval {
		return false
	}
	a.reading = true
	return true
}

// ListingRead takes in the cloud's list, without machines that are known to be gone: an old
// list may still name them.
func (a *Provisioner) ListingRead(hosts []protocol.Host, gone func(machine string) bool, now time.Time) {
	a.reading = false
	a.listReadAt = now
	a.listed = map[string]protocol.Host{}
	for _, host := range hosts {
		if !gone(host.UID) {
			a.listed[host.UID] = host
		}
	}
}

// ListingFailed records that the cloud's list could not be read.
func (a *Provisioner) ListingFailed() { a.reading = false }

// DropObsolete says whether a scale-out request that waits for its turn is pointless, as its place
// refused another one meanwhile. Such a request is booked as answered with no machine.
func (a *Provisioner) DropObsolete(request protocol.ScaleOutRequest, now time.Time) bool {
	if !a.fleet.Obsolete(request, now) {
		return false
	}
	a.fleet.RecordScaleOut(request, 0, now, false)
	return true
}

// ScaleOutAnswered records the machines that a scale-out request brought. Certain says that the cloud
// gave no more because it has no more, not that the request failed.
func (a *Provisioner) ScaleOutAnswered(request protocol.ScaleOutRequest, machines []string, certain bool, now time.Time) {
	for _, machine := range machines {
		a.acquired[machine] = request
		a.firstSeen[machine] = now
	}
	a.fleet.RecordScaleOut(request, len(machines), now, certain)
}

// ScaleInConfirmed records that the cloud took machines back. They are gone.
func (a *Provisioner) ScaleInConfirmed(machines []string) {
	for _, machine := range machines {
		delete(a.scalingIn, machine)
		delete(a.acquired, machine)
		delete(a.listed, machine)
	}
}

// ScaleInFailed records that a request to release machines failed. It may be sent again.
func (a *Provisioner) ScaleInFailed(machines []string) {
	for _, machine := range machines {
		delete(a.scalingIn, machine)
	}
}

// Continue carries on what the account of an earlier ownership of the same process has decided on draining.
func (a *Provisioner) Continue(earlier *Provisioner) {
	a.draining, a.slowPlaces = earlier.draining, earlier.slowPlaces
}

// StartDraining sets the machines that no task should go to from now on. A machine is released by the next decision at
// the earliest, so that no start is on its way to it.
func (a *Provisioner) StartDraining(machines map[string]bool) { a.draining = machines }

// Draining is the machines that no task should go to. The caller does not change it.
func (a *Provisioner) Draining() map[string]bool { return a.draining }

// UpdateSlowBootLocations sets the places where no machine comes up in time, and says whether they changed.
func (a *Provisioner) UpdateSlowBootLocations(places []string) (changed bool) {
	changed = !slices.Equal(places, a.slowPlaces)
	a.slowPlaces = places
	return changed
}

// SlowBootLocations are the places where no machine comes up in time, as "type in zone".
func (a *Provisioner) SlowBootLocations() []string { return a.slowPlaces }
