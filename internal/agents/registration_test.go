package agents

import (
	"slices"
	"testing"
)

// TestRegistration: the write of a machine is repeated until the machine is registered or gone, and machines that are
// gone are removed by one batch of writes at a time.
func TestRegistration(t *testing.T) {
	roster, g := NewRoster(1000), NewRegistration()
	gone := map[string]bool{}
	isGone := func(machine string) bool { return gone[machine] }
	if _, due := g.Next(roster, "m/", isGone); due {
		t.Error("writes although no registration is requested")
	}
	for _, machine := range []string{"n-3", "n-1", "n-2"} {
		g.Want(machine)
	}
	gone["n-3"] = true
	w, due := g.Next(roster, "m/", isGone)
	if !due || !slices.Equal(w.Names, []string{"n-1", "n-2"}) {
		t.Fatalf("writes %v, due %v", w.Names, due)
	}
	if again, due := g.Next(roster, "m/", isGone); !due || !slices.Equal(again.Names, w.Names) {
		t.Errorf("a failed write is not repeated: %v", again.Names)
	}
	if _, _, err := roster.ApplyList(w.Key, 1, w.Value()); err != nil {
		t.Fatal(err)
	}
	if _, due := g.Next(roster, "m/", isGone); due {
		t.Error("writes a machine that is registered")
	}
	if writes := g.BeginRemoval(roster, isGone); len(writes) != 0 {
		t.Errorf("removes %v although no registered machine is gone", writes)
	}
	gone["n-1"] = true
	if writes := g.BeginRemoval(roster, isGone); len(writes) != 1 || !slices.Equal(writes[0].Names, []string{"n-2"}) {
		t.Errorf("removal writes %v", writes)
	}
	if writes := g.BeginRemoval(roster, isGone); len(writes) != 0 {
		t.Errorf("a second removal during the first: %v", writes)
	}
	g.FinishRemoval()
	if writes := g.BeginRemoval(roster, isGone); len(writes) != 1 {
		t.Error("a failed removal is not repeated")
	}
}
