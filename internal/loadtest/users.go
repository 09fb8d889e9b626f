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

// Intervals and timeouts of the users' requests.
const (
	pollInterval     = 5 * time.Second
	pollTimeout      = 2 * time.Second
	submitTimeout    = 5 * time.Second
	submitRetryDelay = time.Second
)

const (
	urgentClass = "urgent"
	usualClass  = "usual"

	maxUnfinishedJobs        = 20000 // arrays that users submit or poll at the same time; further ones are skipped
	maxReplicas              = 250   // of one service
	maxConcurrentSubmissions = 64    // services that are submitted at the same time
)

// users submits jobs and polls their states until they are done.
type users struct {
	region            *region
	client            *http.Client
	rng               *rand.Rand
	lastNumber        int
	unfinished        atomic.Int64
	polls             atomic.Int64 // requests for a job's state
	failedSubmissions atomic.Int64 // submissions that were unanswered or refused
	skipped           atomic.Int64 // jobs not submitted because too many were unfinished
	wg                sync.WaitGroup
}

func newUsers(g *region) *users {
	return &users{region: g, rng: rand.New(rand.NewPCG(g.config.Seed, 2)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256}}}
}

// newJob creates the next job.
func (u *users) newJob(team, tasks int, run time.Duration, urgent bool) *job {
	u.lastNumber++
	return &job{name: jobName{u.lastNumber, team, run}, tasks: tasks, urgent: urgent, done: map[int]bool{}}
}

// submission returns a job as its user submits it.
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

// submitServices submits the services, whose replicas run during the whole experiment, and returns once all are
// accepted.
func (u *users) submitServices(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentSubmissions)
	var accepted sync.WaitGroup
	all := u.region.config.serviceTasks()
	for team := range u.region.config.Teams { // the teams' shares differ by at most one replica
		left := all * (team + 1) / u.region.config.Teams
		for left -= all * team / u.region.config.Teams; left > 0; left -= maxReplicas {
			j := u.newJob(team, min(left, maxReplicas), 0, false)
			slots <- struct{}{}
			accepted.Add(1)
			u.wg.Add(1)
			go func() {
				defer u.wg.Done()
				u.submit(ctx, j, rand.New(rand.NewPCG(u.region.config.Seed, uint64(j.name.Number))))
				<-slots
				accepted.Done()
			}()
		}
	}
	accepted.Wait()
}

// submitArrays submits arrays at the configured rate until the context ends.
func (u *users) submitArrays(ctx context.Context) {
	const step = 20 * time.Millisecond
	due, began, sent := 0.0, time.Now(), 0
	for wait.For(ctx, step) {
		due = time.Since(began).Seconds() * u.region.config.StartsPerSecond / float64(u.region.config.TasksPerJob)
		for ; float64(sent) < due; sent++ {
			if u.unfinished.Load() >= maxUnfinishedJobs {
				u.skipped.Add(1)
				continue
			}
			run := time.Duration((0.5 + u.rng.Float64()) * u.region.config.TaskRun * float64(time.Second))
			j := u.newJob(u.rng.IntN(u.region.config.Teams), u.region.config.TasksPerJob, run, u.rng.Float64() < u.region.config.UrgentShare)
			u.wg.Add(1)
			u.unfinished.Add(1)
			go u.follow(ctx, j)
		}
	}
}

// follow submits a job and polls its state until it is done.
func (u *users) follow(ctx context.Context, j *job) {
	defer u.wg.Done()
	defer u.unfinished.Add(-1)
	rng := rand.New(rand.NewPCG(u.region.config.Seed, uint64(j.name.Number)))
	if !u.submit(ctx, j, rng) {
		return
	}
	for wait.For(ctx, pollInterval) {
		u.polls.Add(1)
		if _, state := u.request(ctx, rng, http.MethodGet, protocol.PathSubmit+"/"+j.name.String(), nil, pollTimeout); state == protocol.Done {
			return
		}
	}
}

// submit repeats a submission until it is accepted. It returns false if the context ended first.
func (u *users) submit(ctx context.Context, j *job, rng *rand.Rand) bool {
	j.submitted = time.Now()
	u.region.mu.Lock()
	u.region.rules.jobs[j.name.String()] = j
	u.region.mu.Unlock()
	body := protocol.Encode(j.submission())
	for {
		status, _ := u.request(ctx, rng, http.MethodPost, protocol.PathSubmit, body, submitTimeout)
		if status == http.StatusOK || status == http.StatusCreated {
			return true
		}
		u.failedSubmissions.Add(1)
		if !wait.For(ctx, submitRetryDelay) {
			return false
		}
	}
}

// request sends a request to a randomly chosen controller and checks the answer against the rules.
func (u *users) request(ctx context.Context, rng *rand.Rand, method, path string, body []byte, within time.Duration) (int, protocol.JobState) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	to := u.region.controllers[rng.IntN(len(u.region.controllers))].listen
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
		u.region.mu.Lock()
		u.region.rules.applyAnswer(s.UID, resp.StatusCode, s.State, time.Now())
		u.region.mu.Unlock()
	}
	return resp.StatusCode, s.State
}
