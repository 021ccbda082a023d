package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"turmericroute/config"
	"turmericroute/model"
)

// pathPrefix is the fixed part of the paths that ServeService serves.
const pathPrefix = "/v1/services/"

// request is a parsed request of a caller.
type request struct {
	id       string
	team     string
	weight   float64
	limit    int // concurrent requests of the team at all entries together; 0 means no limit
	service  string
	method   string
	path     string // path at the executor, escaped
	query    string
	header   http.Header
	body     []byte
	deadline time.Time
	// key is set for a non-idempotent request.
	key  string
	hash string
	// keyLookedUp is set once the key was looked up in the log, so that the outcome not_run is exact.
	keyLookedUp bool
	// attempts counts the attempts to send the request; executor names the last one chosen.
	attempts int
	executor string
	// slowestRefusal is the longest time that an executor took to refuse the request.
	slowestRefusal time.Duration
}

// newID returns a random ID of 128 bits in hexadecimal.
func newID() string {
	var b [16]byte
	rand.Read(b[:]) //nolint:errcheck // never fails
	return hex.EncodeToString(b[:])
}

// parse parses everything but the body. Even with an error the returned request has an ID and
// the key that was sent, so that the outcome of a refusal can be reported correctly.
func (e *Entry) parse(r *http.Request, now time.Time) (*request, *model.Error) {
	q := &request{method: r.Method, query: r.URL.RawQuery, header: r.Header}
	if q.id = r.Header.Get(HeaderRequestID); !validID(q.id) {
		q.id = newID()
	}
	// Set before any check: the refusal of a keyed request must not report the outcome not_run.
	if v := r.Header.Get(HeaderIdempotencyKey); v != "" && r.Header.Get(HeaderIdempotent) != "true" {
		q.key = v
	}
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), pathPrefix), "/")
	q.service, q.path = service, "/"+path
	for _, parse := range []func(*http.Request, time.Time) *model.Error{q.parseIdentity, e.parseDeadline(q), q.parseKey} {
		if err := parse(r, now); err != nil {
			return q, err
		}
	}
	return q, q.checkConfig(e.cfg.Replica.Machine().Config())
}

// parseIdentity checks the method and reads the request ID and the team.
func (q *request) parseIdentity(r *http.Request, _ time.Time) *model.Error {
	switch r.Method {
	case http.MethodConnect, http.MethodTrace:
		return model.NotRun(model.CodeInvalid, "method %s is not supported", r.Method)
	}
	id, err := singleHeader(r.Header, HeaderRequestID)
	if err != nil {
		return err
	}
	if id != "" && id != q.id {
		return model.NotRun(model.CodeInvalid, "header %s must be up to %d visible ASCII characters", HeaderRequestID, maxIDLength)
	}
	if q.team, err = singleHeader(r.Header, HeaderTeam); err != nil {
		return err
	}
	if q.team == "" {
		return model.NotRun(model.CodeInvalid, "header %s is missing", HeaderTeam)
	}
	return nil
}

// parseDeadline returns a function that sets the deadline of q from the timeout header.
func (e *Entry) parseDeadline(q *request) func(*http.Request, time.Time) *model.Error {
	return func(r *http.Request, now time.Time) *model.Error {
		v, err := singleHeader(r.Header, HeaderTimeout)
		if err != nil {
			return err
		}
		d, err := parseTimeout(v, e.cfg.DefaultTimeout, e.cfg.MaxTimeout)
		q.deadline = now.Add(d)
		return err
	}
}

// parseKey reads the headers of a non-idempotent request. A request with a key counts as
// non-idempotent unless it is declared idempotent, because running it twice would be worse than the
// cost of a claim.
func (q *request) parseKey(r *http.Request, now time.Time) *model.Error {
	idempotent, err := singleHeader(r.Header, HeaderIdempotent)
	if err != nil {
		return err
	}
	key, err := singleHeader(r.Header, HeaderIdempotencyKey)
	if err != nil {
		return err
	}
	switch {
	case idempotent != "" && idempotent != "true" && idempotent != "false":
		return model.NotRun(model.CodeInvalid, "header %s must be true or false", HeaderIdempotent)
	case idempotent == "false" && key == "":
		return model.NotRun(model.CodeInvalid, "a non-idempotent request needs header %s", HeaderIdempotencyKey)
	case idempotent == "true" || key == "":
		return nil
	case !validID(key):
		return model.NotRun(model.CodeInvalid, "header %s must be up to %d visible ASCII characters", HeaderIdempotencyKey, maxIDLength)
	}
	v, err := singleHeader(r.Header, HeaderKeyTime)
	if err != nil {
		return err
	}
	return parseKeyTime(v, now)
}

// checkConfig looks up the team and the service in the configuration and sets the team's weight and
// limit.
func (q *request) checkConfig(cfg config.Config) *model.Error {
	t, ok := cfg.Team(q.team)
	if !ok {
		return model.NotRun(model.CodeNotFound, "no team %q", q.team)
	}
	if _, ok := cfg.Service(q.service); !ok {
		return model.NotRun(model.CodeNotFound, "no service %q", q.service)
	}
	if !slices.Contains(t.Services, q.service) {
		return model.NotRun(model.CodeNotFound, "team %s has no service %q", q.team, q.service)
	}
	q.weight, q.limit = t.Weight, t.MaxRequests
	return nil
}

// readBody reads the whole body, up to limit bytes and until the deadline of the request.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, limit int64) *model.Error {
	if r.ContentLength > limit {
		return model.NotRun(model.CodeTooLarge, "the body has more than %d bytes", limit)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(w)
	if rc.SetReadDeadline(q.deadline) == nil {
		defer rc.SetReadDeadline(time.Time{}) //nolint:errcheck // fails only when the connection is closed
	}
	var err error
	if r.ContentLength >= 0 {
		q.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, q.body)
	} else {
		q.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return model.NotRun(model.CodeTooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		return model.NotRun(model.CodeInvalid, "the body ended early: %v", err)
	}
	return nil
}

// hashRequest returns the SHA-256 of service, method, path, query and body, each preceded by its length.
func (q *request) hashRequest() string {
	h := sha256.New()
	for _, s := range []string{q.service, q.method, q.path, q.query} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	h.Write([]byte(strconv.Itoa(len(q.body)) + ":"))
	h.Write(q.body)
	return hex.EncodeToString(h.Sum(nil))
}

// adjustOutcome turns the outcome "not run" of err into "unknown" for a keyed request whose key was
// not looked up: an earlier submission of it may have run.
func (q *request) adjustOutcome(err *model.Error) *model.Error {
	if q.key == "" || q.keyLookedUp || err.Outcome != model.OutcomeNotRun {
		return err
	}
	c := *err
	c.Outcome = model.OutcomeUnknown
	return &c
}
