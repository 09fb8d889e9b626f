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
	Watched  = "w/"
	JobKey   = "w/a/" // active jobs
	FinalKey = "f/"   // jobs that are done or withdrawn
)

// Stored is an active job in the state service.
type Stored struct {
	Spec *protocol.Submission `json:"spec"`
	At   int64                `json:"at"` // time of day of the submission, in ms
}

// Final is the end of a job in the state service. What a task takes is kept with it, since tasks that are still on
// machines use their team's quota and the job's description is gone; it is 0 where only memory tells of the end.
type Final struct {
	State  protocol.JobState `json:"state"`
	Tasks  int               `json:"tasks"`
	Team   string            `json:"team"`
	CPUs   float64           `json:"cpus,omitempty"`
	GPUs   float64           `json:"gpus,omitempty"`
	Memory float64           `json:"memory,omitempty"` // GB
}

// EndOf is the end of a job in a state, protocol.Done or protocol.Withdrawn.
func EndOf(spec *protocol.Submission, state protocol.JobState) Final {
	return Final{State: state, Tasks: spec.Tasks, Team: spec.Team, CPUs: spec.CPUs, GPUs: spec.GPUs, Memory: spec.MemoryGB}
}

// Backend is what the frontend needs of its controller.
type Backend interface {
	Types() []protocol.MachineType               // nil while unknown
	Active(ctx context.Context, uid string) bool // that the state service has it as active, by a read begun after the call; false if unsure
	Progress(uid string) (done, running int)     // for display
	Accepted(s Stored, version uint64)           // a job was accepted here
	Ended(uid string, final Final)               // a job ended, as this node just learned
	Healthy() bool
	Admit(spec *protocol.Submission) (taken bool, back int) // whether a new job can be taken now; if not, when to come back, in seconds

	Trusted() bool                                                // whether the state service has what it acknowledged, as far as known
	Remembers(uid string) (job Stored, version uint64, ok bool)   // an active job; version 0: the state service does not have it yet
	Certain(ctx context.Context) bool                             // whether a job that nobody knows was surely never accepted
	Missing(uid string)                                           // the state service lacks a job that it may have acknowledged
	Hold(ctx context.Context, job *Stored, uid string, end Final) // has a peer hold a job, or else an end, before it is said
	Confirming(uid string, end Final)                             // a user is about to be told of a withdrawal
}

// FinalOf is an end as the state service holds it.
func FinalOf(x datarecovery.End) Final {
	f := Final{State: protocol.Done, Tasks: x.Tasks, Team: x.Team}
	if x.Cancelled {
		f.State = protocol.Cancelled
	}
	return f
}

// Tenants tells of the teams.
type Tenants interface {
	Team(name string) (t settings.Team, known bool) // that takes new jobs
	Rests(name string) []protocol.Condition         // what an acceptance for a team rests on
}

// fixedTenants are those of the settings.
type fixedTenants map[string]settings.Team

// Team finds a team.
func (t fixedTenants) Team(name string) (settings.Team, bool) {
	team, known := t[name]
	return team, known
}

// Rests is nothing: the settings do not change.
func (fixedTenants) Rests(string) []protocol.Condition { return nil }

// Frontend serves the users' part of the protocol.
type Frontend struct {
	state *kvstore.Client
	teams Tenants
	back  Backend

	mu   sync.Mutex
	ends *datarecovery.Ends
}

// New is a frontend for a deployment.
func New(s *settings.Settings, st *kvstore.Client, back Backend) *Frontend {
	teams := fixedTenants{}
	for _, t := range s.Deployment.Teams {
		teams[t.Name] = t
	}
	return &Frontend{state: st, teams: teams, back: back, ends: datarecovery.NewEnds()}
}

// Follow has the teams looked up elsewhere than in the settings.
func (f *Frontend) Follow(t Tenants) { f.teams = t }

func busy(seconds int) httpx.Answer {
	a := httpx.Refuse(503, "not now, try again")
	a.Retry = seconds
	return a
}

// Handle answers a user's request; ok is false if the path is none of theirs.
func (f *Frontend) Handle(ctx context.Context, r *httpx.Request) (a httpx.Answer, ok bool) {
	switch {
	case r.Path == protocol.PathHealth:
		if r.Method != "GET" {
			return notAllowed("GET"), true
		}
		if !f.back.Healthy() {
			return busy(1), true
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
		return f.withdraw(ctx, uid), true
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
func (f *Frontend) Learn(uid string, final Final) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends.Learn(datarecovery.End{UID: uid, Cancelled: final.State == protocol.Cancelled, Tasks: final.Tasks, Team: final.Team})
}

// Final is the end of a job, if it is remembered.
func (f *Frontend) Final(uid string) (Final, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.ends.Get(uid)
	if !ok {
		return Final{}, false
	}
	return FinalOf(x), true
}

// Ends counts the ends that are remembered.
func (f *Frontend) Ends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends.Len()
}

// Digest names the ends that are remembered.
func (f *Frontend) Digest() datarecovery.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends.Digest()
}

// Lacking lists the ends that a digest does not name.
func (f *Frontend) Lacking(d datarecovery.Digest) ([]datarecovery.End, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends.Lacking(d)
}

// find reads what the state service holds of a job: its active entry, or its
// end, or neither. The order matters: a job moves from active to ended at once
// and never back.
func (f *Frontend) find(ctx context.Context, uid string) (*protocol.Entry, *Final, error) {
	if final, ok := f.Final(uid); ok {
		return nil, &final, nil
	}
	e, err := f.state.Get(ctx, JobKey+uid)
	if e != nil || err != nil {
		return e, nil, err
	}
	e, err = f.state.Get(ctx, FinalKey+uid)
	if e == nil || err != nil {
		return nil, nil, err
	}
	var final Final
	if err := json.Unmarshal(e.Value, &final); err != nil {
		return nil, nil, err
	}
	f.Learn(uid, final)
	f.back.Ended(uid, final)
	return nil, &final, nil
}

// Ended reads whether a job has ended and how. A job that nobody submitted has
// not.
func (f *Frontend) Ended(ctx context.Context, uid string) (Final, bool) {
	final, found, _ := f.LookUp(ctx, uid)
	return final, found
}

// LookUp is Ended; absent says that the state service surely has neither the job nor
// its end.
func (f *Frontend) LookUp(ctx context.Context, uid string) (end Final, found, absent bool) {
	e, final, err := f.find(ctx, uid)
	if err != nil || final == nil {
		return Final{}, false, err == nil && e == nil && f.back.Trusted()
	}
	return *final, true, false
}

// ReadEnd reads a job's end from the state service, with what its tasks take; found is false if it is not there or
// the service does not answer.
func (f *Frontend) ReadEnd(ctx context.Context, uid string) (end Final, found bool) {
	e, err := f.state.Get(ctx, FinalKey+uid)
	if err != nil || e == nil || json.Unmarshal(e.Value, &end) != nil {
		return Final{}, false
	}
	return end, true
}

// nobody answers about a job that the state service does not have: it may be remembered
// all the same, or have been lost for good.
func (f *Frontend) nobody(ctx context.Context, uid string) httpx.Answer {
	if _, version, ok := f.back.Remembers(uid); ok {
		if version > 0 { // it ended just now, or was lost: what is known here does not tell
			f.back.Missing(uid)
			return busy(1)
		}
		return f.describe(200, uid, nil)
	}
	if !f.back.Certain(ctx) {
		return busy(unsureFor)
	}
	if final, ok := f.Final(uid); ok { // learned meanwhile, as from a copy that was put back
		return f.describe(200, uid, &final)
	}
	if _, _, ok := f.back.Remembers(uid); ok {
		return busy(1)
	}
	return httpx.Refuse(404, "no such job")
}

// unsureFor is when to come back, in seconds, to ask about a job that may have been lost.
const unsureFor = 5

// remembered answers about a job while the state service cannot be relied on. An end that
// is known here stays, so it can be told. That a job is still active cannot: another
// controller may have told its end a moment ago, and nothing that is known here says so
// until memories are gathered.
func (f *Frontend) remembered(uid string) httpx.Answer {
	if final, ok := f.Final(uid); ok {
		return f.describe(200, uid, &final)
	}
	return busy(1)
}

// over answers that a job is withdrawn or done. Whoever keeps its tasks alive must hear of a withdrawal that
// any user was told of, whoever wrote it.
func (f *Frontend) over(uid string, final Final) httpx.Answer {
	f.telling(uid, final)
	return httpx.Answer{Status: 200, Body: protocol.Encode(protocol.JobSummary{UID: uid, State: final.State})}
}

func (f *Frontend) telling(uid string, final Final) {
	if final.State == protocol.Cancelled {
		f.back.Confirming(uid, final)
	}
}

// describe answers about a job that has ended, or is active if final is nil.
func (f *Frontend) describe(status int, uid string, final *Final) httpx.Answer {
	s := protocol.Status{UID: uid, State: protocol.Pending}
	if final != nil {
		f.telling(uid, *final)
		s.State = final.State
		if final.State == protocol.Done {
			s.Done = final.Tasks
		}
	} else if s.Done, s.Running = f.back.Progress(uid); s.Running > 0 || s.Done > 0 {
		s.State = protocol.Running
	}
	return httpx.Answer{Status: status, Body: protocol.Encode(s)}
}

func (f *Frontend) status(ctx context.Context, uid string) httpx.Answer {
	if !protocol.ValidUID(uid) {
		return httpx.Refuse(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, 1800*time.Millisecond)
	defer cancel()
	if final, ok := f.Final(uid); ok {
		return f.describe(200, uid, &final)
	}
	if f.back.Active(ctx, uid) {
		return f.describe(200, uid, nil)
	}
	if !f.back.Trusted() {
		return f.remembered(uid)
	}
	e, final, err := f.find(ctx, uid)
	switch {
	case err != nil && !f.back.Trusted():
		return f.remembered(uid)
	case err != nil:
		return busy(1)
	case e == nil && final == nil:
		return f.nobody(ctx, uid)
	}
	return f.describe(200, uid, final)
}

func (f *Frontend) submit(ctx context.Context, body []byte) httpx.Answer {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	spec, err := protocol.ParseSubmission(body)
	refusal := httpx.Answer{}
	uid := ""
	var rests []protocol.Condition
	if err == nil {
		rests = f.teams.Rests(spec.Team) // looked up before what is decided by it
	}
	if err != nil {
		refusal = httpx.Refuse(400, err.Error())
		uid = protocol.PeekUID(body)
	} else {
		uid = spec.UID
		if reason := f.impossible(spec); reason != "" {
			refusal = httpx.Refuse(422, reason)
		} else if f.back.Types() == nil {
			return busy(1)
		}
	}
	if refusal.Status != 0 {
		if uid == "" {
			return refusal
		}
		if !f.back.Trusted() {
			return f.remembered(uid)
		}
		e, final, err := f.find(ctx, uid)
		switch {
		case err != nil:
			return busy(1)
		case e != nil || final != nil:
			return f.describe(200, uid, final)
		case refusal.Status == 422 && f.back.Types() == nil:
			return busy(1)
		}
		if a := f.nobody(ctx, uid); a.Status != 404 {
			return a
		}
		if refusal.Status == 422 && f.impossible(spec) == "" {
			return busy(1) // all is known up to the request by now, as that the team came
		}
		return refusal
	}
	if final, ok := f.Final(uid); ok {
		return f.describe(200, uid, &final)
	}
	if !f.back.Trusted() {
		return f.remembered(uid)
	}
	if _, version, ok := f.back.Remembers(uid); ok && version == 0 {
		// After a loss, not written back yet: its end may stand in the state service all the
		// same, and no change that is followed tells of it.
		e, final, err := f.find(ctx, uid)
		switch {
		case err != nil:
			return busy(1)
		case e == nil && final == nil:
			return f.nobody(ctx, uid)
		}
		return f.describe(200, uid, final)
	}
	if taken, back := f.back.Admit(spec); !taken {
		return busy(back)
	}
	stored := Stored{Spec: spec, At: time.Now().UnixMilli()}
	held := make(chan struct{})
	go func() { // a peer holds it before it is said, which takes no longer than the state service does
		defer close(held)
		f.back.Hold(ctx, &stored, "", Final{})
	}()
	version, err := f.state.Commit(ctx, kvstore.Update{Soon: true,
		Guards: append([]protocol.Condition{{Key: JobKey + uid}, {Key: FinalKey + uid}}, rests...),
		Ops:    []protocol.Op{{Set: JobKey + uid, Value: protocol.Encode(stored)}},
	})
	if err == nil {
		<-held
		f.back.Accepted(stored, version)
		return httpx.Answer{Status: 201, Body: protocol.Encode(protocol.JobSummary{UID: uid, State: protocol.Pending})}
	}
	if errors.Is(err, kvstore.ErrConflict) {
		e, final, err := f.find(ctx, uid)
		if err == nil && (e != nil || final != nil) {
			return f.describe(200, uid, final)
		}
	}
	return busy(1)
}

// impossible says why a job can never run, or "".
func (f *Frontend) impossible(s *protocol.Submission) string {
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
	types := f.back.Types()
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

func (f *Frontend) withdraw(ctx context.Context, uid string) httpx.Answer {
	if !protocol.ValidUID(uid) {
		return httpx.Refuse(404, "no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	for range 4 {
		if final, ok := f.Final(uid); ok {
			return f.over(uid, final)
		}
		if !f.back.Trusted() {
			return busy(1)
		}
		e, final, err := f.find(ctx, uid)
		switch {
		case err != nil:
			return busy(1)
		case final != nil:
			return f.over(uid, *final)
		case e == nil:
			a := f.nobody(ctx, uid)
			if a.Status == 200 {
				return busy(1) // it is being written back, and can be withdrawn then
			}
			return a
		}
		var stored Stored
		if err := json.Unmarshal(e.Value, &stored); err != nil || stored.Spec == nil {
			return busy(5)
		}
		end := EndOf(stored.Spec, protocol.Cancelled)
		_, err = f.state.Commit(ctx, kvstore.Update{Soon: true,
			Guards: []protocol.Condition{{Key: JobKey + uid, Version: e.Version}},
			Ops:    []protocol.Op{{Delete: JobKey + uid}, {Set: FinalKey + uid, Value: protocol.Encode(end)}}})
		if err == nil {
			f.Learn(uid, end)
			f.back.Ended(uid, end)
			f.back.Hold(ctx, nil, uid, end)
			return f.over(uid, end)
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			return busy(1)
		}
	}
	return busy(1)
}
