package store_test

import (
	"errors"
	"fmt"
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
})
