package ctrl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/store"
	"turmericroute/wire"
)

// bootstrapState holds the identity and the initial membership of a control instance.
type bootstrapState struct {
	mu sync.Mutex
	// id is the ID of the data folder, or the one that replaces it if it is damaged.
	id string
	// dataLost is set if earlier files on this disk were lost or damaged; such a disk never forms a new cluster.
	dataLost   bool
	membership *quorum.Membership
}

func (b *bootstrapState) set(rec store.Recovered) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.id, b.dataLost, b.membership = rec.ID, rec.Quarantined, rec.Membership
}

func (b *bootstrapState) get() (id string, dataLost bool, m *quorum.Membership) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id, b.dataLost, b.membership
}

// id returns the ID of this disk, empty without the control role.
func (n *Node) id() string {
	id, _, _ := n.bootstrapState.get()
	return id
}

// adoptMembership persists m unless this instance already has a membership, and
// reports whether m is now its membership. A damaged data folder is replaced: that m
// names the new ID shows that a majority works without the old one.
func (n *Node) adoptMembership(m quorum.Membership) (bool, error) {
	n.bootstrapState.mu.Lock()
	defer n.bootstrapState.mu.Unlock()
	if n.bootstrapState.membership != nil {
		return n.bootstrapState.membership.Equal(m), nil
	}
	if err := n.replaceDamaged(n.bootstrapState.id); err != nil {
		return false, err
	}
	if err := n.store.SaveMembership(m); err != nil {
		return false, fmt.Errorf("save membership: %w", err)
	}
	n.bootstrapState.membership = &m
	return true, nil
}

// bootstrap obtains a membership and starts the member. In order of preference it
// uses a membership that includes this disk's ID, joins an existing cluster, or
// forms a new cluster from seeds whose disks are all fresh.
func (n *Node) bootstrap() {
	for n.ctx.Err() == nil {
		if _, _, m := n.bootstrapState.get(); m != nil {
			n.recovered.Membership = m
			if err := n.startMember(); err != nil {
				n.cfg.Logger.Log("event", "member_failed", "err", err)
				n.fail()
			}
			return
		}
		if err := n.findMembership(n.ctx); err != nil {
			n.cfg.Logger.Log("event", "bootstrap_waits", "err", err)
		}
		if _, _, m := n.bootstrapState.get(); m == nil {
			clock.Sleep(n.ctx, bootstrapInterval)
		}
	}
}

// findMembership makes one attempt to obtain a membership from the control peers.
func (n *Node) findMembership(ctx context.Context) error {
	id, dataLost, _ := n.bootstrapState.get()
	peers := n.controlPeers()
	answers := n.identifyPeers(ctx, peers)
	for _, a := range answers {
		if a == nil || a.GetMembership() == nil {
			continue
		}
		m := membershipFromWire(a.GetMembership())
		if _, ok := m.Find(id); ok {
			_, err := n.adoptMembership(m)
			return err
		}
	}
	for _, a := range answers {
		n.learnMembers(a.GetMembers(), a.GetMembersIndex())
	}
	if slices.ContainsFunc(answers, func(a *wire.IdentifyResponse) bool { return a.GetMembership() != nil }) {
		return n.joinAny(ctx, id, n.joinCandidates(peers, answers))
	}
	if !n.cfg.Bootstrap || dataLost || !n.isSeed() {
		return fmt.Errorf("no control peer has a membership")
	}
	fresh, err := freshSeeds(n.seedPeers(), answers)
	if err != nil {
		return err
	}
	return n.formCluster(ctx, id, fresh)
}

// freshSeeds returns the seeds that have a disk as members of a new cluster; it returns an error unless all are known
// to be fresh. A seed that replies without an ID has no disk and is ignored, which all instances decide alike.
func freshSeeds(seeds []Peer, answers []*wire.IdentifyResponse) ([]quorum.Member, error) {
	var fresh []quorum.Member
	withDisk := 0
	for _, p := range seeds {
		i := slices.IndexFunc(answers, func(a *wire.IdentifyResponse) bool { return a.GetName() == p.Name })
		if i >= 0 && answers[i].GetId() == "" {
			continue
		}
		withDisk++
		if i >= 0 && answers[i].GetFresh() {
			fresh = append(fresh, quorum.Member{Name: p.Name, ID: answers[i].GetId(), Address: p.Address, DataCentre: answers[i].GetDataCentre()})
		}
	}
	if len(fresh) < withDisk {
		return nil, fmt.Errorf("%d of %d control peers are known to be fresh", len(fresh), withDisk)
	}
	return fresh, nil
}

// identifyPeers queries all peers concurrently; see identify.
func (n *Node) identifyPeers(ctx context.Context, peers []Peer) []*wire.IdentifyResponse {
	answers := make([]*wire.IdentifyResponse, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { answers[i] = n.identify(ctx, p) })
	}
	wg.Wait()
	return answers
}

// identify queries a peer; the response is nil if the peer didn't reply within
// viewTimeout or replied under another name.
func (n *Node) identify(ctx context.Context, p Peer) *wire.IdentifyResponse {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	l := n.links.get(p.Address)
	conn := l.waitConn(ctx)
	if conn == nil {
		return nil
	}
	sentAt := time.Now()
	members, index := n.knownMembers()
	resp, err := wire.NewControlClient(conn).Identify(ctx, &wire.IdentifyRequest{Members: members, MembersIndex: index})
	if err != nil {
		if status.Code(err) == codes.DeadlineExceeded {
			l.callTimedOut(sentAt)
		}
		return nil
	}
	l.callAnswered()
	if resp.GetName() != p.Name {
		return nil
	}
	return resp
}

// formCluster creates the initial membership if this instance has the lowest name.
// It adopts the membership only after all others have persisted it; if it fails
// midway, the next attempt finds the membership at one of them.
func (n *Node) formCluster(ctx context.Context, id string, peers []quorum.Member) error {
	m := quorum.Membership{Voters: []quorum.Member{{Name: n.cfg.Name, ID: id, Address: n.cfg.Address, DataCentre: n.cfg.DataCentre}}}
	for _, p := range peers {
		if p.Name < n.cfg.Name {
			return fmt.Errorf("waiting for %s to form the membership", p.Name)
		}
		m.Voters = append(m.Voters, p)
	}
	slices.SortFunc(m.Voters, func(a, b quorum.Member) int { return strings.Compare(a.Name, b.Name) })
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	for _, p := range peers {
		conn := n.links.get(p.Address).waitConn(ctx)
		if conn == nil {
			return fmt.Errorf("form membership: %s cannot be reached", p.Name)
		}
		resp, err := wire.NewControlClient(conn).Form(ctx, &wire.FormRequest{Membership: membershipToWire(m)})
		if err != nil {
			return fmt.Errorf("form membership at %s: %w", p.Name, err)
		}
		if !resp.GetAccepted() {
			return fmt.Errorf("form membership: %s has a different one", p.Name)
		}
	}
	n.cfg.Logger.Log("event", "cluster_formed", "voters", len(m.Voters))
	_, err := n.adoptMembership(m)
	return err
}

// joinCandidates returns the instances that may admit this one: those that lead by their own answer, then those that
// members name as the leader.
func (n *Node) joinCandidates(peers []Peer, answers []*wire.IdentifyResponse) []Peer {
	var leading, named []Peer
	for i, a := range answers {
		leader, ok := n.peerNamed(a.GetLeader())
		switch {
		case a.GetMembership() == nil || !ok:
		case leader.Name == peers[i].Name:
			leading = append(leading, leader)
		case !slices.Contains(named, leader):
			named = append(named, leader)
		}
	}
	return append(leading, named...)
}

// joinAny asks the candidates in turn to add this instance as a learner.
func (n *Node) joinAny(ctx context.Context, id string, candidates []Peer) error {
	if len(candidates) == 0 {
		return errors.New("join: no member knows a leader")
	}
	var errs []error
	for _, p := range candidates {
		err := n.join(ctx, id, p)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// join asks p to add this instance as a learner.
func (n *Node) join(ctx context.Context, id string, p Peer) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn := n.links.get(p.Address).waitConn(ctx)
	if conn == nil {
		return fmt.Errorf("join: %s cannot be reached", p.Name)
	}
	self := quorum.Member{Name: n.cfg.Name, ID: id, Address: n.cfg.Address, DataCentre: n.cfg.DataCentre}
	resp, err := wire.NewControlClient(conn).Join(ctx, &wire.JoinRequest{Member: memberToWire(self)})
	switch {
	case err != nil:
		return fmt.Errorf("join at %s: %w", p.Name, err)
	case resp.GetFailure() != nil:
		return fmt.Errorf("join at %s: %w", p.Name, failureFromWire(resp.GetFailure()))
	case resp.GetNotLeader():
		return fmt.Errorf("join: %s is not the leader", p.Name)
	}
	n.cfg.Logger.Log("event", "cluster_joined", "id", id, "leader", p.Name)
	_, err = n.adoptMembership(membershipFromWire(resp.GetMembership()))
	return err
}

// addLearner adds a control instance as a learner, on the leader. It replaces a
// learner that has the same name but another ID. Other changes of the membership
// may come first; it tries again while this instance leads.
func (n *Node) addLearner(ctx context.Context, joining quorum.Member) (quorum.Membership, *model.Error) {
	if !n.mayJoin(joining) {
		return quorum.Membership{}, model.NotRun(model.CodeInvalid, "%q is not a control instance of this deployment", joining.Name)
	}
	for {
		session, ok := n.leadership.current()
		m := n.member.Load()
		if !ok || m == nil {
			return quorum.Membership{}, notLeaderError()
		}
		s := m.status.Load()
		current := s.Membership
		if _, ok := current.Find(joining.ID); ok {
			if !s.Pending {
				return current, nil
			}
			// An earlier attempt is not committed yet.
			if !clock.Sleep(ctx, retryDelay) {
				return quorum.Membership{}, model.Unknown(model.CodeDeadline, "membership was not committed in time")
			}
			continue
		}
		next := current
		for _, l := range current.Learners {
			if l.Name == joining.Name {
				next = next.Without(l.ID)
			}
		}
		next = next.WithLearner(joining)
		out := m.submit(ctx, &proposal{membership: &membershipChange{from: current, to: next}, term: session.term})
		if out.err != nil && out.err.Code == model.CodeUnavailable && out.err.Outcome == model.OutcomeNotRun && clock.Sleep(ctx, retryDelay) {
			continue
		}
		n.cfg.Logger.Log("event", "learner_added", "name", joining.Name, "id", joining.ID, "err", errorOrNil(out.err))
		return next, out.err
	}
}
