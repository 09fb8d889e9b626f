// Package settings reads and checks the file that the platform hands to every
// controller. Unknown fields are ignored; a wrong or missing one ends the start
// with one line naming it.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"time"
)

// Settings is one controller's view of its deployment.
type Settings struct {
	Name       string     `json:"host_name"`
	Zone       string     `json:"zone"`
	Listen     string     `json:"serve_on"`
	PeerListen string     `json:"peer_listen"`
	Peers      []Peer     `json:"seeds"`
	Outside    Outside    `json:"outside"`
	Deployment Deployment `json:"deployment"`
}

// Peer is another controller.
type Peer struct {
	Name     string `json:"host_name"`
	Zone     string `json:"zone"`
	Endpoint string `json:"endpoint"`
}

// Outside holds the addresses of the region's services.
type Outside struct {
	Cloud   string `json:"cloud"`
	KVStore string `json:"state"`
}

// Deployment is what all controllers share.
type Deployment struct {
	Size             int         `json:"initial_size"`
	Zones            []string    `json:"zones"`
	Teams            []Team      `json:"teams"`
	Objectives       []Objective `json:"objectives"`
	Agents           Agents      `json:"workers"`
	KVStore          KVStore     `json:"state"`
	Cloud            Cloud       `json:"cloud"`
	Limits           Limits      `json:"limits"`
	ClockErrorMillis float64     `json:"clock_off_ms"`
}

// Team is one tenant with its guarantee and limit. In the file a limit of 0 means
// that there is none; here that is infinity.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective repeats one aim of the users.
type Objective struct {
	Kind          string  `json:"kind"`
	Class         string  `json:"class"`
	WithinSeconds float64 `json:"within_s"`
	Share         float64 `json:"share"`
	Times         float64 `json:"times"`
}

// Agents holds the workers' periods, in seconds.
type Agents struct {
	HeartbeatSeconds float64 `json:"report_s"`
	LeaseSeconds     float64 `json:"lease_s"`
	GangWaitSeconds  float64 `json:"gang_wait_s"`
	GangPeerSeconds  float64 `json:"gang_peer_s"`
	CancelSeconds    float64 `json:"cancel_s"`
}

// KVStore holds the limits of the state service, shared by all controllers.
type KVStore struct {
	RequestsPerSecond     float64 `json:"rps"`
	ChangesPerSecond      float64 `json:"write_rps"`
	ValueKB               float64 `json:"value_kb"`
	ChangesPerTransaction int     `json:"txn_ops"`
}

// Cloud holds the limits of the cloud, shared by all controllers.
type Cloud struct {
	RequestsPerSecond float64 `json:"rps"`
	ListLagSeconds    float64 `json:"list_lag_s"`
}

// Limits is what one controller may use.
type Limits struct {
	Cores      float64 `json:"cores"`
	MemoryMB   float64 `json:"memory_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// Seconds turns an amount of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ControllerNames is the names of all controllers, in order.
func (s *Settings) ControllerNames() []string {
	names := []string{s.Name}
	for _, p := range s.Peers {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	return names
}

// Load reads and checks the settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse checks settings given as JSON.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	bad := func(field, format string, args ...any) error {
		return fmt.Errorf("field %s: %s", field, fmt.Sprintf(format, args...))
	}
	if s.Name == "" {
		return bad("host_name", "missing")
	}
	addrs := []struct{ field, value string }{
		{"serve_on", s.Listen}, {"peer_listen", s.PeerListen},
		{"outside.cloud", s.Outside.Cloud}, {"outside.state", s.Outside.KVStore},
	}
	seen := map[string]bool{s.Name: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("seeds[%d]", i)
		if p.Name == "" || seen[p.Name] {
			return bad(field+".host_name", "missing or not unique")
		}
		seen[p.Name] = true
		addrs = append(addrs, struct{ field, value string }{field + ".endpoint", p.Endpoint})
	}
	for _, a := range addrs {
		if ap, err := netip.ParseAddrPort(a.value); err != nil || !ap.Addr().Is4() || ap.Port() == 0 {
			return bad(a.field, "%q is not an IPv4 address with a port", a.value)
		}
	}
	d := &s.Deployment
	if d.Size != 0 && d.Size != len(s.Peers)+1 {
		return bad("deployment.initial_size", "is %d, but with seeds there are %d controllers", d.Size, len(s.Peers)+1)
	}
	if len(d.Zones) == 0 {
		return bad("deployment.zones", "missing")
	}
	if i := duplicate(d.Zones); i >= 0 {
		return bad(fmt.Sprintf("deployment.zones[%d]", i), "%q is given twice or empty", d.Zones[i])
	}
	if len(d.Teams) == 0 {
		return bad("deployment.teams", "missing")
	}
	names := make([]string, len(d.Teams))
	for i, t := range d.Teams {
		names[i] = t.Name
		for _, v := range []struct {
			field string
			value float64
		}{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if v.value < 0 || v.value > 1e9 || math.IsNaN(v.value) {
				return bad(fmt.Sprintf("deployment.teams[%d].%s", i, v.field), "%g is out of range", v.value)
			}
		}
		for _, limit := range []*float64{&d.Teams[i].CPUsMax, &d.Teams[i].GPUsMax} {
			if *limit == 0 {
				*limit = math.Inf(1)
			}
		}
	}
	if i := duplicate(names); i >= 0 {
		return bad(fmt.Sprintf("deployment.teams[%d].name", i), "%q is given twice or empty", names[i])
	}
	for i, o := range d.Objectives {
		if o.WithinSeconds < 0 || o.Share < 0 || o.Share > 1 || o.Times < 0 {
			return bad(fmt.Sprintf("deployment.objectives[%d]", i), "negative amount or share above 1")
		}
	}
	for _, v := range []struct {
		field         string
		value, lo, hi float64
	}{
		{"workers.report_s", d.Agents.HeartbeatSeconds, 0.1, 600},
		{"workers.lease_s", d.Agents.LeaseSeconds, 0.5, 3600},
		{"workers.gang_wait_s", d.Agents.GangWaitSeconds, 0, 3600},
		{"workers.gang_peer_s", d.Agents.GangPeerSeconds, 0, 3600},
		{"workers.cancel_s", d.Agents.CancelSeconds, 1, 3600},
		{"state.rps", d.KVStore.RequestsPerSecond, 1, 1e6},
		{"state.write_rps", d.KVStore.ChangesPerSecond, 1, 1e6},
		{"state.value_kb", d.KVStore.ValueKB, 1, 1 << 16},
		{"state.txn_ops", float64(d.KVStore.ChangesPerTransaction), 4, 1e4},
		{"cloud.rps", d.Cloud.RequestsPerSecond, 0.1, 1e6},
		{"cloud.list_lag_s", d.Cloud.ListLagSeconds, 0, 600},
		{"limits.cores", d.Limits.Cores, 0.01, 1024},
		{"limits.memory_mb", d.Limits.MemoryMB, 32, 1 << 20},
		{"limits.max_sockets", float64(d.Limits.MaxSockets), 64, 1 << 20},
		{"clock_off_ms", d.ClockErrorMillis, 0, 60000},
	} {
		if !(v.value >= v.lo && v.value <= v.hi) {
			return bad("deployment."+v.field, "%g is not between %g and %g", v.value, v.lo, v.hi)
		}
	}
	return nil
}

// duplicate is the index of the first empty or repeated name, or -1.
func duplicate(names []string) int {
	seen := map[string]bool{}
	for i, n := range names {
		if n == "" || seen[n] {
			return i
		}
		seen[n] = true
	}
	return -1
}
