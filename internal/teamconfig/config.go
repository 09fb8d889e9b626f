package teamconfig

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/settings"
)

// Config is one controller's copy of the teams' configuration.
type Config struct {
	base             map[string]settings.Team
	maxAge           time.Duration // after which the copy is stale
	teams            map[string]*team
	notInForce       map[string]*team // teams whose entries are not known to be in force
	latestVersion    uint64           // version of the last known change
	knownRevision    uint64           // revision of the state service up to which every entry is known
	readAt           time.Time        // start of the last read that confirmed that no entry is missing
	requiredRevision uint64           // revision that must be known before a team that was taken over starts any task
	// overruled holds acknowledged changes that lost against another change of the same number.
	overruled []Change
}

// team is what is known of a team that has an entry.
type team struct {
	Entry
	version       uint64 // of this entry's key in the present epoch; 0: the state service does not have the entry
	storedVersion uint64 // of the key in the present epoch, whichever entry it holds; 0: the key does not exist
	limitsInForce Limits // last limits known to be in force everywhere, or the first known limits
	inForce       bool   // the entry is known to be in force everywhere
}

// New returns a configuration that consists of the settings file's teams. It is stale once it is older than maxAge.
func New(base []settings.Team, maxAge time.Duration) *Config {
	c := &Config{
		base:       map[string]settings.Team{},
		maxAge:     maxAge,
		teams:      map[string]*team{},
		notInForce: map[string]*team{},
	}
	for _, t := range base {
		c.base[t.Name] = t
	}
	return c
}

// ApplyEntry applies an entry read from the state service with the version of its key, and reports whether it changed
// the configuration. Versions that are not newer than the known one are ignored, so late and repeated messages have no
// effect.
func (c *Config) ApplyEntry(name string, e Entry, version uint64) bool {
	t := c.teams[name]
	if t == nil {
		t = &team{}
	}
	if version <= t.storedVersion {
		return false
	}
	t.storedVersion, c.latestVersion = version, max(c.latestVersion, version)
	c.teams[name] = t
	switch {
	case e.Number < t.Number:
		// A change that was acknowledged is missing from the store, as after a loss of data: the entry in memory
		// holds until it is written back.
		t.version = 0
		return false
	case e.Number == t.Number && e.ChangeID == t.ChangeID:
		t.version = version
		return false
	case e.Number == t.Number:
		c.overruled = append(c.overruled, Change{Team: name, Entry: t.Entry})
	}
	c.replaceEntry(name, t, e, version)
	return true
}

// ApplyRemembered applies an entry that a peer has in memory and that the state service may lack, as after a loss of
// data. It reports whether the entry changed the configuration.
func (c *Config) ApplyRemembered(name string, e Entry) bool {
	t := c.teams[name]
	if t == nil {
		t = &team{}
	}
	switch {
	case e.Number < t.Number, e.Number == t.Number && e.ChangeID == t.ChangeID:
		return false
	case e.Number == t.Number && (t.version > 0 || e.ChangeID < t.ChangeID):
		// The stored entry wins; if neither is stored, every controller picks the one with the higher ChangeID.
		c.addOverruled(name, e)
		return false
	case e.Number == t.Number:
		c.addOverruled(name, t.Entry)
	}
	c.teams[name] = t
	c.replaceEntry(name, t, e, 0)
	return true
}

// addOverruled records an overruled change once.
func (c *Config) addOverruled(name string, e Entry) {
	if !slices.ContainsFunc(c.overruled, func(x Change) bool { return x.Team == name && x.Entry == e }) {
		c.overruled = append(c.overruled, Change{Team: name, Entry: e})
	}
}

// replaceEntry replaces a team's entry. The limits of the replaced entry become limitsInForce if they were in force
// everywhere; otherwise limitsInForce stays as it was. For a team's first entry limitsInForce is set to the limits of
// the settings file, or to those of the entry itself if no earlier ones are known.
func (c *Config) replaceEntry(name string, t *team, e Entry, version uint64) {
	before := t.limitsInForce
	switch base, had := c.base[name]; {
	case t.Number > 0 && t.inForce:
		before = t.Limits()
	case t.Number > 0:
	case c.knownRevision == 0 || !had: // first read after the start, or a new team: no smaller limits are known
		before = e.Limits()
	default:
		before = limitsOf(base)
	}
	t.Entry, t.version, t.limitsInForce, t.inForce = e, version, before, false
	c.notInForce[name] = t
}

// MarkReadUpTo records that a read that began at readAt has applied every entry up to a revision.
func (c *Config) MarkReadUpTo(revision uint64, readAt time.Time) {
	c.knownRevision = max(c.knownRevision, revision)
	if readAt.After(c.readAt) {
		c.readAt = readAt
	}
}

// ApplyMissing applies the changes that a peer sent because it knows more: all after the revision after, up to the
// peer's known revision upTo. The known revision advances to upTo only if it is not below after, so that no change in
// between is missing, and if the membership record known here (version ownRecord) is at least as new as the peer's
// (peerRecord), because a known revision also covers the membership records written up to it.
func (c *Config) ApplyMissing(changes []Change, after, upTo, peerRecord, ownRecord uint64) {
	for _, x := range changes {
		c.ApplyEntry(x.Team, x.Entry, x.Version)
	}
	if after <= c.knownRevision && ownRecord >= peerRecord {
		c.knownRevision = max(c.knownRevision, upTo)
	}
}

// ChangesAfter returns the changes that a peer lacks if it knows the entries only up to a revision.
func (c *Config) ChangesAfter(after uint64) (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		if t := c.teams[name]; t.version > after {
			changes = append(changes, Change{name, t.Entry, t.version})
		}
	}
	return changes
}

// StartEpoch starts a new epoch of the state service's data. It keeps the entries and discards all versions and
// revisions of the previous epoch.
func (c *Config) StartEpoch() {
	c.knownRevision, c.requiredRevision, c.latestVersion, c.readAt = 0, 0, 0, time.Time{}
	for name, t := range c.teams {
		if t.inForce {
			t.limitsInForce, t.inForce = t.Limits(), false
		}
		t.version, t.storedVersion = 0, 0
		c.notInForce[name] = t
	}
}

// Unwritten returns the entries that are known here and missing from the state service, with the versions of the keys
// to overwrite.
func (c *Config) Unwritten() (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		if t := c.teams[name]; t.version == 0 {
			changes = append(changes, Change{name, t.Entry, t.storedVersion})
		}
	}
	return changes
}

// Overruled returns the acknowledged changes that lost against others of the same number.
func (c *Config) Overruled() []Change { return c.overruled }

// KnownRevision returns the revision up to which every entry is known.
func (c *Config) KnownRevision() uint64 { return c.knownRevision }

// LatestVersion returns the version of the last known change.
func (c *Config) LatestVersion() uint64 { return c.latestVersion }

// Versions returns the versions of the entries' keys, by team.
func (c *Config) Versions() map[string]uint64 {
	v := map[string]uint64{}
	for name, t := range c.teams {
		v[name] = t.storedVersion
	}
	return v
}

// Version returns the version of a team's key, 0 if the key does not exist.
func (c *Config) Version(name string) uint64 {
	if t := c.teams[name]; t != nil {
		return t.storedVersion
	}
	return 0
}

// Entry returns a team's entry; ok is false if it has none.
func (c *Config) Entry(name string) (e Entry, ok bool) {
	t := c.teams[name]
	if t == nil {
		return Entry{}, false
	}
	return t.Entry, true
}

// AcceptsJobs returns a team's limits and whether the team accepts new jobs.
func (c *Config) AcceptsJobs(name string) (settings.Team, bool) {
	if t := c.teams[name]; t != nil {
		return t.Limits().team(name), !t.Removed
	}
	t, known := c.base[name]
	return t, known
}

// Teams returns all teams that ever existed, sorted by name. A removed team keeps its limits until its jobs have ended.
func (c *Config) Teams() (all []settings.Team) {
	for _, b := range c.base {
		if c.teams[b.Name] == nil {
			all = append(all, b)
		}
	}
	for name, t := range c.teams {
		all = append(all, t.Limits().team(name))
	}
	slices.SortFunc(all, func(a, b settings.Team) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// RequireRevision records that this controller took a team over under the membership record of the given version. The
// previous owner may have reported changes up to that revision as in force.
func (c *Config) RequireRevision(record uint64) { c.requiredRevision = max(c.requiredRevision, record) }

// Ready reports whether the known revision is high enough to start tasks of the teams that were taken over.
func (c *Config) Ready() bool { return c.knownRevision >= c.requiredRevision }

// Fresh reports whether the configuration is no older than maxAge.
func (c *Config) Fresh(now time.Time) bool {
	return !c.readAt.IsZero() && now.Sub(c.readAt) <= c.maxAge
}

// Limits returns the limits that a team's owner enforces now. While the configuration is stale, a change that raised
// limits counts only if it is known to be in force.
func (c *Config) Limits(name string, now time.Time) (l Limits, ok bool) {
	t := c.teams[name]
	if t == nil {
		b, ok := c.base[name]
		return limitsOf(b), ok
	}
	if t.inForce || c.Fresh(now) {
		return t.Limits(), true
	}
	return minLimits(t.Limits(), t.limitsInForce), true
}

// MarkInForce records that a team's change of the given version is in force everywhere.
func (c *Config) MarkInForce(name string, version uint64) {
	if t := c.teams[name]; t != nil && t.version == version && version > 0 {
		t.inForce = true
		delete(c.notInForce, name)
	}
}

// NotInForce returns the changes that are not known to be in force everywhere.
func (c *Config) NotInForce() (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(c.notInForce)) {
		t := c.notInForce[name]
		changes = append(changes, Change{name, t.Entry, t.version})
	}
	return changes
}

// InForce returns, by team, the numbers of the changes that are known to be in force everywhere.
func (c *Config) InForce() map[string]uint64 {
	numbers := map[string]uint64{}
	for name, t := range c.teams {
		if t.inForce {
			numbers[name] = t.Number
		}
	}
	return numbers
}

// Age returns the time since the start of the last complete read; known is false if there was none.
func (c *Config) Age(now time.Time) (age time.Duration, known bool) {
	return now.Sub(c.readAt), !c.readAt.IsZero()
}
