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

// laggingBackend is a controller that does not know the last change of a team. CertainlyNeverAccepted calls caughtUp,
// as a controller catches up with the store there.
type laggingBackend struct {
	Backend
	teams    map[string]settings.Team
	caughtUp func()
}

func (b *laggingBackend) Team(name string) (settings.Team, bool) {
	t, ok := b.teams[name]
	return t, ok
}
func (b *laggingBackend) Conditions(name string) []protocol.Condition {
	return []protocol.Condition{{Key: "w/t/" + name}}
}
func (b *laggingBackend) MachineTypes() []protocol.MachineType {
	return []protocol.MachineType{{Name: "m8", CPUs: 8, MemoryGB: 64, Zones: []string{"east"}}}
}
func (b *laggingBackend) StoreTrusted() bool { return true }
func (b *laggingBackend) KnownActiveJob(string) (ActiveJob, uint64, bool) {
	return ActiveJob{}, 0, false
}
func (b *laggingBackend) CertainlyNeverAccepted(context.Context) bool            { b.caughtUp(); return true }
func (b *laggingBackend) Admit(*protocol.Submission) (bool, int)                 { return true, 0 }
func (b *laggingBackend) CopyToPeer(context.Context, *ActiveJob, string, JobEnd) {}
func (b *laggingBackend) JobAccepted(ActiveJob, uint64)                          {}

// TestTeamsKnownLate: a controller that does not know yet that a team was added does not refuse its jobs permanently,
// and one that does not know yet that a team was removed does not accept its jobs.
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
	b := &laggingBackend{teams: map[string]settings.Team{"known": {Name: "known", CPUsMax: 8}}, caughtUp: func() {}}
	handler := New(&settings.Settings{Deployment: settings.Deployment{KVStore: limits}}, client, b)
	handler.UseTeams(b)
	submit := func(uid, team string) int {
		job := &protocol.Submission{UID: uid, Class: "c", Team: team, Kind: protocol.JobArray, Priority: "standard", Tasks: 1, CPUs: 2, MemoryGB: 4, Image: "img"}
		within, done := context.WithTimeout(ctx, 10*time.Second)
		defer done()
		a, _ := handler.Handle(within, &httpx.Request{Method: "POST", Path: protocol.PathSubmit, Body: protocol.Encode(job)})
		return a.Status
	}
	if got := submit("job-000001", "known"); got != 201 {
		t.Errorf("known team: status %d", got)
	}
	store.Put("w/t/known", `{"number":1,"change":"x","removed":true}`)
	if got := submit("job-000002", "known"); got != 503 || store.CountKeys(ActiveJobPrefix+"job-000002") != 0 {
		t.Errorf("removed team: status %d, %d keys", got, store.CountKeys(ActiveJobPrefix+"job-000002"))
	}
	if got := submit("job-000003", "new"); got != 422 {
		t.Errorf("unknown team: status %d", got)
	}
	b.caughtUp = func() { b.teams["new"] = settings.Team{Name: "new", CPUsMax: 8} }
	if got := submit("job-000003", "new"); got != 503 {
		t.Errorf("team added before the answer: status %d", got)
	}
	if got := submit("job-000003", "new"); got != 201 {
		t.Errorf("added team: status %d", got)
	}
}
