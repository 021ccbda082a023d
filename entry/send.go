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

// failure is an attempt that got no complete response.
type failure struct {
	err error
	// mayHaveRun is set when the executor may have run the request.
	mayHaveRun bool
	// refused is set when the executor answered that it did not run the request.
	refused bool
	kind    route.ResultKind
	// took is how long the attempt took.
	took time.Duration
}

// connTrace records which connection carries an attempt.
type connTrace struct {
	entry        *Entry
	method       string
	pickedAt     time.Time
	conn         *upstreamConn
	writesBefore int64
	// probe is set for health probes, which are sent whatever the age of the view.
	probe bool
	// uncounted is set when the connection does not count its writes.
	uncounted bool
}

// withTrace returns a context whose request reports its connection to ct.
func (ct *connTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: ct.gotConn})
}

// gotConn is called before the first byte is written. It blocks the writes of an attempt that is
// late or whose view is stale.
func (ct *connTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*upstreamConn)
	if !ok {
		ct.uncounted = true
		return
	}
	ct.conn, ct.writesBefore = c, c.beginRequest(ct.method)
	if !ct.probe && (ct.entry.cfg.Clock.Now().Sub(ct.pickedAt) > maxSendDelay || ct.entry.checkViewAge() != nil) {
		c.writesBlocked.Store(true)
	}
}

// stopWrites blocks further writes and reports whether certainly nothing was written.
func (ct *connTrace) stopWrites() bool {
	return !ct.uncounted && (ct.conn == nil || ct.conn.blockWrites(ct.writesBefore))
}

// closeConn closes the connection, whose responses no longer match its requests.
func (ct *connTrace) closeConn() {
	if ct.conn != nil {
		ct.conn.writesBlocked.Store(true)
		ct.conn.Close()
	}
}

// emptyBody is an empty body that Go's transport does not recognise as such; the
// transport resends requests without a body on its own.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// upstreamRequest returns the request to send to the executor. GetBody stays nil so that Go's
// transport does not resend it.
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

// attempt sends the request once. The executor's slot is released when the
// attempt fails, and otherwise when the response has been read.
func (s *service) attempt(ctx context.Context, q *request, assignment route.Assignment) (*response, *failure) {
	clock := s.entry.cfg.Clock
	ct := &connTrace{entry: s.entry, method: q.method, pickedAt: clock.Now()}
	attemptCtx, cancel := context.WithCancel(ctx)
	resp, f := s.roundTrip(q.upstreamRequest(ct.withTrace(attemptCtx), assignment.Executor, q.deadline.Sub(ct.pickedAt)), ct)
	r := route.Result{Latency: clock.Now().Sub(ct.pickedAt)}
	if f != nil {
		cancel()
		f.took = r.Latency
		r.Kind = f.resultKind(ctx)
		s.release(assignment, r)
		return nil, f
	}
	r.Kind, r.Load = route.Succeeded, resp.load
	if resp.status >= http.StatusInternalServerError {
		r.Kind = route.ExecutorError
	}
	if resp.rest == nil {
		cancel()
		s.release(assignment, r)
		return resp, nil
	}
	resp.finish = func(err error) {
		cancel()
		resp.rest.Close()
		r.Latency = clock.Now().Sub(ct.pickedAt)
		if err != nil {
			r.Kind = (&failure{err: err, mayHaveRun: true, kind: route.ConnectionLost}).resultKind(ctx)
		}
		s.release(assignment, r)
	}
	return resp, nil
}

// roundTrip sends the request and reads the response, or the beginning of a large one.
func (s *service) roundTrip(req *http.Request, ct *connTrace) (*response, *failure) {
	httpResp, err := s.httpClient().Do(req)
	if err != nil {
		f := &failure{err: err, mayHaveRun: !ct.stopWrites(), kind: route.ConnectionLost}
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			f.kind = route.ConnectFailed
		case !f.mayHaveRun:
			f.kind = route.Abandoned
		}
		return nil, f
	}
	if httpResp.StatusCode == http.StatusServiceUnavailable && httpResp.Header.Get(HeaderOutcome) == string(model.OutcomeNotRun) {
		drainBody(httpResp.Body)
		return nil, &failure{err: errors.New("the executor has no free slot"), refused: true, kind: route.Refused}
	}
	id := httpResp.Header.Get(HeaderRequestID)
	resp, err := readResponse(httpResp)
	if err == nil && id != "" && id != req.Header.Get(HeaderRequestID) {
		err = errors.New("the response carries the ID of another request")
		ct.closeConn()
	}
	if err != nil {
		httpResp.Body.Close()
		return nil, &failure{err: err, mayHaveRun: true, kind: route.ConnectionLost}
	}
	return resp, nil
}

func (s *service) httpClient() *http.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client
}

// resultKind distinguishes failures of the executor from an attempt that ended with its context.
func (f *failure) resultKind(ctx context.Context) route.ResultKind {
	switch err := ctx.Err(); {
	case err == nil || f.refused:
		return f.kind
	case errors.Is(err, context.DeadlineExceeded) && f.mayHaveRun:
		return route.TimedOut
	default:
		return route.Abandoned
	}
}

// drainBody reads up to 4 KiB of the body, so that the connection can be reused, and closes it.
func drainBody(body io.ReadCloser) {
	io.CopyN(io.Discard, body, 4<<10) //nolint:errcheck // the connection is not reused when this fails
	body.Close()
}

// forward sends the request until it gets a response or no retry is safe or allowed.
func (s *service) forward(ctx context.Context, q *request) (*response, *model.Error) {
	s.mu.Lock()
	s.budget.Deposit()
	s.mu.Unlock()
	var (
		tried      []string
		last       *response // a complete response that says that the executor is unavailable
		cause      *failure
		mayHaveRun bool
	)
	for {
		assignment, err := s.acquire(ctx, q, tried)
		if err == nil {
			if err = s.entry.checkViewAge(); err != nil {
				s.release(assignment, route.Result{Kind: route.Abandoned})
			}
		}
		if err != nil {
			if last != nil {
				return last, nil
			}
			return nil, forwardError(ctx, err, cause, mayHaveRun)
		}
		q.attempts++
		q.executor = assignment.Name
		s.entry.metrics.attempts.Inc()
		resp, f := s.attempt(ctx, q, assignment)
		tried = append(tried, assignment.Name)
		switch {
		case f != nil:
			s.entry.metrics.countFailure(f)
			cause, mayHaveRun = f, mayHaveRun || f.mayHaveRun
			if f.refused {
				q.slowestRefusal = max(q.slowestRefusal, f.took)
			}
		case !resp.unavailable() || q.key != "" || resp.rest != nil:
			return resp.adjustOutcome(mayHaveRun), nil
		default:
			last, mayHaveRun = resp, true
		}
		if f != nil && f.refused && s.waitRequeue(ctx, q) {
			continue
		}
		if f != nil && f.refused || mayHaveRun && q.key != "" || !s.waitRetry(ctx, q) {
			if last != nil {
				return last, nil
			}
			return nil, forwardError(ctx, nil, cause, mayHaveRun)
		}
	}
}

// waitRetry withdraws a retry from the budget and waits for its backoff delay. It returns false when
// the budget is used up, too little time is left or ctx ends.
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

// waitRequeue waits before a request that an executor refused is queued again. It returns false when
// too little time is left or ctx ends. It withdraws nothing from the retry budget: the executor set
// bounds refusals itself, and if they used up the budget, requests would be refused at 70% load.
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

// fitsDeadline reports whether a request that is sent after the delay would, at the average latency,
// end before its deadline, and also if it is refused as slowly as before: an attempt that the
// deadline cuts off leaves its outcome unknown. The caller holds the lock.
func (s *service) fitsDeadline(q *request, delay time.Duration) bool {
	return s.entry.cfg.Clock.Now().Add(delay + max(s.set.Latency(), q.slowestRefusal)).Before(q.deadline)
}

// forwardError returns the error for the caller. err says why no executor was chosen, cause why the
// last attempt failed.
func forwardError(ctx context.Context, err *model.Error, cause *failure, mayHaveRun bool) *model.Error {
	var out *model.Error
	switch {
	case err != nil && !mayHaveRun:
		out = err
	case cause != nil && cause.refused && !mayHaveRun:
		out = model.NotRun(model.CodeOverloaded, "none of the executors that were tried has a free slot")
	case errors.Is(ctx.Err(), context.Canceled):
		out = callerGoneError()
	case ctx.Err() != nil:
		out = model.NotRun(model.CodeDeadline, "the deadline has passed")
	case cause != nil:
		out = model.NotRun(model.CodeUpstreamFailed, "the executor failed: %v", cause.err)
	default:
		out = model.NotRun(model.CodeInternal, "no attempt was made")
	}
	if mayHaveRun {
		out.Outcome = model.OutcomeUnknown
	}
	return out
}
