package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"turmericroute/quota"
	"turmericroute/share"
)

func TestShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "share")
}

// load is a full site on which each team always has tasks waiting while it is active. Whenever room is free, the team
// goes first that the meter puts first.
type load struct {
	rand     *rand.Rand
	meter    share.Meter
	now      time.Duration
	capacity quota.Amounts
	teams    []*teamLoad
	// busy is the sum of the fractions of the accelerators in use over all steps.
	busy float64
}

type teamLoad struct {
	name       string
	weight     float64
	guaranteed int
	need       quota.Amounts
	mean       time.Duration
	paused     bool
	used       quota.Amounts
	ends       []time.Duration
	// sum is the sum of the team's share over all steps.
	sum float64
}

const stepTime = 100 * time.Millisecond

func (l *load) step() {
	l.now += stepTime
	for _, t := range l.teams {
		kept := t.ends[:0]
		for _, at := range t.ends {
			if at > l.now {
				kept = append(kept, at)
			}
		}
		t.used, t.ends = t.need.Times(len(kept)), kept
	}
	for l.startOne() {
	}
	for _, t := range l.teams {
		t.sum += share.Beyond(t.used, l.capacity, t.guaranteed)
		l.busy += float64(t.used.GPUs) / float64(l.capacity.GPUs)
	}
}

// startOne starts a task of the first team whose task fits, and reports whether there is one.
func (l *load) startOne() bool {
	use := map[string]float64{}
	free := l.capacity
	for _, t := range l.teams {
		use[t.name] = share.Beyond(t.used, l.capacity, t.guaranteed)
		free = free.Minus(t.used)
	}
	l.meter.Observe(l.now, use)
	var first *teamLoad
	for _, t := range l.teams {
		fits := t.need.GPUs <= free.GPUs && t.need.CPUMilli <= free.CPUMilli && t.need.MemoryMB <= free.MemoryMB
		if !t.paused && fits && (first == nil || l.meter.Use(t.name, t.weight) < l.meter.Use(first.name, first.weight)) {
			first = t
		}
	}
	if first == nil {
		return false
	}
	first.used = first.used.Plus(first.need)
	first.ends = append(first.ends, l.now+time.Duration(l.rand.ExpFloat64()*float64(first.mean)))
	return true
}

func (l *load) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.step()
	}
}

func newLoad(seed uint64) *load {
	return &load{rand: rand.New(rand.NewPCG(seed, 7)), capacity: quota.Amounts{CPUMilli: 800_000, MemoryMB: 800_000, GPUs: 200}}
}

func (l *load) add(weight float64, mean time.Duration) *teamLoad {
	t := &teamLoad{name: fmt.Sprint("t", len(l.teams)), weight: weight, need: quota.Amounts{CPUMilli: 100, MemoryMB: 100, GPUs: 1}, mean: mean}
	l.teams = append(l.teams, t)
	return t
}

var _ = Describe("the order of teams that always have work waiting", func() {
	// Guards against shares that follow the length of tasks, or the order in which teams come, in place of the weights.
	It("gives them shares within 10 % of their weights in the long run", func() {
		for seed := range uint64(30) {
			l := newLoad(seed)
			total := 0.0
			for range 2 + l.rand.IntN(4) {
				t := l.add(float64(1+l.rand.IntN(4)), time.Duration(1+l.rand.IntN(20))*time.Second)
				total += t.weight
			}
			l.run(10 * time.Minute)
			sum := 0.0
			for _, t := range l.teams {
				sum += t.sum
			}
			for _, t := range l.teams {
				Expect(t.sum/sum).To(BeNumerically("~", t.weight/total, 0.1*t.weight/total), "seed %d, team %+v", seed, t)
			}
		}
	})

	// Guards against a count of accelerators alone: a team that needs mostly cores would take all of them.
	It("compares them by the resource of which each takes most", func() {
		l := newLoad(1)
		a, b := l.add(1, 5*time.Second), l.add(1, 5*time.Second)
		a.need = quota.Amounts{CPUMilli: 8000, GPUs: 1}
		b.need = quota.Amounts{CPUMilli: 1000, GPUs: 1}
		l.run(5 * time.Minute)
		Expect(a.sum / b.sum).To(BeNumerically("~", 1, 0.1))
	})

	// Guards against a guarantee that is set off against the weight.
	It("divides what is beyond their guarantees", func() {
		l := newLoad(1)
		a, b := l.add(1, 5*time.Second), l.add(1, 5*time.Second)
		a.guaranteed = 80
		l.run(5 * time.Minute)
		Expect(a.sum / b.sum).To(BeNumerically("~", 1, 0.1))
	})

	// Guards against room that idles although a team could use it.
	It("leaves nothing idle when one of them pauses", func() {
		l := newLoad(1)
		a, b := l.add(1, 5*time.Second), l.add(9, 5*time.Second)
		l.run(time.Minute)
		b.paused = true
		l.run(time.Minute)
		a.sum, l.busy = 0, 0
		l.run(time.Minute)
		Expect(l.busy / float64(time.Minute/stepTime)).To(BeNumerically("~", 1, 0.01))
		Expect(a.used.GPUs).To(Equal(200))
	})

	// Guards against a team that has saved up so much during a pause that others get nothing, and against one that finds
	// no room when it returns.
	It("neither starves a team that returns nor the others", func() {
		l := newLoad(1)
		a, b := l.add(1, 4*time.Second), l.add(1, 4*time.Second)
		b.paused = true
		l.run(5 * time.Minute)
		b.paused = false
		for i := range 12 {
			a.sum, b.sum = 0, 0
			l.run(10 * time.Second)
			part := b.sum / (a.sum + b.sum)
			Expect(part).To(BeNumerically("<", 0.8), "%d s", 10*i)
			Expect(part).To(BeNumerically(">", 0.4), "%d s", 10*i)
		}
	})
})

var _ = Describe("a rate of jobs", func() {
	// Guards against a rate that lets a team submit much at once after a pause.
	It("is met by as many jobs a second as the weight says", func() {
		b := share.Bucket{PerSecond: 3}
		within := 0
		for i := range int64(1000) {
			if b.Take(1_000_000 + 100*i) {
				within++
			}
		}
		Expect(within).To(BeNumerically("~", 300, 16))
		burst := 0
		for range 100 {
			if b.Take(2_000_000) {
				burst++
			}
		}
		Expect(burst).To(Equal(15))
	})

	// Guards against a weight below 1 that lets no job be within the rate.
	It("lets a job through at times if it is below one a second", func() {
		b := share.Bucket{PerSecond: 0.1}
		Expect([]bool{b.Take(0), b.Take(5000), b.Take(10_000), b.Take(11_000)}).To(Equal([]bool{true, false, true, false}))
	})
})
