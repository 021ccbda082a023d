package entry_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/entry"
	"turmericroute/fakes"
	"turmericroute/model"
	"turmericroute/state"
)

var _ = Describe("Requests with a key", func() {
	var (
		r *replica
		u *fakes.Upstream
	)
	BeforeEach(func() {
		r = newReplica()
		u = startUpstream(r, "u1", "scl-1", fakes.Behaviour{})
	})
	second := func() *stand {
		s := newStand(r, func(c *entry.Config) { c.Name = "entry-2" })
		s.usable(1)
		return s
	}
	first := func() *stand {
		s := newStand(r, nil)
		s.usable(1)
		return s
	}

	// Guards at-most-once when many copies of one request race through two entries.
	It("run once however often and wherever they are sent", func() {
		stands := []*stand{first(), second()}
		u.SetBehaviour(fakes.Behaviour{Delay: 50 * time.Millisecond})
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				got := stands[i%2].do(call{key: fmt.Sprint("k", i/4)})
				if got.outcome == model.OutcomeDone {
					Expect(got.body).To(Equal(string(fakes.ResponseBody(fmt.Sprint("k", i/4), 0))))
				} else {
					Expect([]any{got.status, got.code}).To(Equal([]any{409, string(model.CodeInProgress)}))
				}
			})
		}
		wg.Wait()
		for k, run := range u.Ledger() {
			Expect(run.Started).To(Equal(1), k)
			Expect(stands[1].do(call{key: k}).body).To(Equal(string(fakes.ResponseBody(k, 0))))
		}
		Expect(u.Ledger()).To(HaveLen(10))
	})

	// Guards against serving one request's answer to another one.
	It("are refused when the key was used for another request", func() {
		s := first()
		s.do(call{key: "k1", body: "a"})
		for _, c := range []call{{key: "k1", body: "b"}, {key: "k1", body: "a", path: "x"}, {key: "k1", body: "a", method: "PUT"}} {
			got := second().do(c)
			Expect([]any{got.status, got.code, got.outcome}).To(Equal([]any{409, string(model.CodeKeyConflict), model.OutcomeNotRun}))
		}
		Expect(u.Ledger()["k1"].Started).To(Equal(1))
	})

	// Guards that the answer is recorded for a caller whose connection is lost before it.
	It("give their answer to a resend after a lost answer", func() {
		s := first()
		u.SetBehaviour(fakes.Behaviour{Delay: 200 * time.Millisecond})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			s.do(call{key: "k1", ctx: ctx})
		}()
		Eventually(u.Ledger).Should(HaveKey("k1"))
		cancel()
		other := second()
		Expect(other.do(call{key: "k1"}).code).To(Equal(string(model.CodeInProgress)))
		Eventually(func() string { return other.do(call{key: "k1"}).body }).Should(Equal(string(fakes.ResponseBody("k1", 0))))
		Expect(u.Ledger()["k1"].Started).To(Equal(1))
	})

	// Guards against a second run when the entry is lost after its claim, before and after sending.
	DescribeTable("stay unknown when their entry is lost", func(sent bool) {
		lost := model.Unknown(model.CodeUnavailable, "the entry is lost")
		dead := func(c state.Command) error {
			switch c := c.(type) {
			case state.ClaimKey:
				if c.Key.Entry == "entry-1" {
					return lost
				}
			case state.FinishKey:
				return lost
			}
			return nil
		}
		if sent {
			r.hooks(func(c state.Command) error {
				if f, ok := c.(state.FinishKey); ok {
					return dead(f)
				}
				return nil
			}, nil)
		} else {
			r.hooks(nil, dead)
		}
		s := first()
		timeout := 700 * time.Millisecond
		go func() {
			defer GinkgoRecover()
			s.do(call{key: "k1", timeout: timeout})
		}()
		Eventually(func() bool { _, ok := r.m.Key(model.KeyID{Team: "canaletas", Key: "k1"}); return ok }).Should(BeTrue())
		r.hooks(dead, nil)
		other := second()
		got := other.do(call{key: "k1"})
		Expect([]any{got.status, got.code, got.outcome}).To(Equal([]any{409, string(model.CodeInProgress), model.OutcomeUnknown}))
		Eventually(func() string { return other.do(call{key: "k1"}).code }).WithTimeout(2 * time.Second).Should(Equal(string(model.CodeOutcomeUnknown)))
		Expect(len(u.Ledger())).To(Equal(map[bool]int{true: 1, false: 0}[sent]))
	},
		Entry("between claim and sending", false),
		Entry("between sending and answer", true),
	)

	// Guards against a key that stays blocked, or runs twice, when the answers of the log are lost.
	It("run once when the answers to claim and record are lost", func() {
		s := first()
		n := 0
		r.hooks(nil, func(c state.Command) error {
			if n++; n%2 == 1 {
				return model.Unknown(model.CodeUnavailable, "the answer is lost")
			}
			return nil
		})
		for i := range 5 {
			k := fmt.Sprint("k", i)
			got := s.do(call{key: k})
			Expect([]any{got.outcome, got.body}).To(Equal([]any{model.OutcomeDone, string(fakes.ResponseBody(k, 0))}))
			Expect(u.Ledger()[k].Started).To(Equal(1))
		}
	})

	// Guards that a claim that was never used does not block the key.
	It("can be sent again after a claim that timed out", func() {
		s := first()
		r.hooks(nil, func(state.Command) error { return model.Unknown(model.CodeNoLeader, "no leader") })
		got := s.do(call{key: "k1", timeout: 100 * time.Millisecond})
		Expect(got.outcome).To(Equal(model.OutcomeUnknown))
		r.hooks(nil, nil)
		Eventually(func() model.Outcome { return s.do(call{key: "k1"}).outcome }).WithTimeout(2 * time.Second).Should(Equal(model.OutcomeDone))
		Expect(u.Ledger()["k1"].Started).To(Equal(1))
	})
})
