// Package leadership decides who may act for what, and under which term.
//
// The membership record is one value of the state service. It names the members with their incarnations and, for each
// shard, its owner and the replicas in sync, under a term that grows with each change of owner. Agents refuse commands
// of lower terms, so that a former owner does no harm. The record changes by compare-and-swap alone: State.NextChange
// says what a controller should try to write, State.CompareRecord what a record that was read is beside the one known,
// and State.Adopt what a new one changes.
//
// A controller may act (State.Entitled) while its own lease lives; or, in an outage of the state service, while every
// other controller has promised to raise no term.
//
// The package reads no clock, has no lock and does no I/O: the time comes in with each call, and the controller's lock
// guards the State.
package leadership
