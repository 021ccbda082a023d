package state_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
)

func patch(id string, base uint64, team string) state.PatchConfig {
	return state.PatchConfig{Patch: config.Patch{ID: id, BaseVersion: base, Changes: []config.Change{{PutTeam: &config.Team{Name: team}}}}}
}

func claim(key, claimID, hash string) state.ClaimKey {
	return state.ClaimKey{Key: model.Key{ID: model.KeyID{Team: "t", Key: key}, Claim: claimID, Hash: hash, CreatedMS: 10}}
}

var _ = Describe("patches", func() {
	It("accepts exactly one of several patches for a version and answers a resent patch as the first time", func() {
		m := state.New()
		Expect(m.Apply(1, patch("a", 0, "x")).Version).To(Equal(uint64(1)))
		stale := m.Apply(2, patch("b", 0, "y"))
		Expect(stale.Failure.Code).To(Equal(model.CodeStaleVersion))
		Expect(stale.Failure.Version).To(Equal(uint64(1)))
		Expect(m.Apply(3, patch("c", 1, "z")).Version).To(Equal(uint64(2)))
		resent := m.Apply(4, patch("a", 0, "x"))
		Expect(resent.Failure).To(BeNil())
		Expect(resent.Version).To(Equal(uint64(1)))
		Expect(m.Config().Version).To(Equal(uint64(2)))
	})

	It("applies a patch whole or not at all", func() {
		m := state.New()
		p := patch("a", 0, "x")
		p.Patch.Changes = append(p.Patch.Changes, config.Change{RemoveTeam: "missing"})
		Expect(m.Apply(1, p).Failure.Code).To(Equal(model.CodeInvalid))
		Expect(m.Config().Teams).To(BeEmpty())
		Expect(m.Config().Version).To(BeZero())
	})

	It("returns each configuration version in the kept history, also after a restore", func() {
		m := state.New()
		for i := range uint64(4100) {
			Expect(m.Apply(i+1, patch(fmt.Sprint(i), i, fmt.Sprint("t", i))).Failure).To(BeNil())
		}
		snap, err := m.EncodeSnapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := state.New()
		Expect(restored.Restore(snap)).To(Succeed())
		for _, m := range []*state.Machine{m, restored} {
			for _, v := range []uint64{4, 5, 4000, 4100} {
				cfg, ok := m.ConfigAt(v)
				Expect(ok).To(BeTrue())
				Expect(cfg.Version).To(Equal(v))
				Expect(cfg.Teams).To(HaveLen(int(v)))
			}
			for _, v := range []uint64{0, 3, 4101} {
				_, ok := m.ConfigAt(v)
				Expect(ok).To(BeFalse())
			}
		}
	})

	It("answers a patch resent from before the kept history with an unknown outcome", func() {
		m := state.New()
		for i := range uint64(4100) {
			Expect(m.Apply(i+1, patch(fmt.Sprint(i), i, "x")).Failure).To(BeNil())
		}
		f := m.Apply(5000, patch("0", 0, "x")).Failure
		Expect(f.Code).To(Equal(model.CodeStaleVersion))
		Expect(f.Outcome).To(Equal(model.OutcomeUnknown))
	})
})

var _ = Describe("idempotency keys", func() {
	It("grants the claim to one request and returns the recorded answer to later ones", func() {
		m := state.New()
		Expect(m.Apply(1, claim("k", "first", "h")).Claimed).To(BeTrue())
		Expect(m.Apply(2, claim("k", "second", "h")).Claimed).To(BeFalse())
		Expect(m.Apply(3, claim("k", "second", "other")).Failure.Code).To(Equal(model.CodeKeyConflict))
		done := state.FinishKey{ID: model.KeyID{Team: "t", Key: "k"}, Claim: "first", State: model.KeyDone, Answer: &model.Answer{Status: 200}}
		Expect(m.Apply(4, done).Failure).To(BeNil())
		res := m.Apply(5, claim("k", "third", "h"))
		Expect(res.Claimed).To(BeFalse())
		Expect(res.Key.Answer.Status).To(Equal(200))
	})

	It("grants a key again only if its request is known not to have run", func() {
		m := state.New()
		id := model.KeyID{Team: "t", Key: "k"}
		m.Apply(1, claim("k", "first", "h"))
		m.Apply(2, state.FinishKey{ID: id, Claim: "first", State: model.KeyUnknown})
		Expect(m.Apply(3, claim("k", "second", "h")).Claimed).To(BeFalse())
		m = state.New()
		m.Apply(1, claim("k", "first", "h"))
		m.Apply(2, state.FinishKey{ID: id, Claim: "first", State: model.KeyNotRun})
		Expect(m.Apply(3, claim("k", "second", "h")).Claimed).To(BeTrue())
	})

	It("expires keys by their creation time", func() {
		m := state.New()
		m.Apply(1, claim("k", "first", "h"))
		m.Apply(2, state.ExpireKeys{BeforeMS: 10})
		_, ok := m.Key(model.KeyID{Team: "t", Key: "k"})
		Expect(ok).To(BeTrue())
		m.Apply(3, state.ExpireKeys{BeforeMS: 11})
		_, ok = m.Key(model.KeyID{Team: "t", Key: "k"})
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("jobs", func() {
	spec := model.JobSpec{ID: "j", Team: "t", Shape: model.Shape{Tasks: 1, Cores: 1}}

	It("returns the first job to a resent submission and refuses a different submission with the same ID", func() {
		m := state.New()
		Expect(m.Apply(1, state.SubmitJob{Spec: spec, AtMS: 5}).Failure).To(BeNil())
		Expect(m.Apply(2, state.SubmitJob{Spec: spec, AtMS: 9}).Job.Accepted).To(Equal(int64(5)))
		other := spec
		other.Team = "u"
		Expect(m.Apply(3, state.SubmitJob{Spec: other}).Failure.Code).To(Equal(model.CodeConflict))
	})

	It("refuses a change for another attempt or from another state", func() {
		m := state.New()
		m.Apply(1, state.SubmitJob{Spec: spec})
		Expect(m.Apply(2, state.PlaceJob{ID: "j", Attempt: 1, Placement: model.Placement{Workers: []string{"w"}}}).Failure).To(BeNil())
		Expect(m.Apply(3, state.PlaceJob{ID: "j", Attempt: 2}).Failure).NotTo(BeNil())
		move := state.MoveJob{ID: "j", Attempt: 2, From: []model.JobState{model.JobPreparing}, To: model.JobRunning}
		Expect(m.Apply(4, move).Failure).NotTo(BeNil())
		move.Attempt = 1
		Expect(m.Apply(5, move).Job.State).To(Equal(model.JobRunning))
		Expect(m.Apply(6, state.CancelJob{ID: "j"}).Job.State).To(Equal(model.JobStopping))
		Expect(m.Apply(7, move).Failure).NotTo(BeNil())
	})
})

var _ = Describe("upstreams", func() {
	It("never restores an incarnation that has left", func() {
		m := state.New()
		up := state.AnnounceUpstream{Upstream: model.Upstream{Name: "u", Incarnation: 3}}
		Expect(m.Apply(1, up).Failure).To(BeNil())
		m.Apply(2, state.LeaveUpstream{Name: "u", Incarnation: 3})
		Expect(m.Apply(3, up).Failure).NotTo(BeNil())
		up.Upstream.Incarnation = 4
		Expect(m.Apply(4, up).Failure).To(BeNil())
		m.Apply(5, state.LeaveUpstream{Name: "u", Incarnation: 3})
		u, _ := m.Upstream("u")
		Expect(u.Left).To(BeFalse())
	})
})

// Guards against replicas that diverge because a restored copy applies commands differently
// from the original.
var _ = It("encodes the same snapshot after a restore and further commands", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		a, b := state.New(), state.New()
		n := rapid.IntRange(1, 60).Draw(t, "commands")
		cut := rapid.IntRange(0, n).Draw(t, "restore after")
		for i := range n {
			if i == cut {
				snap, err := a.EncodeSnapshot()
				Expect(err).NotTo(HaveOccurred())
				Expect(b.Restore(snap)).To(Succeed())
			}
			c := command(t)
			encoded, err := state.Encode(c)
			Expect(err).NotTo(HaveOccurred())
			c, err = state.Decode(encoded)
			Expect(err).NotTo(HaveOccurred())
			a.Apply(uint64(i+1), c)
			if i >= cut {
				b.Apply(uint64(i+1), c)
			}
		}
		if cut < n {
			sa, _ := a.EncodeSnapshot()
			sb, _ := b.EncodeSnapshot()
			Expect(string(sb)).To(Equal(string(sa)))
		}
	})
})

// command draws a random command.
func command(t *rapid.T) state.Command {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	n := rapid.Uint64Range(0, 4).Draw(t, "number")
	ms := int64(rapid.IntRange(0, 20).Draw(t, "ms"))
	key := model.KeyID{Team: "t", Key: id}
	all := []model.JobState{model.JobWaiting, model.JobPreparing, model.JobRunning, model.JobStopping}
	return rapid.SampledFrom([]state.Command{
		patch(id, n, id),
		state.SubmitJob{Spec: model.JobSpec{ID: id}, AtMS: ms},
		state.CancelJob{ID: id, AtMS: ms},
		state.PlaceJob{ID: id, Attempt: int(n), Placement: model.Placement{Workers: []string{id}}},
		state.MoveJob{ID: id, Attempt: int(n), From: all, To: rapid.SampledFrom(append(all, model.JobDone)).Draw(t, "to")},
		state.RegisterWorker{Worker: model.Worker{Name: id, Incarnation: fmt.Sprint(n)}},
		state.RemoveWorker{Name: id, Incarnation: fmt.Sprint(n)},
		state.AnnounceUpstream{Upstream: model.Upstream{Name: id, Incarnation: n}},
		state.LeaveUpstream{Name: id, Incarnation: n},
		claim(id, fmt.Sprint(n), "h"),
		state.FinishKey{ID: key, Claim: fmt.Sprint(n), State: model.KeyDone, Answer: &model.Answer{Body: []byte(id)}},
		state.ExpireKeys{BeforeMS: ms},
	}).Draw(t, "command")
}

var _ = It("reports to a reader of the feed that it missed changes", func() {
	m := state.New()
	_, position, _ := m.Since(0)
	m.Apply(1, patch("a", 0, "x"))
	changes, next, ok := m.Since(position)
	Expect(ok).To(BeTrue())
	Expect(changes).To(Equal([]state.Change{state.ConfigChange{Version: 1}}))
	snap, _ := m.EncodeSnapshot()
	Expect(m.Restore(snap)).To(Succeed())
	_, _, ok = m.Since(next)
	Expect(ok).To(BeFalse())
})
