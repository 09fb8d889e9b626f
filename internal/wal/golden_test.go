package wal

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"topazhollow/internal/goldentest"
)

// TestGoldenSegment compares a segment with its golden file and reads that file. Logs outlive the process that wrote
// them, so the format may only be extended.
func TestGoldenSegment(t *testing.T) {
	records := []string{"a", "second record", string([]byte{0, 255, 10})}
	dir := t.TempDir()
	ignore := func(Pos, []byte) error { return nil }
	log, err := Open(dir, Options{}, Pos{}, ignore)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		if _, err := log.Append(t.Context(), []byte(r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	const name = "00000001.log"
	written, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	golden := goldentest.Bytes(t, name, written)

	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, name), golden, 0o600); err != nil {
		t.Fatal(err)
	}
	var read []string
	log, err = Open(dir, Options{}, Pos{}, func(_ Pos, record []byte) error {
		read = append(read, string(record))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(read, records) {
		t.Errorf("read %q, want %q", read, records)
	}
}
