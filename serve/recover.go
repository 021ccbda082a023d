package serve

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"turmericroute/webapi"
)

// RecoverRequests returns a handler that ends a request which panics alone: it is logged with its ID and path, counted,
// and its connection is closed without an answer, since what it has done is not known.
func RecoverRequests(next http.Handler, logger log.Logger, m *metrics.Set) http.Handler {
	panics := m.GetOrCreateCounter("turmericroute_http_panics_total")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panics.Inc()
				logger.Log("event", "request_panicked", "request", r.Header.Get(webapi.HeaderRequestID), "method", r.Method, "path", r.URL.Path, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
