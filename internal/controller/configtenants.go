package controller

import (
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/teamstore"
	"topazhollow/internal/userapi"
)

// configTenants gives the user API the configuration of the teams; it implements userapi.Tenants. Its methods take
// Node.mu.
type configTenants struct{ node *Node }

var _ userapi.Teams = configTenants{}

// Team gives the limits of a team that takes new jobs, as far as known here.
func (t configTenants) Team(name string) (settings.Team, bool) {
	n := t.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.teamConfig.config.AcceptsJobs(name)
}

// Rests names what an acceptance for a team rests on: its configuration as known here.
func (t configTenants) Conditions(name string) []protocol.Condition {
	n := t.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if !teamconfig.ValidTeam(name) {
		return nil
	}
	return []protocol.Condition{{Key: teamstore.Prefix + name, Version: n.teamConfig.config.Version(name)}}
}
