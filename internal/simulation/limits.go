package simulation

import "topazhollow/internal/protocol"

// SetLimit changes a team's CPU limit for all later starts.
func (c *Checker) SetLimit(team string, cpus float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits[team] = cpus
}

// CPUsOfTeam returns the CPUs of a team's tasks on machines.
func (c *Checker) CPUsOfTeam(team string) (cpus float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.running {
		uid, _, _ := protocol.SplitTask(task)
		if t := c.jobs[uid]; t != nil && t.spec.Team == team {
			cpus += t.spec.CPUs
		}
	}
	return cpus
}
