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
		Term          uint64                    `json:"term"`
		Entitled      bool                      `json:"entitled"`
		HoldsLease    bool                      `json:"leased,omitempty"`
		SentAt        int64                     `json:"at"`                  // the sender's steady clock, ms
		Received      map[string]receivedStatus `json:"heard,omitempty"`     // the last At of each peer
		Promise       bool                      `json:"promise,omitempty"`   // to raise no term for promiseLife
		HeartbeatAges map[string]int64          `json:"alive,omitempty"`     // homed machines: ms since their last report
		InFlightAges  map[string]int64          `json:"in_flight,omitempty"` // of these, by starts that may still arrive: ms since all withdrawals known at the sending were confirmed
		Misdirected   []string                  `json:"stray,omitempty"`     // machines of other homes that reported here since the last status
		Demands       []demand                  `json:"demands,omitempty"`
		Progress      map[string][2]int         `json:"progress,omitempty"` // of own teams' jobs, in one status a second; nil: as it was
		Draining      []string                  `json:"drain,omitempty"`
		Awaited       []string                  `json:"awaits,omitempty"` // machines that a barrier waits for
		Unanswered    []string                  `json:"mute,omitempty"`   // machines that did not answer a probe
		WantedWrites  *float64                  `json:"writes,omitempty"` // changes of the state service wanted a second
		Store         datarecovery.Assessment   `json:"store"`            // what the sender holds of the state service
		RecordVersion *uint64                   `json:"version"`          // of the control record that it knows; a promise counts for that one and later ones
		Cancellations *uint64                   `json:"told"`             // withdrawals that this process confirmed to users so far
		Plan          admission.Word            `json:"plan"`             // what it knows of plans of who gets how much
		Config        *teamconfig.Word          `json:"config,omitempty"` // what it knows of the teams' configuration
	}
)

// echo names a peer's status that was heard.
type receivedStatus struct {
	Incarnation   uint64  `json:"incarnation"`
	SentAt        int64   `json:"at"`
	Cancellations *uint64 `json:"got"` // of the withdrawals that it confirmed, taken in without a gap
}

// demand is room that waiting tasks of a job ask for.
type demand struct {
	Job             string  `json:"job"`
	Count           int     `json:"count"`
	Borrowed        bool    `json:"borrowed,omitempty"` // beyond the team's guarantee
	QuotaDelay      int64   `json:"behind,omitempty"`   // ms that the team's quota takes for what waits beyond it
	CPUsBeyondQuota float64 `json:"beyond,omitempty"`   // CPUs that the job's class asks for beyond the quota; then Count is 0
	Prioritized     int     `json:"first,omitempty"`    // of the tasks, that go before what is more urgent
	Zone            string  `json:"zone,omitempty"`     // the only one for the tasks, since the others of the job are there
}

// evictMsg asks the owner of a task to stop it, to give its room to a job that
// goes before it.
type evictMsg struct {
	Attempt     jobstate.AttemptRef `json:"ref"`
	Beneficiary string              `json:"for"` // the job that needs the room
}

// recordMsg tells a peer the control record as the state service has it.
type recordMsg struct {
	Version uint64          `json:"version"`
	Record  json.RawMessage `json:"record"` // a leadership.Record, read only if it is newer than the one that is known
}

// configMsg tells a peer the changes that it lacks.
type configMsg struct {
	Epoch         uint64              `json:"generation"`
	RecordVersion uint64              `json:"record"` // version of the control record that the sender knows
	After         uint64              `json:"after"`  // revision up to which the peer knew them
	Known         uint64              `json:"known"`  // revision up to which these are all
	Changes       []teamconfig.Change `json:"changes"`
}
