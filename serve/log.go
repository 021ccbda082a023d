package serve

import (
	"io"

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
