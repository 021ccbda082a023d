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
		for _, one := range list {
			if one.ID == id {
				return one, true
			}
		}
	}
	return Member{}, false
}

// WithLearner returns the membership with one as a learner.
func (m Membership) WithLearner(one Member) Membership {
	out := m.Without(one.ID)
	out.Learners = append(out.Learners, one)
	return out
}

// WithVoter returns the membership with one as a voter.
func (m Membership) WithVoter(one Member) Membership {
	out := m.Without(one.ID)
	out.Voters = append(out.Voters, one)
	return out
}

// Without returns the membership without the member of the given ID.
func (m Membership) Without(id string) Membership {
	is := func(one Member) bool { return one.ID == id }
	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), is),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), is),
	}
}

// Equal reports whether both list the same members in the same order.
func (m Membership) Equal(o Membership) bool {
	return slices.Equal(m.Voters, o.Voters) && slices.Equal(m.Learners, o.Learners)
}

// Validate refuses a membership without voters or with an ID that is empty or listed twice.
func (m Membership) Validate() error {
	if len(m.Voters) == 0 {
		return fmt.Errorf("%w: no voters", ErrInvalidMembership)
	}
	seen := map[string]bool{}
	for _, list := range [][]Member{m.Voters, m.Learners} {
		for _, one := range list {
			if one.ID == "" {
				return fmt.Errorf("%w: member %q has no ID", ErrInvalidMembership, one.Name)
			}
			if seen[one.ID] {
				return fmt.Errorf("%w: ID %q is listed twice", ErrInvalidMembership, one.ID)
			}
			seen[one.ID] = true
		}
	}
	return nil
}

// EncodeMembership returns an entry, without index and term, that holds m.
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

// changedVoters counts the voters that are in only one of a and b.
func changedVoters(a, b Membership) int {
	n := 0
	for _, one := range a.Voters {
		if !b.IsVoter(one.ID) {
			n++
		}
	}
	for _, one := range b.Voters {
		if !a.IsVoter(one.ID) {
			n++
		}
	}
	return n
}

func hasID(list []Member, id string) bool {
	return slices.ContainsFunc(list, func(one Member) bool { return one.ID == id })
}
