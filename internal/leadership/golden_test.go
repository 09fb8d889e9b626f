package leadership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"topazhollow/internal/goldentest"
)

// Golden files of the membership record as stored in the state service. Controllers of two versions read it side by
// side, so its encoding may only be extended.

// fullRecord returns a record with every field set.
func fullRecord() Record {
	return Record{Term: 41, Nodes: map[string]uint64{"estacion-1": 1767225600000001, "estacion-2": 1767225600000002},
		Shards: map[string]Shard{"team/vision": {Owner: "estacion-2", SinceTerm: 40, InSync: []string{"estacion-1"}, NeedsBarrier: true},
			FleetShard: {Owner: "estacion-1", SinceTerm: 41, InSync: []string{"estacion-2"}, NeedsBarrier: true}},
		Unreachable: []string{"estacion-1"}, Epoch: 2, FirstTerm: 30, StoreID: "DRAWN", PreviousVersion: 411, RosterIncomplete: true, DataLost: true}
}

// goldenTeams is the number of teams that the packed golden record has beside the usual one.
const goldenTeams = 64

// packedRecord returns a record with enough shards to be written in the packed form.
func packedRecord() Record {
	r := fullRecord()
	for i := range goldenTeams {
		shard := Shard{Owner: "estacion-1", SinceTerm: 41 - uint64(i%3), InSync: []string{"estacion-2"}, NeedsBarrier: i%5 == 0}
		if i%4 == 0 {
			shard.InSync = []string{}
		}
		r.Shards[fmt.Sprintf("team/team-%02d", i)] = shard
	}
	return r
}

func TestGoldenRecord(t *testing.T) {
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "record-plain.json", Value: fullRecord(), Full: true},
		{Name: "record-packed.json", Value: packedRecord()},
		{Name: "record-empty.json", Value: Record{}},
		{Name: "record-of-nobody.json", Value: Record{Nodes: map[string]uint64{}, Shards: map[string]Shard{FleetShard: {}}}},
	})
	if packed := string(goldentest.Read(t, "record-packed.json")); !strings.Contains(packed, `"packed"`) || strings.Contains(packed, `"items"`) {
		t.Error("the packed record is not in the packed form")
	}
}

// TestGoldenChoices guards that controllers of all versions choose the same home for a machine and the same owners.
func TestGoldenChoices(t *testing.T) {
	nodes := []string{"estacion-1", "estacion-2", "estacion-3", "estacion-4"}
	r := Record{Nodes: map[string]uint64{}}
	for _, node := range nodes {
		r.Nodes[node] = 1
	}
	shardNames := []string{FleetShard, "team/vision", "team/speech", "team/search", "team/maps"}
	owners := AssignOwners(shardNames, nodes)
	var lines []string
	for _, shard := range slices.Sorted(slices.Values(shardNames)) {
		lines = append(lines, fmt.Sprintf("%s: owner %s, rank %s", shard, owners[shard], strings.Join(Ranked(shard, nodes), " ")))
	}
	for i := range 8 {
		machine := fmt.Sprintf("n-%06d", i)
		lines = append(lines, fmt.Sprintf("%s: home %s", machine, r.Home(machine)))
	}
	goldentest.Bytes(t, "choices.txt", []byte(strings.Join(lines, "\n")+"\n"))
}
