package loadtest

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Traffic counts the messages of one kind between two parties.
type Traffic struct {
	Between  string `json:"between"`
	Kind     string `json:"kind"`
	Messages int64  `json:"messages"`
	Bytes    int64  `json:"bytes"`           // requests or lines
	Answers  int64  `json:"bytes_of_answer"` // answers to them
}

type trafficKey struct{ between, kind string }

// traffic counts messages by parties and kind.
type traffic struct {
	mu     sync.Mutex
	counts map[trafficKey]Traffic
}

func newTraffic() *traffic { return &traffic{counts: map[trafficKey]Traffic{}} }

func (t *traffic) add(between, kind string, bytes, answer int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := trafficKey{between, kind}
	x := t.counts[k]
	x.Between, x.Kind = between, kind
	x.Messages++
	x.Bytes += bytes
	x.Answers += answer
	t.counts[k] = x
}

// list returns the counts so far minus those of an earlier list.
func (t *traffic) list(before []Traffic) []Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Traffic
	for _, x := range t.counts {
		for _, b := range before {
			if b.Between == x.Between && b.Kind == x.Kind {
				x.Messages, x.Bytes, x.Answers = x.Messages-b.Messages, x.Bytes-b.Bytes, x.Answers-b.Answers
			}
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(a.Between, b.Between), cmp.Compare(b.Bytes+b.Answers, a.Bytes+a.Answers), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// storeKind returns the kind of a request to the state service.
func storeKind(r *http.Request) string {
	switch {
	case r.URL.Path == "/txn":
		return "write"
	case r.URL.Path == "/changes" && r.URL.Query().Get("block_ms") == "0":
		return "read changes"
	case r.URL.Path == "/changes":
		return "watch"
	case strings.HasPrefix(r.URL.Path, "/grants"):
		return "lease"
	case r.URL.Path == "/store":
		return "list"
	}
	return "read key"
}

// countStore wraps a handler of the state service and counts its requests.
func (t *traffic) countStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &countingWriter{ResponseWriter: w}
		next.ServeHTTP(counted, r)
		t.add("store", storeKind(r), max(r.ContentLength, 0), counted.bytes)
	})
}

type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.bytes += int64(n)
	return n, err
}

// lineCounter is a proxy for a controller's connections to a peer that counts their lines by kind.
type lineCounter struct {
	listener net.Listener
	to       string
	count    *traffic
}

// newLineCounter starts a proxy to a peer's address.
func newLineCounter(to string, count *traffic) (*lineCounter, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &lineCounter{listener: l, to: to, count: count}
	go c.serve()
	return c, nil
}

func (c *lineCounter) addr() string { return c.listener.Addr().String() }

func (c *lineCounter) close() { _ = c.listener.Close() }

func (c *lineCounter) serve() {
	for {
		in, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.forward(in)
	}
}

// forward forwards lines until either side closes. The peer never writes back.
func (c *lineCounter) forward(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp4", c.to)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(in, out) // only detects that the peer closed
		_ = in.Close()
	}()
	lines := bufio.NewReaderSize(in, 64<<10)
	kind, size := "", int64(0)
	for {
		part, err := lines.ReadSlice('\n')
		if size == 0 {
			kind = lineKind(part)
		}
		size += int64(len(part))
		if _, werr := out.Write(part); werr != nil {
			return
		}
		if err == nil {
			c.count.add("peers", kind, size, 0)
			size = 0
		} else if err != bufio.ErrBufferFull {
			return
		}
	}
}

// lineKind returns the kind at the beginning of a line. The first line of a connection has none and counts as "hello".
func lineKind(line []byte) string {
	rest, ok := bytes.CutPrefix(line, []byte(`{"kind":"`))
	if end := bytes.IndexByte(rest, '"'); ok && end > 0 {
		return string(rest[:end])
	}
	return "hello"
}
