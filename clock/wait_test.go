package clock_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/clock"
)

func TestClock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clock")
}

var _ = Describe("a wait", func() {
	// Guards against one more round of work after the context has ended: when the timer had fired as well, the wait
	// reported at random that the context was active.
	It("never reports an ended context as active", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 1000 {
			Expect(clock.Sleep(ctx, time.Nanosecond)).To(BeFalse())
		}
	})
})
