package quota_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

var _ = Describe("a limit", func() {
	limit := quota.Limit{CPUMilli: 10000, GPUs: 8}

	// Guards against a limit of 0 that forbids everything, and against one resource that is left out.
	DescribeTable("lets as many tasks start as every limited resource allows",
		func(l quota.Limit, used, need quota.Amounts, n int) {
			Expect(l.Count(used, need)).To(Equal(n))
			if n < math.MaxInt {
				Expect(l.Allows(used, need.Times(n+1))).To(BeFalse())
			}
			Expect(n == 0 || l.Allows(used, need.Times(min(n, 1000)))).To(BeTrue())
		},
		Entry("without a limit", quota.Limit{}, quota.Amounts{GPUs: 100}, quota.Amounts{GPUs: 1}, math.MaxInt),
		Entry("of a resource that is not limited", limit, quota.Amounts{GPUs: 8}, quota.Amounts{MemoryMB: 1}, math.MaxInt),
		Entry("by accelerators", limit, quota.Amounts{GPUs: 3}, quota.Amounts{CPUMilli: 1, GPUs: 2}, 2),
		Entry("by cores", limit, quota.Amounts{CPUMilli: 4000}, quota.Amounts{CPUMilli: 5000, GPUs: 1}, 1),
		Entry("at the limit", limit, quota.Amounts{GPUs: 8}, quota.Amounts{GPUs: 1}, 0),
		Entry("larger than the limit", limit, quota.Amounts{}, quota.Amounts{GPUs: 9}, 0),
		Entry("after another resource's limit was lowered", limit, quota.Amounts{GPUs: 9}, quota.Amounts{MemoryMB: 1}, 0),
	)

	// Guards against a team with a single accelerator whose lower-ranked work has no limit.
	It("is still a limit when it is halved", func() {
		Expect(quota.Limit{GPUs: 1, CPUMilli: 10000}.Half()).To(Equal(quota.Limit{GPUs: 1, CPUMilli: 5000}))
	})

	// Guards against a reason that does not say which limit to raise.
	It("names the resource that is short", func() {
		_, short := limit.Shortage(quota.Amounts{GPUs: 4}, quota.Amounts{GPUs: 4})
		Expect(short).To(BeFalse())
		s, _ := limit.Shortage(quota.Amounts{GPUs: 8}, quota.Amounts{GPUs: 1})
		Expect(s.Reason("x")).To(Equal("waits for the quota of team x: 8 of 8 accelerators"))
		s, _ = limit.Shortage(quota.Amounts{CPUMilli: 9500}, quota.Amounts{CPUMilli: 600})
		Expect(s.String()).To(Equal("9.5 of 10 cores"))
	})
})
