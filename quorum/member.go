package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
)

// IsVoter reports whether id is the ID of a voter.
func (m Membership) IsVoter(id string) bool {
	return hasID(m.Voters, id)
}

// IsLearner reports whether id is the ID of a learner.
func (m Membership) IsLearner(id string) bool {
	return hasID(m.Learners, id)
}

// Find returns the voter or learner with the given ID.
func (m Membership) Find(id string) (Member, bool) {
	for _, list := range [][]Member{m.Voters, m.Learners} {
		for _, member := range list {
			if member.ID == id {
				return member, true
			}
		}
	}
	return Member{}, false
}

// WithLearner returns a copy of m in which member is a learner.
func (m Membership) WithLearner(member Member) Membership {
	out := m.Without(member.ID)
	out.Learners = append(out.Learners, member)
	return out
}

// WithVoter returns a copy of m in which member is a voter.
func (m Membership) WithVoter(member Member) Membership {
	out := m.Without(member.ID)
	out.Voters = append(out.Voters, member)
	return out
}

// Without returns a copy of m without the member that has the given ID.
func (m Membership) Without(id string) Membership {
	matches := func(member Member) bool { return member.ID == id }
	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), matches),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), matches),
	}
}

// Equal reports whether m and o list the same members in the same order.
func (m Membership) Equal(o Membership) bool {
	return slices.Equal(m.Voters, o.Voters) && slices.Equal(m.Learners, o.Learners)
}

// Validate returns an ErrInvalidMembership for a membership without voters or with an empty or duplicate ID.
func (m Membership) Validate() error {
	if len(m.Voters) == 0 {
		return fmt.Errorf("%w: no voters", ErrInvalidMembership)
	}
	seen := map[string]bool{}
	for _, list := range [][]Member{m.Voters, m.Learners} {
		for _, member := range list {
			if member.ID == "" {
				return fmt.Errorf("%w: member %q has no ID", ErrInvalidMembership, member.Name)
			}
			if seen[member.ID] {
				return fmt.Errorf("%w: ID %q is listed twice", ErrInvalidMembership, member.ID)
			}
			seen[member.ID] = true
		}
	}
	return nil
}

// EncodeMembership returns an entry that holds m; its index and term are not set.
func EncodeMembership(m Membership) (Entry, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return Entry{}, fmt.Errorf("encode membership: %w", err)
	}
	return Entry{Kind: EntryMembership, Data: data}, nil
}

// DecodeMembership returns the membership that e holds.
func DecodeMembership(e Entry) (Membership, error) {
	if e.Kind != EntryMembership {
		return Membership{}, fmt.Errorf("%w: entry %d is not a membership", ErrMalformed, e.Index)
	}
	var m Membership
	if err := json.Unmarshal(e.Data, &m); err != nil {
		return Membership{}, fmt.Errorf("decode membership of entry %d: %w", e.Index, err)
	}
	if err := m.Validate(); err != nil {
		return Membership{}, fmt.Errorf("entry %d: %w", e.Index, err)
	}
	return m, nil
}

// changedVoters returns the number of voters that are in only one of a and b.
func changedVoters(a, b Membership) int {
	n := 0
	for _, member := range a.Voters {
		if !b.IsVoter(member.ID) {
			n++
		}
	}
	for _, member := range b.Voters {
		if !a.IsVoter(member.ID) {
			n++
		}
	}
	return n
}

func hasID(list []Member, id string) bool {
	return slices.ContainsFunc(list, func(member Member) bool { return member.ID == id })
}
