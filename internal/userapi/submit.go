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

// changeTimeout bounds a submission or cancellation with all its reads and writes of the store.
const changeTimeout = 4 * time.Second

// jobOverheadBytes is the size of a stored job without its specification, rounded up.
const jobOverheadBytes = 64

// amountSlack absorbs rounding errors when the amounts of a job are compared with a limit or a machine.
const amountSlack = 1e-6

// submit accepts a job, or answers with its state if the ID is known: a repeated submission of an accepted job succeeds
// even if the job could no longer be accepted.
func (h *Handler) submit(ctx context.Context, body []byte) httpx.Answer {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		return h.refuseUnlessKnown(ctx, protocol.PeekUID(body), nil, httpx.Refuse(400, err.Error()))
	}
	conditions := h.teams.Conditions(spec.Team) // before the team is looked up, so that no change in between is missed
	if reason := h.infeasibleReason(spec); reason != "" {
		return h.refuseUnlessKnown(ctx, spec.UID, spec, httpx.Refuse(422, reason))
	}
	if len(protocol.Encode(spec))+jobOverheadBytes > h.maxValueBytes {
		return h.refuseUnlessKnown(ctx, spec.UID, nil, httpx.Refuse(422, "larger than the state service can store"))
	}
	if h.backend.MachineTypes() == nil {
		return tryAgain(1)
	}
	if answer, decided := h.answerWithoutAccepting(ctx, spec.UID); decided {
		return answer
	}
	if refusal, refused := h.checkDependencies(ctx, spec); refused {
		return refusal
	}
	if admitted, retryAfter := h.backend.Admit(spec); !admitted {
		return tryAgain(retryAfter)
	}
	return h.accept(ctx, spec, conditions)
}

// refuseUnlessKnown refuses a submission, unless a job with its ID was accepted earlier. spec is nil if the body could
// not be parsed, and uid is "" if the ID could not be read either.
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
		return h.answerRead(ctx, uid, entry, end)
	case spec != nil && h.backend.MachineTypes() == nil:
		return tryAgain(1)
	}
	if a := h.answerNotInStore(ctx, uid); a.Status != 404 {
		return a
	}
	if spec != nil && h.infeasibleReason(spec) == "" {
		// answerNotInStore has caught up with the store: a change that came before the request, such as the creation of
		// the team, has made the job feasible.
		return tryAgain(1)
	}
	return refusal
}

// answerWithoutAccepting answers a submission whose job has ended, or may have been accepted before the store lost
// data. If decided is false, the job may be accepted.
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
	// The job was lost and is not written back yet. Its end may still be in the store; the watch does not report ends,
	// since their keys are not below WatchedPrefix.
	entry, end, err := h.readJob(ctx, uid)
	switch {
	case err != nil:
		return tryAgain(1), true
	case entry == nil && end == nil:
		return h.answerNotInStore(ctx, uid), true
	}
	return h.answerRead(ctx, uid, entry, end), true
}

// accept writes the job to the store by compare-and-swap and copies it to a peer at the same time. The user gets the
// answer once both are done.
func (h *Handler) accept(ctx context.Context, spec *protocol.Submission, conditions []protocol.Condition) httpx.Answer {
	uid := spec.UID
	job := ActiveJob{Spec: spec, SubmittedAtMillis: time.Now().UnixMilli()}
	copied := make(chan struct{})
	go func() { // bounded by the same context as the write to the store
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
			return h.answerRead(ctx, uid, entry, end)
		}
	}
	return tryAgain(1)
}

// infeasibleReason returns why a job can never run, or "" if it can. While the machine types are unknown, only the
// team's limits are checked.
func (h *Handler) infeasibleReason(s *protocol.Submission) string {
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

// exceedsLimit reports whether the tasks that must run at the same time exceed the team's limit: one task of an array,
// all tasks of a gang or a service.
func exceedsLimit(s *protocol.Submission, team settings.Team) bool {
	concurrent := 1.0
	if s.Kind != protocol.JobArray {
		concurrent = float64(s.Tasks)
	}
	return concurrent*s.CPUs > team.CPUsMax+amountSlack || concurrent*s.GPUs > team.GPUsMax+amountSlack
}

// taskFits reports whether a task fits an empty machine of the type, and the job may use the type in one of its zones.
func taskFits(s *protocol.Submission, t protocol.MachineType) bool {
	if t.CPUs+amountSlack < s.CPUs || t.GPUs+amountSlack < s.GPUs || t.MemoryGB+amountSlack < s.MemoryGB {
		return false
	}
	allowedType := s.Types == nil || slices.Contains(s.Types, t.Name)
	allowedZone := s.Zone == nil || slices.Contains(t.Zones, *s.Zone)
	return allowedType && allowedZone
}
