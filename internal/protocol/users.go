package protocol

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// JobKind determines how the tasks of a job are scheduled together.
type JobKind string

// Kinds of jobs.
const (
	JobArray JobKind = "batch"    // independent tasks, each of which starts when resources are free
	Gang     JobKind = "ensemble" // all tasks run at the same time or none does
	Service  JobKind = "service"  // tasks that run until the job is cancelled
)

// JobState is the state of a job as reported to its user.
type JobState string

// States of a job. Running is an untyped constant because tasks and machines have a state of that name too.
const (
	Pending   JobState = "pending"
	Done      JobState = "done"      // final
	Cancelled JobState = "withdrawn" // final

	Running = "running"
)

// Paths of the users' interface. The path of a job is PathSubmit, a slash and the job's ID.
const (
	PathSubmit = "/submissions"
	PathHealth = "/healthz"
)

// MaxTasks is the maximum number of tasks of one job.
const MaxTasks = 100000

// Submission is a user's description of a job. CPUs, GPUs and MemoryGB are the resources of one task. Types lists the
// machine types that the job may use, all if nil. Zone is the only zone that it may use, any if nil.
type Submission struct {
	UID                    string   `json:"uid"`
	Class                  string   `json:"clase"`
	Team                   string   `json:"equipo"`
	Kind                   JobKind  `json:"tipo_trabajo"`
	Priority               string   `json:"prioridad"`
	Tasks                  int      `json:"tramos"`
	CPUs                   float64  `json:"cores"`
	GPUs                   float64  `json:"cards"`
	MemoryGB               float64  `json:"ram_gb"`
	Image                  string   `json:"imagen"`
	ImageGB                float64  `json:"image_gb"`
	Types                  []string `json:"modelos,omitempty"`
	Zone                   *string  `json:"zona,omitempty"`
	OneZone                bool     `json:"together"`
	Spread                 bool     `json:"apart"`
	Spot                   bool     `json:"prestadas"`
	EstimateSeconds        float64  `json:"estimado_s"`
	CheckpointEverySeconds float64  `json:"guardado_cada_s"`
	CheckpointSeconds      float64  `json:"guardar_s"`
	DeadlineSeconds        *float64 `json:"vence_s,omitempty"`
	// Dependencies are the IDs of the jobs that must be done before any task of this one starts, each once.
	Dependencies []string `json:"espera_a,omitempty"`
}

// Status is the answer to a status query, with the numbers of tasks that are done and running.
type Status struct {
	UID     string   `json:"uid"`
	State   JobState `json:"estado"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// JobSummary is the answer to an accepted submission and to a cancellation.
type JobSummary struct {
	UID   string   `json:"uid"`
	State JobState `json:"estado"`
}

// Error is the body of an error response in every interface.
type Error struct {
	Error string `json:"error"`
}

// RunTime returns the user's estimate of the run time of a task.
func (s *Submission) RunTime() time.Duration {
	return time.Duration(s.EstimateSeconds * float64(time.Second))
}

// TasksThatFit returns how many of the job's tasks fit into the given CPUs, GPUs and GB of memory.
func (s *Submission) TasksThatFit(cpus, gpus, memory float64) int {
	const slack = 1e-6 // absorbs rounding errors in sums of amounts
	times := float64(MaxTasks)
	for _, x := range [][2]float64{{cpus, s.CPUs}, {gpus, s.GPUs}, {memory, s.MemoryGB}} {
		if x[1] > 0 {
			times = min(times, (x[0]+slack)/x[1])
		}
	}
	return int(max(times, 0))
}

// priorities are the priorities of jobs, lowest first.
var priorities = []string{"low", "standard", "high", "prod"}

// Rank returns the rank of a priority, which is higher for more urgent ones, and -1 for an unknown priority.
func Rank(priority string) int {
	return slices.Index(priorities, priority)
}

// Priority returns the priority with a rank.
func Priority(rank int) string { return priorities[rank] }

// TaskName returns the name of a task on the wire: the job's ID, a slash and the task's index.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// TaskNameLength returns the length of TaskName(job, index) for an index that is not negative.
func TaskNameLength(job string, index int) int {
	digits := 1
	for ; index >= 10; index /= 10 {
		digits++
	}
	return len(job) + 1 + digits
}

// SplitTask parses a name made by TaskName; ok is false if it is malformed.
func SplitTask(name string) (job string, index int, ok bool) {
	at := strings.LastIndexByte(name, '/')
	if at <= 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[at+1:])
	if err != nil || n < 0 || n >= MaxTasks || strconv.Itoa(n) != name[at+1:] {
		return "", 0, false
	}
	return name[:at], n, true
}

// ValidUID reports whether a job ID is valid: "job-" and 1 to 64 letters, digits, hyphens and underscores.
func ValidUID(uid string) bool {
	suffix, ok := strings.CutPrefix(uid, "job-")
	if !ok || suffix == "" || len(suffix) > 64 {
		return false
	}
	for _, c := range suffix {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
