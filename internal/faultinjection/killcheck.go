package faultinjection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"topazhollow/internal/artifactstore"
)

// readHistory reads the acknowledgements that an attempt's agent received.
func (k *killTest) readHistory(at artifactstore.Attempt) (acked uint64, sealed, final bool, err error) {
	f, err := os.Open(filepath.Join(k.options.Dir, "history", fmt.Sprintf("%s-%d-%d", at.Job, at.Task, at.Number)))
	if errors.Is(err, os.ErrNotExist) {
		return 0, false, false, nil
	}
	if err != nil {
		return 0, false, false, err
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		var what string
		var n uint64
		if _, err := fmt.Sscan(in.Text(), &what, &n); err != nil {
			continue // a kill truncated the line, so the agent had not acted on this acknowledgement
		}
		switch what {
		case "stdout":
			acked = max(acked, n)
		case "sealed":
			sealed = true
			final = final || n == 1
		}
	}
	return acked, sealed, final, nil
}

// reportViolation records a violated guarantee.
func (k *killTest) reportViolation(format string, args ...any) {
	if k.report.BrokenInTotal++; len(k.report.Broken) < 100 {
		k.report.Broken = append(k.report.Broken, fmt.Sprintf(format, args...))
	}
}

// check reads everything from each replica and compares it with the history.
func (k *killTest) check(ctx context.Context) error {
	for task := range k.report.Tasks {
		var first []artifactstore.AttemptSummary
		for i, url := range k.urls {
			r := &artifactstore.Reader{URL: url, Token: artifactstore.Grant{Right: artifactstore.Read, Job: "job-000001", Until: time.Now().Add(time.Hour)}.Token(k.options.Key)}
			list, err := r.Attempts(ctx, "job-000001", task)
			if err != nil {
				return fmt.Errorf("task %d at %s: %w", task, storeNames[i], err)
			}
			results := 0
			for index := range list {
				if err := k.checkAttempt(ctx, r, storeNames[i], &list[index]); err != nil {
					return err
				}
				if list[index].State == artifactstore.StateFinal {
					results++
				}
			}
			if results != 1 {
				k.reportViolation("task %d has %d results at %s", task, results, storeNames[i])
			}
			if i == 0 {
				first = list
			} else if fmt.Sprint(attemptStates(first)) != fmt.Sprint(attemptStates(list)) {
				k.reportViolation("task %d: %s shows %v, %s %v", task, storeNames[0], attemptStates(first), storeNames[i], attemptStates(list))
			}
		}
		for _, a := range first {
			for index := range k.report.Kills {
				if x := &k.report.Kills[index]; x.Attempt == a.Attempt {
					x.State = a.State
				}
			}
		}
	}
	for i := range k.report.Kills {
		kill := &k.report.Kills[i]
		acked, sealed, _, err := k.readHistory(kill.Attempt)
		if err != nil {
			return err
		}
		if kill.Acked = acked; kill.State == "" && (acked > 0 || sealed) {
			k.reportViolation("%s is lost: %d records were acknowledged, sealed %v", kill.Attempt, acked, sealed)
		}
	}
	return nil
}

// attemptStates formats the number and state of each attempt.
func attemptStates(list []artifactstore.AttemptSummary) (s []string) {
	for _, a := range list {
		s = append(s, fmt.Sprintf("%d %s", a.Number, a.State))
	}
	return s
}

// checkAttempt reads one attempt from one replica and checks it against the history.
func (k *killTest) checkAttempt(ctx context.Context, r *artifactstore.Reader, at string, a *artifactstore.AttemptSummary) error {
	acked, sealed, final, err := k.readHistory(a.Attempt)
	if err != nil {
		return err
	}
	var got []string
	end, err := r.Logs(ctx, a.Job, a.Task, artifactstore.Query{Attempt: a.Number}, func(l artifactstore.Line) error {
		if l.Number != uint64(len(got)) {
			k.reportViolation("%s at %s: record %d has number %d", a.Attempt, at, len(got), l.Number)
		}
		got = append(got, string(l.Record.Data))
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s at %s: %w", a.Attempt, at, err)
	}
	over := a.State == artifactstore.StateFinal || a.State == artifactstore.StateSealed
	var file string
	if over {
		if file, err = k.checkFile(ctx, r, at, a); err != nil {
			return fmt.Errorf("%s at %s: %w", a.Attempt, at, err)
		}
	}
	shown := a.State
	if k.options.CorruptRead != nil {
		got, file = k.options.CorruptRead(a, got, file)
	}
	over = a.State == artifactstore.StateFinal || a.State == artifactstore.StateSealed
	switch {
	case end.State != shown:
		k.reportViolation("%s at %s is %q in the list and %q in its log", a.Attempt, at, shown, end.State)
	case uint64(len(got)) < acked:
		k.reportViolation("%s at %s: %d records were acknowledged, %d are readable", a.Attempt, at, acked, len(got))
	case sealed && !over:
		k.reportViolation("%s at %s: its seal was acknowledged, its state is %q", a.Attempt, at, a.State)
	case final && a.State != artifactstore.StateFinal:
		k.reportViolation("%s at %s was acknowledged as the result, its state is %q", a.Attempt, at, a.State)
	case over && len(got) != linesPerAttempt:
		k.reportViolation("%s at %s: sealed with %d of %d lines", a.Attempt, at, len(got), linesPerAttempt)
	case len(got) > linesPerAttempt:
		k.reportViolation("%s at %s: %d lines", a.Attempt, at, len(got))
	}
	for i, line := range got {
		if line != fmt.Sprintf("%s line %d", a.Attempt, i) {
			k.reportViolation("%s at %s: line %d is %q", a.Attempt, at, i, line)
			break
		}
	}
	k.report.Lines += len(got)
	for index := range k.report.Kills {
		if x := &k.report.Kills[index]; x.Attempt == a.Attempt {
			x.Lines = len(got)
		}
	}
	if over {
		if k.report.Files++; file != "file of "+a.Attempt.String() {
			k.reportViolation("%s at %s: its file contains %q", a.Attempt, at, file)
		}
	}
	return nil
}

// checkFile reads the file of a sealed attempt and checks that it is the only one.
func (k *killTest) checkFile(ctx context.Context, r *artifactstore.Reader, at string, a *artifactstore.AttemptSummary) (string, error) {
	m, _, err := r.Manifest(ctx, a.Job, a.Task, a.Number)
	if err != nil {
		return "", err
	}
	if len(m.Files) != 1 || m.Files[0].Path != "out/result" {
		k.reportViolation("%s at %s has the files %v", a.Attempt, at, m.Files)
		return "", nil
	}
	to := filepath.Join(k.options.Dir, "fetched")
	if err := r.Fetch(ctx, m, m.Files[0], to, nil); err != nil {
		return "", err
	}
	content, err := os.ReadFile(to)
	return string(content), err
}
