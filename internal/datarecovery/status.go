package datarecovery

// Status is what a controller tells operators of its store, in its overview.
type Status struct {
	Phase       string   `json:"phase"`
	Sign        string   `json:"sign,omitempty"` // why it is doubted or held to be lost
	Generation  uint64   `json:"generation"`
	Lost        bool     `json:"lost_for_good"`     // there may be jobs that nobody remembers
	Census      bool     `json:"roster_incomplete"` // machines may not be registered that run something
	Gathering   []string `json:"waits_for_memory_of,omitempty"`
	Unwritten   int      `json:"jobs_to_write_back"`
	Unburied    int      `json:"ends_to_write_again"`
	Ends        int      `json:"ends_remembered"`
	Whole       bool     `json:"remembers_all_ends"`
	Alone       int      `json:"said_with_no_peer_holding_it"`
	Undescribed []string `json:"jobs_nobody_can_describe,omitempty"` // a hundred at most
	Signs       int      `json:"signs_seen"`
	Losses      int      `json:"losses"`
}
