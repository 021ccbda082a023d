package fault_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/fault"
)

func TestFault(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fault")
}

// listenEcho starts a server that sends back all that it receives.
func listenEcho() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	DeferCleanup(ln.Close)
	return ln
}

var _ = Describe("proxy", func() {
	var p *fault.Proxy
	var c net.Conn

	BeforeEach(func() {
		var err error
		p, err = fault.Listen("127.0.0.1:0", listenEcho().Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		c, err = net.Dial("tcp", p.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
	})

	// sendAndReceive sends s and returns what the server sends back within 300 ms.
	sendAndReceive := func(s string) (string, error) {
		if _, err := c.Write([]byte(s)); err != nil {
			return "", err
		}
		Expect(c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
		buf := make([]byte, len(s))
		n, err := io.ReadFull(c, buf)
		return string(buf[:n]), err
	}

	It("forwards data unchanged without a rule", func() {
		Expect(sendAndReceive("hello")).To(Equal("hello"))
	})

	It("delays each direction", func() {
		p.SetRule(fault.Rule{Delay: 40 * time.Millisecond})
		start := time.Now()
		Expect(sendAndReceive("hello")).To(Equal("hello"))
		Expect(time.Since(start)).To(BeNumerically(">=", 80*time.Millisecond))
	})

	// Guards against a change of the delay that ends another fault of the same link.
	It("changes the delay without ending a drop", func() {
		p.SetRule(fault.Rule{DropBack: true})
		p.SetDelay(40 * time.Millisecond)
		p.SetDelay(0)
		_, err := sendAndReceive("hello")
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})

	DescribeTable("silently drops data and forwards again after the rule ends", func(r fault.Rule) {
		Expect(sendAndReceive("one")).To(Equal("one"))
		p.SetRule(r)
		_, err := sendAndReceive("two")
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		p.SetRule(fault.Rule{})
		Expect(sendAndReceive("three")).To(Equal("three"))
	},
		Entry("to the target", fault.Rule{DropForward: true}),
		Entry("from the target", fault.Rule{DropBack: true}),
	)

	It("silences existing connections permanently and forwards new ones", func() {
		Expect(sendAndReceive("one")).To(Equal("one"))
		p.Silence()
		_, err := sendAndReceive("two")
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		c, err = net.Dial("tcp", p.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(sendAndReceive("three")).To(Equal("three"))
	})

	It("cuts a connection in the middle of a message", func() {
		Expect(sendAndReceive("one")).To(Equal("one"))
		p.CutBack(2)
		got, err := sendAndReceive("three")
		Expect(err).To(HaveOccurred())
		Expect(got).To(Equal("th"))
	})

	It("resets connections and refuses new ones", func() {
		Expect(sendAndReceive("one")).To(Equal("one"))
		p.SetRule(fault.Rule{Refuse: true})
		p.Reset()
		_, err := sendAndReceive("two")
		Expect(err).To(HaveOccurred())
		n, err := net.Dial("tcp", p.Address())
		if err == nil {
			DeferCleanup(n.Close)
			_, err = n.Read(make([]byte, 1))
		}
		Expect(err).To(HaveOccurred())
	})
})
