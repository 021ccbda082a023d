package serve

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes one key=value line an event, from the
// named level on; an unknown level means info.
func NewLogger(w io.Writer, name string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(name, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

// warnInterval bounds how often a failure that repeats several times a second is logged.
const warnInterval = 10 * time.Second

// warnRefusedPeers returns a function that logs an error unless it has just done so.
func warnRefusedPeers(logger log.Logger) func(error) {
	var last atomic.Int64
	return func(err error) {
		now := time.Now().UnixNano()
		before := last.Load()
		if now-before >= int64(warnInterval) && last.CompareAndSwap(before, now) {
			level.Warn(logger).Log("event", "peer_refused", "err", err)
		}
	}
}
