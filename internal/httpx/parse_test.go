package httpx

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
	"testing"
)

// parse reads a request of at most 64 bytes of body from a text.
func parse(text string) (*Request, error) {
	return ReadRequest(bufio.NewReaderSize(strings.NewReader(text), 4<<10), 64)
}

// TestRefusals checks the status with which malformed and oversized requests are refused.
func TestRefusals(t *testing.T) {
	for text, status := range map[string]int{
		"GET\r\n\r\n":                                                         400,
		"GET / HTTP/2.0\r\n\r\n":                                              400,
		"GET nowhere HTTP/1.1\r\n\r\n":                                        400,
		"G(T / HTTP/1.1\r\n\r\n":                                              400,
		"GET / HTTP/1.1\r\nbad header\r\n\r\n":                                400,
		"GET / HTTP/1.1\r\n: x\r\n\r\n":                                       400,
		"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n":                        400,
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                       400,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab": 400,
		"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n":                       413,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n":                  400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":         400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n":         413,
		"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 65) + "\r\n":        431,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 9000) + "\r\n\r\n":      431,
	} {
		_, err := parse(text)
		var bad *BadRequest
		if !errors.As(err, &bad) || bad.Status != status {
			t.Errorf("%.40q: %v, want %d", text, err, status)
		}
	}
}

// TestRoundTrip checks that the parser reads requests and responses as this package writes them, and chunked requests.
func TestRoundTrip(t *testing.T) {
	r, err := parse(string(AppendRequest(nil, "POST", "host", "/a/b?c=d", []byte("{}"))))
	if err != nil || r.Path != "/a/b" || r.Query != "c=d" || string(r.Body) != "{}" || r.Close {
		t.Fatalf("%+v %v", r, err)
	}
	b := AppendAnswer(nil, Answer{Status: 503, Body: []byte("x"), RetryAfterSeconds: 2, Allow: "GET"}, true)
	a, err := ReadResponse(bufio.NewReader(bytes.NewReader(b)), 10)
	if err != nil || a.Status != 503 || string(a.Body) != "x" || a.RetryAfterSeconds != 2 || !a.Close {
		t.Fatalf("%+v %v", a, err)
	}
	chunked := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{\"\r\n3;x=y\r\na\"}\r\n0\r\n\r\n"
	if r, err = parse(chunked); err != nil || string(r.Body) != "{\"a\"}" {
		t.Fatalf("%+v %v", r, err)
	}
}

// FuzzReadRequest checks that an accepted request is within the limits and the same after being written and read again.
func FuzzReadRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ReadRequest(bufio.NewReader(bytes.NewReader(data)), 64)
		if err != nil {
			return
		}
		if len(r.Body) > 64 || !strings.HasPrefix(r.Path, "/") {
			t.Fatalf("accepted %+v", r)
		}
		target := r.Path
		if r.Query != "" {
			target += "?" + r.Query
		}
		again, err := ReadRequest(bufio.NewReader(bytes.NewReader(AppendRequest(nil, r.Method, "h", target, r.Body))), 64)
		if err != nil || again.Path != r.Path || !bytes.Equal(again.Body, r.Body) {
			t.Fatalf("%+v became %+v, %v", r, again, err)
		}
	})
}

// FuzzReadResponse checks that an accepted response is within the limits.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 503 x\r\n\r\nrest"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := ReadResponse(bufio.NewReader(bytes.NewReader(data)), 64); err == nil && (len(r.Body) > 64 || r.Status < 100) {
			t.Fatalf("accepted %+v", r)
		}
	})
}
