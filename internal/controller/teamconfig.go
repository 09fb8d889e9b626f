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

// What connects internal/teamconfig, which decides, to the controller: docs/configuration.md says what it guarantees.
// All of it is off, and Node.teamConfig nil, unless the operator's script sets config_bound_s.

// teamConfigState is what a controller knows of the teams' configuration, and of who else knows it.
type teamConfigState struct {
	config          *teamconfig.Config
	propagation     *teamconfig.Propagation
	baseDigest      uint64               // digest of the settings file's teams
	statusSerial    uint64               // of this process's statuses
	behindSince     map[string]time.Time // since when peers are behind, or when they were last sent what they lack
	writing         map[string]bool      // entries that are being written back
	laggingLoggedAt time.Time
}

// newTeamConfigState is nil unless the configuration is to be followed.
func newTeamConfigState(s *settings.Settings, o *settings.Options) *teamConfigState {
	if o.ConfigBoundSeconds <= 0 {
		return nil
	}
	return &teamConfigState{
		config:      teamconfig.New(s.Deployment.Teams, settings.Seconds(o.ConfigBoundSeconds)),
		propagation: teamconfig.NewPropagation(),
		baseDigest:  teamconfig.BaseDigest(s.Deployment.Teams),
		behindSince: map[string]time.Time{},
		writing:     map[string]bool{},
	}
}

// teams lists the teams as far as known here.
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
	if n.teamConfig != nil && n.leadership.Record() != nil { // a team that another controller knew of first
		for name := range n.leadership.Record().Shards {
			if name != leadership.FleetShard && !listed[name] {
				names = append(names, name)
			}
		}
	}
	return names
}

// learnConfig takes in a change of a team's key.
func (n *Node) learnConfig(e protocol.Change) {
	if n.teamConfig == nil {
		return
	}
	name := strings.TrimPrefix(e.Set+e.Delete, teamstore.Prefix)
	if e.Delete != "" {
		n.suspectLoss(datarecovery.SignConfigurationDeleted)
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
	if n.teamConfig.config.Learn(name, entry, e.Version) {
		n.log.Info("team's configuration", "team", name, "number", entry.Number, "version", e.Version,
			"cpus_max", entry.CPUsMax, "removed", entry.Removed)
		n.wake()
		n.requestStatus()
	}
	n.logOverruled(overruled)
}

// logOverruled logs the acknowledged changes after the first so many that lost against others.
func (n *Node) logOverruled(known int) {
	for _, x := range n.teamConfig.config.Overruled()[known:] {
		n.log.Error("acknowledged change of a team's configuration overruled",
			"team", x.Team, "number", x.Entry.Number, "change", x.Entry.Change)
	}
}

// noteConfigRead notes that all watched keys are known up to n.revision, by a read that began at a time.
func (n *Node) noteConfigRead(began time.Time) {
	if n.teamConfig != nil && n.trusted() && n.watchedKeysRead {
		n.teamConfig.config.CaughtUp(n.followedRevision, began)
	}
}

// checkConfigListed sees that a full list names every entry known: they are never deleted.
func (n *Node) checkConfigListed(seen map[string]bool) {
	if n.teamConfig == nil {
		return
	}
	for name, version := range n.teamConfig.config.Versions() {
		if version > 0 && !seen[teamstore.Prefix+name] {
			n.suspectLoss(datarecovery.SignConfigurationGone)
		}
	}
}

// startConfigEpoch begins to rely on the state service's data anew.
func (n *Node) startConfigEpoch() {
	if n.teamConfig != nil {
		n.teamConfig.config.StartEpoch()
	}
}

// configWitnesses adds the versions of entries to those that a look at the state service compares.
func (n *Node) addAcknowledgedConfig(witnesses map[string]uint64) {
	if n.teamConfig == nil {
		return
	}
	const some = 8
	latest, added := n.teamConfig.config.LatestVersion(), 0
	for name, version := range n.teamConfig.config.Versions() {
		if version > 0 && (version == latest || added < some) {
			witnesses[teamstore.Prefix+name] = version
			added++
		}
	}
}

// configVersion is the version of an entry's key as far as known.
func (n *Node) configVersion(key string) uint64 {
	if n.teamConfig == nil {
		return 0
	}
	return n.teamConfig.config.Version(strings.TrimPrefix(key, teamstore.Prefix))
}

// recordTeamTakeover notes that a team was taken over under the membership record known here.
func (n *Node) recordTeamTakeover() {
	if n.teamConfig != nil {
		n.teamConfig.config.RequireRevision(n.leadership.RecordVersion())
	}
}

// configReady says whether enough of the configuration is known to start what was taken over.
func (n *Node) configReady() bool { return n.teamConfig == nil || n.teamConfig.config.Ready() }

// applyTeamLimits has the own teams' accounts keep to the limits that hold now.
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

// configRecord is what counts of the membership record known here.
func (n *Node) configRecord() *teamconfig.MembershipRecord {
	if n.leadership.Record() == nil {
		return &teamconfig.MembershipRecord{Owner: func(string) string { return "" }}
	}
	return &teamconfig.MembershipRecord{Epoch: n.leadership.Epoch(), Version: n.leadership.RecordVersion(), Members: n.leadership.Record().Nodes,
		Owner: func(team string) string { return n.leadership.Record().OwnerOf(shards.ForTeam(team)) }}
}

// teamConfigStatus is what this controller's status says of the configuration, nil if nothing. The controller keeps to
// it from here on.
func (n *Node) teamConfigStatus(now time.Time) *teamconfig.Status {
	if n.teamConfig == nil || n.leadership.Record() == nil || !n.trusted() {
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

// unsettledTeams lists the own teams with a change that is not in force, and with tasks that it would not allow.
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

// updatePropagation notes which changes are in force everywhere, and logs which members are behind.
func (n *Node) updatePropagation(now time.Time) {
	r := n.configRecord()
	for _, x := range n.teamConfig.propagation.Propagated(r, n.teamConfig.config.NotInForce()) {
		n.teamConfig.config.MarkInForce(x.Team, x.Version)
		n.log.Info("team's configuration in force everywhere",
			"team", x.Team, "number", x.Entry.Number, "version", x.Version)
	}
	n.logLagging(n.teamConfig.propagation.Lagging(r, n.teamConfig.config.LatestVersion(), now), now)
}

// logLagging logs the members that have been behind for long.
func (n *Node) logLagging(lagging []teamconfig.LaggingMember, now time.Time) {
	if now.Sub(n.teamConfig.laggingLoggedAt) <= laggingLogInterval {
		return
	}
	for _, member := range lagging {
		if member.BehindSeconds <= laggingLogInterval.Seconds() {
			continue
		}
		n.teamConfig.laggingLoggedAt = now
		n.log.Info("controller behind with the configuration", "controller", member.Node, "known", member.Known,
			"latest", n.teamConfig.config.LatestVersion(), "for_s", member.BehindSeconds)
	}
}

// laggingLogInterval is after what time a controller that is behind is logged, and how often.
const laggingLogInterval = 10 * time.Second

// onConfigStatus takes in a peer's status of the configuration, and sends the peer what it lacks if it stays behind, as
// one that the state service refuses.
func (n *Node) onConfigStatus(node string, incarnation uint64, status *teamconfig.Status, now time.Time) {
	if n.teamConfig == nil || status == nil {
		return
	}
	n.teamConfig.propagation.Apply(node, incarnation, *status)
	n.updatePropagation(now)
	if !n.trusted() || status.Epoch != n.leadership.Epoch() || status.KnownRevision >= n.teamConfig.config.LatestVersion() {
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

// configResendInterval is how long a peer may be behind before it is sent what it lacks, and how often it is sent.
const configResendInterval = time.Second

// onConfigChanges takes in the changes of the configuration that a peer found missing here.
func (n *Node) onConfigChanges(m *configMsg, now time.Time) {
	if n.teamConfig == nil || !n.trusted() || n.leadership.Record() == nil || m.Epoch != n.leadership.Epoch() {
		return
	}
	n.teamConfig.config.LearnMissing(m.Changes, m.After, m.Known, m.RecordVersion, n.leadership.RecordVersion())
	n.applyTeamLimits(now)
	n.wake()
}

// configMemory is what a peer must know of the configuration after a loss: the entries that the state service may lack.
func (n *Node) rememberedConfig() []teamconfig.Change {
	if n.teamConfig == nil {
		return nil
	}
	return n.teamConfig.config.Unwritten()
}

// recallConfig takes in what a peer remembers of the configuration.
func (n *Node) learnRememberedConfig(changes []teamconfig.Change) {
	if n.teamConfig == nil {
		return
	}
	overruled := len(n.teamConfig.config.Overruled())
	for _, x := range changes {
		if teamconfig.ValidTeam(x.Team) && x.Entry.Check() == nil {
			n.teamConfig.config.LearnRemembered(x.Team, x.Entry)
		}
	}
	n.logOverruled(overruled)
}

// configWritesOpen bounds the entries that are being written back at a time.
const configWritesOpen = 64

// writeBackConfig has the fleet's owner give the state service the entries that it lost.
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

// writeConfig writes an entry back, unless the state service has another one by now.
func (n *Node) writeConfig(x teamconfig.Change) {
	key, value := teamstore.Prefix+x.Team, protocol.Encode(x.Entry)
	version, err := n.kvStore.Commit(n.ctx, kvstore.Update{
		Conditions: []protocol.Condition{{Key: key, Version: x.Version}},
		Changes:    []protocol.Op{{Set: key, Value: value}},
	})
	if err != nil && !errors.Is(err, kvstore.ErrConflict) { // on a conflict the watch brings what is there
		sleep(n.ctx, writeBackPause)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.teamConfig.writing, x.Team)
	if err == nil {
		n.log.Info("team's configuration written back", "team", x.Team, "number", x.Entry.Number, "version", version)
		n.learnConfig(protocol.Change{Set: key, Value: value, Version: version})
	}
}
