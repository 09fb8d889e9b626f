package userapi

import (
	"context"
	"encoding/json"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/protocol"
)

// JobEnd is the end of a job in the key-value store. What a task takes is kept with it, since tasks that are still on
// machines use their team's quota and the job's description is gone; it is 0 where only memory tells of the end.
type JobEnd struct {
	State    protocol.JobState `json:"state"`
	Tasks    int               `json:"tasks"`
	Team     string            `json:"team"`
	CPUs     float64           `json:"cpus,omitempty"`
	GPUs     float64           `json:"gpus,omitempty"`
	MemoryGB float64           `json:"memory,omitempty"` // GB
}

// NewJobEnd is the end of a job in a state, protocol.Done or protocol.Cancelled.
func NewJobEnd(spec *protocol.Submission, state protocol.JobState) JobEnd {
	return JobEnd{State: state, Tasks: spec.Tasks, Team: spec.Team, CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// JobEndFrom is a remembered end in the form of the store; what a task takes is not known.
func JobEndFrom(x datarecovery.End) JobEnd {
	end := JobEnd{State: protocol.Done, Tasks: x.Tasks, Team: x.Team}
	if x.Cancelled {
		end.State = protocol.Cancelled
	}
	return end
}

// RecordEnd remembers the end of a job. The first end that was recorded stays.
func (h *Handler) RecordEnd(uid string, final JobEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends.Add(datarecovery.End{UID: uid, Cancelled: final.State == protocol.Cancelled, Tasks: final.Tasks, Team: final.Team})
}

// KnownEnd is the end of a job, if it is remembered.
func (h *Handler) KnownEnd(uid string) (JobEnd, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.ends.Get(uid)
	if !ok {
		return JobEnd{}, false
	}
	return JobEndFrom(x), true
}

// EndCount is how many ends are remembered.
func (h *Handler) EndCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends.Len()
}

// EndsDigest is a digest of the ends that are remembered, to compare with another controller's.
func (h *Handler) EndsDigest() datarecovery.Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends.Digest()
}

// EndsMissingFrom lists the remembered ends that another controller's digest lacks. The error is about a malformed
// digest.
func (h *Handler) EndsMissingFrom(d datarecovery.Digest) ([]datarecovery.End, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends.MissingFrom(d)
}

// readJob reads what the store holds of a job: its active entry, or its end, or neither. The order of the two reads
// matters: a job moves from active to ended in one transaction and never back.
func (h *Handler) readJob(ctx context.Context, uid string) (*protocol.Entry, *JobEnd, error) {
	if final, ok := h.KnownEnd(uid); ok {
		return nil, &final, nil
	}
	e, err := h.store.Get(ctx, ActiveJobPrefix+uid)
	if e != nil || err != nil {
		return e, nil, err
	}
	e, err = h.store.Get(ctx, EndedJobPrefix+uid)
	if e == nil || err != nil {
		return nil, nil, err
	}
	var final JobEnd
	if err := json.Unmarshal(e.Value, &final); err != nil {
		return nil, nil, err
	}
	h.RecordEnd(uid, final)
	h.backend.JobEnded(uid, final)
	return nil, &final, nil
}

// LookUpEnd reads whether a job has ended and how. A job that nobody submitted has not.
func (h *Handler) LookUpEnd(ctx context.Context, uid string) (JobEnd, bool) {
	final, found, _ := h.LookUpEndOrAbsence(ctx, uid)
	return final, found
}

// LookUpEndOrAbsence is LookUpEnd; absent says that the store surely has neither the job nor its end.
func (h *Handler) LookUpEndOrAbsence(ctx context.Context, uid string) (end JobEnd, found, absent bool) {
	e, final, err := h.readJob(ctx, uid)
	if err != nil || final == nil {
		return JobEnd{}, false, err == nil && e == nil && h.backend.StoreTrusted()
	}
	return *final, true, false
}

// ReadEnd reads a job's end from the store, with what its tasks take; found is false if it is not there or the store
// does not answer.
func (h *Handler) ReadEnd(ctx context.Context, uid string) (end JobEnd, found bool) {
	e, err := h.store.Get(ctx, EndedJobPrefix+uid)
	if err != nil || e == nil || json.Unmarshal(e.Value, &end) != nil {
		return JobEnd{}, false
	}
	return end, true
}
