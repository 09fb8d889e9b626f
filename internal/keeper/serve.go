package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazhollow/internal/blob"
	"topazhollow/internal/wal"
)

// Server answers for a keeper over HTTP. Everything but /healthz needs a token in
// the Authorization header, as "Bearer TOKEN".
type Server struct {
	Keeper *Keeper
	Blobs  *blob.Store
	Key    []byte // of the tokens
	Log    *slog.Logger
	Now    func() time.Time
	// Follow bounds how long a reader may follow at a time; 1 h if 0.
	Follow time.Duration
}

// maxBody bounds a request's body: some records, or a piece of a blob.
const maxBody = 4 << 20

// Answer is the JSON of everything that is not output itself.
type Answer struct {
	Error  string    `json:"error,omitempty"`
	Next   *uint64   `json:"next,omitempty"`   // record wanted next
	Offset *int64    `json:"offset,omitempty"` // of an upload
	Upload string    `json:"upload,omitempty"`
	Done   bool      `json:"done,omitempty"`
	Final  bool      `json:"final,omitempty"`
	Sealed *Manifest `json:"manifest,omitempty"`
	List   []Known   `json:"attempts,omitempty"`
}

// status maps the errors of keeper and store to HTTP, in this one place.
func status(err error) (code int, retry time.Duration) {
	var gap *GapError
	var full *blob.FullError
	switch {
	case errors.As(err, &full):
		return http.StatusInsufficientStorage, full.Retry
	case errors.Is(err, wal.ErrBusy), errors.Is(err, blob.ErrBusy):
		return http.StatusTooManyRequests, time.Second
	case errors.Is(err, ErrToken):
		return http.StatusUnauthorized, 0
	case errors.Is(err, ErrClaim), errors.Is(err, blob.ErrTenant):
		return http.StatusForbidden, 0
	case errors.Is(err, ErrUnknown), errors.Is(err, blob.ErrNotFound), errors.Is(err, blob.ErrUpload):
		return http.StatusNotFound, 0
	case errors.Is(err, ErrSealed), errors.Is(err, ErrNotWhole), errors.As(err, &gap), errors.Is(err, blob.ErrGap):
		return http.StatusConflict, 0
	case errors.Is(err, ErrTooMuch):
		return http.StatusRequestEntityTooLarge, 0
	case errors.Is(err, ErrName), errors.Is(err, blob.ErrDigest), errors.Is(err, blob.ErrMismatch), errors.Is(err, errBody):
		return http.StatusBadRequest, 0
	case errors.Is(err, wal.ErrBroken), errors.Is(err, blob.ErrRotten):
		return http.StatusServiceUnavailable, 10 * time.Second
	}
	return http.StatusInternalServerError, time.Second
}

var errBody = errors.New("keeper: malformed request")

// Handler is the keeper's interface as docs/keeper.md lists it.
func (s *Server) Handler() http.Handler {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Follow <= 0 {
		s.Follow = time.Hour
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { send(w, 200, Answer{}) })
	write := func(pattern string, f func(w http.ResponseWriter, r *http.Request, c Claim) error) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, maxBody)
			g, err := s.grant(r)
			var c Claim
			if err == nil {
				c, err = g.claim()
			}
			if err == nil {
				err = f(w, r, c)
			}
			s.refuse(w, r, err)
		})
	}
	write("POST /attempt", func(w http.ResponseWriter, r *http.Request, c Claim) error {
		if err := s.Keeper.Begin(r.Context(), c); err != nil {
			return err
		}
		send(w, 200, Answer{})
		return nil
	})
	write("POST /streams/{name}", s.append)
	write("POST /files/{path...}", func(w http.ResponseWriter, r *http.Request, c Claim) error {
		d, err := blob.Parse(r.URL.Query().Get("blob"))
		if err != nil {
			return err
		}
		if err := s.Keeper.Attach(r.Context(), c, r.PathValue("path"), d); err != nil {
			return err
		}
		send(w, 200, Answer{})
		return nil
	})
	write("POST /seal", func(w http.ResponseWriter, r *http.Request, c Claim) error {
		var body struct {
			Exit    Exit              `json:"exit"`
			Records map[string]uint64 `json:"records"`
		}
		if err := decode(r, &body); err != nil {
			return err
		}
		m, final, err := s.Keeper.Seal(r.Context(), c, body.Exit, body.Records)
		if err != nil {
			return err
		}
		s.Log.Info("attempt sealed", "job", c.Job, "task", c.Task, "attempt", c.Number, "machine", c.Machine, "completed", m.Exit.Completed, "final", final)
		send(w, 200, Answer{Sealed: m, Final: final})
		return nil
	})
	write("POST /uploads", s.begin)
	write("POST /uploads/{id}", s.piece)
	read := func(pattern string, f func(w http.ResponseWriter, r *http.Request, job string, task int) error) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			job := r.PathValue("job")
			task, err := strconv.Atoi(r.PathValue("task"))
			if err != nil {
				err = fmt.Errorf("%w: task %.20q", ErrName, r.PathValue("task"))
			} else {
				var g *Grant
				if g, err = s.grant(r); err == nil && !g.allows(job, task) {
					err = fmt.Errorf("%w: not for task %d of %.40q", ErrToken, task, job)
				}
			}
			if err == nil {
				err = f(w, r, job, task)
			}
			s.refuse(w, r, err)
		})
	}
	read("GET /attempts/{job}/{task}", func(w http.ResponseWriter, _ *http.Request, job string, task int) error {
		list, err := s.Keeper.Attempts(job, task)
		if err != nil {
			return err
		}
		send(w, 200, Answer{List: list})
		return nil
	})
	read("GET /manifest/{job}/{task}", func(w http.ResponseWriter, r *http.Request, job string, task int) error {
		at, err := s.choose(r, job, task)
		if err != nil {
			return err
		}
		m, final, err := s.Keeper.Sealed(at)
		if err != nil {
			return err
		}
		send(w, 200, Answer{Sealed: m, Final: final})
		return nil
	})
	read("GET /logs/{job}/{task}", s.logs)
	read("GET /files/{job}/{task}/{path...}", s.file)
	return mux
}

func (s *Server) grant(r *http.Request) (*Grant, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, fmt.Errorf("%w: none was given", ErrToken)
	}
	return ParseToken(s.Key, token, s.Now())
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
	code, retry := status(err)
	if code >= 500 {
		s.Log.Error("request failed", "method", r.Method, "path", r.URL.Path, "err", err)
	}
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(retry.Seconds())))
	}
	a := Answer{Error: err.Error()}
	var gap *GapError
	if errors.As(err, &gap) {
		a.Next = &gap.Want
	}
	send(w, code, a)
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

func (s *Server) append(w http.ResponseWriter, r *http.Request, c Claim) error {
	first, err := number(r, "first")
	if err != nil {
		return err
	}
	var records []Record
	if err := decode(r, &records); err != nil {
		return err
	}
	next, err := s.Keeper.Append(r.Context(), c, r.PathValue("name"), first, records)
	if err != nil {
		return err
	}
	send(w, 200, Answer{Next: &next})
	return nil
}

func (s *Server) begin(w http.ResponseWriter, r *http.Request, c Claim) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	u, done, err := s.Blobs.Begin(c.Tenant, d)
	if err != nil {
		return err
	}
	if done {
		send(w, 200, Answer{Done: true})
		return nil
	}
	offset := u.Offset()
	send(w, 200, Answer{Upload: u.ID(), Offset: &offset})
	return nil
}

func (s *Server) piece(w http.ResponseWriter, r *http.Request, c Claim) error {
	u, err := s.Blobs.Resume(c.Tenant, r.PathValue("id"))
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
				send(w, http.StatusConflict, Answer{Error: err.Error(), Offset: &offset})
				return nil
			}
			return err
		}
		offset = u.Offset()
	}
	if offset < u.Digest().Size {
		send(w, 200, Answer{Upload: u.ID(), Offset: &offset})
		return nil
	}
	if err := u.Commit(r.Context()); err != nil {
		return err
	}
	send(w, 200, Answer{Done: true})
	return nil
}

// choose finds the attempt that a reader asks for: by number, else the final one,
// else the latest.
func (s *Server) choose(r *http.Request, job string, task int) (Attempt, error) {
	n, err := number(r, "attempt")
	if err != nil || n > 0 {
		return Attempt{job, task, n}, err
	}
	if m, err := s.Keeper.Final(job, task); err == nil {
		return m.Attempt, nil
	}
	list, err := s.Keeper.Attempts(job, task)
	if err == nil && len(list) == 0 {
		err = ErrUnknown
	}
	if err != nil {
		return Attempt{}, err
	}
	return list[len(list)-1].Attempt, nil
}

// States of attempts.
const (
	StateFinal   = "final"   // its task's result
	StateSealed  = "sealed"  // ended, but another is the result, or none
	StatePartial = "partial" // never sealed, and never will be
	StateGoesOn  = "goes on" // may get more
)

// Line is one line of a log as it is read over HTTP. The last one has State instead of
// output.
type Line struct {
	Number  uint64  `json:"n"`
	Record  *Record `json:"record,omitempty"`
	State   string  `json:"state,omitempty"`
	Attempt uint64  `json:"attempt,omitempty"`
}

// logs answers with a stream's records, a JSON line each.
func (s *Server) logs(w http.ResponseWriter, r *http.Request, job string, task int) error {
	at, err := s.choose(r, job, task)
	if err != nil {
		return err
	}
	next, err := number(r, "from")
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
	if err := checkStream(name); err != nil {
		return err
	}
	if known, err := s.Keeper.state(at); err != nil || known == "" {
		return errors.Join(err, ErrUnknown)
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.Follow)
	defer cancel()
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	for {
		n := next
		var sealed bool
		next, sealed, err = s.Keeper.Read(at, name, next, func(rec Record) error {
			line := Line{Number: n, Record: &rec}
			n++
			if rec.At.Before(since) {
				return nil
			}
			return enc.Encode(&line)
		})
		if err != nil {
			// Output went out already: the missing last line tells that it is not whole.
			s.Log.Error("log not read", "job", job, "task", task, "attempt", at.Number, "err", err)
			return nil
		}
		if sealed || r.URL.Query().Get("follow") != "1" {
			break
		}
		if flush.Flush() != nil || s.Keeper.Wait(ctx, at, name, next) != nil {
			break
		}
	}
	state, err := s.Keeper.state(at)
	if err == nil {
		_ = enc.Encode(&Line{Number: next, State: state, Attempt: at.Number})
	}
	return nil
}

// file answers with a file of a sealed attempt, with what kind of attempt it is in a
// header.
func (s *Server) file(w http.ResponseWriter, r *http.Request, job string, task int) error {
	at, err := s.choose(r, job, task)
	if err != nil {
		return err
	}
	m, final, err := s.Keeper.Sealed(at)
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
		content, err := s.Blobs.Open(m.Tenant, d, int64(offset))
		if err != nil {
			return err
		}
		defer content.Close()
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.FormatInt(d.Size-int64(offset), 10))
		w.Header().Set("Digest", d.String())
		w.Header().Set("Attempt", strconv.FormatUint(at.Number, 10))
		w.Header().Set("Final", strconv.FormatBool(final))
		_, _ = io.Copy(w, content) // the length tells a reader that it was cut short
		return nil
	}
	return fmt.Errorf("%w: no file %.100q", ErrUnknown, r.PathValue("path"))
}
