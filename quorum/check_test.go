package quorum_test

import (
	"slices"

	"turmericroute/quorum"
)

// position identifies an entry; it must determine the entry and all that precede it.
type position struct{ index, term uint64 }

// checker verifies the safety properties across all members.
type checker struct {
	fail           func(string, ...any)
	leaders        map[uint64]string            // ID of the leader by term
	votes          map[uint64]map[string]string // ID of the candidate by term and voter
	voters         map[string]bool              // members that are voters in any membership
	prevTerms      map[position]uint64          // term of the previous entry
	data           map[position]string          // kind and data of an entry
	states         map[uint64]uint64            // state of the state machine by applied index
	hostCommits    map[string]uint64            // last known commit index by member
	commit         position                     // highest committed entry of any member
	committedTerms map[uint64]uint64            // terms of committed entries by index
	lostDisks      map[string]*disk             // content of lost disks by member
	leaseReads     int                          // number of reads that a lease allowed
}

func newChecker(fail func(string, ...any)) checker {
	return checker{
		fail: fail, leaders: map[uint64]string{}, votes: map[uint64]map[string]string{},
		prevTerms: map[position]uint64{}, data: map[position]string{}, states: map[uint64]uint64{},
		voters: map[string]bool{}, hostCommits: map[string]uint64{}, committedTerms: map[uint64]uint64{}, lostDisks: map[string]*disk{},
	}
}

// checkReady guards against logs that hold the same entry after different
// entries: the consistency check of appends relies on the log matching property.
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
			c.fail("%s returns entry %d after a gap", h.id, e.Index)
		}
		data := string(rune(e.Kind)) + string(e.Data)
		if old, ok := c.data[at]; ok && (old != data || c.prevTerms[at] != prev) {
			c.fail("%s: entry %+v differs between logs", h.id, at)
		}
		c.data[at], c.prevTerms[at] = data, prev
	}
}

// checkMessage guards against votes by learners and against two votes of a member in a term.
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
		c.fail("%s is not a voter and sends %+v", h.id, m)
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

// checkApplied guards against members that apply different entries at the same index.
func (c *checker) checkApplied(h *host) {
	if old, ok := c.states[h.applied]; ok && old != h.state {
		c.fail("%s has a different state at index %d", h.id, h.applied)
	}
	c.states[h.applied] = h.state
}

// check verifies the properties that hold after every event.
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
		if s.Commit > c.hostCommits[h.id] {
			c.checkCommit(w, h, s)
		}
		c.hostCommits[h.id] = s.Commit
	}
	c.checkLease(w)
}

// checkLeader guards against two leaders in a term and against a leader that
// lacks committed entries, which would then be lost.
func (c *checker) checkLeader(h *host, s quorum.Status) {
	if old, ok := c.leaders[s.Term]; ok {
		if old != h.id {
			c.fail("%s and %s lead term %d", old, h.id, s.Term)
		}
		return
	}
	c.leaders[s.Term] = h.id
	for index := c.commit.index; index > 0 && index >= s.First; index-- {
		if term, ok := h.logTerm(index); !ok || term != c.committedTerms[index] {
			c.fail("leader %s of term %d lacks committed entry %d", h.id, s.Term, index)
		}
	}
}

// logTerm returns the term of an entry that is on the disk or being synced.
func (h *host) logTerm(index uint64) (uint64, bool) {
	d := disk{snap: h.disk.snap, entries: slices.Clone(h.disk.entries)}
	if h.pending != nil {
		d.save(*h.pending)
	}
	return d.term(index)
}

// checkCommit guards against the commit of an entry that no majority of the
// voters has synced, for example by counting learners or the leader's unsynced log.
func (c *checker) checkCommit(w *network, h *host, s quorum.Status) {
	if s.Commit <= c.commit.index {
		return
	}
	if c.leaders[s.Term] != h.id { // not the current role: a removed leader steps down as it commits
		c.fail("%s commits entry %d before the leader", h.id, s.Commit)
	}
	at, synced := position{s.Commit, s.Term}, 0
	for _, v := range s.Membership.Voters {
		d := c.lostDisks[v.ID]
		for _, other := range w.hosts {
			if other.id == v.ID {
				d = &other.disk
			}
		}
		if d != nil && d.holds(at) {
			synced++
		}
	}
	if synced <= len(s.Membership.Voters)/2 {
		c.fail("%s commits %+v, which only %d of %d voters have synced", h.id, at, synced, len(s.Membership.Voters))
	}
	for p := at; p.index > c.commit.index; p = (position{p.index - 1, c.prevTerms[p]}) {
		c.committedTerms[p.index] = p.term
	}
	c.commit = at
}

// holds reports whether the disk holds the entry at the given position, or a snapshot that covers it.
func (d *disk) holds(at position) bool {
	if d.snap != nil && d.snap.Index >= at.index {
		return true
	}
	term, ok := d.term(at.index)
	return ok && term == at.term
}

// checkLease guards against two lease holders, and against stale reads on a
// partitioned leader while another leader commits entries.
func (c *checker) checkLease(w *network) {
	holder := ""
	for _, h := range w.hosts {
		// A suspended process receives the missed ticks before it serves a read.
		if h.node == nil || h.stalledUntil > w.now {
			continue
		}
		if h.node.Status().Lease {
			if holder != "" {
				c.fail("%s and %s hold a lease", holder, h.id)
			}
			holder = h.id
		}
		if index, ok := h.node.ReadIndex(); ok {
			c.leaseReads++
			if index < c.commit.index {
				c.fail("%s reads at index %d after a commit at index %d", h.id, index, c.commit.index)
			}
		}
	}
}
