package teamconfig

import (
	"maps"
	"slices"
	"time"

	"topazhollow/internal/settings"
)

// Config is what one controller knows of the teams' configuration.
type Config struct {
	base             map[string]settings.Team
	maxAge           time.Duration // knowledge that is older is old
	teams            map[string]*team
	notInForce       map[string]*team // those whose entry is not known to be in force
	latestVersion    uint64           // version of the last change known
	knownRevision    uint64           // revision of the state service up to which every entry is known
	readAt           time.Time        // when the read began that last showed that nothing is missing
	requiredRevision uint64           // revision that must be known before a team that was taken over starts anything
	// overruled are changes that were acknowledged and lost against another one of the same number.
	overruled []Change
}

// team is what is known of a team that has an entry.
type team struct {
	Entry
	version       uint64 // of this entry's key in this epoch; 0: the state service does not have it
	storedVersion uint64 // version of the key in this epoch, whatever it holds; 0: none
	limitsInForce Limits // the last ones known to be in force everywhere, or to have been at the start
	inForce       bool   // this entry is known to be in force everywhere
}

// New is a configuration by the settings file alone. Knowledge older than the bound counts as old.
func New(base []settings.Team, bound time.Duration) *Config {
	c := &Config{
		base:       map[string]settings.Team{},
		maxAge:     bound,
		teams:      map[string]*team{},
		notInForce: map[string]*team{},
	}
	for _, t := range base {
		c.base[t.Name] = t
	}
	return c
}

// ApplyEntry takes in an entry that the state service holds, by the version of its key. A version that is not
// newer than the one known changes nothing, so that late and repeated messages do no harm. It says whether
// anything changed.
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
		// A change that was acknowledged is missing, as after a loss of data: memory goes first until it is
		// written back.
		t.version = 0
		return false
	case e.Number == t.Number && e.ChangeID == t.ChangeID:
		t.version = version
		return false
	case e.Number == t.Number:
		c.overruled = append(c.overruled, Change{Team: name, Entry: t.Entry})
	}
	c.adopt(name, t, e, version)
	return true
}

// ApplyRemembered takes in an entry that a peer remembers and the state service may not have, as after a loss of data.
// It says whether anything changed.
func (c *Config) ApplyRemembered(name string, e Entry) bool {
	t := c.teams[name]
	if t == nil {
		t = &team{}
	}
	switch {
	case e.Number < t.Number, e.Number == t.Number && e.ChangeID == t.ChangeID:
		return false
	case e.Number == t.Number && (t.version > 0 || e.ChangeID < t.ChangeID):
		c.noteOverruled(name, e) // what the state service holds holds, else the same one everywhere
		return false
	case e.Number == t.Number:
		c.noteOverruled(name, t.Entry)
	}
	c.teams[name] = t
	c.adopt(name, t, e, 0)
	return true
}

func (c *Config) noteOverruled(name string, e Entry) {
	if !slices.ContainsFunc(c.overruled, func(x Change) bool { return x.Team == name && x.Entry == e }) {
		c.overruled = append(c.overruled, Change{Team: name, Entry: e})
	}
}

// adopt puts an entry in the place of what was known of a team.
func (c *Config) adopt(name string, t *team, e Entry, version uint64) {
	before := t.limitsInForce
	switch base, had := c.base[name]; {
	case t.Number > 0 && t.inForce:
		before = t.Limits()
	case t.Number > 0:
	case c.knownRevision == 0 || !had: // found at the start, or a new team: nothing smaller is known
		before = e.Limits()
	default:
		before = limitsOf(base)
	}
	t.Entry, t.version, t.limitsInForce, t.inForce = e, version, before, false
	c.notInForce[name] = t
}

// MarkReadUpTo notes that every entry up to a revision was taken in, by a read that began then.
func (c *Config) MarkReadUpTo(revision uint64, asOf time.Time) {
	c.knownRevision = max(c.knownRevision, revision)
	if asOf.After(c.readAt) {
		c.readAt = asOf
	}
}

// ApplyMissing takes in what a peer that knows more has sent: all changes after the revision known here up to its own.
// record is the version of the membership record that it knew, own of that known here: revisions are known here only with
// the records among them.
func (c *Config) ApplyMissing(changes []Change, after, known, record, own uint64) {
	for _, x := range changes {
		c.ApplyEntry(x.Team, x.Entry, x.Version)
	}
	if after <= c.knownRevision && own >= record {
		c.knownRevision = max(c.knownRevision, known)
	}
}

// ChangesAfter lists the changes that a peer lacks that knows the entries up to a revision only.
func (c *Config) ChangesAfter(after uint64) (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		if t := c.teams[name]; t.version > after {
			changes = append(changes, Change{name, t.Entry, t.version})
		}
	}
	return changes
}

// StartEpoch begins a new epoch of the state service's data: versions and revisions of the one before are void, the
// entries are kept.
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

// Unwritten lists the entries that are remembered and that the state service does not have, with the versions
// of the keys that are to be written over.
func (c *Config) Unwritten() (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		if t := c.teams[name]; t.version == 0 {
			changes = append(changes, Change{name, t.Entry, t.storedVersion})
		}
	}
	return changes
}

// Overruled lists the changes that were acknowledged and lost against others of the same numbers.
func (c *Config) Overruled() []Change { return c.overruled }

// KnownRevision is the revision up to which every entry is known.
func (c *Config) KnownRevision() uint64 { return c.knownRevision }

// LatestVersion is the version of the last change known.
func (c *Config) LatestVersion() uint64 { return c.latestVersion }

// Versions gives the versions of the entries' keys by team.
func (c *Config) Versions() map[string]uint64 {
	v := map[string]uint64{}
	for name, t := range c.teams {
		v[name] = t.storedVersion
	}
	return v
}

// Version is the version of a team's key, 0 if it has none.
func (c *Config) Version(name string) uint64 {
	if t := c.teams[name]; t != nil {
		return t.storedVersion
	}
	return 0
}

// Entry is a team's entry, if it has one.
func (c *Config) Entry(name string) (e Entry, ok bool) {
	t := c.teams[name]
	if t == nil {
		return Entry{}, false
	}
	return t.Entry, true
}

// AcceptsJobs gives the limits of a team that takes new jobs.
func (c *Config) AcceptsJobs(name string) (settings.Team, bool) {
	if t := c.teams[name]; t != nil {
		return t.Limits().team(name), !t.Removed
	}
	t, known := c.base[name]
	return t, known
}

// Teams lists all teams that ever were, by name: a removed one has its limits until its jobs are over.
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

// RequireRevision notes that a team was taken over under a membership record of a version: whoever owned it before may
// have said that changes up to then are in force.
func (c *Config) RequireRevision(record uint64) { c.requiredRevision = max(c.requiredRevision, record) }

// Ready says whether enough is known to start what was taken over.
func (c *Config) Ready() bool { return c.knownRevision >= c.requiredRevision }

// Fresh says whether what is known is no older than the bound.
func (c *Config) Fresh(now time.Time) bool {
	return !c.readAt.IsZero() && now.Sub(c.readAt) <= c.maxAge
}

// Limits are those that a team's owner keeps to now. By old knowledge a change that raised them counts only
// if it is known to be in force.
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

// MarkInForce notes that a team's change of a version is in force everywhere.
func (c *Config) MarkInForce(name string, version uint64) {
	if t := c.teams[name]; t != nil && t.version == version && version > 0 {
		t.inForce = true
		delete(c.notInForce, name)
	}
}

// NotInForce lists the changes that are not known to be in force everywhere.
func (c *Config) NotInForce() (changes []Change) {
	for _, name := range slices.Sorted(maps.Keys(c.notInForce)) {
		t := c.notInForce[name]
		changes = append(changes, Change{name, t.Entry, t.version})
	}
	return changes
}

// InForce gives the numbers of the teams' changes that are known to be in force everywhere.
func (c *Config) InForce() map[string]uint64 {
	numbers := map[string]uint64{}
	for name, t := range c.teams {
		if t.inForce {
			numbers[name] = t.Number
		}
	}
	return numbers
}

// Age is how old what is known may be; known is false if nothing is.
func (c *Config) Age(now time.Time) (age time.Duration, known bool) {
	return now.Sub(c.readAt), !c.readAt.IsZero()
}
