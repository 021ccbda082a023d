package soak_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/soak"
)

// Guards against a calm whose checks cannot fail, or fail for calls that began under faults.
var _ = Describe("the calm", func() {
	errTimeout := errors.New("timeout")

	DescribeTable("detects a violation", func(rule, machine string, violate func(soak.Calm)) {
		c := soak.NewCalm(false)
		violate(c)
		Expect(c.Violations()).To(ConsistOf(And(ContainSubstring(rule), ContainSubstring(machine))))
	},
		Entry("a submission without an answer", "LOST", "entry-1", func(c soak.Calm) { c.SubmissionEnded(time.Second, 0, "", errTimeout) }),
		Entry("a submission without a clear answer", "LOST", "entry-1", func(c soak.Calm) { c.SubmissionEnded(time.Second, 504, "", nil) }),
		Entry("a submission that is refused for want of a leader", "LOST", "entry-1", func(c soak.Calm) { c.SubmissionEnded(time.Second, 503, `{"code":"no_leader"}`, nil) }),
		Entry("a configuration that is not acknowledged in time", "CONFIG", "control-0", func(c soak.Calm) { c.ConfigUnanswered(5 * time.Second) }),
	)

	DescribeTable("accepts", func(ended bool, call func(soak.Calm)) {
		c := soak.NewCalm(ended)
		call(c)
		Expect(c.Violations()).To(BeEmpty())
	},
		Entry("an accepted submission", false, func(c soak.Calm) { c.SubmissionEnded(time.Second, 200, `{"state":"pending"}`, nil) }),
		Entry("a submission that is refused for want of room", false, func(c soak.Calm) { c.SubmissionEnded(time.Second, 503, `{"code":"overloaded"}`, nil) }),
		Entry("a submission without an answer that began before the calm", false, func(c soak.Calm) { c.SubmissionEnded(time.Hour, 0, "", errTimeout) }),
		Entry("a submission without an answer after the calm", true, func(c soak.Calm) { c.SubmissionEnded(time.Second, 0, "", errTimeout) }),
		Entry("a configuration that may still be acknowledged in time", false, func(c soak.Calm) { c.ConfigUnanswered(3 * time.Second) }),
	)
})
