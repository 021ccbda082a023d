package serve_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/serve"
)

var _ = Describe("a request that panics", func() {
	// Guards against a panic that leaves no line by which its request can be found.
	It("ends alone, and is logged and counted", func() {
		var lines bytes.Buffer
		set := metrics.NewSet()
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/bad" {
				panic("unexpected")
			}
		})
		s := httptest.NewServer(serve.RecoverRequests(h, log.NewLogfmtLogger(log.NewSyncWriter(&lines)), set))
		defer s.Close()
		Expect(http.Get(s.URL + "/bad")).Error().To(HaveOccurred())
		resp, err := http.Get(s.URL + "/good")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(lines.String()).To(ContainSubstring("event=request_panicked"))
		Expect(lines.String()).To(ContainSubstring("path=/bad"))
		Expect(set.GetOrCreateCounter("turmericroute_http_panics_total").Get()).To(BeEquivalentTo(1))
	})
})
