// Package datarecovery decides how the controllers detect and recover from a loss of data in the state service, that
// is, when it no longer has what it acknowledged:
//
//   - Detection decides whether data was lost: it collects signs and proofs of a loss, plans comparisons of
//     acknowledged keys and, through Agreement, takes the peers' assessments into account.
//   - Evidence builds the membership record of the next epoch. An epoch is the time between two losses.
//   - Gathering tracks whose retained state is still awaited before anything starts in that epoch.
//   - WriteBack selects what is written back to the state service, and Census tracks whether every machine that may run
//     tasks from before the loss is known.
//   - Ends is the set of all known job ends, that is, how each job ended.
//
// The package never contacts the state service or a peer and places no task. While no loss is suspected, its only
// decision is which keys to compare. It does no I/O, takes no lock and reads no clock: the controller guards each type
// by its own lock and passes the time in.
package datarecovery

// Keys and key prefixes in the state service that data recovery adds. All controllers watch them.
const (
	EpochKey    = "w/g/" // prefix of the epoch keys; followed by the random ID of the epoch's store
	EndsKey     = "w/e/" // prefix of the pages of job ends that were written back
	FinishedKey = "w/d/" // prefix of finished tasks by job, written by a restore for the owners of the shards
)
