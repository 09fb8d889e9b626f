package agents

import "topazhollow/internal/protocol"

// Outcome is the kind of answer to an agent's heartbeat.
type Outcome int

// The outcomes of a heartbeat.
const (
	NotEntitled Outcome = iota // this controller can neither renew the lease nor redirect the agent, which must retry
	Redirected                 // the agent must send its heartbeats to another controller
	// KeptAlive means that the lease is renewed, but without the home's queued commands. The only commands are stops of
	// tasks whose jobs have ended.
	KeptAlive
	Renewed // the lease is renewed by the agent's home; the answer contains the queued commands
)

// Answer is the answer to one heartbeat.
type Answer struct {
	Outcome    Outcome
	RedirectTo string             // if Redirected
	Commands   []protocol.Command // if KeptAlive or Renewed; never nil then
}
