package clock

import (
	"context"
	"fmt"
	"time"
)

// Sleep waits for d and reports whether ctx goes on; it returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
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

// Until calls look at once and then every interval until it returns nil; when
// ctx ends first, it returns the last error of look.
func Until(ctx context.Context, interval time.Duration, look func() error) error {
	for {
		err := look()
		if err == nil {
			return nil
		}
		if !Sleep(ctx, interval) {
			return fmt.Errorf("gave up waiting: %w", err)
		}
	}
}
