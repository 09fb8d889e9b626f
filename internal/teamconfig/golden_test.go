package teamconfig

import (
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/settings"
)

// The golden files hold teams' entries as stored in the state service. Entries outlive the process that wrote them, so
// their format may only be extended. The tests of internal/controller cover the messages between controllers that carry
// this package's types.

// TestGoldenEntry checks the stored format of entries.
func TestGoldenEntry(t *testing.T) {
	goldentest.Wire.Check(t, []goldentest.Case{
		{Name: "entry-full.json", Value: Entry{Number: 3, ChangeID: "drawn", CPUs: 96, CPUsMax: 192.5, GPUs: 8, GPUsMax: 16, Removed: true, StopExcess: true}, Full: true},
		{Name: "entry-empty.json", Value: Entry{}},
	})
}

// TestGoldenBase checks that the digest of the settings file's teams, which controllers compare, stays the same.
func TestGoldenBase(t *testing.T) {
	teams := []settings.Team{{Name: "vision", CPUs: 96, CPUsMax: 192.5, GPUs: 8, GPUsMax: 16}, {Name: "speech \u00e9", CPUs: 1e9, CPUsMax: 1e21, GPUs: 0.1}}
	const want = uint64(8542704972940467863)
	if got := BaseDigest(teams); got != want {
		t.Errorf("digest %d, want %d", got, want)
	}
	if got := BaseDigest([]settings.Team{teams[1], teams[0]}); got != want {
		t.Errorf("digest of the teams in another order %d, want %d", got, want)
	}
}
