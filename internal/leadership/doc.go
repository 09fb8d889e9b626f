// Package leadership decides which controller owns each shard, under which term, and whether a controller may act.
//
// The membership record is a single value in the state service. It lists the members with their incarnations and, for
// each shard, the owner and the in-sync replicas, under a term that increases with every change of ownership. Agents
// reject commands with a lower term, which fences off former owners. The record is changed only by compare-and-swap:
// State.NextChange returns the change that a controller should attempt, State.CompareRecord classifies a record that
// was read against the known one, and State.Adopt applies a new record and reports what changed.
//
// A controller may act (State.Entitled) while its own lease is valid or, during an outage of the state service, while
// every other controller has promised not to raise the term.
//
// The package does no I/O, reads no clock and has no lock: callers pass in the time, and the controller's lock guards
// the State.
package leadership
