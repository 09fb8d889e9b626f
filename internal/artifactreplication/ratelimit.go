package artifactreplication

import (
	"context"
	"errors"
	"io"

	"golang.org/x/time/rate"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// limitRate limits a fetch to the rate of repair, so that repair leaves bandwidth to other work.
func (n *Node) limitRate(f artifactstore.Fetch) artifactstore.Fetch {
	return func(ctx context.Context, tenant string, d blob.Digest) (io.ReadCloser, error) {
		r, err := f(ctx, tenant, d)
		if err != nil {
			return nil, err
		}
		return &rateLimitedReader{ctx, r, n}, nil
	}
}

type rateLimitedReader struct {
	ctx context.Context
	io.ReadCloser
	n *Node
}

func (l *rateLimitedReader) Read(b []byte) (int, error) {
	got, err := l.ReadCloser.Read(b[:min(len(b), 64<<10)])
	return got, errors.Join(err, l.n.waitForRate(l.ctx, got))
}

// waitForRate counts bytes that repair transferred and waits as long as its rate limit demands.
func (n *Node) waitForRate(ctx context.Context, bytes int) error {
	n.mu.Lock()
	n.repair.repairedBytes += int64(bytes)
	n.mu.Unlock()
	if n.repairLimiter == nil {
		return nil
	}
	return n.repairLimiter.WaitN(ctx, min(bytes, n.repairLimiter.Burst()))
}

func newRateLimiter(bytesPerSecond float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), 1<<20)
}

// rateLimitedReplica limits reads of records from a replica to the rate of repair.
type rateLimitedReplica struct {
	replica
	n *Node
}

func (l rateLimitedReplica) read(ctx context.Context, at artifactstore.Attempt, stream string, from uint64, follow bool, each func(artifactstore.Record) error) (uint64, bool, error) {
	return l.replica.read(ctx, at, stream, from, follow, func(r artifactstore.Record) error {
		if err := l.n.waitForRate(ctx, len(r.Data)); err != nil {
			return err
		}
		return each(r)
	})
}
