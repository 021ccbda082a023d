package soak_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/soak"
)

// Guards against a cut that loses no orders, or that lets a stop order through.
var _ = DescribeTable("a cut around the expiry of a lease loses an answer, then heartbeats, then heartbeats again",
	func(refuse bool) {
		var arrived atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
		DeferCleanup(server.Close)
		c := soak.NewCut(GinkgoT().TempDir(), refuse, 1500*time.Millisecond, 500*time.Millisecond, 500*time.Millisecond)
		var seen []string
		for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
			before := arrived.Load()
			switch err := c.Send(server.URL, 250*time.Millisecond); {
			case err == nil:
				seen = append(seen, "answered")
			case arrived.Load() > before:
				seen = append(seen, "answer lost")
			default:
				Expect(err).To(MatchError(ContainSubstring(map[bool]string{true: "refused", false: "deadline"}[refuse])))
				seen = append(seen, "lost")
			}
		}
		Expect(slices.Compact(seen)).To(Equal([]string{"answer lost", "lost", "answered", "lost", "answered"}))
	},
	Entry("refused at once", true),
	Entry("waiting for their timeouts", false),
)
