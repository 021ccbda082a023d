package ctrl

import (
	"slices"
	"strings"

	"turmericroute/clock"
	"turmericroute/quorum"
	"turmericroute/wire"
)

// SetSeeds replaces the configured peers; members known from the log or from other instances stay known.
func (n *Node) SetSeeds(peers []Peer) { n.seeds.Store(&peers) }

// seedPeers returns the configured control peers except this instance.
func (n *Node) seedPeers() []Peer {
	var list []Peer
	for _, p := range *n.seeds.Load() {
		if p.Control && p.Name != n.cfg.Name {
			list = append(list, p)
		}
	}
	return list
}

// isSeed reports whether this instance is among the configured peers; only seeds may form a cluster.
func (n *Node) isSeed() bool {
	return slices.ContainsFunc(*n.seeds.Load(), func(p Peer) bool { return p.Name == n.cfg.Name })
}

// controlPeers returns all known control instances except this one.
func (n *Node) controlPeers() []Peer {
	list := n.seedPeers()
	if !n.cfg.OpenMembership {
		return list
	}
	add := func(p Peer) {
		if p.Name != n.cfg.Name && !slices.ContainsFunc(list, func(o Peer) bool { return o.Name == p.Name }) {
			list = append(list, p)
		}
	}
	for _, p := range memberPeers(n.applier.membership()) {
		add(p)
	}
	if known := n.learnedMembers.Load(); known != nil {
		for _, p := range known.peers {
			add(p)
		}
	}
	return list
}

// peerNamed returns the control instance with the given name. With open membership a name is an address.
func (n *Node) peerNamed(name string) (Peer, bool) {
	if name == "" {
		return Peer{}, false
	}
	if n.cfg.OpenMembership {
		return Peer{Name: name, Address: name, Control: true}, true
	}
	for _, p := range append(n.controlPeers(), memberPeers(n.applier.membership())...) {
		if p.Name == name {
			return p, true
		}
	}
	return Peer{}, false
}

// mayJoin reports whether a control instance may join this deployment.
func (n *Node) mayJoin(joining quorum.Member) bool {
	if joining.ID == "" || joining.Name == "" {
		return false
	}
	return n.cfg.OpenMembership || slices.ContainsFunc(*n.seeds.Load(), func(p Peer) bool { return p.Name == joining.Name && p.Control })
}

// memberList is the members as of a log index.
type memberList struct {
	peers []Peer
	index uint64
}

// learnMembers stores the members that another instance reports as of a log index, unless newer ones are known; an
// empty list is ignored. Lists pass through instances that keep no log and may have been out of touch for long.
func (n *Node) learnMembers(members []*wire.Member, index uint64) {
	if len(members) == 0 {
		return
	}
	list := memberList{peers: make([]Peer, len(members)), index: index}
	for i, m := range members {
		list.peers[i] = Peer{Name: m.GetName(), Address: m.GetAddress(), Control: true}
	}
	for {
		before := n.learnedMembers.Load()
		if before != nil && index < before.index {
			return
		}
		if !n.learnedMembers.CompareAndSwap(before, &list) {
			continue
		}
		if before == nil || !slices.Equal(before.peers, list.peers) {
			n.cfg.Logger.Log("event", "members_learned", "members", joinNames(list.peers), "index", index)
		}
		return
	}
}

func joinNames(list []Peer) string {
	names := make([]string, len(list))
	for i, p := range list {
		names[i] = p.Name
	}
	return strings.Join(names, ",")
}

// knownMembers returns the newer ones of the members according to this instance's log and of those reported by others,
// and the log index at which they were in force.
func (n *Node) knownMembers() ([]*wire.Member, uint64) {
	// The index is read first, so that the members are never older than it says.
	index := n.machine.Applied()
	peers := memberPeers(n.applier.membership())
	if known := n.learnedMembers.Load(); known != nil && (len(peers) == 0 || known.index > index) {
		peers, index = known.peers, known.index
	}
	list := make([]*wire.Member, len(peers))
	for i, p := range peers {
		list[i] = &wire.Member{Name: p.Name, Address: p.Address}
	}
	return list, index
}

// announceMembers sends the list of members to instances that may not know them. They find the members through it even
// if all their own seeds are down.
func (n *Node) announceMembers() {
	interval := announceInterval
	if n.cfg.Stateless {
		interval = statelessAnnounceInterval
	}
	for clock.Sleep(n.ctx, interval) {
		if members, _ := n.knownMembers(); len(members) > 0 {
			n.identifyPeers(n.ctx, n.announceTargets())
		}
	}
}

// announceTargets returns the seeds that are no members and, on the leader, the members that don't reply: they may have
// lost their disks, and then know no member.
func (n *Node) announceTargets() []Peer {
	if n.cfg.Stateless {
		return n.seedPeers()
	}
	m := n.member.Load()
	if m == nil {
		return nil
	}
	s := m.status.Load()
	members := memberPeers(s.Membership)
	targets := slices.DeleteFunc(n.seedPeers(), func(p Peer) bool {
		return slices.ContainsFunc(members, func(m Peer) bool { return m.Name == p.Name })
	})
	for id, other := range s.Members {
		member, ok := s.Membership.Find(id)
		if !ok || id == s.ID || other.Active || slices.ContainsFunc(targets, func(p Peer) bool { return p.Name == member.Name }) {
			continue
		}
		targets = append(targets, Peer{Name: member.Name, Address: member.Address, Control: true})
	}
	return targets
}

func memberPeers(m quorum.Membership) []Peer {
	var list []Peer
	for _, v := range slices.Concat(m.Voters, m.Learners) {
		list = append(list, Peer{Name: v.Name, Address: v.Address, Control: true})
	}
	return list
}
