package snapshot

import "testing"

// TestMissingTeams: a restore must write the team configuration that the service lacks or has in an earlier version,
// and must not replace the same or a later version.
func TestMissingTeams(t *testing.T) {
	entry := func(number string, version uint64) Entry {
		return Entry{Value: []byte(`{"number":` + number + `,"change":"x"}`), Version: version}
	}
	old := map[string]Entry{"w/t/lost": entry("3", 90), "w/t/older": entry("3", 91), "w/t/newer": entry("1", 92), "w/c": entry("9", 93)}
	now := map[string]Entry{"w/t/older": entry("2", 7), "w/t/newer": entry("1", 8)}
	updates, err := missingTeams(old, now)
	if err != nil || len(updates) != 2 {
		t.Fatalf("%+v, %v", updates, err)
	}
	for i, want := range []struct {
		key     string
		version uint64
	}{{"w/t/lost", 0}, {"w/t/older", 7}} {
		if u := updates[i]; u.Conditions[0].Key != want.key || u.Conditions[0].Version != want.version || string(u.Changes[0].Value) != string(old[want.key].Value) {
			t.Errorf("%+v, want %+v", u, want)
		}
	}
	old["w/t/bad"] = Entry{Value: []byte(`{`)}
	if _, err := missingTeams(old, now); err == nil {
		t.Error("no error for an unreadable entry")
	}
}
