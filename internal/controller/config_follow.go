package controller

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"topazhollow/internal/kvstore"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/shards"
	"topazhollow/internal/teamconfig"
	"topazhollow/internal/teamstore"
)

// What connects internal/teamconfig, which decides, to the controller: docs/configuration.md tells what it promises.
// All of it is off, and Node.config nil, unless the operator's script sets config_bound_s.

// configFollow is what a controller knows of the teams' configuration, and of who else knows it.
type configFollow struct {
	teams   *teamconfig.Config
	force   *teamconfig.Force
	base    uint64               // digest of the settings file's teams
	serial  uint64               // of this process's words
	lagging map[string]time.Time // since when peers' words were behind, and when they were last told
	writing map[string]bool      // entries that are being written back
	logged  time.Time
}

// newConfigFollow is nil unless the configuration is to be followed.
func newConfigFollow(s *settings.Settings, o *settings.Options) *configFollow {
	if o.ConfigBoundSeconds <= 0 {
		return nil
	}
	return &configFollow{teams: teamconfig.New(s.Deployment.Teams, settings.Seconds(o.ConfigBoundSeconds)), force: teamconfig.NewForce(),
		base: teamconfig.BaseDigest(s.Deployment.Teams), lagging: map[string]time.Time{}, writing: map[string]bool{}}
}

// teams lists the teams as far as known here.
func (n *Node) teams() []settings.Team {
	if n.teamConfig == nil {
		return n.settings.Deployment.Teams
	}
	return n.teamConfig.teams.Teams()
}

// itemNames lists all items: the teams and the fleet.
func (n *Node) itemNames() []string {
	names := []string{leadership.FleetShard}
	listed := map[string]bool{}
	for _, t := range n.teams() {
		names = append(names, shards.ForTeam(t.Name))
		listed[shards.ForTeam(t.Name)] = true
	}
	if n.teamConfig != nil && n.record != nil { // a team that another controller knew of first
		for name := range n.record.Shards {
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
		n.suspectLoss("a team's configuration was deleted")
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
	overruled := len(n.teamConfig.teams.Overruled())
	if n.teamConfig.teams.Learn(name, entry, e.Version) {
		n.log.Info("team's configuration", "team", name, "number", entry.Number, "version", e.Version, "cpus_max", entry.CPUsMax, "removed", entry.Removed)
		n.wake()
		n.requestStatus()
	}
	n.logOverruled(overruled)
}

// logOverruled tells of the acknowledged changes after the first so many that lost against others.
func (n *Node) logOverruled(known int) {
	for _, x := range n.teamConfig.teams.Overruled()[known:] {
		n.log.Error("acknowledged change of a team's configuration overruled", "team", x.Team, "number", x.Entry.Number, "change", x.Entry.Change)
	}
}

// configCurrent books that all watched keys are known up to n.revision, by a read that began at a time.
func (n *Node) configCurrent(began time.Time) {
	if n.teamConfig != nil && n.trusted() && n.watchedKeysRead {
		n.teamConfig.teams.CaughtUp(n.followedRevision, began)
	}
}

// configListed sees that a full list names every entry known: they are never deleted.
func (n *Node) configListed(seen map[string]bool) {
	if n.teamConfig == nil {
		return
	}
	for name, version := range n.teamConfig.teams.Versions() {
		if version > 0 && !seen[teamstore.Prefix+name] {
			n.suspectLoss("a team's configuration is not there")
		}
	}
}

// configEntered begins to rely on the state service's data anew.
func (n *Node) configEntered() {
	if n.teamConfig != nil {
		n.teamConfig.teams.Entered()
	}
}

// configWitnesses adds the versions of entries to those that a look at the state service compares.
func (n *Node) addAcknowledgedConfig(witnesses map[string]uint64) {
	if n.teamConfig == nil {
		return
	}
	const some = 8
	latest, added := n.teamConfig.teams.Latest(), 0
	for name, version := range n.teamConfig.teams.Versions() {
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
	return n.teamConfig.teams.Version(strings.TrimPrefix(key, teamstore.Prefix))
}

// tookTeam books that a team was taken over under the control record known here.
func (n *Node) tookTeam() {
	if n.teamConfig != nil {
		n.teamConfig.teams.Take(n.recordVersion)
	}
}

// configReady says whether enough of the configuration is known to start what was taken over.
func (n *Node) configReady() bool { return n.teamConfig == nil || n.teamConfig.teams.Ready() }

// configure has the own teams' accounts keep to the limits that hold now.
func (n *Node) configure(now time.Time) {
	if n.teamConfig == nil {
		return
	}
	for shard := range n.shards.All() {
		team, ok := shards.TeamOf(shard.Name())
		if !ok {
			continue
		}
		entry, changed := n.teamConfig.teams.Entry(team)
		if !changed {
			continue
		}
		limits, _ := n.teamConfig.teams.Limits(team, now)
		shard.Team().SetLimits(limits.CPUs, limits.CPUsMax, limits.GPUs, limits.GPUsMax)
		if shard.IsReady() {
			shard.Team().StopExcess(entry.StopExcess)
		}
	}
}

// configRecord is what counts of the control record known here.
func (n *Node) configRecord() *teamconfig.Record {
	if n.record == nil {
		return &teamconfig.Record{Owner: func(string) string { return "" }}
	}
	return &teamconfig.Record{Generation: n.record.Epoch, Version: n.recordVersion, Members: n.record.Nodes,
		Owner: func(team string) string { return n.record.Shards[shards.ForTeam(team)].Owner }}
}

// configWord is what this controller tells its peers, nil if it has nothing to say. It keeps to it from here on.
func (n *Node) configWord(now time.Time) *teamconfig.Word {
	if n.teamConfig == nil || n.record == nil || !n.trusted() {
		return nil
	}
	n.configure(now)
	n.teamConfig.serial++
	w := teamconfig.Word{Serial: n.teamConfig.serial, Generation: n.epoch(), Record: n.recordVersion, Known: n.teamConfig.teams.Known(), Base: n.teamConfig.base}
	for _, x := range n.teamConfig.teams.Open() {
		if n.record.Shards[shards.ForTeam(x.Team)].Owner != n.name {
			continue
		}
		if shard := n.shards.OfTeam(x.Team); shard == nil || !shard.IsReady() || !shard.Team().Settled() {
			w.Unsettled = append(w.Unsettled, x.Team)
		}
	}
	n.teamConfig.force.Heard(n.name, n.incarnation, w)
	n.configForced(now)
	return &w
}

// configForced books which changes are in force everywhere, and logs who holds the others up.
func (n *Node) configForced(now time.Time) {
	r := n.configRecord()
	for _, x := range n.teamConfig.force.Reach(r, n.teamConfig.teams.Open()) {
		n.teamConfig.teams.Forced(x.Team, x.Version)
		n.log.Info("team's configuration in force everywhere", "team", x.Team, "number", x.Entry.Number, "version", x.Version)
	}
	lagging := n.teamConfig.force.Lagging(r, n.teamConfig.teams.Latest(), now)
	if len(lagging) > 0 && now.Sub(n.teamConfig.logged) > configLogEvery {
		for _, b := range lagging {
			if b.For > configLogEvery.Seconds() {
				n.teamConfig.logged = now
				n.log.Info("controller behind with the configuration", "controller", b.Node, "known", b.Known, "latest", n.teamConfig.teams.Latest(), "for_s", b.For)
			}
		}
	}
}

// configLogEvery is after what time a controller that is behind is logged, and how often.
const configLogEvery = 10 * time.Second

// onConfigWord takes in a peer's word, and tells the peer what it lacks if it stays behind, as one that
// the state service refuses.
func (n *Node) onConfigWord(node string, incarnation uint64, w *teamconfig.Word, now time.Time) {
	if n.teamConfig == nil || w == nil {
		return
	}
	n.teamConfig.force.Heard(node, incarnation, *w)
	n.configForced(now)
	if !n.trusted() || w.Generation != n.epoch() || w.Known >= n.teamConfig.teams.Latest() {
		delete(n.teamConfig.lagging, node)
		return
	}
	if since := n.teamConfig.lagging[node]; since.IsZero() {
		n.teamConfig.lagging[node] = now
	} else if now.Sub(since) > configTeachAfter {
		n.teamConfig.lagging[node] = now
		n.links.Send(node, kindTeamConfig, configMsg{w.Generation, n.recordVersion, w.Known, n.teamConfig.teams.Known(), n.teamConfig.teams.Lesson(w.Known)})
	}
}

// configTeachAfter is how long a peer may be behind before it is told what it lacks, and how often it is told.
const configTeachAfter = time.Second

// onConfig takes in the changes of the configuration that a peer found missing here.
func (n *Node) onConfig(m *configMsg, now time.Time) {
	if n.teamConfig == nil || !n.trusted() || n.record == nil || m.Epoch != n.epoch() {
		return
	}
	n.teamConfig.teams.Taught(m.Changes, m.After, m.Known, m.RecordVersion, n.recordVersion)
	n.configure(now)
	n.wake()
}

// configMemory is what a peer must know of the configuration after a loss: the entries that the state service may lack.
func (n *Node) rememberedConfig() []teamconfig.Change {
	if n.teamConfig == nil {
		return nil
	}
	return n.teamConfig.teams.Unwritten()
}

// recallConfig takes in what a peer remembers of the configuration.
func (n *Node) learnRememberedConfig(changes []teamconfig.Change) {
	if n.teamConfig == nil {
		return
	}
	overruled := len(n.teamConfig.teams.Overruled())
	for _, x := range changes {
		if teamconfig.ValidTeam(x.Team) && x.Entry.Check() == nil {
			n.teamConfig.teams.Hear(x.Team, x.Entry)
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
	for _, x := range n.teamConfig.teams.Unwritten() {
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

func (n *Node) writeConfig(x teamconfig.Change) {
	key, value := teamstore.Prefix+x.Team, protocol.Encode(x.Entry)
	version, err := n.kvStore.Commit(n.ctx, kvstore.Update{Conditions: []protocol.Condition{{Key: key, Version: x.Version}}, Changes: []protocol.Op{{Set: key, Value: value}}})
	if err != nil && !errors.Is(err, kvstore.ErrConflict) { // on a conflict the watch tells what is there
		sleep(n.ctx, 200*time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.teamConfig.writing, x.Team)
	if err == nil {
		n.log.Info("team's configuration written back", "team", x.Team, "number", x.Entry.Number, "version", version)
		n.learnConfig(protocol.Change{Set: key, Value: value, Version: version})
	}
}
