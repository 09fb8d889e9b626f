package httpx

import (
	"bufio"
	"context"
	"errors"
	"time"

	"topazhollow/internal/protocol"
)

// Timeouts bounds slow and idle clients.
type Timeouts struct {
	Idle    time.Duration // between requests
	Request time.Duration // for the rest of a request once it began
}

// Handler answers requests. It may pin the connection.
type Handler func(ctx context.Context, c *Conn, r *Request) Answer

// Refuse is an answer with an error text.
func Refuse(status int, reason string) Answer {
	return Answer{Status: status, Body: protocol.Encode(protocol.Error{Error: reason})}
}

// Serve answers HTTP requests at an address until the context ends.
func Serve(ctx context.Context, addr string, max int, p Timeouts, handle Handler) error {
	return Listen(ctx, addr, max, 2*protocol.MaxBody, func(c *Conn) { serveConn(ctx, c, p, handle) })
}

func serveConn(ctx context.Context, c *Conn, p Timeouts, handle Handler) {
	r := bufio.NewReaderSize(c, 4<<10)
	var out []byte
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(p.Idle))
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(p.Request))
		req, err := ReadRequest(r, protocol.MaxBody)
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
