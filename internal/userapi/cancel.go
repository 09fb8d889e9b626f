package userapi

import (
	"context"
	"encoding/json"
	"errors"

	"topazhollow/internal/httpx"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
)

// cancelAttempts bounds the attempts of a cancellation whose job changes in the store at the same time.
const cancelAttempts = 4

// retryWhenUnreadableSeconds is the retry delay for a job whose entry in the store cannot be decoded.
const retryWhenUnreadableSeconds = 5

// cancel ends a job by compare-and-swap on its entry. If the job has already ended, its end stays as it is.
func (h *Handler) cancel(ctx context.Context, uid string) httpx.Answer {
	if !protocol.ValidUID(uid) {
		return httpx.Refuse(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for range cancelAttempts {
		if answer, done := h.tryCancel(ctx, uid); done {
			return answer
		}
	}
	return tryAgain(1)
}

// tryCancel makes one attempt; done is false if the job's entry changed between the read and the write.
func (h *Handler) tryCancel(ctx context.Context, uid string) (answer httpx.Answer, done bool) {
	if end, ok := h.KnownEnd(uid); ok {
		return h.answerEnded(uid, end), true
	}
	if !h.backend.StoreTrusted() {
		return tryAgain(1), true
	}
	entry, end, err := h.readJob(ctx, uid)
	switch {
	case err != nil:
		return tryAgain(1), true
	case end != nil:
		return h.answerEnded(uid, *end), true
	case entry == nil:
		answer := h.answerNotInStore(ctx, uid)
		if answer.Status == 200 {
			return tryAgain(1), true // the job is being written back and can be cancelled after that
		}
		return answer, true
	}
	var job ActiveJob
	if err := json.Unmarshal(entry.Value, &job); err != nil || job.Spec == nil {
		return tryAgain(retryWhenUnreadableSeconds), true
	}
	return h.writeCancellation(ctx, uid, entry.Version, NewJobEnd(job.Spec, protocol.Cancelled))
}

// writeCancellation replaces the entry of an active job by its end if the entry still has the given version; done is
// false if it has not.
func (h *Handler) writeCancellation(
	ctx context.Context, uid string, version uint64, end JobEnd,
) (answer httpx.Answer, done bool) {
	_, err := h.store.Commit(ctx, kvstore.Update{
		Urgent:     true,
		Conditions: []protocol.Condition{{Key: ActiveJobPrefix + uid, Version: version}},
		Changes: []protocol.Op{
			{Delete: ActiveJobPrefix + uid},
			{Set: EndedJobPrefix + uid, Value: protocol.Encode(end)},
		},
	})
	switch {
	case errors.Is(err, kvstore.ErrConflict):
		return httpx.Answer{}, false
	case err != nil:
		return tryAgain(1), true
	}
	h.RecordEnd(uid, end)
	h.backend.JobEnded(uid, end)
	h.backend.CopyToPeer(ctx, nil, uid, end)
	return h.answerEnded(uid, end), true
}

// answerEnded answers that a job is cancelled or done. The controller that renews the leases of its tasks must know
// every cancellation that was confirmed to a user, whichever controller wrote it.
func (h *Handler) answerEnded(uid string, end JobEnd) httpx.Answer {
	h.confirmCancellation(uid, end)
	return httpx.Answer{Status: 200, Body: protocol.Encode(protocol.JobSummary{UID: uid, State: end.State})}
}

// confirmCancellation notifies the controller of a cancellation before it is confirmed to a user.
func (h *Handler) confirmCancellation(uid string, end JobEnd) {
	if end.State == protocol.Cancelled {
		h.backend.ConfirmingCancellation(uid, end)
	}
}
