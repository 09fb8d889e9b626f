package admission

// Status is the admission part of a controller's overview, which operators read.
type Status struct {
	Plan                  ID             `json:"plan"`
	Floors                []Floor        `json:"floors,omitempty"`
	Reserved              map[string]int `json:"machines_held,omitempty"`    // number of reserved machines, by class
	Refused               int            `json:"refused_that_may_come_back"` // rejected jobs that may be submitted again
	AcceptanceWaitSeconds float64        `json:"acceptance_wait_s"`          // queueing delay at the state service
	Keys                  []KeyStatus    `json:"served"`                     // of the controller's own teams
}

// KeyStatus holds one key's counts over the window and its present state, from the controller that owns its team.
type KeyStatus struct {
	Key
	Count
	Share             float64 `json:"share_in_time"`
	UsedCPUs          float64 `json:"cpus"`
	Waiting           int     `json:"waiting_tasks"`
	OldestWaitSeconds float64 `json:"oldest_wait_s"` // age of its oldest job with waiting tasks
	Floor             float64 `json:"floor_cpus,omitempty"`
}
