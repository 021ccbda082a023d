package quorum

import "fmt"

// TransferLeadership asks another voter to take over once it has the whole
// log. Until then proposals are refused. If the voter does not have the log
// within the minimum election timeout, the leader goes on; if it was told to
// campaign and does not win in that time, the leader steps down.
func (n *Node) TransferLeadership(to string) error {
	if err := n.mayPropose(); err != nil {
		return fmt.Errorf("transfer leadership: %w", err)
	}
	if to == n.id || !n.log.membership().membership.IsVoter(to) {
		return fmt.Errorf("transfer leadership to %q: %w", to, ErrNotVoter)
	}
	n.lead.transferee = to
	n.lead.transferAt = n.now
	n.maybeHandOver(to, n.lead.members[to])
	return nil
}

// maybeHandOver tells the transferee to campaign once it has the whole log.
// The lease is given up for the rest of the term: the voters ignore it in that
// election, and the message may arrive at any time.
func (n *Node) maybeHandOver(id string, p *progress) {
	if n.lead.transferee != id || n.lead.handedOver || p.match != n.log.last() {
		return
	}
	n.lead.handedOver = true
	n.send(Message{Kind: MessageTimeoutNow, To: id})
}

// tickTransfer ends a transfer that takes too long and reports whether the term ended.
func (n *Node) tickTransfer() bool {
	if n.lead.transferee == "" || n.now-n.lead.transferAt < uint64(n.cfg.ElectionTicks) {
		return false
	}
	if n.lead.handedOver {
		n.becomeFollower(n.term, "")
		return true
	}
	n.lead.transferee = ""
	return false
}
