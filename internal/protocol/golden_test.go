package protocol_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/protocol"
)

// The golden files hold the messages to and from users, agents, the cloud and the state service. Those interfaces are
// defined outside this program, so no name in the files may change.

// TestGoldenMessages checks the encoding and decoding of every message.
func TestGoldenMessages(t *testing.T) {
	number, value := 12.5, json.RawMessage(`{"a":[1,null]}`)
	task := protocol.TaskStatus{Task: "job-000412/3", Attempt: 2, State: protocol.Exited, Reason: protocol.ReasonStopped, Checkpointed: true}
	command := protocol.Command{Op: protocol.Stop, Task: "job-000412/3", Attempt: 2, GraceSeconds: &number}
	host := protocol.Host{UID: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, State: protocol.HostRunning, AgeSeconds: 61.5}
	machineType := protocol.MachineType{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, CacheGB: 200, FetchGBPerSecond: 1.5, PricePerHour: 12, SpotPricePerHour: 4.5, BootSeconds: 45, Zones: []string{"a", "b"}}
	entry := protocol.Entry{Key: "a/b", Value: value, Version: 412, Lease: 7}
	change := protocol.Change{Set: "c/9", Delete: "c/d", Value: value, Version: 433}
	op := protocol.Op{Set: "a/b", Value: value, Lease: 7, Delete: "c/d"}
	for _, message := range []struct {
		name        string
		full, empty any
	}{
		{"submission", *goldentest.Submission(), protocol.Submission{}},
		{"status", protocol.Status{UID: "job-000412", State: protocol.Running, Done: 3, Running: 13}, protocol.Status{}},
		{"brief", protocol.JobSummary{UID: "job-000412", State: protocol.Cancelled}, protocol.JobSummary{}},
		{"error", protocol.Error{Error: "no such job"}, protocol.Error{}},
		{"moved", protocol.Redirect{Controller: "estacion-2"}, protocol.Redirect{}},
		{"report", protocol.Heartbeat{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Incarnation: 1, Seq: 88, FencingToken: 41, NoticeSeconds: &number,
			Tasks: []protocol.TaskStatus{task}}, protocol.Heartbeat{Tasks: []protocol.TaskStatus{{}}}},
		{"report-answer", protocol.HeartbeatAnswer{FencingToken: 41, Commands: []protocol.Command{command}}, protocol.HeartbeatAnswer{Commands: []protocol.Command{{}}}},
		{"direct", protocol.DirectCommands{FencingToken: 41, Incarnation: 1, Commands: []protocol.Command{command}}, protocol.DirectCommands{}},
		{"catalog", protocol.Catalog{Types: []protocol.MachineType{machineType}}, protocol.Catalog{Types: []protocol.MachineType{{}}}},
		{"rent", protocol.ScaleOutRequest{Request: "r-17", Type: "g8", Zone: "a", Spot: true, Count: 12}, protocol.ScaleOutRequest{}},
		{"names", protocol.MachineNames{Machines: []string{"n-000231"}}, protocol.MachineNames{}},
		{"host-list", protocol.HostList{Hosts: []protocol.Host{host}, More: true}, protocol.HostList{Hosts: []protocol.Host{{}}}},
		{"entry-list", protocol.EntryList{Items: []protocol.Entry{entry}, More: true, Revision: 431}, protocol.EntryList{}},
		{"entry", entry, protocol.Entry{Value: json.RawMessage("null")}},
		{"transaction", protocol.Txn{Conditions: []protocol.Condition{{Key: "a/b", Version: 411}}, Then: []protocol.Op{op}}, protocol.Txn{Conditions: []protocol.Condition{{}}, Then: []protocol.Op{{}}}},
		{"transaction-result", protocol.TxnResult{Revision: 431, Failed: []string{"a/b"}}, protocol.TxnResult{}},
		{"grant-request", protocol.LeaseRequest{TTLMillis: 5000}, protocol.LeaseRequest{}},
		{"grant", protocol.LeaseGrant{Lease: 7}, protocol.LeaseGrant{}},
		{"changes", protocol.Changes{Revision: 433, Events: []protocol.Change{change}}, protocol.Changes{Events: []protocol.Change{{}}}},
	} {
		goldentest.Wire.Check(t, []goldentest.Case{
			{Name: message.name + "-full.json", Value: message.full, Full: true},
			{Name: message.name + "-empty.json", Value: message.empty},
		})
	}
}

// TestGoldenParse: ParseSubmission decodes field by field, and must give the same result as decoding the whole message.
func TestGoldenParse(t *testing.T) {
	got, err := protocol.ParseSubmission(goldentest.Read(t, "submission-full.json"))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "submission-full.json", protocol.Encode(got))
}

// TestSubmissionOfEarlierVersions checks that a submission as encoded before jobs could wait for others is read as one
// without dependencies, in both ways of decoding.
func TestSubmissionOfEarlierVersions(t *testing.T) {
	const name = "submission-full-before-dependencies.json"
	want := goldentest.Submission()
	want.Dependencies = nil
	goldentest.Wire.CheckEarlier(t, name, *want)
	got, err := protocol.ParseSubmission(goldentest.Read(t, name))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("parsed %+v, want %+v", got, want)
	}
}

// joined joins constants of one type by spaces.
func joined[Word ~string](words ...Word) string {
	var plain []string
	for _, word := range words {
		plain = append(plain, string(word))
	}
	return strings.Join(plain, " ")
}

// TestGoldenWords checks the constant values on the wire and the order of priorities.
func TestGoldenWords(t *testing.T) {
	words := []string{
		"kinds: " + joined(protocol.JobArray, protocol.Gang, protocol.Service),
		"states of jobs: " + joined(protocol.Pending, protocol.Running, protocol.Done, protocol.Cancelled),
		"states of tasks: " + joined(protocol.Pulling, protocol.Waiting, protocol.Running, protocol.Saving, protocol.Exited),
		"reasons: " + joined(protocol.ReasonDone, protocol.ReasonStopped, protocol.ReasonPeers, protocol.ReasonIncomplete, protocol.ReasonError, protocol.ReasonFull, protocol.ReasonInUse, protocol.ReasonNoSuch),
		"commands: " + joined(protocol.Start, protocol.Stop, protocol.Forget),
		"states of machines: " + joined(protocol.HostBooting, protocol.HostRunning, protocol.HostFailed),
		"paths: " + joined(protocol.PathSubmit, protocol.PathHealth, protocol.PathHeartbeat, protocol.PathCommands, protocol.PathInspect),
		"task: " + protocol.TaskName("job-000412", 3),
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(words, "\n")+"\n"))
	for i, priority := range []string{"low", "standard", "high", "prod"} {
		if protocol.Rank(priority) != i {
			t.Errorf("priority %s ranks %d, want %d", priority, protocol.Rank(priority), i)
		}
	}
}
