package clock

import (
	"context"
	"fmt"
	"time"
)

// Sleep waits for d and reports whether ctx is still active; it returns false as soon as ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil // both may be ready
	case <-ctx.Done():
		return false
	}
}

// Until calls check immediately and then at every interval until it returns nil.
// If ctx is done first, Until returns the last error of check.
func Until(ctx context.Context, interval time.Duration, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		if !Sleep(ctx, interval) {
			return fmt.Errorf("wait ended before the condition was met: %w", err)
		}
	}
}
