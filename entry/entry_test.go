package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/config"
	"turmericroute/entry"
	"turmericroute/fakes"
	"turmericroute/model"
	"turmericroute/state"
)

var _ = Describe("Requests", func() {
	// Guards the path without faults: method, path, query, body and status pass unchanged, and each
	// request runs once.
	It("reach an executor and return its response", func() {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{Status: http.StatusCreated})
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		for _, method := range []string{"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"} {
			for _, body := range []string{"", "seam plan"} {
				id := method + body
				got := s.send(call{id: strings.ReplaceAll(id, " ", "-"), method: method, body: body, path: "plans/a%2Fb?x=%2F"})
				Expect(got.err).NotTo(HaveOccurred())
				Expect(got.status).To(Equal(http.StatusCreated))
				Expect(got.outcome).To(Equal(model.OutcomeDone))
				run := u.Ledger()[strings.ReplaceAll(id, " ", "-")]
				Expect(run.Started).To(Equal(1))
				Expect(string(run.Body)).To(Equal(body))
				Expect(run.URL).To(Equal("/plans/a%2Fb?x=%2F"))
			}
		}
		got := s.send(call{method: "HEAD", id: "h"})
		Expect(got.header.Get("Content-Length")).To(Equal(fmt.Sprint(len(fakes.ResponseBody("h", 0)))))
	})

	// Guards against hop-by-hop headers, the caller's key or its token reaching executors, and
	// against internal headers of executors reaching the caller.
	It("forward end-to-end headers only", func() {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{})
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		got := s.send(call{key: "k1", header: map[string]string{
			"Connection": "X-Hop, close", "X-Hop": "1", "Te": "trailers", "Keep-Alive": "3", "X-End": "2", "Turmericroute-Key": "forged",
			"Authorization": "Bearer secret",
		}})
		Expect(got.header).NotTo(HaveKey("Turmericroute-Load"))
		h := u.Ledger()["k1"].Header
		Expect(h.Get("X-End")).To(Equal("2"))
		Expect(h.Values("Turmericroute-Key")).To(Equal([]string{"k1"}))
		for _, name := range []string{"X-Hop", "Te", "Keep-Alive", "Idempotency-Key", "Turmericroute-Key-Time", "Authorization"} {
			Expect(h).NotTo(HaveKey(name))
		}
	})

	// Guards against running invalid requests, and against the outcome not_run for a key whose
	// earlier submission may have run.
	DescribeTable("are refused before they are sent",
		func(c call, status int, code model.Code, outcome model.Outcome) {
			r := newFakeReplica()
			u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{})
			s := newTestEntry(r, func(c *entry.Config) { c.MaxBodyBytes = 100 })
			s.waitUsable(1)
			got := s.send(c)
			Expect([]any{got.status, got.code, got.outcome}).To(Equal([]any{status, string(code), outcome}))
			Expect(u.Ledger()).To(BeEmpty())
		},
		Entry("unknown team", call{team: "nobody"}, 404, model.CodeNotFound, model.OutcomeNotRun),
		Entry("no team", call{header: map[string]string{entry.HeaderTeam: ""}}, 400, model.CodeInvalid, model.OutcomeNotRun),
		Entry("team without an executor in its data centres", call{team: "norte"}, 503, model.CodeNoUpstream, model.OutcomeNotRun),
		Entry("large body", call{body: strings.Repeat("x", 101)}, 413, model.CodeTooLarge, model.OutcomeNotRun),
		Entry("invalid timeout", call{header: map[string]string{entry.HeaderTimeout: "-1"}}, 400, model.CodeInvalid, model.OutcomeNotRun),
		Entry("invalid idempotency header", call{header: map[string]string{entry.HeaderIdempotent: "no"}}, 400, model.CodeInvalid, model.OutcomeNotRun),
		Entry("non-idempotent request without a key", call{header: map[string]string{entry.HeaderIdempotent: "false"}}, 400, model.CodeInvalid, model.OutcomeNotRun),
		Entry("key without time", call{key: "k", header: map[string]string{entry.HeaderKeyTime: ""}}, 400, model.CodeInvalid, model.OutcomeUnknown),
		Entry("old key", call{key: "k", header: map[string]string{entry.HeaderKeyTime: "1700000000000"}}, 410, model.CodeKeyExpired, model.OutcomeUnknown),
		Entry("key from the future", call{key: "k", header: map[string]string{entry.HeaderKeyTime: "99999999999999"}}, 400, model.CodeInvalid, model.OutcomeUnknown),
	)

	// Guards against a team that exceeds its limit of concurrent requests at one entry.
	It("are bounded by the team's limit", func() {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{Mode: fakes.Hang})
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { s.send(call{team: "pequena", id: fmt.Sprint("held", i), timeout: 400 * time.Millisecond}) })
		}
		Eventually(u.Ledger).Should(HaveLen(2))
		Expect(s.send(call{team: "pequena"}).code).To(Equal(string(model.CodeLimit)))
		wg.Wait()
	})

	// Guards against refusing requests that have time left because refusals by full executors used
	// up the retry budget.
	It("wait while executors are full and the retry budget is used up", func() {
		r := newFakeReplica()
		var upstreams []*fakes.Upstream
		for i := range 30 {
			upstreams = append(upstreams, startUpstream(r, fmt.Sprint("u", i), "scl-1", fakes.Behaviour{Mode: fakes.Refuse}))
		}
		s := newTestEntry(r, nil)
		s.waitUsable(30)
		var wg sync.WaitGroup
		codes := make(chan string, 60)
		for i := range 60 {
			wg.Go(func() { codes <- s.send(call{id: fmt.Sprint(i), timeout: 5 * time.Second}).code })
		}
		Eventually(func() int {
			n := 0
			for _, u := range upstreams {
				n += len(u.Ledger())
			}
			return n
		}).Should(BeNumerically(">", 25))
		for _, u := range upstreams {
			u.SetBehaviour(fakes.Behaviour{})
		}
		wg.Wait()
		close(codes)
		for c := range codes {
			Expect(c).To(BeEmpty())
		}
	})

	// Guards against an entry with a stale view that sends requests, new or queued ones.
	It("are not sent by an entry with a stale view", func() {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{Delay: 300 * time.Millisecond})
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		var wg sync.WaitGroup
		codes := make(chan string, 20)
		for i := range 20 {
			wg.Go(func() { codes <- s.send(call{id: fmt.Sprint(i), timeout: 2 * time.Second}).code })
		}
		Eventually(u.Ledger).Should(HaveLen(8))
		r.age.Store(int64(2 * time.Second))
		got := s.send(call{})
		Expect([]any{got.code, got.outcome}).To(Equal([]any{string(model.CodeStaleView), model.OutcomeNotRun}))
		Expect(s.send(call{key: "k1"}).outcome).To(Equal(model.OutcomeUnknown))
		wg.Wait()
		close(codes)
		refused := 0
		for c := range codes {
			if c == string(model.CodeStaleView) {
				refused++
			}
		}
		Expect(refused).To(Equal(12))
		Expect(u.Ledger()).To(HaveLen(8))
	})

	// Guards against requests that are lost, or run without a response, during a graceful shutdown.
	It("in flight survive a drain under load", func() {
		r := newFakeReplica()
		u := startUpstream(r, "u1", "scl-1", fakes.Behaviour{Delay: 20 * time.Millisecond})
		s := newTestEntry(r, nil)
		s.waitUsable(1)
		var wg sync.WaitGroup
		var mu sync.Mutex
		count := map[string]int{}
		for i := range 40 {
			wg.Go(func() {
				for j := range 10 {
					c := call{id: fmt.Sprint(i, "-", j)}
					if i%4 == 0 {
						c.key = c.id
					}
					got := s.send(c)
					mu.Lock()
					count[fmt.Sprint(got.code, got.outcome)]++
					mu.Unlock()
				}
			})
		}
		Eventually(func() int { return len(u.Ledger()) }).Should(BeNumerically(">", 40))
		Expect(s.entry.Drain(context.Background())).To(Succeed())
		done := len(u.Ledger())
		wg.Wait()
		Expect(u.Ledger()).To(HaveLen(done), "nothing is sent after the drain")
		Expect(count["done"]).To(Equal(done))
		Expect(count["done"] + count["shutting_downnot_run"] + count["shutting_downunknown"]).To(Equal(400))
	})
})

var _ = Describe("Executors", func() {
	// Guards against new requests to an executor that left or whose data centre is out of service.
	DescribeTable("that are taken out of service get no new requests", func(takeOut func(r *fakeReplica)) {
		r := newFakeReplica()
		u1 := startUpstream(r, "u1", "scl-1", fakes.Behaviour{})
		startUpstream(r, "u2", "scl-2", fakes.Behaviour{})
		s := newTestEntry(r, nil)
		s.waitUsable(2)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						if got := s.send(call{}); got.outcome != model.OutcomeDone {
							GinkgoT().Errorf("refused: %+v", got)
							return
						}
					}
				}
			})
		}
		Eventually(func() int { return len(u1.Ledger()) }).Should(BeNumerically(">", 20))
		takeOut(r)
		at := time.Now()
		last := func() time.Time {
			var t time.Time
			for _, run := range u1.Ledger() {
				if run.StartedAt.After(t) {
					t = run.StartedAt
				}
			}
			return t
		}
		Eventually(func() time.Duration { return time.Since(last()) }).WithTimeout(3 * time.Second).Should(BeNumerically(">", 300*time.Millisecond))
		close(stop)
		wg.Wait()
		Expect(last()).To(BeTemporally("<", at.Add(500*time.Millisecond)))
	},
		Entry("by leaving", func(r *fakeReplica) {
			_, err := r.Execute(context.Background(), state.LeaveUpstream{Name: "u1", Incarnation: 1})
			Expect(err).NotTo(HaveOccurred())
		}),
		Entry("with their data centre", func(r *fakeReplica) {
			r.patch(config.Change{SetDataCentre: &config.DataCentreState{Name: "scl-1", OutOfService: true}})
		}),
	)

	// Guards against failed requests while one of several executors is dead, flapping or slow.
	DescribeTable("that fail are avoided", func(degrade func(u *fakes.Upstream, i int)) {
		r := newFakeReplica()
		bad := startUpstream(r, "bad", "scl-1", fakes.Behaviour{})
		for i := range 3 {
			startUpstream(r, fmt.Sprint("good", i), "scl-1", fakes.Behaviour{})
		}
		s := newTestEntry(r, nil)
		s.waitUsable(4)
		failed := 0
		for i := range 300 {
			degrade(bad, i)
			if got := s.send(call{id: fmt.Sprint("q", i), timeout: 5 * time.Second}); got.status != http.StatusOK || got.body != string(fakes.ResponseBody(fmt.Sprint("q", i), 0)) {
				failed++
			}
		}
		Expect(failed).To(BeZero())
	},
		Entry("dead", func(u *fakes.Upstream, i int) {
			if i == 20 {
				u.Close()
			}
		}),
		Entry("flapping", func(u *fakes.Upstream, i int) {
			u.SetBehaviour(fakes.Behaviour{Mode: map[bool]fakes.Mode{true: fakes.CutHeader, false: fakes.Normal}[i/30%2 == 1]})
		}),
		Entry("slow", func(u *fakes.Upstream, i int) {
			if i == 20 {
				u.SetBehaviour(fakes.Behaviour{Delay: 100 * time.Millisecond})
			}
		}),
	)

	// Guards against upstreams that crashed without leaving and are never removed, and against a
	// leader that removes all of them because its own network is down.
	It("that stay unreachable are removed by the leader's entry", func() {
		r := newFakeReplica()
		u1 := startUpstream(r, "u1", "scl-1", fakes.Behaviour{})
		u2 := startUpstream(r, "u2", "scl-1", fakes.Behaviour{})
		s := newTestEntry(r, func(c *entry.Config) { c.RemoveAfter = 400 * time.Millisecond })
		s.waitUsable(2)
		u1.Close()
		left := func(name string) func() bool {
			return func() bool { u, _ := r.m.Upstream(name); return u.Left }
		}
		Consistently(left("u1")).WithTimeout(time.Second).Should(BeFalse(), "only the leader's entry removes upstreams")
		r.leader.Store(true)
		Eventually(left("u1")).WithTimeout(2 * time.Second).Should(BeTrue())
		u2.Close()
		Consistently(left("u2")).WithTimeout(time.Second).Should(BeFalse())
	})
})
