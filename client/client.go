package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"turmericroute/clock"
	"turmericroute/model"
)

const (
	// maxAnswerBytes bounds an answer; a list of 20,000 jobs takes about 12 MB.
	maxAnswerBytes = 64 << 20
	// defaultTimeout bounds a call over all addresses when its context has no deadline.
	defaultTimeout = 30 * time.Second
	// attemptTimeout bounds one sending of a repeatable call, so that a frozen
	// instance does not use up the time of the whole call. It is longer than an
	// instance looks for a leader.
	attemptTimeout = 4 * time.Second
	// maxRounds is how often all addresses are tried.
	maxRounds = 3
	// retryPause is the wait between rounds; an election takes up to 800 ms.
	retryPause = 400 * time.Millisecond
	// answerMargin is how much earlier than the caller the instance gives up, so that
	// its own answer, which names the reason and the outcome, still arrives.
	answerMargin = 250 * time.Millisecond
	// dialTimeout bounds the connection to one instance, so that others are tried in time.
	dialTimeout = 2 * time.Second
)

// Unreachable is the class of errors of calls that reached no instance.
var Unreachable = errs.Class("unreachable")

// Config holds the settings of a client.
type Config struct {
	// Addresses are base URLs or host:port pairs of instances, tried in order from the last that answered.
	Addresses []string
	// Token is sent as a bearer token.
	Token string
	// Team is sent with each call.
	Team string
	// TLS makes addresses without a scheme HTTPS ones; nil means HTTP.
	TLS *tls.Config
	// HTTP is the client used; the default has no retries, proxies or redirects.
	HTTP *http.Client
}

// Client calls the API of several instances.
type Client struct {
	baseURLs     []string
	token        string
	team         string
	http         *http.Client
	lastAnswered atomic.Int64
}

// New returns a client.
func New(cfg Config) *Client {
	c := &Client{token: cfg.Token, team: cfg.Team, http: cfg.HTTP}
	for _, a := range cfg.Addresses {
		c.baseURLs = append(c.baseURLs, baseURL(a, cfg.TLS != nil))
	}
	if c.http == nil {
		c.http = &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSClientConfig: cfg.TLS,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return c
}

func baseURL(address string, secure bool) string {
	if !strings.Contains(address, "://") {
		scheme := "http://"
		if secure {
			scheme = "https://"
		}
		address = scheme + address
	}
	return strings.TrimRight(address, "/")
}

// call is one request of the API.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	// idempotent says that sending the call twice has the effect of sending it once.
	idempotent bool
}

// attemptResult is how one sending of a call ended.
type attemptResult struct {
	err *model.Error
	// reached says that bytes of the call may have reached an instance.
	reached bool
}

// execute sends a call to the instances in turn until one gives a final answer.
// Another instance is tried only when the call did not run or is repeatable.
func (c *Client) execute(ctx context.Context, q call, out any) error {
	if len(c.baseURLs) == 0 {
		return Unreachable.Wrap(model.NotRun(model.CodeUnavailable, "no address is set"))
	}
	var body []byte
	if q.body != nil {
		var err error
		if body, err = json.Marshal(q.body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	return c.tryInstances(ctx, q, body, out)
}

func (c *Client) tryInstances(ctx context.Context, q call, body []byte, out any) error {
	var last *model.Error
	unknown, reached := false, false
	first := int(c.lastAnswered.Load())
	for i := range maxRounds * len(c.baseURLs) {
		if i > 0 && i%len(c.baseURLs) == 0 && !clock.Sleep(ctx, retryPause) {
			break
		}
		n := (first + i) % len(c.baseURLs)
		a := c.attempt(ctx, c.baseURLs[n], q, body, out)
		if a.err == nil {
			c.lastAnswered.Store(int64(n))
			return nil
		}
		last = a.err
		reached = reached || a.reached
		unknown = unknown || a.err.Outcome == model.OutcomeUnknown
		if isFinal(a.err, q.idempotent) || ctx.Err() != nil {
			break
		}
	}
	if q.method == http.MethodGet {
		// A read changes nothing, however its sendings ended.
		last.Outcome, unknown = model.OutcomeNotRun, false
	}
	return finalError(last, unknown, reached)
}

// attempt sends a call once, with a time limit of its own when it can be sent again elsewhere.
func (c *Client) attempt(ctx context.Context, base string, q call, body []byte, out any) attemptResult {
	if q.idempotent && len(c.baseURLs) > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
	}
	return c.roundTrip(ctx, base, q, body, out)
}

// finalError returns the error of a call whose attempts all failed. After an
// attempt with an unknown outcome a later "not run" speaks only of itself,
// unless it was decided by looking at the state.
func finalError(last *model.Error, unknown, reached bool) error {
	e := *last
	if unknown && e.Outcome == model.OutcomeNotRun && isRetryable(e.Code) {
		e.Outcome = model.OutcomeUnknown
		e.Message += "; an earlier attempt may have run"
	}
	if !reached {
		return Unreachable.Wrap(&e)
	}
	return &e
}

// isRetryable reports whether another instance or a later time may give another answer.
func isRetryable(code model.Code) bool {
	switch code {
	case model.CodeStaleView, model.CodeNoLeader, model.CodeOverloaded, model.CodeShuttingDown,
		model.CodeUnavailable, model.CodeDeadline, model.CodeInternal:
		return true
	default:
		return false
	}
}

// isFinal reports whether no other instance may be tried.
func isFinal(e *model.Error, repeatable bool) bool {
	if !isRetryable(e.Code) {
		return true
	}
	return e.Outcome != model.OutcomeNotRun && !repeatable
}

func (c *Client) roundTrip(ctx context.Context, base string, q call, body []byte, out any) attemptResult {
	req, err := c.newRequest(ctx, base, q, body)
	if err != nil {
		return attemptResult{err: model.NotRun(model.CodeInvalid, "build request: %v", err)}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return transportError(base, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return attemptResult{err: model.Unknown(model.CodeUnavailable, "answer of %s broke off: %v", base, err), reached: true}
	case len(b) > maxAnswerBytes:
		return attemptResult{err: model.Unknown(model.CodeTooLarge, "answer of %s is larger than %d bytes", base, maxAnswerBytes), reached: true}
	case res.StatusCode/100 != 2:
		return attemptResult{err: responseError(base, res, b), reached: true}
	case out == nil:
		return attemptResult{reached: true}
	}
	if err := json.Unmarshal(b, out); err != nil {
		return attemptResult{err: model.Unknown(model.CodeInternal, "answer of %s: %v", base, err), reached: true}
	}
	return attemptResult{reached: true}
}

func (c *Client) newRequest(ctx context.Context, base string, q call, body []byte) (*http.Request, error) {
	u := base + q.path
	if len(q.query) > 0 {
		u += "?" + q.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, q.method, u, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("new request: %w", err)
	}
	// Without GetBody the transport never sends a body a second time by itself.
	req.GetBody = nil
	if q.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if c.team != "" {
		req.Header.Set("Turmericroute-Team", c.team)
	}
	if d, ok := ctx.Deadline(); ok {
		left := time.Until(d)
		ms := max(1, (left - min(answerMargin, left/4)).Milliseconds())
		req.Header.Set("Turmericroute-Timeout-Ms", fmt.Sprint(min(ms, 300_000)))
	}
	return req, nil
}

// transportError describes a call without an answer; a failed dial sent nothing.
func transportError(base string, err error) attemptResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attemptResult{err: model.NotRun(model.CodeUnavailable, "cannot reach %s: %v", base, op)}
	}
	return attemptResult{err: model.Unknown(model.CodeUnavailable, "no answer from %s: %v", base, err), reached: true}
}

// responseError returns the typed error of an answer; one that is not ours has an unknown outcome.
func responseError(base string, res *http.Response, b []byte) *model.Error {
	var e model.Error
	if err := json.Unmarshal(b, &e); err != nil || e.Code == "" {
		return model.Unknown(model.CodeInternal, "%s answered %s without a typed error", base, res.Status)
	}
	if e.Outcome == "" {
		e.Outcome = model.OutcomeUnknown
	}
	return &e
}
