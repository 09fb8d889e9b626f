package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"topazhollow/internal/history"
	"topazhollow/internal/protocol"
	"topazhollow/internal/wait"
)

// userTimeout is how long a user waits for an answer.
const userTimeout = 5 * time.Second

// Users sends users' requests to the controllers and notes every answer. It is safe for concurrent use, also about
// the same job.
type Users struct {
	nodes  []string // addresses
	check  *Checker
	log    *history.Log
	client *http.Client
}

// NewUsers are users of controllers at some addresses.
func NewUsers(nodes []string, check *Checker) *Users {
	transport := &http.Transport{MaxIdleConnsPerHost: 32}
	return &Users{nodes: nodes, check: check, log: &history.Log{}, client: &http.Client{Timeout: userTimeout, Transport: transport}}
}

// Close ends the users' connections.
func (u *Users) Close() { u.client.CloseIdleConnections() }

// Log is what was asked and answered.
func (u *Users) Log() *history.Log { return u.log }

// Submit sends a submission, or repeats it.
func (u *Users) Submit(node int, spec *protocol.Submission) (status int, state protocol.JobState) {
	u.check.RecordSubmission(spec)
	return u.call(node, history.Submit, spec.UID, "POST", protocol.PathSubmit, protocol.Encode(spec))
}

// Ask asks for a job's state.
func (u *Users) Ask(node int, uid string) (status int, state protocol.JobState) {
	return u.call(node, history.Ask, uid, "GET", protocol.PathSubmit+"/"+uid, nil)
}

// Cancel asks to cancel a job.
func (u *Users) Cancel(node int, uid string) (status int, state protocol.JobState) {
	u.check.RecordCancellation(uid)
	return u.call(node, history.Cancel, uid, "POST", protocol.PathSubmit+"/"+uid+"/withdraw", []byte("{}"))
}

// call sends one request; status 0: no answer.
func (u *Users) call(node int, kind history.Kind, uid, method, path string, body []byte) (status int, state protocol.JobState) {
	req, err := http.NewRequest(method, "http://"+u.nodes[node]+path, bytes.NewReader(body))
	if err != nil {
		panic("rehearse: request that cannot be: " + err.Error())
	}
	before := u.check.KnownSoFar(uid)
	index := u.log.Invoke(node, kind, uid)
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var st protocol.Status
	if json.NewDecoder(resp.Body).Decode(&st) != nil && resp.StatusCode == http.StatusOK {
		return 0, "" // broken off in its answer
	}
	u.log.Return(index, resp.StatusCode, st.State)
	u.check.RecordOverlappingAnswer(uid, before, resp.StatusCode, st.State, kind == history.Submit)
	return resp.StatusCode, st.State
}

// settled says whether a status code is an answer after which a user does not repeat the request.
func settled(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// SubmitUntil repeats a submission at drawn controllers until it is accepted; false if the context ended.
func (u *Users) SubmitUntil(ctx context.Context, rng *rand.Rand, spec *protocol.Submission) bool {
	return u.repeat(ctx, func() bool { status, _ := u.Submit(rng.IntN(len(u.nodes)), spec); return settled(status) })
}

// CancelUntil repeats a cancellation at drawn controllers until it is confirmed; false if the context ended.
func (u *Users) CancelUntil(ctx context.Context, rng *rand.Rand, uid string) bool {
	return u.repeat(ctx, func() bool { status, _ := u.Cancel(rng.IntN(len(u.nodes)), uid); return settled(status) })
}

// AwaitEnd asks drawn controllers until one says that the job is done or cancelled; false if the context ended.
func (u *Users) AwaitEnd(ctx context.Context, rng *rand.Rand, uid string) bool {
	return u.repeat(ctx, func() bool {
		status, state := u.Ask(rng.IntN(len(u.nodes)), uid)
		return status == http.StatusOK && (state == protocol.Done || state == protocol.Cancelled)
	})
}

func (u *Users) repeat(ctx context.Context, answered func() bool) bool {
	for !answered() {
		if !wait.For(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return true
}

// AskEveryController asks for a job and repeats its submission at all controllers at the same time, so many times within
// milliseconds, and waits for all answers.
func (u *Users) AskEveryController(spec *protocol.Submission, times int) {
	var group sync.WaitGroup
	for node := range u.nodes {
		group.Go(func() {
			for range times {
				u.Ask(node, spec.UID)
				u.Submit(node, spec)
			}
		})
	}
	group.Wait()
}
