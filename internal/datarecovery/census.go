package datarecovery

import (
	"iter"
	"maps"
	"time"
)

// Census is the set of machines that may run tasks from before a loss of data: those that were on the roster before it,
// as far as remembered, and those that the cloud lists. The roster is complete once it has all of them. Census does no
// I/O and reads no clock; the caller guards it by a lock.
type Census struct {
	enteredAt  time.Time       // when this controller entered the epoch
	remembered map[string]bool // on the roster before the loss
	listed     map[string]bool // named by the cloud's list after the loss; nil until the list was read
}

// NewCensus returns a census without machines.
func NewCensus() *Census { return &Census{remembered: map[string]bool{}} }

// Remember adds a machine that was on the roster before the loss.
func (c *Census) Remember(machine string) { c.remembered[machine] = true }

// Begin starts the census of an epoch that is entered now; the remembered machines are kept.
func (c *Census) Begin(now time.Time) { c.enteredAt, c.listed = now, nil }

// EnteredAt returns when this controller entered the epoch.
func (c *Census) EnteredAt() time.Time { return c.enteredAt }

// Due reports whether to read the cloud's list now. The list may be up to listLag old. It is read only after twice that
// time in the epoch, since it must name every machine that was rented before the epoch began.
func (c *Census) Due(now time.Time, listLag time.Duration) bool {
	return c.listed == nil && now.Sub(c.enteredAt) > 2*listLag
}

// ListRead reports whether the cloud's list was read in this epoch.
func (c *Census) ListRead() bool { return c.listed != nil }

// RecordListed records the machines that the cloud's list names.
func (c *Census) RecordListed(machines []string) {
	c.listed = map[string]bool{}
	for _, name := range machines {
		c.listed[name] = true
	}
}

// Remembered returns the machines that were on the roster before the loss.
func (c *Census) Remembered() iter.Seq[string] { return maps.Keys(c.remembered) }

// Listed returns the machines that the cloud's list named.
func (c *Census) Listed() iter.Seq[string] { return maps.Keys(c.listed) }

// Counts returns how many machines the cloud's list named and how many are remembered.
func (c *Census) Counts() (listed, remembered int) { return len(c.listed), len(c.remembered) }

// Unaccounted returns a machine of the census for which accounted is false, that is, one known neither as registered
// nor as gone.
func (c *Census) Unaccounted(accounted func(machine string) bool) (machine string, found bool) {
	for _, names := range []map[string]bool{c.listed, c.remembered} {
		for name := range names {
			if !accounted(name) {
				return name, true
			}
		}
	}
	return "", false
}
