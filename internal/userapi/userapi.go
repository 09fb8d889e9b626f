// Package userapi answers the requests of users: submissions, cancellations and questions about a job. Any controller
// can, because what it answers about a job rests on the key-value store, not on what it happens to own: a job is
// accepted and cancelled by compare-and-swap there, and an end that was answered once stays the answer.
//
// The package decides which answer is safe to give while the store is slow, refuses or has lost data. It never
// places or stops a task. What it needs of its controller it takes from Backend; its own state, the ends of jobs that
// it has read, is guarded by Handler.mu. See submit.go, cancel.go and status.go for the three requests and ends.go
// for the ends.
package userapi

import (
	"context"
	"strings"
	"sync"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/httpx"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Prefixes of keys in the store. Those below WatchedPrefix are followed by every controller. Both of a job's keys end
// with its id.
const (
	WatchedPrefix   = "w/"
	ActiveJobPrefix = "w/a/" // active jobs
	EndedJobPrefix  = "f/"   // jobs that are done or cancelled
)

// ActiveJob is an active job in the key-value store.
type ActiveJob struct {
	Spec              *protocol.Submission `json:"spec"`
	SubmittedAtMillis int64                `json:"at"` // time of day of the submission, in ms
}

// Handler answers the requests of users. Its methods may be called at the same time.
type Handler struct {
	store   *kvstore.Client
	teams   Teams
	backend Backend

	mu   sync.Mutex // guards ends
	ends *datarecovery.Ends
}

// New is a handler for a deployment.
func New(s *settings.Settings, st *kvstore.Client, backend Backend) *Handler {
	teams := settingsTeams{}
	for _, t := range s.Deployment.Teams {
		teams[t.Name] = t
	}
	return &Handler{store: st, teams: teams, backend: backend, ends: datarecovery.NewEnds()}
}

// UseTeams has the teams looked up elsewhere than in the settings.
func (h *Handler) UseTeams(t Teams) { h.teams = t }

// tryAgain is the answer to a request that cannot be decided now: it says after how many seconds to come back.
func tryAgain(seconds int) httpx.Answer {
	a := httpx.Refuse(503, "not now, try again")
	a.RetryAfterSeconds = seconds
	return a
}

// Handle answers a user's request; ok is false if the path is none of theirs.
func (h *Handler) Handle(ctx context.Context, r *httpx.Request) (a httpx.Answer, ok bool) {
	switch {
	case r.Path == protocol.PathHealth:
		if r.Method != "GET" {
			return notAllowed("GET"), true
		}
		if !h.backend.Healthy() {
			return tryAgain(1), true
		}
		return httpx.Answer{Status: 200, Body: []byte("{}")}, true
	case r.Path == protocol.PathSubmit:
		if r.Method != "POST" {
			return notAllowed("POST"), true
		}
		return h.submit(ctx, r.Body), true
	}
	rest, found := strings.CutPrefix(r.Path, protocol.PathSubmit+"/")
	if !found {
		return httpx.Answer{}, false
	}
	uid, verb, more := strings.Cut(rest, "/")
	switch {
	case more && verb == "withdraw":
		if r.Method != "POST" {
			return notAllowed("POST"), true
		}
		return h.cancel(ctx, uid), true
	case more:
		return httpx.Refuse(404, "no such path"), true
	case r.Method != "GET":
		return notAllowed("GET"), true
	}
	return h.status(ctx, uid), true
}

func notAllowed(allow string) httpx.Answer {
	a := httpx.Refuse(405, "method not allowed")
	a.Allow = allow
	return a
}
