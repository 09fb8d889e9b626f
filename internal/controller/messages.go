package controller

import (
	"encoding/json"

	"topazhollow/internal/admission"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/teamconfig"
)

// Kinds of the messages between controllers. Those of replicas are in internal/shards, those of data recovery in
// recovery_gather.go. The strings never change, as controllers of different versions run side by side. A controller
// ignores kinds and fields that it does not know.
const (
	kindStatus          = "status"
	kindMachineStatuses = "views" // a list of jobstate.MachineStatus
	kindOrders          = "orders"
	kindRecord          = "record"
	kindTeamConfig      = "config"
	kindEvict           = "evict"
)

// ordersMsg sends a machine's home the orders that a shard's owner has for the machine.
type ordersMsg struct {
	Term    uint64           `json:"term"` // of the membership record that the sender acts under
	Machine string           `json:"machine"`
	Orders  []jobstate.Order `json:"orders"`
}

// statusMsg is a controller's heartbeat to all its peers, sent twice a second and when something is urgent.
type statusMsg struct {
	Term       uint64 `json:"term"`             // of the membership record that the sender knows; 0 if none
	Entitled   bool   `json:"entitled"`         // the sender may act
	HoldsLease bool   `json:"leased,omitempty"` // the sender's lease in the state service is valid
	SentAt     int64  `json:"at"`               // ms since the start of the sender's process, by its monotonic clock
	// Received acknowledges the last status of each peer that the sender received lately.
	Received map[string]receivedStatus `json:"heard,omitempty"`
	// Promise is the sender's promise to raise no term for leadership.PromiseDuration.
	Promise bool `json:"promise,omitempty"`
	// HeartbeatAges is the ms since the last heartbeat of each machine whose home the sender is.
	HeartbeatAges map[string]int64 `json:"alive,omitempty"`
	// InFlightAges is, for each of these machines that a start may still reach, the age in ms of the earliest
	// cancellation watermark under which such a start was sent.
	InFlightAges map[string]int64 `json:"in_flight,omitempty"`
	// Misdirected lists the machines of other homes that sent the sender a heartbeat since its last status.
	Misdirected []string `json:"stray,omitempty"`
	Demands     []demand `json:"demands,omitempty"`
	// Progress is the numbers of done and running tasks of each job of the sender's teams; nil if it is not due.
	Progress map[string][2]int `json:"progress,omitempty"`
	// Draining lists the machines that no task should be placed on, if the sender owns the fleet.
	Draining []string `json:"drain,omitempty"`
	// Awaited lists the machines that the sender's barriers wait for, Unanswered those that did not answer its probe.
	Awaited    []string `json:"awaits,omitempty"`
	Unanswered []string `json:"mute,omitempty"`
	// WantedWrites is how many changes per second the sender would make in the state service; nil if unknown.
	WantedWrites *float64 `json:"writes,omitempty"`
	// Store is the sender's assessment of whether the state service has lost data.
	Store datarecovery.Assessment `json:"store"`
	// RecordVersion is the version of the membership record that the sender knows. Its promise holds for this version
	// and later ones.
	RecordVersion *uint64 `json:"version"`
	// Cancellations is how many cancellations the sender's process has confirmed to users.
	Cancellations *uint64 `json:"told"`
	// Plan is the sender's knowledge of admission plans, Config its knowledge of the teams' configuration.
	Plan   admission.PlanStatus `json:"plan"`
	Config *teamconfig.Status   `json:"config,omitempty"`
}

// receivedStatus acknowledges the last status of a peer.
type receivedStatus struct {
	Incarnation uint64 `json:"incarnation"` // of the peer's process
	SentAt      int64  `json:"at"`          // its clock in that status, in ms
	// Cancellations is how many of the peer's confirmed cancellations were received without a gap.
	Cancellations *uint64 `json:"got"`
}

// demand describes the waiting tasks of a job, or the CPUs that the job's class lacks beyond its team's quota.
type demand struct {
	Job             string  `json:"job"`
	Count           int     `json:"count"`
	Borrowed        bool    `json:"borrowed,omitempty"` // beyond the team's guarantee
	QuotaDelay      int64   `json:"behind,omitempty"`   // ms until the team's quota has worked off what waits beyond it
	CPUsBeyondQuota float64 `json:"beyond,omitempty"`   // that the job's class needs; Count is 0 if it is set
	Prioritized     int     `json:"first,omitempty"`    // how many of the tasks are placed before more urgent work
	Begins          bool    `json:"begins,omitempty"`   // no task of the job has been on a machine yet
	Zone            string  `json:"zone,omitempty"`     // that the tasks are bound to by the job's other tasks; "" for any
	// Probe: the job is faulty. Machines are acquired for the tasks, but no room is left for them.
	Probe bool `json:"probe,omitempty"`
	// Held lists the machines that hold room for some of the tasks, one entry for each of these.
	Held []string `json:"held,omitempty"`
}

// evictMsg asks the owner of a task's team to stop the task in favour of a job of higher priority.
type evictMsg struct {
	Attempt     jobstate.AttemptRef `json:"ref"`
	Beneficiary string              `json:"for"` // the job that the task makes room for
}

// recordMsg sends a peer the membership record as the state service has it.
type recordMsg struct {
	Version uint64          `json:"version"`
	Record  json.RawMessage `json:"record"` // a leadership.Record; decoded only if it is newer than the known one
}

// configMsg sends a peer the changes of the teams' configuration that it lacks.
type configMsg struct {
	Epoch         uint64              `json:"generation"`
	RecordVersion uint64              `json:"record"` // version of the membership record that the sender knows
	After         uint64              `json:"after"`  // revision up to which the peer reported to know the changes
	Known         uint64              `json:"known"`  // revision up to which Changes is complete
	Changes       []teamconfig.Change `json:"changes"`
}
