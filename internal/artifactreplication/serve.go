package artifactreplication

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/protocol"
	"topazhollow/internal/wal"
)

// Server answers for a node over HTTP. Everything but /healthz needs a token in the
// Authorization header, as "Bearer TOKEN".
type Server struct {
	Node *Node
	// Follow bounds how long a reader may follow at a time; 1 h if 0.
	Follow time.Duration
}

// Bounds of a request's body, in bytes.
const (
	maxBody     = 4 << 20  // some records, or a piece of a blob
	maxPeer     = 32 << 20 // what one keeper sends another
	maxPeerBlob = 1 << 40  // a blob that one keeper sends another
)

// status maps errors to HTTP.
func status(err error) (code string, status int, retry time.Duration) {
	var gap *artifactstore.GapError
	var full *blob.FullError
	switch {
	case errors.As(err, &full):
		return "full", http.StatusInsufficientStorage, full.Retry
	case errors.Is(err, artifactstore.ErrNotWhole):
		return "not whole", http.StatusConflict, 0
	case errors.As(err, &gap):
		return "gap", http.StatusConflict, 0
	case errors.Is(err, wal.ErrBusy), errors.Is(err, blob.ErrBusy):
		return "busy", http.StatusTooManyRequests, time.Second
	case errors.Is(err, wal.ErrBroken):
		return "broken", http.StatusServiceUnavailable, 10 * time.Second
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code, c.status, c.retry
		}
	}
	return "", http.StatusInternalServerError, time.Second
}

// Handler is the keeper's interface as docs/keeper.md lists it.
func (s *Server) Handler() http.Handler {
	if s.Follow <= 0 {
		s.Follow = time.Hour
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { send(w, 200, artifactstore.Answer{}) })
	s.routeWorkers(mux)
	s.routeReaders(mux)
	s.routePeers(mux)
	s.routeOperators(mux)
	return mux
}

// routeWorkers adds what workers send of their attempts.
func (s *Server) routeWorkers(mux *http.ServeMux) {
	route := func(pattern string, f func(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error) {
		s.handle(mux, pattern, maxBody, func(w http.ResponseWriter, r *http.Request, g *artifactstore.Grant) error {
			c, err := g.Claim()
			if err != nil {
				return err
			}
			return f(w, r, c)
		})
	}
	route("POST /attempt", s.beginAttempt)
	route("POST /streams/{name}", s.append)
	route("POST /files/{path...}", s.attach)
	route("POST /seal", s.seal)
	route("POST /uploads", s.begin)
	route("POST /uploads/{id}", s.piece)
}

// routeReaders adds what may be read of a job or one of its tasks.
func (s *Server) routeReaders(mux *http.ServeMux) {
	route := func(pattern string, f func(w http.ResponseWriter, r *http.Request, job string, task int) error) {
		s.handle(mux, pattern, 0, func(w http.ResponseWriter, r *http.Request, g *artifactstore.Grant) error {
			job, task, err := whatToRead(r, g)
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

// routePeers adds what keepers send each other.
func (s *Server) routePeers(mux *http.ServeMux) {
	s.handleRight(mux, "POST /peer/call", maxPeer, artifactstore.Peer, s.peerCall)
	s.handleRight(mux, "GET /peer/records", 0, artifactstore.Peer, s.peerRecords)
	s.handleRight(mux, "GET /peer/blob", 0, artifactstore.Peer, s.peerBlob)
	s.handleRight(mux, "PUT /peer/blob", maxPeerBlob, artifactstore.Peer, s.takePeerBlob)
}

// routeOperators adds what operators ask.
func (s *Server) routeOperators(mux *http.ServeMux) {
	s.handleRight(mux, "GET /status", 0, artifactstore.Operate, func(w http.ResponseWriter, _ *http.Request) error {
		send(w, 200, s.Node.Status())
		return nil
	})
	s.handleRight(mux, "GET /metrics", 0, artifactstore.Operate, func(w http.ResponseWriter, r *http.Request) error {
		s.Node.meters.handler.ServeHTTP(w, r)
		return nil
	})
}

// handle adds a route for requests with a token and a body of at most so many bytes.
func (s *Server) handle(mux *http.ServeMux, pattern string, most int64, f func(w http.ResponseWriter, r *http.Request, g *artifactstore.Grant) error) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, most)
		g, err := s.grant(r)
		if err == nil {
			err = f(w, r, g)
		}
		s.refuse(w, r, err)
	})
}

// handleRight adds a route for requests whose token has a right.
func (s *Server) handleRight(mux *http.ServeMux, pattern string, most int64, right artifactstore.Right, f func(w http.ResponseWriter, r *http.Request) error) {
	s.handle(mux, pattern, most, func(w http.ResponseWriter, r *http.Request, g *artifactstore.Grant) error {
		if g.Right != right {
			return fmt.Errorf("%w: not for that", artifactstore.ErrToken)
		}
		return f(w, r)
	})
}

// whatToRead is the job and the task that a request names, -1 for all its tasks, if the token
// is for it.
func whatToRead(r *http.Request, g *artifactstore.Grant) (job string, task int, err error) {
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

// beginAttempt opens a worker's attempt.
func (s *Server) beginAttempt(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	if err := s.Node.Begin(r.Context(), c); err != nil {
		return err
	}
	send(w, 200, artifactstore.Answer{})
	return nil
}

// attach names a blob as a file of an attempt.
func (s *Server) attach(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	if err := s.Node.Attach(r.Context(), c, r.PathValue("path"), d); err != nil {
		return err
	}
	send(w, 200, artifactstore.Answer{})
	return nil
}

// seal ends an attempt.
func (s *Server) seal(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	var end artifactstore.End
	if err := decode(r, &end); err != nil {
		return err
	}
	m, final, err := s.Node.Seal(r.Context(), c, end)
	if err != nil {
		return err
	}
	s.Node.opt.Log.Info("attempt sealed", "job", c.Job, "task", c.Task, "attempt", c.Number, "machine", c.Machine, "completed", m.Exit.Completed, "final", final)
	s.Node.meters.seals.Inc()
	send(w, 200, artifactstore.Answer{Sealed: m, Final: final})
	return nil
}

// attempts lists a task's attempts.
func (s *Server) attempts(w http.ResponseWriter, r *http.Request, job string, task int) error {
	list, sure, err := s.Node.Attempts(r.Context(), job, task)
	if err != nil {
		return err
	}
	send(w, 200, artifactstore.Answer{List: list, Unsure: !sure})
	return nil
}

// tasks lists a job's tasks.
func (s *Server) tasks(w http.ResponseWriter, r *http.Request, job string, _ int) error {
	list, sure, err := s.Node.Tasks(r.Context(), job)
	if err != nil {
		return err
	}
	send(w, 200, artifactstore.TaskList{Tasks: list, Unsure: !sure})
	return nil
}

// endOf finds the end of the attempt that a request asks for, the latest if it names none, and
// its state.
func (s *Server) endOf(r *http.Request, job string, task int) (*artifactstore.Manifest, string, error) {
	attempt, err := number(r, "attempt")
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
	send(w, 200, artifactstore.Answer{Sealed: m, Final: state == artifactstore.StateFinal})
	return nil
}

// peerBlob hands a blob to another keeper.
func (s *Server) peerBlob(w http.ResponseWriter, r *http.Request) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	offset, err := number(r, "offset")
	if err != nil {
		return err
	}
	var content *blob.Reader
	if tenant := r.URL.Query().Get("tenant"); tenant != "" {
		content, err = s.Node.blobs.Open(tenant, d, int64(offset))
	} else { // to repair what went bad
		content, err = s.Node.blobs.OpenAny(d, int64(offset))
	}
	if err != nil {
		return err
	}
	defer content.Close()
	w.Header().Set("Content-Length", strconv.FormatInt(d.Size-int64(offset), 10))
	_, _ = io.Copy(w, content) // the length tells a reader that it was cut short
	return nil
}

// takePeerBlob takes a blob from another keeper.
func (s *Server) takePeerBlob(w http.ResponseWriter, r *http.Request) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	if err := s.Node.blobs.Take(r.Context(), r.URL.Query().Get("tenant"), d, r.Body); err != nil {
		return err
	}
	send(w, 200, artifactstore.Answer{Done: true})
	return nil
}

// peerCall answers another keeper, if both go by the same list of keepers.
func (s *Server) peerCall(w http.ResponseWriter, r *http.Request) error {
	var c call
	if err := decode(r, &c); err != nil {
		return err
	}
	if mine := s.Node.opt.Members.digest(); c.Identity != mine && c.Op != "status" {
		return fmt.Errorf("%w: %s, not %.40q", ErrEpoch, mine, c.Identity)
	}
	a, err := s.Node.serve(r.Context(), &c)
	if err != nil {
		return err
	}
	send(w, 200, a)
	return nil
}

// peerRecords hands records to another keeper, a JSON line each, and at the end a line
// that says whether more can come.
func (s *Server) peerRecords(w http.ResponseWriter, r *http.Request) error {
	q := r.URL.Query()
	task, err := strconv.Atoi(q.Get("task"))
	if err != nil {
		return fmt.Errorf("%w: task", errBody)
	}
	attempt, err := number(r, "attempt")
	if err != nil {
		return err
	}
	next, err := number(r, "from")
	if err != nil {
		return err
	}
	at := artifactstore.Attempt{Job: q.Get("job"), Task: task, Number: attempt}
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	for sent := false; ; {
		n := next
		var over bool
		next, over, err = s.Node.keeper.Read(at, q.Get("stream"), next, func(rec artifactstore.Record) error {
			line := artifactstore.Line{Number: n, Record: &rec}
			n++
			sent = true
			return enc.Encode(&line)
		})
		if err != nil {
			if sent || r.Context().Err() != nil {
				return nil // the missing last line tells
			}
			return err
		}
		if over || q.Get("follow") != "1" {
			state := "open"
			if over {
				state = ended
			}
			_ = enc.Encode(&artifactstore.Line{Number: next, State: state})
			return nil
		}
		if flush.Flush() != nil || s.Node.keeper.Wait(r.Context(), at, q.Get("stream"), next) != nil {
			return nil
		}
	}
}

func (s *Server) grant(r *http.Request) (*artifactstore.Grant, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, fmt.Errorf("%w: none was given", artifactstore.ErrToken)
	}
	g, err := artifactstore.ParseToken(s.Node.opt.Key, token, s.Node.opt.Now())
	if err == nil && s.Node.opt.Revoked.has(g) {
		return nil, fmt.Errorf("%w: it was revoked", artifactstore.ErrToken)
	}
	return g, err
}

func send(w http.ResponseWriter, code int, a any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(a) // the caller is gone if this fails
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	if err == nil {
		return
	}
	code, status, retry := status(err)
	s.Node.meters.refused(code, status)
	if status == 500 || errors.Is(err, wal.ErrBroken) {
		s.Node.opt.Log.Error("request failed", "method", r.Method, "path", r.URL.Path, "err", err)
	}
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(retry.Seconds())))
	}
	a := artifactstore.Answer{Error: err.Error(), Code: code}
	var gap *artifactstore.GapError
	if errors.As(err, &gap) {
		a.Next = &gap.Want
	}
	send(w, status, a)
}

func decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %v", errBody, err)
	}
	return nil
}

func number(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s=%.40q", errBody, name, text)
	}
	return n, nil
}

func (s *Server) append(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	first, err := number(r, "first")
	if err != nil {
		return err
	}
	var records []artifactstore.Record
	if err := decode(r, &records); err != nil {
		return err
	}
	next, err := s.Node.Append(r.Context(), c, r.PathValue("name"), first, records)
	if err != nil {
		return err
	}
	send(w, 200, artifactstore.Answer{Next: &next})
	return nil
}

func (s *Server) begin(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	u, done, err := s.Node.blobs.Begin(c.Tenant, d)
	if err != nil {
		return err
	}
	if done {
		send(w, 200, artifactstore.Answer{Done: true})
		return nil
	}
	offset := u.Offset()
	send(w, 200, artifactstore.Answer{Upload: u.ID(), Offset: &offset})
	return nil
}

func (s *Server) piece(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	u, err := s.Node.blobs.Resume(c.Tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	at, err := number(r, "offset")
	if err != nil {
		return err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return fmt.Errorf("%w: %v", errBody, err)
	}
	offset := u.Offset()
	if len(body) > 0 {
		if err := u.Write(int64(at), body); err != nil {
			if errors.Is(err, blob.ErrGap) {
				send(w, http.StatusConflict, artifactstore.Answer{Error: err.Error(), Offset: &offset})
				return nil
			}
			return err
		}
		offset = u.Offset()
	}
	if offset < u.Digest().Size {
		send(w, 200, artifactstore.Answer{Upload: u.ID(), Offset: &offset})
		return nil
	}
	if err := u.Commit(r.Context()); err != nil {
		return err
	}
	s.Node.meters.uploaded(u.Digest().Size)
	send(w, 200, artifactstore.Answer{Done: true})
	return nil
}

// logs answers with a stream's records, a JSON line each.
func (s *Server) logs(w http.ResponseWriter, r *http.Request, job string, task int) error {
	attempt, err := number(r, "attempt")
	if err != nil {
		return err
	}
	from, err := number(r, "from")
	if err != nil {
		return err
	}
	var since time.Time
	if text := r.URL.Query().Get("since"); text != "" {
		if since, err = time.Parse(time.RFC3339, text); err != nil {
			return fmt.Errorf("%w: since=%.40q", errBody, text)
		}
	}
	name := r.URL.Query().Get("stream")
	if name == "" {
		name = "stdout"
	}
	if err := artifactstore.CheckStream(name); err != nil {
		return err
	}
	_, m, err := s.Node.choose(r.Context(), job, task, attempt)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Follow)
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
		offset, err := number(r, "offset")
		if err != nil {
			return err
		}
		content, err := s.Node.open(r.Context(), s.Node.sources(job, task), m.Tenant, d, int64(offset))
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
