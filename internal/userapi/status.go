package userapi

import (
	"context"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// readTimeout bounds a request that only reads: the protocol's time for an answer less what the way takes.
const readTimeout = 1800 * time.Millisecond

// status answers with the state of a job.
func (h *Handler) status(ctx context.Context, uid string) httpx.Answer {
	if !protocol.ValidUID(uid) {
		return httpx.Refuse(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if final, ok := h.KnownEnd(uid); ok {
		return h.answerStatus(uid, &final)
	}
	if h.backend.IsActive(ctx, uid) {
		return h.answerStatus(uid, nil)
	}
	if !h.backend.StoreTrusted() {
		return h.answerFromMemory(uid)
	}
	e, final, err := h.readJob(ctx, uid)
	switch {
	case err != nil && !h.backend.StoreTrusted():
		return h.answerFromMemory(uid)
	case err != nil:
		return tryAgain(1)
	case e == nil && final == nil:
		return h.answerNotInStore(ctx, uid)
	}
	return h.answerStatus(uid, final)
}

// answerStatus answers with the state of a job that has ended, or is active if final is nil.
func (h *Handler) answerStatus(uid string, final *JobEnd) httpx.Answer {
	s := protocol.Status{UID: uid, State: protocol.Pending}
	if final != nil {
		h.confirmCancellation(uid, *final)
		s.State = final.State
		if final.State == protocol.Done {
			s.Done = final.Tasks
		}
	} else if s.Done, s.Running = h.backend.Progress(uid); s.Running > 0 || s.Done > 0 {
		s.State = protocol.Running
	}
	return httpx.Answer{Status: 200, Body: protocol.Encode(s)}
}

// answerNotInStore answers about a job that the store does not have: it may be remembered all the same, or the store
// may have lost it for good.
func (h *Handler) answerNotInStore(ctx context.Context, uid string) httpx.Answer {
	if _, version, ok := h.backend.KnownActiveJob(uid); ok {
		if version > 0 { // it ended just now, or was lost: what is known here does not tell
			h.backend.ReportMissing(uid)
			return tryAgain(1)
		}
		return h.answerStatus(uid, nil)
	}
	if !h.backend.CertainlyNeverAccepted(ctx) {
		return tryAgain(retryWhenUnsureSeconds)
	}
	if final, ok := h.KnownEnd(uid); ok { // learned meanwhile, as from a copy that was put back
		return h.answerStatus(uid, &final)
	}
	if _, _, ok := h.backend.KnownActiveJob(uid); ok {
		return tryAgain(1)
	}
	return httpx.Refuse(404, "no such job")
}

// answerFromMemory answers about a job while the store cannot be relied on. An end that is known here is final, so it
// can be told. That a job is still active cannot: another controller may have answered with its end a moment ago, and
// nothing that is known here says so until the controllers' memories are gathered.
func (h *Handler) answerFromMemory(uid string) httpx.Answer {
	if final, ok := h.KnownEnd(uid); ok {
		return h.answerStatus(uid, &final)
	}
	return tryAgain(1)
}

// retryWhenUnsureSeconds is when to come back, in seconds, to ask about a job that may have been lost.
const retryWhenUnsureSeconds = 5
