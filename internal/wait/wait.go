// Package wait provides a sleep that ends early when a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d or until the context ends. It returns false if the context ended first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
