// Package wait has a pause that the end of a context cuts short.
package wait

import (
	"context"
	"time"
)

// For pauses for d, or until the context ends; it is false if the context has ended.
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
