package faultinjection

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"topazhollow/internal/taskrunner"
)

// RunAgent is the main function of an agent's process: it recovers the spool that an earlier process left, or runs an
// attempt. It writes each acknowledgement that it receives from a replica to the history file before it continues, so
// that the test knows what the replicas promised to a killed agent.
func RunAgent(ctx context.Context, path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var job Job
	if err := json.Unmarshal(b, &job); err != nil {
		return err
	}
	history, err := os.OpenFile(job.History, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer history.Close()
	note := func(what string, n uint64) {
		if _, err := fmt.Fprintf(history, "%s %d\n", what, n); err != nil {
			panic(fmt.Sprintf("write the history: %v", err)) // without the history the test proves nothing
		}
	}
	opt := taskrunner.Options{Spool: job.Spool, Keepers: job.Keepers, RetryDelay: 50 * time.Millisecond, Acked: note}
	if job.Recover {
		_, err := taskrunner.Recover(ctx, opt)
		return err
	}
	got, err := taskrunner.Run(ctx, opt, taskrunner.Task{Claim: job.Claim, Token: job.Token, Command: job.Command, Env: job.Env, Dir: job.Dir, Files: job.Files}, time.Minute)
	if err != nil {
		return err
	}
	if !got.Exit.Completed {
		return fmt.Errorf("the attempt failed: %+v", got.Exit)
	}
	final := uint64(0)
	if got.Final {
		final = 1
	}
	note("sealed", final)
	return nil
}
