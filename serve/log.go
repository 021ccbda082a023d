package serve

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes each event as one logfmt line and
// drops events below a level; an unknown level means info.
func NewLogger(w io.Writer, minLevel string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

// warnInterval is the minimum time between two log lines about refused peers, which retry several times a second.
const warnInterval = 10 * time.Second

// warnRefusedPeers returns a function that logs the error of a refused peer, at most once per warnInterval.
func warnRefusedPeers(logger log.Logger) func(error) {
	var last atomic.Int64
	return func(err error) {
		now := time.Now().UnixNano()
		previous := last.Load()
		if now-previous >= int64(warnInterval) && last.CompareAndSwap(previous, now) {
			level.Warn(logger).Log("event", "peer_refused", "err", err)
		}
	}
}
