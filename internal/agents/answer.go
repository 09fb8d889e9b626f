package agents

import "topazhollow/internal/protocol"

// Outcome is what an agent's heartbeat got.
type Outcome int

// The outcomes of a heartbeat.
const (
	NotEntitled Outcome = iota // this controller may neither renew the lease nor name another: the agent tries again
	Redirected                 // the agent is to report to another controller
	KeptAlive                  // the lease is renewed, and no more is commanded than to stop what has ended for good
	Renewed                    // the lease is renewed by the agent's home, with the commands that waited
)

// Answer is the decision about one heartbeat.
type Answer struct {
	Outcome    Outcome
	RedirectTo string             // if Redirected
	Commands   []protocol.Command // if KeptAlive or Renewed; not nil
}
