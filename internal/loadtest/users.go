package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/wait"
)

// Times of the users' protocol.
const (
	pollEvery   = 5 * time.Second
	pollTimeout = 2 * time.Second
	sendTimeout = 5 * time.Second
	sendRetry   = time.Second
)

const (
	urgentClass = "urgent"
	usualClass  = "usual"

	mostUnfinished = 20000 // jobs that users follow at a time
	mostReplicas   = 250   // of a service
	sendersAtOnce  = 64    // services that are submitted at a time
)

// users submit jobs and ask for them until they are done.
type users struct {
	g      *region
	client *http.Client
	rng    *rand.Rand
	next   int
	busy   atomic.Int64
	polls  atomic.Int64
	failed atomic.Int64 // requests without an answer, or refused for now
	left   atomic.Int64 // jobs not submitted as too many were unfinished
	all    sync.WaitGroup
}

func newUsers(g *region) *users {
	return &users{g: g, rng: rand.New(rand.NewPCG(g.c.Seed, 2)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256}}}
}

// make draws the next job.
func (u *users) make(team, tasks int, run time.Duration, urgent bool) *job {
	u.next++
	return &job{name: jobName{u.next, team, run}, tasks: tasks, urgent: urgent, done: map[int]bool{}}
}

// submission is a job as its user describes it.
func (j *job) submission() *protocol.Submission {
	s := &protocol.Submission{UID: j.name.String(), Class: usualClass, Team: teamName(j.name.Team), Kind: protocol.JobArray, Priority: "standard",
		Tasks: j.tasks, CPUs: 1, MemoryGB: 1, Image: "image", Spot: true, EstimateSeconds: j.name.Run.Seconds()}
	if j.urgent {
		s.Class, s.Priority = urgentClass, "prod"
	}
	if j.name.Run == 0 {
		s.Kind = protocol.Service
	}
	return s
}

// stand submits the services, whose replicas run throughout, and returns once all were
// accepted.
func (u *users) stand(ctx context.Context) {
	senders := make(chan struct{}, sendersAtOnce)
	var accepted sync.WaitGroup
	all := u.g.c.standing()
	for team := range u.g.c.Teams {
		left := all * (team + 1) / u.g.c.Teams
		for left -= all * team / u.g.c.Teams; left > 0; left -= mostReplicas {
			j := u.make(team, min(left, mostReplicas), 0, false)
			senders <- struct{}{}
			accepted.Add(1)
			u.all.Add(1)
			go func() {
				defer u.all.Done()
				u.submit(ctx, j, rand.New(rand.NewPCG(u.g.c.Seed, uint64(j.name.Number))))
				<-senders
				accepted.Done()
			}()
		}
	}
	accepted.Wait()
}

// arrays submits arrays at the rate of the experiment until the context ends.
func (u *users) arrays(ctx context.Context) {
	const step = 20 * time.Millisecond
	due, began, sent := 0.0, time.Now(), 0
	for wait.For(ctx, step) {
		due = time.Since(began).Seconds() * u.g.c.StartsPerSecond / float64(u.g.c.TasksPerJob)
		for ; float64(sent) < due; sent++ {
			if u.busy.Load() >= mostUnfinished {
				u.left.Add(1)
				continue
			}
			run := time.Duration((0.5 + u.rng.Float64()) * u.g.c.TaskRun * float64(time.Second))
			j := u.make(u.rng.IntN(u.g.c.Teams), u.g.c.TasksPerJob, run, u.rng.Float64() < u.g.c.UrgentShare)
			u.all.Add(1)
			u.busy.Add(1)
			go u.follow(ctx, j)
		}
	}
}

// follow submits a job and asks for it until it is done.
func (u *users) follow(ctx context.Context, j *job) {
	defer u.all.Done()
	defer u.busy.Add(-1)
	rng := rand.New(rand.NewPCG(u.g.c.Seed, uint64(j.name.Number)))
	if !u.submit(ctx, j, rng) {
		return
	}
	for wait.For(ctx, pollEvery) {
		u.polls.Add(1)
		if _, state := u.ask(ctx, rng, http.MethodGet, protocol.PathSubmit+"/"+j.name.String(), nil, pollTimeout); state == protocol.Done {
			return
		}
	}
}

// submit repeats a submission until it is accepted; false if the context ended before.
func (u *users) submit(ctx context.Context, j *job, rng *rand.Rand) bool {
	j.submitted = time.Now()
	u.g.mu.Lock()
	u.g.rules.jobs[j.name.String()] = j
	u.g.mu.Unlock()
	body := protocol.Encode(j.submission())
	for {
		status, _ := u.ask(ctx, rng, http.MethodPost, protocol.PathSubmit, body, sendTimeout)
		if status == http.StatusOK || status == http.StatusCreated {
			return true
		}
		u.failed.Add(1)
		if !wait.For(ctx, sendRetry) {
			return false
		}
	}
}

// ask sends a request to a drawn controller and has the rules see the answer.
func (u *users) ask(ctx context.Context, rng *rand.Rand, method, path string, body []byte, within time.Duration) (int, protocol.JobState) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	to := u.g.controllers[rng.IntN(len(u.g.controllers))].listen
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var s protocol.Status
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return resp.StatusCode, ""
	}
	if s.UID != "" {
		u.g.mu.Lock()
		u.g.rules.answer(s.UID, resp.StatusCode, s.State, time.Now())
		u.g.mu.Unlock()
	}
	return resp.StatusCode, s.State
}
