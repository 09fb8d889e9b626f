package userapi

import (
	"context"
	"fmt"
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/httpx"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// stubBackend is a controller that knows everything it needs and admits every job except those of class shed.
type stubBackend struct {
	Backend
	untrusted, unhealthy bool
	outdatedPeer         bool // a peer ignores dependencies
	activity             Activity
	running              int
}

func (s *stubBackend) MachineTypes() []protocol.MachineType {
	return []protocol.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a", "b"}}}
}
func (s *stubBackend) Activity(context.Context, string) Activity              { return s.activity }
func (s *stubBackend) CatchUp(context.Context) error                          { return nil }
func (s *stubBackend) AcceptsDependencies() bool                              { return !s.outdatedPeer }
func (s *stubBackend) Progress(string) (done, running int)                    { return s.running / 4, s.running }
func (s *stubBackend) StoreTrusted() bool                                     { return !s.untrusted }
func (s *stubBackend) Healthy() bool                                          { return !s.unhealthy }
func (s *stubBackend) KnownActiveJob(string) (ActiveJob, uint64, bool)        { return ActiveJob{}, 0, false }
func (s *stubBackend) CertainlyNeverAccepted(context.Context) bool            { return true }
func (s *stubBackend) Admit(spec *protocol.Submission) (bool, int)            { return spec.Class != "shed", 7 }
func (s *stubBackend) CopyToPeer(context.Context, *ActiveJob, string, JobEnd) {}
func (s *stubBackend) JobAccepted(ActiveJob, uint64)                          {}
func (s *stubBackend) JobEnded(string, JobEnd)                                {}
func (s *stubBackend) ConfirmingCancellation(string, JobEnd)                  {}
func (s *stubBackend) ReportMissing(string)                                   {}

// TestGoldenAnswers checks the answers to users, which the protocol defines.
func TestGoldenAnswers(t *testing.T) {
	store, err := simulation.NewKVStore(16, 16)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	ctx, cancel := context.WithCancel(t.Context())
	client := kvstore.New(store.Addr(), settings.KVStore{RequestsPerSecond: 1000, ChangesPerSecond: 1000, ValueKB: 16, ChangesPerTransaction: 16}, 1)
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	backend := &stubBackend{}
	handler := New(&settings.Settings{Deployment: settings.Deployment{KVStore: settings.KVStore{ValueKB: 16}, Teams: []settings.Team{{Name: "vision", CPUsMax: 192, GPUsMax: 32}}}}, client, backend)
	job := func(change func(*protocol.Submission)) []byte {
		spec := goldentest.Submission()
		spec.Dependencies = nil
		change(spec)
		return protocol.Encode(spec)
	}
	unchanged := func(*protocol.Submission) {}
	var transcript []byte
	ask := func(what, method, path string, body []byte) {
		a, ok := handler.Handle(ctx, &httpx.Request{Method: method, Path: path, Body: body})
		transcript = fmt.Appendf(transcript, "%s: %v, status %d, retry after %d, allow %q\n%s\n", what, ok, a.Status, a.RetryAfterSeconds, a.Allow, a.Body)
	}
	const path = "/submissions/job-000412"
	ask("healthy", "GET", "/healthz", nil)
	ask("unknown job", "GET", path, nil)
	ask("no id", "GET", "/submissions/x", nil)
	ask("cancellation of an unknown job", "POST", path+"/withdraw", nil)
	ask("malformed", "POST", "/submissions", []byte("[]"))
	ask("field missing", "POST", "/submissions", []byte(`{"uid":"job-000412"}`))
	ask("unknown team", "POST", "/submissions", job(func(s *protocol.Submission) { s.Team = "other" }))
	ask("over the limit", "POST", "/submissions", job(func(s *protocol.Submission) { s.Tasks = 100 }))
	ask("fits no type", "POST", "/submissions", job(func(s *protocol.Submission) { s.Types = []string{"m1"} }))
	ask("not now", "POST", "/submissions", job(func(s *protocol.Submission) { s.Class = "shed" }))
	ask("accepted", "POST", "/submissions", job(unchanged))
	ask("repeated", "POST", "/submissions", job(unchanged))
	ask("pending", "GET", path, nil)
	backend.running = 13
	ask("running", "GET", path, nil)
	ask("cancelled", "POST", path+"/withdraw", nil)
	ask("cancelled again", "POST", path+"/withdraw", nil)
	ask("poll of a cancelled job", "GET", path, nil)
	ask("submitted after its cancellation", "POST", "/submissions", job(unchanged))
	handler.RecordEnd("job-000398", JobEnd{State: protocol.Done, Tasks: 16, Team: "vision"})
	ask("done", "GET", "/submissions/job-000398", nil)
	ask("cancellation of a job that is done", "POST", "/submissions/job-000398/withdraw", nil)
	ask("wrong method", "GET", "/submissions", nil)
	ask("no such path", "POST", path+"/more", nil)
	ask("not the users'", "GET", "/overview", nil)
	dependent := func(needed ...string) []byte {
		return job(func(s *protocol.Submission) { s.UID, s.Dependencies = "job-000413", needed })
	}
	ask("needs a job that was never accepted", "POST", "/submissions", dependent("job-000398", "job-000399"))
	ask("needs itself", "POST", "/submissions", dependent("job-000413"))
	backend.outdatedPeer = true
	ask("dependent job beside an earlier version", "POST", "/submissions", dependent("job-000398"))
	backend.outdatedPeer = false
	ask("needs a job that is done and a cancelled one", "POST", "/submissions", dependent("job-000398", "job-000412"))
	ask("repeated, its state is uncertain", "POST", "/submissions", dependent("job-000398", "job-000412"))
	backend.activity = CancelledWith
	ask("repeated, it is cancelled with the other", "POST", "/submissions", dependent("job-000398", "job-000412"))
	ask("poll of a job that is cancelled with another", "GET", "/submissions/job-000413", nil)
	backend.activity = Uncertain
	ask("larger than a value", "POST", "/submissions", job(func(s *protocol.Submission) {
		s.UID = "job-000414"
		for i := range 2000 {
			s.Dependencies = append(s.Dependencies, fmt.Sprintf("job-1%06d", i))
		}
	}))
	backend.untrusted, backend.unhealthy = true, true
	ask("not healthy", "GET", "/healthz", nil)
	ask("not trusted", "GET", "/submissions/job-000500", nil)
	goldentest.Bytes(t, "answers.txt", transcript)
}
