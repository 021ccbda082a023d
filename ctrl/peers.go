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
		for _, p := range *known {
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

// learnMembers stores the members that another instance reports; an empty list is ignored.
func (n *Node) learnMembers(members []*wire.Member) {
	if len(members) == 0 {
		return
	}
	list := make([]Peer, len(members))
	for i, m := range members {
		list[i] = Peer{Name: m.GetName(), Address: m.GetAddress(), Control: true}
	}
	if before := n.learnedMembers.Swap(&list); before == nil || !slices.Equal(*before, list) {
		n.cfg.Logger.Log("event", "members_learned", "members", joinNames(list))
	}
}

func joinNames(list []Peer) string {
	names := make([]string, len(list))
	for i, p := range list {
		names[i] = p.Name
	}
	return strings.Join(names, ",")
}

// knownMembers returns the members according to this instance's log, or those reported by other instances if it has none.
func (n *Node) knownMembers() []*wire.Member {
	peers := memberPeers(n.applier.membership())
	if known := n.learnedMembers.Load(); len(peers) == 0 && known != nil {
		peers = *known
	}
	list := make([]*wire.Member, len(peers))
	for i, p := range peers {
		list[i] = &wire.Member{Name: p.Name, Address: p.Address}
	}
	return list
}

// announceMembers sends the list of members to the seeds that are not members. Instances that know only these seeds,
// for instance after a restart of the whole deployment, find the members through them.
func (n *Node) announceMembers() {
	for clock.Sleep(n.ctx, announceInterval) {
		if n.member.Load() == nil {
			continue
		}
		members := memberPeers(n.applier.membership())
		others := slices.DeleteFunc(n.seedPeers(), func(p Peer) bool {
			return slices.ContainsFunc(members, func(m Peer) bool { return m.Name == p.Name })
		})
		n.identifyPeers(n.ctx, others)
	}
}

func memberPeers(m quorum.Membership) []Peer {
	var list []Peer
	for _, v := range slices.Concat(m.Voters, m.Learners) {
		list = append(list, Peer{Name: v.Name, Address: v.Address, Control: true})
	}
	return list
}
