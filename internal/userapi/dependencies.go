package userapi

import (
	"context"

	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// checkDependencies refuses a submission whose dependencies were never accepted, or defers it while that is uncertain. A
// dependency that was accepted may be in any state: a job that needs a cancelled one is accepted, and cancelled then.
func (h *Handler) checkDependencies(ctx context.Context, spec *protocol.Submission) (answer httpx.Answer, refused bool) {
	if len(spec.Dependencies) == 0 {
		return httpx.Answer{}, false
	}
	if !h.backend.AcceptsDependencies() {
		return tryAgain(1), true
	}
	for _, uid := range spec.Dependencies {
		switch h.acceptance(ctx, uid) {
		case neverAccepted:
			refusal := httpx.Refuse(422, "field espera_a: "+uid+" was never accepted")
			return h.refuseUnlessKnown(ctx, spec.UID, nil, refusal), true
		case uncertain:
			return tryAgain(1), true
		}
	}
	return httpx.Answer{}, false
}

// acceptance is what is known about whether a job was accepted.
type acceptance int

const (
	uncertain acceptance = iota
	accepted
	neverAccepted
)

// acceptance returns whether a job was accepted, by any controller and at any time before the call.
func (h *Handler) acceptance(ctx context.Context, uid string) acceptance {
	if h.remembers(uid) {
		return accepted
	}
	if !h.backend.StoreTrusted() {
		return uncertain
	}
	entry, end, err := h.readJob(ctx, uid)
	switch {
	case err != nil:
		return uncertain
	case entry != nil || end != nil:
		return accepted
	case !h.backend.CertainlyNeverAccepted(ctx):
		return uncertain
	case h.remembers(uid): // recorded during the call above
		return accepted
	}
	return neverAccepted
}

// remembers reports whether a job or its end is in memory.
func (h *Handler) remembers(uid string) bool {
	if _, ended := h.KnownEnd(uid); ended {
		return true
	}
	_, _, active := h.backend.KnownActiveJob(uid)
	return active
}

// CancelDependent cancels an active job because one that it needs was cancelled, unless its entry in the store has
// another version than the given one.
func (h *Handler) CancelDependent(ctx context.Context, spec *protocol.Submission, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	h.writeCancellation(ctx, spec.UID, version, NewJobEnd(spec, protocol.Cancelled))
}
