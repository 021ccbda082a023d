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
		r *fakeReplica
		u *fakes.Upstream
	)
	BeforeEach(func() {
		r = newFakeReplica()
		u = startUpstream(r, "u1", "scl-1", fakes.Behaviour{})
	})
	newEntry2 := func() *testEntry {
		s := newTestEntry(r, func(c *entry.Config) { c.Name = "entry-2" })
		s.waitUsable(1)
		return s
	}
	newEntry1 := func() *testEntry {
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		return s
	}

	// Guards against a second run when many copies of one request race through two entries.
	It("run once when copies are sent concurrently to several entries", func() {
		entries := []*testEntry{newEntry1(), newEntry2()}
		u.SetBehaviour(fakes.Behaviour{Delay: 50 * time.Millisecond})
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				got := entries[i%2].send(call{key: fmt.Sprint("k", i/4)})
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
			Expect(entries[1].send(call{key: k}).body).To(Equal(string(fakes.ResponseBody(k, 0))))
		}
		Expect(u.Ledger()).To(HaveLen(10))
	})

	// Guards against serving the recorded response of one request to a different one.
	It("are refused when the key was used for another request", func() {
		s := newEntry1()
		s.send(call{key: "k1", body: "a"})
		for _, c := range []call{{key: "k1", body: "b"}, {key: "k1", body: "a", path: "x"}, {key: "k1", body: "a", method: "PUT"}} {
			got := newEntry2().send(c)
			Expect([]any{got.status, got.code, got.outcome}).To(Equal([]any{409, string(model.CodeKeyConflict), model.OutcomeNotRun}))
		}
		Expect(u.Ledger()["k1"].Started).To(Equal(1))
	})

	// Guards against a response that is not recorded because the caller's connection is lost first.
	It("return the recorded response to a resend after the caller has disconnected", func() {
		s := newEntry1()
		u.SetBehaviour(fakes.Behaviour{Delay: 200 * time.Millisecond})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			s.send(call{key: "k1", ctx: ctx})
		}()
		Eventually(u.Ledger).Should(HaveKey("k1"))
		cancel()
		other := newEntry2()
		Expect(other.send(call{key: "k1"}).code).To(Equal(string(model.CodeInProgress)))
		Eventually(func() string { return other.send(call{key: "k1"}).body }).Should(Equal(string(fakes.ResponseBody("k1", 0))))
		Expect(u.Ledger()["k1"].Started).To(Equal(1))
	})

	// Guards against a second run when the entry crashes after its claim, before or after sending.
	DescribeTable("have an unknown outcome when their entry crashes", func(sent bool) {
		errCrashed := model.Unknown(model.CodeUnavailable, "the entry has crashed")
		loseCommands := func(c state.Command) error {
			switch c := c.(type) {
			case state.ClaimKey:
				if c.Key.Entry == "entry-1" {
					return errCrashed
				}
			case state.FinishKey:
				return errCrashed
			}
			return nil
		}
		if sent {
			r.setHooks(func(c state.Command) error {
				if f, ok := c.(state.FinishKey); ok {
					return loseCommands(f)
				}
				return nil
			}, nil)
		} else {
			r.setHooks(nil, loseCommands)
		}
		s := newEntry1()
		timeout := 700 * time.Millisecond
		go func() {
			defer GinkgoRecover()
			s.send(call{key: "k1", timeout: timeout})
		}()
		Eventually(func() bool { _, ok := r.m.Key(model.KeyID{Team: "canaletas", Key: "k1"}); return ok }).Should(BeTrue())
		r.setHooks(loseCommands, nil)
		other := newEntry2()
		got := other.send(call{key: "k1"})
		Expect([]any{got.status, got.code, got.outcome}).To(Equal([]any{409, string(model.CodeInProgress), model.OutcomeUnknown}))
		Eventually(func() string { return other.send(call{key: "k1"}).code }).WithTimeout(2 * time.Second).Should(Equal(string(model.CodeOutcomeUnknown)))
		Expect(len(u.Ledger())).To(Equal(map[bool]int{true: 1, false: 0}[sent]))
	},
		Entry("between claim and sending", false),
		Entry("between sending and response", true),
	)

	// Guards against a key that stays blocked, or a second run, when the results of commands are lost.
	It("run once when the results of claiming and recording are lost", func() {
		s := newEntry1()
		n := 0
		r.setHooks(nil, func(c state.Command) error {
			if n++; n%2 == 1 {
				return model.Unknown(model.CodeUnavailable, "the result is lost")
			}
			return nil
		})
		for i := range 5 {
			k := fmt.Sprint("k", i)
			got := s.send(call{key: k})
			Expect([]any{got.outcome, got.body}).To(Equal([]any{model.OutcomeDone, string(fakes.ResponseBody(k, 0))}))
			Expect(u.Ledger()[k].Started).To(Equal(1))
		}
	})

	// Guards against a key that stays blocked by a claim that timed out and for which nothing was sent.
	It("can be resent after a claim that timed out", func() {
		s := newEntry1()
		r.setHooks(nil, func(state.Command) error { return model.Unknown(model.CodeNoLeader, "no leader") })
		got := s.send(call{key: "k1", timeout: 100 * time.Millisecond})
		Expect(got.outcome).To(Equal(model.OutcomeUnknown))
		r.setHooks(nil, nil)
		Eventually(func() model.Outcome { return s.send(call{key: "k1"}).outcome }).WithTimeout(2 * time.Second).Should(Equal(model.OutcomeDone))
		Expect(u.Ledger()["k1"].Started).To(Equal(1))
	})
})
