package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"topazhollow/internal/jobstate"
	"topazhollow/internal/placement"
	"topazhollow/internal/protocol"
)

// maxImages is the number of images recorded per machine above which they are discarded and recorded again.
const maxImages = 64

// machine is the cached state of a machine that has reported.
type machine struct {
	order        uint64 // counts machines in order of their first report
	status       *jobstate.MachineStatus
	host         placement.Host                    // valid if roomCurrent
	roomCurrent  bool                              // host's free capacity is up to date
	images       map[string]bool                   // images of its present and earlier tasks
	runningSince map[jobstate.AttemptRef]time.Time // when each running task was first seen running
	removed      bool                              // it has been released or lost

	// Its entry in hostIndex.
	passHost  placement.Host // the host as the current pass has left it
	hostStale bool           // passHost and accepts are to be updated
	accepts   bool           // it accepts tasks
	expiresAt time.Time      // when it is queued to be checked; zero if it is not queued
}

// compareOrder compares machines by their first report.
func (m *machine) compareOrder(o *machine) int { return cmp.Compare(m.order, o.order) }

// CompletedTask is a task that ran to completion.
type CompletedTask struct {
	Job string
	Ran time.Duration // time since it was first seen running
}

// Observation lists the tasks that a machine's status shows as started or completed for the first time.
type Observation struct {
	Started   []jobstate.AttemptRef // first seen running
	Completed []CompletedTask
}

// ObserveMachine applies a newer status of a machine.
func (s *Scheduler) ObserveMachine(status *jobstate.MachineStatus, jobs Jobs, now time.Time) Observation {
	m := s.machines[status.Machine]
	if m == nil {
		s.machinesSeen++
		m = &machine{order: s.machinesSeen, images: map[string]bool{}}
		s.machines[status.Machine] = m
		s.orderedMachines = append(s.orderedMachines, m)
	}
	m.status = status
	s.invalidate(m)
	observed := m.observeTasks(now)
	s.forgetFinishedEvictions(status)
	m.rememberImages(jobs)
	return observed
}

// observeTasks updates when each listed task was first seen running.
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

// rememberImages records the images of the listed tasks. If there are more than maxImages already, it first discards
// them.
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

// RemoveMachine removes a machine that has been released or lost.
func (s *Scheduler) RemoveMachine(name string) {
	m := s.machines[name]
	if m == nil {
		return
	}
	delete(s.machines, name)
	if i, found := slices.BinarySearchFunc(s.orderedMachines, m, (*machine).compareOrder); found {
		s.orderedMachines = slices.Delete(s.orderedMachines, i, i+1)
	}
	m.removed = true
	s.hosts.markStale(m)
}

// RunningSince returns when a task on a machine was first seen running, and false if it is not listed as running.
func (s *Scheduler) RunningSince(machineName string, ref jobstate.AttemptRef) (since time.Time, running bool) {
	if m := s.machines[machineName]; m != nil {
		since, running = m.runningSince[ref]
	}
	return since, running
}

// invalidate marks what is cached of a machine as stale.
func (s *Scheduler) invalidate(m *machine) {
	m.roomCurrent = false
	s.hosts.markStale(m)
}

// InvalidateMachines marks the cached free capacity of machines, and whether they accept tasks, as stale.
func (s *Scheduler) InvalidateMachines(names iter.Seq[string]) {
	for name := range names {
		if m := s.machines[name]; m != nil {
			s.invalidate(m)
		}
	}
}

// InvalidateAllMachines is InvalidateMachines for all machines.
func (s *Scheduler) InvalidateAllMachines() {
	for _, m := range s.orderedMachines {
		s.invalidate(m)
	}
}

// Room returns a machine with its free capacity as known to this controller, and false if the machine or its type is
// unknown. Callers must first invalidate the machines whose assigned attempts have changed.
func (s *Scheduler) Room(name string, assignments Assignments) (placement.Host, bool) {
	m := s.machines[name]
	if m == nil || !s.refreshRoom(m, assignments) {
		return placement.Host{}, false
	}
	return m.host, true
}

// refreshRoom recomputes a machine's free capacity if it is stale. It returns false if the machine's type is unknown.
func (s *Scheduler) refreshRoom(m *machine, assignments Assignments) bool {
	if m.roomCurrent {
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
	free, listedBytes := s.freeRoom(m, assignments)
	h.CPUs, h.GPUs, h.MemoryGB, h.ListedBytes = free.cpus, free.gpus, free.memoryGB, listedBytes
	m.host, m.roomCurrent = h, true
	return true
}

// pullsOn counts the images that a machine is pulling.
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

// freeRoom returns a machine's capacity minus the tasks it lists and the unlisted attempts that own teams have assigned
// to it. The bytes are what its heartbeat has left for further tasks: unlike other resources they are also taken by tasks
// that have exited, until they are forgotten.
func (s *Scheduler) freeRoom(m *machine, assignments Assignments) (free room, listedBytes int) {
	free.cpus, free.gpus, free.memoryGB, _ = s.Capacity(m.status.Type)
	listedBytes = protocol.MaxListedBytes
	listed := make(map[jobstate.AttemptRef]bool, len(m.status.Tasks))
	for _, t := range m.status.Tasks {
		listed[t.Ref()] = true
		listedBytes -= protocol.ListedBytes(protocol.TaskNameLength(t.Job, t.Index))
		if t.State == protocol.Exited {
			continue
		}
		if j, known := assignments.Job(t.Job); known {
			free = free.without(j.Spec.CPUs, j.Spec.GPUs, j.Spec.MemoryGB)
		}
	}
	assignments.AssignmentsOn(m.status.Machine, func(a jobstate.Assignment) {
		if !listed[a.Ref()] {
			free = free.without(a.CPUs, a.GPUs, a.Memory)
			listedBytes -= protocol.ListedBytes(protocol.TaskNameLength(a.Job, a.Index))
		}
	})
	return free, listedBytes
}
