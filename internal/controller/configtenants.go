package controller

import (
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/teamstore"
	"topazhollow/internal/userapi"
)

// configuredTeams looks up teams in the configuration for the user API; it implements userapi.Teams. Its methods take
// Node.mu.
type configuredTeams struct{ node *Node }

var _ userapi.Teams = configuredTeams{}

// Team returns a team and its limits, as known here, if the team accepts new jobs.
func (t configuredTeams) Team(name string) (settings.Team, bool) {
	n := t.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.teamConfig.config.AcceptsJobs(name)
}

// Conditions returns the condition that the acceptance of a team's job is written under: the team's configuration must
// still be the one known here.
func (t configuredTeams) Conditions(name string) []protocol.Condition {
	n := t.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if !teamconfig.ValidTeam(name) {
		return nil
	}
	return []protocol.Condition{{Key: teamstore.Prefix + name, Version: n.teamConfig.config.Version(name)}}
}
