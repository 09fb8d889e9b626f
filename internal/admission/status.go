package admission

// Status is what operators see of admission in a controller's overview.
type Status struct {
	Plan                  ID             `json:"plan"`
	Floors                []Floor        `json:"floors,omitempty"`
	Reserved              map[string]int `json:"machines_held,omitempty"` // by class
	Refused               int            `json:"refused_that_may_come_back"`
	AcceptanceWaitSeconds float64        `json:"acceptance_wait_s"` // at the state service, by what is queued here
	Keys                  []KeyStatus    `json:"served"`            // of own teams, over the window
}

// KeyStatus is one key's service as the controller that owns its team counts it.
type KeyStatus struct {
	Key
	Count
	Share             float64 `json:"share_in_time"`
	UsedCPUs          float64 `json:"cpus"`
	Waiting           int     `json:"waiting_tasks"`
	OldestWaitSeconds float64 `json:"oldest_wait_s"` // of its jobs that have tasks waiting
	Floor             float64 `json:"floor_cpus,omitempty"`
}
