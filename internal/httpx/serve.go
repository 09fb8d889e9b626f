package httpx

import (
	"bufio"
	"context"
	"errors"
	"time"

	"topazhollow/internal/protocol"
)

// Timeouts bounds how long a connection may stay idle and how long a request may take to arrive.
type Timeouts struct {
	Idle    time.Duration // between requests
	Request time.Duration // from the first byte of a request to its last
}

// Handler answers a request. It may pin the connection.
type Handler func(ctx context.Context, c *Conn, r *Request) Answer

// Refuse returns an answer with an error message.
func Refuse(status int, reason string) Answer {
	return Answer{Status: status, Body: protocol.Encode(protocol.Error{Error: reason})}
}

// Serve answers HTTP requests at an address until the context ends. maxConns bounds the connections as in Listen.
func Serve(ctx context.Context, addr string, maxConns int, timeouts Timeouts, handle Handler) error {
	return Listen(ctx, addr, maxConns, 2*protocol.MaxBody, func(c *Conn) { serveConn(ctx, c, timeouts, handle) })
}

// serveConn answers the requests of one connection, one after another.
func serveConn(ctx context.Context, c *Conn, timeouts Timeouts, handle Handler) {
	r := bufio.NewReaderSize(c, 4<<10)
	var out []byte
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(timeouts.Idle))
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(timeouts.Request))
		c.beginRequest()
		req, err := ReadRequest(r, protocol.MaxBody)
		c.endRequest()
		if err != nil {
			var bad *BadRequest
			if errors.As(err, &bad) {
				_, _ = c.Write(AppendAnswer(nil, Refuse(bad.Status, bad.Reason), true))
			}
			return
		}
		a := handle(ctx, c, req)
		out = AppendAnswer(make([]byte, 0, len(a.Body)+160), a, req.Close)
		if _, err := c.Write(out); err != nil || req.Close {
			return
		}
	}
}
