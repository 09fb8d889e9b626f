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

// userTimeout bounds a user's request.
const userTimeout = 5 * time.Second

// Users sends users' requests to the controllers and records every answer. Its methods may be called concurrently, also
// for the same job.
type Users struct {
	controllers []string // addresses
	checker     *Checker
	log         *history.Log
	client      *http.Client
}

// NewUsers returns users of the controllers at the given addresses.
func NewUsers(nodes []string, check *Checker) *Users {
	transport := &http.Transport{MaxIdleConnsPerHost: 32}
	return &Users{controllers: nodes, checker: check, log: &history.Log{}, client: &http.Client{Timeout: userTimeout, Transport: transport}}
}

// Close closes the users' idle connections.
func (u *Users) Close() { u.client.CloseIdleConnections() }

// Log returns the history of all requests and answers.
func (u *Users) Log() *history.Log { return u.log }

// Submit sends a submission to a controller. The same submission may be sent several times.
func (u *Users) Submit(node int, spec *protocol.Submission) (status int, state protocol.JobState) {
	u.checker.RecordSubmission(spec)
	return u.call(node, history.Submit, spec.UID, "POST", protocol.PathSubmit, protocol.Encode(spec), spec.Dependencies...)
}

// Ask requests a job's state.
func (u *Users) Ask(node int, uid string) (status int, state protocol.JobState) {
	return u.call(node, history.Ask, uid, "GET", protocol.PathSubmit+"/"+uid, nil)
}

// Cancel requests the cancellation of a job.
func (u *Users) Cancel(node int, uid string) (status int, state protocol.JobState) {
	u.checker.RecordCancellation(uid)
	return u.call(node, history.Cancel, uid, "POST", protocol.PathSubmit+"/"+uid+"/withdraw", []byte("{}"))
}

// call sends one request and records its answer; status 0: no answer. A submission comes with the jobs that it names.
func (u *Users) call(node int, kind history.Kind, uid, method, path string, body []byte, dependencies ...string) (status int, state protocol.JobState) {
	req, err := http.NewRequest(method, "http://"+u.controllers[node]+path, bytes.NewReader(body))
	if err != nil {
		panic("simulation: invalid request: " + err.Error())
	}
	before := u.checker.KnownSoFar(uid)
	index := u.log.Invoke(node, kind, uid, dependencies...)
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var st protocol.Status
	if json.NewDecoder(resp.Body).Decode(&st) != nil && resp.StatusCode == http.StatusOK {
		return 0, "" // the connection broke during the answer
	}
	u.log.Return(index, resp.StatusCode, st.State)
	u.checker.RecordOverlappingAnswer(uid, before, resp.StatusCode, st.State, kind == history.Submit)
	return resp.StatusCode, st.State
}

// isAccepted reports whether a user need not repeat a request that got this status code.
func isAccepted(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// SubmitUntil repeats a submission to randomly chosen controllers until it is accepted. It returns false if the context
// ended first.
func (u *Users) SubmitUntil(ctx context.Context, rng *rand.Rand, spec *protocol.Submission) bool {
	return u.retryUntil(ctx, func() bool { status, _ := u.Submit(rng.IntN(len(u.controllers)), spec); return isAccepted(status) })
}

// CancelUntil repeats a cancellation to randomly chosen controllers until it is confirmed. It returns false if the
// context ended first.
func (u *Users) CancelUntil(ctx context.Context, rng *rand.Rand, uid string) bool {
	return u.retryUntil(ctx, func() bool { status, _ := u.Cancel(rng.IntN(len(u.controllers)), uid); return isAccepted(status) })
}

// AwaitEnd queries randomly chosen controllers until one answers that the job is done or cancelled. It returns false if
// the context ended first.
func (u *Users) AwaitEnd(ctx context.Context, rng *rand.Rand, uid string) bool {
	return u.retryUntil(ctx, func() bool {
		status, state := u.Ask(rng.IntN(len(u.controllers)), uid)
		return status == http.StatusOK && (state == protocol.Done || state == protocol.Cancelled)
	})
}

// retryUntil repeats a request until it is answered as desired. It returns false if the context ended first.
func (u *Users) retryUntil(ctx context.Context, answered func() bool) bool {
	for !answered() {
		if !wait.For(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return true
}

// AskEveryController queries a job and repeats its submission at all controllers concurrently, the given number of
// times in immediate succession, and waits for all answers.
func (u *Users) AskEveryController(spec *protocol.Submission, times int) {
	var group sync.WaitGroup
	for node := range u.controllers {
		group.Go(func() {
			for range times {
				u.Ask(node, spec.UID)
				u.Submit(node, spec)
			}
		})
	}
	group.Wait()
}
