package sched_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/admit"
	"turmericroute/batch"
	"turmericroute/sched"
)

// farFactor is how much longer a gang takes that prefers a single rack and has been spread over several.
const farFactor = 3

// stretch and targetMS make up the objective of urgent jobs.
const (
	stretch  = 1.5
	targetMS = 800
)

// stream submits jobs to workers that end them after their estimates.
type stream struct {
	*fixture
	rand *rand.Rand
	jobs map[string]*streamJob
	// started holds when each running task has started, by its ID and run.
	started map[sched.RunRef]time.Duration
}

type streamJob struct {
	id       string
	step     batch.Step
	at, done time.Duration
}

// objective returns the objective of an urgent job.
func (j *streamJob) objective() time.Duration {
	return time.Duration(stretch*float64(j.step.EstimateMS)+targetMS) * time.Millisecond
}

func (j *streamJob) work() int { return j.step.Count * j.step.Need.GPUs * j.step.EstimateMS }

func (j *streamJob) within(factor time.Duration) bool {
	return j.done > 0 && j.done-j.at <= factor*j.objective()
}

// newStream returns a stream to racks of workers, for a team without a guarantee.
func newStream(seed uint64, racks, perRack int) *stream {
	s := &stream{fixture: newIdleFixture(), rand: rand.New(rand.NewPCG(seed, 45)), jobs: map[string]*streamJob{}, started: map[sched.RunRef]time.Duration{}}
	queue := batch.Queue{Name: "normal", Host: testHost, Prefix: "/normal/", Service: "svc", Priority: 1, MaxFailures: 2, Stretch: 3, TargetMS: 1500}
	urgent := queue
	urgent.Name, urgent.Prefix, urgent.Priority, urgent.Stretch, urgent.TargetMS = "urgent", "/urgent/", 0, stretch, targetMS
	Expect(s.call(sched.Call{Declare: &batch.Catalog{
		Version: 2, Source: []byte("2"), Services: []batch.Service{{Name: "svc"}}, Queues: []batch.Queue{queue, urgent},
		Teams: []batch.Team{{Name: testTeam.Name, Keys: testTeam.Keys}},
	}}).err).To(Succeed())
	for i := range racks * perRack {
		s.addWorkers(fmt.Sprintf("r%d", i/perRack), "dc1", fmt.Sprintf("w%03d", i))
	}
	return s
}

func (s *stream) clock() time.Duration { return time.Duration(s.now.Load()) }

func (s *stream) add(queue string, st batch.Step) *streamJob {
	j := &streamJob{id: fmt.Sprintf("%s%d", queue, len(s.jobs)), step: st, at: s.clock()}
	if s.offer(queue, j.id, batch.Spec{Text: "t", Steps: []batch.Step{st}}) {
		s.jobs[j.id] = j
	}
	return j
}

// turn ends the tasks that are done, and runs a pass and a heartbeat of each worker.
func (s *stream) turn(step time.Duration) {
	GinkgoHelper()
	s.advance(step)
	racks := map[string]map[string]bool{}
	for _, w := range s.workers {
		for _, r := range w.hb.Running {
			if racks[r.Task.Job] == nil {
				racks[r.Task.Job] = map[string]bool{}
			}
			racks[r.Task.Job][w.hb.Rack] = true
		}
	}
	for _, w := range s.workers {
		for _, r := range slices.Clone(w.hb.Running) {
			ref, j := sched.RunRef{Task: r.Task, Run: r.Run}, s.jobs[r.Task.Job]
			if _, ok := s.started[ref]; !ok {
				s.started[ref] = s.clock() - step
			}
			takes := time.Duration(j.step.EstimateMS) * time.Millisecond
			if j.step.SameRack && len(racks[j.id]) > 1 {
				takes *= farFactor
			}
			if s.clock()-s.started[ref] >= takes {
				w.end(r.Task, batch.EndDone)
				j.done = s.clock()
			}
		}
	}
	Expect(s.s.Pass(sched.InTime)).Error().NotTo(HaveOccurred())
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		s.heartbeatSoon(name)
	}
}

// largest returns the largest tenth of jobs, and the fifth below it.
func largest(jobs []*streamJob) (fifth, tenth []*streamJob) {
	jobs = slices.SortedStableFunc(slices.Values(jobs), func(a, b *streamJob) int { return cmp.Compare(a.work(), b.work()) })
	n := len(jobs)
	return jobs[n*7/10 : n*9/10], jobs[n*9/10:]
}

// share returns the fraction of jobs that have ended within a multiple of their objectives.
func share(jobs []*streamJob, factor time.Duration) float64 {
	n := 0
	for _, j := range jobs {
		if j.within(factor) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(jobs)))
}

// playSizes plays 40 s in which a little more urgent work comes than there is room for, beside some work that binds the
// processors of its workers, and returns the urgent jobs.
func playSizes(seed uint64) []*streamJob {
	GinkgoHelper()
	const turn = 100 * time.Millisecond
	const normalJobs, urgentJobs = 0.05, 1.6 // a turn
	s := newStream(seed, 6, 12)
	gang := func(count, estimateMS int, need batch.Resources) batch.Step {
		need.GPUs = []int{1, 2, 4, 8, 8}[s.rand.IntN(5)]
		return batch.Step{Count: count, Need: need, EstimateMS: estimateMS, Gang: true, SameRack: s.rand.IntN(5) > 0}
	}
	var urgent []*streamJob
	for range 40 * time.Second / turn {
		if s.rand.Float64() < normalJobs {
			s.add("normal", gang(1+s.rand.IntN(16), 8000+s.rand.IntN(6000), batch.Resources{CPUMilli: 13000, MemoryMB: 18000}))
		}
		for n := s.rand.ExpFloat64() * urgentJobs; n >= 0.5; n-- {
			count := min(14, 1+int(3*s.rand.ExpFloat64()))
			urgent = append(urgent, s.add("urgent", gang(count, 1000+s.rand.IntN(3000), batch.Resources{CPUMilli: 3750, MemoryMB: 9500})))
		}
		s.turn(turn)
	}
	for range 15 * time.Second / turn {
		s.turn(turn)
	}
	return urgent
}

var _ = Describe("a gang that would be slow elsewhere", func() {
	// newWaiting returns a fixture in which a gang of two whole workers, which takes 2 s in one rack, finds one in each.
	newWaiting := func() *fixture {
		f := newIdleFixture(func(c *sched.Config) { c.Limits.OffRackFactor = farFactor })
		f.addWorkers("r1", "dc1", "w1", "w2", "w3")
		f.addWorkers("r2", "dc1", "w4", "w5", "w6")
		f.label()
		for _, name := range []string{"w1", "w2", "w4", "w5"} {
			f.submit("normal", "on-"+name, batch.Step{Count: 1, Need: gpus(8), Label: "only-" + name, EstimateMS: 60_000})
		}
		f.turn()
		f.submit("normal", "gang", batch.Step{Count: 2, Need: gpus(8), EstimateMS: 2000, Gang: true, SameRack: true})
		for range 17 {
			f.turn() // 200 ms
		}
		return f
	}

	// Guards against gangs that leave their rack early, although to wait costs less, and then keep room from others for
	// three times as long.
	It("waits for a rack as long as it would lose elsewhere", func() {
		f := newWaiting()
		Expect(f.running("gang")).To(BeEmpty())
		f.workers["w2"].end(taskID("on-w2", 0, 0), batch.EndDone)
		f.turn()
		f.turn()
		Expect(slices.Collect(maps.Values(f.running("gang")))).To(ConsistOf("w2", "w3"))
	})

	It("runs elsewhere after that", func() {
		f := newWaiting()
		for range 5 {
			f.turn()
		}
		Expect(slices.Collect(maps.Values(f.running("gang")))).To(ConsistOf("w3", "w6"))
	})
})

var _ = Describe("gangs of one queue under a load slightly above the room", func() {
	// Guards against large gangs that end in time less than half as often as all, since they run across racks, where they
	// take longer and leave the less room to each other.
	It("end in time whatever their size, if not quite as often", func() {
		var jobs []*streamJob
		for seed := range uint64(6) {
			jobs = append(jobs, playSizes(seed)...)
		}
		fifth, tenth := largest(jobs)
		for _, factor := range []time.Duration{1, admit.LateFactor} {
			all := share(jobs, factor)
			By(fmt.Sprintf("within %d objectives: %.2f of all %d, %.2f of the largest tenth, %.2f of the fifth below", factor, all, len(jobs), share(tenth, factor), share(fifth, factor)))
			Expect(share(tenth, factor)).To(BeNumerically(">=", all/2), "the largest tenth within %d objectives", factor)
			Expect(share(fifth, factor)).To(BeNumerically(">=", all/2), "the fifth below within %d objectives", factor)
		}
	})
})
