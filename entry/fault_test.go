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

var _ = Describe("Faulty answers", func() {
	// Guards against partial answers that look whole and against a wrong outcome, without and
	// with a key. A key must show one run and refuse to guess at a resend.
	DescribeTable("never look whole", func(b fakes.Behaviour, status int, outcome model.Outcome, runs int) {
		r := newReplica()
		u := startUpstream(r, "u1", "scl-1", b)
		s := newStand(r, nil)
		s.usable(1)
		// Only what should time out gets a short time: on a busy machine a faulty answer may take longer.
		timeout := 5 * time.Second
		if status == http.StatusGatewayTimeout {
			timeout = 300 * time.Millisecond
		}
		c := call{id: "plain", timeout: timeout}
		got := s.do(c)
		if status == 0 {
			Expect(got.err).To(HaveOccurred(), "a large answer is cut")
		} else {
			Expect([]any{got.err, got.status, got.outcome}).To(Equal([]any{nil, status, outcome}))
		}
		c = call{key: "keyed", timeout: timeout}
		got = s.do(c)
		Expect(got.outcome).To(Equal(outcome))
		Expect(u.Ledger()["keyed"].Started).To(Equal(runs))
		u.SetBehaviour(fakes.Behaviour{})
		again := s.do(c)
		if outcome == model.OutcomeUnknown {
			Expect([]any{again.code, again.outcome}).To(Equal([]any{string(model.CodeOutcomeUnknown), model.OutcomeUnknown}))
			Expect(u.Ledger()["keyed"].Started).To(Equal(1))
		} else {
			Expect(again.outcome).To(Equal(model.OutcomeDone))
			Expect(u.Ledger()["keyed"].Started).To(Equal(1))
		}
	},
		Entry("cut in the middle", fakes.Behaviour{Mode: fakes.CutBody}, 502, model.OutcomeUnknown, 1),
		Entry("cut before the header", fakes.Behaviour{Mode: fakes.CutHeader}, 502, model.OutcomeUnknown, 1),
		Entry("cut between chunks", fakes.Behaviour{Mode: fakes.CutChunkedBody}, 502, model.OutcomeUnknown, 1),
		Entry("shorter than declared", fakes.Behaviour{Mode: fakes.ShortBody}, 502, model.OutcomeUnknown, 1),
		Entry("without a length", fakes.Behaviour{Mode: fakes.NoContentLength}, 502, model.OutcomeUnknown, 1),
		Entry("to another request", fakes.Behaviour{Mode: fakes.OtherRequestID}, 502, model.OutcomeUnknown, 1),
		Entry("later than the deadline", fakes.Behaviour{Delay: 400 * time.Millisecond}, 504, model.OutcomeUnknown, 1),
		Entry("never", fakes.Behaviour{Mode: fakes.Hang}, 504, model.OutcomeUnknown, 1),
		Entry("large and cut", fakes.Behaviour{Mode: fakes.CutBody, Bytes: 1 << 20}, 0, model.OutcomeUnknown, 1),
		Entry("large, in chunks, cut", fakes.Behaviour{Mode: fakes.CutChunkedBody, Bytes: 1 << 20}, 0, model.OutcomeUnknown, 1),
		Entry("refused", fakes.Behaviour{Mode: fakes.Refuse}, 503, model.OutcomeNotRun, 0),
		Entry("not available", fakes.Behaviour{Mode: fakes.Unavailable}, 503, model.OutcomeUnknown, 1),
		Entry("an error", fakes.Behaviour{Mode: fakes.Fail}, 500, model.OutcomeDone, 1),
	)

	// Guards the copying of large and chunked answers, and what is kept of them for a resend.
	DescribeTable("that are whole arrive whole", func(b fakes.Behaviour, kept bool) {
		r := newReplica()
		u := startUpstream(r, "u1", "scl-1", b)
		s := newStand(r, nil)
		s.usable(1)
		want := string(fakes.ResponseBody("k1", b.Bytes))
		got := s.do(call{key: "k1"})
		Expect(got.body == want).To(BeTrue())
		again := s.do(call{key: "k1"})
		Expect(again.outcome).To(Equal(model.OutcomeDone))
		if kept {
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
		Entry("beyond what is held", fakes.Behaviour{Bytes: 20 << 20}, false),
	)

	// Guards against surplus bytes of one answer being taken for the answer to the next request
	// on that connection.
	It("with surplus bytes do not reach other callers", func() {
		r := newReplica()
		startUpstream(r, "u1", "scl-1", fakes.Behaviour{Mode: fakes.ExtraResponse})
		s := newStand(r, nil)
		s.usable(1)
		var wrong atomic.Int64
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Go(func() {
				for j := range 100 {
					id := fmt.Sprint(i, "-", j)
					if got := s.do(call{id: id}); got.err == nil && got.status == http.StatusOK && got.body != string(fakes.ResponseBody(id, 0)) {
						wrong.Add(1)
					}
				}
			})
		}
		wg.Wait()
		Expect(wrong.Load()).To(BeZero())
	})

	// Guards against resends by the HTTP client itself, which go around the rules for retries:
	// Go's transport resends on a reused connection.
	It("on reused connections are not resent by the client", func() {
		r := newReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{})
		s := newStand(r, nil)
		s.usable(1)
		for i, method := range []string{"GET", "POST", "DELETE", "PUT"} {
			u.SetBehaviour(fakes.Behaviour{})
			Expect(s.do(call{method: method}).status).To(Equal(200))
			u.SetBehaviour(fakes.Behaviour{Mode: fakes.CutHeader})
			key := fmt.Sprint("k", i)
			Expect(s.do(call{method: method, key: key}).outcome).To(Equal(model.OutcomeUnknown))
			Expect(u.Ledger()[key].Started).To(Equal(1))
		}
	})

	// Guards that a retry reaches another executor with the same request, so that the caller sees no fault.
	It("are retried elsewhere when the request is idempotent", func() {
		r := newReplica()
		startUpstream(r, "bad", "scl-1", fakes.Behaviour{Mode: fakes.CutBody})
		good := startUpstream(r, "good", "scl-2", fakes.Behaviour{})
		s := newStand(r, nil)
		s.usable(2)
		got := s.do(call{id: "r1", body: "snow load"})
		Expect([]any{got.status, got.body}).To(Equal([]any{200, string(fakes.ResponseBody("r1", 0))}))
		Expect(string(good.Ledger()["r1"].Body)).To(Equal("snow load"))
	})

	// Guards that a caller that goes away frees its executor.
	It("to a caller that is gone end the request", func() {
		r := newReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{Mode: fakes.Hang})
		s := newStand(r, nil)
		s.usable(1)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			s.do(call{id: "r1", ctx: ctx})
		}()
		Eventually(u.Ledger).Should(HaveKey("r1"))
		cancel()
		Eventually(u.InUse).Should(BeZero())
	})
})
