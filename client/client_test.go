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

// fakeInstance is an HTTP server that counts the calls to it.
type fakeInstance struct {
	*httptest.Server
	calls atomic.Int64
}

// reply writes the response to one call.
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

// newInstance starts an instance that answers calls with the replies in order and repeats the last one.
func newInstance(replies ...reply) *fakeInstance {
	s := &fakeInstance{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := int(s.calls.Add(1))
		replies[min(n, len(replies))-1](w)
	}))
	DeferCleanup(s.Close)
	return s
}

// closedServerURL returns the URL of a server that is no longer listening.
func closedServerURL() string {
	s := httptest.NewServer(nil)
	s.Close()
	return s.URL
}

// newClient returns a client and a context with a deadline of 2 s.
func newClient(addresses ...string) (*client.Client, context.Context) {
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
	It("go to the next instance when one is unreachable or did not run them", func() {
		a, b := newInstance(noLeader), newInstance(accepted)
		c, ctx := newClient(closedServerURL(), a.URL, b.URL)
		j, err := c.SubmitJob(ctx, model.JobSpec{})
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Spec.ID).To(Equal("j1"))
		_, err = c.SubmitJob(ctx, model.JobSpec{})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.calls.Load()).To(Equal(int64(1)), "the next call starts with the instance that answered")
	})

	It("with an ID go to the next instance when one accepts the connection and never answers", func() {
		// The kernel still accepts connections for a stopped process.
		frozen, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(frozen.Close)
		healthy := newInstance(replyJSON(model.Job{Spec: model.JobSpec{ID: "j"}}))
		c := client.New(client.Config{Addresses: []string{frozen.Addr().String(), healthy.URL}})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		j, err := c.SubmitJob(ctx, model.JobSpec{ID: "j"})
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Spec.ID).To(Equal("j"))
	})

	It("without an ID are not sent again once they may have run", func() {
		a, b := newInstance(abortConnection), newInstance(accepted)
		c, ctx := newClient(a.URL, b.URL)
		_, err := c.SubmitJob(ctx, model.JobSpec{})
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeUnknown))
		Expect(b.calls.Load()).To(BeZero())
	})

	It("with an ID are sent again after a lost or truncated response", func() {
		a, b := newInstance(abortConnection, replyTruncated), newInstance(replyTruncated, accepted)
		c, ctx := newClient(a.URL, b.URL)
		j, err := c.SubmitJob(ctx, model.JobSpec{ID: "j1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(j.State).To(Equal(model.JobWaiting))
	})

	It("keep an unknown outcome when later attempts are refused for another reason", func() {
		// "Not run" in the last attempt does not cover the first.
		a, b := newInstance(abortConnection, noLeader), newInstance(noLeader)
		c, ctx := newClient(a.URL, b.URL)
		_, err := c.SubmitJob(ctx, model.JobSpec{ID: "j1"})
		Expect(model.AsError(err).Code).To(Equal(model.CodeNoLeader))
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeUnknown))
	})

	It("stop at a final refusal and return its typed error", func() {
		a, b := newInstance(impossible), newInstance(accepted)
		c, ctx := newClient(a.URL, b.URL)
		_, err := c.SubmitJob(ctx, model.JobSpec{ID: "j1"})
		Expect(model.AsError(err).Code).To(Equal(model.CodeImpossible))
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
		Expect(b.calls.Load()).To(BeZero())
	})

	It("that reach no instance are unreachable and not run", func() {
		c, ctx := newClient(closedServerURL(), closedServerURL())
		_, err := c.Status(ctx)
		Expect(client.Unreachable.Has(err)).To(BeTrue())
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
	})

	It("that only read have the outcome not run, whatever their attempts return", func() {
		a := newInstance(abortConnection)
		c, ctx := newClient(a.URL)
		_, err := c.Config(ctx)
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeNotRun))
	})

	It("have an unknown outcome when the response is not a typed error", func() {
		a := newInstance(func(w http.ResponseWriter) { w.WriteHeader(502); w.Write([]byte("<html>")) })
		c, ctx := newClient(a.URL)
		_, err := c.Patch(ctx, testPatch())
		Expect(model.AsError(err).Outcome).To(Equal(model.OutcomeUnknown))
	})

	It("that list request pages until one is not full", func() {
		fullPage := make([]state.Record, webapi.HistoryPageSize)
		for i := range fullPage {
			fullPage[i].Version = uint64(i + 1)
		}
		a := newInstance(replyJSON(fullPage), replyJSON([]state.Record{{Version: 9999}}))
		c, ctx := newClient(a.URL)
		all, err := c.History(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveLen(webapi.HistoryPageSize + 1))
	})
})

func testPatch() config.Patch {
	return config.Patch{ID: "p", Changes: []config.Change{{RemoveTeam: "x"}}}
}
