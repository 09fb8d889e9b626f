// Package settings reads and checks the settings file that the platform provides to every controller (settings.go,
// check.go), and the operator's options, which a Starlark script sets (script.go). Unknown fields of the file are
// ignored; an invalid or missing one causes a one-line error that names it. Both files are read once at startup.
//
// The names of Go fields with a quantity end in its unit. The names in the file are defined by the platform.
package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"topazhollow/internal/protocol"
)

// Settings is one controller's view of its deployment.
type Settings struct {
	Name       string       `json:"host_name"`
	Zone       string       `json:"zone"`
	Listen     string       `json:"serve_on"`
	PeerListen string       `json:"peer_listen"`
	Peers      []Peer       `json:"seeds"`
	Services   ServiceAddrs `json:"outside"`
	Deployment Deployment   `json:"deployment"`
}

// Peer is another controller.
type Peer struct {
	Name     string `json:"host_name"`
	Zone     string `json:"zone"`
	Endpoint string `json:"endpoint"`
}

// ServiceAddrs holds the addresses of the region's services, as IPv4 address and port.
type ServiceAddrs struct {
	Cloud   string `json:"cloud"`
	KVStore string `json:"state"`
}

// Deployment holds the settings that all controllers share.
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

// Team is a tenant with its guarantees and limits. The guarantee is its share while resources are short, the limit is
// its quota. A limit of 0 in the file means no limit, which is represented as infinity here.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is a service-level objective: a share of the jobs of a class must reach a goal, given by Kind, within a
// time.
type Objective struct {
	Kind           string  `json:"kind"`
	Class          string  `json:"class"`
	WithinSeconds  float64 `json:"within_s"`
	Share          float64 `json:"share"`
	DeadlineFactor float64 `json:"times"` // multiple of the deadline, for the kind "deadline"
}

// Agents holds the intervals and timeouts of the agents on the machines.
type Agents struct {
	HeartbeatSeconds float64 `json:"report_s"`
	LeaseSeconds     float64 `json:"lease_s"`
	GangWaitSeconds  float64 `json:"gang_wait_s"`
	GangPeerSeconds  float64 `json:"gang_peer_s"`
	CancelSeconds    float64 `json:"cancel_s"`
}

// KVStore holds the limits of the state service, shared by all controllers. The service may replace its present limits
// by the announced ones at any time and without notice, so that after Parse the limits are the lower ones of both.
type KVStore struct {
	RequestsPerSecond     float64          `json:"rps"`
	ChangesPerSecond      float64          `json:"write_rps"`
	ValueKB               float64          `json:"value_kb"`
	ChangesPerTransaction int              `json:"txn_ops"`
	Announced             *AnnouncedLimits `json:"next,omitempty"` // nil if no change is announced

	presentValueKB float64 // the limit on values before the announced limits apply; 0 if none are announced
}

// AnnouncedLimits are limits that the state service will have. A limit of 0 stays as it is.
type AnnouncedLimits struct {
	RequestsPerSecond     float64 `json:"rps"`
	ChangesPerSecond      float64 `json:"write_rps"`
	ValueKB               float64 `json:"value_kb"`
	ChangesPerTransaction int     `json:"txn_ops"`
}

// PresentValueKB returns the limit on values before the announced limits apply.
func (l *KVStore) PresentValueKB() float64 {
	if l.presentValueKB > 0 {
		return l.presentValueKB
	}
	return l.ValueKB
}

// Cloud holds the limits of the cloud, shared by all controllers.
type Cloud struct {
	RequestsPerSecond float64 `json:"rps"`
	ListLagSeconds    float64 `json:"list_lag_s"`
}

// Limits are the resources of its machine that one controller may use.
type Limits struct {
	Cores      float64 `json:"cores"`
	MemoryMB   float64 `json:"memory_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ControllerNames returns the names of all controllers in alphabetical order.
func (s *Settings) ControllerNames() []string {
	names := []string{s.Name}
	for _, p := range s.Peers {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	return names
}

// Load reads and checks the settings file. The error names the file or the field.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse reads and checks settings given as JSON. The error names the field.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := protocol.Decode(data, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.Deployment.KVStore.applyAnnounced()
	return &s, nil
}

// applyAnnounced replaces each limit by the announced one if that is lower.
func (l *KVStore) applyAnnounced() {
	next := l.Announced
	if next == nil {
		return
	}
	l.presentValueKB = l.ValueKB
	if next.RequestsPerSecond > 0 {
		l.RequestsPerSecond = min(l.RequestsPerSecond, next.RequestsPerSecond)
	}
	if next.ChangesPerSecond > 0 {
		l.ChangesPerSecond = min(l.ChangesPerSecond, next.ChangesPerSecond)
	}
	if next.ValueKB > 0 {
		l.ValueKB = min(l.ValueKB, next.ValueKB)
	}
	if next.ChangesPerTransaction > 0 {
		l.ChangesPerTransaction = min(l.ChangesPerTransaction, next.ChangesPerTransaction)
	}
}
