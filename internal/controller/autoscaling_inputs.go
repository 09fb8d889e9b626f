package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"topazhollow/internal/autoscaler"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/protocol"
	"topazhollow/internal/provisioning"
)

// The inputs of the fleet owner's decisions.

// fleetLogInterval is how often the log describes the whole fleet.
const fleetLogInterval = 20 * time.Second

// peerStatusLife is how long the demands and barriers of a peer's last status count.
const peerStatusLife = 3 * time.Second

// fleetMachines describes every machine that is listed by the cloud, registered, sending heartbeats, or newly acquired.
func (n *Node) fleetMachines(state *provisioning.Provisioner, now time.Time) []autoscaler.Machine {
	n.scheduler.InvalidateMachines((*schedulerSnapshot)(n).TakeChangedMachines())
	known := func(yield func(string) bool) {
		for name, m := range n.machines {
			if !m.gone && (m.status != nil || n.roster.Has(name)) && !yield(name) {
				return
			}
		}
	}
	awaited, unanswered := n.awaited(now)
	candidates := state.Candidates(known)
	observations := make([]provisioning.Observation, 0, len(candidates))
	for _, name := range candidates {
		m := n.machine(name)
		if m.gone {
			continue
		}
		observed := n.observeMachine(m, name, now)
		observed.Machine.AwaitedByBarrier, observed.Machine.ProbeUnanswered = awaited[name], unanswered[name]
		observations = append(observations, observed)
	}
	return state.Describe(observations, now)
}

// observeMachine describes a machine by its last known status, its free capacity, and the tasks on it.
func (n *Node) observeMachine(m *machine, name string, now time.Time) provisioning.Observation {
	observed := provisioning.Observation{Reported: m.status != nil, Machine: autoscaler.Machine{
		Name:          name,
		LastHeartbeat: m.LastSeenAt(),
		IdleSince:     m.idleSince,
		Registered:    n.roster.Has(name),
		Faulty:        n.quarantine.IsMachineBad(name, now),
	}}
	if m.status == nil {
		return observed
	}
	x := &observed.Machine
	x.HomeUnreachable = n.homeUnreachable(name, now)
	x.Type, x.Zone, x.Spot, x.SpotNotice = m.status.Type, m.status.Zone, m.status.Spot, m.status.Notice
	if host, known := n.scheduler.Room(name, (*schedulerSnapshot)(n)); known && host.ListedBytes >= protocol.ListedBytes(0) {
		x.FreeCPUs, x.FreeGPUs, x.FreeMemory = host.CPUs, host.GPUs, host.MemoryGB
	}
	for _, task := range m.status.Tasks {
		if j := n.jobs[task.Job]; j != nil && task.State != protocol.Exited {
			x.Tasks = append(x.Tasks, n.runningTaskOf(name, j.spec, task.Ref(), now))
		}
	}
	return observed
}

// runningTaskOf describes the resources that a task on a machine takes, and the estimated time until it ends.
func (n *Node) runningTaskOf(machine string, spec *protocol.Submission, ref jobstate.AttemptRef, now time.Time) autoscaler.RunningTask {
	left := max(spec.EstimateSeconds, 1)
	if spec.Kind == protocol.Service {
		left = autoscaler.ServiceRunSeconds
	} else if since, running := n.scheduler.RunningSince(machine, ref); running {
		left = max(left-now.Sub(since).Seconds(), left/8)
	}
	return autoscaler.RunningTask{
		CPUs:         spec.CPUs,
		GPUs:         spec.GPUs,
		Memory:       spec.MemoryGB,
		SecondsLeft:  left,
		OnDemandOnly: !spec.Spot,
	}
}

// homeUnreachable returns whether a machine's home is another member that holds its lease but is not reachable from
// this controller, as when connections between controllers are refused. In that case this controller receives no status
// of the machine either.
func (n *Node) homeUnreachable(name string, now time.Time) bool {
	home := n.homeOf(name)
	p := n.peers[home]
	return p != nil && n.leadership.Record().IsMember(home, n.leadership.Presence(home).Incarnation) && !p.isReachable(now)
}

// awaited returns the machines that any owner's barrier waits for, and those that did not answer their home's probe.
func (n *Node) awaited(now time.Time) (awaited, unanswered map[string]bool) {
	awaited, unanswered = map[string]bool{}, map[string]bool{}
	add := func(to map[string]bool, names []string) {
		for _, name := range names {
			to[name] = true
		}
	}
	add(awaited, n.shards.AwaitedMachines())
	add(unanswered, n.unansweredProbes())
	for _, p := range n.peers {
		if now.Sub(p.lastMessageAt) < peerStatusLife {
			add(awaited, p.awaitedMachines)
			add(unanswered, p.unansweredMachines)
		}
	}
	return awaited, unanswered
}

// fleetDemands lists the demands of all teams, most urgent first.
func (n *Node) fleetDemands(now time.Time) []autoscaler.Demand {
	list := n.appendFleetDemands(nil, n.demands(now), now)
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if p := n.peers[name]; now.Sub(p.lastMessageAt) < peerStatusLife && p.entitled {
			list = n.appendFleetDemands(list, p.demands, now)
		}
	}
	slices.SortStableFunc(list, func(a, b autoscaler.Demand) int {
		if d := protocol.Rank(b.Spec.Priority) - protocol.Rank(a.Spec.Priority); d != 0 {
			return d
		}
		return a.Due.Compare(b.Due)
	})
	return list
}

// appendFleetDemands adds one controller's demands of active jobs.
func (n *Node) appendFleetDemands(list []autoscaler.Demand, demands []demand, now time.Time) []autoscaler.Demand {
	for _, d := range demands {
		j := n.jobs[d.Job]
		if j == nil || !j.active {
			continue
		}
		behind := time.Duration(d.QuotaDelay) * time.Millisecond
		list = append(list, autoscaler.Demand{
			Spec:            specInZone(j.spec, d.Zone),
			Count:           d.Count - len(d.Held),
			Held:            d.Held,
			CPUsBeyondQuota: d.CPUsBeyondQuota,
			Due:             n.dueTime(j, now).Add(-behind),
			PreferSpot:      protocol.Rank(j.spec.Priority) == 0 && len(n.objectives(j)) == 0,
		})
	}
	return list
}

// arrivalWindow is how far back submitted jobs count as arrivals.
const arrivalWindow = time.Minute

// arrivals returns the CPUs, by priority rank, that the jobs submitted within the last arrivalWindow keep busy on
// average.
func (n *Node) arrivals(now time.Time) autoscaler.Arrivals {
	in := autoscaler.Arrivals{}
	for _, j := range n.jobs {
		if j.spec.Kind != protocol.Service && !j.waits && !j.waitingSince.IsZero() && now.Sub(j.waitingSince) < arrivalWindow {
			work := float64(j.spec.Tasks) * j.spec.CPUs * j.spec.EstimateSeconds
			in[protocol.Rank(j.spec.Priority)] += work / arrivalWindow.Seconds()
		}
	}
	return in
}

// dueTime returns when a job should be complete, by which the autoscaler decides how many machines to acquire. The
// safety time is the job's estimated run time multiplied by the option SafetyRunTimes. A job without an objective is
// due 5 s and its safety time after its submission. A job that is already late is due in a minute and its safety time:
// an earlier due time would acquire more machines without helping the job, as a new machine takes about a minute to
// come up.
func (n *Node) dueTime(j *job, now time.Time) time.Time {
	objective, late := n.nextObjective(j, now)
	safetyTime := time.Duration(n.options.SafetyRunTimes * float64(j.spec.RunTime()))
	switch {
	case late:
		return now.Add(safetyTime + time.Minute)
	case len(n.objectives(j)) == 0:
		return j.waitingSince.Add(safetyTime + 5*time.Second)
	}
	return objective
}

// fleetSummary describes the whole fleet for the log.
type fleetSummary struct {
	up, spot, silent          int     // machines
	waiting, pulling, running int     // tasks
	freeCPUs, allCPUs         float64 // of machines that are up
}

// logFleet logs a summary of the fleet at every fleetLogInterval, so that an incident can be followed from the log
// alone.
func (n *Node) logFleet(p *provisioner, machines []autoscaler.Machine, demands []autoscaler.Demand, actions *provisioning.Actions, now time.Time) {
	if now.Sub(p.loggedAt) < fleetLogInterval {
		return
	}
	p.loggedAt = now
	s := n.summarise(machines, demands, now)
	freeShare := math.Round(1000*s.freeCPUs/max(s.allCPUs, 1)) / 1000
	n.log.Info("fleet", "machines", s.up, "spot", s.spot, "on_their_way", len(machines)-s.up, "silent", s.silent, "retired", actions.Retired,
		"free_share", freeShare, "tasks_running", s.running, "tasks_pulling", s.pulling, "tasks_waiting", s.waiting)
	n.logOutlook(&actions.Outlook)
}

// logOutlook logs what the autoscaler expects of the waiting tasks, which tells why machines are acquired or not.
func (n *Node) logOutlook(o *autoscaler.Outlook) {
	n.log.Info("waiting tasks", "in_time", o.InTime, "on_new_machines", o.Acquiring, "new_machine_no_sooner", o.NoSooner, "no_capacity", o.Refused,
		"no_machine_type", o.NoPool, "machines_requested", o.Requested, "pools_refusing", o.Unavailable, "expected_boot_s", math.Round(o.LongestBootSeconds),
		"longest_wait_s", math.Round(o.LongestWaitSeconds), "cannot_grow", o.CannotGrow)
}

// summarise counts machines and tasks by state, and sums up the CPUs.
func (n *Node) summarise(machines []autoscaler.Machine, demands []autoscaler.Demand, now time.Time) (s fleetSummary) {
	for i := range machines {
		m := n.machines[machines[i].Name]
		if m.status == nil {
			continue
		}
		s.up++
		if machines[i].Spot {
			s.spot++
		}
		if now.Sub(m.HeardAt) > n.unreachableHomes.Timing().RedirectTimeout {
			s.silent++
		}
		cpus, _, _, _ := n.scheduler.Capacity(m.status.Type)
		s.freeCPUs += machines[i].FreeCPUs
		s.allCPUs += cpus
		for _, task := range m.status.Tasks {
			switch task.State {
			case protocol.Pulling:
				s.pulling++
			case protocol.Running:
				s.running++
			}
		}
	}
	for _, d := range demands {
		s.waiting += d.Count
	}
	return s
}

// specInZone returns a job's specification with its tasks bound to a zone, or unchanged if the zone is "".
func specInZone(spec *protocol.Submission, zone string) *protocol.Submission {
	if zone == "" {
		return spec
	}
	bound := *spec
	bound.Zone = &zone
	return &bound
}
