package client_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
	"turmericroute/webapi"
)

// fakeInstance is a server that counts calls and answers each with the next of its answers.
type fakeInstance struct {
	*httptest.Server
	calls atomic.Int64
}

type reply func(w http.ResponseWriter)

func replyError(status int, e *model.Error) reply {
	return func(w http.ResponseWriter) {
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(e)
	}
}

func replyJSON(v any) reply { return func(w http.ResponseWriter) { json.NewEncoder(w).Encode(v) } }

func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func replyTruncated(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "100")
	w.Write([]byte(`{"spec":`))
}

// newInstance answers the calls in turn; the last reply is repeated.
func newInstance(replies ...reply) *fakeInstance {
	i := &fakeInstance{}
	i.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := int(i.calls.Add(1))
		replies[min(n, len(replies))-1](w)
	}))
	DeferCleanup(i.Close)
	return i
}

func closedServerURL() string {
	s := httptest.NewServer(nil)
	s.Close()
	return s.URL
}

func call(addresses ...string) (*client.Client, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	DeferCleanup(cancel)
	return client.New(client.Config{Addresses: addresses}), ctx
}

var (
	accepted   = replyJSON(model.Job{Spec: model.JobSpec{ID: "j1"}, State: model.JobWaiting})
	noLeader   = replyError(503, model.NotRun(model.CodeNoLeader, "no leader"))
	impossible = replyError(422, model.NotRun(model.CodeImpossible, "never"))
)

var _ = Describe("calls", func() {
	It("go to the next instance when one cannot be reached or did not run them", func() {
		a, b := newInstance(noLeader), newInstance(accepted)
		c, ctx := call(closedServerURL(), a.URL, b.URL)
		j, err := c.SubmitJob(ctx, model.JobSpec{})
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Spec.ID).To(Equal("j1"))
		_, err = c.SubmitJob(ctx, model.JobSpec{})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.calls.Load()).To(Equal(int64(1)), "the instance that answered is asked first from then on")
	})

	It("with an ID go to the next instance while one takes them and never answers", func() {
		// A stopped process still has its connections accepted by the kernel.
		frozen, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(frozen.Close)
		good := newInstance(replyJSON(model.Job{Spec: model.JobSpec{ID: "j"}}))
		c := client.New(client.Config{Addresses: []string{frozen.Addr().String(), good.URL}})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		j, err := c.SubmitJob(ctx, model.JobSpec{ID: "j"})
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Spec.ID).To(Equal("j"))
	})

	It("without an ID are not sent again once they may have run", func() {
		a, b := newInstance(abortConnection), newInstance(accepted)
		c, ctx := call(a.URL, b.URL)
		_, err := c.SubmitJob(ctx, model.JobSpec{})
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeUnknown))
		Expect(b.calls.Load()).To(BeZero())
	})

	It("with an ID are sent again after a lost or cut answer", func() {
		a, b := newInstance(abortConnection, replyTruncated), newInstance(replyTruncated, accepted)
		c, ctx := call(a.URL, b.URL)
		j, err := c.SubmitJob(ctx, model.JobSpec{ID: "j1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(j.State).To(Equal(model.JobWaiting))
	})

	It("keep an unknown outcome when later attempts are refused for another reason", func() {
		// A "not run" of the last attempt says nothing about the first.
		a, b := newInstance(abortConnection, noLeader), newInstance(noLeader)
		c, ctx := call(a.URL, b.URL)
		_, err := c.SubmitJob(ctx, model.JobSpec{ID: "j1"})
		Expect(model.AsError(err).Code).To(Equal(model.CodeNoLeader))
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeUnknown))
	})

	It("end at a final refusal with its typed error", func() {
		a, b := newInstance(impossible), newInstance(accepted)
		c, ctx := call(a.URL, b.URL)
		_, err := c.SubmitJob(ctx, model.JobSpec{ID: "j1"})
		Expect(model.AsError(err).Code).To(Equal(model.CodeImpossible))
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
		Expect(b.calls.Load()).To(BeZero())
	})

	It("that reach nothing are unreachable and not run", func() {
		c, ctx := call(closedServerURL(), closedServerURL())
		_, err := c.Status(ctx)
		Expect(client.Unreachable.Has(err)).To(BeTrue())
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
	})

	It("that only read are not run, however their sendings end", func() {
		a := newInstance(abortConnection)
		c, ctx := call(a.URL)
		_, err := c.Config(ctx)
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
	})

	It("treat an answer that is not ours as of unknown outcome", func() {
		a := newInstance(func(w http.ResponseWriter) { w.WriteHeader(502); w.Write([]byte("<html>")) })
		c, ctx := call(a.URL)
		_, err := c.Patch(ctx, testPatch())
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeUnknown))
	})

	It("that list ask for the next page until one is not full", func() {
		full := make([]state.Record, webapi.PageHistory)
		for i := range full {
			full[i].Version = uint64(i + 1)
		}
		a := newInstance(replyJSON(full), replyJSON([]state.Record{{Version: 9999}}))
		c, ctx := call(a.URL)
		all, err := c.History(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveLen(webapi.PageHistory + 1))
	})
})

func testPatch() config.Patch {
	return config.Patch{ID: "p", Changes: []config.Change{{RemoveTeam: "x"}}}
}
