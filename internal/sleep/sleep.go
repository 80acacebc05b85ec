// Package sleep waits for a span of time or the end of a context.
package sleep

import (
	"context"
	"time"
)

// For waits until d has passed and returns true, or until the context ends and
// returns false. When both hold at once it may return either.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		// A select on a timer that has expired crashes the runtime of Go 1.26 in a
		// synctest bubble under the race detector.
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
