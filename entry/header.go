package entry

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"turmericroute/model"
	"turmericroute/route"
)

// Headers of the request path.
const (
	HeaderTeam       = "Turmericroute-Team"
	HeaderIdempotent = "Turmericroute-Idempotent"
	HeaderTimeout    = "Turmericroute-Timeout-Ms"
	HeaderRequestID  = "Turmericroute-Request-Id"
	HeaderOutcome    = "Turmericroute-Outcome"
	HeaderLoad       = "Turmericroute-Load"
	HeaderKey        = "Turmericroute-Key"
	HeaderKeyTime    = "Turmericroute-Key-Time"
	// HeaderIdempotencyKey is the caller's key; it is not passed on under this name,
	// because Go's transport resends requests that carry it.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// maxIDLength bounds request IDs and keys.
	maxIDLength = 256
	// maxKeyAge is an hour less than the time that keys are kept, for differences of clocks.
	maxKeyAge = model.KeyLife - time.Hour
	// maxKeyTimeAhead is how far a key's time may be in the future; keys are kept an
	// hour longer than maxKeyAge, so it stays well below that.
	maxKeyTimeAhead = 10 * time.Minute
)

// hopByHopHeaders concern one connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedRequestHeaders of a request are for the entry, or set by it anew.
var strippedRequestHeaders = []string{
	HeaderIdempotencyKey, "X-Idempotency-Key", HeaderKeyTime, HeaderKey, HeaderLoad, HeaderOutcome, "Expect", "Content-Length",
	// The caller's token for this system must not reach upstreams.
	"Authorization",
}

// removeHopByHopHeaders removes the hop-by-hop headers and those that Connection names.
func removeHopByHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// upstreamHeader returns the header of a request to an executor. It shares the values of the
// caller's header and replaces them whole.
func (q *request) upstreamHeader(remaining time.Duration) http.Header {
	h := maps.Clone(q.header)
	removeHopByHopHeaders(h)
	for _, name := range strippedRequestHeaders {
		delete(h, name)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	h.Set(HeaderTeam, q.team)
	h.Set(HeaderRequestID, q.id)
	h.Set(HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if q.key != "" {
		h.Set(HeaderKey, q.key)
	}
	return h
}

// callerHeader makes the header of an answer the one that is passed on to the caller.
func callerHeader(h http.Header) http.Header {
	removeHopByHopHeaders(h)
	for _, name := range []string{HeaderLoad, HeaderOutcome, HeaderRequestID} {
		delete(h, name)
	}
	return h
}

// ParseLoad reads a Turmericroute-Load header: in_use/slots; nil when it is not one.
func ParseLoad(v string) *route.Load {
	use, slots, ok := strings.Cut(v, "/")
	if !ok {
		return nil
	}
	n, err1 := strconv.Atoi(use)
	of, err2 := strconv.Atoi(slots)
	if err1 != nil || err2 != nil || n < 0 || of <= 0 {
		return nil
	}
	return &route.Load{InUse: n, Slots: of}
}

// singleHeader returns the only value of a header; an error when there are several.
func singleHeader(h http.Header, name string) (string, *model.Error) {
	switch v := h.Values(name); len(v) {
	case 0:
		return "", nil
	case 1:
		return v[0], nil
	default:
		return "", model.NotRun(model.CodeInvalid, "header %s is given %d times", name, len(v))
	}
}

// validID reports whether s is a non-empty word of visible ASCII within the length bound.
func validID(s string) bool {
	if s == "" || len(s) > maxIDLength {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func parseTimeout(v string, def, limit time.Duration) (time.Duration, *model.Error) {
	if v == "" {
		return def, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return 0, model.NotRun(model.CodeInvalid, "header %s must be a positive number of milliseconds", HeaderTimeout)
	}
	if ms > limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func parseKeyTime(v string, now time.Time) *model.Error {
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return model.NotRun(model.CodeInvalid, "a key needs header %s in unix milliseconds", HeaderKeyTime)
	}
	at := time.UnixMilli(ms)
	switch {
	case now.Sub(at) > maxKeyAge:
		return model.NotRun(model.CodeKeyExpired, "the key is older than %v", maxKeyAge)
	case at.Sub(now) > maxKeyTimeAhead:
		return model.NotRun(model.CodeInvalid, "header %s is more than %v in the future", HeaderKeyTime, maxKeyTimeAhead)
	}
	return nil
}
