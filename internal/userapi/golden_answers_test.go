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

// steady is a controller that knows all it needs to.
type steady struct {
	Backend
	untrusted, unhealthy bool
	running              int
}

func (s *steady) MachineTypes() []protocol.MachineType {
	return []protocol.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a", "b"}}}
}
func (s *steady) IsActive(context.Context, string) bool                  { return false }
func (s *steady) Progress(string) (done, running int)                    { return s.running / 4, s.running }
func (s *steady) StoreTrusted() bool                                     { return !s.untrusted }
func (s *steady) Healthy() bool                                          { return !s.unhealthy }
func (s *steady) KnownActiveJob(string) (ActiveJob, uint64, bool)        { return ActiveJob{}, 0, false }
func (s *steady) CertainlyNeverAccepted(context.Context) bool            { return true }
func (s *steady) Admit(spec *protocol.Submission) (bool, int)            { return spec.Class != "shed", 7 }
func (s *steady) CopyToPeer(context.Context, *ActiveJob, string, JobEnd) {}
func (s *steady) JobAccepted(ActiveJob, uint64)                          {}
func (s *steady) JobEnded(string, JobEnd)                                {}
func (s *steady) ConfirmingCancellation(string, JobEnd)                  {}
func (s *steady) ReportMissing(string)                                   {}

// TestGoldenAnswers: the answers to users, in the protocol's form.
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
	back := &steady{}
	front := New(&settings.Settings{Deployment: settings.Deployment{Teams: []settings.Team{{Name: "vision", CPUsMax: 192, GPUsMax: 32}}}}, client, back)
	job := func(change func(*protocol.Submission)) []byte {
		spec := goldentest.Submission()
		change(spec)
		return protocol.Encode(spec)
	}
	same := func(*protocol.Submission) {}
	var transcript []byte
	ask := func(what, method, path string, body []byte) {
		a, ok := front.Handle(ctx, &httpx.Request{Method: method, Path: path, Body: body})
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
	ask("accepted", "POST", "/submissions", job(same))
	ask("repeated", "POST", "/submissions", job(same))
	ask("pending", "GET", path, nil)
	back.running = 13
	ask("running", "GET", path, nil)
	ask("cancelled", "POST", path+"/withdraw", nil)
	ask("cancelled again", "POST", path+"/withdraw", nil)
	ask("poll of a cancelled job", "GET", path, nil)
	ask("submitted after its cancellation", "POST", "/submissions", job(same))
	front.RecordEnd("job-000398", JobEnd{State: protocol.Done, Tasks: 16, Team: "vision"})
	ask("done", "GET", "/submissions/job-000398", nil)
	ask("cancellation of a job that is done", "POST", "/submissions/job-000398/withdraw", nil)
	ask("wrong method", "GET", "/submissions", nil)
	ask("no such path", "POST", path+"/more", nil)
	ask("not the users'", "GET", "/overview", nil)
	back.untrusted, back.unhealthy = true, true
	ask("not healthy", "GET", "/healthz", nil)
	ask("not trusted", "GET", "/submissions/job-000500", nil)
	goldentest.Bytes(t, "answers.txt", transcript)
}
