package teamconfig

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/settings"
)

var start = time.Unix(1e6, 0)

func entry(number uint64, change string, cpus float64) Entry {
	return Entry{Number: number, ChangeID: change, CPUsMax: cpus}
}

func (c *Config) max(t *testing.T, name string, now time.Time) float64 {
	l, known := c.Limits(name, now)
	if !known {
		t.Fatalf("%s is unknown", name)
	}
	return l.CPUsMax
}

// TestStaleConfigKeepsSmallerLimits: in a stale configuration a raised limit counts only once it is in force, and a
// lowered one at once.
func TestStaleConfigKeepsSmallerLimits(t *testing.T) {
	c := New([]settings.Team{{Name: "red", CPUsMax: 8}}, 4*time.Second)
	c.MarkReadUpTo(10, start)
	c.ApplyEntry("red", entry(1, "a", 20), 11)
	c.MarkReadUpTo(11, start)
	fresh, stale := start.Add(4*time.Second), start.Add(5*time.Second)
	if c.max(t, "red", fresh) != 20 || c.max(t, "red", stale) != 8 {
		t.Errorf("raised: %g in a fresh and %g in a stale configuration", c.max(t, "red", fresh), c.max(t, "red", stale))
	}
	c.MarkInForce("red", 11)
	if c.max(t, "red", stale) != 20 {
		t.Errorf("raised and in force: %g", c.max(t, "red", stale))
	}
	c.ApplyEntry("red", entry(2, "b", 3), 12)
	if c.max(t, "red", fresh) != 3 || c.max(t, "red", stale) != 3 {
		t.Errorf("lowered: %g", c.max(t, "red", fresh))
	}
	if c.MarkInForce("red", 11); len(c.NotInForce()) != 1 {
		t.Error("marking an earlier change in force removes a later one from NotInForce")
	}
}

// TestControllerWithOtherSettingsFile: changed entries take precedence over any settings file, and controllers with
// other settings files are reported.
func TestControllerWithOtherSettingsFile(t *testing.T) {
	older := []settings.Team{{Name: "red", CPUsMax: 8}, {Name: "gone", CPUsMax: 4}}
	newer := []settings.Team{{Name: "red", CPUsMax: 16}}
	for _, base := range [][]settings.Team{older, newer} {
		c := New(base, time.Second)
		c.ApplyEntry("red", entry(3, "x", 5), 7)
		c.ApplyEntry("gone", Entry{Number: 1, ChangeID: "y", CPUsMax: 4, Removed: true}, 8)
		c.MarkReadUpTo(9, start)
		_, accepts := c.AcceptsJobs("gone")
		if c.max(t, "red", start) != 5 || accepts || c.max(t, "gone", start) != 4 || len(c.Teams()) != 2 {
			t.Errorf("base %v: teams %v, removed team accepts jobs: %v", base, c.Teams(), accepts)
		}
	}
	propagation := NewPropagation()
	propagation.Apply("b", 1, Status{Serial: 1, BaseDigest: BaseDigest(newer)})
	propagation.Apply("c", 1, Status{Serial: 1, BaseDigest: BaseDigest([]settings.Team{older[1], older[0]})})
	if s := propagation.OtherSettings(BaseDigest(older)); len(s) != 1 || s[0] != "b" {
		t.Errorf("controllers with other settings files: %v, want b", s)
	}
}

// TestLaggingMembers: a member that does not know the last change is returned, with the time for which it has lagged.
func TestLaggingMembers(t *testing.T) {
	propagation := NewPropagation()
	r := &MembershipRecord{Version: 5, Members: map[string]uint64{"a": 1, "b": 1}, Owner: func(string) string { return "a" }}
	propagation.Apply("a", 1, Status{Serial: 1, RecordVersion: 5, KnownRevision: 9})
	propagation.Apply("b", 1, Status{Serial: 1, RecordVersion: 5, KnownRevision: 8})
	if l := propagation.Lagging(r, 8, start); len(l) != 0 {
		t.Errorf("behind: %v", l)
	}
	propagation.Lagging(r, 9, start)
	if l := propagation.Lagging(r, 9, start.Add(3*time.Second)); len(l) != 1 || l[0] != (LaggingMember{"b", 8, 3}) {
		t.Errorf("behind: %v", l)
	}
	propagation.Apply("b", 2, Status{Serial: 1, RecordVersion: 5, KnownRevision: 9})
	if l := propagation.Lagging(r, 9, start.Add(4*time.Second)); len(l) != 1 {
		t.Error("the status of a process that the record does not name counts")
	}
}

// TestLossModel: the state service reverts to an older state, sometimes with new changes committed on top, while the
// controllers keep what they knew, some without the last changes. After they have exchanged their entries, all agree,
// and every change that any of them knew is written back, replaced by a later one, or returned as overruled.
func TestLossModel(t *testing.T) {
	overruled, written := 0, 0
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		type stored struct {
			Entry
			version uint64
		}
		store, revision := map[string]stored{}, uint64(1)
		nodes := []*Config{New(nil, time.Second), New(nil, time.Second), New(nil, time.Second)}
		commit := func() {
			team := []string{"red", "blue"}[rng.IntN(2)]
			revision++
			s := stored{entry(store[team].Number+1, fmt.Sprint(rng.Uint64()), 1+float64(rng.IntN(9))), revision}
			store[team] = s
		}
		read := func(c *Config) {
			for team, s := range store {
				c.ApplyEntry(team, s.Entry, s.version)
			}
			c.MarkReadUpTo(revision, start)
		}
		for epoch := range 1 + rng.IntN(3) {
			saved, savedRevision := map[string]stored{}, revision
			for i := range 2 + rng.IntN(8) {
				if i == 1 {
					for team, s := range store {
						saved[team] = s
					}
					savedRevision = revision
				}
				commit()
				read(nodes[rng.IntN(3)])
			}
			known := map[string]Entry{}
			for _, c := range nodes {
				for _, x := range c.ChangesAfter(0) {
					if x.Entry.Number >= known[x.Team].Number {
						known[x.Team] = x.Entry
					}
				}
			}
			store, revision = saved, savedRevision
			if epoch == 0 && rng.IntN(3) == 0 {
				store, revision = map[string]stored{}, 0
			}
			for range rng.IntN(3) {
				commit() // by an operator, before the controllers detect the loss
			}
			for _, c := range nodes {
				c.StartEpoch()
				read(c)
			}
			for range 2 { // in any order, and each twice
				for _, from := range rng.Perm(3) {
					for _, to := range rng.Perm(3) {
						for _, x := range nodes[from].Unwritten() {
							nodes[to].ApplyRemembered(x.Team, x.Entry)
						}
					}
				}
			}
			for _, x := range nodes[rng.IntN(3)].Unwritten() {
				if store[x.Team].version != x.Version {
					t.Fatalf("seed %d: %s overwrites version %d, but the store has version %d", seed, x.Team, x.Version, store[x.Team].version)
				}
				revision++
				written++
				store[x.Team] = stored{x.Entry, revision}
			}
			for i, c := range nodes {
				read(c)
				if len(c.Unwritten()) > 0 {
					t.Fatalf("seed %d: controller %d still has unwritten changes %v", seed, i, c.Unwritten())
				}
				for team, s := range store {
					if e, _ := c.Entry(team); e != s.Entry {
						t.Fatalf("seed %d: controller %d knows %+v for %s, want %+v", seed, i, e, team, s.Entry)
					}
				}
			}
			for team, e := range known {
				if s := store[team]; s.Number < e.Number {
					t.Fatalf("seed %d: change %d of %s was lost", seed, e.Number, team)
				} else if s.Number == e.Number && s.ChangeID != e.ChangeID {
					overruled++
					if !reportedOverruled(nodes, e) {
						t.Fatalf("seed %d: change %d of %s was overruled and no controller returns it", seed, e.Number, team)
					}
				}
			}
		}
	}
	if overruled < 20 || written < 100 {
		t.Errorf("%d overruled, %d written back", overruled, written)
	}
}

// reportedOverruled reports whether any controller returns the entry as overruled.
func reportedOverruled(nodes []*Config, e Entry) bool {
	for _, c := range nodes {
		for _, x := range c.Overruled() {
			if x.Entry == e {
				return true
			}
		}
	}
	return false
}

// TestLateStatuses: entries and statuses that arrive late or twice have no effect.
func TestLateStatuses(t *testing.T) {
	c := New(nil, time.Second)
	c.ApplyEntry("red", entry(1, "a", 8), 11)
	c.ApplyEntry("red", entry(2, "b", 4), 12)
	if c.ApplyEntry("red", entry(2, "b", 4), 12) || c.ApplyEntry("red", entry(1, "a", 8), 11) || len(c.Unwritten()) > 0 || c.Version("red") != 12 {
		t.Errorf("after late entries: version %d, unwritten %v", c.Version("red"), c.Unwritten())
	}
	propagation := NewPropagation()
	r := &MembershipRecord{Version: 5, Members: map[string]uint64{"a": 2}, Owner: func(string) string { return "a" }}
	propagation.Apply("a", 2, Status{Serial: 7, RecordVersion: 5, KnownRevision: 9, Unsettled: []string{"red"}})
	propagation.Apply("a", 2, Status{Serial: 6, RecordVersion: 5, KnownRevision: 9})
	propagation.Apply("a", 1, Status{Serial: 8, RecordVersion: 5, KnownRevision: 20})
	if propagation.KnownByAll(r) != 9 || len(propagation.Propagated(r, []Change{{Team: "red", Version: 8}})) > 0 {
		t.Error("a late status of a member, or a status of its earlier process, counts")
	}
}

// TestEntries: amounts out of range and names that are not valid in a key are rejected, and a limit of 0 means none.
func TestEntries(t *testing.T) {
	for e, want := range map[Entry]string{
		{Number: 1, ChangeID: "a", CPUs: -1}:         "cpus",
		{Number: 1, ChangeID: "a", CPUsMax: 0.001}:   "cpus_max",
		{Number: 1, ChangeID: "a", GPUsMax: 1e10}:    "gpus_max",
		{Number: 1, ChangeID: "a", GPUs: math.NaN()}: "gpus",
		{Number: 0, ChangeID: "a"}:                   "number",
		{Number: 1, ChangeID: "a", CPUsMax: 8}:       "",
	} {
		if err := e.Check(); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %q", e, err, want)
		}
	}
	for name, valid := range map[string]bool{"red": true, "a.b-c_9": true, "": false, "a/b": false, "a b": false, strings.Repeat("x", 101): false} {
		if ValidTeam(name) != valid {
			t.Errorf("ValidTeam(%q) is not %v", name, valid)
		}
	}
	e := entry(1, "a", 0)
	if l := e.Limits(); !math.IsInf(l.CPUsMax, 1) || EntryFromSettings(l.team("red")).CPUsMax != 0 {
		t.Errorf("limits of an entry without limits: %+v", l)
	}
}

// TestFailoverNeedsKnownRevision: a controller that takes a team over starts no tasks before it knows all changes that
// were in force at that time.
func TestFailoverNeedsKnownRevision(t *testing.T) {
	c := New(nil, time.Second)
	c.MarkReadUpTo(10, start)
	c.RequireRevision(15)
	c.ApplyMissing([]Change{{"red", entry(1, "a", 4), 14}}, 10, 20, 16, 15)
	c.ApplyMissing([]Change{{"red", entry(2, "b", 3), 17}}, 12, 20, 15, 15)
	if c.Ready() || c.KnownRevision() != 10 {
		t.Errorf("ready %v with known revision %d, want not ready with 10", c.Ready(), c.KnownRevision())
	}
	if c.MarkReadUpTo(15, start); !c.Ready() {
		t.Error("not ready although the required revision is known")
	}
	if c.StartEpoch(); c.KnownRevision() != 0 || len(c.Unwritten()) != 1 {
		t.Errorf("after a loss: known revision %d, unwritten %v", c.KnownRevision(), c.Unwritten())
	}
}
