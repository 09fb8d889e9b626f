package userapi

import (
	"context"
	"encoding/json"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// readTimeout bounds a request that only reads. It is the protocol's time limit for an answer less the network delay.
const readTimeout = 1800 * time.Millisecond

// status answers with the state of a job.
func (h *Handler) status(ctx context.Context, uid string) httpx.Answer {
	if !protocol.ValidUID(uid) {
		return httpx.Refuse(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if end, ok := h.KnownEnd(uid); ok {
		return h.answerStatus(uid, &end)
	}
	if activity := h.backend.Activity(ctx, uid); activity != Uncertain {
		return h.answerActivity(uid, activity)
	}
	if !h.backend.StoreTrusted() {
		return h.answerFromMemory(uid)
	}
	e, end, err := h.readJob(ctx, uid)
	switch {
	case err != nil && !h.backend.StoreTrusted():
		return h.answerFromMemory(uid)
	case err != nil:
		return tryAgain(1)
	case e == nil && end == nil:
		return h.answerNotInStore(ctx, uid)
	}
	return h.answerRead(ctx, uid, e, end)
}

// answerRead answers with the state of a job whose active entry or end was read from the store.
func (h *Handler) answerRead(ctx context.Context, uid string, entry *protocol.Entry, end *JobEnd) httpx.Answer {
	if end != nil {
		return h.answerStatus(uid, end)
	}
	var job ActiveJob
	if err := json.Unmarshal(entry.Value, &job); err != nil || job.Spec == nil {
		return tryAgain(retryWhenUnreadableSeconds)
	}
	if len(job.Spec.Dependencies) == 0 {
		return h.answerStatus(uid, nil)
	}
	if h.backend.CatchUp(ctx) != nil { // the controller may not know the job yet
		return tryAgain(1)
	}
	return h.answerActivity(uid, h.backend.Activity(ctx, uid))
}

// answerActivity answers with the state of a job that the store has as active. A job that is cancelled with one that it
// needs counts as cancelled before its own end is written: every controller derives the same from the stored end of the
// other job.
func (h *Handler) answerActivity(uid string, activity Activity) httpx.Answer {
	switch activity {
	case Active:
		return h.answerStatus(uid, nil)
	case CancelledWith:
		return httpx.Answer{Status: 200, Body: protocol.Encode(protocol.Status{UID: uid, State: protocol.Cancelled})}
	}
	return tryAgain(1)
}

// answerStatus answers with the state of a job. The job is active if end is nil.
func (h *Handler) answerStatus(uid string, end *JobEnd) httpx.Answer {
	s := protocol.Status{UID: uid, State: protocol.Pending}
	if end != nil {
		h.confirmCancellation(uid, *end)
		s.State = end.State
		if end.State == protocol.Done {
			s.Done = end.Tasks
		}
	} else if s.Done, s.Running = h.backend.Progress(uid); s.Running > 0 || s.Done > 0 {
		s.State = protocol.Running
	}
	return httpx.Answer{Status: 200, Body: protocol.Encode(s)}
}

// answerNotInStore answers about a job that the store does not have. The controllers may still have it in memory, or
// the store may have lost it for good.
func (h *Handler) answerNotInStore(ctx context.Context, uid string) httpx.Answer {
	if job, version, ok := h.backend.KnownActiveJob(uid); ok {
		if version > 0 { // it ended a moment ago or was lost; the copy in memory does not show which
			h.backend.ReportMissing(uid)
			return tryAgain(1)
		}
		if len(job.Spec.Dependencies) > 0 {
			return tryAgain(1) // whether it is cancelled is known once it is written back
		}
		return h.answerStatus(uid, nil)
	}
	if !h.backend.CertainlyNeverAccepted(ctx) {
		return tryAgain(retryWhenUnsureSeconds)
	}
	if end, ok := h.KnownEnd(uid); ok { // recorded during the call above, for example from a restored copy
		return h.answerStatus(uid, &end)
	}
	if _, _, ok := h.backend.KnownActiveJob(uid); ok {
		return tryAgain(1)
	}
	return httpx.Refuse(404, "no such job")
}

// answerFromMemory answers about a job while the store cannot be trusted. A known end is final, so it is a safe answer.
// "Active" is not: another controller may have answered with the job's end a moment ago, and this controller receives
// that end only when the controllers gather what they have in memory.
func (h *Handler) answerFromMemory(uid string) httpx.Answer {
	if end, ok := h.KnownEnd(uid); ok {
		return h.answerStatus(uid, &end)
	}
	return tryAgain(1)
}

// retryWhenUnsureSeconds is the retry delay for a job that may have been lost.
const retryWhenUnsureSeconds = 5
