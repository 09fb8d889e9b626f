package datarecovery

import (
	"iter"
	"maps"
	"time"
)

// Census is the set of machines that may run something from before a loss of data: those that were on the roster
// as far as remembered, and those that the cloud lists. The roster is complete once it names them all. It owns
// its state, does no I/O and reads no clock; its owner guards it by a lock.
type Census struct {
	enteredAt  time.Time       // when the epoch was entered here
	remembered map[string]bool // on the roster before the loss
	listed     map[string]bool // by the cloud, after it; nil until its list was read
}

// NewCensus remembers no machine.
func NewCensus() *Census { return &Census{remembered: map[string]bool{}} }

// Remember adds a machine that was on the roster before the loss.
func (c *Census) Remember(machine string) { c.remembered[machine] = true }

// Begin starts over, in an epoch that is entered now.
func (c *Census) Begin(now time.Time) { c.enteredAt, c.listed = now, nil }

// EnteredAt is when the epoch was entered here.
func (c *Census) EnteredAt() time.Time { return c.enteredAt }

// Due says whether the cloud's list is to be read: listLag is how old it may be, and it is to name every machine that
// was rented before the epoch began.
func (c *Census) Due(now time.Time, listLag time.Duration) bool {
	return c.listed == nil && now.Sub(c.enteredAt) > 2*listLag
}

// Taken says whether the cloud's list was read in this epoch.
func (c *Census) Taken() bool { return c.listed != nil }

// Take books the machines of the cloud's list.
func (c *Census) Take(machines []string) {
	c.listed = map[string]bool{}
	for _, name := range machines {
		c.listed[name] = true
	}
}

// Remembered are the machines that were on the roster before the loss.
func (c *Census) Remembered() iter.Seq[string] { return maps.Keys(c.remembered) }

// Listed are the machines that the cloud's list named.
func (c *Census) Listed() iter.Seq[string] { return maps.Keys(c.listed) }

// Counts tells how many machines the cloud's list named and how many were remembered.
func (c *Census) Counts() (listed, remembered int) { return len(c.listed), len(c.remembered) }

// Unaccounted is a machine that may run something and is not accounted for, as registered or gone.
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
