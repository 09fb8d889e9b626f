// Package httpx is the project's own HTTP/1.1, as much as the protocol needs: a parser with bounds (parse.go), a server
// on gnet with a goroutine for each connection (listen.go, serve.go) and a client over kept connections (client.go).
// It exists because a controller holds thousands of connections in little memory. It knows no path of the protocol.
package httpx

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Bounds of the parser.
const (
	MaxLine    = 8 << 10 // of the request line or a header, in bytes
	MaxHeaders = 64
	MaxHead    = 32 << 10 // of all headers, in bytes
)

// ErrTooLarge says that a response was longer than its reader allows.
var ErrTooLarge = errors.New("httpx: body too large")

// BadRequest is a request that gets a refusal and a closed connection.
type BadRequest struct {
	Status int
	Reason string
}

func (e *BadRequest) Error() string { return fmt.Sprintf("httpx: %d %s", e.Status, e.Reason) }

// Request is a parsed request.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool
}

// Response is a parsed response.
type Response struct {
	Status            int
	Body              []byte
	Close             bool
	RetryAfterSeconds int // seconds of Retry-After, 0 if absent
}

// head is what the headers say; length is -1 if they give none, retryAfter is in seconds.
type head struct {
	length     int64
	chunked    bool
	close      bool
	retryAfter int
}

// readLine reads a line without its end; a longer one than MaxLine is refused.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > MaxLine {
		return "", &BadRequest{431, "line too long"}
	}
	if err != nil {
		if len(line) > 0 && errors.Is(err, io.EOF) {
			return "", io.ErrUnexpectedEOF
		}
		return "", err
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	return string(line), nil
}

// isToken says whether a text may be a method or the name of a header.
func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return true
}

// readHead reads the headers up to the empty line. Those that mean nothing here are checked and dropped.
func readHead(r *bufio.Reader) (head, error) {
	h := head{length: -1}
	total := 0
	for n := 0; ; n++ {
		line, err := readLine(r)
		if errors.Is(err, io.EOF) {
			return h, io.ErrUnexpectedEOF
		}
		if err != nil || line == "" {
			return h, err
		}
		total += len(line)
		if n >= MaxHeaders || total > MaxHead {
			return h, &BadRequest{431, "too many headers"}
		}
		name, value, err := parseHeader(line)
		if err != nil {
			return h, err
		}
		if err := h.set(name, value); err != nil {
			return h, err
		}
	}
}

// parseHeader takes a header's line apart.
func parseHeader(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return "", "", &BadRequest{400, "malformed header"}
	}
	value = strings.Trim(value, " \t")
	if strings.ContainsAny(value, "\x00\r") {
		return "", "", &BadRequest{400, "malformed header value"}
	}
	return name, value, nil
}

// set takes in a header. A repeated length must be the same, since two readers could part the stream differently.
func (h *head) set(name, value string) error {
	switch strings.ToLower(name) {
	case "content-length":
		v, err := strconv.ParseUint(value, 10, 62)
		if err != nil || (h.length >= 0 && h.length != int64(v)) || value[0] == '+' {
			return &BadRequest{400, "malformed content-length"}
		}
		h.length = int64(v)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.chunked {
			return &BadRequest{400, "unknown transfer-encoding"}
		}
		h.chunked = true
	case "connection":
		for _, token := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				h.close = true
			}
		}
	case "retry-after":
		if v, err := strconv.Atoi(value); err == nil && v > 0 {
			h.retryAfter = v
		}
	}
	return nil
}

// ReadRequest reads one request. io.EOF means that the peer closed between requests; a *BadRequest is to be answered,
// and the connection closed.
func ReadRequest(r *bufio.Reader, maxBody int) (*Request, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return nil, &BadRequest{400, "malformed request line"}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return nil, &BadRequest{400, "unknown protocol version"}
	}
	for i := 0; i < len(parts[1]); i++ {
		if parts[1][i] <= ' ' || parts[1][i] >= 0x7f {
			return nil, &BadRequest{400, "malformed path"}
		}
	}
	h, err := readHead(r)
	if err != nil {
		return nil, err
	}
	if h.chunked && h.length >= 0 {
		return nil, &BadRequest{400, "both length and chunks"}
	}
	req := &Request{Method: parts[0], Close: h.close || parts[2] == "HTTP/1.0"}
	req.Path, req.Query, _ = strings.Cut(parts[1], "?")
	req.Body, err = readBody(r, h, maxBody, false)
	if errors.Is(err, ErrTooLarge) {
		return nil, &BadRequest{413, "body too large"}
	}
	return req, err
}

// ReadResponse reads one response. ErrTooLarge means that its body has more than maxBody bytes.
func ReadResponse(r *bufio.Reader, maxBody int) (*Response, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	if len(line) < 12 || !strings.HasPrefix(line, "HTTP/1.") || line[8] != ' ' {
		return nil, &BadRequest{502, "malformed status line"}
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil || status < 100 || status > 999 {
		return nil, &BadRequest{502, "malformed status"}
	}
	h, err := readHead(r)
	if err != nil {
		return nil, err
	}
	resp := &Response{Status: status, Close: h.close || line[7] == '0', RetryAfterSeconds: h.retryAfter}
	if status == 204 || status == 304 {
		return resp, nil
	}
	if h.length < 0 && !h.chunked {
		resp.Close = true
	}
	resp.Body, err = readBody(r, h, maxBody, true)
	return resp, err
}

// readBody reads a body by its length or chunks; toEnd allows a body that ends
// with its connection.
func readBody(r *bufio.Reader, h head, max int, toEnd bool) ([]byte, error) {
	switch {
	case h.chunked:
		return readChunks(r, max)
	case h.length > int64(max):
		return nil, ErrTooLarge
	case h.length > 0:
		return readN(r, nil, int(h.length))
	case h.length < 0 && toEnd:
		body, err := io.ReadAll(io.LimitReader(r, int64(max)+1))
		if err == nil && len(body) > max {
			err = ErrTooLarge
		}
		return body, err
	}
	return nil, nil
}

// readN appends n bytes, growing with what has really come, so that a length
// alone takes no memory.
func readN(r *bufio.Reader, body []byte, n int) ([]byte, error) {
	for n > 0 {
		step := min(n, 16<<10)
		at := len(body)
		body = append(body, make([]byte, step)...)
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		n -= step
	}
	return body, nil
}

// readChunks reads a body in chunks, of max bytes at most, and skips the trailers.
func readChunks(r *bufio.Reader, max int) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return nil, &BadRequest{400, "malformed chunk"}
		}
		if int(n) > max-len(body) {
			return nil, ErrTooLarge
		}
		if n == 0 {
			for i := 0; i < MaxHeaders; i++ {
				if line, err = readLine(r); err != nil || line == "" {
					return body, err
				}
			}
			return nil, &BadRequest{431, "too many trailers"}
		}
		if body, err = readN(r, body, int(n)); err != nil {
			return nil, err
		}
		if line, err = readLine(r); err != nil || line != "" {
			return nil, &BadRequest{400, "malformed chunk end"}
		}
	}
}

// reasons are the texts of the statuses that are used.
var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 421: "Misdirected Request",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable",
}

// Answer is what a handler gives back: a status, a body in JSON and for a 405 the methods that are allowed.
type Answer struct {
	Status            int
	Body              []byte
	Allow             string
	RetryAfterSeconds int // seconds of Retry-After, 0 for none
}

// AppendAnswer writes an answer in wire form.
func AppendAnswer(b []byte, a Answer, closing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[a.Status]...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	if a.Allow != "" {
		b = append(append(b, "\r\nAllow: "...), a.Allow...)
	}
	if a.RetryAfterSeconds > 0 {
		b = strconv.AppendInt(append(b, "\r\nRetry-After: "...), int64(a.RetryAfterSeconds), 10)
	}
	if closing {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, a.Body...)
}

// AppendRequest writes a request in wire form.
func AppendRequest(b []byte, method, host, target string, body []byte) []byte {
	b = append(append(append(b, method...), ' '), target...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), host...)
	if body != nil || method != "GET" {
		b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
