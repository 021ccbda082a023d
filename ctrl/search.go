package ctrl

import (
	"context"
	"sync"
	"time"
)

const (
	// searchInterval is the least time between two rounds of the search for the leader.
	searchInterval = 50 * time.Millisecond
	// searchTimeout bounds a round; instances that have not answered by then count as silent.
	searchTimeout = 300 * time.Millisecond
	// hearsayDelay is how long a round goes on after a peer has named another instance as the leader, as the leader
	// may have changed and may answer itself.
	hearsayDelay = 30 * time.Millisecond
)

// leaderSearch asks the control peers which of them leads. All callers of an
// instance share one search, and each round asks all peers at once: a machine that
// is down delays nobody, and many callers cost no more than one.
type leaderSearch struct {
	mu    sync.Mutex
	round *searchRound // in progress or the last one, nil before the first
}

// searchRound is one question to all control peers.
type searchRound struct {
	startedAt time.Time
	done      chan struct{}     // closed when a leader is known or the round has ended
	once      sync.Once         // closes done
	mu        sync.Mutex        // guards leaders
	leaders   map[string]string // the leader that each peer named, by the peer's name
}

// searchLeader takes part in a round, and returns what it has found when a leader
// is known or all peers have answered.
func (n *Node) searchLeader(ctx context.Context) map[string]string {
	r, err := n.joinRound(ctx)
	if err != nil {
		return nil
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make(map[string]string, len(r.leaders))
	for peer, leader := range r.leaders {
		found[peer] = leader
	}
	return found
}

// joinRound returns the round in progress, or starts one, not before searchInterval after the last.
func (n *Node) joinRound(ctx context.Context) (*searchRound, error) {
	for {
		n.search.mu.Lock()
		r := n.search.round
		inProgress := r != nil && !r.ended()
		pause := time.Duration(0)
		if r != nil {
			pause = searchInterval - time.Since(r.startedAt)
		}
		if !inProgress && pause <= 0 {
			r = n.startRound()
			n.search.round = r
		}
		n.search.mu.Unlock()
		if inProgress || pause <= 0 {
			return r, nil
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, ctx.Err() //nolint:wrapcheck // callers check for nil only.
		}
	}
}

func (r *searchRound) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *searchRound) end() { r.once.Do(func() { close(r.done) }) }

// startRound asks all control peers.
func (n *Node) startRound() *searchRound {
	ctx, cancel := context.WithTimeout(n.ctx, searchTimeout)
	r := &searchRound{startedAt: time.Now(), done: make(chan struct{}), leaders: map[string]string{}}
	var wg sync.WaitGroup
	for _, p := range n.controlPeers() {
		wg.Go(func() {
			switch n.askForLeader(ctx, r, p) {
			case "":
			case p.Name:
				r.end()
			default:
				time.AfterFunc(hearsayDelay, r.end)
			}
		})
	}
	go func() {
		wg.Wait()
		cancel()
		r.end()
	}()
	return r
}

// askForLeader asks one peer and returns the leader that it names, empty if it names none but this instance.
func (n *Node) askForLeader(ctx context.Context, r *searchRound, p Peer) string {
	answer := n.identify(ctx, p)
	if answer == nil {
		return ""
	}
	n.learnMembers(answer.GetMembers(), answer.GetMembersIndex())
	name := answer.GetLeader()
	if name == "" || name == n.cfg.Name {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaders[p.Name] = name
	return name
}

// findLeader returns the leader that peers name; one that names itself is preferred,
// as the others may know an earlier one.
func (n *Node) findLeader(ctx context.Context) (Peer, bool) {
	leader := ""
	for peer, name := range n.searchLeader(ctx) {
		if leader == "" || peer == name {
			leader = name
		}
	}
	p, ok := n.peerNamed(leader)
	if ok {
		n.setLeaderName(p.Name)
	}
	return p, ok
}

// findRelay returns an instance that still knows the leader with a name.
func (n *Node) findRelay(ctx context.Context, leader string) (Peer, bool) {
	for peer, name := range n.searchLeader(ctx) {
		if name == leader && peer != leader {
			return n.peerNamed(peer)
		}
	}
	return Peer{}, false
}
