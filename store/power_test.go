package store_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/quorum"
	"turmericroute/store"
)

// contents is what a store holds.
type contents struct {
	Index, Term uint64 // of the latest snapshot, zero for none
	Entries     []quorum.Entry
	HardState   quorum.HardState
}

func recovered(rec store.Recovered) contents {
	c := contents{HardState: rec.HardState, Entries: slices.Clip(rec.Entries)}
	if rec.Snapshot != nil {
		c.Index, c.Term = rec.Snapshot.Index, rec.Snapshot.Term
	}
	if len(c.Entries) == 0 {
		c.Entries = nil
	}
	return c
}

func (c contents) last() uint64 { return c.Index + uint64(len(c.Entries)) }

// withEntries replaces all entries from the first of the given ones on.
func (c contents) withEntries(list []quorum.Entry) contents {
	if len(list) > 0 {
		c.Entries = slices.Concat(c.Entries[:list[0].Index-c.Index-1], list)
	}
	return c
}

// withSnapshot keeps the entries after the snapshot if the log contains its last entry.
func (c contents) withSnapshot(index, term uint64) contents {
	kept := []quorum.Entry(nil)
	if n := index - c.Index; n < uint64(len(c.Entries)) && c.Entries[n-1].Term == term {
		kept = c.Entries[n:]
	}
	c.Index, c.Term, c.Entries = index, term, kept
	return c
}

// member uses a store as a member of a group does, and ends at random moments.
type member struct {
	disk  *disk
	rng   *rand.Rand
	store *store.Store
	id    string
	term  uint64
	holds contents
	// possible is what the store may hold if the process ends during the call in progress.
	possible []contents
}

func newMember(dir string, seed uint64) *member {
	rng := rand.New(rand.NewPCG(seed, 0))
	m := &member{disk: newDisk(dir, rng), rng: rng, term: 1}
	s, rec, err := m.disk.open()
	Expect(err).NotTo(HaveOccurred())
	m.store, m.id = s, rec.ID
	return m
}

// step makes one call.
func (m *member) step() {
	if m.disk.syncsLeft < 0 && m.rng.IntN(8) == 0 {
		m.disk.endAfter(m.rng.IntN(4), m.rng.IntN(3) > 0)
	}
	if m.rng.IntN(8) == 0 {
		m.disk.refuse = 1 + m.rng.IntN(3)
	}
	switch m.rng.IntN(12) {
	case 0:
		m.replace()
	case 1, 2:
		m.takeSnapshot()
	case 3:
		m.installSnapshot()
	case 4, 5:
		m.compact()
	default:
		m.save(m.holds.last() + 1)
	}
}

// call repeats f while the disk is full. The last of the possible contents holds after it.
func (m *member) call(possible []contents, f func() error) {
	m.possible = possible
	err := f()
	for errors.Is(err, store.ErrNoSpace) {
		err = f()
	}
	if errors.Is(err, errEnded) {
		Expect(m.store.Close()).To(Succeed())
		m.restart()
		return
	}
	Expect(err).NotTo(HaveOccurred())
	m.holds = possible[len(possible)-1]
}

// save saves some entries from an index on and mostly a hard state with them.
func (m *member) save(from uint64) {
	list := entries(from, from+m.rng.Uint64N(20), m.term)
	possible := []contents{m.holds}
	for n := range list {
		possible = append(possible, m.holds.withEntries(list[:n+1]))
	}
	after := possible[len(possible)-1]
	var hs *quorum.HardState
	if m.rng.IntN(3) > 0 {
		commit := max(after.HardState.Commit, after.Index)
		hs = &quorum.HardState{Term: m.term, Vote: "a", Commit: commit + m.rng.Uint64N(after.last()-commit+1)}
		after.HardState = *hs
	}
	m.call(append(possible, after), func() error { return m.store.Save(hs, list) })
}

// replace saves entries of a later term over some that are not committed.
func (m *member) replace() {
	m.term++
	from := max(m.holds.HardState.Commit, m.holds.Index) + 1
	m.save(from + m.rng.Uint64N(m.holds.last()-from+2))
}

func (m *member) takeSnapshot() {
	if m.holds.HardState.Commit <= m.holds.Index {
		return
	}
	n := m.upTo(m.holds.HardState.Commit - m.holds.Index)
	m.saveSnapshot(m.holds.Index+n, m.holds.Entries[n-1].Term)
}

// compact sometimes ends during the sync of the names that it has removed.
func (m *member) compact() {
	if m.disk.syncsLeft < 0 && m.rng.IntN(4) == 0 {
		m.disk.endAfter(0, true)
	}
	if m.holds.Index > 0 {
		index := m.upTo(m.holds.Index)
		m.call([]contents{m.holds}, func() error { return m.store.Compact(index) })
	}
}

// upTo draws a number from 1 to n, and n itself in half of the cases.
func (m *member) upTo(n uint64) uint64 {
	if m.rng.IntN(2) == 0 {
		return n
	}
	return 1 + m.rng.Uint64N(n)
}

// installSnapshot saves a snapshot whose last entry the log does not contain.
func (m *member) installSnapshot() {
	m.term++
	m.saveSnapshot(max(m.holds.HardState.Commit, m.holds.Index)+1+m.rng.Uint64N(20), m.term)
}

func (m *member) saveSnapshot(index, term uint64) {
	m.call([]contents{m.holds, m.holds.withSnapshot(index, term)}, func() error { return m.store.SaveSnapshot(snapshot(index, term)) })
}

// restart opens the folder, sometimes after an end of the process during that, and
// checks that it holds what it may hold.
func (m *member) restart() {
	for {
		m.disk.restart()
		if m.rng.IntN(2) == 0 {
			m.disk.endAfter(m.rng.IntN(4), m.rng.IntN(3) > 0)
		}
		s, rec, err := m.disk.open()
		if errors.Is(err, errEnded) {
			continue
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.Damage).NotTo(HaveOccurred())
		Expect(rec.ID).To(Equal(m.id))
		found := recovered(rec)
		Expect(m.possible).To(ContainElement(found), "%d possible contents", len(m.possible))
		m.store, m.holds, m.possible = s, found, nil
		return
	}
}

var _ = Describe("a loss of power", func() {
	// Guards against a start that relies on what a killed process has written and not synced.
	It("keeps what an earlier start has found", func() {
		for seed := range uint64(40) {
			m := newMember(GinkgoT().TempDir(), seed)
			Expect(m.store.Save(nil, entries(1, 10, 1))).To(Succeed())
			m.disk.endAfter(0, false)
			if seed%2 == 0 {
				Expect(m.store.Save(&quorum.HardState{Term: 1, Vote: "a"}, entries(11, 12, 1))).To(MatchError(errEnded))
			} else {
				Expect(m.store.SaveSnapshot(snapshot(10, 1))).To(MatchError(errEnded))
			}
			Expect(m.store.Close()).To(Succeed())
			var found contents
			for i := range 2 {
				m.disk.restart()
				s, rec, err := m.disk.open()
				Expect(err).NotTo(HaveOccurred())
				if i > 0 {
					Expect(recovered(rec)).To(Equal(found), "seed %d", seed)
				}
				found = recovered(rec)
				Expect(s.Close()).To(Succeed())
				m.disk.powerLost = true
				m.disk.end()
			}
		}
	})

	// Guards against removed files that stay undone until the next segment or snapshot, which may be far away.
	It("brings back nothing that a completed compaction has removed", func() {
		m := newMember(GinkgoT().TempDir(), 1)
		for i := uint64(1); i <= 60; i += 15 {
			Expect(m.store.Save(&quorum.HardState{Term: 1, Commit: i + 14}, entries(i, i+14, 1))).To(Succeed())
			Expect(m.store.SaveSnapshot(snapshot(i+14, 1))).To(Succeed())
		}
		Expect(m.store.Compact(60)).To(Succeed())
		Expect(m.store.Close()).To(Succeed())
		Expect(m.disk.names).To(Equal(m.disk.list()))
	})

	// Guards against a torn segment before the last one, which is damage, and against parts of an earlier write after a
	// torn one.
	It("finds what a refused write has left removed before the next write", func() {
		var synced []int64 // sizes of the last segment at its syncs
		var refused bool
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		s, _, err := store.Open(store.Config{
			Dir: dir,
			Sync: func(f *os.File) error {
				info, err := f.Stat()
				if err == nil && !info.IsDir() {
					synced = append(synced, info.Size())
				}
				return errors.Join(err, f.Sync())
			},
			Write: func(f *os.File, b []byte) (int, error) {
				if refused {
					n, err := f.Write(b[:len(b)/2])
					return n, errors.Join(err, syscall.ENOSPC)
				}
				return f.Write(b)
			},
		})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		Expect(s.Save(nil, entries(1, 9, 1))).To(Succeed())
		whole := synced[len(synced)-1]
		refused = true
		Expect(s.Save(nil, entries(10, 19, 1))).To(MatchError(store.ErrNoSpace))
		refused, synced = false, nil
		Expect(s.Save(nil, entries(10, 19, 1))).To(Succeed())
		Expect(synced).To(HaveLen(2))
		Expect(synced[0]).To(Equal(whole))
	})

	// Guards against a damaged folder that seems to be a new one, or its old identity without its files, when its files
	// were moved away only in part.
	It("leaves a discarded folder damaged or with a new identity", func() {
		for seed := range uint64(200) {
			By(fmt.Sprintf("seed %d", seed))
			m := newMember(GinkgoT().TempDir(), seed)
			damaged := "identity"
			if seed%2 == 0 {
				Expect(m.store.Save(nil, entries(1, 60, 1))).To(Succeed())
				Expect(m.store.SaveSnapshot(snapshot(30, 1))).To(Succeed())
				damaged = ".snap"
			}
			Expect(m.store.Close()).To(Succeed())
			flipBit(files(m.disk.path, damaged)[0], 14)
			m.disk.settle()
			for range 3 {
				m.disk.restart()
				s, rec, err := m.disk.open()
				if errors.Is(err, errEnded) {
					continue
				}
				Expect(err).NotTo(HaveOccurred())
				if rec.Damage == nil {
					Expect(rec.ID).NotTo(Equal(m.id))
					Expect(rec.Quarantined).To(BeTrue())
					Expect(recovered(rec)).To(BeZero())
				}
				m.disk.endAfter(m.rng.IntN(6), true)
				if err := s.Discard(); err != nil {
					Expect(err).To(MatchError(errEnded))
				}
			}
		}
	})
	// Guards against names whose change was not synced, of segments that were removed above all, that come back in any
	// mix: their gaps were taken for damage, and stale entries for the log.
	It("keeps what was saved and appears as no damage, whatever it undoes of what was not synced", func() {
		for seed := range uint64(40) {
			By(fmt.Sprintf("seed %d", seed))
			m := newMember(GinkgoT().TempDir(), seed)
			for range 120 {
				m.step()
			}
			Expect(m.store.Close()).To(Succeed())
		}
	})
})

// openCopy opens a copy of a data folder without one of its files.
func openCopy(dir, without string) store.Recovered {
	to := filepath.Join(GinkgoT().TempDir(), "copy")
	Expect(os.CopyFS(to, os.DirFS(dir))).To(Succeed())
	Expect(os.Remove(filepath.Join(to, without))).To(Succeed())
	s, rec := open(to)
	Expect(s.Close()).To(Succeed())
	return rec
}

// removedSegments lets a store remove segments and returns their paths and contents.
func removedSegments(s *store.Store, dir string, index uint64) map[string][]byte {
	removed := map[string][]byte{}
	for _, path := range files(dir, ".seg") {
		b, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		removed[path] = b
	}
	Expect(s.Compact(index)).To(Succeed())
	for _, path := range files(dir, ".seg") {
		delete(removed, path)
	}
	return removed
}

var _ = DescribeTable("removed segments that come back",
	// Guards against gaps between them that are taken for damage, and against a stale one that seems to be continued by
	// the log and ends with another entry than the snapshot: the whole log was dropped then.
	func(removedCount int, prepare func(s *store.Store)) {
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		s, _ := open(dir)
		prepare(s)
		Expect(s.SaveSnapshot(snapshot(60, 2))).To(Succeed())
		Expect(s.Save(&quorum.HardState{Term: 2, Commit: 60}, entries(61, 64, 2))).To(Succeed())
		removed := removedSegments(s, dir, 60)
		Expect(removed).To(HaveLen(removedCount))
		Expect(s.Close()).To(Succeed())
		paths := slices.Sorted(maps.Keys(removed))
		for mix := range 1 << len(paths) {
			for i, path := range paths {
				Expect(os.RemoveAll(path)).To(Succeed())
				if mix&(1<<i) != 0 {
					Expect(os.WriteFile(path, removed[path], 0o600)).To(Succeed())
				}
			}
			s, rec := open(dir)
			Expect(rec.Damage).NotTo(HaveOccurred(), "mix %b", mix)
			Expect(rec.Entries).To(Equal(entries(61, 64, 2)), "mix %b", mix)
			Expect(s.Close()).To(Succeed())
		}
	},
	Entry("of a log that was only appended to", 4, func(s *store.Store) {
		for i := uint64(1); i <= 60; i += 15 {
			Expect(s.Save(&quorum.HardState{Term: 2, Commit: i}, entries(i, i+14, 2))).To(Succeed())
		}
	}),
	Entry("whose entries were replaced", 4, func(s *store.Store) {
		Expect(s.Save(nil, entries(1, 40, 1))).To(Succeed())
		Expect(s.Save(nil, entries(20, 45, 2))).To(Succeed())
		Expect(s.Save(nil, entries(30, 58, 2))).To(Succeed())
		Expect(s.Save(nil, entries(25, 60, 2))).To(Succeed())
	}),
	Entry("from before a received snapshot", 2, func(s *store.Store) {
		Expect(s.Save(nil, entries(1, 60, 1))).To(Succeed())
		Expect(s.SaveSnapshot(snapshot(40, 2))).To(Succeed())
		Expect(s.Save(nil, entries(41, 60, 2))).To(Succeed())
	}),
)

var _ = Describe("a missing file", func() {
	// Guards against a tolerance of gaps that hides the loss of a file with entries that the snapshot does not cover.
	It("is damage unless the log is whole without it", func() {
		found := 0
		for seed := range uint64(20) {
			By(fmt.Sprintf("seed %d", seed))
			m := newMember(GinkgoT().TempDir(), seed)
			for range 60 {
				m.step()
			}
			Expect(m.store.Close()).To(Succeed())
			segments, snapshots := files(m.disk.path, ".seg"), files(m.disk.path, ".snap")
			for _, path := range slices.Concat(segments[:max(len(segments)-1, 0)], snapshots) {
				rec := openCopy(m.disk.path, filepath.Base(path))
				if rec.Damage != nil {
					found++
					continue
				}
				c := recovered(rec)
				Expect(c.last()).To(Equal(m.holds.last()), "without %s", path)
				Expect(c.HardState).To(Equal(m.holds.HardState))
			}
		}
		Expect(found).To(BeNumerically(">", 20))
	})
})
