package goldentest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

// Service simulates an HTTP service: it answers by method and path, and records the requests.
type Service struct {
	// Addr is the address on which the service listens until the test ends.
	Addr string

	mu       sync.Mutex
	requests []byte
}

// NewService starts a service. The keys of answers are a method and a path, as in "GET /catalog", the values are
// bodies. All other requests are answered with an empty object. The status is always 200.
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

// Requests returns the requests received so far: method and target on one line, the body on the next.
func (s *Service) Requests() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]byte(nil), s.requests...)
}
