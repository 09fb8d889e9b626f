package loadtest

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarizes a histogram.
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

// Machine describes the machine on which a run took place.
type Machine struct {
	Cores   int     `json:"cores"`
	Memory  float64 `json:"memory_mb"`
	Go      string  `json:"go"`
	Allowed int     `json:"cores_allowed"` // usable by the run's processes
}

func thisMachine() Machine {
	return Machine{Cores: countCPUs(), Memory: readField("/proc/meminfo", "MemTotal:") / 1024, Go: runtime.Version(), Allowed: runtime.NumCPU()}
}

// ControllerOverview is a part of a controller's overview at the end of the run.
type ControllerOverview struct {
	Node           string   `json:"node"`
	Entitled       bool     `json:"entitled"`
	UnheardPeers   []string `json:"unheard_peers,omitempty"`
	LastStandstill float64  `json:"last_stood_still_s,omitempty"`
	Machines       struct {
		Known  int `json:"known"`
		Homed  int `json:"homed_here"`
		Silent int `json:"silent"`
	} `json:"machines"`
	Jobs int `json:"active_jobs"`

	Items         int `json:"items_owned"`
	WithoutBackup int `json:"items_without_backup"` // without a backup in sync
}

// overview is a controller's overview as decoded. Only the numbers of its items are kept.
type overview struct {
	ControllerOverview
	Items map[string]struct {
		InSync []string `json:"in_sync"`
	} `json:"items"`
}

// withItemCounts returns the part of the overview that is kept, with the numbers of items.
func (o *overview) withItemCounts() ControllerOverview {
	s := o.ControllerOverview
	s.Items = len(o.Items)
	for _, item := range o.Items {
		if len(item.InSync) == 0 {
			s.WithoutBackup++
		}
	}
	return s
}

// Result holds the measurements of one run. Rates are means over the measured time.
type Result struct {
	Began       time.Time `json:"began"`
	Controller  string    `json:"controller"` // the program's name
	Machine     Machine   `json:"machine"`
	Config      Config    `json:"config"`
	Stopped     string    `json:"stopped,omitempty"` // why the run was aborted
	Settled     bool      `json:"settled"`           // agents were connected and services ran before measuring began
	SettledIn   float64   `json:"settled_in_s"`
	Measured    float64   `json:"measured_s"`
	MachineBusy float64   `json:"machine_busy_cores"` // whole machine, including other programs
	OthersBusy  float64   `json:"others_busy_cores"`  // programs that are not part of the run

	Controllers    []Usage `json:"controllers"`
	AgentProcesses []Usage `json:"worker_processes"`
	StandIns       Usage   `json:"stand_ins_and_users"`

	Heartbeats       float64              `json:"reports_per_s"`
	Starts           float64              `json:"starts_per_s"`
	Ends             float64              `json:"ends_per_s"`
	Running          int                  `json:"tasks_running"` // at the end
	Connected        int                  `json:"workers_answered"`
	LeasesExpired    int64                `json:"worker_leases_ended"`
	Redirected       int64                `json:"reports_moved"`
	HeartbeatsFailed int64                `json:"reports_failed"`
	BytesPerAgent    float64              `json:"worker_bytes_per_s"` // per agent, both directions, bodies only
	UrgentWait       Quantiles            `json:"urgent_start_wait_ms"`
	UsualWait        Quantiles            `json:"usual_start_wait_ms"`
	HeartbeatLatency Quantiles            `json:"report_to_answer_us"`
	LongestGap       float64              `json:"longest_gap_between_starts_s"`
	MaxQuotaUse      float64              `json:"most_used_of_a_limit"` // greatest share; 1: a team reached its limit
	Polls            float64              `json:"polls_per_s"`
	UsersRetried     int64                `json:"submissions_retried"`
	NotSubmitted     int64                `json:"jobs_not_submitted"`
	Traffic          []Traffic            `json:"traffic"`
	StoreRefused     int                  `json:"store_refused"`
	MachinesReturned int                  `json:"machines_returned"`
	Overviews        []ControllerOverview `json:"seen"`
	Broken           []string             `json:"broken,omitempty"`
	BrokenCount      int                  `json:"breaks"`
}

// Write writes the result to a JSON file.
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

// meanOf returns the mean of one figure over processes.
func meanOf(list []Usage, of func(Usage) float64) float64 {
	sum := 0.0
	for _, u := range list {
		sum += of(u)
	}
	return sum / float64(max(1, len(list)))
}

// maxOf returns the maximum of one figure over processes.
func maxOf(list []Usage, of func(Usage) float64) float64 {
	top := 0.0
	for _, u := range list {
		top = max(top, of(u))
	}
	return top
}

// messageRate returns the rate per second of a count over the messages of one kind; an empty kind means all kinds.
func (r *Result) messageRate(between, kind string, of func(Traffic) int64) float64 {
	sum := int64(0)
	for _, t := range r.Traffic {
		if t.Between == between && (kind == "" || t.Kind == kind) {
			sum += of(t)
		}
	}
	return float64(sum) / max(r.Measured, 1e-3)
}
