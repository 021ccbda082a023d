package replay

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"time"

	"turmericroute/model"
	"turmericroute/place"
)

const (
	// targetRunningTasks is the number of running tasks at the large size.
	targetRunningTasks = 8600
	// timedDecisions is the number of decisions timed for each number of workers.
	timedDecisions = 300
)

// Cost is the decision time and memory use of the policy at the large size.
type Cost struct {
	// DecisionP99MS is the 99th percentile of the time of a decision for a gang of 64 tasks, in milliseconds.
	DecisionP99MS float64
	// GrowthRatio is the 99th percentile at 880 workers divided by four times that at 220; 1 means linear growth.
	GrowthRatio float64
	// StateMB is the heap used by the policy's state, in MiB.
	StateMB float64
	// RunningTasks is the number of tasks that run while decisions are timed.
	RunningTasks int
}

// String returns the cost as key=value pairs.
func (c Cost) String() string {
	return fmt.Sprintf("running_tasks=%d decision_p99_ms=%.2f growth_ratio=%.2f state_mb=%.1f", c.RunningTasks, c.DecisionP99MS, c.GrowthRatio, c.StateMB)
}

// MeasureCost times decisions for gangs of 64 tasks on loaded sites of 880 and
// 220 workers. It returns an error if ctx ends.
func MeasureCost(ctx context.Context, cfg Config) (Cost, error) {
	heapBefore := heapMB()
	largePolicy, tasks := newLoadedPolicy(880, cfg)
	c := Cost{RunningTasks: tasks, StateMB: heapMB() - heapBefore}
	c.DecisionP99MS = measureDecisionP99(largePolicy, 880, cfg.Seed)
	if err := ctx.Err(); err != nil {
		return c, fmt.Errorf("measure with 880 workers: %w", err)
	}
	smallPolicy, _ := newLoadedPolicy(220, cfg)
	c.GrowthRatio = c.DecisionP99MS / (4 * measureDecisionP99(smallPolicy, 220, cfg.Seed))
	runtime.KeepAlive(largePolicy)
	return c, nil
}

// heapMB returns the heap in use after a garbage collection, in MiB.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// newLoadedPolicy returns a policy for a site with the given number of workers
// and a proportional number of running tasks, and that number of tasks.
func newLoadedPolicy(workers int, cfg Config) (*place.Policy, int) {
	sz := largeSize(workers)
	p := place.New(place.Config{Seed: cfg.Seed})
	p.Step(virtualEpoch, place.ConfigChanged{Config: sz.Config})
	for _, w := range declaredWorkers(sz.Config) {
		p.Step(virtualEpoch, place.WorkerJoined{Worker: w})
	}
	tr := newTrace(sz, cfg.Seed, false)
	targetTasks := targetRunningTasks * workers / 880
	tasks := 0
	now := virtualEpoch
	gangTasks := map[string]int{}
	for i := 0; tasks < targetTasks && i < len(tr.jobs); i++ {
		spec := tr.jobs[i].spec
		gangTasks[spec.ID] = spec.Shape.Tasks
		now = now.Add(time.Second)
		p.Step(now, place.JobSubmitted{Job: model.Job{Spec: spec}, At: now})
		for _, d := range p.Decide(now) {
			if s, ok := d.(place.Start); ok {
				tasks += gangTasks[s.ID]
				p.Step(now, place.JobStarted{ID: s.ID, Attempt: 1})
			}
		}
	}
	return p, tasks
}

// measureDecisionP99 returns the 99th percentile, in milliseconds, of the time
// to submit a gang of 64 tasks and decide on it. The gangs belong to random
// teams, with and without accelerators, urgent or not; each is removed before
// the next one.
func measureDecisionP99(p *place.Policy, workers int, seed int64) float64 {
	r := rand.New(rand.NewSource(seed))
	sz := largeSize(workers)
	now := virtualEpoch.Add(24 * time.Hour)
	var ms []float64
	for i := range timedDecisions {
		team := sz.Config.Teams[r.Intn(len(sz.Config.Teams))]
		spec := model.JobSpec{
			ID: fmt.Sprintf("probe%d", i), Team: team.Name, Urgent: r.Intn(2) == 0, DeclaredSeconds: 3600,
			Shape: model.Shape{Tasks: MaxTasks, GPUs: r.Intn(2), Cores: 1 + r.Intn(4), MemoryMB: 4 << 10},
		}
		now = now.Add(time.Second)
		start := time.Now()
		p.Step(now, place.JobSubmitted{Job: model.Job{Spec: spec}, At: now})
		decisions := p.Decide(now)
		ms = append(ms, time.Since(start).Seconds()*1000)
		undoSubmission(p, now, spec.ID, decisions)
	}
	return percentile(ms, 0.99)
}

// undoSubmission removes a submitted job, releases what the decisions on it
// started, and requeues and restarts what they preempted.
func undoSubmission(p *place.Policy, now time.Time, id string, decisions []place.Decision) {
	p.Step(now, place.JobRemoved{ID: id})
	for _, d := range decisions {
		switch d := d.(type) {
		case place.Start:
			p.Step(now, place.JobReleased{ID: d.ID, Attempt: 1 << 20, Requeue: d.ID != id})
		case place.Preempt:
			p.Step(now, place.JobReleased{ID: d.ID, Attempt: 1 << 20, Requeue: true})
		}
	}
	for _, d := range p.Decide(now) {
		if s, ok := d.(place.Start); ok {
			p.Step(now, place.JobStarted{ID: s.ID, Attempt: 1})
		}
	}
}
