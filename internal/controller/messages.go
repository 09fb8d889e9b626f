package controller

import (
	"encoding/json"

	"topazhollow/internal/admission"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/teamconfig"
)

// The lines between controllers. Unknown kinds and fields are ignored.
type (
	ordersMsg struct {
		Term    uint64           `json:"term"`
		Machine string           `json:"machine"`
		Orders  []jobstate.Order `json:"orders"`
	}
	// statusMsg is told twice a second.
	statusMsg struct {
		Term     uint64                  `json:"term"`
		Entitled bool                    `json:"entitled"`
		Leased   bool                    `json:"leased,omitempty"`
		At       int64                   `json:"at"`                  // the sender's steady clock, ms
		Heard    map[string]echo         `json:"heard,omitempty"`     // the last At of each peer
		Promise  bool                    `json:"promise,omitempty"`   // to raise no term for promiseLife
		Alive    map[string]int64        `json:"alive,omitempty"`     // homed machines: ms since their last report
		InFlight map[string]int64        `json:"in_flight,omitempty"` // of these, by starts that may still arrive: ms since all withdrawals known at the sending were confirmed
		Stray    []string                `json:"stray,omitempty"`     // machines of other homes that reported here since the last status
		Demands  []demand                `json:"demands,omitempty"`
		Progress map[string][2]int       `json:"progress,omitempty"` // of own teams' jobs, in one status a second; nil: as it was
		Drain    []string                `json:"drain,omitempty"`
		Awaits   []string                `json:"awaits,omitempty"` // machines that a barrier waits for
		Mute     []string                `json:"mute,omitempty"`   // machines that did not answer a probe
		Writes   *float64                `json:"writes,omitempty"` // changes of the state service wanted a second
		Store    datarecovery.Assessment `json:"store"`            // what the sender holds of the state service
		Version  *uint64                 `json:"version"`          // of the control record that it knows; a promise counts for that one and later ones
		Told     *uint64                 `json:"told"`             // withdrawals that this process confirmed to users so far
		Plan     admission.Word          `json:"plan"`             // what it knows of plans of who gets how much
		Config   *teamconfig.Word        `json:"config,omitempty"` // what it knows of the teams' configuration
	}
)

// echo names a peer's status that was heard.
type echo struct {
	Incarnation uint64  `json:"incarnation"`
	At          int64   `json:"at"`
	Got         *uint64 `json:"got"` // of the withdrawals that it confirmed, taken in without a gap
}

// demand is room that waiting tasks of a job ask for.
type demand struct {
	Job      string  `json:"job"`
	Count    int     `json:"count"`
	Borrowed bool    `json:"borrowed,omitempty"` // beyond the team's guarantee
	Behind   int64   `json:"behind,omitempty"`   // ms that the team's quota takes for what waits beyond it
	Beyond   float64 `json:"beyond,omitempty"`   // CPUs that the job's class asks for beyond the quota; then Count is 0
	First    int     `json:"first,omitempty"`    // of the tasks, that go before what is more urgent
	Zone     string  `json:"zone,omitempty"`     // the only one for the tasks, since the others of the job are there
}

// evictMsg asks the owner of a task to stop it, to give its room to a job that
// goes before it.
type evictMsg struct {
	Ref jobstate.AttemptRef `json:"ref"`
	For string              `json:"for"` // the job that needs the room
}

// recordMsg tells a peer the control record as the state service has it.
type recordMsg struct {
	Version uint64          `json:"version"`
	Record  json.RawMessage `json:"record"` // a leadership.Record, read only if it is newer than the one that is known
}

// configMsg tells a peer the changes that it lacks.
type configMsg struct {
	Generation uint64              `json:"generation"`
	Record     uint64              `json:"record"` // version of the control record that the sender knows
	After      uint64              `json:"after"`  // revision up to which the peer knew them
	Known      uint64              `json:"known"`  // revision up to which these are all
	Changes    []teamconfig.Change `json:"changes"`
}
