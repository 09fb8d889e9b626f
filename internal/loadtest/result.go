package loadtest

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles sums up a histogram.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
}

// Machine is where a run took place.
type Machine struct {
	Cores   int     `json:"cores"`
	Memory  float64 `json:"memory_mb"`
	Go      string  `json:"go"`
	Allowed int     `json:"cores_allowed"` // that the run's processes may use
}

func thisMachine() Machine {
	return Machine{Cores: countCPUs(), Memory: field("/proc/meminfo", "MemTotal:") / 1024, Go: runtime.Version(), Allowed: runtime.NumCPU()}
}

// ControllerOverview is what a controller's overview said at the end.
type ControllerOverview struct {
	Node     string   `json:"node"`
	Entitled bool     `json:"entitled"`
	UnheardPeers  []string `json:"unheard_peers,omitempty"`
	LastStandstill    float64  `json:"last_stood_still_s,omitempty"`
	Machines struct {
		Known  int `json:"known"`
		Homed  int `json:"homed_here"`
		Silent int `json:"silent"`
	} `json:"machines"`
	Jobs int `json:"active_jobs"`

	Items    int `json:"items_owned"`
	WithoutBackup int `json:"items_without_backup"` // whose owner has no backup in sync
}

// overview is the part of a controller's overview that ControllerOverview is made of.
type overview struct {
	ControllerOverview
	Items map[string]struct {
		InSync []string `json:"in_sync"`
	} `json:"items"`
}

// seen counts the items.
func (o *overview) seen() ControllerOverview {
	s := o.ControllerOverview
	s.Items = len(o.Items)
	for _, item := range o.Items {
		if len(item.InSync) == 0 {
			s.WithoutBackup++
		}
	}
	return s
}

// Result is what one run measured. Rates are means over the measured time.
type Result struct {
	Began       time.Time `json:"began"`
	Controller  string    `json:"controller"` // the program's name
	Machine     Machine   `json:"machine"`
	Config      Config    `json:"config"`
	Stopped     string    `json:"stopped,omitempty"` // why the run ended before its time
	Settled     bool      `json:"settled"`           // all agents were answered and all services ran before the measuring began
	SettledIn   float64   `json:"settled_in_s"`
	Measured    float64   `json:"measured_s"`
	MachineBusy float64   `json:"machine_busy_cores"` // of the whole machine, other programs included
	OthersBusy  float64   `json:"others_busy_cores"`  // of it, what was not of this run

	Controllers []Usage `json:"controllers"`
	AgentProcesses     []Usage `json:"worker_processes"`
	StandIns    Usage   `json:"stand_ins_and_users"`

	Heartbeats       float64   `json:"reports_per_s"`
	Starts        float64   `json:"starts_per_s"`
	Ends          float64   `json:"ends_per_s"`
	Running       int       `json:"tasks_running"` // at the end
	Connected         int       `json:"workers_answered"`
	LeasesExpired       int64     `json:"worker_leases_ended"`
	Redirected         int64     `json:"reports_moved"`
	HeartbeatsFailed        int64     `json:"reports_failed"`
	BytesPerAgent   float64   `json:"worker_bytes_per_s"` // per agent, both directions, bodies only
	UrgentWait    Quantiles `json:"urgent_start_wait_ms"`
	UsualWait     Quantiles `json:"usual_start_wait_ms"`
	HeartbeatLatency    Quantiles `json:"report_to_answer_us"`
	LongestGap    float64   `json:"longest_gap_between_starts_s"`
	MaxQuotaUse     float64   `json:"most_used_of_a_limit"` // 1: a team was at its limit
	Polls         float64   `json:"polls_per_s"`
	UsersRetried  int64     `json:"submissions_retried"`
	NotSubmitted  int64     `json:"jobs_not_submitted"`
	Traffic       []Traffic `json:"traffic"`
	StoreRefused  int       `json:"store_refused"`
	MachinesReturned int       `json:"machines_returned"`
	Overviews          []ControllerOverview    `json:"seen"`
	Broken        []string  `json:"broken,omitempty"`
	BrokenCount        int       `json:"breaks"`
}

// Write writes the result as a file.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// ReadResult reads a result file.
func ReadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// mean is the mean of one figure over processes.
func mean(list []Usage, of func(Usage) float64) float64 {
	sum := 0.0
	for _, u := range list {
		sum += of(u)
	}
	return sum / float64(max(1, len(list)))
}

// most is the greatest of one figure over processes.
func most(list []Usage, of func(Usage) float64) float64 {
	top := 0.0
	for _, u := range list {
		top = max(top, of(u))
	}
	return top
}

// messages is the rate of one kind of messages.
func (r *Result) messages(between, kind string, of func(Traffic) int64) float64 {
	sum := int64(0)
	for _, t := range r.Traffic {
		if t.Between == between && (kind == "" || t.Kind == kind) {
			sum += of(t)
		}
	}
	return float64(sum) / max(r.Measured, 1e-3)
}
