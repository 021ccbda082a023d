package quorum

// progressState determines how the leader sends appends to a member.
type progressState int

const (
	// stateProbe sends one append at a time until a common entry is found.
	stateProbe progressState = iota
	// stateReplicate sends appends without waiting for replies.
	stateReplicate
	// stateSnapshot sends no appends until the member replies to the snapshot.
	stateSnapshot
)

// maxInflight is the maximum number of unacknowledged appends to a member.
const maxInflight = 32

// progress is the leader's view of another member's log.
type progress struct {
	match uint64 // last index known to be synced there and to match the leader's log
	next  uint64 // next index to send
	state progressState

	paused        bool     // stateProbe: an append is unacknowledged
	inflight      []uint64 // stateReplicate: last index of each unacknowledged append
	snapshotIndex uint64   // stateSnapshot: index of the snapshot
	snapshotAt    uint64   // stateSnapshot: tick at which the snapshot was sent

	sentRound  uint64 // round in which entries were last sent
	sentCommit uint64 // commit index last sent
	ackedRound uint64 // last round acknowledged
	replied    bool   // the member has replied in this term
	repliedAt  uint64 // tick of the last reply, without pauses of the leader
}

// becomeProbe switches to stateProbe; if paused, no append is sent before the next reply.
func (p *progress) becomeProbe(paused bool) {
	p.state = stateProbe
	p.paused = paused
	p.inflight = nil
	p.next = p.match + 1
}

// advance records that the member's log matches the leader's up to index.
func (p *progress) advance(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if p.state == stateProbe || p.state == stateSnapshot && p.match >= p.snapshotIndex {
		p.state = stateReplicate
		p.paused = false
		p.next = p.match + 1
	}
}

// handleHeartbeatReply detects lost appends. Transports preserve the order, so an
// append that was sent before an acknowledged heartbeat and is itself
// unacknowledged was lost. Replies that may overtake acknowledgements don't count.
func (p *progress) handleHeartbeatReply(round uint64) {
	if round <= p.sentRound {
		return
	}
	switch p.state {
	case stateProbe:
		p.paused = false
	case stateReplicate:
		if p.next > p.match+1 {
			p.becomeProbe(false)
		}
	}
}
