package controller

import (
	"encoding/json"

	"topazhollow/internal/admission"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/teamconfig"
)

// Kinds of the messages between controllers; those of replicas are in internal/shards, those of the recovery of
// data in recovery_gather.go. The words stay as they are while controllers of several versions run beside each
// other. A controller ignores kinds and fields that it does not know.
const (
	kindStatus          = "status"
	kindMachineStatuses = "views" // a list of jobstate.MachineStatus
	kindOrders          = "orders"
	kindRecord          = "record"
	kindTeamConfig      = "config"
	kindEvict           = "evict"
)

// ordersMsg gives the home of a machine the commands that a shard's owner has for it.
type ordersMsg struct {
	Term    uint64           `json:"term"` // of the membership record that the sender acts under
	Machine string           `json:"machine"`
	Orders  []jobstate.Order `json:"orders"`
}

// statusMsg is a controller's heartbeat to all its peers, twice a second and when something is urgent.
type statusMsg struct {
	Term       uint64 `json:"term"`             // of the membership record that the sender knows; 0 if none
	Entitled   bool   `json:"entitled"`         // the sender may act
	HoldsLease bool   `json:"leased,omitempty"` // the sender's lease in the state service is valid
	SentAt     int64  `json:"at"`               // ms of the sender's steady clock
	// Received names the last status of each peer that reached the sender lately.
	Received map[string]receivedStatus `json:"heard,omitempty"`
	// Promise is the sender's promise to raise no term for leadership.PromiseLife.
	Promise bool `json:"promise,omitempty"`
	// HeartbeatAges is for each machine whose home the sender is the ms since its last heartbeat.
	HeartbeatAges map[string]int64 `json:"alive,omitempty"`
	// InFlightAges is, for those of these machines that a start may still reach, the ms since all cancellations that
	// were known when it was sent had been confirmed.
	InFlightAges map[string]int64 `json:"in_flight,omitempty"`
	// Misdirected are the machines of other homes that reported to the sender since its last status.
	Misdirected []string `json:"stray,omitempty"`
	Demands     []demand `json:"demands,omitempty"`
	// Progress is the tasks done and running of each job of the sender's teams; nil if it is not due.
	Progress map[string][2]int `json:"progress,omitempty"`
	// Draining are the machines that no task should go to, if the sender owns the fleet.
	Draining []string `json:"drain,omitempty"`
	// Awaited are the machines that the sender's barriers wait for, Unanswered those that did not answer its probe.
	Awaited    []string `json:"awaits,omitempty"`
	Unanswered []string `json:"mute,omitempty"`
	// WantedWrites is how many changes of the state service a second the sender has use for; nil if unknown.
	WantedWrites *float64 `json:"writes,omitempty"`
	// Store is what the sender knows of the state service's data.
	Store datarecovery.Assessment `json:"store"`
	// RecordVersion is that of the membership record that the sender knows. A promise counts for that one and later ones.
	RecordVersion *uint64 `json:"version"`
	// Cancellations is how many the sender's process has confirmed to users.
	Cancellations *uint64 `json:"told"`
	// Plan is what the sender knows of plans of quota, Config of the teams' configuration.
	Plan   admission.PlanStatus `json:"plan"`
	Config *teamconfig.Status   `json:"config,omitempty"`
}

// receivedStatus acknowledges the last status of a peer.
type receivedStatus struct {
	Incarnation uint64 `json:"incarnation"` // of the peer's process
	SentAt      int64  `json:"at"`          // its clock in that status, in ms
	// Cancellations is how many of those that it confirmed were received without a gap.
	Cancellations *uint64 `json:"got"`
}

// demand is room that waiting tasks of a job ask for.
type demand struct {
	Job             string  `json:"job"`
	Count           int     `json:"count"`
	Borrowed        bool    `json:"borrowed,omitempty"` // beyond the team's guarantee
	QuotaDelay      int64   `json:"behind,omitempty"`   // ms that the team's quota takes for what waits beyond it
	CPUsBeyondQuota float64 `json:"beyond,omitempty"`   // that the job's class asks for; then Count is 0
	Prioritized     int     `json:"first,omitempty"`    // of the tasks, that go before what is more urgent
	Zone            string  `json:"zone,omitempty"`     // the only one for the tasks, as the job's others are there
}

// evictMsg asks the owner of a task to stop it, to give its room to a job that
// goes before it.
type evictMsg struct {
	Attempt     jobstate.AttemptRef `json:"ref"`
	Beneficiary string              `json:"for"` // the job that needs the room
}

// recordMsg gives a peer the membership record as the state service has it.
type recordMsg struct {
	Version uint64          `json:"version"`
	Record  json.RawMessage `json:"record"` // a leadership.Record, read only if it is newer than the one that is known
}

// configMsg gives a peer the changes of the configuration that it lacks.
type configMsg struct {
	Epoch         uint64              `json:"generation"`
	RecordVersion uint64              `json:"record"` // version of the membership record that the sender knows
	After         uint64              `json:"after"`  // revision up to which the peer knew them
	Known         uint64              `json:"known"`  // revision up to which these are all
	Changes       []teamconfig.Change `json:"changes"`
}
