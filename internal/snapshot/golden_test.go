package snapshot

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/fxamacker/cbor/v2"

	"topazhollow/internal/goldentest"
)

// These tests compare the records of archives and the pages that a restore writes with their golden files. Archives
// outlive the process that wrote them, so the formats may only be extended.

func TestGoldenRecords(t *testing.T) {
	entry := Entry{Key: "w/a/job-000412", Value: []byte(`{"a":1}`), Version: 412, Deleted: true, Leased: true}
	form := goldentest.Form{Encode: cbor.Marshal, Decode: cbor.Unmarshal}
	form.Check(t, []goldentest.Case{
		{Name: "record-full.cbor", Full: true, Value: record{Format: format, Kind: kindBegin, Copy: 7, At: 1767225600123, From: 411, To: 412, Entries: []Entry{entry}, Keys: 1,
			Sum: []byte{1, 2, 3}, Why: "gone"}},
		{Name: "record-part.cbor", Value: record{Format: format, Kind: kindPart, Copy: 7, Entries: []Entry{{Key: "w/c"}}}},
		{Name: "record-end.cbor", Value: record{Format: format, Kind: kindEnd}},
		{Name: "record-changes.cbor", Value: record{Format: format, Kind: kindChanges}},
		{Name: "record-lost.cbor", Value: record{Format: format, Kind: kindLost}},
	})
}

// TestGoldenArchive reads an archive that an earlier version wrote. Its bytes are not compared with those written now,
// since the output of the compression library may change; TestGoldenRecords compares the uncompressed records.
func TestGoldenArchive(t *testing.T) {
	const segment = "00000001.log"
	at := time.UnixMilli(1767225600123)
	keys := map[string]Entry{"w/c": {Key: "w/c", Value: []byte(`{"term":41}`), Version: 300}, "w/n/estacion-1": {Key: "w/n/estacion-1", Value: []byte("{}"), Version: 301, Leased: true}}
	dir := t.TempDir()
	a, err := Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	id, err := a.PutCopy(t.Context(), keys, 411, at)
	if err != nil {
		t.Fatal(err)
	}
	changes := []Entry{{Key: "f/job-000412", Value: []byte("{}"), Version: 412}, {Key: "w/n/estacion-1", Version: 413, Deleted: true}}
	if err := a.AppendChanges(t.Context(), id, 411, 413, changes, at.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := a.MarkLost(t.Context(), id, "set back", at.Add(2*time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(dir, segment))
	if err != nil {
		t.Fatal(err)
	}

	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, segment), goldentest.Sample(t, "archive-"+segment, written), 0o600); err != nil {
		t.Fatal(err)
	}
	if a, err = Open(dir, Options{}); err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	c, whole := a.Latest()
	if !whole || c.ID != 1 || !c.At.Equal(at) || !c.Until.Equal(at.Add(time.Second)) || c.Revision != 411 || c.LastRevision != 413 || c.Keys != 2 || c.Changes != 2 || c.LossReason != "set back" ||
		c.Sum != strings.TrimSpace(string(goldentest.Bytes(t, "archive-sum.txt", []byte(c.Sum+"\n")))) {
		t.Errorf("copy %+v", c)
	}
	read, revision, err := a.Load(1, 0)
	if err != nil || revision != 413 || len(read) != 2 || !bytes.Equal(read["w/c"].Value, keys["w/c"].Value) || read["w/c"].Version != 300 || read["f/job-000412"].Version != 412 {
		t.Errorf("read %+v at %d, error %v", read, revision, err)
	}
	read, _, err = a.Load(1, 411)
	if err != nil || !read["w/n/estacion-1"].Leased {
		t.Errorf("read %+v before the changes, error %v", read, err)
	}
}

// TestGoldenRestore compares the pages of finished tasks that a restore writes, and the keys that it reads.
func TestGoldenRestore(t *testing.T) {
	pages := donePages(map[string]*bitset.BitSet{"job-000398": bitset.New(0).Set(0).Set(70), "job-000412": bitset.New(0).Set(1)}, 60)
	if len(pages) != 2 {
		t.Fatalf("%d pages, want 2", len(pages))
	}
	goldentest.Wire.Check(t, []goldentest.Case{{Name: "finished-0.json", Value: pages[0]}, {Name: "finished-1.json", Value: pages[1]}})
	goldentest.Bytes(t, "keys.txt", []byte(strings.Join([]string{"jobs: " + JobKey, "ends: " + FinalKey, "pages of finished tasks: " + PageKey, "control record: " + DefaultConfig().Control}, "\n")+"\n"))
}

// TestGoldenCopies compares the copies and restore plans that the operator's tool prints.
func TestGoldenCopies(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 678000000, time.UTC)
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "copy-full.json", Full: true, Value: Copy{ID: 7, At: at, Until: at.Add(time.Second), Revision: 411, LastRevision: 413, Keys: 2, Changes: 3, Sum: "00", Complete: true, LossReason: "set back"}},
		{Name: "copy-empty.json", Value: Copy{}},
		{Name: "plan-full.json", Full: true, Value: Plan{Copy: 7, Revision: 411, Generation: 2, Jobs: 1, Ends: 2, Done: 3, Teams: 4, Newer: 5, Changes: 6}},
		{Name: "plan-empty.json", Value: Plan{}},
	})
}
