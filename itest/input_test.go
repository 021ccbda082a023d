package itest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/client"
	"turmericroute/itest"
)

// memoryBound is the required maximum resident memory of an instance, in bytes.
const memoryBound = 128 << 20

// residentBytes returns the resident memory of an instance's process, in bytes.
func residentBytes(n *itest.Node) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.PID()))
	Expect(err).NotTo(HaveOccurred())
	pages, err := strconv.Atoi(strings.Fields(string(b))[1])
	Expect(err).NotTo(HaveOccurred())
	return pages * os.Getpagesize()
}

var _ = Describe("bad input to an instance", func() {
	It("is refused with an error code, changes nothing and uses bounded memory", func(ctx SpecContext) {
		c := startCluster(ctx, fiveVoters[:3])
		n := c.Nodes[0]
		before, err := n.Client.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		deep := strings.Repeat(`{"changes":[`, 20000)
		for name, body := range map[string]io.Reader{
			"truncated":   strings.NewReader(`{"id":"x","base_version":1,"changes":[{"put_te`),
			"empty":       strings.NewReader(""),
			"deep":        strings.NewReader(deep),
			"not UTF-8":   bytes.NewReader([]byte("{\"id\":\"\xff\xfe\"}")),
			"unknown":     strings.NewReader(`{"id":"x","base_version":1,"changes":[],"extra":1}`),
			"negative":    strings.NewReader(`{"id":"x","base_version":-1,"changes":[]}`),
			"overflowing": strings.NewReader(`{"id":"x","base_version":99999999999999999999999,"changes":[]}`),
			"trailing":    strings.NewReader(`{"id":"x","base_version":1,"changes":[]} {}`),
			"oversized":   io.LimitReader(neverEnding('a'), 64<<20),
		} {
			resp, err := http.Post("http://"+n.HTTP+"/v1/config/patches", "application/json", body)
			if err != nil {
				// An instance may close the connection while a body that is too large is still being sent.
				Expect(name).To(Equal("oversized"))
				continue
			}
			var e struct {
				Code    string `json:"code"`
				Outcome string `json:"outcome"`
			}
			Expect(json.NewDecoder(resp.Body).Decode(&e)).To(Succeed(), name)
			resp.Body.Close()
			Expect(resp.StatusCode).To(BeNumerically("~", 400, 99), name)
			Expect(e.Code).NotTo(BeEmpty(), name)
			Expect(e.Outcome).To(Equal("not_run"), name)
		}
		after, err := n.Client.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Version).To(Equal(before.Version))
		Expect(residentBytes(n)).To(BeNumerically("<", memoryBound))
	}, NodeTimeout(60*time.Second))

	It("in the form of thousands of idle connections does not prevent new requests", func(ctx SpecContext) {
		c := startCluster(ctx, fiveVoters[:3])
		n := c.Nodes[0]
		const idle = 5000
		for range idle {
			conn, err := net.Dial("tcp", n.HTTP)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
		}
		// Connections over the limit wait until the instance closes connections that sent no request within 5 s.
		Eventually(func() error {
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			_, err := client.New(client.Config{Addresses: []string{n.HTTP}}).Status(ctx)
			return err
		}, "20s", "100ms").Should(Succeed(), "new connections must be served")
		Expect(residentBytes(n)).To(BeNumerically("<", memoryBound))
		applyChanges(ctx, c, serviceChange("dc1", false))
	}, NodeTimeout(60*time.Second))
})

// neverEnding is an io.Reader that repeats one byte without end.
type neverEnding byte

func (b neverEnding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}
