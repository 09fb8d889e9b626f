package artifactstore

// Answer is the JSON body of every HTTP response except logs, files and lists of tasks.
type Answer struct {
	Error  string           `json:"error,omitempty"`
	Code   string           `json:"code,omitempty"`   // machine-readable kind of the error
	Next   *uint64          `json:"next,omitempty"`   // number of the next record expected
	Offset *int64           `json:"offset,omitempty"` // bytes of an upload received so far
	Upload string           `json:"upload,omitempty"` // ID of an upload
	Done   bool             `json:"done,omitempty"`   // the blob is stored, no more content is needed
	Final  bool             `json:"final,omitempty"`  // the attempt is the task's result
	Sealed *Manifest        `json:"sealed,omitempty"` // manifest of the ended attempt, which may be partial
	List   []AttemptSummary `json:"attempts,omitempty"`
	Unsure bool             `json:"unsure,omitempty"` // too few replicas answered; the list may be incomplete
}

// TaskList lists the tasks of a job of which the store has any attempt.
type TaskList struct {
	Tasks  []int `json:"tasks"`
	Unsure bool  `json:"unsure,omitempty"`
}

// End is what an agent reports about its attempt when it seals it.
type End struct {
	Exit    Exit              `json:"exit"`
	Records map[string]uint64 `json:"records"` // number of records by stream
	Files   map[string]string `json:"files"`   // digests by path
}

// AttemptSummary describes an attempt in the list of a task's attempts.
type AttemptSummary struct {
	Attempt
	Machine string `json:"machine"`
	State   string `json:"state"`
	Exit    *Exit  `json:"exit,omitempty"` // nil until the attempt has ended
}

// States of attempts.
const (
	StateFinal   = "final"   // the task's result
	StateSealed  = "sealed"  // sealed, but not the task's result
	StatePartial = "partial" // ended without a seal from its agent, and can't be sealed any more
	StateOpen    = "goes on" // not ended; may receive more output
	StateUnsure  = "unsure"  // too few replicas answered to determine the state
)

// Line is one line of a log sent over HTTP. The last line has State and no record; a response without it is
// incomplete.
type Line struct {
	Number  uint64  `json:"n"`
	Record  *Record `json:"record,omitempty"`
	State   string  `json:"state,omitempty"`
	Attempt uint64  `json:"attempt,omitempty"`
}
