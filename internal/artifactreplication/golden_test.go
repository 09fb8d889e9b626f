package artifactreplication

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/goldentest"
	"topazhollow/internal/protocol"
)

// The golden files fix the encodings of messages between replicas and of their local state. Replicas of two versions
// run side by side, so the encodings may only be extended. Members, Member and the summary of an open attempt have no
// JSON tags: there the names of the Go fields are part of the encoding.

// goldenMembers returns a list with every field set.
func goldenMembers() Members {
	return Members{Epoch: 3, Copies: 3, Acks: 2, List: []Member{{Name: "a", Zone: "zone 0", URL: "http://10.0.0.1:7000", State: Serving}, {Name: "b", Zone: "zone 1", URL: "http://10.0.0.2:7000", State: Draining},
		{Name: "c", Zone: "zone 1", URL: "http://10.0.0.3:7000", State: Gone}, {Name: "d", Zone: "zone 0", URL: "http://10.0.0.4:7000", State: Serving}}}
}

func TestGoldenIdentity(t *testing.T) {
	members := goldenMembers()
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "identity-full.json", Value: identity{Disk: "00112233", Incarnation: 7, Lists: []Members{members}}, Full: true},
		{Name: "identity-empty.json", Value: identity{}},
	})
	goldentest.Bytes(t, "members-digest.txt", []byte(members.digest()+"\n"))
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "identity.json"), goldentest.Read(t, "identity-full.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	id, err := openIdentity(dir, &members)
	if err != nil || id.Disk != "00112233" || id.Incarnation != 8 || !id.isSynced(&members) {
		t.Errorf("identity %+v, error %v", id, err)
	}
}

// TestGoldenPlacement checks that all versions compute the same replicas and bucket for a task.
func TestGoldenPlacement(t *testing.T) {
	members := goldenMembers()
	var text []byte
	for _, at := range []artifactstore.Attempt{{Job: "job-000412", Task: 3, Number: 2}, {Job: "job-000398", Number: 1}} {
		text = append(text, protocol.Encode(struct {
			Place  []string `json:"place"`
			Bucket int      `json:"bucket"`
		}{members.ReplicasOf(at.Job, at.Task), bucketOf(at)})...)
		text = append(text, '\n')
	}
	goldentest.Bytes(t, "places.jsonl", text)
}

// TestGoldenChecksums fixes the names and sums by which replicas compare their data.
func TestGoldenChecksums(t *testing.T) {
	n, _ := newSingleReplica(t, t.TempDir(), nil)
	c := claim(1, 0, 1)
	if err := n.Begin(ctx, c); err != nil {
		t.Fatal(err)
	}
	if _, err := n.Append(ctx, c, "stdout", 0, lines(0, 3, "line")); err != nil {
		t.Fatal(err)
	}
	bucket := bucketOf(c.Attempt)
	names, err := n.namesInBuckets("a", []int{bucket})
	if err != nil {
		t.Fatal(err)
	}
	sums, err := n.checksums("a")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "sums.txt", []byte(strings.Join(append(names, sums[bucket]), "\n")+"\n"))
}

func TestGoldenMessages(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.UTC)
	attempt := artifactstore.Attempt{Job: "job-000412", Task: 3, Number: 2}
	owner := artifactstore.Claim{Attempt: attempt, Tenant: "vision", Machine: "n-000231", Session: 1, Class: "train"}
	digest := blob.DigestOf([]byte("content")).String()
	vote := artifactstore.Vote{Promised: artifactstore.Ballot{Round: 2, By: "a.1"}, Freeze: true, Accepted: artifactstore.Ballot{Round: 1, By: "b.1"}, Value: []byte("value")}
	view := artifactstore.AttemptView{Claim: owner, Ended: digest, Partial: true, Exit: &artifactstore.Exit{Completed: true, Code: 3, Reason: "signal"}, Voted: true, Idle: 1.5,
		Streams: map[string]artifactstore.Extent{"stdout": {Next: 9, Bytes: 100, Lost: 77}}, Files: map[string]string{"out/a": digest}}
	status := Status{Name: "a", Zone: "zone 0", State: string(Joining), Epoch: 3, Disk: "00112233", Incarnation: 7, Open: 1, Bytes: 2, Blobs: 3, PendingRepairs: 4, OldestRepairSeconds: 5.5, RepairedTasks: 6, RepairedBytes: 7, UnderReplicated: 8, Misplaced: 9,
		Unreachable: map[string]string{"b": "timeout"}, Refused: map[string]int64{"busy": 10}}
	for _, message := range []struct {
		name        string
		full, empty any
	}{
		{"call", peerRequest{Op: "append", Claim: owner, Attempt: attempt, Stream: "stdout", First: 4, Records: []artifactstore.Record{{At: at, Data: []byte("line\n"), Dropped: &artifactstore.DroppedOutput{Bytes: 77, From: at, To: at}}},
			Path: "out/a", Digest: digest, Ballot: artifactstore.Ballot{Round: 2, By: "a.1"}, Freeze: true, Value: []byte("value"), Buckets: []int{0, 7}, Count: true, From: "a", Identity: "3.00"}, peerRequest{}},
		{"answer", peerResponse{Next: 9, Promise: &artifactstore.Promise{Vote: vote, Decided: []byte("value"), Latest: 2, View: &view},
			Task:  &artifactstore.TaskView{Attempts: []artifactstore.AttemptView{view}, Result: &artifactstore.Result{Tenant: "vision", Number: 2, Manifest: digest}, Voted: true},
			Tasks: []int{0, 3}, Sums: []string{"00"}, Names: []string{"sealed/x"}, Votes: []registerVote{{At: attempt, Vote: vote}}, Status: &status}, peerResponse{}},
		{"status", status, Status{}},
	} {
		goldentest.Wire.Check(t, []goldentest.Case{
			{Name: message.name + "-full.json", Value: message.full, Full: true},
			{Name: message.name + "-empty.json", Value: message.empty},
		})
	}
}

// TestGoldenCodes fixes the error codes with their HTTP status and Retry-After.
func TestGoldenCodes(t *testing.T) {
	var text []byte
	for _, c := range errorCodes {
		text = append(text, protocol.Encode(struct {
			Code   string        `json:"code"`
			Status int           `json:"status"`
			Retry  time.Duration `json:"retry"`
		}{c.code, c.status, c.retry})...)
		text = append(text, '\n')
	}
	goldentest.Bytes(t, "codes.jsonl", text)
}
