package ctrl

import (
	"slices"

	"turmericroute/quorum"
)

// The voters are spread so that no data centre holds a majority of them: its loss
// would stop all commits, and with its disks committed entries would be gone.

// votersIn returns the number of voters in the data centre of a member; one whose data centre is unknown is in none.
func votersIn(m quorum.Membership, member quorum.Member) int {
	n := 0
	for _, v := range m.Voters {
		if v.DataCentre != "" && v.DataCentre == member.DataCentre {
			n++
		}
	}
	return n
}

// largestShare returns the number of voters in the data centre that has most of them.
func largestShare(m quorum.Membership) int {
	n := 0
	for _, v := range m.Voters {
		n = max(n, votersIn(m, v))
	}
	return n
}

// isCrowded reports whether a data centre holds a majority of the voters.
func isCrowded(m quorum.Membership) bool { return largestShare(m) > len(m.Voters)/2 }

// worsensSpread reports whether a data centre holds a majority of the next voters, while none does now, or none holds
// as many.
func worsensSpread(current, next quorum.Membership) bool {
	return isCrowded(next) && (!isCrowded(current) || largestShare(next) > largestShare(current))
}

// bestSpread returns the learner whose data centre has the fewest voters, false if there is no learner.
func bestSpread(m quorum.Membership, learners []quorum.Member) (quorum.Member, bool) {
	if len(learners) == 0 {
		return quorum.Member{}, false
	}
	return slices.MinFunc(learners, func(a, b quorum.Member) int { return votersIn(m, a) - votersIn(m, b) }), true
}

// crowdedVoter returns a voter that the leader may demote because its data centre holds at least half of the voters.
func crowdedVoter(s quorum.Status) (quorum.Member, bool) {
	for _, v := range s.Membership.Voters {
		if n := votersIn(s.Membership, v); v.ID != s.ID && n > 1 && 2*n >= len(s.Membership.Voters) {
			return v, true
		}
	}
	return quorum.Member{}, false
}

// surplusVoter returns the voter that the leader demotes when there are too many: the latest one of a data centre that has
// most of them, false if the spread gets worse without any.
func surplusVoter(s quorum.Status) (best quorum.Member, ok bool) {
	for _, v := range slices.Backward(s.Membership.Voters) {
		if v.ID == s.ID || worsensSpread(s.Membership, s.Membership.WithLearner(v)) {
			continue
		}
		if !ok || votersIn(s.Membership, v) > votersIn(s.Membership, best) {
			best, ok = v, true
		}
	}
	return best, ok
}

// improvesSpread reports whether a data centre holds a majority of the voters, and fewer of them once one is demoted in
// favour of the voter that is added.
func improvesSpread(s quorum.Status, larger quorum.Membership) bool {
	v, ok := crowdedVoter(s)
	return ok && isCrowded(s.Membership) && largestShare(larger.Without(v.ID)) < largestShare(s.Membership)
}

// without returns the members except one.
func without(members []quorum.Member, m quorum.Member) []quorum.Member {
	return slices.DeleteFunc(slices.Clone(members), func(o quorum.Member) bool { return o.ID == m.ID })
}
