// Package pause waits for a time that the end of a context cuts short.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns the context's error where ctx ends first, which
// callers that check ctx themselves may ignore.
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
