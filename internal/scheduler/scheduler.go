// Package scheduler assigns waiting tasks to machines and selects running tasks to preempt for more urgent ones.
//
// A scheduling pass sorts all waiting tasks by urgency (queue.go), places them job by job (pass.go, gangs.go), reserves
// capacity for gangs that do not fit yet (reservations.go), and selects preemption victims for tasks that were not
// placed (preemption.go, gangpreemption.go). Between passes the Scheduler caches the free capacity of each machine and
// tracks the evictions in progress.
//
// The package sends no commands, takes no locks, reads no clock and does no I/O: the controller passes in the time and
// a Snapshot, and carries out the evictions that a pass returns. A pass records placements in the teams' accounts
// (Team) immediately, because each placement uses quota that later ones are checked against. A Scheduler is not safe
// for concurrent use.
package scheduler

import (
	"iter"
	"math/rand/v2"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Config holds the settings of a Scheduler.
type Config struct {
	Deployment *settings.Deployment // zones and objectives are read in each pass
	Options    *settings.Options    // SampleSize is read in each pass
	Random     *rand.Rand           // selects where the search for a machine begins
}

// Scheduler holds the state that is kept between passes.
type Scheduler struct {
	config          Config
	machineTypes    []protocol.MachineType
	machines        map[string]*machine
	orderedMachines []*machine // all values of machines, ordered by first report
	machinesSeen    uint64     // number of machines that were ever added
	hosts           hostIndex

	evictions     map[jobstate.AttemptRef]eviction
	runningCPUs   map[admission.Key]float64 // of running tasks, as of completionsAt
	completions   []completionRate          // expected completions of running tasks, as of completionsAt
	completionsAt time.Time
	preemptedAt   time.Time // when preemption last ran
}

// New returns a Scheduler that knows no machines.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:      config,
		machines:    map[string]*machine{},
		evictions:   map[jobstate.AttemptRef]eviction{},
		runningCPUs: map[admission.Key]float64{},
	}
}

// Job holds the properties of an active or formerly active job that a pass reads.
type Job struct {
	Spec        *protocol.Submission
	SubmittedAt time.Time
	Active      bool
	Objectives  jobstate.Objectives // set for active jobs; see ServiceLevels.CompletionTimes
}

// Jobs looks up jobs by their identifier.
type Jobs interface {
	// Job returns a job by its identifier, and false if the job is unknown.
	Job(uid string) (Job, bool)
}

// Assignments gives access to the attempts that are assigned to machines by the teams that this controller owns (own
// teams).
type Assignments interface {
	Jobs
	// AssignmentsOn calls f for each attempt that an own team has assigned to a machine.
	AssignmentsOn(machine string, f func(jobstate.Assignment))
	// TakeChangedMachines yields the machines whose assigned attempts of own teams changed since the last call.
	TakeChangedMachines() iter.Seq[string]
}

// Snapshot is the controller state that a pass reads.
type Snapshot interface {
	Assignments
	// Teams returns the own teams whose tasks may start now.
	Teams() []Team
	// PeerDemands yields the waiting tasks of teams that other controllers own.
	PeerDemands(now time.Time) iter.Seq[Demand]
	// AcceptingMachines tells which machines accept tasks now.
	AcceptingMachines(now time.Time) Acceptance
	// Plan returns the admission plan in force, or nil if there is none.
	Plan() *admission.Plan
}

// Account holds a team's quota and assignments and records its placements. *jobstate.Team implements it.
type Account interface {
	Quota() *jobstate.Quota
	Job(uid string) *jobstate.Job
	Jobs(f func(*jobstate.Job))
	Place(job *jobstate.Job, index int, at jobstate.Location) bool
	MissingGangTasks(job *jobstate.Job) (missing []int, attempt uint64)
	PlaceGang(job *jobstate.Job, attempt uint64, at map[int]jobstate.Location) bool
}

// Team is the account of an own team together with its rule for prioritized tasks.
type Team interface {
	Account
	// PrioritizedTasks returns for each demand how many of its tasks are placed before more urgent work: because their
	// class uses less than its floor in the admission plan, or as the first task of a large array that has waited long.
	PrioritizedTasks(demands []jobstate.Demand, now time.Time) []int
}

// Demand is a request to place pending tasks of a job.
type Demand struct {
	Job         string
	Count       int      // number of tasks
	Prioritized int      // number of these tasks that are placed before more urgent work
	Begins      bool     // no task of the job has been on a machine yet
	Borrowed    bool     // uses capacity beyond the team's guarantee
	Held        []string // machines that hold room for some of the tasks, one entry for each of these
	Probe       bool     // tests whether a faulty job still fails
}

// Eviction is a request to stop a task in favor of a job of higher priority.
type Eviction struct {
	Victim jobstate.AttemptRef
	For    string // identifier of the job that needs the capacity
}

// Result is the outcome of a pass, apart from the placements.
type Result struct {
	Evictions []Eviction
	Queued    bool // own tasks were waiting when the pass began
	Unplaced  bool // some own tasks, other than surplus ones, are still waiting
}

// SetMachineTypes replaces the catalog of machine types.
func (s *Scheduler) SetMachineTypes(types []protocol.MachineType) {
	s.machineTypes = types
	s.InvalidateAllMachines()
}

// MachineTypes returns the catalog of machine types, or nil if it has not been read yet.
func (s *Scheduler) MachineTypes() []protocol.MachineType { return s.machineTypes }

// machineType returns a machine type by name, or nil if it is unknown.
func (s *Scheduler) machineType(name string) *protocol.MachineType {
	for i := range s.machineTypes {
		if s.machineTypes[i].Name == name {
			return &s.machineTypes[i]
		}
	}
	return nil
}

// Capacity returns the CPUs, GPUs and GB of memory of an empty machine of a type. ok is false for an unknown type.
func (s *Scheduler) Capacity(machineType string) (cpus, gpus, memory float64, ok bool) {
	t := s.machineType(machineType)
	if t == nil {
		return 0, 0, 0, false
	}
	return t.CPUs, t.GPUs, t.MemoryGB, true
}
