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

// errNoLength refuses answers that end with the connection: a cut one would look whole.
var errNoLength = errors.New("the answer has neither a length nor chunks")

// response is an executor's response: whole, or its beginning with the rest to be read.
type response struct {
	status  int
	header  http.Header // as passed on to the caller
	outcome model.Outcome
	load    *route.Load
	body    []byte
	// rest continues body; nil when body is whole. finish ends the attempt then.
	rest   io.ReadCloser
	finish func(err error)
	// length is the declared length, -1 for chunks.
	length int64
	// noBody answers (to HEAD, 204, 304) may declare a length without having a body.
	noBody bool
}

// unavailable reports that a gateway or the executor says it cannot serve now.
func (a *response) unavailable() bool {
	switch a.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return a.outcome != model.OutcomeNotRun
	default:
		return false
	}
}

// adjustOutcome corrects the outcome of an answer for earlier attempts that may have run.
func (a *response) adjustOutcome(ran bool) *response {
	if ran && a.outcome == model.OutcomeNotRun {
		a.outcome = model.OutcomeUnknown
	}
	return a
}

// readResponse reads the answer whole if it is small, and else its beginning.
func readResponse(resp *http.Response) (*response, error) {
	a := &response{
		status: resp.StatusCode, outcome: model.OutcomeDone,
		load: ParseLoad(resp.Header.Get(HeaderLoad)), length: resp.ContentLength,
	}
	switch o := model.Outcome(resp.Header.Get(HeaderOutcome)); {
	case o == model.OutcomeNotRun, o == model.OutcomeUnknown:
		a.outcome = o
	case o != model.OutcomeDone && a.unavailable():
		// Such an answer may come from something in front of the executor.
		a.outcome = model.OutcomeUnknown
	}
	a.header = callerHeader(resp.Header)
	a.noBody = resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if a.noBody {
		resp.Body.Close()
		return a, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	if err := a.readBody(resp); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *response) readBody(resp *http.Response) error {
	if a.length >= 0 && a.length <= SmallResponseBytes {
		a.body = make([]byte, a.length)
		_, err := io.ReadFull(resp.Body, a.body)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, SmallResponseBytes+1))
	if err != nil {
		return err
	}
	a.body = body
	if len(body) <= SmallResponseBytes {
		resp.Body.Close()
		return nil
	}
	a.rest = resp.Body
	return nil
}

// bufferRest reads the rest of the answer up to the bound for held answers.
func (a *response) bufferRest() error {
	if a.rest == nil {
		return nil
	}
	more, err := io.ReadAll(io.LimitReader(a.rest, maxBufferedResponseBytes-int64(len(a.body))))
	a.body = append(a.body, more...)
	if err == nil && len(a.body) < maxBufferedResponseBytes {
		a.finish(nil)
		a.rest = nil
	}
	if err != nil {
		a.finish(err)
		a.rest = nil
	}
	return err
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// write sends the answer to the caller. An error means that the caller did not get all of it, and
// the connection to the caller must be aborted.
func (a *response) write(w http.ResponseWriter, q *request) error {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	h.Set(HeaderOutcome, string(a.outcome))
	h.Set(HeaderRequestID, q.id)
	switch {
	case a.noBody:
	case a.rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.length < 0:
		h.Del("Content-Length")
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	if a.noBody {
		return nil
	}
	if a.rest == nil {
		return err
	}
	if err != nil {
		a.finish(errCallerGone)
		return errCallerGone
	}
	return a.copyRest(w)
}

// errCallerGone means that the answer could not be written to the caller.
var errCallerGone = errors.New("the caller is gone")

func (a *response) copyRest(w http.ResponseWriter) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := a.rest.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				a.finish(errCallerGone)
				return errCallerGone
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			a.finish(nil)
			return nil
		case err != nil:
			a.finish(err)
			return err
		}
	}
}
