package quorum

// progressState is how the leader sends appends to one member.
type progressState int

const (
	// stateProbe sends one append at a time until the logs are known to match.
	stateProbe progressState = iota
	// stateReplicate sends appends without waiting for answers.
	stateReplicate
	// stateSnapshot sends nothing until the snapshot is answered.
	stateSnapshot
)

// maxInflight bounds the appends that are sent to a member and not answered.
const maxInflight = 32

// progress is what the leader knows of another member's log.
type progress struct {
	match uint64 // last index known to be synced there and equal to the leader's
	next  uint64 // next index to send
	state progressState

	paused        bool     // probe: an append is not answered
	inflight      []uint64 // replicate: last indexes of the appends that are not answered
	snapshotIndex uint64   // snapshot: its index
	snapshotAt    uint64   // snapshot: tick at which it was sent

	sentRound  uint64 // round in which entries were last sent
	sentCommit uint64 // commit index last sent
	ackedRound uint64 // last round answered
	replied    bool
	repliedAt  uint64 // tick of the last answer
}

// becomeProbe goes back to one append at a time; a paused one waits for an answer first.
func (p *progress) becomeProbe(paused bool) {
	p.state = stateProbe
	p.paused = paused
	p.inflight = nil
	p.next = p.match + 1
}

// advance records that the member's log matches up to index.
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

// handleHeartbeatReply finds lost appends: transports keep the order, so an
// append that is older than an answered heartbeat and not answered was lost.
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
