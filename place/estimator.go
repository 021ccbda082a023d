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
	// minRatioWeight is the weight of runs below which the declared run time is believed.
	minRatioWeight = 3
	// defaultRunTime is assumed for jobs without a declared run time until the team has finished some.
	defaultRunTime = time.Hour
	// usageSampleWeight is the weight of one usage report in the learned size ratio.
	usageSampleWeight = 0.05
	// maxUsageRatio bounds the learned ratio; declared sizes are wrong by up to ten times.
	maxUsageRatio = 10
)

// estimator is what a team's finished and running jobs say of its declarations.
type estimator struct {
	runTimeRatios  [ratioBuckets]float64
	ratioWeight    float64
	logMeanRunTime float64 // of run times in seconds
	runs           float64
	coresRatio     float64 // measured by declared use, 0 when unknown
	memRatio       float64
}

func bucketOf(ratio float64) int {
	b := int(math.Round(2*math.Log2(ratio))) + ratioBuckets/2
	return min(max(b, 0), ratioBuckets-1)
}

// bucketRatios holds the ratio in the middle of each bucket.
var bucketRatios = func() (r [ratioBuckets]float64) {
	for i := range r {
		r[i] = math.Exp2(float64(i-ratioBuckets/2) / 2)
	}
	return r
}()

// recordRunTime counts a finished job.
func (l *estimator) recordRunTime(declared, actual float64) {
	if actual <= 0 {
		return
	}
	l.logMeanRunTime += (math.Log(actual) - l.logMeanRunTime) / math.Min(l.runs+1, 50)
	l.runs++
	if declared <= 0 {
		return
	}
	for i := range l.runTimeRatios {
		l.runTimeRatios[i] *= ratioDecay
	}
	l.ratioWeight = l.ratioWeight*ratioDecay + 1
	l.runTimeRatios[bucketOf(actual/declared)]++
}

// recordUsage counts a usage report against a declaration.
func (l *estimator) recordUsage(declared, usage amount) {
	update := func(ratio *float64, d, u int) {
		if d <= 0 || u <= 0 {
			return
		}
		r := math.Min(float64(u)/float64(d), maxUsageRatio)
		if *ratio == 0 {
			*ratio = 1
		}
		*ratio += usageSampleWeight * (r - *ratio)
	}
	update(&l.coresRatio, declared.cores, usage.cores)
	update(&l.memRatio, declared.mem, usage.mem)
}

// expectedUsage returns what a task will probably use, at least what it declares.
func (l *estimator) expectedUsage(perTask amount) amount {
	return amount{
		gpus:  perTask.gpus,
		cores: int(float64(perTask.cores) * math.Max(1, l.coresRatio)),
		mem:   int(float64(perTask.mem) * math.Max(1, l.memRatio)),
	}
}

// expectedRunTime returns the expected run time in seconds of a job that has done some work already.
func (l *estimator) expectedRunTime(declared, done float64) float64 {
	if declared <= 0 {
		mean := defaultRunTime.Seconds()
		if l.runs > 0 {
			mean = math.Exp(l.logMeanRunTime)
		}
		return math.Max(mean, 2*done)
	}
	if l.ratioWeight < minRatioWeight {
		return math.Max(declared, 1.5*done)
	}
	// The median of the ratios among jobs that ran longer than this one has.
	from := 0
	for from < ratioBuckets && bucketRatios[from]*declared <= done {
		from++
	}
	weightLeft := 0.0
	for i := from; i < ratioBuckets; i++ {
		weightLeft += l.runTimeRatios[i]
	}
	if weightLeft < 0.5 {
		return 2 * math.Max(done, declared)
	}
	sum := 0.0
	for i := from; i < ratioBuckets; i++ {
		if sum += l.runTimeRatios[i]; sum >= weightLeft/2 {
			return bucketRatios[i] * declared
		}
	}
	return 2 * done
}

// estimateRunTime returns the expected run time of a waiting job from its checkpoint on.
func (p *Policy) estimateRunTime(j *job) time.Duration {
	s := j.team.estimator.expectedRunTime(j.spec.DeclaredSeconds, j.checkpoint) - j.checkpoint
	return seconds(math.Max(s, 1))
}

// estimateRemaining returns the expected rest of a placed job's run time.
func (p *Policy) estimateRemaining(j *job) time.Duration {
	ran := p.now.Sub(j.placedAt).Seconds()
	done := math.Max(j.progress, j.startCheckpoint+ran)
	return seconds(math.Max(j.team.estimator.expectedRunTime(j.spec.DeclaredSeconds, done)-done, 1))
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e8) * float64(time.Second))
}

// lossSampleWeight is the weight of one stop in the learned part of work that a stop loses.
const lossSampleWeight = 0.05

// recordLoss compares the checkpoint after a stop with the one before it.
func (p *Policy) recordLoss(j *job, e JobReleased) {
	atRisk := j.progress - max(j.checkpoint, j.startCheckpoint)
	if j.state != jobStopping || !responsive(j) || atRisk < 1 {
		return
	}
	lostShare := min(max((j.progress-e.Checkpoint)/atRisk, 0), 1)
	p.lossFactor += lossSampleWeight * (lostShare - p.lossFactor)
}

// perGPUSampleWeight is the weight of one job in the cores and memory that go with an accelerator.
const perGPUSampleWeight = 0.02

// recordPerGPU follows the cores and memory that jobs ask for with each accelerator.
func (p *Policy) recordPerGPU(perTask amount) {
	if perTask.gpus == 0 {
		return
	}
	cores, mem := float64(perTask.cores)/float64(perTask.gpus), float64(perTask.mem)/float64(perTask.gpus)
	if p.meanCoresPerGPU == 0 && p.meanMemPerGPU == 0 {
		p.meanCoresPerGPU, p.meanMemPerGPU = cores, mem
	}
	p.meanCoresPerGPU += perGPUSampleWeight * (cores - p.meanCoresPerGPU)
	p.meanMemPerGPU += perGPUSampleWeight * (mem - p.meanMemPerGPU)
	p.perGPU = amount{0, int(math.Ceil(p.meanCoresPerGPU - 0.01)), int(math.Ceil(p.meanMemPerGPU - 1))}
}
