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

// Header names of the request path.
const (
	HeaderTeam       = "Turmericroute-Team"
	HeaderIdempotent = "Turmericroute-Idempotent"
	HeaderTimeout    = "Turmericroute-Timeout-Ms"
	HeaderRequestID  = "Turmericroute-Request-Id"
	HeaderOutcome    = "Turmericroute-Outcome"
	HeaderLoad       = "Turmericroute-Load"
	HeaderKey        = "Turmericroute-Key"
	HeaderKeyTime    = "Turmericroute-Key-Time"
	// HeaderIdempotencyKey carries the caller's key. It is not forwarded under this name,
	// because Go's transport resends requests that have it.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// maxIDLength bounds request IDs and keys, in bytes.
	maxIDLength = 256
	// maxKeyAge is an hour less than the time for which keys are kept, to allow for clock skew.
	maxKeyAge = model.KeyLife - time.Hour
	// maxKeyTimeAhead bounds how far a key's time may be in the future. It must stay well below
	// the hour by which keys are kept longer than maxKeyAge.
	maxKeyTimeAhead = 10 * time.Minute
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedRequestHeaders are meant for the entry, or are set again by it, and are not forwarded.
var strippedRequestHeaders = []string{
	HeaderIdempotencyKey, "X-Idempotency-Key", HeaderKeyTime, HeaderKey, HeaderLoad, HeaderOutcome, "Expect", "Content-Length",
	// The caller's token for this system must not reach upstreams.
	"Authorization",
}

// removeHopByHopHeaders removes the hop-by-hop headers and those listed in the Connection header.
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

// upstreamHeader returns the header of the request to an executor. It shares its value slices with
// the caller's header, so values are replaced and never modified in place.
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

// callerHeader removes from the header of a response what is not passed on to the caller.
func callerHeader(h http.Header) http.Header {
	removeHopByHopHeaders(h)
	for _, name := range []string{HeaderLoad, HeaderOutcome, HeaderRequestID} {
		delete(h, name)
	}
	return h
}

// ParseLoad parses a Turmericroute-Load header of the form in_use/slots; nil when it is malformed.
func ParseLoad(v string) *route.Load {
	inUseText, slotsText, ok := strings.Cut(v, "/")
	if !ok {
		return nil
	}
	inUse, err1 := strconv.Atoi(inUseText)
	slots, err2 := strconv.Atoi(slotsText)
	if err1 != nil || err2 != nil || inUse < 0 || slots <= 0 {
		return nil
	}
	return &route.Load{InUse: inUse, Slots: slots}
}

// singleHeader returns the value of a header, empty when it is absent; an error when it is repeated.
func singleHeader(h http.Header, name string) (string, *model.Error) {
	switch v := h.Values(name); len(v) {
	case 0:
		return "", nil
	case 1:
		return v[0], nil
	default:
		return "", model.NotRun(model.CodeInvalid, "header %s occurs %d times", name, len(v))
	}
}

// validID reports whether s consists of 1 to maxIDLength visible ASCII characters.
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

// parseTimeout parses a timeout in milliseconds; it returns def for "" and at most limit.
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

// parseKeyTime checks that v is the time of a key in Unix milliseconds, neither too old nor too far
// in the future.
func parseKeyTime(v string, now time.Time) *model.Error {
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return model.NotRun(model.CodeInvalid, "a key needs header %s in Unix milliseconds", HeaderKeyTime)
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
