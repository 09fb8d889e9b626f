package protocol

// TaskState is the state of a task on a machine, as the machine's agent lists it.
type TaskState string

// The states of a task, beside Running.
const (
	Pulling TaskState = "pulling" // its image is being fetched; the task holds its room already
	Waiting TaskState = "waiting" // for the other tasks of its gang
	Saving  TaskState = "saving"  // writes a checkpoint before it stops
	Exited  TaskState = "exited"  // is over; listed until the controller says Forget
)

// ExitReason says why a task is over.
type ExitReason string

// The reasons why a task exited or was refused.
const (
	ReasonDone       ExitReason = "done"       // completed, the result is kept
	ReasonStopped    ExitReason = "stopped"    // by command; TaskStatus.Checkpointed says whether progress was saved
	ReasonPeers      ExitReason = "peers"      // other tasks of its gang were gone for too long
	ReasonIncomplete ExitReason = "incomplete" // its gang was not complete in time
	ReasonError      ExitReason = "error"      // the task itself failed
	ReasonFull       ExitReason = "full"       // start refused: not enough room on the machine
	ReasonInUse      ExitReason = "in_use"     // start refused: another attempt of the task is on the machine
	ReasonNoSuch     ExitReason = "no_such"    // start refused: no such job or task
)

// CommandOp is what an agent is to do with an attempt.
type CommandOp string

// The commands to an agent.
const (
	Start  CommandOp = "start"
	Stop   CommandOp = "stop"   // save a checkpoint within Command.GraceSeconds, then exit
	Forget CommandOp = "forget" // drop an exited attempt from the heartbeats
)

// Paths between controllers and agents.
const (
	PathHeartbeat = "/v1/report" // at a controller
	PathCommands  = "/do"        // at an agent: carry out commands
	PathInspect   = "/inspect"   // at an agent: answer with a heartbeat
)

// Redirect tells an agent which controller to send its heartbeats to.
type Redirect struct {
	Controller string `json:"informar_a,omitempty"`
}

// Heartbeat is what an agent says of its machine and of all tasks on it. Seq rises within an incarnation, which is
// one life of the agent's process; FencingToken is the highest that the agent has taken commands under.
type Heartbeat struct {
	Machine       string       `json:"estacion"`
	Addr          string       `json:"address"`
	Type          string       `json:"modelo"`
	Zone          string       `json:"zona"`
	Spot          bool         `json:"prestadas"`
	Incarnation   uint64       `json:"jornada"`
	Seq           uint64       `json:"correlativo"`
	FencingToken  uint64       `json:"mando"`
	NoticeSeconds *float64     `json:"aviso_s"`
	Tasks         []TaskStatus `json:"tramos"`
}

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task         string     `json:"tramo"`
	Attempt      uint64     `json:"intento"`
	State        TaskState  `json:"estado"`
	Reason       ExitReason `json:"motivo,omitempty"`
	Checkpointed bool       `json:"kept,omitempty"`
}

// Command is what an agent is to do with one attempt of a task.
type Command struct {
	Op           CommandOp `json:"orden"`
	Task         string    `json:"tramo"`
	Attempt      uint64    `json:"intento"`
	GraceSeconds *float64  `json:"gracia_s,omitempty"`
}

// HeartbeatAnswer answers a heartbeat. It renews the leases of what the heartbeat listed; the agent refuses the
// commands if it knows a higher fencing token.
type HeartbeatAnswer struct {
	FencingToken uint64    `json:"mando"`
	Commands     []Command `json:"ordenes"`
}

// DirectCommands is the body of commands that a controller sends to an agent outside heartbeats. The agent refuses
// them if its incarnation is another one or it knows a higher fencing token.
type DirectCommands struct {
	FencingToken uint64    `json:"mando"`
	Incarnation  uint64    `json:"jornada"`
	Commands     []Command `json:"ordenes"`
}
