package datarecovery

// Status is a controller's view of its store, as shown to operators in the overview.
type Status struct {
	Phase            string   `json:"phase"`
	Sign             Sign     `json:"sign,omitempty"` // why a loss is suspected or confirmed
	Epoch            uint64   `json:"generation"`
	DataLost         bool     `json:"lost_for_good"`     // there may be jobs that no controller remembers
	RosterIncomplete bool     `json:"roster_incomplete"` // machines that run tasks may not be registered
	AwaitedMembers   []string `json:"waits_for_memory_of,omitempty"`
	Unwritten        int      `json:"jobs_to_write_back"`  // active jobs that the store lacks
	StaleActive      int      `json:"ends_to_write_again"` // ended jobs that the store has as active
	Ends             int      `json:"ends_remembered"`
	HistoryComplete  bool     `json:"remembers_all_ends"`
	Unreplicated     int      `json:"said_with_no_peer_holding_it"`       // facts that no peer had confirmed
	Undescribed      []string `json:"jobs_nobody_can_describe,omitempty"` // jobs without a known specification, at most 100
	Suspicions       int      `json:"signs_seen"`
	Losses           int      `json:"losses"`
}
