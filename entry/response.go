package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"turmericroute/model"
	"turmericroute/route"
)

// errNoLength rejects responses that end when the connection closes, since a truncated one would
// look complete.
var errNoLength = errors.New("the response has neither a declared length nor chunked encoding")

// response is an executor's response: either complete, or its beginning and a reader of the rest.
type response struct {
	status  int
	header  http.Header // as passed on to the caller, without hop-by-hop and internal headers
	outcome model.Outcome
	load    *route.Load
	body    []byte
	// rest reads what follows body; nil when body is complete. When it is set, finish must be
	// called with the result of reading it, which ends the attempt.
	rest   io.ReadCloser
	finish func(err error)
	// length is the declared length in bytes, -1 for chunked encoding.
	length int64
	// noBody is set for responses to HEAD and with status 204 or 304, which may declare a length
	// but have no body.
	noBody bool
}

// unavailable reports whether the status says that the executor, or a gateway in front of it,
// cannot serve at the moment. Responses that declare the outcome "not run" don't count.
func (r *response) unavailable() bool {
	switch r.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return r.outcome != model.OutcomeNotRun
	default:
		return false
	}
}

// adjustOutcome turns the outcome "not run" into "unknown" when an earlier attempt may have run.
func (r *response) adjustOutcome(mayHaveRun bool) *response {
	if mayHaveRun && r.outcome == model.OutcomeNotRun {
		r.outcome = model.OutcomeUnknown
	}
	return r
}

// readResponse reads a small response whole and otherwise its beginning.
func readResponse(resp *http.Response) (*response, error) {
	r := &response{
		status: resp.StatusCode, outcome: model.OutcomeDone,
		load: ParseLoad(resp.Header.Get(HeaderLoad)), length: resp.ContentLength,
	}
	switch o := model.Outcome(resp.Header.Get(HeaderOutcome)); {
	case o == model.OutcomeNotRun, o == model.OutcomeUnknown:
		r.outcome = o
	case o != model.OutcomeDone && r.unavailable():
		// Such a response may come from a gateway in front of the executor.
		r.outcome = model.OutcomeUnknown
	}
	r.header = callerHeader(resp.Header)
	r.noBody = resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if r.noBody {
		resp.Body.Close()
		return r, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	if err := r.readBody(resp); err != nil {
		return nil, err
	}
	return r, nil
}

// readBody reads a body of up to SmallResponseBytes whole; for a larger one it sets rest.
func (r *response) readBody(resp *http.Response) error {
	if r.length >= 0 && r.length <= SmallResponseBytes {
		r.body = make([]byte, r.length)
		_, err := io.ReadFull(resp.Body, r.body)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, SmallResponseBytes+1))
	if err != nil {
		return err
	}
	r.body = body
	if len(body) <= SmallResponseBytes {
		resp.Body.Close()
		return nil
	}
	r.rest = resp.Body
	return nil
}

// bufferRest reads the rest of the response until body holds maxBufferedResponseBytes. It sets rest
// to nil when the response is complete or reading it failed.
func (r *response) bufferRest() error {
	if r.rest == nil {
		return nil
	}
	remainder, err := io.ReadAll(io.LimitReader(r.rest, maxBufferedResponseBytes-int64(len(r.body))))
	r.body = append(r.body, remainder...)
	if err == nil && len(r.body) < maxBufferedResponseBytes {
		r.finish(nil)
		r.rest = nil
	}
	if err != nil {
		r.finish(err)
		r.rest = nil
	}
	return err
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// write sends the response to the caller. After an error the caller has not received all of it, and
// the connection to the caller must be aborted.
func (r *response) write(w http.ResponseWriter, q *request) error {
	h := w.Header()
	for k, v := range r.header {
		h[k] = v
	}
	h.Set(HeaderOutcome, string(r.outcome))
	h.Set(HeaderRequestID, q.id)
	switch {
	case r.noBody:
	case r.rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	case r.length < 0:
		h.Del("Content-Length")
	}
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	if r.noBody {
		return nil
	}
	if r.rest == nil {
		return err
	}
	if err != nil {
		r.finish(errCallerGone)
		return errCallerGone
	}
	return r.copyRest(w)
}

// errCallerGone means that the response could not be written to the caller.
var errCallerGone = errors.New("the caller has disconnected")

// copyRest streams the rest of the response to the caller.
func (r *response) copyRest(w http.ResponseWriter) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := r.rest.Read(*buf)
		if n > 0 {
			if _, writeErr := w.Write((*buf)[:n]); writeErr != nil {
				r.finish(errCallerGone)
				return errCallerGone
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			r.finish(nil)
			return nil
		case err != nil:
			r.finish(err)
			return err
		}
	}
}
