package sched

import (
	"context"
	"time"

	"turmericroute/clock"
	"turmericroute/model"
)

// maxOrderAge is how old an order may be when the leader carries it out. Operators repeat an order at another instance
// after a second and then go on to the next one, which an older order must not undo.
const maxOrderAge = time.Second

// codeStaleOrder is the code of an order that is too old to be carried out.
const codeStaleOrder model.Code = "stale_order"

// Stamp is a time on the leader's boot clock. An instance asks for one when it receives an order and sends it along, so
// that the leader knows the age of the order however long it was under way.
type Stamp struct {
	Term   uint64 `json:"term"`
	BootMS int64  `json:"boot_ms"`
}

func (s *Scheduler) stamp(l *leaderState) *Stamp {
	return &Stamp{Term: l.term, BootMS: s.cfg.BootClock().Milliseconds()}
}

// checkStamp returns an error unless an order was stamped in this term and recently.
func (s *Scheduler) checkStamp(l *leaderState, st *Stamp) *model.Error {
	switch {
	case st == nil:
		return model.NotRun(codeStaleOrder, "the order has no stamp")
	case st.Term != l.term:
		return model.NotRun(codeStaleOrder, "the order was stamped in term %d, this is term %d", st.Term, l.term)
	}
	if age := s.cfg.BootClock() - time.Duration(st.BootMS)*time.Millisecond; age > maxOrderAge {
		return model.NotRun(codeStaleOrder, "the order was stamped %v ago", age.Round(time.Millisecond))
	}
	return nil
}

// sendStamped sends a call with a stamp. It takes another stamp if the leader changes, as long as the call is recent.
func (c *Client) sendStamped(ctx context.Context, call Call) (Answer, error) {
	received := clock.SinceBoot()
	for {
		a, err := c.send(ctx, Call{Ping: true})
		if err != nil {
			e := model.AsError(err)
			return Answer{}, model.NotRun(e.Code, "%s", e.Message) // the order was not sent
		}
		if age := clock.SinceBoot() - received; age > maxOrderAge {
			return Answer{}, model.NotRun(codeStaleOrder, "the order was received %v ago", age.Round(time.Millisecond))
		}
		call.Stamp = a.Stamp
		if a, err = c.send(ctx, call); err == nil || model.AsError(err).Code != codeStaleOrder {
			return a, err
		}
	}
}
