package goldentest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

// Service stands for a service of the region: it answers by method and path, and notes what it was asked.
type Service struct {
	// Addr is where it listens, until the test ends.
	Addr string

	mu       sync.Mutex
	requests []byte
}

// NewService opens a service. An answer is the body for a method and a path, as in "GET /catalog"; anything else is answered
// with an empty object. The status is always 200.
func NewService(t testing.TB, answers map[string]string) *Service {
	t.Helper()
	s := &Service{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		s.mu.Lock()
		s.requests = fmt.Appendf(s.requests, "%s %s\n%s\n", r.Method, r.RequestURI, body)
		s.mu.Unlock()
		answer, known := answers[r.Method+" "+r.URL.Path]
		if !known {
			answer = "{}"
		}
		if _, err := io.WriteString(w, answer); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	s.Addr = server.Listener.Addr().String()
	return s
}

// Requests are those received so far: method and target on a line, the body on the next.
func (s *Service) Requests() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]byte(nil), s.requests...)
}
