package controller

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/datarecovery"
	"topazhollow/internal/dependencies"
	"topazhollow/internal/jobstate"
	"topazhollow/internal/shards"
)

// overview is the body of the answer to GET /overview: the state of one controller, for operators and their tools.
type overview struct {
	Node             string                   `json:"node"`
	Version          string                   `json:"version"`
	Term             uint64                   `json:"term"`
	Entitled         bool                     `json:"entitled"`
	CancellationLag  *float64                 `json:"horizon_behind_s"` // age of the cancellation watermark; nil: unknown
	Cancellations    uint64                   `json:"withdrawals_told"` // cancellations that this process confirmed to users
	Members          []string                 `json:"members"`
	Unreachable      []string                 `json:"deaf,omitempty"` // controllers that agents cannot reach
	UnreachablePeers []string                 `json:"unheard_peers,omitempty"`
	LastStall        float64                  `json:"last_stood_still_s,omitempty"`
	FaultyJobs       int                      `json:"faulty_jobs,omitempty"`
	SlowBoots        []string                 `json:"late_machines,omitempty"` // locations where machines boot late
	Owners           map[string]string        `json:"owners"`
	Shards           map[string]shardOverview `json:"items"`
	Machines         machinesOverview         `json:"machines"`
	ActiveJobs       int                      `json:"active_jobs"`
	WaitingJobs      map[string]int           `json:"waiting_jobs,omitempty"` // active jobs that wait for others, by team
	StartLatencies   map[string]int64         `json:"start_wait_ms"`
	Admission        admission.Status         `json:"admission"`
	Store            datarecovery.Status      `json:"store"`
	Config           *configOverview          `json:"configuration,omitempty"`
}

// shardOverview describes a shard that the controller owns.
type shardOverview struct {
	Phase     string   `json:"phase"`
	SinceTerm uint64   `json:"since_term"`
	InSync    []string `json:"in_sync"`
	Awaited   int      `json:"barrier_waits_for"`
	Jobs      int      `json:"jobs"`
	Waiting   int      `json:"waiting_tasks"`
	Assigned  int      `json:"held_tasks"`
	Unproven  int      `json:"unproven_starts"`
	Returned  int      `json:"returned_attempts,omitempty"` // released attempts that a machine listed again
	CPUs      float64  `json:"cpus_used"`
	GPUs      float64  `json:"gpus_used"`
}

// machinesOverview counts the machines that the controller knows.
type machinesOverview struct {
	Known  int `json:"known"`
	Here   int `json:"homed_here"`
	Silent int `json:"silent"`
	Idle   int `json:"idle"`
}

// latencyQuantiles maps the names of the start latency's quantiles in the overview to their percentages.
var latencyQuantiles = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "max": 100}

// overview collects the overview of this controller.
func (n *Node) overview(now time.Time) overview {
	n.mu.Lock()
	defer n.mu.Unlock()
	o := overview{
		Node:             n.name,
		Version:          Version,
		Entitled:         n.entitled(now),
		Owners:           map[string]string{},
		Shards:           map[string]shardOverview{},
		Machines:         n.machinesOverview(now),
		StartLatencies:   n.startLatencies(),
		Cancellations:    n.cancelWatermark.Confirmed(),
		Admission:        n.admissionStatus(now),
		Store:            n.recovery.storeStatus(),
		Config:           n.configStatus(now),
		UnreachablePeers: n.unreachablePeers(now),
		LastStall:        n.lastStall.Seconds(),
		SlowBoots:        n.provisioner.slowBootLocations(),
	}
	n.addLeadership(&o, now)
	for shard := range n.shards.All() {
		o.Shards[shard.Name()] = n.shardOverview(shard)
	}
	n.countJobs(&o)
	return o
}

// countJobs adds the numbers of active jobs.
func (n *Node) countJobs(o *overview) {
	for uid, j := range n.jobs {
		if !j.active {
			continue
		}
		o.ActiveJobs++
		if n.quarantine.IsJobFaulty(uid) {
			o.FaultyJobs++
		}
		if j.waits && n.dependencies.graph.State(uid) == dependencies.Waiting {
			if o.WaitingJobs == nil {
				o.WaitingJobs = map[string]int{}
			}
			o.WaitingJobs[j.spec.Team]++
		}
	}
}

// addLeadership adds the contents of the membership record and the cancellation lag.
func (n *Node) addLeadership(o *overview, now time.Time) {
	if record := n.leadership.Record(); record != nil {
		o.Term, o.Members, o.Unreachable = record.Term, record.Members(), record.Unreachable
		for name, shard := range record.Shards {
			o.Owners[name] = shard.Owner
		}
	}
	if until := n.cancelWatermark.KnownUntil(now); !until.IsZero() {
		lag := now.Sub(until).Seconds()
		o.CancellationLag = &lag
	}
}

// shardOverview describes a shard that this controller owns.
func (n *Node) shardOverview(shard *shards.Owned) shardOverview {
	x := shardOverview{
		Phase:     shard.Phase().String(),
		SinceTerm: shard.SinceTerm(),
		Awaited:   shard.AwaitedCount(),
		InSync:    n.leadership.Record().Shards[shard.Name()].InSync,
	}
	if shard.IsFleet() {
		return x
	}
	shard.Team().Jobs(func(j *jobstate.Job) {
		x.Jobs++
		x.Waiting += j.Unstarted()
	})
	x.Assigned, x.Unproven = shard.Team().Assignments().Count()
	x.Returned = shard.Team().Returned().Count()
	used := shard.Team().Quota().Used()
	x.CPUs, x.GPUs = used.CPUs, used.GPUs
	return x
}

// machinesOverview counts machines by state.
func (n *Node) machinesOverview(now time.Time) machinesOverview {
	x := machinesOverview{Here: len(n.agents.All())}
	silent := 2 * n.unreachableHomes.Timing().RedirectTimeout
	for _, m := range n.machines {
		if m.gone || m.status == nil {
			continue
		}
		x.Known++
		if now.Sub(m.HeardAt) > silent {
			x.Silent++
		}
		if !m.idleSince.IsZero() {
			x.Idle++
		}
	}
	return x
}

// unreachablePeers lists the controllers that have sent no message within unreachableAfter.
func (n *Node) unreachablePeers(now time.Time) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if !n.peers[name].isReachable(now) {
			names = append(names, name)
		}
	}
	return names
}

// startLatencies returns the count and the quantiles of the times from submission to start, in milliseconds.
func (n *Node) startLatencies() map[string]int64 {
	waits := map[string]int64{"count": n.startLatency.TotalCount()}
	for name, q := range latencyQuantiles {
		waits[name] = n.startLatency.ValueAtQuantile(q)
	}
	return waits
}
