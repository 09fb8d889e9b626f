package controller

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/teamstore"
)

// The controller's side of internal/teamconfig, which makes the decisions; docs/configuration.md states its guarantees.
// All of it is off, and Node.teamConfig nil, unless the operator's script sets config_bound_s.

// teamConfigState holds the teams' configuration, and which controllers know which changes of it.
type teamConfigState struct {
	config          *teamconfig.Config
	propagation     *teamconfig.Propagation
	baseDigest      uint64               // digest of the settings file's teams
	statusSerial    uint64               // of the last configuration status of this process
	behindSince     map[string]time.Time // by peer, since when it is behind or was last sent changes
	writing         map[string]bool      // teams whose entries are being written back
	laggingLoggedAt time.Time
}

// newTeamConfigState returns nil unless the options enable changes of the configuration.
func newTeamConfigState(s *settings.Settings, o *settings.Options) *teamConfigState {
	if o.ConfigMaxAgeSeconds <= 0 {
		return nil
	}
	return &teamConfigState{
		config:      teamconfig.New(s.Deployment.Teams, settings.Seconds(o.ConfigMaxAgeSeconds)),
		propagation: teamconfig.NewPropagation(),
		baseDigest:  teamconfig.BaseDigest(s.Deployment.Teams),
		behindSince: map[string]time.Time{},
		writing:     map[string]bool{},
	}
}

// teams lists the teams known here.
func (n *Node) teams() []settings.Team {
	if n.teamConfig == nil {
		return n.settings.Deployment.Teams
	}
	return n.teamConfig.config.Teams()
}

// shardNames lists all shards: those of the teams and the fleet.
func (n *Node) shardNames() []string {
	names := []string{leadership.FleetShard}
	listed := map[string]bool{}
	for _, t := range n.teams() {
		names = append(names, shards.ForTeam(t.Name))
		listed[shards.ForTeam(t.Name)] = true
	}
	if n.teamConfig != nil && n.leadership.Record() != nil { // another controller may have learned of a team first
		for name := range n.leadership.Record().Shards {
			if name != leadership.FleetShard && !listed[name] {
				names = append(names, name)
			}
		}
	}
	return names
}

// applyConfigKey applies a change of a team's configuration key.
func (n *Node) applyConfigKey(e protocol.Change) {
	if n.teamConfig == nil {
		return
	}
	name := strings.TrimPrefix(e.Set+e.Delete, teamstore.Prefix)
	if e.Delete != "" {
		n.recovery.detection.suspectLoss(datarecovery.SignConfigurationDeleted)
		return
	}
	var entry teamconfig.Entry
	err := json.Unmarshal(e.Value, &entry)
	if err == nil {
		err = entry.Check()
	}
	if err != nil || !teamconfig.ValidTeam(name) {
		n.log.Error("unreadable key in the state service", "key", e.Set, "err", err)
		return
	}
	overruled := len(n.teamConfig.config.Overruled())
	if n.teamConfig.config.ApplyEntry(name, entry, e.Version) {
		n.log.Info("team configuration learned", "team", name, "number", entry.Number, "version", e.Version,
			"cpus_max", entry.CPUsMax, "removed", entry.Removed)
		n.wake()
		n.requestStatus()
	}
	n.logOverruled(overruled)
}

// logOverruled logs the acknowledged changes that were overruled by others, except the first known ones.
func (n *Node) logOverruled(known int) {
	for _, x := range n.teamConfig.config.Overruled()[known:] {
		n.log.Error("acknowledged change of a team configuration overruled",
			"team", x.Team, "number", x.Entry.Number, "change", x.Entry.ChangeID)
	}
}

// recordConfigRead records that all watched keys are known up to n.followedRevision, by a read that began at a time.
func (n *Node) recordConfigRead(began time.Time) {
	if n.teamConfig != nil && n.recovery.detection.Trusted() && n.watchedKeysRead {
		n.teamConfig.config.MarkReadUpTo(n.followedRevision, began)
	}
}

// checkConfigListed suspects a loss of data if a full list lacks a known configuration key, as these are never deleted.
func (n *Node) checkConfigListed(seen map[string]bool) {
	if n.teamConfig == nil {
		return
	}
	for name, version := range n.teamConfig.config.Versions() {
		if version > 0 && !seen[teamstore.Prefix+name] {
			n.recovery.detection.suspectLoss(datarecovery.SignConfigurationGone)
		}
	}
}

// startConfigEpoch voids the known versions and revisions of the configuration, as a new epoch of the state service's
// data begins.
func (n *Node) startConfigEpoch() {
	if n.teamConfig != nil {
		n.teamConfig.config.StartEpoch()
	}
}

// addAcknowledgedConfig adds the latest configuration key and a few others to the keys whose versions a check of the
// state service compares.
func (n *Node) addAcknowledgedConfig(versions map[string]uint64) {
	if n.teamConfig == nil {
		return
	}
	const sampleSize = 8
	latest, added := n.teamConfig.config.LatestVersion(), 0
	for name, version := range n.teamConfig.config.Versions() {
		if version > 0 && (version == latest || added < sampleSize) {
			versions[teamstore.Prefix+name] = version
			added++
		}
	}
}

// configVersion returns the known version of a configuration key.
func (n *Node) configVersion(key string) uint64 {
	if n.teamConfig == nil {
		return 0
	}
	return n.teamConfig.config.Version(strings.TrimPrefix(key, teamstore.Prefix))
}

// recordTeamTakeover requires the configuration to be known up to the version of the current membership record, under
// which a team was taken over.
func (n *Node) recordTeamTakeover() {
	if n.teamConfig != nil {
		n.teamConfig.config.RequireRevision(n.leadership.RecordVersion())
	}
}

// configReady returns whether the configuration is known far enough to start tasks of the teams taken over.
func (n *Node) configReady() bool { return n.teamConfig == nil || n.teamConfig.config.Ready() }

// applyTeamLimits sets the limits that hold now for the quotas of the teams owned here. It has tasks beyond the limits
// stopped: those that have not started yet, and with StopExcess also the running ones.
func (n *Node) applyTeamLimits(now time.Time) {
	if n.teamConfig == nil {
		return
	}
	for shard := range n.shards.All() {
		team, ok := shards.TeamOf(shard.Name())
		if !ok {
			continue
		}
		entry, changed := n.teamConfig.config.Entry(team)
		if !changed {
			continue
		}
		limits, _ := n.teamConfig.config.Limits(team, now)
		shard.Team().Quota().SetLimits(quotaLimits(limits))
		if shard.IsReady() {
			shard.Team().StopExcess(entry.StopExcess)
		}
	}
}

// configRecord returns the parts of the membership record that internal/teamconfig needs.
func (n *Node) configRecord() *teamconfig.MembershipRecord {
	if n.leadership.Record() == nil {
		return &teamconfig.MembershipRecord{Owner: func(string) string { return "" }}
	}
	return &teamconfig.MembershipRecord{Epoch: n.leadership.Epoch(), Version: n.leadership.RecordVersion(), Members: n.leadership.Record().Nodes,
		Owner: func(team string) string { return n.leadership.Record().OwnerOf(shards.ForTeam(team)) }}
}

// teamConfigStatus returns the part of this controller's status that concerns the configuration, nil if there is none.
// The limits that the status acknowledges are applied first, as from then on peers rely on this controller to keep
// them.
func (n *Node) teamConfigStatus(now time.Time) *teamconfig.Status {
	if n.teamConfig == nil || n.leadership.Record() == nil || !n.recovery.detection.Trusted() {
		return nil
	}
	n.applyTeamLimits(now)
	n.teamConfig.statusSerial++
	status := teamconfig.Status{
		Serial:        n.teamConfig.statusSerial,
		Epoch:         n.leadership.Epoch(),
		RecordVersion: n.leadership.RecordVersion(),
		KnownRevision: n.teamConfig.config.KnownRevision(),
		BaseDigest:    n.teamConfig.baseDigest,
		Unsettled:     n.unsettledTeams(),
	}
	n.teamConfig.propagation.Apply(n.name, n.incarnation, status)
	n.updatePropagation(now)
	return &status
}

// unsettledTeams lists the teams owned here with a change that cannot be in force yet: further tasks could still start
// beyond the changed limits, or the team's shard is not ready.
func (n *Node) unsettledTeams() (unsettled []string) {
	for _, x := range n.teamConfig.config.NotInForce() {
		if n.leadership.Record().OwnerOf(shards.ForTeam(x.Team)) != n.name {
			continue
		}
		shard := n.shards.OfTeam(x.Team)
		if shard == nil || !shard.IsReady() || !shard.Team().LimitsInForce() {
			unsettled = append(unsettled, x.Team)
		}
	}
	return unsettled
}

// updatePropagation marks the changes that are in force everywhere by now, and logs which members are behind.
func (n *Node) updatePropagation(now time.Time) {
	r := n.configRecord()
	for _, x := range n.teamConfig.propagation.Propagated(r, n.teamConfig.config.NotInForce()) {
		n.teamConfig.config.MarkInForce(x.Team, x.Version)
		n.log.Info("team configuration in force everywhere",
			"team", x.Team, "number", x.Entry.Number, "version", x.Version)
	}
	n.logLagging(n.teamConfig.propagation.Lagging(r, n.teamConfig.config.LatestVersion(), now), now)
}

// logLagging logs the members that have been behind for longer than laggingLogInterval.
func (n *Node) logLagging(lagging []teamconfig.LaggingMember, now time.Time) {
	if now.Sub(n.teamConfig.laggingLoggedAt) <= laggingLogInterval {
		return
	}
	for _, member := range lagging {
		if member.LaggingSeconds <= laggingLogInterval.Seconds() {
			continue
		}
		n.teamConfig.laggingLoggedAt = now
		n.log.Info("controller behind with the configuration", "controller", member.Node, "known", member.Known,
			"latest", n.teamConfig.config.LatestVersion(), "for_s", member.LaggingSeconds)
	}
}

// laggingLogInterval is how long a controller must be behind to be logged, and how often it is logged again.
const laggingLogInterval = 10 * time.Second

// onConfigStatus applies the configuration part of a peer's status. If the peer stays behind, as when the state service
// refuses its requests, it is sent the changes that it lacks.
func (n *Node) onConfigStatus(node string, incarnation uint64, status *teamconfig.Status, now time.Time) {
	if n.teamConfig == nil || status == nil {
		return
	}
	n.teamConfig.propagation.Apply(node, incarnation, *status)
	n.updatePropagation(now)
	if !n.recovery.detection.Trusted() || status.Epoch != n.leadership.Epoch() ||
		status.KnownRevision >= n.teamConfig.config.LatestVersion() {
		delete(n.teamConfig.behindSince, node)
		return
	}
	if since := n.teamConfig.behindSince[node]; since.IsZero() {
		n.teamConfig.behindSince[node] = now
	} else if now.Sub(since) > configResendInterval {
		n.teamConfig.behindSince[node] = now
		n.links.Send(node, kindTeamConfig, configMsg{
			Epoch:         status.Epoch,
			RecordVersion: n.leadership.RecordVersion(),
			After:         status.KnownRevision,
			Known:         n.teamConfig.config.KnownRevision(),
			Changes:       n.teamConfig.config.ChangesAfter(status.KnownRevision),
		})
	}
}

// configResendInterval is how long a peer must be behind before it is sent the changes that it lacks, and how often it
// is sent them.
const configResendInterval = time.Second

// onConfigChanges applies the changes of the configuration that a peer found missing here.
func (n *Node) onConfigChanges(m *configMsg, now time.Time) {
	if n.teamConfig == nil || !n.recovery.detection.Trusted() || n.leadership.Record() == nil || m.Epoch != n.leadership.Epoch() {
		return
	}
	n.teamConfig.config.ApplyMissing(m.Changes, m.After, m.Known, m.RecordVersion, n.leadership.RecordVersion())
	n.applyTeamLimits(now)
	n.wake()
}

// rememberedConfig returns what peers must be sent of the configuration after a loss of data: the entries that the
// state service may lack.
func (n *Node) rememberedConfig() []teamconfig.Change {
	if n.teamConfig == nil {
		return nil
	}
	return n.teamConfig.config.Unwritten()
}

// learnRememberedConfig applies the entries that a peer remembers after a loss of data.
func (n *Node) learnRememberedConfig(changes []teamconfig.Change) {
	if n.teamConfig == nil {
		return
	}
	overruled := len(n.teamConfig.config.Overruled())
	for _, x := range changes {
		if teamconfig.ValidTeam(x.Team) && x.Entry.Check() == nil {
			n.teamConfig.config.ApplyRemembered(x.Team, x.Entry)
		}
	}
	n.logOverruled(overruled)
}

// configWritesOpen is how many entries are written back at a time.
const configWritesOpen = 64

// writeBackConfig starts writing back the entries that the state service has lost, if this controller owns the fleet.
func (n *Node) writeBackConfig() {
	if n.teamConfig == nil || !n.shards.OwnsFleet() {
		return
	}
	for _, x := range n.teamConfig.config.Unwritten() {
		if n.teamConfig.writing[x.Team] || len(n.teamConfig.writing) >= configWritesOpen {
			continue
		}
		n.teamConfig.writing[x.Team] = true
		n.group.Go(func() error {
			n.writeConfig(x)
			return nil
		})
	}
}

// writeBackPause is the pause after a write that failed, before the entry may be written again.
const writeBackPause = 200 * time.Millisecond

// writeConfig writes an entry back, unless its key has changed in the state service meanwhile.
func (n *Node) writeConfig(x teamconfig.Change) {
	key, value := teamstore.Prefix+x.Team, protocol.Encode(x.Entry)
	version, err := n.kvStore.Commit(n.ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: key, Version: x.Version}},
		Changes:    []protocol.Op{{Set: key, Value: value}},
	})
	if err != nil && !errors.Is(err, kvstore.ErrConflict) { // after a conflict the watch delivers the present value
		sleep(n.ctx, writeBackPause)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.teamConfig.writing, x.Team)
	if err == nil {
		n.log.Info("team configuration written back", "team", x.Team, "number", x.Entry.Number, "version", version)
		n.applyConfigKey(protocol.Change{Set: key, Value: value, Version: version})
	}
}
