package place

import (
	"math"
	"time"
)

const (
	// ratioBuckets covers real by declared run times from 1/16 to 16 in half powers of two.
	ratioBuckets = 17
	// ratioDecay weighs older runs down, so that some fifty runs count.
	ratioDecay = 0.98
	// ratioSamples is the weight of runs below which the declared run time is believed.
	ratioSamples = 3
	// undeclaredRun is assumed for jobs without a declared run time until the team has finished some.
	undeclaredRun = time.Hour
	// sizeWeight is the weight of one usage report in the learned size ratio.
	sizeWeight = 0.05
	// maxSizeRatio bounds the learned ratio; declared sizes are wrong by up to ten times.
	maxSizeRatio = 10
)

// learned is what a team's finished and running jobs say of its declarations.
type learned struct {
	ratios  [ratioBuckets]float64
	weight  float64
	logMean float64 // of run times in seconds
	runs    float64
	cores   float64 // measured by declared use, 0 when unknown
	mem     float64
}

func bucketOf(ratio float64) int {
	b := int(math.Round(2*math.Log2(ratio))) + ratioBuckets/2
	return min(max(b, 0), ratioBuckets-1)
}

// bucketRatio holds the ratio in the middle of each bucket.
var bucketRatio = func() (r [ratioBuckets]float64) {
	for i := range r {
		r[i] = math.Exp2(float64(i-ratioBuckets/2) / 2)
	}
	return r
}()

// run counts a finished job.
func (l *learned) run(declared, actual float64) {
	if actual <= 0 {
		return
	}
	l.logMean += (math.Log(actual) - l.logMean) / math.Min(l.runs+1, 50)
	l.runs++
	if declared <= 0 {
		return
	}
	for i := range l.ratios {
		l.ratios[i] *= ratioDecay
	}
	l.weight = l.weight*ratioDecay + 1
	l.ratios[bucketOf(actual/declared)]++
}

// size counts a usage report against a declaration.
func (l *learned) size(declared, usage amount) {
	learn := func(ratio *float64, d, u int) {
		if d <= 0 || u <= 0 {
			return
		}
		r := math.Min(float64(u)/float64(d), maxSizeRatio)
		if *ratio == 0 {
			*ratio = 1
		}
		*ratio += sizeWeight * (r - *ratio)
	}
	learn(&l.cores, declared.cores, usage.cores)
	learn(&l.mem, declared.mem, usage.mem)
}

// need returns what a task will probably use, at least what it declares.
func (l *learned) need(per amount) amount {
	return amount{
		gpus:  per.gpus,
		cores: int(float64(per.cores) * math.Max(1, l.cores)),
		mem:   int(float64(per.mem) * math.Max(1, l.mem)),
	}
}

// total returns the expected run time in seconds of a job that has done some work already.
func (l *learned) total(declared, done float64) float64 {
	if declared <= 0 {
		mean := undeclaredRun.Seconds()
		if l.runs > 0 {
			mean = math.Exp(l.logMean)
		}
		return math.Max(mean, 2*done)
	}
	if l.weight < ratioSamples {
		return math.Max(declared, 1.5*done)
	}
	// The median of the ratios among jobs that ran longer than this one has.
	from := 0
	for from < ratioBuckets && bucketRatio[from]*declared <= done {
		from++
	}
	left := 0.0
	for i := from; i < ratioBuckets; i++ {
		left += l.ratios[i]
	}
	if left < 0.5 {
		return 2 * math.Max(done, declared)
	}
	sum := 0.0
	for i := from; i < ratioBuckets; i++ {
		if sum += l.ratios[i]; sum >= left/2 {
			return bucketRatio[i] * declared
		}
	}
	return 2 * done
}

// estimate returns the expected run time of a waiting job from its checkpoint on.
func (p *Policy) estimate(j *job) time.Duration {
	s := j.team.learned.total(j.spec.DeclaredSeconds, j.checkpoint) - j.checkpoint
	return seconds(math.Max(s, 1))
}

// remaining returns the expected rest of a placed job's run time.
func (p *Policy) remaining(j *job) time.Duration {
	ran := p.now.Sub(j.placedAt).Seconds()
	done := math.Max(j.progress, j.base+ran)
	return seconds(math.Max(j.team.learned.total(j.spec.DeclaredSeconds, done)-done, 1))
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e8) * float64(time.Second))
}

// lossWeight is the weight of one stop in the learned part of work that a stop loses.
const lossWeight = 0.05

// learnLoss compares the checkpoint after a stop with the one before it.
func (p *Policy) learnLoss(j *job, e JobReleased) {
	before := j.progress - max(j.checkpoint, j.base)
	if j.state != jobStopping || !responsive(j) || before < 1 {
		return
	}
	part := min(max((j.progress-e.Checkpoint)/before, 0), 1)
	p.lossFactor += lossWeight * (part - p.lossFactor)
}

// perGPUWeight is the weight of one job in the cores and memory that go with an accelerator.
const perGPUWeight = 0.02

// learnPerGPU follows the cores and memory that jobs ask for with each accelerator.
func (p *Policy) learnPerGPU(per amount) {
	if per.gpus == 0 {
		return
	}
	cores, mem := float64(per.cores)/float64(per.gpus), float64(per.mem)/float64(per.gpus)
	if p.perGPUCores == 0 && p.perGPUMem == 0 {
		p.perGPUCores, p.perGPUMem = cores, mem
	}
	p.perGPUCores += perGPUWeight * (cores - p.perGPUCores)
	p.perGPUMem += perGPUWeight * (mem - p.perGPUMem)
	p.perGPU = amount{0, int(math.Ceil(p.perGPUCores - 0.01)), int(math.Ceil(p.perGPUMem - 1))}
}
