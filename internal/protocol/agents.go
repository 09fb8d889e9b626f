package protocol

import "cmp"

// TaskState is the state of a task on a machine, as reported by the machine's agent.
type TaskState string

// States of a task, in addition to Running.
const (
	Pulling TaskState = "pulling" // its image is being fetched; its resources are already allocated
	Waiting TaskState = "waiting" // for the other tasks of its gang
	Saving  TaskState = "saving"  // writing a checkpoint before it stops
	Exited  TaskState = "exited"  // listed until the controller sends Forget
)

// ExitReason is the reason why a task exited or its start was refused.
type ExitReason string

// Reasons why a task exited or its start was refused.
const (
	ReasonDone       ExitReason = "done"       // completed, its result is stored
	ReasonStopped    ExitReason = "stopped"    // by command; TaskStatus.Checkpointed reports whether progress was saved
	ReasonPeers      ExitReason = "peers"      // other tasks of its gang were unreachable for too long
	ReasonIncomplete ExitReason = "incomplete" // its gang was not complete in time
	ReasonError      ExitReason = "error"      // the task itself failed
	ReasonFull       ExitReason = "full"       // start refused: not enough free resources on the machine
	ReasonInUse      ExitReason = "in_use"     // start refused: another attempt of the task is on the machine
	ReasonNoSuch     ExitReason = "no_such"    // start refused: no such job or task
)

// CommandOp is the operation of a command to an agent.
type CommandOp string

// Operations of commands to an agent.
const (
	Start  CommandOp = "start"
	Stop   CommandOp = "stop"   // save a checkpoint within Command.GraceSeconds, then exit
	Forget CommandOp = "forget" // remove an exited attempt from the heartbeats
)

// Paths of the interface between controllers and agents.
const (
	PathHeartbeat = "/v1/report" // on a controller
	PathCommands  = "/do"        // on an agent: execute commands
	PathInspect   = "/inspect"   // on an agent: answer with a heartbeat
)

// Redirect is the answer that refers an agent to the controller to send its heartbeats to.
type Redirect struct {
	Controller string `json:"informar_a,omitempty"`
}

// Heartbeat is an agent's report on its machine and all tasks on it. Seq increases within an incarnation, which
// identifies a run of the agent's process. FencingToken is the highest one under which the agent accepted commands.
// NoticeSeconds is set once the cloud has announced that it will reclaim the machine.
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

// HeartbeatID identifies a heartbeat among those of one agent. The agent itself assigns it, so the order of two
// heartbeats does not depend on which controllers received them, when, or how often.
type HeartbeatID struct {
	Incarnation uint64
	Seq         uint64
}

// Compare returns a negative number if the agent sent id before other, a positive one if after, and 0 if they are the
// same heartbeat.
func (id HeartbeatID) Compare(other HeartbeatID) int {
	return cmp.Or(cmp.Compare(id.Incarnation, other.Incarnation), cmp.Compare(id.Seq, other.Seq))
}

// ID returns the identity of the heartbeat.
func (h *Heartbeat) ID() HeartbeatID { return HeartbeatID{h.Incarnation, h.Seq} }

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task         string     `json:"tramo"`
	Attempt      uint64     `json:"intento"`
	State        TaskState  `json:"estado"`
	Reason       ExitReason `json:"motivo,omitempty"`
	Checkpointed bool       `json:"kept,omitempty"`
}

const (
	// heartbeatReserve is the part of a heartbeat's body that is left to everything but the list of tasks.
	heartbeatReserve = 2 << 10
	// MaxListedBytes is the size of the list of tasks that a heartbeat has room for. A longer heartbeat is refused, so
	// that the agent's lease ends and with it all its tasks.
	MaxListedBytes = MaxBody - heartbeatReserve
	// listedTaskOverhead is the maximum size of a task in a heartbeat without its name, whatever becomes of the task. It
	// includes the separator and one space after each.
	listedTaskOverhead = 112
)

// ListedBytes returns the maximum size that a task with a name takes in a heartbeat, until it is forgotten.
func ListedBytes(nameLength int) int { return listedTaskOverhead + nameLength }

// Command orders an agent to execute an operation on one attempt of a task.
type Command struct {
	Op           CommandOp `json:"orden"`
	Task         string    `json:"tramo"`
	Attempt      uint64    `json:"intento"`
	GraceSeconds *float64  `json:"gracia_s,omitempty"`
}

// HeartbeatAnswer answers a heartbeat and renews the leases of the tasks that the heartbeat listed. The agent refuses
// the commands if it knows a higher fencing token.
type HeartbeatAnswer struct {
	FencingToken uint64    `json:"mando"`
	Commands     []Command `json:"ordenes"`
}

// DirectCommands is the body of a request with commands outside the answers to heartbeats. The agent refuses them if it
// has another incarnation or knows a higher fencing token.
type DirectCommands struct {
	FencingToken uint64    `json:"mando"`
	Incarnation  uint64    `json:"jornada"`
	Commands     []Command `json:"ordenes"`
}
