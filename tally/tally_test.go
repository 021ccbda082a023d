package tally_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"turmericroute/tally"
)

// Guards against large jobs that are served far less often than their queue without any figure that shows it.
func TestJobsAreGroupedBySize(t *testing.T) {
	g := NewWithT(t)
	var log strings.Builder
	for i := range 10 {
		fmt.Fprintf(&log, "1.0 a event=job_accepted job=j%d queue=q tasks=%d work=%d objective_ms=1000 err=null\n", i, i+1, 100-i)
		fmt.Fprintf(&log, "event=start_ordered task=j%d.0.0.0 run=1\n", i)
		fmt.Fprintf(&log, "event=job_ended job=j%d state=succeeded took_ms=%d\n", i, 400*i)
	}
	log.WriteString(`event=job_accepted job=x queue=q tasks=99 work=1 objective_ms=1000 err=null
event=job_cancelled job=x state=cancelled
event=run_ended task=j9.0.0.0 run=1 how=broken cause=unresolved lost=4 waited=1 err=null
event=run_ended task=j9.0.0.0 run=2 how=done cause= lost=0 waited=0 err=null
event=run_ended task=j9.0.0.0 run=2 how=done cause= lost=0 waited=0 err="no quorum"
event=gang_loss_resolved task=j9.0.0.0 run=1 cause=member_failed runs=1 lost=4
event=job_refused job=y queue=q tasks=1 work=1 objective_ms=0 code=invalid
`)
	jobs := tally.Jobs{}
	g.Expect(jobs.ReadLog(strings.NewReader(log.String()))).To(Succeed())
	groups := jobs.Groups(tally.ByTasks)
	var names []string
	for _, gr := range groups {
		names = append(names, fmt.Sprintf("%s %v-%v %d", gr.Name, gr.Smallest, gr.Largest, len(gr.Jobs)))
	}
	g.Expect(names).To(Equal([]string{"all 1-10 10", "smaller half 1-5 5", "next fifth 6-7 2", "fifth below 8-9 2", "largest tenth 10-10 1"}))
	g.Expect([]float64{groups[0].Share(1), groups[0].Share(3), groups[3].Share(3), groups[4].Share(3)}).To(Equal([]float64{0.3, 0.8, 0.5, 0}))
	var out strings.Builder
	g.Expect(tally.Write(&out, groups[4:])).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`largest tenth +10 to 10 +1 +0.00 +0.00 +2.00 +broken=1 done=1 +5: gang_wait=1/1 member_failed=4/1`))
	g.Expect(jobs.Groups(tally.ByWork)[4].Jobs[0].Tasks).To(Equal(1))
}
