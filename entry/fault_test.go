package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/fakes"
	"turmericroute/model"
)

var _ = Describe("Responses of executors", func() {
	// Guards against truncated responses that look complete and against wrong outcomes, without and
	// with a key. A request with a key must run at most once, and a resend must not guess its outcome.
	DescribeTable("that are faulty never look complete", func(behaviour fakes.Behaviour, status int, outcome model.Outcome, runs int) {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", behaviour)
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		// Only cases that must time out get a short timeout: on a busy machine a faulty response may
		// take longer.
		timeout := 5 * time.Second
		if status == http.StatusGatewayTimeout {
			timeout = 300 * time.Millisecond
		}
		c := call{id: "plain", timeout: timeout}
		got := s.send(c)
		if status == 0 {
			Expect(got.err).To(HaveOccurred(), "a large response is cut off")
		} else {
			Expect([]any{got.err, got.status, got.outcome}).To(Equal([]any{nil, status, outcome}))
		}
		c = call{key: "keyed", timeout: timeout}
		got = s.send(c)
		Expect(got.outcome).To(Equal(outcome))
		Expect(u.Ledger()["keyed"].Started).To(Equal(runs))
		u.SetBehaviour(fakes.Behaviour{})
		again := s.send(c)
		if outcome == model.OutcomeUnknown {
			Expect([]any{again.code, again.outcome}).To(Equal([]any{string(model.CodeOutcomeUnknown), model.OutcomeUnknown}))
			Expect(u.Ledger()["keyed"].Started).To(Equal(1))
		} else {
			Expect(again.outcome).To(Equal(model.OutcomeDone))
			Expect(u.Ledger()["keyed"].Started).To(Equal(1))
		}
	},
		Entry("cut off in the body", fakes.Behaviour{Mode: fakes.CutBody}, 502, model.OutcomeUnknown, 1),
		Entry("cut off before the header", fakes.Behaviour{Mode: fakes.CutHeader}, 502, model.OutcomeUnknown, 1),
		Entry("cut off between chunks", fakes.Behaviour{Mode: fakes.CutChunkedBody}, 502, model.OutcomeUnknown, 1),
		Entry("shorter than declared", fakes.Behaviour{Mode: fakes.ShortBody}, 502, model.OutcomeUnknown, 1),
		Entry("without a length", fakes.Behaviour{Mode: fakes.NoContentLength}, 502, model.OutcomeUnknown, 1),
		Entry("to another request", fakes.Behaviour{Mode: fakes.OtherRequestID}, 502, model.OutcomeUnknown, 1),
		Entry("later than the deadline", fakes.Behaviour{Delay: 400 * time.Millisecond}, 504, model.OutcomeUnknown, 1),
		Entry("never", fakes.Behaviour{Mode: fakes.Hang}, 504, model.OutcomeUnknown, 1),
		Entry("large and cut off", fakes.Behaviour{Mode: fakes.CutBody, Bytes: 1 << 20}, 0, model.OutcomeUnknown, 1),
		Entry("large, chunked and cut off", fakes.Behaviour{Mode: fakes.CutChunkedBody, Bytes: 1 << 20}, 0, model.OutcomeUnknown, 1),
		Entry("refused", fakes.Behaviour{Mode: fakes.Refuse}, 503, model.OutcomeNotRun, 0),
		Entry("not available", fakes.Behaviour{Mode: fakes.Unavailable}, 503, model.OutcomeUnknown, 1),
		Entry("an error", fakes.Behaviour{Mode: fakes.Fail}, 500, model.OutcomeDone, 1),
	)

	// Guards against an unknown outcome of requests that nobody has run: the last attempt began so late that the deadline
	// came before the refusal.
	It("that refuse slowly leave no attempt that the deadline cuts off", func() {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{Mode: fakes.Refuse, Delay: 500 * time.Millisecond})
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		for i := range 2 {
			key := fmt.Sprint("k", i)
			got := s.send(call{key: key, timeout: 1400 * time.Millisecond})
			Expect([]any{got.err, got.status, got.outcome}).To(Equal([]any{nil, http.StatusServiceUnavailable, model.OutcomeNotRun}))
			Expect(u.Ledger()[key].Started).To(BeZero())
		}
	})

	// Guards against damage to large and chunked responses while they are copied, and against a wrong
	// choice of which ones are recorded for a resend.
	DescribeTable("that are complete arrive complete", func(behaviour fakes.Behaviour, recorded bool) {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", behaviour)
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		want := string(fakes.ResponseBody("k1", behaviour.Bytes))
		got := s.send(call{key: "k1"})
		Expect(got.body == want).To(BeTrue())
		again := s.send(call{key: "k1"})
		Expect(again.outcome).To(Equal(model.OutcomeDone))
		if recorded {
			Expect(again.body == want).To(BeTrue())
		} else {
			Expect(again.code).To(Equal(string(model.CodeAnswerNotKept)))
		}
		Expect(u.Ledger()["k1"].Started).To(Equal(1))
	},
		Entry("small chunks", fakes.Behaviour{Mode: fakes.ChunkedBody, Bytes: 5000}, true),
		Entry("64 KiB", fakes.Behaviour{Bytes: 64 << 10}, true),
		Entry("over 64 KiB", fakes.Behaviour{Bytes: 64<<10 + 1}, false),
		Entry("large chunks", fakes.Behaviour{Mode: fakes.ChunkedBody, Bytes: 3 << 20}, false),
		Entry("too large to buffer", fakes.Behaviour{Bytes: 20 << 20}, false),
	)

	// Guards against surplus bytes after one response being taken for the response to the next
	// request on that connection.
	It("with surplus bytes do not reach other callers", func() {
		r := newFakeReplica()
		startUpstream(r, "u1", "scl-1", fakes.Behaviour{Mode: fakes.ExtraResponse})
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		var wrongBodies atomic.Int64
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Go(func() {
				for j := range 100 {
					id := fmt.Sprint(i, "-", j)
					if got := s.send(call{id: id}); got.err == nil && got.status == http.StatusOK && got.body != string(fakes.ResponseBody(id, 0)) {
						wrongBodies.Add(1)
					}
				}
			})
		}
		wg.Wait()
		Expect(wrongBodies.Load()).To(BeZero())
	})

	// Guards against resends by the HTTP client itself, which bypass the rules for retries: Go's
	// transport resends requests that failed on a reused connection.
	It("lost on a reused connection make the HTTP client resend nothing", func() {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{})
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		for i, method := range []string{"GET", "POST", "DELETE", "PUT"} {
			u.SetBehaviour(fakes.Behaviour{})
			Expect(s.send(call{method: method}).status).To(Equal(200))
			u.SetBehaviour(fakes.Behaviour{Mode: fakes.CutHeader})
			key := fmt.Sprint("k", i)
			Expect(s.send(call{method: method, key: key}).outcome).To(Equal(model.OutcomeUnknown))
			Expect(u.Ledger()[key].Started).To(Equal(1))
		}
	})

	// Guards against a retry that goes to the same executor or changes the request: the caller must
	// not notice the fault of one executor.
	It("that are faulty lead to a retry elsewhere when the request is idempotent", func() {
		r := newFakeReplica()
		startUpstream(r, "bad", "scl-1", fakes.Behaviour{Mode: fakes.CutBody})
		good := startUpstream(r, "good", "scl-2", fakes.Behaviour{})
		s := newTestEntry(r, nil)
		s.waitUsable(2)
		got := s.send(call{id: "r1", body: "snow load"})
		Expect([]any{got.status, got.body}).To(Equal([]any{200, string(fakes.ResponseBody("r1", 0))}))
		Expect(string(good.Ledger()["r1"].Body)).To(Equal("snow load"))
	})

	// Guards against an executor that stays in use after its caller has disconnected.
	It("are abandoned when the caller has disconnected", func() {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{Mode: fakes.Hang})
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			s.send(call{id: "r1", ctx: ctx})
		}()
		Eventually(u.Ledger).Should(HaveKey("r1"))
		cancel()
		Eventually(u.InUse).Should(BeZero())
	})
})
