package userapi

import (
	"context"
	"errors"
	"slices"
	"time"

	"topazhollow/internal/httpx"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// changeTimeout bounds a request that changes something, all its reads and writes of the store together.
const changeTimeout = 4 * time.Second

// amountSlack absorbs rounding where amounts of a job and of a limit or a machine are compared.
const amountSlack = 1e-6

// submit accepts a job, or answers with its state if the id is known: a repeated submission is answered as the first
// one, even if it could no longer be accepted.
func (h *Handler) submit(ctx context.Context, body []byte) httpx.Answer {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		return h.refuseUnlessKnown(ctx, protocol.PeekUID(body), nil, httpx.Refuse(400, err.Error()))
	}
	conditions := h.teams.Conditions(spec.Team) // looked up before what is decided by it
	if reason := h.whyImpossible(spec); reason != "" {
		return h.refuseUnlessKnown(ctx, spec.UID, spec, httpx.Refuse(422, reason))
	}
	if h.backend.MachineTypes() == nil {
		return tryAgain(1)
	}
	if answer, decided := h.answerWithoutAccepting(ctx, spec.UID); decided {
		return answer
	}
	if taken, retryAfter := h.backend.Admit(spec); !taken {
		return tryAgain(retryAfter)
	}
	return h.accept(ctx, spec, conditions)
}

// refuseUnlessKnown refuses a submission, unless a job with its id was accepted earlier. spec is nil if the body
// could not be read, uid is "" if not even the id could.
func (h *Handler) refuseUnlessKnown(
	ctx context.Context, uid string, spec *protocol.Submission, refusal httpx.Answer,
) httpx.Answer {
	if uid == "" {
		return refusal
	}
	if !h.backend.StoreTrusted() {
		return h.answerFromMemory(uid)
	}
	entry, end, err := h.readJob(ctx, uid)
	switch {
	case err != nil:
		return tryAgain(1)
	case entry != nil || end != nil:
		return h.answerStatus(uid, end)
	case spec != nil && h.backend.MachineTypes() == nil:
		return tryAgain(1)
	}
	if a := h.answerNotInStore(ctx, uid); a.Status != 404 {
		return a
	}
	if spec != nil && h.whyImpossible(spec) == "" {
		return tryAgain(1) // all is known up to the request by now, as that the team came
	}
	return refusal
}

// answerWithoutAccepting answers a submission whose job is known to have ended or may have been accepted before the
// store lost data; decided is false if it may be accepted.
func (h *Handler) answerWithoutAccepting(ctx context.Context, uid string) (answer httpx.Answer, decided bool) {
	if end, ok := h.KnownEnd(uid); ok {
		return h.answerStatus(uid, &end), true
	}
	if !h.backend.StoreTrusted() {
		return h.answerFromMemory(uid), true
	}
	if _, version, ok := h.backend.KnownActiveJob(uid); !ok || version != 0 {
		return httpx.Answer{}, false
	}
	// After a loss, not written back yet: its end may stand in the store all the same, and no change that is
	// followed tells of it.
	entry, end, err := h.readJob(ctx, uid)
	switch {
	case err != nil:
		return tryAgain(1), true
	case entry == nil && end == nil:
		return h.answerNotInStore(ctx, uid), true
	}
	return h.answerStatus(uid, end), true
}

// accept writes the job to the store by compare-and-swap, while a peer takes a copy of it: the user is told only once
// both are done.
func (h *Handler) accept(ctx context.Context, spec *protocol.Submission, conditions []protocol.Condition) httpx.Answer {
	uid := spec.UID
	job := ActiveJob{Spec: spec, SubmittedAtMillis: time.Now().UnixMilli()}
	copied := make(chan struct{})
	go func() { // takes no longer than the store does
		defer close(copied)
		h.backend.CopyToPeer(ctx, &job, "", JobEnd{})
	}()
	version, err := h.store.Commit(ctx, kvstore.Update{
		Urgent:     true,
		Conditions: append([]protocol.Condition{{Key: ActiveJobPrefix + uid}, {Key: EndedJobPrefix + uid}}, conditions...),
		Changes:    []protocol.Op{{Set: ActiveJobPrefix + uid, Value: protocol.Encode(job)}},
	})
	if err == nil {
		<-copied
		h.backend.JobAccepted(job, version)
		return httpx.Answer{Status: 201, Body: protocol.Encode(protocol.JobSummary{UID: uid, State: protocol.Pending})}
	}
	if errors.Is(err, kvstore.ErrConflict) {
		entry, end, err := h.readJob(ctx, uid)
		if err == nil && (entry != nil || end != nil) {
			return h.answerStatus(uid, end)
		}
	}
	return tryAgain(1)
}

// whyImpossible says why a job can never run, or "". While the machine types are unknown, only the team's limits
// count.
func (h *Handler) whyImpossible(s *protocol.Submission) string {
	team, ok := h.teams.Team(s.Team)
	if !ok {
		return "field equipo: unknown team"
	}
	if exceedsLimit(s, team) {
		return "field tramos: needs more than the team's limit"
	}
	types := h.backend.MachineTypes()
	fits := func(t protocol.MachineType) bool { return taskFits(s, t) }
	if types != nil && !slices.ContainsFunc(types, fits) {
		return "field cores: a task fits no allowed machine type"
	}
	return ""
}

// exceedsLimit says whether what must run at the same time is beyond the team's limit: one task of an array, all
// tasks of a gang or a service.
func exceedsLimit(s *protocol.Submission, team settings.Team) bool {
	together := 1.0
	if s.Kind != protocol.JobArray {
		together = float64(s.Tasks)
	}
	return together*s.CPUs > team.CPUsMax+amountSlack || together*s.GPUs > team.GPUsMax+amountSlack
}

// taskFits says whether a task fits an empty machine of a type that the job may use, in a zone that it may use.
func taskFits(s *protocol.Submission, t protocol.MachineType) bool {
	if t.CPUs+amountSlack < s.CPUs || t.GPUs+amountSlack < s.GPUs || t.MemoryGB+amountSlack < s.MemoryGB {
		return false
	}
	allowedType := s.Types == nil || slices.Contains(s.Types, t.Name)
	allowedZone := s.Zone == nil || slices.Contains(t.Zones, *s.Zone)
	return allowedType && allowedZone
}
