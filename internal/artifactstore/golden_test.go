package artifactstore

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/blob"
	"topazhollow/internal/goldentest"
)

// The golden files fix the encodings of log entries, manifests, streams, votes and answers. Data on disk outlives the
// version that wrote it, and replicas of two versions vote together, so the encodings may only be extended.

var (
	goldenKey     = []byte("0123456789abcdef") // signs manifests and tokens
	goldenAt      = time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.UTC)
	goldenAttempt = Attempt{Job: "job-000412", Task: 3, Number: 2}
	goldenClaim   = Claim{Attempt: goldenAttempt, Tenant: "vision", Machine: "n-000231", Session: 1, Class: "train"}
	goldenRecord  = Record{At: goldenAt, Data: []byte("line\n"), Dropped: &DroppedOutput{Bytes: 77, From: goldenAt, To: goldenAt.Add(time.Second)}}
	goldenVote    = Vote{Promised: Ballot{Round: 2, By: "a.1"}, Freeze: true, Accepted: Ballot{Round: 1, By: "b.1"}, Value: []byte("value")}
	goldenExit    = Exit{Completed: true, Code: 3, Reason: "signal"}
	goldenResult  = Result{Tenant: "vision", Number: 2, Manifest: blob.DigestOf([]byte("manifest")).String()}
	goldenView    = AttemptView{Claim: goldenClaim, Ended: goldenResult.Manifest, Partial: true, Exit: &goldenExit, Voted: true, Idle: 1.5,
		Streams: map[string]Extent{"stdout": {Next: 9, Bytes: 100, Lost: 77}}, Files: map[string]string{"out/a": blob.DigestOf([]byte("a")).String()}}
)

// goldenManifest returns a manifest with every field set except the code.
func goldenManifest() *Manifest {
	stream, file := blob.DigestOf([]byte("stream")), blob.DigestOf([]byte("a"))
	return &Manifest{Claim: goldenClaim, Sealed: goldenAt, Partial: true, Exit: goldenExit,
		Streams: []StreamInfo{{Name: "stdout", Records: 9, Bytes: 100, Lost: 77, Blob: stream, Digest: stream.String()}},
		Files:   []FileInfo{{Path: "out/a", Digest: file.String()}}}
}

func TestGoldenManifest(t *testing.T) {
	goldentest.Bytes(t, "manifest-full.json", goldenManifest().Sign(goldenKey))
	m, err := Verify(goldenKey, goldentest.Read(t, "manifest-full.json"))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.AllSet(t, *m)
	goldentest.Bytes(t, "manifest-full.json", m.Sign(goldenKey))
	goldentest.Bytes(t, "manifest-empty.json", (&Manifest{}).Sign(goldenKey))
	if _, err := Verify(goldenKey, goldentest.Read(t, "manifest-empty.json")); err != nil {
		t.Error(err)
	}
}

func TestGoldenToken(t *testing.T) {
	task := 3
	grant := Grant{Right: Write, Tenant: "vision", Job: "job-000412", Task: &task, Number: 2, Machine: "n-000231", Session: 1, Class: "train", Until: goldenAt}
	goldentest.AllSet(t, grant)
	token := goldentest.Bytes(t, "token.txt", []byte(grant.Token(goldenKey)))
	read, err := ParseToken(goldenKey, string(token), goldenAt.Add(-time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "token.txt", []byte(read.Token(goldenKey)))
	goldentest.Bytes(t, "rights.txt", []byte(strings.Join([]string{string(Read), string(Write), string(Peer), string(Operate), string(Build)}, "\n")+"\n"))
}

func TestGoldenStream(t *testing.T) {
	content := AppendRecord(AppendRecord(nil, goldenRecord), Record{At: goldenAt})
	goldentest.Bytes(t, "stream.bin", content)
}

func TestGoldenNames(t *testing.T) {
	goldentest.Bytes(t, "names.txt", []byte(strings.Join([]string{sealedName(goldenAttempt), partialName(goldenAttempt), finalName(goldenAttempt), openName(goldenAttempt, "out/a")}, "\n")+"\n"))
}

// openGolden opens a store on the log in a directory.
func openGolden(t *testing.T, dir string) *Store {
	t.Helper()
	blobs, err := blob.Open(blob.Options{Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	st, err := Open(Options{Dir: dir, Blobs: blobs, Key: goldenKey, Now: func() time.Time { return goldenAt }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := st.Close(); err != nil {
			t.Error(err)
		}
		if err := blobs.Close(); err != nil {
			t.Error(err)
		}
	})
	return st
}

// TestGoldenLog fixes the log of an open attempt on disk, and checks that a store that replays it reads the same
// records.
func TestGoldenLog(t *testing.T) {
	const segment = "00000001.log"
	records := []Record{{At: goldenAt, Data: []byte("line\n")}, {At: goldenAt, Dropped: goldenRecord.Dropped}}
	dir := t.TempDir()
	st := openGolden(t, dir)
	if err := st.Begin(t.Context(), goldenClaim); err != nil {
		t.Fatal(err)
	}
	if _, err := st.Append(t.Context(), goldenClaim, "stdout", 0, records); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(dir, segment))
	if err != nil {
		t.Fatal(err)
	}
	golden := goldentest.Bytes(t, segment, written)

	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, segment), golden, 0o600); err != nil {
		t.Fatal(err)
	}
	var read []Record
	next, sealed, err := openGolden(t, dir).Read(goldenAttempt, "stdout", 0, func(r Record) error {
		read = append(read, r)
		return nil
	})
	if err != nil || next != 2 || sealed || !reflect.DeepEqual(read, records) {
		t.Errorf("read %+v up to %d, sealed %v, error %v, want %+v", read, next, sealed, err, records)
	}
}

func TestGoldenEntries(t *testing.T) {
	cases := []goldentest.Case{
		{Name: "entry-full.json", Full: true, Value: entry{Kind: "any", Claim: &goldenClaim, Attempt: goldenAttempt, Stream: "stdout", First: 4, Records: []Record{goldenRecord}, Path: "out/a",
			Digest: blob.DigestOf([]byte("a")).String(), Vote: &goldenVote, ResultUnknown: true}},
		{Name: "entry-empty.json", Value: entry{}},
	}
	for _, kind := range []string{kindBegin, kindAppend, kindFile, kindVote, kindClosed, kindSettled} {
		cases = append(cases, goldentest.Case{Name: "entry-" + kind + ".json", Value: entry{Kind: kind, Attempt: goldenAttempt}})
	}
	goldentest.Wire.Check(t, cases)
}

func TestGoldenMessages(t *testing.T) {
	next, offset := uint64(9), int64(4096)
	manifest := goldenManifest()
	manifest.Sign(goldenKey)
	for _, message := range []struct {
		name        string
		full, empty any
	}{
		{"vote", goldenVote, Vote{}},
		{"promise", Promise{Vote: goldenVote, Decided: []byte("value"), Latest: 2, View: &goldenView}, Promise{}},
		{"result", goldenResult, Result{}},
		{"task-view", TaskView{Attempts: []AttemptView{goldenView}, Result: &goldenResult, Voted: true}, TaskView{}},
		{"answer", Answer{Error: "gone", Code: "unknown", Next: &next, Offset: &offset, Upload: "u1", Done: true, Final: true, Sealed: manifest,
			List: []AttemptSummary{{Attempt: goldenAttempt, Machine: "n-000231", State: StateUnsure, Exit: &goldenExit}}, Unsure: true}, Answer{}},
		{"task-list", TaskList{Tasks: []int{0, 3}, Unsure: true}, TaskList{}},
		{"end", End{Exit: goldenExit, Records: map[string]uint64{"stdout": 9}, Files: map[string]string{"out/a": blob.DigestOf([]byte("a")).String()}}, End{}},
		{"line", Line{Number: 9, Record: &goldenRecord, State: StateUnsure, Attempt: 2}, Line{}},
	} {
		goldentest.Wire.Check(t, []goldentest.Case{
			{Name: message.name + "-full.json", Value: message.full, Full: true},
			{Name: message.name + "-empty.json", Value: message.empty},
		})
	}
}
