package scheduler

import (
	"iter"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// maxImages bounds the images that are remembered to be on a machine.
const maxImages = 64

// machine is what is kept of a machine that has reported.
type machine struct {
	status       *jobstate.MachineStatus
	host         placement.Host // its free room, if counted
	counted      bool
	images       map[string]bool                   // that its tasks have used
	runningSince map[jobstate.AttemptRef]time.Time // since when a listed task was seen running
}

// CompletedTask is a task that ran to completion.
type CompletedTask struct {
	Job string
	Ran time.Duration // since it was first seen running
}

// Observation is what a machine's status says of its tasks for the first time.
type Observation struct {
	Started   []jobstate.AttemptRef // seen running
	Completed []CompletedTask
}

// ObserveMachine takes in a machine's newer status.
func (s *Scheduler) ObserveMachine(status *jobstate.MachineStatus, jobs Jobs, now time.Time) Observation {
	m := s.machines[status.Machine]
	if m == nil {
		m = &machine{images: map[string]bool{}}
		s.machines[status.Machine] = m
		s.placeable = append(s.placeable, m)
	}
	m.status, m.counted = status, false
	observed := m.observeTasks(now)
	s.forgetFinishedEvictions(status)
	m.rememberImages(jobs)
	return observed
}

// observeTasks brings up to date since when the listed tasks run.
func (m *machine) observeTasks(now time.Time) (observed Observation) {
	running := make(map[jobstate.AttemptRef]time.Time, len(m.status.Tasks))
	for _, t := range m.status.Tasks {
		ref := t.Ref()
		since, known := m.runningSince[ref]
		switch {
		case t.State == protocol.Running && known:
			running[ref] = since
		case t.State == protocol.Running:
			running[ref] = now
			observed.Started = append(observed.Started, ref)
		case known && t.Reason == protocol.ReasonDone:
			observed.Completed = append(observed.Completed, CompletedTask{t.Job, now.Sub(since)})
		}
	}
	m.runningSince = running
	return observed
}

// rememberImages adds the images of the listed tasks.
func (m *machine) rememberImages(jobs Jobs) {
	if len(m.images) > maxImages {
		clear(m.images)
	}
	for _, t := range m.status.Tasks {
		if j, known := jobs.Job(t.Job); known {
			m.images[j.Spec.Image] = true
		}
	}
}

// RemoveMachine forgets a machine that is gone for good.
func (s *Scheduler) RemoveMachine(name string) {
	m := s.machines[name]
	if m == nil {
		return
	}
	delete(s.machines, name)
	s.placeable = slices.DeleteFunc(s.placeable, func(x *machine) bool { return x == m })
}

// RunningSince is when a task on a machine was first seen running; false if it is not listed as running.
func (s *Scheduler) RunningSince(machineName string, ref jobstate.AttemptRef) (since time.Time, running bool) {
	if m := s.machines[machineName]; m != nil {
		since, running = m.runningSince[ref]
	}
	return since, running
}

// InvalidateMachines has the free room of machines counted anew before it is next used.
func (s *Scheduler) InvalidateMachines(names iter.Seq[string]) {
	for name := range names {
		if m := s.machines[name]; m != nil {
			m.counted = false
		}
	}
}

// InvalidateAllMachines has the free room of all machines counted anew before it is next used.
func (s *Scheduler) InvalidateAllMachines() {
	for _, m := range s.placeable {
		m.counted = false
	}
}

// Room is a machine with its free room as far as it is known here; false if its type is unknown. Machines where
// attempts came or went since are to be invalidated first.
func (s *Scheduler) Room(name string, assignments Assignments) (placement.Host, bool) {
	m := s.machines[name]
	if m == nil || !s.count(m, assignments) {
		return placement.Host{}, false
	}
	return m.host, true
}

// Hosts lists the machines that may take tasks, with their free room as far as it is known here; those only that have
// room for least, if that is not nil. A stale guess costs a refusal at the machine's home. Only machines where
// something changed are counted anew. The hosts are valid until the next call of the same kind.
func (s *Scheduler) Hosts(snapshot Snapshot, now time.Time, least *placement.Request) []*placement.Host {
	s.InvalidateMachines(snapshot.TakeChangedMachines())
	accepts, plan := snapshot.AcceptingMachines(now), snapshot.Plan()
	buffer := &s.hostsWithRoom
	if least == nil {
		buffer = &s.allHosts
	}
	*buffer = (*buffer)[:0]
	for _, m := range s.placeable {
		if !s.count(m, snapshot) || least != nil && !least.Fits(&m.host) || !accepts(m.status) {
			continue
		}
		*buffer = append(*buffer, m.host)
		(*buffer)[len(*buffer)-1].ReservedClass = plan.ReservedClass(m.status.Machine)
	}
	hosts := make([]*placement.Host, len(*buffer))
	for i := range *buffer {
		hosts[i] = &(*buffer)[i]
	}
	return hosts
}

// count brings a machine's free room up to date; false if its type is unknown.
func (s *Scheduler) count(m *machine, assignments Assignments) bool {
	if m.counted {
		return true
	}
	status := m.status
	t := slices.IndexFunc(s.machineTypes, func(t protocol.MachineType) bool { return t.Name == status.Type })
	if t < 0 {
		return false
	}
	machineType := &s.machineTypes[t]
	h := placement.Host{
		Name:             status.Machine,
		Type:             t,
		Zone:             s.zoneIndex(status.Zone),
		Spot:             status.Spot,
		Incarnation:      status.Incarnation,
		PricePerHour:     machineType.PricePerHour,
		FetchGBPerSecond: machineType.FetchGBPerSecond,
		Images:           m.images,
		Pulls:            pullsOn(status, assignments),
	}
	if status.Spot {
		h.PricePerHour = machineType.SpotPricePerHour
	}
	h.CPUs, h.GPUs, h.MemoryGB = s.freeRoom(m, assignments)
	m.host, m.counted = h, true
	return true
}

// pullsOn counts the images that a machine fetches.
func pullsOn(status *jobstate.MachineStatus, jobs Jobs) int {
	images := map[string]bool{}
	for _, t := range status.Tasks {
		if t.State != protocol.Pulling {
			continue
		}
		if j, known := jobs.Job(t.Job); known {
			images[j.Spec.Image] = true
		}
	}
	return len(images)
}

// freeRoom is a machine's room beside what it lists and what own teams hold there.
func (s *Scheduler) freeRoom(m *machine, assignments Assignments) (cpus, gpus, memory float64) {
	cpus, gpus, memory, _ = s.Capacity(m.status.Type)
	listed := map[jobstate.AttemptRef]bool{}
	for _, t := range m.status.Tasks {
		listed[t.Ref()] = true
		if t.State == protocol.Exited {
			continue
		}
		if j, known := assignments.Job(t.Job); known {
			cpus, gpus, memory = cpus-j.Spec.CPUs, gpus-j.Spec.GPUs, memory-j.Spec.MemoryGB
		}
	}
	assignments.AssignmentsOn(m.status.Machine, func(a jobstate.Assignment) {
		if !listed[a.Ref()] {
			cpus, gpus, memory = cpus-a.CPUs, gpus-a.GPUs, memory-a.Memory
		}
	})
	return cpus, gpus, memory
}
