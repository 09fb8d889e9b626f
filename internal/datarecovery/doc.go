// Package datarecovery decides what the controllers do when the state service no longer has
// what it acknowledged:
//
//   - Detection judges whether it still has: signs and proofs of a loss, comparisons of acknowledged keys, and,
//     by Agreement, what the controllers together hold of it.
//   - Evidence makes the membership record of the next epoch; an epoch is the time between two losses.
//   - Gathering tells whose memories are awaited before anything starts in that epoch.
//   - WriteBack picks what returns to the state service, and Census whether every machine that may run something
//     from before the loss is known.
//   - Ends is the memory of how every job ended.
//
// It never talks to the state service or to a peer, places no task, and decides nothing while no loss is suspected but which
// keys to compare. It does no I/O, takes no lock and reads no clock: the controller guards each type by its lock, and
// passes the time.
package datarecovery

// Keys of the state service that data recovery adds. All controllers follow them.
const (
	EpochKey    = "w/g/" // an epoch's own key, by the drawn name of its store
	EndsKey     = "w/e/" // pages of ends that were written back
	FinishedKey = "w/d/" // finished tasks of jobs, put there by a restore for the owners to take up
)
