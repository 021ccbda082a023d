package quorum

import "fmt"

// TransferLeadership transfers leadership to another voter once that voter has
// the whole log. During the transfer, proposals return ErrTransferring. If the
// voter does not have the log within the minimum election timeout, the transfer
// is cancelled; if it was told to campaign but does not win within that time,
// the leader steps down.
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

// maybeSendTimeoutNow tells the transferee to campaign once it has the whole
// log. The leader then gives up its lease for the rest of the term, since voters
// ignore the lease in that election and the message may arrive at any time.
func (n *Node) maybeSendTimeoutNow(id string, p *progress) {
	if n.leaderState.transferee != id || n.leaderState.timeoutNowSent || p.match != n.log.last() {
		return
	}
	n.leaderState.timeoutNowSent = true
	n.send(Message{Kind: MessageTimeoutNow, To: id})
}

// tickTransfer ends a transfer that has timed out and reports whether this
// member stepped down.
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
