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
	// recordTimeout bounds how long the end of a claim is tried to be recorded; an election
	// takes under 2 s.
	recordTimeout = 15 * time.Second
	// executeRetryDelay is the mean delay before a command is tried again.
	executeRetryDelay = 50 * time.Millisecond
)

// serveKeyed serves a non-idempotent request: claim, send, record, reply.
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

// sendClaimed sends the request of a claim that is held and records how it ended before the reply.
func (e *Entry) sendClaimed(ctx context.Context, cancel func(), s *service, q *request, claim model.Key) result {
	end := state.FinishKey{ID: claim.ID, Claim: claim.Claim}
	a, ferr := s.forward(ctx, q)
	if ferr == nil {
		if err := a.bufferRest(); err != nil {
			ferr = model.Unknown(model.CodeUpstreamFailed, "the answer was cut: %v", err)
		}
	}
	if ferr != nil {
		cancel()
		end.State = model.KeyUnknown
		if ferr.Outcome == model.OutcomeNotRun {
			end.State = model.KeyNotRun
		}
		e.recordEnd(q.deadline, end)
		return result{err: ferr}
	}
	end.State, end.Answer = keyStateOf(a.outcome), answerToRecord(a)
	if a.rest == nil {
		cancel()
		e.recordEnd(q.deadline, end)
		return result{response: a}
	}
	return result{response: a, onWritten: func(err error) {
		cancel()
		if err != nil {
			end.State, end.Answer = model.KeyUnknown, nil
		}
		e.recordEnd(e.cfg.Clock.Now(), end)
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

// answerToRecord returns the form of a done answer that is kept for resends.
func answerToRecord(a *response) *model.Answer {
	if a.outcome != model.OutcomeDone {
		return nil
	}
	if a.rest != nil || len(a.body) > SmallResponseBytes {
		return &model.Answer{Status: a.status, Truncated: true}
	}
	return &model.Answer{Status: a.status, Header: a.header, Body: a.body}
}

// replay answers a resend from the record of its key.
func (e *Entry) replay(q *request, k model.Key) result {
	switch {
	case k.Hash != q.hash:
		return result{err: model.NotRun(model.CodeKeyConflict, "the key was used with another request")}
	case k.State == model.KeyDone && k.Answer != nil && k.Answer.Truncated:
		return result{err: &model.Error{Code: model.CodeAnswerNotKept, Outcome: model.OutcomeDone, Message: "the request was carried out and its answer is not kept"}}
	case k.State == model.KeyDone && k.Answer != nil:
		a := &response{status: k.Answer.Status, header: http.Header(k.Answer.Header).Clone(), outcome: model.OutcomeDone, body: k.Answer.Body}
		if a.header == nil {
			a.header = http.Header{}
		}
		a.noBody = q.method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified
		return result{response: a}
	case k.State == model.KeyClaimed && e.cfg.Clock.Now().UnixMilli() < k.DeadlineMS:
		return result{err: model.Unknown(model.CodeInProgress, "a request with this key is in progress")}
	default:
		return result{err: model.Unknown(model.CodeOutcomeUnknown, "it is not known whether the request with this key was carried out")}
	}
}

// executeWithRetry commits a command that can be applied twice, trying again until ctx ends.
func (e *Entry) executeWithRetry(ctx context.Context, c state.Command) (state.Result, *model.Error) {
	for {
		res, err := e.cfg.Replica.Execute(ctx, c)
		if err == nil {
			return res, nil
		}
		me := model.AsError(err)
		if ctx.Err() != nil || me.Code == model.CodeInvalid || me.Code == model.CodeTooLarge {
			return state.Result{}, me
		}
		if !clock.Sleep(ctx, time.Duration((0.5+e.cfg.Rand())*float64(executeRetryDelay))) {
			return state.Result{}, me
		}
	}
}

// recordEnd records the end of a claim. It returns when that is committed or the deadline has
// passed, and goes on in the background then: the answer is known and is still the true one.
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

// releaseClaim gives up, in the background, a claim that may still be committed and that nothing was sent for.
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
