// Package pause provides a sleep that ends early when a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d. When ctx ends first, it returns the error of the context; callers that check ctx
// themselves may ignore it.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
