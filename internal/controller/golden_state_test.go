package controller

import (
	"strings"
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/leadership"
	"topazhollow/internal/protocol"
	"topazhollow/internal/shards"
)

// Golden files of the controllers' own keys in the state service. Keys and values outlive the process that wrote them,
// so that fields may be added, but none changed or removed. The golden files of jobs and ends are in internal/userapi,
// of pages in internal/jobstate and internal/datarecovery, of rosters in internal/agents, of the membership record in
// internal/leadership, of teams in internal/teamstore.

func TestGoldenKeys(t *testing.T) {
	goldentest.Bytes(t, "state-keys.txt", []byte(strings.Join([]string{
		"control record: " + recordKey,
		"presence of estacion-1: " + presencePrefix + "estacion-1",
		"rosters of estacion-1: " + rosterPrefix + "estacion-1/",
		"pages of finished tasks of team vision: " + shards.PagesPrefix(shards.ForTeam("vision")),
		"pages of finished tasks of the fleet, if it had any: " + shards.PagesPrefix(leadership.FleetShard),
	}, "\n")+"\n"))
}

func TestGoldenPresence(t *testing.T) {
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "presence-full.json", Value: presenceValue{Incarnation: 1767225600000001, Protocol: protocolDependencies}, Full: true},
		{Name: "presence-empty.json", Value: presenceValue{}},
	})
}

// TestPresenceOfEarlierVersions checks that the presence of a process that names no protocol version is read as such.
func TestPresenceOfEarlierVersions(t *testing.T) {
	goldentest.Wire.CheckEarlier(t, "presence-full-before-protocol.json", presenceValue{Incarnation: 1767225600000001, Protocol: 0})
}

// goldenRecord is a membership record with every field set.
func goldenRecord() *leadership.Record {
	return &leadership.Record{Term: 41, Nodes: map[string]uint64{"estacion-1": 1767225600000001, "estacion-2": 1767225600000002},
		Shards:      map[string]leadership.Shard{shards.ForTeam("vision"): {Owner: "estacion-2", SinceTerm: 40, InSync: []string{"estacion-1"}, NeedsBarrier: true}},
		Unreachable: []string{"estacion-1"}, Epoch: 2, FirstTerm: 30, StoreID: "DRAWN", PreviousVersion: 411, RosterIncomplete: true, DataLost: true}
}

// TestGoldenRecordChange checks the transactions that write the membership record; the first one also writes the
// epoch's key.
func TestGoldenRecordChange(t *testing.T) {
	conditions := []leadership.Condition{{Node: "estacion-1", Version: 400}}
	first := proposedRecord{RecordChange: &leadership.RecordChange{Record: goldenRecord(), Conditions: conditions}}
	later := proposedRecord{RecordChange: &leadership.RecordChange{Record: goldenRecord(), Conditions: conditions, Version: 412}, epochKeyVersion: 300}
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "record-change-first.json", Value: first.transaction()},
		{Name: "record-change-later.json", Value: later.transaction()},
		{Name: "record-change-guards-only.json", Value: protocol.Txn{Conditions: []protocol.Condition{{}}}},
	})
}
