// Package userapi answers users: any controller can, because what it says
// about a job rests on the state service.
package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"topazhollow/internal/datarecovery"
	"topazhollow/internal/httpx"
	"topazhollow/internal/kvstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// Keys of the state service. Those below Watched are followed by every
// controller.
const (
	WatchedPrefix   = "w/"
	ActiveJobPrefix = "w/a/" // active jobs
	EndedJobPrefix  = "f/"   // jobs that are done or withdrawn
)

// ActiveJob is an active job in the key-value store.
type ActiveJob struct {
	Spec              *protocol.Submission `json:"spec"`
	SubmittedAtMillis int64                `json:"at"` // time of day of the submission, in ms
}

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

// Backend is what the frontend needs of its controller.
type Backend interface {
	MachineTypes() []protocol.MachineType          // nil while unknown
	IsActive(ctx context.Context, uid string) bool // that the state service has it as active, by a read begun after the call; false if unsure
	Progress(uid string) (done, running int)       // for display
	JobAccepted(s ActiveJob, version uint64)       // a job was accepted here
	JobEnded(uid string, final JobEnd)             // a job ended, as this node just learned
	Healthy() bool
	Admit(spec *protocol.Submission) (taken bool, back int) // whether a new job can be taken now; if not, when to come back, in seconds

	StoreTrusted() bool                                                     // whether the state service has what it acknowledged, as far as known
	KnownActiveJob(uid string) (job ActiveJob, version uint64, ok bool)     // an active job; version 0: the state service does not have it yet
	CertainlyNeverAccepted(ctx context.Context) bool                        // whether a job that nobody knows was surely never accepted
	ReportMissing(uid string)                                               // the state service lacks a job that it may have acknowledged
	CopyToPeer(ctx context.Context, job *ActiveJob, uid string, end JobEnd) // has a peer hold a job, or else an end, before it is said
	ConfirmingCancellation(uid string, end JobEnd)                          // a user is about to be told of a withdrawal
}

// JobEndFrom is an end as the state service holds it.
func JobEndFrom(x datarecovery.End) JobEnd {
	f := JobEnd{State: protocol.Done, Tasks: x.Tasks, Team: x.Team}
	if x.Cancelled {
		f.State = protocol.Cancelled
	}
	return f
}

// Teams tells of the teams.
type Teams interface {
	Team(name string) (t settings.Team, known bool) // that takes new jobs
	Conditions(name string) []protocol.Condition    // what an acceptance for a team rests on
}

// settingsTeams are those of the settings.
type settingsTeams map[string]settings.Team

// Team finds a team.
func (t settingsTeams) Team(name string) (settings.Team, bool) {
	team, known := t[name]
	return team, known
}

// Rests is nothing: the settings do not change.
func (settingsTeams) Conditions(string) []protocol.Condition { return nil }

// Handler answers the requests of users.
type Handler struct {
	store   *kvstore.Client
	teams   Teams
	backend Backend

	mu   sync.Mutex
	ends *datarecovery.Ends
}

// New is a handler for a deployment.
func New(s *settings.Settings, st *kvstore.Client, back Backend) *Handler {
	teams := settingsTeams{}
	for _, t := range s.Deployment.Teams {
		teams[t.Name] = t
	}
	return &Handler{store: st, teams: teams, backend: back, ends: datarecovery.NewEnds()}
}

// Follow has the teams looked up elsewhere than in the settings.
func (f *Handler) UseTeams(t Teams) { f.teams = t }

func tryAgain(seconds int) httpx.Answer {
	a := httpx.Refuse(503, "not now, try again")
	a.RetryAfterSeconds = seconds
	return a
}

// Handle answers a user's request; ok is false if the path is none of theirs.
func (f *Handler) Handle(ctx context.Context, r *httpx.Request) (a httpx.Answer, ok bool) {
	switch {
	case r.Path == protocol.PathHealth:
		if r.Method != "GET" {
			return notAllowed("GET"), true
		}
		if !f.backend.Healthy() {
			return tryAgain(1), true
		}
		return httpx.Answer{Status: 200, Body: []byte("{}")}, true
	case r.Path == protocol.PathSubmit:
		if r.Method != "POST" {
			return notAllowed("POST"), true
		}
		return f.submit(ctx, r.Body), true
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
		return f.cancel(ctx, uid), true
	case more:
		return httpx.Refuse(404, "no such path"), true
	case r.Method != "GET":
		return notAllowed("GET"), true
	}
	return f.status(ctx, uid), true
}

func notAllowed(allow string) httpx.Answer {
	a := httpx.Refuse(405, "method not allowed")
	a.Allow = allow
	return a
}

// Learn remembers the end of a job. The first end that was learned stays.
func (f *Handler) RecordEnd(uid string, final JobEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends.Learn(datarecovery.End{UID: uid, Cancelled: final.State == protocol.Cancelled, Tasks: final.Tasks, Team: final.Team})
}

// Final is the end of a job, if it is remembered.
func (f *Handler) KnownEnd(uid string) (JobEnd, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.ends.Get(uid)
	if !ok {
		return JobEnd{}, false
	}
	return JobEndFrom(x), true
}

// Ends counts the ends that are remembered.
func (f *Handler) EndCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends.Len()
}

// Digest names the ends that are remembered.
func (f *Handler) EndsDigest() datarecovery.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends.Digest()
}

// Lacking lists the ends that a digest does not name.
func (f *Handler) EndsMissingFrom(d datarecovery.Digest) ([]datarecovery.End, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends.Lacking(d)
}

// find reads what the state service holds of a job: its active entry, or its
// end, or neither. The order matters: a job moves from active to ended at once
// and never back.
func (f *Handler) readJob(ctx context.Context, uid string) (*protocol.Entry, *JobEnd, error) {
	if final, ok := f.KnownEnd(uid); ok {
		return nil, &final, nil
	}
	e, err := f.store.Get(ctx, ActiveJobPrefix+uid)
	if e != nil || err != nil {
		return e, nil, err
	}
	e, err = f.store.Get(ctx, EndedJobPrefix+uid)
	if e == nil || err != nil {
		return nil, nil, err
	}
	var final JobEnd
	if err := json.Unmarshal(e.Value, &final); err != nil {
		return nil, nil, err
	}
	f.RecordEnd(uid, final)
	f.backend.JobEnded(uid, final)
	return nil, &final, nil
}

// Ended reads whether a job has ended and how. A job that nobody submitted has
// not.
func (f *Handler) LookUpEnd(ctx context.Context, uid string) (JobEnd, bool) {
	final, found, _ := f.LookUpEndOrAbsence(ctx, uid)
	return final, found
}

// LookUp is Ended; absent says that the state service surely has neither the job nor
// its end.
func (f *Handler) LookUpEndOrAbsence(ctx context.Context, uid string) (end JobEnd, found, absent bool) {
	e, final, err := f.readJob(ctx, uid)
	if err != nil || final == nil {
		return JobEnd{}, false, err == nil && e == nil && f.backend.StoreTrusted()
	}
	return *final, true, false
}

// ReadEnd reads a job's end from the state service, with what its tasks take; found is false if it is not there or
// the service does not answer.
func (f *Handler) ReadEnd(ctx context.Context, uid string) (end JobEnd, found bool) {
	e, err := f.store.Get(ctx, EndedJobPrefix+uid)
	if err != nil || e == nil || json.Unmarshal(e.Value, &end) != nil {
		return JobEnd{}, false
	}
	return end, true
}

// nobody answers about a job that the state service does not have: it may be remembered
// all the same, or have been lost for good.
func (f *Handler) answerNotInStore(ctx context.Context, uid string) httpx.Answer {
	if _, version, ok := f.backend.KnownActiveJob(uid); ok {
		if version > 0 { // it ended just now, or was lost: what is known here does not tell
			f.backend.ReportMissing(uid)
			return tryAgain(1)
		}
		return f.answerStatus(200, uid, nil)
	}
	if !f.backend.CertainlyNeverAccepted(ctx) {
		return tryAgain(retryWhenUnsureSeconds)
	}
	if final, ok := f.KnownEnd(uid); ok { // learned meanwhile, as from a copy that was put back
		return f.answerStatus(200, uid, &final)
	}
	if _, _, ok := f.backend.KnownActiveJob(uid); ok {
		return tryAgain(1)
	}
	return httpx.Refuse(404, "no such job")
}

// unsureFor is when to come back, in seconds, to ask about a job that may have been lost.
const retryWhenUnsureSeconds = 5

// remembered answers about a job while the state service cannot be relied on. An end that
// is known here stays, so it can be told. That a job is still active cannot: another
// controller may have told its end a moment ago, and nothing that is known here says so
// until memories are gathered.
func (f *Handler) answerFromMemory(uid string) httpx.Answer {
	if final, ok := f.KnownEnd(uid); ok {
		return f.answerStatus(200, uid, &final)
	}
	return tryAgain(1)
}

// over answers that a job is withdrawn or done. Whoever keeps its tasks alive must hear of a withdrawal that
// any user was told of, whoever wrote it.
func (f *Handler) answerEnded(uid string, final JobEnd) httpx.Answer {
	f.confirmCancellation(uid, final)
	return httpx.Answer{Status: 200, Body: protocol.Encode(protocol.JobSummary{UID: uid, State: final.State})}
}

func (f *Handler) confirmCancellation(uid string, final JobEnd) {
	if final.State == protocol.Cancelled {
		f.backend.ConfirmingCancellation(uid, final)
	}
}

// describe answers about a job that has ended, or is active if final is nil.
func (f *Handler) answerStatus(status int, uid string, final *JobEnd) httpx.Answer {
	s := protocol.Status{UID: uid, State: protocol.Pending}
	if final != nil {
		f.confirmCancellation(uid, *final)
		s.State = final.State
		if final.State == protocol.Done {
			s.Done = final.Tasks
		}
	} else if s.Done, s.Running = f.backend.Progress(uid); s.Running > 0 || s.Done > 0 {
		s.State = protocol.Running
	}
	return httpx.Answer{Status: status, Body: protocol.Encode(s)}
}

func (f *Handler) status(ctx context.Context, uid string) httpx.Answer {
	if !protocol.ValidUID(uid) {
		return httpx.Refuse(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, 1800*time.Millisecond)
	defer cancel()
	if final, ok := f.KnownEnd(uid); ok {
		return f.answerStatus(200, uid, &final)
	}
	if f.backend.IsActive(ctx, uid) {
		return f.answerStatus(200, uid, nil)
	}
	if !f.backend.StoreTrusted() {
		return f.answerFromMemory(uid)
	}
	e, final, err := f.readJob(ctx, uid)
	switch {
	case err != nil && !f.backend.StoreTrusted():
		return f.answerFromMemory(uid)
	case err != nil:
		return tryAgain(1)
	case e == nil && final == nil:
		return f.answerNotInStore(ctx, uid)
	}
	return f.answerStatus(200, uid, final)
}

func (f *Handler) submit(ctx context.Context, body []byte) httpx.Answer {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	spec, err := protocol.ParseSubmission(body)
	refusal := httpx.Answer{}
	uid := ""
	var rests []protocol.Condition
	if err == nil {
		rests = f.teams.Conditions(spec.Team) // looked up before what is decided by it
	}
	if err != nil {
		refusal = httpx.Refuse(400, err.Error())
		uid = protocol.PeekUID(body)
	} else {
		uid = spec.UID
		if reason := f.whyImpossible(spec); reason != "" {
			refusal = httpx.Refuse(422, reason)
		} else if f.backend.MachineTypes() == nil {
			return tryAgain(1)
		}
	}
	if refusal.Status != 0 {
		if uid == "" {
			return refusal
		}
		if !f.backend.StoreTrusted() {
			return f.answerFromMemory(uid)
		}
		e, final, err := f.readJob(ctx, uid)
		switch {
		case err != nil:
			return tryAgain(1)
		case e != nil || final != nil:
			return f.answerStatus(200, uid, final)
		case refusal.Status == 422 && f.backend.MachineTypes() == nil:
			return tryAgain(1)
		}
		if a := f.answerNotInStore(ctx, uid); a.Status != 404 {
			return a
		}
		if refusal.Status == 422 && f.whyImpossible(spec) == "" {
			return tryAgain(1) // all is known up to the request by now, as that the team came
		}
		return refusal
	}
	if final, ok := f.KnownEnd(uid); ok {
		return f.answerStatus(200, uid, &final)
	}
	if !f.backend.StoreTrusted() {
		return f.answerFromMemory(uid)
	}
	if _, version, ok := f.backend.KnownActiveJob(uid); ok && version == 0 {
		// After a loss, not written back yet: its end may stand in the state service all the
		// same, and no change that is followed tells of it.
		e, final, err := f.readJob(ctx, uid)
		switch {
		case err != nil:
			return tryAgain(1)
		case e == nil && final == nil:
			return f.answerNotInStore(ctx, uid)
		}
		return f.answerStatus(200, uid, final)
	}
	if taken, back := f.backend.Admit(spec); !taken {
		return tryAgain(back)
	}
	stored := ActiveJob{Spec: spec, SubmittedAtMillis: time.Now().UnixMilli()}
	held := make(chan struct{})
	go func() { // a peer holds it before it is said, which takes no longer than the state service does
		defer close(held)
		f.backend.CopyToPeer(ctx, &stored, "", JobEnd{})
	}()
	version, err := f.store.Commit(ctx, kvstore.Update{Urgent: true,
		Conditions: append([]protocol.Condition{{Key: ActiveJobPrefix + uid}, {Key: EndedJobPrefix + uid}}, rests...),
		Changes:    []protocol.Op{{Set: ActiveJobPrefix + uid, Value: protocol.Encode(stored)}},
	})
	if err == nil {
		<-held
		f.backend.JobAccepted(stored, version)
		return httpx.Answer{Status: 201, Body: protocol.Encode(protocol.JobSummary{UID: uid, State: protocol.Pending})}
	}
	if errors.Is(err, kvstore.ErrConflict) {
		e, final, err := f.readJob(ctx, uid)
		if err == nil && (e != nil || final != nil) {
			return f.answerStatus(200, uid, final)
		}
	}
	return tryAgain(1)
}

// impossible says why a job can never run, or "".
func (f *Handler) whyImpossible(s *protocol.Submission) string {
	team, ok := f.teams.Team(s.Team)
	if !ok {
		return "field equipo: unknown team"
	}
	n := 1.0
	if s.Kind != protocol.JobArray {
		n = float64(s.Tasks)
	}
	if n*s.CPUs > team.CPUsMax+1e-6 || n*s.GPUs > team.GPUsMax+1e-6 {
		return "field tramos: needs more than the team's limit"
	}
	types := f.backend.MachineTypes()
	if types == nil {
		return ""
	}
	for _, t := range types {
		if t.CPUs+1e-6 < s.CPUs || t.GPUs+1e-6 < s.GPUs || t.MemoryGB+1e-6 < s.MemoryGB {
			continue
		}
		named := s.Types == nil
		for _, name := range s.Types {
			named = named || name == t.Name
		}
		placed := s.Zone == nil
		for _, z := range t.Zones {
			placed = placed || z == *s.Zone
		}
		if named && placed {
			return ""
		}
	}
	return "field cores: a task fits no allowed machine type"
}

func (f *Handler) cancel(ctx context.Context, uid string) httpx.Answer {
	if !protocol.ValidUID(uid) {
		return httpx.Refuse(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	for range 4 {
		if final, ok := f.KnownEnd(uid); ok {
			return f.answerEnded(uid, final)
		}
		if !f.backend.StoreTrusted() {
			return tryAgain(1)
		}
		e, final, err := f.readJob(ctx, uid)
		switch {
		case err != nil:
			return tryAgain(1)
		case final != nil:
			return f.answerEnded(uid, *final)
		case e == nil:
			a := f.answerNotInStore(ctx, uid)
			if a.Status == 200 {
				return tryAgain(1) // it is being written back, and can be withdrawn then
			}
			return a
		}
		var stored ActiveJob
		if err := json.Unmarshal(e.Value, &stored); err != nil || stored.Spec == nil {
			return tryAgain(5)
		}
		end := NewJobEnd(stored.Spec, protocol.Cancelled)
		_, err = f.store.Commit(ctx, kvstore.Update{Urgent: true,
			Conditions: []protocol.Condition{{Key: ActiveJobPrefix + uid, Version: e.Version}},
			Changes:    []protocol.Op{{Delete: ActiveJobPrefix + uid}, {Set: EndedJobPrefix + uid, Value: protocol.Encode(end)}}})
		if err == nil {
			f.RecordEnd(uid, end)
			f.backend.JobEnded(uid, end)
			f.backend.CopyToPeer(ctx, nil, uid, end)
			return f.answerEnded(uid, end)
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			return tryAgain(1)
		}
	}
	return tryAgain(1)
}
