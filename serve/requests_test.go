package serve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/serve"
)

// answered is what a client received.
type answered struct {
	status int
	body   string
	err    error
}

// startServer serves h until the end of the spec and returns the server and its URL.
func startServer(q *serve.Requests, h http.HandlerFunc) (*http.Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Addr: l.Addr().String(), Handler: h, BaseContext: q.BaseContext}
	go srv.Serve(l)
	DeferCleanup(func() { srv.Close() })
	return srv, "http://" + srv.Addr
}

func get(url string) <-chan answered {
	out := make(chan answered, 1)
	go func() {
		resp, err := http.Get(url)
		if err != nil {
			out <- answered{err: err}
			return
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		out <- answered{status: resp.StatusCode, body: string(data), err: err}
	}()
	return out
}

var _ = Describe("requests in flight at a shutdown", func() {
	// Guards against callers that lose the connection without an answer, because the leader that their requests wait
	// for is not found before the time of the shutdown is up.
	It("are answered when the time is up", func() {
		q := serve.NewRequests()
		entered := make(chan struct{})
		srv, url := startServer(q, func(w http.ResponseWriter, r *http.Request) {
			close(entered)
			<-r.Context().Done()
			http.Error(w, "not run", http.StatusServiceUnavailable)
		})
		got := get(url)
		Eventually(entered).Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(q.Finish(ctx, srv)).To(Succeed())
		Expect(<-got).To(Equal(answered{status: http.StatusServiceUnavailable, body: "not run\n"}))
	})

	// Guards against requests to one server that are cut because those to another one took the time of both.
	It("have the whole time at each server", func() {
		q := serve.NewRequests()
		const timeout = 400 * time.Millisecond
		entered := make(chan struct{}, 2)
		busy, busyURL := startServer(q, func(w http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			<-r.Context().Done()
		})
		other, otherURL := startServer(q, func(w http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			select {
			case <-time.After(timeout / 2):
				io.WriteString(w, "done")
			case <-r.Context().Done():
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		get(busyURL)
		got := get(otherURL)
		Eventually(entered).Should(Receive())
		Eventually(entered).Should(Receive())
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		Expect(q.Finish(ctx, busy, other)).To(Succeed())
		Expect(<-got).To(Equal(answered{status: http.StatusOK, body: "done"}))
	})

	It("are abandoned with an error if their handlers do not end", func() {
		q := serve.NewRequests()
		entered, release := make(chan struct{}), make(chan struct{})
		defer close(release)
		srv, url := startServer(q, func(http.ResponseWriter, *http.Request) { close(entered); <-release })
		got := get(url)
		Eventually(entered).Should(BeClosed())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(q.Finish(ctx, srv)).To(MatchError(ContainSubstring("finish requests")))
		Expect((<-got).err).To(HaveOccurred())
	})
})
