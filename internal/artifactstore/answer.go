package artifactstore

// Answer is the JSON of everything that is not output itself.
type Answer struct {
	Error  string           `json:"error,omitempty"`
	Code   string           `json:"code,omitempty"`   // the kind of error, for programs
	Next   *uint64          `json:"next,omitempty"`   // record wanted next
	Offset *int64           `json:"offset,omitempty"` // of an upload
	Upload string           `json:"upload,omitempty"`
	Done   bool             `json:"done,omitempty"`
	Final  bool             `json:"final,omitempty"`
	Sealed *Manifest        `json:"sealed,omitempty"`
	List   []AttemptSummary `json:"attempts,omitempty"`
	Unsure bool             `json:"unsure,omitempty"` // fewer replicas answered than it takes to be sure
}

// TaskList is the tasks of a job of which something is kept.
type TaskList struct {
	Tasks  []int `json:"tasks"`
	Unsure bool  `json:"unsure,omitempty"`
}

// End is what an agent says of its attempt when it seals it.
type End struct {
	Exit    Exit              `json:"exit"`
	Records map[string]uint64 `json:"records"` // by stream
	Files   map[string]string `json:"files"`   // digests by path
}

// Known is an attempt as a list of a task's attempts has it.
type AttemptSummary struct {
	Attempt
	Machine string `json:"machine"`
	State   string `json:"state"`
	Exit    *Exit  `json:"exit,omitempty"` // once it is over
}

// States of attempts.
const (
	StateFinal   = "final"   // its task's result
	StateSealed  = "sealed"  // ended, but another is the result, or none
	StatePartial = "partial" // never sealed, and never will be
	StateOpen    = "goes on" // may get more
	StateUnsure  = "unsure"  // too few replicas answered to tell
)

// Line is one line of a log as it is read over HTTP. The last one has State instead of
// output.
type Line struct {
	Number  uint64  `json:"n"`
	Record  *Record `json:"record,omitempty"`
	State   string  `json:"state,omitempty"`
	Attempt uint64  `json:"attempt,omitempty"`
}
