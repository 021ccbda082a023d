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
	// costTasks is the number of running tasks at the large size.
	costTasks = 8600
	// costProbes is the number of decisions timed at each number of workers.
	costProbes = 300
)

// Cost is the decision cost and memory at the large size.
type Cost struct {
	// DecisionP99MS is the 99th percentile of one decision for a gang of 64, in milliseconds.
	DecisionP99MS float64
	// Growth is the 99th percentile at 880 workers by four times that at 220; 1 is linear.
	Growth float64
	// StateMB is the heap that the policy's state takes at the large size.
	StateMB float64
	Tasks   int
}

// String formats the cost.
func (c Cost) String() string {
	return fmt.Sprintf("running_tasks=%d decision_p99_ms=%.2f growth_ratio=%.2f state_mb=%.1f", c.Tasks, c.DecisionP99MS, c.Growth, c.StateMB)
}

// MeasureCost times decisions for gangs of 64 with 880 and 220 workers in use.
func MeasureCost(ctx context.Context, cfg Config) (Cost, error) {
	heap := heapMB()
	p, tasks := filled(880, cfg)
	c := Cost{Tasks: tasks, StateMB: heapMB() - heap}
	c.DecisionP99MS = probe(p, 880, cfg.Seed)
	if err := ctx.Err(); err != nil {
		return c, fmt.Errorf("measure with 880 workers: %w", err)
	}
	small, _ := filled(220, cfg)
	c.Growth = c.DecisionP99MS / (4 * probe(small, 220, cfg.Seed))
	runtime.KeepAlive(p)
	return c, nil
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// filled returns a policy with a site of some workers that runs its share of the tasks.
func filled(workers int, cfg Config) (*place.Policy, int) {
	sz := large(workers)
	p := place.New(place.Config{Seed: cfg.Seed})
	p.Step(epoch, place.ConfigChanged{Config: sz.Config})
	for _, w := range workersOf(sz.Config) {
		p.Step(epoch, place.WorkerJoined{Worker: w})
	}
	tr := newTrace(sz, cfg.Seed, false)
	want := costTasks * workers / 880
	tasks := 0
	now := epoch
	shapes := map[string]int{}
	for i := 0; tasks < want && i < len(tr.jobs); i++ {
		spec := tr.jobs[i].spec
		shapes[spec.ID] = spec.Shape.Tasks
		now = now.Add(time.Second)
		p.Step(now, place.JobSubmitted{Job: model.Job{Spec: spec}, At: now})
		for _, d := range p.Decide(now) {
			if s, ok := d.(place.Start); ok {
				tasks += shapes[s.ID]
				p.Step(now, place.JobStarted{ID: s.ID, Attempt: 1})
			}
		}
	}
	return p, tasks
}

// probe times submissions of gangs of 64 with their decisions: of any team,
// with and without accelerators, urgent or not, and takes each back afterwards.
func probe(p *place.Policy, workers int, seed int64) float64 {
	r := rand.New(rand.NewSource(seed))
	sz := large(workers)
	now := epoch.Add(24 * time.Hour)
	var ms []float64
	for i := range costProbes {
		team := sz.Config.Teams[r.Intn(len(sz.Config.Teams))]
		spec := model.JobSpec{
			ID: fmt.Sprintf("probe%d", i), Team: team.Name, Urgent: r.Intn(2) == 0, DeclaredSeconds: 3600,
			Shape: model.Shape{Tasks: MaxTasks, GPUs: r.Intn(2), Cores: 1 + r.Intn(4), MemoryMB: 4 << 10},
		}
		now = now.Add(time.Second)
		from := time.Now()
		p.Step(now, place.JobSubmitted{Job: model.Job{Spec: spec}, At: now})
		ds := p.Decide(now)
		ms = append(ms, time.Since(from).Seconds()*1000)
		takeBack(p, now, spec.ID, ds)
	}
	return percentile(ms, 0.99)
}

// takeBack ends what a probe began.
func takeBack(p *place.Policy, now time.Time, id string, ds []place.Decision) {
	p.Step(now, place.JobRemoved{ID: id})
	for _, d := range ds {
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
