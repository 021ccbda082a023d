package ctrl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/store"
	"turmericroute/wire"
)

// bootState is how a control instance comes to its membership.
type bootState struct {
	mu sync.Mutex
	id string
	// dataLost disks held files before that were lost or damaged: they never form a new cluster.
	dataLost   bool
	membership *quorum.Membership
}

func (b *bootState) set(rec store.Recovered) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.id, b.dataLost, b.membership = rec.ID, rec.PutAside, rec.Membership
}

func (b *bootState) get() (id string, tainted bool, m *quorum.Membership) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id, b.dataLost, b.membership
}

// adoptMembership syncs a membership unless there is one, and reports whether it is the one in force here.
func (n *Node) adoptMembership(m quorum.Membership) (bool, error) {
	n.boot.mu.Lock()
	defer n.boot.mu.Unlock()
	if n.boot.membership != nil {
		return n.boot.membership.Equal(m), nil
	}
	if err := n.store.SaveMembership(m); err != nil {
		return false, fmt.Errorf("save membership: %w", err)
	}
	n.boot.membership = &m
	return true, nil
}

// bootstrap finds a membership and starts to take part: one that names this
// disk, else one that it is added to, else a new one of disks that are all fresh.
func (n *Node) bootstrap() {
	for n.ctx.Err() == nil {
		if _, _, m := n.boot.get(); m != nil {
			n.recovered.Membership = m
			if err := n.startMember(); err != nil {
				n.cfg.Logger.Log("event", "member_failed", "err", err)
				close(n.failed)
			}
			return
		}
		if err := n.findMembership(n.ctx); err != nil {
			n.cfg.Logger.Log("event", "bootstrap_waits", "err", err)
		}
		if _, _, m := n.boot.get(); m == nil {
			clock.Sleep(n.ctx, bootstrapInterval)
		}
	}
}

func (n *Node) findMembership(ctx context.Context) error {
	id, tainted, _ := n.boot.get()
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
	for i, a := range answers {
		if a.GetMembership() != nil {
			return n.join(ctx, id, a.GetLeader(), peers[i])
		}
		n.learnMembers(a.GetMembers())
	}
	if !n.cfg.Bootstrap || tainted || !n.isSeed() {
		return fmt.Errorf("no control peer has a membership")
	}
	fresh, err := freshSeeds(n.seedPeers(), answers)
	if err != nil {
		return err
	}
	return n.formCluster(ctx, id, fresh)
}

// freshSeeds returns the members that the seeds with a disk would be; the error says that not all are known to be
// fresh. A seed without a disk forms nothing, which all instances see alike.
func freshSeeds(seeds []Peer, answers []*wire.IdentifyResponse) ([]quorum.Member, error) {
	var fresh []quorum.Member
	disks := 0
	for _, p := range seeds {
		at := slices.IndexFunc(answers, func(a *wire.IdentifyResponse) bool { return a.GetName() == p.Name })
		if at >= 0 && answers[at].GetId() == "" {
			continue
		}
		disks++
		if at >= 0 && answers[at].GetFresh() {
			fresh = append(fresh, quorum.Member{Name: p.Name, ID: answers[at].GetId(), Address: p.Address})
		}
	}
	if len(fresh) < disks {
		return nil, fmt.Errorf("%d of %d control peers are known to be fresh", len(fresh), disks)
	}
	return fresh, nil
}

// identifyPeers asks all peers at once; an answer is nil where a peer gave none.
func (n *Node) identifyPeers(ctx context.Context, peers []Peer) []*wire.IdentifyResponse {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	answers := make([]*wire.IdentifyResponse, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() {
			conn := n.links.get(p.Address).waitConn(ctx)
			if conn == nil {
				return
			}
			resp, err := wire.NewControlClient(conn).Identify(ctx, &wire.IdentifyRequest{Members: n.knownMembers()})
			if err == nil && resp.GetName() == p.Name {
				answers[i] = resp
			}
		})
	}
	wg.Wait()
	return answers
}

// formCluster makes the initial membership if this instance has the lowest name. It
// starts itself only after all others have synced the membership; if it fails
// between, the next round finds the membership at one of them.
func (n *Node) formCluster(ctx context.Context, id string, peers []quorum.Member) error {
	m := quorum.Membership{Voters: []quorum.Member{{Name: n.cfg.Name, ID: id, Address: n.cfg.Address}}}
	for _, p := range peers {
		if p.Name < n.cfg.Name {
			return fmt.Errorf("%s forms the membership", p.Name)
		}
		m.Voters = append(m.Voters, p)
	}
	slices.SortFunc(m.Voters, func(a, b quorum.Member) int { return strings.Compare(a.Name, b.Name) })
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
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
			return fmt.Errorf("form membership: %s has another one", p.Name)
		}
	}
	n.cfg.Logger.Log("event", "cluster_formed", "voters", len(m.Voters))
	_, err := n.adoptMembership(m)
	return err
}

// join asks the leader, or the peer that has a membership, to be added as a learner.
func (n *Node) join(ctx context.Context, id, leader string, p Peer) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if known, ok := n.peerNamed(leader); ok {
		p = known
	}
	conn := n.links.get(p.Address).waitConn(ctx)
	if conn == nil {
		return fmt.Errorf("join: %s cannot be reached", p.Name)
	}
	self := quorum.Member{Name: n.cfg.Name, ID: id, Address: n.cfg.Address}
	resp, err := wire.NewControlClient(conn).Join(ctx, &wire.JoinRequest{Member: memberToWire(self)})
	switch {
	case err != nil:
		return fmt.Errorf("join at %s: %w", p.Name, err)
	case resp.GetFailure() != nil:
		return fmt.Errorf("join at %s: %w", p.Name, failureFromWire(resp.GetFailure()))
	case resp.GetNotLeader():
		return fmt.Errorf("join: %s does not lead", p.Name)
	}
	n.cfg.Logger.Log("event", "cluster_joined", "id", id, "leader", p.Name)
	_, err = n.adoptMembership(membershipFromWire(resp.GetMembership()))
	return err
}

// addLearner adds a fresh control instance as a learner, on the leader. A
// learner of the same name with another identity gives way.
func (n *Node) addLearner(ctx context.Context, one quorum.Member) (quorum.Membership, *model.Error) {
	if !n.mayJoin(one) {
		return quorum.Membership{}, model.NotRun(model.CodeInvalid, "%q is not a control instance of this deployment", one.Name)
	}
	o, ok := n.leadership.current()
	m := n.member.Load()
	if !ok || m == nil {
		return quorum.Membership{}, notLeaderError()
	}
	s := m.status.Load()
	if _, ok := s.Membership.Find(one.ID); ok {
		return s.Membership, nil
	}
	next := s.Membership
	for _, l := range s.Membership.Learners {
		if l.Name == one.Name {
			next = next.Without(l.ID)
		}
	}
	next = next.WithLearner(one)
	out := m.submit(ctx, &proposal{membership: &next, term: o.term})
	n.cfg.Logger.Log("event", "learner_added", "name", one.Name, "id", one.ID, "err", asError(out.err))
	return next, out.err
}
