// Package wait has the one pause that a context can end.
package wait

import (
	"context"
	"time"
)

// For pauses, and says whether the context still goes on.
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
