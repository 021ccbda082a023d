package sched

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"turmericroute/model"
)

// Leader gives access to the leader; package ctrl implements it.
type Leader interface {
	// WhileLeading runs f if this instance leads, and then confirms that it still does.
	WhileLeading(ctx context.Context, f func(ctx context.Context) error) error
	// Call sends an encoded call to the leader, and searches for the leader until ctx ends.
	Call(ctx context.Context, request []byte) ([]byte, error)
	// Leaderless reports whether no leader has been reachable for longer than an election takes.
	Leaderless() bool
}

// leaderlessWait bounds an operator's call while Leaderless; it is long enough for one attempt.
const leaderlessWait = 300 * time.Millisecond

// Client sends calls to the leader from any instance.
type Client struct {
	leader Leader
	// local answers calls while this instance leads; nil on instances without the control role.
	local *Scheduler
}

// NewClient returns a client; local is nil on instances without the control role.
func NewClient(l Leader, local *Scheduler) *Client { return &Client{leader: l, local: local} }

// Call sends a call to the leader and returns its answer. The error is a *model.Error; its outcome is unknown if the
// call may have taken effect.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	send := c.send
	if call.Outage != nil {
		send = c.sendStamped // nothing else orders outages among each other
	}
	a, err := send(ctx, call)
	if err == nil {
		return a, nil
	}
	e := model.AsError(err)
	if call.readOnly() && e.Outcome == model.OutcomeUnknown {
		e = model.NotRun(e.Code, "%s", e.Message) // a read has no effect that could be in doubt
	}
	return Answer{}, e
}

func (c *Client) send(ctx context.Context, call Call) (Answer, error) {
	maybeExecuted := false
	if c.local != nil {
		var a Answer
		err := c.leader.WhileLeading(ctx, func(ctx context.Context) error {
			var err error
			a, err = c.local.Answer(ctx, call)
			return err
		})
		if err == nil {
			return a, nil
		}
		e := model.AsError(err)
		if e.Code != model.CodeNoLeader {
			return Answer{}, e
		}
		maybeExecuted = e.Outcome == model.OutcomeUnknown
	}
	request, err := encodeCall(call)
	if err != nil {
		return Answer{}, model.NotRun(model.CodeInvalid, "%v", err)
	}
	if call.fromOperator() && c.leader.Leaderless() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, leaderlessWait)
		defer cancel()
	}
	response, err := c.leader.Call(ctx, request)
	if err != nil {
		return Answer{}, model.AsError(err).InDoubtIf(maybeExecuted)
	}
	// Decode into a fresh Answer: a may hold what the local scheduler answered before it lost leadership, and decoding
	// keeps old values wherever the new answer omits a field.
	var a Answer
	if err := json.Unmarshal(response, &a); err != nil {
		return Answer{}, model.Unknown(model.CodeInternal, "decode answer: %v", err)
	}
	return a, nil
}

// sentCall is the encoding of a call. The document of a catalog is sent as text, since the base64 encoding of bytes
// compresses badly.
type sentCall struct {
	Call
	Document string `json:"document,omitempty"`
}

func encodeCall(c Call) ([]byte, error) {
	sent := sentCall{Call: c}
	if c.Declare != nil && utf8.Valid(c.Declare.Source) {
		catalog := *c.Declare
		sent.Document, catalog.Source = string(catalog.Source), nil
		sent.Declare = &catalog
	}
	data, err := json.Marshal(sent)
	if err != nil {
		return nil, fmt.Errorf("encode call: %w", err)
	}
	return data, nil
}

func decodeCall(data []byte) (Call, error) {
	var sent sentCall
	if err := json.Unmarshal(data, &sent); err != nil {
		return Call{}, fmt.Errorf("decode call: %w", err)
	}
	if sent.Declare != nil && sent.Document != "" {
		sent.Declare.Source = []byte(sent.Document)
	}
	return sent.Call, nil
}
