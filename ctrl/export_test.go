package ctrl

import "turmericroute/quorum"

// Voters returns the voters that an instance knows.
func Voters(n *Node) []quorum.Member { return n.member.Load().status.Load().Membership.Voters }
