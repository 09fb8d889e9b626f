// Package loadtest measures how the controllers' cost grows with the fleet. It runs real controller processes on this
// machine against thousands of simulated agents, which implement the agent protocol but execute nothing, and against
// simulations of the state service, the cloud and the users. One run executes one experiment and produces one Result. A
// line is fitted through each figure of several results; its slope shows how the figure grows.
package loadtest

import (
	"fmt"

	"topazhollow/internal/tomlfile"
)

// Config describes an experiment.
type Config struct {
	Seed              uint64  `toml:"seed" json:"seed"`                               // of all random choices
	Duration          float64 `toml:"duration_s" json:"duration_s"`                   // measuring time, after the region has settled
	SettleTimeout     float64 `toml:"settle_s" json:"settle_s"`                       // limit for settling
	Controllers       int     `toml:"controllers" json:"controllers"`                 // controller processes
	Agents            int     `toml:"workers" json:"workers"`                         // simulated agents, one per machine
	AgentsPerProcess  int     `toml:"workers_per_process" json:"workers_per_process"` // agents in one agent process, at most
	Zones             int     `toml:"zones" json:"zones"`                             // zones of the machines and controllers
	Teams             int     `toml:"teams" json:"teams"`                             // teams, all with the same limit
	TasksPerAgent     float64 `toml:"tasks_per_worker" json:"tasks_per_worker"`       // service replicas, which run during the whole experiment
	StartsPerSecond   float64 `toml:"starts_per_s" json:"starts_per_s"`               // starts of array tasks, in addition to the services
	TasksPerJob       int     `toml:"tasks_per_job" json:"tasks_per_job"`             // tasks of an array
	TaskRun           float64 `toml:"task_run_s" json:"task_run_s"`                   // mean run time of an array's task
	TeamHeadroom      float64 `toml:"team_room" json:"team_room"`                     // a team's limit beyond its services, as a multiple of its arrays' mean use; at least two array jobs fit
	UrgentShare       float64 `toml:"urgent_share" json:"urgent_share"`               // share of the arrays in the urgent class
	UrgentWithin      float64 `toml:"urgent_within_s" json:"urgent_within_s"`         // objective for the wait of urgent tasks until their start
	HeartbeatInterval float64 `toml:"report_s" json:"report_s"`                       // interval between an agent's heartbeats
	AgentLease        float64 `toml:"worker_lease_s" json:"worker_lease_s"`           // after its last answered heartbeat, an agent may run tasks for this long
	Cancel            float64 `toml:"cancel_s" json:"cancel_s"`                       // cancel_s of the controllers' settings
	CountPeerLines    bool    `toml:"count_peer_lines" json:"count_peer_lines"`       // route controller-to-controller connections through a counting proxy

	Faults Faults `toml:"faults" json:"faults"`
	Store  Store  `toml:"store" json:"store"`
	Limits Limits `toml:"limits" json:"limits"`
}

// Faults are faults to inject, in seconds after measuring began; 0: none.
type Faults struct {
	KillOneAt    float64 `toml:"controller_ends_s" json:"controller_ends_s"` // the first controller is killed
	KillAllAt    float64 `toml:"all_end_s" json:"all_end_s"`                 // all controllers are killed
	RestartAfter float64 `toml:"back_after_s" json:"back_after_s"`           // delay until killed controllers are restarted
}

// Store holds the limits of the state service, which all controllers share.
type Store struct {
	RPS      float64 `toml:"rps" json:"rps"`
	WriteRPS float64 `toml:"write_rps" json:"write_rps"`
	ValueKB  float64 `toml:"value_kb" json:"value_kb"`
	TxnOps   int     `toml:"txn_ops" json:"txn_ops"`
}

// Limits bound the run itself and set the resource limits in each controller's settings.
type Limits struct {
	Processes          int     `toml:"processes" json:"processes"`                       // controllers and agent processes together
	MemoryMB           float64 `toml:"memory_mb" json:"memory_mb"`                       // of all processes together; the run aborts beyond it
	Seconds            float64 `toml:"seconds" json:"seconds"`                           // the run aborts after this time
	ControllerMemoryMB float64 `toml:"controller_memory_mb" json:"controller_memory_mb"` // limits.memory_mb of its settings
	ControllerSockets  int     `toml:"controller_sockets" json:"controller_sockets"`     // limits.max_sockets of its settings
}

// Default returns a small experiment that an ordinary machine completes in under two minutes.
func Default() *Config {
	return &Config{
		Seed: 1, Duration: 30, SettleTimeout: 40, Controllers: 3, Agents: 500, AgentsPerProcess: 2500, Zones: 23, Teams: 8,
		TasksPerAgent: 1, StartsPerSecond: 20, TasksPerJob: 10, TaskRun: 10, TeamHeadroom: 3, UrgentShare: 0.1, UrgentWithin: 3.1,
		HeartbeatInterval: 5, AgentLease: 26.5, Cancel: 46.5, CountPeerLines: true,
		Faults: Faults{RestartAfter: 3},
		Store:  Store{RPS: 6000, WriteRPS: 1200, ValueKB: 64, TxnOps: 48},
		Limits: Limits{Processes: 64, MemoryMB: 6000, Seconds: 110, ControllerMemoryMB: 2048, ControllerSockets: 20000},
	}
}

// Load reads an experiment from a TOML file; missing fields keep their defaults. Errors name the file and the field.
func Load(path string) (*Config, error) {
	c := Default()
	if path == "" {
		return c, nil
	}
	if err := tomlfile.Load(path, c); err != nil {
		return nil, err
	}
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// String formats the experiment as a TOML file.
func (c *Config) String() string { return tomlfile.String(c) }

// Check returns an error that names the first field out of range and the expected range.
func (c *Config) Check() error {
	in := tomlfile.In
	err := tomlfile.CheckBounds(
		in("duration_s", c.Duration, 1, 3600),
		in("settle_s", c.SettleTimeout, 1, 3600),
		in("controllers", float64(c.Controllers), 1, 64),
		in("workers", float64(c.Agents), 1, 50000),
		in("workers_per_process", float64(c.AgentsPerProcess), 1, 5000),
		in("zones", float64(c.Zones), 1, 200),
		in("teams", float64(c.Teams), 1, 5000),
		in("tasks_per_worker", c.TasksPerAgent, 0, 200),
		in("starts_per_s", c.StartsPerSecond, 0, 20000),
		in("tasks_per_job", float64(c.TasksPerJob), 1, 1000),
		in("task_run_s", c.TaskRun, 0.1, 3600),
		in("team_room", c.TeamHeadroom, 1, 1000),
		in("urgent_share", c.UrgentShare, 0, 1),
		in("urgent_within_s", c.UrgentWithin, 0.1, 600),
		in("report_s", c.HeartbeatInterval, 0.1, 600),
		in("worker_lease_s", c.AgentLease, 0.5, 3600),
		in("cancel_s", c.Cancel, 1, 3600),
		in("faults.controller_ends_s", c.Faults.KillOneAt, 0, c.Duration),
		in("faults.all_end_s", c.Faults.KillAllAt, 0, c.Duration),
		in("faults.back_after_s", c.Faults.RestartAfter, 0, 600),
		in("store.rps", c.Store.RPS, 1, 1e6),
		in("store.write_rps", c.Store.WriteRPS, 1, 1e6),
		in("store.value_kb", c.Store.ValueKB, 1, 1<<10),
		in("store.txn_ops", float64(c.Store.TxnOps), 4, 1e4),
		in("limits.memory_mb", c.Limits.MemoryMB, 64, 1<<20),
		in("limits.seconds", c.Limits.Seconds, 1, 7200),
		in("limits.controller_memory_mb", c.Limits.ControllerMemoryMB, 32, 1<<20),
		in("limits.controller_sockets", float64(c.Limits.ControllerSockets), 64, 1<<20),
	)
	if err != nil {
		return err
	}
	if need := c.Controllers + c.processes(); need > c.Limits.Processes {
		return fmt.Errorf("field limits.processes: %d is too few, %d controllers and %d agent processes need %d", c.Limits.Processes, c.Controllers, c.processes(), need)
	}
	return nil
}

// processes returns the number of agent processes.
func (c *Config) processes() int {
	return (c.Agents + c.AgentsPerProcess - 1) / c.AgentsPerProcess
}

// serviceTasks returns the number of service replicas.
func (c *Config) serviceTasks() int { return int(float64(c.Agents) * c.TasksPerAgent) }

// meanArrayTasks returns how many array tasks run at the same time on average.
func (c *Config) meanArrayTasks() float64 { return c.StartsPerSecond * c.TaskRun }

// machineCores returns the cores of a machine: enough for its services and three times its mean array tasks, plus
// three.
func (c *Config) machineCores() float64 {
	return float64(int(c.TasksPerAgent)) + 3 + float64(int(3*c.meanArrayTasks()/float64(c.Agents)))
}

// teamLimit returns a team's limit in cores. Every task takes one core.
func (c *Config) teamLimit() float64 {
	headroom := max(c.TeamHeadroom*c.meanArrayTasks()/float64(c.Teams), 2*float64(c.TasksPerJob))
	return float64(c.serviceTasks()/c.Teams+1) + headroom
}
