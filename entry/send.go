package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/route"
)

// failure is an attempt without a whole answer.
type failure struct {
	err error
	// mayHaveRun reports that the executor may have acted on the request.
	mayHaveRun bool
	// refused reports that the executor said that it has not run the request.
	refused bool
	kind    route.Kind
}

// connTrace watches which connection carries an attempt.
type connTrace struct {
	entry        *Entry
	method       string
	pickedAt     time.Time
	conn         *upstreamConn
	writesBefore int64
	// probe reports that the view of the state does not matter.
	probe bool
	// uncounted reports that the connection does not count its writes.
	uncounted bool
}

func (st *connTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: st.gotConn})
}

// gotConn is called before the first byte is written.
func (st *connTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*upstreamConn)
	if !ok {
		st.uncounted = true
		return
	}
	st.conn, st.writesBefore = c, c.beginRequest(st.method)
	if !st.probe && (st.entry.cfg.Clock.Now().Sub(st.pickedAt) > maxSendDelay || st.entry.checkViewAge() != nil) {
		c.writesBlocked.Store(true)
	}
}

// stopWrites makes sure that nothing more is written and reports whether nothing was.
func (st *connTrace) stopWrites() bool {
	return !st.uncounted && (st.conn == nil || st.conn.blockWrites(st.writesBefore))
}

// closeConn closes the connection, whose answers no longer match its requests.
func (st *connTrace) closeConn() {
	if st.conn != nil {
		st.conn.writesBlocked.Store(true)
		st.conn.Close()
	}
}

// emptyBody is a body without bytes that Go's transport does not know to be empty;
// it resends requests without a body by itself.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// upstreamRequest returns the request to the executor. GetBody stays nil so that Go's transport does not resend.
func (q *request) upstreamRequest(ctx context.Context, x route.Executor, remaining time.Duration) *http.Request {
	path, err := url.PathUnescape(q.path)
	if err != nil {
		path = q.path
	}
	req := &http.Request{
		Method: q.method,
		URL:    &url.URL{Scheme: "http", Host: x.Address, Path: path, RawPath: q.path, RawQuery: q.query},
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: q.upstreamHeader(remaining),
	}
	switch {
	case len(q.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(q.body)), int64(len(q.body))
	case q.method != http.MethodPost && q.method != http.MethodPut && q.method != http.MethodPatch:
		req.Body = emptyBody{}
	}
	return req.WithContext(ctx)
}

// attempt sends the request once. The executor's slot is given back when the
// attempt failed, or else when the answer is finished.
func (s *service) attempt(ctx context.Context, q *request, x route.Lease) (*response, *failure) {
	clock := s.entry.cfg.Clock
	st := &connTrace{entry: s.entry, method: q.method, pickedAt: clock.Now()}
	sctx, cancel := context.WithCancel(ctx)
	a, f := s.roundTrip(q.upstreamRequest(st.withTrace(sctx), x.Executor, q.deadline.Sub(st.pickedAt)), st)
	r := route.Result{Latency: clock.Now().Sub(st.pickedAt)}
	if f != nil {
		cancel()
		r.Kind = f.resultKind(ctx)
		s.release(x, r)
		return nil, f
	}
	r.Kind, r.Load = route.Succeeded, a.load
	if a.status >= http.StatusInternalServerError {
		r.Kind = route.Erred
	}
	if a.rest == nil {
		cancel()
		s.release(x, r)
		return a, nil
	}
	a.finish = func(err error) {
		cancel()
		a.rest.Close()
		r.Latency = clock.Now().Sub(st.pickedAt)
		if err != nil {
			r.Kind = (&failure{err: err, mayHaveRun: true, kind: route.Failed}).resultKind(ctx)
		}
		s.release(x, r)
	}
	return a, nil
}

// roundTrip sends the request and reads the answer, or the beginning of a large one.
func (s *service) roundTrip(req *http.Request, st *connTrace) (*response, *failure) {
	resp, err := s.httpClient().Do(req)
	if err != nil {
		f := &failure{err: err, mayHaveRun: !st.stopWrites(), kind: route.Failed}
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			f.kind = route.Dead
		case !f.mayHaveRun:
			f.kind = route.Dropped
		}
		return nil, f
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(model.OutcomeNotRun) {
		drainBody(resp.Body)
		return nil, &failure{err: errors.New("the executor has no free slot"), refused: true, kind: route.Refused}
	}
	id := resp.Header.Get(HeaderRequestID)
	a, err := readResponse(resp)
	if err == nil && id != "" && id != req.Header.Get(HeaderRequestID) {
		err = errors.New("the answer names another request")
		st.closeConn()
	}
	if err != nil {
		resp.Body.Close()
		return nil, &failure{err: err, mayHaveRun: true, kind: route.Failed}
	}
	return a, nil
}

func (s *service) httpClient() *http.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client
}

// resultKind tells failures of the executor from an ended context.
func (f *failure) resultKind(ctx context.Context) route.Kind {
	switch err := ctx.Err(); {
	case err == nil || f.refused:
		return f.kind
	case errors.Is(err, context.DeadlineExceeded) && f.mayHaveRun:
		return route.Late
	default:
		return route.Dropped
	}
}

// drainBody reads a small rest so that the connection can be used again.
func drainBody(body io.ReadCloser) {
	io.CopyN(io.Discard, body, 4<<10) //nolint:errcheck // the connection is closed when this fails
	body.Close()
}

// forward sends the request until there is an answer or no retry is safe or allowed.
func (s *service) forward(ctx context.Context, q *request) (*response, *model.Error) {
	s.mu.Lock()
	s.budget.Deposit()
	s.mu.Unlock()
	var (
		tried []string
		last  *response // a whole answer that reports that the executor is not available
		cause *failure
		ran   bool
	)
	for {
		x, err := s.acquire(ctx, q, tried)
		if err == nil {
			if err = s.entry.checkViewAge(); err != nil {
				s.release(x, route.Result{Kind: route.Dropped})
			}
		}
		if err != nil {
			if last != nil {
				return last, nil
			}
			return nil, forwardError(ctx, err, cause, ran)
		}
		q.attempts++
		q.executor = x.Name
		s.entry.metrics.attempts.Inc()
		a, f := s.attempt(ctx, q, x)
		tried = append(tried, x.Name)
		switch {
		case f != nil:
			s.entry.metrics.countFailure(f)
			cause, ran = f, ran || f.mayHaveRun
		case !a.unavailable() || q.key != "" || a.rest != nil:
			return a.adjustOutcome(ran), nil
		default:
			last, ran = a, true
		}
		if f != nil && f.refused && s.waitRequeue(ctx, q) {
			continue
		}
		if f != nil && f.refused || ran && q.key != "" || !s.waitRetry(ctx, q) {
			if last != nil {
				return last, nil
			}
			return nil, forwardError(ctx, nil, cause, ran)
		}
	}
}

// waitRetry takes a waitRetry from the budget and waits before it; false when there is none or no time
// for it.
func (s *service) waitRetry(ctx context.Context, q *request) bool {
	delay := route.Backoff(q.attempts, s.entry.cfg.Rand())
	s.mu.Lock()
	allowed := s.fitsDeadline(q, delay) && s.budget.Withdraw()
	s.mu.Unlock()
	if !allowed {
		s.entry.metrics.retriesDenied.Inc()
		return false
	}
	s.entry.metrics.retries.Inc()
	return clock.Sleep(ctx, delay)
}

// waitRequeue waits before a refused request goes back to the queue; false when there is no time for
// that. It takes nothing from the retry budget: the set bounds refusals itself, and a budget
// that they use up refuses requests at 70% load.
func (s *service) waitRequeue(ctx context.Context, q *request) bool {
	delay := time.Duration(0)
	if q.attempts > 1 {
		delay = route.Backoff(q.attempts, s.entry.cfg.Rand())
	}
	s.mu.Lock()
	inTime := s.fitsDeadline(q, delay)
	s.mu.Unlock()
	return inTime && clock.Sleep(ctx, delay)
}

// fitsDeadline reports whether a request sent after the delay would probably end before its deadline.
func (s *service) fitsDeadline(q *request, delay time.Duration) bool {
	return s.entry.cfg.Clock.Now().Add(delay + s.set.Latency()).Before(q.deadline)
}

// forwardError returns the error for the caller: err is why no executor was chosen, cause why the last attempt failed.
func forwardError(ctx context.Context, err *model.Error, cause *failure, ran bool) *model.Error {
	var out *model.Error
	switch {
	case err != nil && !ran:
		out = err
	case cause != nil && cause.refused && !ran:
		out = model.NotRun(model.CodeOverloaded, "all executors that were asked have no free slot")
	case errors.Is(ctx.Err(), context.Canceled):
		out = callerGoneError()
	case ctx.Err() != nil:
		out = model.NotRun(model.CodeDeadline, "the deadline has passed")
	case cause != nil:
		out = model.NotRun(model.CodeUpstreamFailed, "the executor failed: %v", cause.err)
	default:
		out = model.NotRun(model.CodeInternal, "no attempt was made")
	}
	if ran {
		out.Outcome = model.OutcomeUnknown
	}
	return out
}
