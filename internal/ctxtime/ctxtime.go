// Package ctxtime provides a sleep that ends early when a context is done.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. It returns true if it waited for the whole of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
