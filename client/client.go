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
	// maxResponseBytes bounds the body of a response; a list of 20,000 jobs takes about 12 MB.
	maxResponseBytes = 64 << 20
	// defaultTimeout bounds a call over all addresses when its context has no deadline.
	defaultTimeout = 30 * time.Second
	// attemptTimeout bounds one attempt of an idempotent call, so that a frozen
	// instance does not use up the time of the whole call. It is longer than an
	// instance waits for a leader.
	attemptTimeout = 4 * time.Second
	// maxRounds is how many times each address is tried.
	maxRounds = 3
	// retryPause is the delay between rounds; an election takes up to 800 ms.
	retryPause = 400 * time.Millisecond
	// responseMargin is how much earlier than the client the instance times out, so that
	// its typed error, which has the reason and the outcome, still arrives.
	responseMargin = 250 * time.Millisecond
	// dialTimeout bounds connecting to one instance, so that time remains to try others.
	dialTimeout = 2 * time.Second
)

// Unreachable is the class of errors of calls that did not reach any instance.
var Unreachable = errs.Class("unreachable")

// Config holds the settings of a client.
type Config struct {
	// Addresses are base URLs or host:port pairs of instances, tried in order, starting with the last that answered.
	Addresses []string
	// Token is sent as a bearer token.
	Token string
	// Team is sent with each call.
	Team string
	// TLS, if set, makes HTTPS the scheme of addresses without one; otherwise it is HTTP.
	TLS *tls.Config
	// HTTP sends the requests; the default does not retry, use proxies or follow redirects.
	HTTP *http.Client
}

// Client calls the API of a deployment through any of its instances.
type Client struct {
	baseURLs []string
	token    string
	team     string
	http     *http.Client
	// lastAnswered is the index of the base URL that answered last.
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

// baseURL returns an address with a scheme and without a trailing slash.
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

// call is a call of the API.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	// idempotent means that sending the call twice has the same effect as sending it once.
	idempotent bool
}

// attemptResult is the result of one attempt to send a call.
type attemptResult struct {
	err *model.Error
	// reached means that bytes of the call may have reached an instance.
	reached bool
}

// execute sends a call to the instances in turn until one gives a final response,
// which is decoded into out. Another instance is tried only if the call did not
// run or is idempotent.
func (c *Client) execute(ctx context.Context, cl call, out any) error {
	if len(c.baseURLs) == 0 {
		return Unreachable.Wrap(model.NotRun(model.CodeUnavailable, "no address is configured"))
	}
	var body []byte
	if cl.body != nil {
		var err error
		if body, err = json.Marshal(cl.body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	return c.tryInstances(ctx, cl, body, out)
}

// tryInstances tries each instance at most maxRounds times, starting with the last that answered.
func (c *Client) tryInstances(ctx context.Context, cl call, body []byte, out any) error {
	var lastErr *model.Error
	unknown, reached := false, false
	first := int(c.lastAnswered.Load())
	for i := range maxRounds * len(c.baseURLs) {
		if i > 0 && i%len(c.baseURLs) == 0 && !clock.Sleep(ctx, retryPause) {
			break
		}
		n := (first + i) % len(c.baseURLs)
		res := c.attempt(ctx, c.baseURLs[n], cl, body, out)
		if res.err == nil {
			c.lastAnswered.Store(int64(n))
			return nil
		}
		lastErr = res.err
		reached = reached || res.reached
		unknown = unknown || res.err.Outcome == model.OutcomeUnknown
		if isFinal(res.err, cl.idempotent) || ctx.Err() != nil {
			break
		}
	}
	if cl.method == http.MethodGet {
		// A read changes nothing, whatever the outcome of its attempts.
		lastErr.Outcome, unknown = model.OutcomeNotRun, false
	}
	return finalError(lastErr, unknown, reached)
}

// attempt sends a call to one instance. An idempotent call that could be sent to
// another instance is bounded by attemptTimeout.
func (c *Client) attempt(ctx context.Context, base string, cl call, body []byte, out any) attemptResult {
	if cl.idempotent && len(c.baseURLs) > 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
	}
	return c.roundTrip(ctx, base, cl, body, out)
}

// finalError returns the error of a call whose attempts all failed. After an
// attempt with an unknown outcome, "not run" in a later attempt covers only that
// attempt, unless the instance decided it from the replicated state.
func finalError(lastErr *model.Error, unknown, reached bool) error {
	e := *lastErr
	if unknown && e.Outcome == model.OutcomeNotRun && isRetryable(e.Code) {
		e.Outcome = model.OutcomeUnknown
		e.Message += "; an earlier attempt may have run"
	}
	if !reached {
		return Unreachable.Wrap(&e)
	}
	return &e
}

// isRetryable reports whether another instance or a later attempt may give another response.
func isRetryable(code model.Code) bool {
	switch code {
	case model.CodeStaleView, model.CodeNoLeader, model.CodeOverloaded, model.CodeShuttingDown,
		model.CodeUnavailable, model.CodeDeadline, model.CodeInternal:
		return true
	default:
		return false
	}
}

// isFinal reports whether a call that failed with e must not be tried at another instance.
func isFinal(e *model.Error, idempotent bool) bool {
	if !isRetryable(e.Code) {
		return true
	}
	return e.Outcome != model.OutcomeNotRun && !idempotent
}

// roundTrip sends a call to one instance and decodes the response into out.
func (c *Client) roundTrip(ctx context.Context, base string, cl call, body []byte, out any) attemptResult {
	req, err := c.newRequest(ctx, base, cl, body)
	if err != nil {
		return attemptResult{err: model.NotRun(model.CodeInvalid, "build request: %v", err)}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return transportError(base, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return attemptResult{err: model.Unknown(model.CodeUnavailable, "response of %s was cut off: %v", base, err), reached: true}
	case len(b) > maxResponseBytes:
		return attemptResult{err: model.Unknown(model.CodeTooLarge, "response of %s is larger than %d bytes", base, maxResponseBytes), reached: true}
	case res.StatusCode/100 != 2:
		return attemptResult{err: responseError(base, res, b), reached: true}
	case out == nil:
		return attemptResult{reached: true}
	}
	if err := json.Unmarshal(b, out); err != nil {
		return attemptResult{err: model.Unknown(model.CodeInternal, "decode response of %s: %v", base, err), reached: true}
	}
	return attemptResult{reached: true}
}

func (c *Client) newRequest(ctx context.Context, base string, cl call, body []byte) (*http.Request, error) {
	target := base + cl.path
	if len(cl.query) > 0 {
		target += "?" + cl.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, cl.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("new request: %w", err)
	}
	// Without GetBody the transport never resends a body on its own.
	req.GetBody = nil
	if cl.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if c.team != "" {
		req.Header.Set("Turmericroute-Team", c.team)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		ms := max(1, (left - min(responseMargin, left/4)).Milliseconds())
		req.Header.Set("Turmericroute-Timeout-Ms", fmt.Sprint(min(ms, 300_000)))
	}
	return req, nil
}

// transportError returns the result of an attempt without a response; nothing was sent if dialling failed.
func transportError(base string, err error) attemptResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attemptResult{err: model.NotRun(model.CodeUnavailable, "cannot reach %s: %v", base, op)}
	}
	return attemptResult{err: model.Unknown(model.CodeUnavailable, "no response from %s: %v", base, err), reached: true}
}

// responseError returns the typed error in a response. A response without one, as
// of a proxy, has an unknown outcome.
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
