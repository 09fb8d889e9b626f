package leadership

import (
	"encoding/json"
	"fmt"
	"testing"
)

// TestManyMembersChangeInSteps: 46 controllers join, restart and leave at the same time. No change of the record needs
// more than maxMemberChanges conditions, and after some changes the record has exactly the present controllers.
func TestManyMembersChangeInSteps(t *testing.T) {
	const controllers = 46
	shards := []string{FleetShard, "team/a"}
	record := (&Record{Term: 1}).Clone()
	for phase, live := range []map[string]Presence{presences(controllers, 1), presences(controllers, 2), presences(1, 2), presences(controllers, 3)} {
		for changes := 0; ; changes++ {
			next, conditions := ReconcileMembers(record, shards, live)
			if next == nil {
				break
			}
			if record = next; len(conditions) > maxMemberChanges || changes > controllers {
				t.Fatalf("phase %d: %d conditions in change %d", phase, len(conditions), changes)
			}
		}
		if len(record.Nodes) != len(live) {
			t.Fatalf("phase %d: %d members, %d controllers are present", phase, len(record.Nodes), len(live))
		}
		for name, p := range live {
			if !record.IsMember(name, p.Incarnation) {
				t.Fatalf("phase %d: %s is not a member", phase, name)
			}
		}
	}
}

// presences returns the presences of controllers with the same incarnation.
func presences(controllers int, incarnation uint64) map[string]Presence {
	live := map[string]Presence{}
	for i := range controllers {
		live[fmt.Sprintf("controller-%02d", i)] = Presence{Incarnation: incarnation, Version: uint64(i + 1)}
	}
	return live
}

// TestRecordSizes measures the stored record of some deployments. Those of more than a few dozen teams do not fit a
// value of 2 KB in either form.
func TestRecordSizes(t *testing.T) {
	for _, c := range []struct {
		controllers, teams int
		fits               bool // into 2 KB
	}{{3, 8, true}, {3, 12, true}, {3, 55, true}, {3, 950, false}, {46, 950, false}} {
		record := (&Record{Term: 1}).Clone()
		shards := []string{FleetShard}
		for i := range c.teams {
			shards = append(shards, fmt.Sprintf("team/team-%03d", i))
		}
		live := presences(c.controllers, 1<<40)
		for next := record; next != nil; next, _ = ReconcileMembers(record, shards, live) {
			record = next
		}
		for name, shard := range record.Shards {
			shard.InSync = Ranked(name, record.Members())[:2]
			record.Shards[name] = shard
		}
		encoded, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d controllers, %d teams: %d bytes", c.controllers, c.teams, len(encoded))
		if fits := len(encoded) <= 2<<10; fits != c.fits {
			t.Errorf("%d controllers, %d teams: %d bytes", c.controllers, c.teams, len(encoded))
		}
	}
}
