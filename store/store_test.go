package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/quorum"
	"turmericroute/store"
)

// entries returns commands of a term for a range of indexes, inclusive.
func entries(from, to, term uint64) []quorum.Entry {
	var list []quorum.Entry
	for i := from; i <= to; i++ {
		list = append(list, quorum.Entry{Index: i, Term: term, Kind: quorum.EntryCommand, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return list
}

// open opens a store with small segments.
func open(dir string) (*store.Store, store.Recovered) {
	s, rec, err := store.Open(store.Config{Dir: dir, SegmentBytes: 512})
	Expect(err).NotTo(HaveOccurred())
	return s, rec
}

func reopen(s *store.Store, dir string) (*store.Store, store.Recovered) {
	Expect(s.Close()).To(Succeed())
	return open(dir)
}

func files(dir, suffix string) []string {
	names, err := filepath.Glob(filepath.Join(dir, "*"+suffix))
	Expect(err).NotTo(HaveOccurred())
	return names
}

func snapshot(index, term uint64) quorum.Snapshot {
	return quorum.Snapshot{
		Index: index, Term: term, Data: []byte("state"),
		Membership: quorum.Membership{Voters: []quorum.Member{{Name: "a", ID: "1", Address: "127.0.0.1:1"}}},
	}
}

var _ = Describe("Store", func() {
	var dir string
	BeforeEach(func() { dir = filepath.Join(GinkgoT().TempDir(), "data") })

	It("recovers what was saved in several segments", func() {
		s, rec := open(dir)
		Expect(rec.Membership).To(BeNil())
		id := rec.ID
		Expect(s.SaveMembership(snapshot(1, 1).Membership)).To(Succeed())
		hs := quorum.HardState{Term: 2, Vote: "b", Commit: 17}
		for i := uint64(1); i <= 40; i++ {
			Expect(s.Save(nil, entries(i, i, 1))).To(Succeed())
		}
		Expect(s.Save(&hs, entries(18, 30, 2))).To(Succeed())
		Expect(files(dir, ".seg")).To(HaveLen(4))
		s, rec = reopen(s, dir)
		defer s.Close()
		Expect(rec.Damage).NotTo(HaveOccurred())
		Expect(rec.ID).To(Equal(id))
		Expect(rec.HardState).To(Equal(hs))
		Expect(rec.Entries).To(Equal(append(entries(1, 17, 1), entries(18, 30, 2)...)))
		Expect(rec.Membership.Voters).To(HaveLen(1))
	})

	It("does not open a data folder that is in use", func() {
		s, _ := open(dir)
		defer s.Close()
		_, _, err := store.Open(store.Config{Dir: dir})
		Expect(err).To(MatchError(ContainSubstring("in use by another process")))
	})

	It("rejects entries that leave a gap", func() {
		s, _ := open(dir)
		defer s.Close()
		Expect(s.Save(nil, entries(2, 3, 1))).To(MatchError(ContainSubstring("do not fit")))
		Expect(s.Save(nil, slices.Concat(entries(1, 1, 1), entries(3, 3, 1)))).To(MatchError(ContainSubstring("follows")))
	})

	It("bounds its size by compaction and recovers from the snapshot and the entries after it", func() {
		s, _ := open(dir)
		for i := uint64(1); i <= 200; i++ {
			Expect(s.Save(&quorum.HardState{Term: 1, Commit: i}, entries(i, i, 1))).To(Succeed())
			if i%20 == 0 {
				Expect(s.SaveSnapshot(snapshot(i, 1))).To(Succeed())
				Expect(s.Compact(i - 5)).To(Succeed())
			}
		}
		Expect(len(files(dir, ".seg"))).To(BeNumerically("<=", 3))
		Expect(files(dir, ".snap")).To(HaveLen(1))
		Expect(s.Save(nil, entries(201, 203, 1))).To(Succeed())
		s, rec := reopen(s, dir)
		defer s.Close()
		Expect(rec.Damage).NotTo(HaveOccurred())
		Expect(*rec.Snapshot).To(Equal(snapshot(200, 1)))
		Expect(rec.Entries).To(Equal(entries(201, 203, 1)))
		Expect(rec.HardState.Commit).To(Equal(uint64(200)))
	})

	It("keeps the entries after a snapshot when the log is compacted exactly to it", func() {
		s, _ := open(dir)
		Expect(s.Save(nil, entries(1, 20, 1))).To(Succeed())
		Expect(s.Save(nil, entries(21, 22, 1))).To(Succeed())
		Expect(s.SaveSnapshot(snapshot(20, 1))).To(Succeed())
		Expect(s.Compact(20)).To(Succeed())
		Expect(files(dir, ".seg")).To(HaveLen(1))
		s, rec := reopen(s, dir)
		defer s.Close()
		Expect(rec.Entries).To(Equal(entries(21, 22, 1)))
	})

	// Guards against recovering entries of the old log, or dropping new ones, after a snapshot was installed.
	DescribeTable("resets the log after an installed snapshot",
		func(last, index uint64) {
			s, _ := open(dir)
			Expect(s.Save(nil, entries(1, last, 1))).To(Succeed())
			Expect(s.SaveSnapshot(snapshot(index, 2))).To(Succeed())
			s, rec := reopen(s, dir)
			Expect(rec.Damage).NotTo(HaveOccurred())
			Expect(rec.Entries).To(BeEmpty())
			Expect(s.Save(nil, entries(index+1, index+2, 2))).To(Succeed())
			s, rec = reopen(s, dir)
			defer s.Close()
			Expect(rec.Damage).NotTo(HaveOccurred())
			Expect(rec.Entries).To(Equal(entries(index+1, index+2, 2)))
		},
		Entry("within the old log", uint64(20), uint64(10)),
		Entry("at the end of the old log", uint64(10), uint64(10)),
		Entry("after the old log", uint64(5), uint64(10)),
	)

	It("resets the log when the process crashed between the snapshot and the log reset record", func() {
		s, _ := open(dir)
		Expect(s.Save(nil, entries(1, 20, 1))).To(Succeed())
		log := files(dir, ".seg")[0]
		before, err := os.ReadFile(log)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.SaveSnapshot(snapshot(10, 2))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		for _, f := range files(dir, ".seg")[1:] {
			Expect(os.Remove(f)).To(Succeed())
		}
		Expect(os.WriteFile(log, before, 0o600)).To(Succeed())
		s, rec := open(dir)
		Expect(rec.Entries).To(BeEmpty())
		Expect(s.Save(nil, entries(11, 12, 2))).To(Succeed())
		s, rec = reopen(s, dir)
		defer s.Close()
		Expect(rec.Damage).NotTo(HaveOccurred())
		Expect(rec.Entries).To(Equal(entries(11, 12, 2)))
	})

	It("quarantines the files of a damaged folder and starts with a new identity", func() {
		s, rec := open(dir)
		id := rec.ID
		Expect(s.Save(nil, entries(1, 9, 1))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		flipBit(files(dir, ".seg")[0], 100)
		s, rec = open(dir)
		Expect(rec.Damage).To(HaveOccurred())
		Expect(s.Discard()).To(Succeed())
		s, rec = open(dir)
		defer s.Close()
		Expect(rec.Damage).NotTo(HaveOccurred())
		Expect(rec.ID).NotTo(Equal(id))
		Expect(rec.Entries).To(BeEmpty())
		Expect(rec.Quarantined).To(BeTrue())
	})

	It("generates a new identity when the identity file is lost, and ignores the other files", func() {
		s, rec := open(dir)
		Expect(s.Save(&quorum.HardState{Term: 3}, entries(1, 9, 1))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		Expect(os.Remove(filepath.Join(dir, "identity"))).To(Succeed())
		s, again := open(dir)
		defer s.Close()
		Expect(again.ID).NotTo(Equal(rec.ID))
		Expect(again.Entries).To(BeEmpty())
		Expect(again.HardState).To(BeZero())
	})
})

var _ = Describe("failures", func() {
	var dir string
	BeforeEach(func() { dir = filepath.Join(GinkgoT().TempDir(), "data") })

	// Guards against treating a crash during a write as damage, and against losing synced records in it.
	It("truncates a write that was torn at any byte", func() {
		s, _ := open(dir)
		Expect(s.Save(&quorum.HardState{Term: 1, Commit: 2}, entries(1, 3, 1))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		log := files(dir, ".seg")[0]
		synced, err := os.ReadFile(log)
		Expect(err).NotTo(HaveOccurred())
		s, _ = open(dir)
		Expect(s.Save(&quorum.HardState{Term: 2, Vote: "c", Commit: 3}, entries(4, 6, 2))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		full, err := os.ReadFile(log)
		Expect(err).NotTo(HaveOccurred())
		for n := len(synced); n < len(full); n++ {
			for _, filler := range []int{0, len(full) - n} {
				// The file ends after the torn write, or is filled with zeros that were allocated but never written.
				Expect(os.WriteFile(log, append(slices.Clone(full[:n]), make([]byte, filler)...), 0o600)).To(Succeed())
				s, rec := open(dir)
				Expect(rec.Damage).NotTo(HaveOccurred(), "cut at %d", n)
				Expect(len(rec.Entries)).To(BeNumerically(">=", 3))
				Expect(rec.HardState.Term).To(Equal(uint64(1)))
				Expect(s.Save(nil, entries(4, 4, 3))).To(Succeed())
				s, rec = reopen(s, dir)
				Expect(rec.Damage).NotTo(HaveOccurred(), "cut at %d", n)
				Expect(rec.Entries[3].Term).To(Equal(uint64(3)))
				Expect(s.Close()).To(Succeed())
			}
		}
	})

	It("removes or truncates a new segment that was torn at any byte", func() {
		s, _ := open(dir)
		Expect(s.Save(&quorum.HardState{Term: 1, Commit: 20}, entries(1, 20, 1))).To(Succeed())
		Expect(s.Save(nil, entries(21, 21, 1))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		last := files(dir, ".seg")[1]
		full, err := os.ReadFile(last)
		Expect(err).NotTo(HaveOccurred())
		for n := range len(full) {
			Expect(os.WriteFile(last, full[:n], 0o600)).To(Succeed())
			s, rec := open(dir)
			Expect(rec.Damage).NotTo(HaveOccurred(), "cut at %d", n)
			Expect(rec.Entries).To(Equal(entries(1, 20, 1)))
			Expect(rec.HardState.Commit).To(Equal(uint64(20)))
			Expect(s.Save(nil, entries(21, 22, 1))).To(Succeed())
			Expect(s.Close()).To(Succeed())
		}
	})

	// Guards against skipping a damaged record or treating it as a torn write.
	It("reports a flipped bit at any byte before the last record", func() {
		s, _ := open(dir)
		Expect(s.Save(&quorum.HardState{Term: 1, Vote: "a", Commit: 8}, entries(1, 9, 1))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		log := files(dir, ".seg")[0]
		full, err := os.ReadFile(log)
		Expect(err).NotTo(HaveOccurred())
		const lastRecord = 8 + 18 + 1
		for at := range len(full) - lastRecord {
			flipBit(log, at)
			s, rec := open(dir)
			Expect(rec.Damage).To(HaveOccurred(), "flipped at %d", at)
			Expect(s.Save(nil, entries(10, 10, 1))).NotTo(Succeed())
			Expect(s.SaveSnapshot(snapshot(8, 1))).NotTo(Succeed())
			Expect(s.Close()).To(Succeed())
			flipBit(log, at)
		}
	})

	DescribeTable("reports a missing or damaged file",
		func(damage func()) {
			s, _ := open(dir)
			Expect(s.SaveMembership(snapshot(1, 1).Membership)).To(Succeed())
			for i := uint64(1); i <= 60; i++ {
				Expect(s.Save(&quorum.HardState{Term: 1, Commit: i}, entries(i, i, 1))).To(Succeed())
			}
			Expect(s.SaveSnapshot(snapshot(20, 1))).To(Succeed())
			Expect(s.Compact(20)).To(Succeed())
			Expect(s.Close()).To(Succeed())
			damage()
			s, rec := open(dir)
			defer s.Close()
			Expect(rec.Damage).To(HaveOccurred())
		},
		Entry("first segment", func() { Expect(os.Remove(files(dir, ".seg")[0])).To(Succeed()) }),
		Entry("segment in the middle", func() { Expect(os.Remove(files(dir, ".seg")[3])).To(Succeed()) }),
		Entry("snapshot", func() { Expect(os.Remove(files(dir, ".snap")[0])).To(Succeed()) }),
		Entry("bit in the snapshot", func() { flipBit(files(dir, ".snap")[0], 30) }),
		Entry("bit in the identity", func() { flipBit(filepath.Join(dir, "identity"), 14) }),
		Entry("bit in the membership", func() { flipBit(filepath.Join(dir, "membership"), 14) }),
	)

	// Guards against a store that is lost to a disk which is full for a while, and against torn parts of refused writes
	// in the middle of a segment.
	It("goes on after writes that a full disk refused", func() {
		full := false
		s, _, err := store.Open(store.Config{Dir: dir, SegmentBytes: 512, Write: func(f *os.File, b []byte) (int, error) {
			if full {
				n, _ := f.Write(b[:len(b)/2])
				return n, syscall.ENOSPC
			}
			return f.Write(b)
		}})
		Expect(err).NotTo(HaveOccurred())
		for i := uint64(1); i <= 60; i++ {
			if full = i%3 == 0; full {
				Expect(s.Save(nil, entries(i, i, 1))).To(MatchError(store.ErrNoSpace))
				Expect(s.SaveSnapshot(snapshot(i-1, 1))).To(MatchError(store.ErrNoSpace))
			}
			full = false
			Expect(s.Save(&quorum.HardState{Term: 1, Commit: i}, entries(i, i, 1))).To(Succeed())
		}
		full = true
		Expect(s.SaveSnapshot(snapshot(90, 2))).To(MatchError(store.ErrNoSpace), "a snapshot that replaces the log")
		full = false
		Expect(s.SaveSnapshot(snapshot(90, 2))).To(Succeed())
		full = true
		Expect(s.Save(nil, entries(91, 91, 2))).To(MatchError(store.ErrNoSpace))
		full = false
		Expect(s.Save(&quorum.HardState{Term: 2, Commit: 91}, entries(91, 91, 2))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		s, rec := open(dir)
		defer s.Close()
		Expect(rec.Damage).NotTo(HaveOccurred())
		Expect(rec.Snapshot.Index).To(BeEquivalentTo(90))
		Expect(rec.Entries).To(HaveLen(1))
	})

	// Guards against a log whose reset record was refused, so that its entries appeared to continue the old log.
	It("writes the reset record of an installed snapshot before the next entries when the disk was full between", func() {
		allowed := -1 // writes that succeed before the disk is full; negative means all
		s, _, err := store.Open(store.Config{Dir: dir, Write: func(f *os.File, b []byte) (int, error) {
			if allowed == 0 {
				return 0, syscall.ENOSPC
			}
			allowed--
			return f.Write(b)
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Save(&quorum.HardState{Term: 1, Commit: 5}, entries(1, 9, 1))).To(Succeed())
		allowed = 3 // the parts of the snapshot's file; the reset record is refused
		Expect(s.SaveSnapshot(snapshot(20, 2))).To(MatchError(store.ErrNoSpace))
		Expect(files(dir, ".snap")).To(HaveLen(1))
		allowed = -1
		Expect(s.SaveSnapshot(snapshot(20, 2))).To(Succeed())
		Expect(s.Save(&quorum.HardState{Term: 2, Commit: 21}, entries(21, 21, 2))).To(Succeed())
		Expect(s.Close()).To(Succeed())
		s, rec := open(dir)
		defer s.Close()
		Expect(rec.Damage).NotTo(HaveOccurred())
		Expect(rec.Entries).To(HaveLen(1))
	})

	// Guards against a data folder that is gone after a power loss, since only its own name was synced.
	It("syncs the parent of each folder that it creates", func() {
		var synced []string
		top := GinkgoT().TempDir()
		s, _, err := store.Open(store.Config{Dir: filepath.Join(top, "a", "b", "c"), Sync: func(f *os.File) error {
			synced = append(synced, f.Name())
			return f.Sync()
		}})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		Expect(synced[:4]).To(Equal([]string{filepath.Dir(top), top, filepath.Join(top, "a"), filepath.Join(top, "a", "b")}))
	})

	// Guards against an instance that ends at its first start since another one on the same machine, which shares a parent of
	// its data folder, creates that parent at the same time.
	It("accepts folders that another process creates meanwhile, and syncs their names", func() {
		var synced []string
		top := GinkgoT().TempDir()
		s, _, err := store.Open(store.Config{Dir: filepath.Join(top, "a", "b", "c"), Sync: func(f *os.File) error {
			synced = append(synced, f.Name())
			return errors.Join(os.MkdirAll(filepath.Join(top, "a", "b"), 0o700), f.Sync())
		}})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		Expect(synced).To(ContainElements(top, filepath.Join(top, "a"), filepath.Join(top, "a", "b")))
	})

	// Guards against a data folder that is gone after a power loss, since its name was synced in a folder whose own name was
	// not: another process had created that folder and not synced its parent yet.
	It("syncs the name of a folder before it creates anything in it", func() {
		top := GinkgoT().TempDir()
		Expect(os.Mkdir(filepath.Join(top, "a"), 0o700)).To(Succeed())
		synced := make(map[string]bool)
		s, _, err := store.Open(store.Config{Dir: filepath.Join(top, "a", "b", "c"), Sync: func(f *os.File) error {
			for _, child := range []string{"a/b", "a/b/c"} {
				if _, err := os.Stat(filepath.Join(top, child)); err == nil {
					Expect(synced).To(HaveKey(filepath.Join(top, child, "..", "..")), "%s was created before the name of its parent was synced", child)
				}
			}
			synced[f.Name()] = true
			return f.Sync()
		}})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		Expect(synced).To(HaveKey(filepath.Join(top, "a", "b")))
	})

	// Guards against a data folder that is gone after a power loss, since the process that created it was killed before it
	// had synced its parent.
	It("syncs the parent of a folder that it finds without an identity", func() {
		var synced []string
		top := GinkgoT().TempDir()
		Expect(os.Mkdir(filepath.Join(top, "a"), 0o700)).To(Succeed())
		s, _, err := store.Open(store.Config{Dir: filepath.Join(top, "a"), Sync: func(f *os.File) error {
			synced = append(synced, f.Name())
			return f.Sync()
		}})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		Expect(synced).To(ContainElement(top))
	})

	// Guards against a write that takes three times as long as others because it starts a segment, whose header, folder and
	// entries were synced one after the other.
	It("syncs a new segment with its first entries and its folder at the same time", func() {
		var syncs, running, together atomic.Int64
		s, _, err := store.Open(store.Config{Dir: dir, SegmentBytes: 512, Sync: func(*os.File) error {
			syncs.Add(1)
			if running.Add(1) == 2 {
				together.Add(1)
			}
			time.Sleep(100 * time.Millisecond)
			running.Add(-1)
			return nil
		}})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		Expect(s.Save(nil, entries(1, 30, 1))).To(Succeed())
		segments, before, atOnce := len(files(dir, ".seg")), syncs.Load(), together.Load()
		Expect(s.Save(nil, entries(31, 31, 1))).To(Succeed())
		Expect(files(dir, ".seg")).To(HaveLen(segments + 1))
		Expect(syncs.Load() - before).To(BeEquivalentTo(2))
		Expect(together.Load() - atOnce).To(BeEquivalentTo(1))
	})

	// Guards against retrying a failed sync: the retry may succeed although the kernel has dropped the dirty pages.
	DescribeTable("rejects all writes after a failed sync",
		func(failing string) {
			broken := false
			s, _, err := store.Open(store.Config{Dir: dir, SegmentBytes: 512, Sync: func(f *os.File) error {
				if broken && strings.Contains(f.Name(), failing) {
					return errors.New("input/output error")
				}
				return f.Sync()
			}})
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Save(nil, entries(1, 30, 1))).To(Succeed())
			broken = true
			Expect(errors.Join(s.Save(nil, entries(31, 31, 1)), s.SaveSnapshot(snapshot(30, 1)))).NotTo(Succeed())
			broken = false
			Expect(s.Save(nil, entries(31, 31, 1))).To(MatchError(ContainSubstring("has failed")))
			Expect(s.SaveSnapshot(snapshot(30, 1))).To(MatchError(ContainSubstring("has failed")))
			Expect(s.SaveMembership(quorum.Membership{})).To(MatchError(ContainSubstring("has failed")))
			Expect(s.Compact(30)).To(MatchError(ContainSubstring("has failed")))
			Expect(s.Close()).To(Succeed())
		},
		Entry("of a segment", "log-"),
		Entry("of the folder", "data"),
		Entry("of a snapshot", "snap-"),
	)
})

// flipBit flips one bit of the byte at the given offset.
func flipBit(name string, at int) {
	b, err := os.ReadFile(name)
	Expect(err).NotTo(HaveOccurred())
	b[at] ^= 1 << (at % 8)
	Expect(os.WriteFile(name, b, 0o600)).To(Succeed())
}
