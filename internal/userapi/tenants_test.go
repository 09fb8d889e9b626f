package userapi

import (
	"context"
	"testing"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// behind is a controller that does not know the last change of a team.
type behind struct {
	Backend
	teams    map[string]settings.Team
	caughtUp func()
}

func (b *behind) Team(name string) (settings.Team, bool) { t, ok := b.teams[name]; return t, ok }
func (b *behind) Conditions(name string) []protocol.Condition {
	return []protocol.Condition{{Key: "w/t/" + name}}
}
func (b *behind) MachineTypes() []protocol.MachineType {
	return []protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, Zones: []string{"east"}}}
}
func (b *behind) StoreTrusted() bool                                     { return true }
func (b *behind) KnownActiveJob(string) (ActiveJob, uint64, bool)        { return ActiveJob{}, 0, false }
func (b *behind) CertainlyNeverAccepted(context.Context) bool            { b.caughtUp(); return true }
func (b *behind) Admit(*protocol.Submission) (bool, int)                 { return true, 0 }
func (b *behind) CopyToPeer(context.Context, *ActiveJob, string, JobEnd) {}
func (b *behind) JobAccepted(ActiveJob, uint64)                          {}

// TestTeamsKnownLate: a controller that does not know yet that a team came refuses no job of it for good, and one that does not know that
// a team was removed takes none.
func TestTeamsKnownLate(t *testing.T) {
	store, err := simulation.NewKVStore(16, 16)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	limits := settings.KVStore{RequestsPerSecond: 1000, ChangesPerSecond: 1000, ValueKB: 16, ChangesPerTransaction: 16}
	client := kvstore.New(store.Addr(), limits, 1)
	go client.Run(ctx)
	b := &behind{teams: map[string]settings.Team{"known": {Name: "known", CPUsMax: 8}}, caughtUp: func() {}}
	f := New(&settings.Settings{}, client, b)
	f.UseTeams(b)
	submit := func(uid, team string) int {
		job := &protocol.Submission{UID: uid, Class: "c", Team: team, Kind: protocol.JobArray, Priority: "standard", Tasks: 1, CPUs: 2, MemoryGB: 4, Image: "img"}
		within, done := context.WithTimeout(ctx, 10*time.Second)
		defer done()
		a, _ := f.Handle(within, &httpx.Request{Method: "POST", Path: protocol.PathSubmit, Body: protocol.Encode(job)})
		return a.Status
	}
	if got := submit("job-000001", "known"); got != 201 {
		t.Errorf("a known team: %d", got)
	}
	store.Put("w/t/known", `{"number":1,"change":"x","removed":true}`)
	if got := submit("job-000002", "known"); got != 503 || store.CountKeys(ActiveJobPrefix+"job-000002") != 0 {
		t.Errorf("a team that was removed: %d, %d keys", got, store.CountKeys(ActiveJobPrefix+"job-000002"))
	}
	if got := submit("job-000003", "new"); got != 422 {
		t.Errorf("a team that nobody knows: %d", got)
	}
	b.caughtUp = func() { b.teams["new"] = settings.Team{Name: "new", CPUsMax: 8} }
	if got := submit("job-000003", "new"); got != 503 {
		t.Errorf("a team that came before the answer: %d", got)
	}
	if got := submit("job-000003", "new"); got != 201 {
		t.Errorf("a team that came: %d", got)
	}
}
