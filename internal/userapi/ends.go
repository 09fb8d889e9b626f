package userapi

import (
	"context"
	"encoding/json"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/protocol"
)

// JobEnd is the stored form of the end of a job. It includes the resources of one task, because tasks that are still on
// machines use their team's quota after the job's description is deleted. They are 0 if the end is known only from
// memory.
type JobEnd struct {
	State    protocol.JobState `json:"state"`
	Tasks    int               `json:"tasks"`
	Team     string            `json:"team"`
	CPUs     float64           `json:"cpus,omitempty"`
	GPUs     float64           `json:"gpus,omitempty"`
	MemoryGB float64           `json:"memory,omitempty"` // GB
}

// NewJobEnd returns the end of a job; state is protocol.Done or protocol.Cancelled.
func NewJobEnd(spec *protocol.Submission, state protocol.JobState) JobEnd {
	return JobEnd{State: state, Tasks: spec.Tasks, Team: spec.Team, CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
}

// JobEndFrom converts an end in memory to the stored form, without the resources of a task.
func JobEndFrom(x datarecovery.End) JobEnd {
	end := JobEnd{State: protocol.Done, Tasks: x.Tasks, Team: x.Team}
	if x.Cancelled {
		end.State = protocol.Cancelled
	}
	return end
}

// RecordEnd keeps the end of a job in memory. The first end that is recorded for a job stays.
func (h *Handler) RecordEnd(uid string, end JobEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends.Add(datarecovery.End{UID: uid, Cancelled: end.State == protocol.Cancelled, Tasks: end.Tasks, Team: end.Team})
}

// KnownEnd returns the end of a job if it is in memory.
func (h *Handler) KnownEnd(uid string) (JobEnd, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.ends.Get(uid)
	if !ok {
		return JobEnd{}, false
	}
	return JobEndFrom(x), true
}

// EndCount returns the number of ends in memory.
func (h *Handler) EndCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends.Len()
}

// EndsDigest returns a digest of the ends in memory, for comparison with another controller's.
func (h *Handler) EndsDigest() datarecovery.Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends.Digest()
}

// EndsMissingFrom returns the ends in memory that another controller's digest lacks. It fails if the digest is
// malformed.
func (h *Handler) EndsMissingFrom(d datarecovery.Digest) ([]datarecovery.End, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends.MissingFrom(d)
}

// readJob reads a job from the store: its active entry, its end, or neither. The active entry must be read first,
// because a job moves from active to ended in one transaction and never back.
func (h *Handler) readJob(ctx context.Context, uid string) (*protocol.Entry, *JobEnd, error) {
	if end, ok := h.KnownEnd(uid); ok {
		return nil, &end, nil
	}
	e, err := h.store.Get(ctx, ActiveJobPrefix+uid)
	if e != nil || err != nil {
		return e, nil, err
	}
	e, err = h.store.Get(ctx, EndedJobPrefix+uid)
	if e == nil || err != nil {
		return nil, nil, err
	}
	var end JobEnd
	if err := json.Unmarshal(e.Value, &end); err != nil {
		return nil, nil, err
	}
	h.RecordEnd(uid, end)
	h.backend.JobEnded(uid, end)
	return nil, &end, nil
}

// LookUpEnd returns the end of a job, or false if the job has not ended, is unknown, or cannot be read.
func (h *Handler) LookUpEnd(ctx context.Context, uid string) (JobEnd, bool) {
	end, found, _ := h.LookUpEndOrAbsence(ctx, uid)
	return end, found
}

// LookUpEndOrAbsence is like LookUpEnd; absent reports that the store certainly has neither the job nor its end.
func (h *Handler) LookUpEndOrAbsence(ctx context.Context, uid string) (end JobEnd, found, absent bool) {
	e, stored, err := h.readJob(ctx, uid)
	if err != nil || stored == nil {
		return JobEnd{}, false, err == nil && e == nil && h.backend.StoreTrusted()
	}
	return *stored, true, false
}

// ReadEnd reads a job's end from the store, with the resources of a task. found is false if the end is not there or the
// store does not answer.
func (h *Handler) ReadEnd(ctx context.Context, uid string) (end JobEnd, found bool) {
	e, err := h.store.Get(ctx, EndedJobPrefix+uid)
	if err != nil || e == nil || json.Unmarshal(e.Value, &end) != nil {
		return JobEnd{}, false
	}
	return end, true
}
