package sched

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"turmericroute/model"
)

// Leader reaches the leader; package ctrl implements it.
type Leader interface {
	// WhileLeading runs f if this instance leads, and confirms afterwards that it still does.
	WhileLeading(ctx context.Context, f func(ctx context.Context) error) error
	// Call hands an encoded call to the leader until ctx ends.
	Call(ctx context.Context, request []byte) ([]byte, error)
	// Leaderless reports whether no leader was reached for longer than an election takes.
	Leaderless() bool
}

// leaderlessWait bounds an operator's wait where there was no leader for long. It is enough for one attempt.
const leaderlessWait = 300 * time.Millisecond

// Client makes calls from any instance.
type Client struct {
	leader Leader
	// local answers calls on an instance that leads itself; nil on instances that never do.
	local *Scheduler
}

// NewClient returns a client; local is nil on instances without the control role.
func NewClient(l Leader, local *Scheduler) *Client { return &Client{leader: l, local: local} }

// Call makes a call; the error is a *model.Error, whose outcome is unknown when the call may have had an effect.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
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
		if e := model.AsError(err); e.Code != model.CodeNoLeader {
			return Answer{}, e
		}
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
		return Answer{}, model.AsError(err)
	}
	// The answer that the local scheduler gave before it lost the lead must not show through: decoding
	// into it would keep its values wherever the new one omits a field.
	var a Answer
	if err := json.Unmarshal(response, &a); err != nil {
		return Answer{}, model.Unknown(model.CodeInternal, "decode answer: %v", err)
	}
	return a, nil
}

// sentCall is a call on its way to the leader. The document of a catalog goes as text: it compresses well, as bytes it
// would be base64, which does not.
type sentCall struct {
	Call
	Document string `json:"document,omitempty"`
}

func encodeCall(c Call) ([]byte, error) {
	sent := sentCall{Call: c}
	if c.Declare != nil && utf8.Valid(c.Declare.Source) {
		bare := *c.Declare
		sent.Document, bare.Source = string(bare.Source), nil
		sent.Declare = &bare
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
