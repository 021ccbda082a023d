package serve_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/serve"
)

const entryLog = `ts=2026-01-01T00:00:00.000Z node=entry-1 event=client_refused method=POST path=/p/0f code=no_leader outcome=not_run
ts=2026-01-01T00:00:09.000Z node=entry-1 event=client_refused method=GET path=/p/0f00 code=no_leader outcome=not_run
`

const controlLog = `ts=2026-01-01T00:00:01.000Z node=control-1 event=job_accepted job=0f term=1 err=null
ts=2026-01-01T00:00:01.500Z node=control-1 event=start_ordered task=0f.0.0.1 run=1 worker=w1
ts=2026-01-01T00:00:06.500Z node=control-1 event=run_ended task=0f.0.0.1 run=1 how=lost worker=w1 err="lost 0f.0.0.1"
ts=2026-01-01T00:00:07.000Z node=control-1 event=run_placed task=0f0.0.0.1 run=1 worker=w1
cut short 0f`

var _ = Describe("the history of a job", func() {
	It("sorts the lines of all processes that refer to the job, leaves out other jobs, and finds the longest gap", func() {
		history, err := serve.JobHistory("0f", strings.NewReader(controlLog), strings.NewReader(entryLog))
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(4))
		Expect(history[0].Node).To(Equal("entry-1"))
		Expect(history[3].Text).To(Equal(`event=run_ended task=0f.0.0.1 run=1 how=lost worker=w1 err=lost 0f.0.0.1`))
		after, gap := serve.LongestGap(history)
		Expect(after).To(Equal(2))
		Expect(gap).To(Equal(5 * time.Second))
	})
})
