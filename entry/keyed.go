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
	// recordWithin bounds how long the end of a claim is tried to be recorded; an election
	// takes under 2 s.
	recordWithin = 15 * time.Second
	// executeRetryDelay is the mean delay before a command is tried again.
	executeRetryDelay = 50 * time.Millisecond
)

// keyed serves a non-idempotent request: claim, send, record, reply.
func (e *Entry) keyed(ctx context.Context, cancel func(), s *service, q *request) result {
	q.hash = q.hashRequest()
	id := model.KeyID{Team: q.team, Key: q.key}
	if k, ok := e.cfg.Replica.Machine().Key(id); ok && (k.State == model.KeyDone || k.Hash != q.hash) {
		cancel()
		q.lookedUp = true
		return e.replay(q, k)
	}
	if !s.admits(q) {
		cancel()
		return result{err: overloaded(s.name)}
	}
	claim := e.newClaim(q, id)
	res, err := e.execute(ctx, state.ClaimKey{Key: claim})
	if err != nil {
		cancel()
		e.release(claim)
		return result{err: err}
	}
	q.lookedUp = true
	switch {
	case res.Failure != nil:
		cancel()
		return result{err: res.Failure}
	case !res.Claimed:
		cancel()
		return e.replay(q, *res.Key)
	}
	return e.claimed(ctx, cancel, s, q, claim)
}

func (e *Entry) newClaim(q *request, id model.KeyID) model.Key {
	return model.Key{
		ID: id, Claim: newID(), Hash: q.hash, Entry: e.cfg.Name,
		CreatedMS: e.cfg.Clock.Now().UnixMilli(), DeadlineMS: q.deadline.UnixMilli(),
	}
}

// claimed sends the request of a claim that is held and records how it ended before the reply.
func (e *Entry) claimed(ctx context.Context, cancel func(), s *service, q *request, claim model.Key) result {
	end := state.FinishKey{ID: claim.ID, Claim: claim.Claim}
	a, ferr := s.forward(ctx, q)
	if ferr == nil {
		if err := a.hold(); err != nil {
			ferr = model.Unknown(model.CodeUpstreamFailed, "the answer was cut: %v", err)
		}
	}
	if ferr != nil {
		cancel()
		end.State = model.KeyUnknown
		if ferr.Outcome == model.OutcomeNotRun {
			end.State = model.KeyNotRun
		}
		e.record(q.deadline, end)
		return result{err: ferr}
	}
	end.State, end.Answer = stateOf(a.outcome), recorded(a)
	if a.rest == nil {
		cancel()
		e.record(q.deadline, end)
		return result{answer: a}
	}
	return result{answer: a, after: func(err error) {
		cancel()
		if err != nil {
			end.State, end.Answer = model.KeyUnknown, nil
		}
		e.record(e.cfg.Clock.Now(), end)
	}}
}

func stateOf(o model.Outcome) model.KeyState {
	switch o {
	case model.OutcomeDone:
		return model.KeyDone
	case model.OutcomeNotRun:
		return model.KeyNotRun
	default:
		return model.KeyUnknown
	}
}

// recorded returns the form of a done answer that is kept for resends.
func recorded(a *answer) *model.Answer {
	if a.outcome != model.OutcomeDone {
		return nil
	}
	if a.rest != nil || len(a.body) > SmallAnswerBytes {
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
		a := &answer{status: k.Answer.Status, header: http.Header(k.Answer.Header).Clone(), outcome: model.OutcomeDone, body: k.Answer.Body}
		if a.header == nil {
			a.header = http.Header{}
		}
		a.bodiless = q.method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified
		return result{answer: a}
	case k.State == model.KeyClaimed && e.cfg.Clock.Now().UnixMilli() < k.DeadlineMS:
		return result{err: model.Unknown(model.CodeInProgress, "a request with this key is in progress")}
	default:
		return result{err: model.Unknown(model.CodeOutcomeUnknown, "it is not known whether the request with this key was carried out")}
	}
}

// execute commits a command that can be applied twice, trying again until ctx ends.
func (e *Entry) execute(ctx context.Context, c state.Command) (state.Result, *model.Error) {
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

// record records the end of a claim. It returns when that is committed or the deadline has
// passed, and goes on in the background then: the answer is known and is still the true one.
func (e *Entry) record(deadline time.Time, c state.FinishKey) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWithin)
	committed := make(chan struct{})
	e.hold()
	go func() {
		defer e.end()
		defer cancel()
		defer close(committed)
		if _, err := e.execute(ctx, c); err != nil {
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

// release gives up, in the background, a claim that may still be committed and that nothing was sent for.
func (e *Entry) release(k model.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWithin)
	e.hold()
	go func() {
		defer e.end()
		defer cancel()
		res, err := e.execute(ctx, state.ClaimKey{Key: k})
		if err != nil || !res.Claimed {
			return
		}
		if _, err := e.execute(ctx, state.FinishKey{ID: k.ID, Claim: k.Claim, State: model.KeyNotRun}); err != nil {
			e.cfg.Logger.Log("event", "unused_claim_not_released", "team", k.ID.Team, "claim", k.Claim, "err", err)
		}
	}()
}
