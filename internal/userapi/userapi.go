// Package userapi handles users' requests: submissions, cancellations and status queries. Every controller can handle
// every job, whichever shards it owns, because the answers rest on the state service: jobs are accepted and cancelled
// by compare-and-swap there, and an end that was reported to a user is final.
//
// The package decides which answer is safe while the store is slow, refuses requests or has lost data. It never places
// or stops a task. It calls its controller through Backend; its own state, the ends of jobs that it has read, is
// guarded by Handler.mu. The three requests are in submit.go, cancel.go and status.go, the ends of jobs in ends.go.
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

// Key prefixes in the store. Every controller watches the keys below WatchedPrefix. The keys of a job are its ID behind
// ActiveJobPrefix or EndedJobPrefix.
const (
	WatchedPrefix   = "w/"
	ActiveJobPrefix = "w/a/" // active jobs
	EndedJobPrefix  = "f/"   // completed and cancelled jobs
)

// ActiveJob is the stored form of an active job.
type ActiveJob struct {
	Spec              *protocol.Submission `json:"spec"`
	SubmittedAtMillis int64                `json:"at"` // submission time as Unix time, in ms
}

// Handler handles users' requests. It is safe for concurrent use.
type Handler struct {
	store         *kvstore.Client
	maxValueBytes int // in the store
	teams         Teams
	backend       Backend

	mu   sync.Mutex // guards ends
	ends *datarecovery.Ends
}

// New returns a handler that looks up the teams in the settings.
func New(s *settings.Settings, st *kvstore.Client, backend Backend) *Handler {
	teams := settingsTeams{}
	for _, t := range s.Deployment.Teams {
		teams[t.Name] = t
	}
	return &Handler{
		store:         st,
		maxValueBytes: int(s.Deployment.KVStore.ValueKB * 1024),
		teams:         teams,
		backend:       backend,
		ends:          datarecovery.NewEnds(),
	}
}

// UseTeams replaces the lookup of teams. It must be called before the first request.
func (h *Handler) UseTeams(t Teams) { h.teams = t }

// tryAgain returns the answer to a request that cannot be decided now, with the time after which to retry.
func tryAgain(seconds int) httpx.Answer {
	a := httpx.Refuse(503, "not now, try again")
	a.RetryAfterSeconds = seconds
	return a
}

// Handle handles a user's request; ok is false if the path does not belong to the users' interface.
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

// notAllowed returns the answer to a request with a wrong method.
func notAllowed(allow string) httpx.Answer {
	a := httpx.Refuse(405, "method not allowed")
	a.Allow = allow
	return a
}
