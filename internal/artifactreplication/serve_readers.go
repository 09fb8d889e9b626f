package artifactreplication

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
)

// routeReaders adds the routes for reading the output of a job or a task.
func (s *Server) routeReaders(mux *http.ServeMux) {
	route := func(pattern string, f func(w http.ResponseWriter, r *http.Request, job string, task int) error) {
		s.handle(mux, pattern, 0, func(w http.ResponseWriter, r *http.Request, g *artifactstore.Grant) error {
			job, task, err := readTarget(r, g)
			if err != nil {
				return err
			}
			return f(w, r, job, task)
		})
	}
	route("GET /attempts/{job}/{task}", s.attempts)
	route("GET /tasks/{job}", s.tasks)
	route("GET /manifest/{job}/{task}", s.manifest)
	route("GET /logs/{job}/{task}", s.logs)
	route("GET /files/{job}/{task}/{path...}", s.file)
}

// readTarget returns the job and the task that a request names, -1 for all tasks of the job, if the token allows
// reading them.
func readTarget(r *http.Request, g *artifactstore.Grant) (job string, task int, err error) {
	job, task = r.PathValue("job"), -1
	if text := r.PathValue("task"); text != "" {
		if task, err = strconv.Atoi(text); err != nil || task < 0 {
			return "", 0, fmt.Errorf("%w: task %.20q", artifactstore.ErrName, text)
		}
	}
	if !protocol.ValidUID(job) {
		return "", 0, fmt.Errorf("%w: job %.40q", artifactstore.ErrName, job)
	}
	if !g.Allows(job, task) {
		return "", 0, fmt.Errorf("%w: not valid for task %d of job %.40q", artifactstore.ErrToken, task, job)
	}
	return job, task, nil
}

// attempts lists a task's attempts.
func (s *Server) attempts(w http.ResponseWriter, r *http.Request, job string, task int) error {
	list, sure, err := s.Node.Attempts(r.Context(), job, task)
	if err != nil {
		return err
	}
	writeJSON(w, 200, artifactstore.Answer{List: list, Unsure: !sure})
	return nil
}

// tasks lists a job's tasks.
func (s *Server) tasks(w http.ResponseWriter, r *http.Request, job string, _ int) error {
	list, sure, err := s.Node.Tasks(r.Context(), job)
	if err != nil {
		return err
	}
	writeJSON(w, 200, artifactstore.TaskList{Tasks: list, Unsure: !sure})
	return nil
}

// endOf returns the manifest and state of the attempt that a request selects; without a number the task's result, or
// the latest attempt if there is none.
func (s *Server) endOf(r *http.Request, job string, task int) (*artifactstore.Manifest, string, error) {
	attempt, err := queryNumber(r, "attempt")
	if err != nil {
		return nil, "", err
	}
	return s.Node.Manifest(r.Context(), job, task, attempt)
}

// manifest responds with the manifest of an attempt.
func (s *Server) manifest(w http.ResponseWriter, r *http.Request, job string, task int) error {
	m, state, err := s.endOf(r, job, task)
	if err != nil {
		return err
	}
	writeJSON(w, 200, artifactstore.Answer{Sealed: m, Final: state == artifactstore.StateFinal})
	return nil
}

// logs responds with a stream's records, one JSON line each.
func (s *Server) logs(w http.ResponseWriter, r *http.Request, job string, task int) error {
	attempt, err := queryNumber(r, "attempt")
	if err != nil {
		return err
	}
	from, err := queryNumber(r, "from")
	if err != nil {
		return err
	}
	var since time.Time
	if text := r.URL.Query().Get("since"); text != "" {
		if since, err = time.Parse(time.RFC3339, text); err != nil {
			return fmt.Errorf("%w: since=%.40q", errMalformedRequest, text)
		}
	}
	name := r.URL.Query().Get("stream")
	if name == "" {
		name = "stdout"
	}
	if err := artifactstore.CheckStream(name); err != nil {
		return err
	}
	_, m, err := s.Node.findAttempt(r.Context(), job, task, attempt)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.MaxFollow)
	defer cancel()
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	var lastFlush time.Time
	next, state, err := s.Node.Read(ctx, m.Attempt, name, from, r.URL.Query().Get("follow") == "1", func(n uint64, rec artifactstore.Record) error {
		if rec.At.Before(since) {
			return nil
		}
		if err := enc.Encode(&artifactstore.Line{Number: n, Record: &rec}); err != nil {
			return err
		}
		// Not after every record of a long log. Records in between stay buffered until the next flush.
		if now := time.Now(); now.Sub(lastFlush) > 50*time.Millisecond {
			lastFlush = now
			return flush.Flush()
		}
		return nil
	})
	if err != nil {
		// Some output may have been sent already. The client detects the error by the missing last line.
		s.Node.opt.Log.Warn("reading the log of a task failed", "job", job, "task", task, "attempt", m.Number, "err", err)
		return nil
	}
	_ = enc.Encode(&artifactstore.Line{Number: next, State: state, Attempt: m.Number})
	return nil
}

// file responds with a file of an attempt that has ended; headers describe the attempt.
func (s *Server) file(w http.ResponseWriter, r *http.Request, job string, task int) error {
	m, state, err := s.endOf(r, job, task)
	if err != nil {
		return err
	}
	for _, f := range m.Files {
		if f.Path != r.PathValue("path") {
			continue
		}
		d, err := blob.Parse(f.Digest)
		if err != nil {
			return err
		}
		offset, err := queryNumber(r, "offset")
		if err != nil {
			return err
		}
		content, err := s.Node.openBlob(r.Context(), s.Node.sources(job, task), m.Tenant, d, int64(offset))
		if err != nil {
			return err
		}
		defer content.Close()
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.FormatInt(d.Size-int64(offset), 10))
		w.Header().Set("Digest", d.String())
		w.Header().Set("Attempt", strconv.FormatUint(m.Number, 10))
		w.Header().Set("State", state)
		_, _ = io.Copy(w, content) // the client detects a truncated body by its Content-Length
		return nil
	}
	return fmt.Errorf("%w: file %.100q does not exist", artifactstore.ErrUnknown, r.PathValue("path"))
}
