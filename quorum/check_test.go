package quorum_test

import (
	"slices"

	"turmericroute/quorum"
)

// position names an entry by what must determine it and all before it.
type position struct{ index, term uint64 }

// checker holds what must be true across all members at all times.
type checker struct {
	fail    func(string, ...any)
	leaders map[uint64]string            // by term
	votes   map[uint64]map[string]string // by term and voter
	voters  map[string]bool              // members that any membership lists as voters
	before  map[position]uint64          // term of the entry before
	data    map[position]string
	applied map[uint64]uint64 // state after an index
	commits map[string]uint64 // last seen by host
	commit  position          // highest anywhere
	terms   map[uint64]uint64 // terms of committed entries by index
	lost    map[string]*disk  // what lost disks held
	leases  int               // events at which a lease was held
}

func newChecker(fail func(string, ...any)) checker {
	return checker{
		fail: fail, leaders: map[uint64]string{}, votes: map[uint64]map[string]string{},
		before: map[position]uint64{}, data: map[position]string{}, applied: map[uint64]uint64{},
		voters: map[string]bool{}, commits: map[string]uint64{}, terms: map[uint64]uint64{}, lost: map[string]*disk{},
	}
}

// checkReady guards against logs that differ before an equal entry, which
// would make the check of the previous entry in appends worthless.
func (c *checker) checkReady(h *host, r quorum.Ready) {
	for i, e := range r.Entries {
		at, prev, known := position{e.Index, e.Term}, uint64(0), true
		if i > 0 {
			prev = r.Entries[i-1].Term
		} else if r.Snapshot != nil && e.Index == r.Snapshot.Index+1 {
			prev = r.Snapshot.Term
		} else if e.Index > 1 {
			prev, known = h.disk.term(e.Index - 1)
		}
		if !known {
			c.fail("%s hands out entry %d after a gap", h.id, e.Index)
		}
		data := string(rune(e.Kind)) + string(e.Data)
		if old, ok := c.data[at]; ok && (old != data || c.before[at] != prev) {
			c.fail("%s: entry %+v differs between logs", h.id, at)
		}
		c.data[at], c.before[at] = data, prev
	}
}

// checkMessage guards against votes by learners and second votes in a term.
func (c *checker) checkMessage(h *host, m quorum.Message) {
	switch m.Kind {
	case quorum.MessageVote, quorum.MessagePreVote, quorum.MessageVoteReply, quorum.MessagePreVoteReply:
	default:
		return
	}
	if m.Reject {
		return
	}
	if !c.voters[h.id] {
		c.fail("%s is no voter and sends %+v", h.id, m)
	}
	if m.Kind == quorum.MessageVoteReply {
		if c.votes[m.Term] == nil {
			c.votes[m.Term] = map[string]string{}
		}
		if old, ok := c.votes[m.Term][h.id]; ok && old != m.To {
			c.fail("%s votes for %s and %s in term %d", h.id, old, m.To, m.Term)
		}
		c.votes[m.Term][h.id] = m.To
	}
}

// checkApplied guards against committed entries that change.
func (c *checker) checkApplied(h *host) {
	if old, ok := c.applied[h.applied]; ok && old != h.state {
		c.fail("%s has another state at %d", h.id, h.applied)
	}
	c.applied[h.applied] = h.state
}

// check guards the properties that hold between any two events.
func (c *checker) check(w *network) {
	for _, h := range w.hosts {
		if h.node == nil {
			continue
		}
		s := h.node.Status()
		for _, v := range s.Membership.Voters {
			c.voters[v.ID] = true
		}
		if s.Role == quorum.RoleLeader {
			c.checkLeader(h, s)
		}
		if s.Commit > c.commits[h.id] {
			c.checkCommit(w, h, s)
		}
		c.commits[h.id] = s.Commit
	}
	c.checkLease(w)
}

// checkLeader guards against two leaders in a term and leaders without
// committed entries, which would lose them.
func (c *checker) checkLeader(h *host, s quorum.Status) {
	if old, ok := c.leaders[s.Term]; ok {
		if old != h.id {
			c.fail("%s and %s lead term %d", old, h.id, s.Term)
		}
		return
	}
	c.leaders[s.Term] = h.id
	for index := c.commit.index; index > 0 && index >= s.First; index-- {
		if term, ok := h.logTerm(index); !ok || term != c.terms[index] {
			c.fail("leader %s of term %d lacks committed entry %d", h.id, s.Term, index)
		}
	}
}

// logTerm returns the term of an entry on the disk or about to be synced.
func (h *host) logTerm(index uint64) (uint64, bool) {
	d := disk{snap: h.disk.snap, entries: slices.Clone(h.disk.entries)}
	if h.pending != nil {
		d.save(*h.pending)
	}
	return d.term(index)
}

// checkCommit guards against a commit that too few voters have synced, for
// example one that counts learners or the unsynced log of the leader.
func (c *checker) checkCommit(w *network, h *host, s quorum.Status) {
	if s.Commit <= c.commit.index {
		return
	}
	if c.leaders[s.Term] != h.id { // a removed leader steps down as it commits
		c.fail("%s commits %d before a leader", h.id, s.Commit)
	}
	at, have := position{s.Commit, s.Term}, 0
	for _, v := range s.Membership.Voters {
		d := c.lost[v.ID]
		for _, other := range w.hosts {
			if other.id == v.ID {
				d = &other.disk
			}
		}
		if d != nil && d.holds(at) {
			have++
		}
	}
	if have <= len(s.Membership.Voters)/2 {
		c.fail("%s commits %+v that %d of %d voters have", h.id, at, have, len(s.Membership.Voters))
	}
	for p := at; p.index > c.commit.index; p = (position{p.index - 1, c.before[p]}) {
		c.terms[p.index] = p.term
	}
	c.commit = at
}

func (d *disk) holds(at position) bool {
	if d.snap != nil && d.snap.Index >= at.index {
		return true
	}
	term, ok := d.term(at.index)
	return ok && term == at.term
}

// checkLease guards against a read on a cut-off leader while another commits.
func (c *checker) checkLease(w *network) {
	holder := ""
	for _, h := range w.hosts {
		// A stopped process reads only after it has counted the ticks it missed.
		if h.node == nil || h.stalled > w.now {
			continue
		}
		if h.node.Status().Lease {
			if holder != "" {
				c.fail("%s and %s hold a lease", holder, h.id)
			}
			holder = h.id
		}
		if index, ok := h.node.ReadIndex(); ok {
			c.leases++
			if index < c.commit.index {
				c.fail("%s reads at %d after a commit at %d", h.id, index, c.commit.index)
			}
		}
	}
}
