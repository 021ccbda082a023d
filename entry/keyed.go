package entry

import (
	"context"
	"net/http"
	"time"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/state"
)

const (
	// recordTimeout bounds the attempts to record the end of a claim; an election takes under 2 s.
	recordTimeout = 15 * time.Second
	// executeRetryDelay is the mean delay before a command is retried.
	executeRetryDelay = 50 * time.Millisecond
)

// serveKeyed serves a non-idempotent request: it claims the key in the log, sends the request,
// records how it ended and only then replies. A resent request whose key can't be claimed again is
// answered from the record of the key.
func (e *Entry) serveKeyed(ctx context.Context, cancel func(), s *service, q *request) result {
	q.hash = q.hashRequest()
	id := model.KeyID{Team: q.team, Key: q.key}
	if k, ok := e.cfg.Replica.Machine().Key(id); ok && (k.State == model.KeyDone || k.Hash != q.hash) {
		cancel()
		q.keyLookedUp = true
		return e.replay(q, k)
	}
	if !s.canServeInTime(q) {
		cancel()
		return result{err: overloadedError(s.name)}
	}
	claim := e.newClaim(q, id)
	res, err := e.executeWithRetry(ctx, state.ClaimKey{Key: claim})
	if err != nil {
		cancel()
		e.releaseClaim(claim)
		return result{err: err}
	}
	q.keyLookedUp = true
	switch {
	case res.Failure != nil:
		cancel()
		return result{err: res.Failure}
	case !res.Claimed:
		cancel()
		return e.replay(q, *res.Key)
	}
	return e.sendClaimed(ctx, cancel, s, q, claim)
}

func (e *Entry) newClaim(q *request, id model.KeyID) model.Key {
	return model.Key{
		ID: id, Claim: newID(), Hash: q.hash, Entry: e.cfg.Name,
		CreatedMS: e.cfg.Clock.Now().UnixMilli(), DeadlineMS: q.deadline.UnixMilli(),
	}
}

// sendClaimed sends a request whose key is claimed and records how it ended before the reply, or,
// for a response that is too large to buffer, after it.
func (e *Entry) sendClaimed(ctx context.Context, cancel func(), s *service, q *request, claim model.Key) result {
	finish := state.FinishKey{ID: claim.ID, Claim: claim.Claim}
	resp, forwardErr := s.forward(ctx, q)
	if forwardErr == nil {
		if err := resp.bufferRest(); err != nil {
			forwardErr = model.Unknown(model.CodeUpstreamFailed, "the response was cut off: %v", err)
		}
	}
	if forwardErr != nil {
		cancel()
		finish.State = model.KeyUnknown
		if forwardErr.Outcome == model.OutcomeNotRun {
			finish.State = model.KeyNotRun
		}
		e.recordEnd(q.deadline, finish)
		return result{err: forwardErr}
	}
	finish.State, finish.Answer = keyStateOf(resp.outcome), answerToRecord(resp)
	if resp.rest == nil {
		cancel()
		e.recordEnd(q.deadline, finish)
		return result{response: resp}
	}
	return result{response: resp, onWritten: func(err error) {
		cancel()
		if err != nil {
			finish.State, finish.Answer = model.KeyUnknown, nil
		}
		e.recordEnd(e.cfg.Clock.Now(), finish)
	}}
}

func keyStateOf(o model.Outcome) model.KeyState {
	switch o {
	case model.OutcomeDone:
		return model.KeyDone
	case model.OutcomeNotRun:
		return model.KeyNotRun
	default:
		return model.KeyUnknown
	}
}

// answerToRecord returns what is recorded of a response for resends: only its status when it is
// larger than SmallResponseBytes, and nil unless its outcome is done.
func answerToRecord(resp *response) *model.Answer {
	if resp.outcome != model.OutcomeDone {
		return nil
	}
	if resp.rest != nil || len(resp.body) > SmallResponseBytes {
		return &model.Answer{Status: resp.status, Truncated: true}
	}
	return &model.Answer{Status: resp.status, Header: resp.header, Body: resp.body}
}

// replay answers a resent request from the record of its key.
func (e *Entry) replay(q *request, k model.Key) result {
	switch {
	case k.Hash != q.hash:
		return result{err: model.NotRun(model.CodeKeyConflict, "the key was already used for a different request")}
	case k.State == model.KeyDone && k.Answer != nil && k.Answer.Truncated:
		return result{err: &model.Error{Code: model.CodeAnswerNotKept, Outcome: model.OutcomeDone, Message: "the request was carried out, but its response was not kept"}}
	case k.State == model.KeyDone && k.Answer != nil:
		resp := &response{status: k.Answer.Status, header: http.Header(k.Answer.Header).Clone(), outcome: model.OutcomeDone, body: k.Answer.Body}
		if resp.header == nil {
			resp.header = http.Header{}
		}
		resp.noBody = q.method == http.MethodHead || resp.status == http.StatusNoContent || resp.status == http.StatusNotModified
		return result{response: resp}
	case k.State == model.KeyClaimed && e.cfg.Clock.Now().UnixMilli() < k.DeadlineMS:
		return result{err: model.Unknown(model.CodeInProgress, "a request with this key is in progress")}
	default:
		return result{err: model.Unknown(model.CodeOutcomeUnknown, "it is not known whether the request with this key was carried out")}
	}
}

// executeWithRetry commits an idempotent command and retries failures until ctx ends. It returns at
// once when the command is invalid or too large.
func (e *Entry) executeWithRetry(ctx context.Context, c state.Command) (state.Result, *model.Error) {
	for {
		res, err := e.cfg.Replica.Execute(ctx, c)
		if err == nil {
			return res, nil
		}
		modelErr := model.AsError(err)
		if ctx.Err() != nil || modelErr.Code == model.CodeInvalid || modelErr.Code == model.CodeTooLarge {
			return state.Result{}, modelErr
		}
		if !clock.Sleep(ctx, time.Duration((0.5+e.cfg.Rand())*float64(executeRetryDelay))) {
			return state.Result{}, modelErr
		}
	}
}

// recordEnd records the end of a claim. It waits for the commit until the deadline, but for at least
// 1 s; after that it goes on in the background, since the outcome is known and doesn't change.
func (e *Entry) recordEnd(deadline time.Time, c state.FinishKey) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	committed := make(chan struct{})
	e.addInFlight()
	go func() {
		defer e.releaseInFlight()
		defer cancel()
		defer close(committed)
		if _, err := e.executeWithRetry(ctx, c); err != nil {
			e.cfg.Logger.Log("event", "key_end_not_recorded", "team", c.ID.Team, "claim", c.Claim, "state", c.State, "err", err)
		}
	}()
	t := time.NewTimer(max(time.Second, deadline.Sub(e.cfg.Clock.Now())))
	defer t.Stop()
	select {
	case <-committed:
	case <-t.C:
	}
}

// releaseClaim releases, in the background, a claim that may still be committed although no request
// was sent for it.
func (e *Entry) releaseClaim(k model.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	e.addInFlight()
	go func() {
		defer e.releaseInFlight()
		defer cancel()
		res, err := e.executeWithRetry(ctx, state.ClaimKey{Key: k})
		if err != nil || !res.Claimed {
			return
		}
		if _, err := e.executeWithRetry(ctx, state.FinishKey{ID: k.ID, Claim: k.Claim, State: model.KeyNotRun}); err != nil {
			e.cfg.Logger.Log("event", "unused_claim_not_released", "team", k.ID.Team, "claim", k.Claim, "err", err)
		}
	}()
}
