// Package httpx implements the subset of HTTP/1.1 that the controllers' protocol needs: a parser with size limits
// (parse.go), a server on gnet with one goroutine per connection (listen.go, serve.go) and a client with persistent
// connections (client.go). It is used in place of net/http because a controller must hold thousands of connections in
// little memory. It does not depend on the protocol's paths.
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

// Limits of the parser.
const (
	MaxLine    = 8 << 10  // bytes of the request line or of one header
	MaxHeaders = 64       // headers, and trailers, of one message
	MaxHead    = 32 << 10 // bytes of all headers
)

// ErrTooLarge is returned for a body larger than the reader's limit.
var ErrTooLarge = errors.New("httpx: body too large")

// BadRequest is the error for a malformed or oversized message. A server answers it with Status and closes the connection.
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

// head holds the values of the headers that matter here.
type head struct {
	length     int64 // Content-Length, -1 if absent
	chunked    bool
	close      bool
	retryAfter int // seconds, 0 if absent
}

// readLine reads a line and strips its line ending. A line longer than MaxLine is an error.
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

// isToken reports whether a string is valid as a method or header name.
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

// readHead reads the headers up to the empty line. Headers without meaning here are checked for syntax and ignored.
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

// parseHeader splits a header line into name and value.
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

// set records a header. A repeated Content-Length must have the same value: otherwise another reader of the stream, such
// as a proxy, could see different message boundaries.
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

// ReadRequest reads one request. io.EOF means that the peer closed the connection between requests. A *BadRequest must be
// answered with its status, and the connection closed.
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
		return nil, &BadRequest{400, "both content-length and chunked"}
	}
	req := &Request{Method: parts[0], Close: h.close || parts[2] == "HTTP/1.0"}
	req.Path, req.Query, _ = strings.Cut(parts[1], "?")
	req.Body, err = readBody(r, h, maxBody, false)
	if errors.Is(err, ErrTooLarge) {
		return nil, &BadRequest{413, "body too large"}
	}
	return req, err
}

// ReadResponse reads one response. It returns ErrTooLarge if the body has more than maxBody bytes.
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

// readBody reads a body of known length or in chunks. With untilClose, a body without either extends to the end of the
// connection.
func readBody(r *bufio.Reader, h head, max int, untilClose bool) ([]byte, error) {
	switch {
	case h.chunked:
		return readChunks(r, max)
	case h.length > int64(max):
		return nil, ErrTooLarge
	case h.length > 0:
		return readN(r, nil, int(h.length))
	case h.length < 0 && untilClose:
		body, err := io.ReadAll(io.LimitReader(r, int64(max)+1))
		if err == nil && len(body) > max {
			err = ErrTooLarge
		}
		return body, err
	}
	return nil, nil
}

// readN reads n bytes and appends them to body. It allocates as data arrives, so that a large Content-Length alone takes
// no memory.
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

// readChunks reads a chunked body of at most max bytes and skips the trailers.
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

// reasonPhrases are the reason phrases of the status codes in use.
var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 421: "Misdirected Request",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable",
}

// Answer is a handler's response.
type Answer struct {
	Status            int
	Body              []byte // JSON
	Allow             string // allowed methods, for status 405
	RetryAfterSeconds int    // seconds of Retry-After, 0 for none
}

// AppendAnswer appends an answer in wire format to b. With closeConn it announces that the connection will be closed.
func AppendAnswer(b []byte, a Answer, closeConn bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[a.Status]...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	if a.Allow != "" {
		b = append(append(b, "\r\nAllow: "...), a.Allow...)
	}
	if a.RetryAfterSeconds > 0 {
		b = strconv.AppendInt(append(b, "\r\nRetry-After: "...), int64(a.RetryAfterSeconds), 10)
	}
	if closeConn {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, a.Body...)
}

// AppendRequest appends a request in wire format to b.
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
