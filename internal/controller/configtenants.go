package controller

import (
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/teamstore"
	"topazhollow/internal/userapi"
)

// configTenants is the configuration as the users' frontend sees it.
type configTenants Node

// Team gives the limits of a team that takes new jobs, as far as known here.
func (b *configTenants) Team(name string) (settings.Team, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.teamConfig.teams.Takes(name)
}

// Rests names what an acceptance for a team rests on: its configuration as known here.
func (b *configTenants) Rests(name string) []protocol.Condition {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !teamconfig.ValidTeam(name) {
		return nil
	}
	return []protocol.Condition{{Key: teamstore.Prefix + name, Version: b.teamConfig.teams.Version(name)}}
}

var _ userapi.Tenants = (*configTenants)(nil)
