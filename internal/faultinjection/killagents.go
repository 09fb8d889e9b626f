package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/wait"
)

// Job is the input of an agent's process.
type Job struct {
	Spool   string   `json:"spool"`
	Keepers []string `json:"keepers"`
	History string   `json:"history"` // file for acknowledgements
	Recover bool     `json:"recover"` // only recover the spool
	Claim   artifactstore.Claim
	Token   string   `json:"token"`
	Command []string `json:"command"`
	Env     []string `json:"env"`
	Dir     string   `json:"dir"`
	Files   []string `json:"files"`
}

// runTask runs a task's attempts one after another until one is not killed. It starts an attempt only after the
// previous one has exited, as a scheduler does.
func (k *killTest) runTask(ctx context.Context, task int, r *rand.Rand) error {
	for number := uint64(1); ; number++ {
		at := artifactstore.Attempt{Job: "job-000001", Task: task, Number: number}
		name := fmt.Sprintf("%s-%d-%d", at.Job, task, number)
		c := artifactstore.Claim{Attempt: at, Tenant: "red", Machine: "machine-" + name, Session: 1}
		job := Job{Spool: filepath.Join(k.options.Dir, "spool", name), History: filepath.Join(k.options.Dir, "history", name), Claim: c,
			Token: artifactstore.Grant{Right: artifactstore.Write, Tenant: c.Tenant, Job: c.Job, Task: &c.Task, Number: number, Machine: c.Machine, Session: 1,
				Until: time.Now().Add(time.Hour)}.Token(k.options.Key),
			Command: []string{"/bin/sh", "-c", script}, Env: []string{"PATH=" + os.Getenv("PATH"), "ATTEMPT=" + at.String()}, Dir: filepath.Join(k.options.Dir, "work", name), Files: []string{"out"}}
		for i := range k.urls {
			job.Keepers = append(job.Keepers, k.urls[(i+r.IntN(3))%3])
		}
		for _, dir := range []string{job.Dir, filepath.Dir(job.History)} {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return err
			}
		}
		k.mu.Lock()
		k.report.Attempts++
		k.mu.Unlock()
		var after time.Duration
		if number <= 2 || r.IntN(3) == 0 { // the first two attempts are killed, unless they exit earlier
			after = time.Duration(r.IntN(450_000)) * time.Microsecond
		}
		killed, err := k.runAgent(ctx, &job, after, number == 1)
		if err != nil {
			return fmt.Errorf("%s: %w", at, err)
		}
		if !killed {
			return nil
		}
		kill := Killed{Attempt: at, After: after, Back: r.IntN(2) == 0}
		if kill.Back {
			job.Recover = true
			if _, err := k.runAgent(ctx, &job, 0, false); err != nil {
				return fmt.Errorf("recover the spool of %s: %w", at, err)
			}
		}
		k.mu.Lock()
		k.report.Kills = append(k.report.Kills, kill)
		n := len(k.report.Kills)
		k.mu.Unlock()
		if n%50 == 0 {
			k.printf("%d agents killed", n)
		}
	}
}

// runAgent runs an agent's process and reports whether it was killed before it exited. If after is not 0, runAgent
// kills the process after that time, counted from the process's start or, with afterAck, from the first acknowledgement
// that it received. afterAck ensures that some killed agents have acknowledged records even where processes start
// slowly.
func (k *killTest) runAgent(ctx context.Context, job *Job, after time.Duration, afterAck bool) (killed bool, err error) {
	path := filepath.Join(k.options.Dir, "history", filepath.Base(job.History)+".json")
	if err := os.WriteFile(path, protocol.Encode(job), 0o600); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	var errs strings.Builder
	cmd := exec.CommandContext(ctx, k.options.Program, "fault-injection-agent", path)
	cmd.Stderr = &errs
	if err := cmd.Start(); err != nil {
		return false, err
	}
	if after > 0 {
		kill, stop := context.WithCancel(ctx)
		defer stop()
		go func() {
			for afterAck && !nonEmpty(job.History) && wait.For(kill, 2*time.Millisecond) {
			}
			if wait.For(kill, after) {
				_ = cmd.Process.Kill() // it may have exited already
			}
		}()
	}
	err = cmd.Wait()
	if err != nil && after > 0 && ctx.Err() == nil && cmd.ProcessState.ExitCode() == -1 {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("%w: %s", err, errs.String())
	}
	return false, nil
}

func nonEmpty(path string) bool {
	st, err := os.Stat(path)
	return err == nil && st.Size() > 0
}
