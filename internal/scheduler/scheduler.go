// Package scheduler decides which waiting tasks start where, and which running tasks make room for more urgent ones.
//
// One pass orders all waiting tasks (queue.go), places them one job after the other (pass.go, gangs.go), reserves room
// for gangs that found too little (reservations.go), and searches victims for what found none (preemption.go,
// gangpreemption.go). Between passes the Scheduler keeps the machines' free room and the evictions under way.
//
// It never sends a command, takes a lock, reads a clock or does I/O: the controller gives it the time and a Snapshot,
// and carries out the evictions that a pass returns. Placements are made in the teams' accounts (Team) as the pass
// goes, since each uses quota that the next one counts on. A Scheduler is not safe for concurrent use.
package scheduler

import (
	"iter"
	"math/rand/v2"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Config is what a Scheduler goes by.
type Config struct {
	Deployment *settings.Deployment // its zones and objectives are read in each pass
	Options    *settings.Options    // its SampleSize is read in each pass
	Random     *rand.Rand           // where the search for a machine begins
}

// Scheduler is what is kept between passes.
type Scheduler struct {
	config       Config
	machineTypes []protocol.MachineType
	machines     map[string]*machine
	placeable    []*machine // all of machines, in the order of their first reports

	hostsWithRoom []placement.Host // the present pass's copy
	allHosts      []placement.Host // the same with full machines, for preemption

	evictions     map[jobstate.AttemptRef]eviction
	runningCPUs   map[admission.Key]float64 // as of completionsAt
	completions   []completionRate          // what running tasks give back, as of completionsAt
	completionsAt time.Time
	preemptedAt   time.Time // when victims were last searched
}

// New makes a Scheduler that knows no machines.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:      config,
		machines:    map[string]*machine{},
		evictions:   map[jobstate.AttemptRef]eviction{},
		runningCPUs: map[admission.Key]float64{},
	}
}

// Job is what a pass reads of a job that is or was active.
type Job struct {
	Spec        *protocol.Submission
	SubmittedAt time.Time
	Active      bool
	Objectives  jobstate.Objectives // of an active job; see ServiceLevels.CompletionTimes
}

// Jobs looks jobs up.
type Jobs interface {
	// Job gives a job by its identifier, and false if it is unknown.
	Job(uid string) (Job, bool)
}

// Assignments are what own teams hold on machines.
type Assignments interface {
	Jobs
	// AssignmentsOn calls f for each attempt that any own team holds on a machine.
	AssignmentsOn(machine string, f func(jobstate.Assignment))
	// TakeChangedMachines lists the machines where attempts of own teams came or went since the last call.
	TakeChangedMachines() iter.Seq[string]
}

// Snapshot is what a pass reads of the rest of a controller.
type Snapshot interface {
	Assignments
	// Teams lists the own teams whose tasks may start now.
	Teams() []Team
	// PeerDemands lists the tasks of other controllers' teams that wait for room.
	PeerDemands(now time.Time) iter.Seq[Demand]
	// AcceptingMachines gives a filter for machines that take tasks now.
	AcceptingMachines(now time.Time) func(*jobstate.MachineStatus) bool
	// Plan is the admission plan in force; nil if there is none.
	Plan() *admission.Plan
}

// Account is a team's quota and assignments, in which placements are made. *jobstate.Team is one.
type Account interface {
	Quota() *jobstate.Quota
	Job(uid string) *jobstate.Job
	Jobs(f func(*jobstate.Job))
	Place(job *jobstate.Job, index int, at jobstate.Location) bool
	MissingGangTasks(job *jobstate.Job) (missing []int, attempt uint64)
	PlaceGang(job *jobstate.Job, attempt uint64, at map[int]jobstate.Location) bool
}

// Team is an own team: its account and what waits in it.
type Team interface {
	Account
	// PrioritizedTasks gives for each demand how many of its tasks go ahead of more urgent work.
	PrioritizedTasks(demands []jobstate.Demand, now time.Time) []int
}

// Demand is what a job's pending tasks ask for.
type Demand struct {
	Job         string
	Count       int  // tasks
	Prioritized int  // of them, that go ahead of more urgent work
	Borrowed    bool // beyond the team's guarantee
	Probe       bool // to find out whether a faulty job still fails
}

// Eviction is a task that is to be stopped for a job of higher priority.
type Eviction struct {
	Victim jobstate.AttemptRef
	For    string // the job
}

// Result is what a pass decided beside the placements.
type Result struct {
	Evictions []Eviction
	Queued    bool // own tasks waited when the pass began
	Unplaced  bool // some of them still do
}

// SetMachineTypes replaces the catalog of machine types.
func (s *Scheduler) SetMachineTypes(types []protocol.MachineType) {
	s.machineTypes = types
	s.InvalidateAllMachines()
}

// MachineTypes is the catalog of machine types; nil before it was read.
func (s *Scheduler) MachineTypes() []protocol.MachineType { return s.machineTypes }

// machineType looks a machine type up; nil if it is unknown.
func (s *Scheduler) machineType(name string) *protocol.MachineType {
	for i := range s.machineTypes {
		if s.machineTypes[i].Name == name {
			return &s.machineTypes[i]
		}
	}
	return nil
}

// Capacity is what an empty machine of a type has: CPUs, GPUs and memory in GB. It is false for an unknown type.
func (s *Scheduler) Capacity(machineType string) (cpus, gpus, memory float64, ok bool) {
	t := s.machineType(machineType)
	if t == nil {
		return 0, 0, 0, false
	}
	return t.CPUs, t.GPUs, t.MemoryGB, true
}
