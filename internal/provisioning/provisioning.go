// Package provisioning keeps the account of the machines that the fleet's owner rents from
// the cloud and returns to it. Package fleet decides which machines are wanted; this package
// knows which there are, which requests are under way, and when a decision may be carried
// out. Events and the time go in, actions come out. It does no I/O, reads no clock, and its
// types are not safe for concurrent use.
package provisioning

import (
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/protocol"
)

// minListInterval is the least time between two reads of the cloud's list.
const minListInterval = 2 * time.Second

// Options describe one ownership of the fleet.
type Options struct {
	Since   uint64        // term in which the controller became the fleet's owner
	Prefix  string        // of the names of rental requests; no other owner uses it
	ListLag time.Duration // how old the cloud's list may be
	Fleet   autoscaler.Options
}

// Account is what the fleet's owner knows of the cloud's machines, from when it became the
// owner.
type Account struct {
	options   Options
	fleet     *autoscaler.Fleet
	began     time.Time
	listed    map[string]protocol.Host            // the cloud's list as last read
	firstSeen map[string]time.Time                // when a machine was rented, or became known
	rented    map[string]protocol.ScaleOutRequest // by machine, the request that it was rented by
	returning map[string]bool                     // machines whose return is under way
	listRead  time.Time                           // when the list was last read; zero before the first time
	reading   bool                                // a read of the list is under way
}

// New begins the account of an owner that starts now.
func New(options Options, now time.Time) *Account {
	return &Account{
		options:   options,
		fleet:     autoscaler.New(options.Prefix, options.Fleet),
		began:     now,
		listed:    map[string]protocol.Host{},
		firstSeen: map[string]time.Time{},
		rented:    map[string]protocol.ScaleOutRequest{},
		returning: map[string]bool{},
	}
}

// Since is the term in which the controller became the fleet's owner.
func (a *Account) Since() uint64 { return a.options.Since }

// Ready says whether the cloud's list was read. Nothing is decided before.
func (a *Account) Ready() bool { return !a.listRead.IsZero() }

// Hosts is the cloud's list as last read, by machine. The caller does not change it.
func (a *Account) Hosts() map[string]protocol.Host { return a.listed }

// BeginListing says whether the cloud's list is to be read now, about twice in its lag, and
// books that the read has begun. ListingRead or ListingFailed ends it.
func (a *Account) BeginListing(now time.Time) bool {
	interval := max(minListInterval, a.options.ListLag/2)
	if a.reading || now.Sub(a.listRead) < interval {
		return false
	}
	a.reading = true
	return true
}

// ListingRead takes in the cloud's list, without machines that are known to be gone: an old
// list may still name them.
func (a *Account) ListingRead(hosts []protocol.Host, gone func(machine string) bool, now time.Time) {
	a.reading = false
	a.listRead = now
	a.listed = map[string]protocol.Host{}
	for _, host := range hosts {
		if !gone(host.UID) {
			a.listed[host.UID] = host
		}
	}
}

// ListingFailed books that the cloud's list could not be read.
func (a *Account) ListingFailed() { a.reading = false }

// Dropped says whether a rental request that waits for its turn is pointless, as its place
// refused another one meanwhile. Such a request is booked as answered with no machine.
func (a *Account) Dropped(request protocol.ScaleOutRequest, now time.Time) bool {
	if !a.fleet.Moot(request, now) {
		return false
	}
	a.fleet.Answered(request, 0, now, false)
	return true
}

// RentAnswered books the machines that a rental request brought. Certain says that the cloud
// gave no more because it has no more, not that the request failed.
func (a *Account) RentAnswered(request protocol.ScaleOutRequest, machines []string, certain bool, now time.Time) {
	for _, machine := range machines {
		a.rented[machine] = request
		a.firstSeen[machine] = now
	}
	a.fleet.Answered(request, len(machines), now, certain)
}

// ReturnConfirmed books that the cloud took machines back. They are gone.
func (a *Account) ReturnConfirmed(machines []string) {
	for _, machine := range machines {
		delete(a.returning, machine)
		delete(a.rented, machine)
		delete(a.listed, machine)
	}
}

// ReturnFailed books that a request to return machines failed. It may be sent again.
func (a *Account) ReturnFailed(machines []string) {
	for _, machine := range machines {
		delete(a.returning, machine)
	}
}
