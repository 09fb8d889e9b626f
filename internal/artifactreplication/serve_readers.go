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

// routeReaders adds what may be read of a job or one of its tasks.
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

// readTarget is the job and the task that a request names, -1 for all its tasks, if the token
// is for it.
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
		return "", 0, fmt.Errorf("%w: not for task %d of %.40q", artifactstore.ErrToken, task, job)
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

// endOf finds the end of the attempt that a request asks for, the latest if it names none, and
// its state.
func (s *Server) endOf(r *http.Request, job string, task int) (*artifactstore.Manifest, string, error) {
	attempt, err := queryNumber(r, "attempt")
	if err != nil {
		return nil, "", err
	}
	return s.Node.Manifest(r.Context(), job, task, attempt)
}

// manifest shows the end of a task's attempt.
func (s *Server) manifest(w http.ResponseWriter, r *http.Request, job string, task int) error {
	m, state, err := s.endOf(r, job, task)
	if err != nil {
		return err
	}
	writeJSON(w, 200, artifactstore.Answer{Sealed: m, Final: state == artifactstore.StateFinal})
	return nil
}

// logs answers with a stream's records, a JSON line each.
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
	var told time.Time
	next, state, err := s.Node.Read(ctx, m.Attempt, name, from, r.URL.Query().Get("follow") == "1", func(n uint64, rec artifactstore.Record) error {
		if rec.At.Before(since) {
			return nil
		}
		if err := enc.Encode(&artifactstore.Line{Number: n, Record: &rec}); err != nil {
			return err
		}
		if now := time.Now(); now.Sub(told) > 50*time.Millisecond { // a follower sees it soon, a long log is not sent line by line
			told = now
			return flush.Flush()
		}
		return nil
	})
	if err != nil {
		// Output went out already: the missing last line tells that it is not whole.
		s.Node.opt.Log.Warn("log not read", "job", job, "task", task, "attempt", m.Number, "err", err)
		return nil
	}
	_ = enc.Encode(&artifactstore.Line{Number: next, State: state, Attempt: m.Number})
	return nil
}

// file answers with a file of an attempt that has ended, with what kind of attempt it is
// in headers.
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
		_, _ = io.Copy(w, content) // the length tells a reader that it was cut short
		return nil
	}
	return fmt.Errorf("%w: no file %.100q", artifactstore.ErrUnknown, r.PathValue("path"))
}
