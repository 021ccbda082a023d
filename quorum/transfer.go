package quorum

import "fmt"

// TransferLeadership asks another voter to take over once it has the whole
// log. Until then proposals are refused. If the voter does not have the log
// within the minimum election timeout, the leader goes on; if it was told to
// campaign and does not win in that time, the leader steps down.
func (n *Node) TransferLeadership(to string) error {
	if err := n.checkPropose(); err != nil {
		return fmt.Errorf("transfer leadership: %w", err)
	}
	if to == n.id || !n.log.membership().membership.IsVoter(to) {
		return fmt.Errorf("transfer leadership to %q: %w", to, ErrNotVoter)
	}
	n.leaderState.transferee = to
	n.leaderState.transferAt = n.now
	n.maybeSendTimeoutNow(to, n.leaderState.progress[to])
	return nil
}

// maybeSendTimeoutNow tells the transferee to campaign once it has the whole log.
// The lease is given up for the rest of the term: the voters ignore it in that
// election, and the message may arrive at any time.
func (n *Node) maybeSendTimeoutNow(id string, p *progress) {
	if n.leaderState.transferee != id || n.leaderState.timeoutNowSent || p.match != n.log.last() {
		return
	}
	n.leaderState.timeoutNowSent = true
	n.send(Message{Kind: MessageTimeoutNow, To: id})
}

// tickTransfer ends a transfer that takes too long and reports whether the term ended.
func (n *Node) tickTransfer() bool {
	if n.leaderState.transferee == "" || n.now-n.leaderState.transferAt < uint64(n.cfg.ElectionTicks) {
		return false
	}
	if n.leaderState.timeoutNowSent {
		n.becomeFollower(n.term, "")
		return true
	}
	n.leaderState.transferee = ""
	return false
}
