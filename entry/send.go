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
	// ran reports that the executor may have acted on the request.
	ran bool
	// refused reports that the executor said that it has not run the request.
	refused bool
	kind    route.ResultKind
}

// sending watches which connection carries an attempt.
type sending struct {
	e      *Entry
	method string
	picked time.Time
	conn   *upstreamConn
	mark   int64
	// probe reports that the view of the state does not matter.
	probe bool
	// opaque reports that the connection does not count its writes.
	opaque bool
}

func (st *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: st.gotConn})
}

// gotConn is called before the first byte is written.
func (st *sending) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*upstreamConn)
	if !ok {
		st.opaque = true
		return
	}
	st.conn, st.mark = c, c.begin(st.method)
	if !st.probe && (st.e.cfg.Clock.Now().Sub(st.picked) > sendWithin || st.e.fresh() != nil) {
		c.sealed.Store(true)
	}
}

// unsent makes sure that nothing more is written and reports whether nothing was.
func (st *sending) unsent() bool {
	return !st.opaque && (st.conn == nil || st.conn.seal(st.mark))
}

// abandon closes the connection, whose answers no longer match its requests.
func (st *sending) abandon() {
	if st.conn != nil {
		st.conn.sealed.Store(true)
		st.conn.Close()
	}
}

// emptyBody is a body without bytes that Go's transport does not know to be empty;
// it resends requests without a body by itself.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// outgoing returns the request to the executor. GetBody stays nil so that Go's transport does not resend.
func (q *request) outgoing(ctx context.Context, x route.Executor, remaining time.Duration) *http.Request {
	path, err := url.PathUnescape(q.path)
	if err != nil {
		path = q.path
	}
	req := &http.Request{
		Method: q.method,
		URL:    &url.URL{Scheme: "http", Host: x.Address, Path: path, RawPath: q.path, RawQuery: q.query},
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: q.sendHeader(remaining),
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
func (s *service) attempt(ctx context.Context, q *request, x route.Assignment) (*answer, *failure) {
	clock := s.e.cfg.Clock
	st := &sending{e: s.e, method: q.method, picked: clock.Now()}
	sctx, cancel := context.WithCancel(ctx)
	a, f := s.exchange(q.outgoing(st.trace(sctx), x.Executor, q.deadline.Sub(st.picked)), st)
	r := route.Result{Latency: clock.Now().Sub(st.picked)}
	if f != nil {
		cancel()
		r.Kind = f.kindOf(ctx)
		s.done(x, r)
		return nil, f
	}
	r.Kind, r.Load = route.Succeeded, a.load
	if a.status >= http.StatusInternalServerError {
		r.Kind = route.ExecutorError
	}
	if a.rest == nil {
		cancel()
		s.done(x, r)
		return a, nil
	}
	a.finish = func(err error) {
		cancel()
		a.rest.Close()
		r.Latency = clock.Now().Sub(st.picked)
		if err != nil {
			r.Kind = (&failure{err: err, ran: true, kind: route.ConnectionLost}).kindOf(ctx)
		}
		s.done(x, r)
	}
	return a, nil
}

// exchange sends the request and reads the answer, or the beginning of a large one.
func (s *service) exchange(req *http.Request, st *sending) (*answer, *failure) {
	resp, err := s.httpClient().Do(req)
	if err != nil {
		f := &failure{err: err, ran: !st.unsent(), kind: route.ConnectionLost}
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			f.kind = route.ConnectFailed
		case !f.ran:
			f.kind = route.Abandoned
		}
		return nil, f
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(model.OutcomeNotRun) {
		discard(resp.Body)
		return nil, &failure{err: errors.New("the executor has no free slot"), refused: true, kind: route.Refused}
	}
	id := resp.Header.Get(HeaderRequestID)
	a, err := readAnswer(resp)
	if err == nil && id != "" && id != req.Header.Get(HeaderRequestID) {
		err = errors.New("the answer names another request")
		st.abandon()
	}
	if err != nil {
		resp.Body.Close()
		return nil, &failure{err: err, ran: true, kind: route.ConnectionLost}
	}
	return a, nil
}

func (s *service) httpClient() *http.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client
}

// kindOf tells failures of the executor from an ended context.
func (f *failure) kindOf(ctx context.Context) route.ResultKind {
	switch err := ctx.Err(); {
	case err == nil || f.refused:
		return f.kind
	case errors.Is(err, context.DeadlineExceeded) && f.ran:
		return route.TimedOut
	default:
		return route.Abandoned
	}
}

// discard reads a small rest so that the connection can be used again.
func discard(body io.ReadCloser) {
	io.CopyN(io.Discard, body, 4<<10) //nolint:errcheck // the connection is closed when this fails
	body.Close()
}

// forward sends the request until there is an answer or no retry is safe or allowed.
func (s *service) forward(ctx context.Context, q *request) (*answer, *model.Error) {
	s.mu.Lock()
	s.budget.Deposit()
	s.mu.Unlock()
	var (
		tried []string
		last  *answer // a whole answer that reports that the executor is not available
		cause *failure
		ran   bool
	)
	for {
		x, err := s.acquire(ctx, q, tried)
		if err == nil {
			if err = s.e.fresh(); err != nil {
				s.done(x, route.Result{Kind: route.Abandoned})
			}
		}
		if err != nil {
			if last != nil {
				return last, nil
			}
			return nil, explain(ctx, err, cause, ran)
		}
		q.attempts++
		q.executor = x.Name
		s.e.metrics.attempts.Inc()
		a, f := s.attempt(ctx, q, x)
		tried = append(tried, x.Name)
		switch {
		case f != nil:
			s.e.metrics.count(f)
			cause, ran = f, ran || f.ran
		case !a.unavailable() || q.key != "" || a.rest != nil:
			return a.after(ran), nil
		default:
			last, ran = a, true
		}
		if f != nil && f.refused && s.again(ctx, q) {
			continue
		}
		if f != nil && f.refused || ran && q.key != "" || !s.retry(ctx, q) {
			if last != nil {
				return last, nil
			}
			return nil, explain(ctx, nil, cause, ran)
		}
	}
}

// retry takes a retry from the budget and waits before it; false when there is none or no time
// for it.
func (s *service) retry(ctx context.Context, q *request) bool {
	delay := route.Backoff(q.attempts, s.e.cfg.Rand())
	s.mu.Lock()
	allowed := s.inTime(q, delay) && s.budget.Withdraw()
	s.mu.Unlock()
	if !allowed {
		s.e.metrics.retriesDenied.Inc()
		return false
	}
	s.e.metrics.retries.Inc()
	return clock.Sleep(ctx, delay)
}

// again waits before a refused request goes back to the queue; false when there is no time for
// that. It takes nothing from the retry budget: the set bounds refusals itself, and a budget
// that they use up refuses requests at 70% load.
func (s *service) again(ctx context.Context, q *request) bool {
	delay := time.Duration(0)
	if q.attempts > 1 {
		delay = route.Backoff(q.attempts, s.e.cfg.Rand())
	}
	s.mu.Lock()
	inTime := s.inTime(q, delay)
	s.mu.Unlock()
	return inTime && clock.Sleep(ctx, delay)
}

// inTime reports whether a request sent after the delay would probably end before its deadline.
func (s *service) inTime(q *request, delay time.Duration) bool {
	return s.e.cfg.Clock.Now().Add(delay + s.set.Latency()).Before(q.deadline)
}

// explain returns the error for the caller: err is why no executor was chosen, cause why the last attempt failed.
func explain(ctx context.Context, err *model.Error, cause *failure, ran bool) *model.Error {
	var out *model.Error
	switch {
	case err != nil && !ran:
		out = err
	case cause != nil && cause.refused && !ran:
		out = model.NotRun(model.CodeOverloaded, "all executors that were asked have no free slot")
	case errors.Is(ctx.Err(), context.Canceled):
		out = callerGone()
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
