package artifactreplication

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/wal"
)

// Server serves a node over HTTP. Everything but /healthz requires a token in the Authorization header, as "Bearer
// TOKEN".
type Server struct {
	Node *Node
	// MaxFollow is the maximum duration of one follow request; 1 h if 0.
	MaxFollow time.Duration
}

// Maximum sizes of request bodies.
const (
	maxBodyBytes     = 4 << 20  // a batch of records, or a piece of a blob
	maxPeerCallBytes = 32 << 20 // a call from another replica
	maxPeerBlobBytes = 1 << 40  // a blob from another replica
)

// httpStatus returns the code, HTTP status and Retry-After for an error.
func httpStatus(err error) (code string, status int, retry time.Duration) {
	var gap *artifactstore.GapError
	var full *blob.FullError
	switch {
	case errors.As(err, &full):
		return "full", http.StatusInsufficientStorage, full.Retry
	case errors.Is(err, artifactstore.ErrIncomplete):
		return "not whole", http.StatusConflict, 0
	case errors.As(err, &gap):
		return "gap", http.StatusConflict, 0
	case errors.Is(err, wal.ErrBusy), errors.Is(err, blob.ErrBusy):
		return "busy", http.StatusTooManyRequests, time.Second
	case errors.Is(err, wal.ErrBroken):
		return "broken", http.StatusServiceUnavailable, 10 * time.Second
	}
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return c.code, c.status, c.retry
		}
	}
	return "", http.StatusInternalServerError, time.Second
}

// Handler returns the HTTP interface of the replica, which docs/keeper.md describes.
func (s *Server) Handler() http.Handler {
	if s.MaxFollow <= 0 {
		s.MaxFollow = time.Hour
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, artifactstore.Answer{}) })
	s.routeAgents(mux)
	s.routeReaders(mux)
	s.routePeers(mux)
	s.routeOperators(mux)
	return mux
}

// routeOperators adds the routes for operators.
func (s *Server) routeOperators(mux *http.ServeMux) {
	s.handleRight(mux, "GET /status", 0, artifactstore.Operate, func(w http.ResponseWriter, _ *http.Request) error {
		writeJSON(w, 200, s.Node.Status())
		return nil
	})
	s.handleRight(mux, "GET /metrics", 0, artifactstore.Operate, func(w http.ResponseWriter, r *http.Request) error {
		s.Node.metrics.handler.ServeHTTP(w, r)
		return nil
	})
}

// handle adds a route for authenticated requests whose body has at most maxBytes bytes.
func (s *Server) handle(mux *http.ServeMux, pattern string, maxBytes int64, f func(w http.ResponseWriter, r *http.Request, g *artifactstore.Grant) error) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
		g, err := s.authenticate(r)
		if err == nil {
			err = f(w, r, g)
		}
		s.writeError(w, r, err)
	})
}

// handleRight adds a route for requests whose token grants the given right.
func (s *Server) handleRight(mux *http.ServeMux, pattern string, maxBytes int64, right artifactstore.Right, f func(w http.ResponseWriter, r *http.Request) error) {
	s.handle(mux, pattern, maxBytes, func(w http.ResponseWriter, r *http.Request, g *artifactstore.Grant) error {
		if g.Right != right {
			return fmt.Errorf("%w: not a %s token", artifactstore.ErrToken, right)
		}
		return f(w, r)
	})
}

func (s *Server) authenticate(r *http.Request) (*artifactstore.Grant, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, fmt.Errorf("%w: missing bearer token", artifactstore.ErrToken)
	}
	g, err := artifactstore.ParseToken(s.Node.opt.Key, token, s.Node.opt.Now())
	if err == nil && s.Node.opt.Revoked.isRevoked(g) {
		return nil, fmt.Errorf("%w: revoked", artifactstore.ErrToken)
	}
	return g, err
}

func writeJSON(w http.ResponseWriter, code int, a any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(a) // fails only if the client has disconnected
}

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	if err == nil {
		return
	}
	code, status, retry := httpStatus(err)
	s.Node.metrics.refused(code, status)
	if status == 500 || errors.Is(err, wal.ErrBroken) {
		s.Node.opt.Log.Error("request failed", "method", r.Method, "path", r.URL.Path, "err", err)
	}
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(retry.Seconds())))
	}
	a := artifactstore.Answer{Error: err.Error(), Code: code}
	var gap *artifactstore.GapError
	if errors.As(err, &gap) {
		a.Next = &gap.Expected
	}
	writeJSON(w, status, a)
}

func decodeBody(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: %v", errMalformedRequest, err)
	}
	return nil
}

func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s=%.40q", errMalformedRequest, name, text)
	}
	return n, nil
}
