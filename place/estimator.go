package place

import (
	"math"
	"time"
)

const (
	// ratioBuckets covers ratios of actual to declared run time from 1/16 to 16, in half powers of
	// two.
	ratioBuckets = 17
	// ratioDecay scales down the weight of older runs, so that about fifty runs count.
	ratioDecay = 0.98
	// minRatioWeight is the weight of runs below which the declared run time is used without
	// correction.
	minRatioWeight = 3
	// defaultRunTime is assumed for jobs without a declared run time until the team has finished
	// some.
	defaultRunTime = time.Hour
	// usageSampleWeight is the weight of one usage report in the average ratio of measured to
	// declared usage.
	usageSampleWeight = 0.05
	// maxUsageRatio bounds the measured ratio; declared usage is wrong by up to ten times.
	maxUsageRatio = 10
)

// estimator estimates the run time and usage of a team's jobs from its earlier and running jobs.
type estimator struct {
	runTimeRatios  [ratioBuckets]float64
	ratioWeight    float64 // decayed number of runs in runTimeRatios
	meanLogRunTime float64 // moving mean of the logarithms of run times in seconds
	runs           float64
	coresRatio     float64 // average of measured to declared usage; 0 if unknown
	memRatio       float64 // likewise
}

// bucketOf returns the bucket of a run time ratio.
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

// recordRunTime adds the declared and actual run time of a finished job, in seconds.
func (e *estimator) recordRunTime(declared, actual float64) {
	if actual <= 0 {
		return
	}
	e.meanLogRunTime += (math.Log(actual) - e.meanLogRunTime) / math.Min(e.runs+1, 50)
	e.runs++
	if declared <= 0 {
		return
	}
	for i := range e.runTimeRatios {
		e.runTimeRatios[i] *= ratioDecay
	}
	e.ratioWeight = e.ratioWeight*ratioDecay + 1
	e.runTimeRatios[bucketOf(actual/declared)]++
}

// recordUsage adds a usage report of a task that declares some amount.
func (e *estimator) recordUsage(declared, usage amount) {
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
	update(&e.coresRatio, declared.cores, usage.cores)
	update(&e.memRatio, declared.mem, usage.mem)
}

// expectedUsage returns the expected usage of a task, at least what it declares.
func (e *estimator) expectedUsage(perTask amount) amount {
	return amount{
		gpus:  perTask.gpus,
		cores: int(float64(perTask.cores) * math.Max(1, e.coresRatio)),
		mem:   int(float64(perTask.mem) * math.Max(1, e.memRatio)),
	}
}

// expectedRunTime returns the expected total run time, in seconds, of a job that has done some
// seconds of work already.
func (e *estimator) expectedRunTime(declared, done float64) float64 {
	if declared <= 0 {
		mean := defaultRunTime.Seconds()
		if e.runs > 0 {
			mean = math.Exp(e.meanLogRunTime)
		}
		return math.Max(mean, 2*done)
	}
	if e.ratioWeight < minRatioWeight {
		return math.Max(declared, 1.5*done)
	}
	// Uses the median of the ratios among jobs that ran longer than this one has.
	from := 0
	for from < ratioBuckets && bucketRatios[from]*declared <= done {
		from++
	}
	weightLeft := 0.0
	for i := from; i < ratioBuckets; i++ {
		weightLeft += e.runTimeRatios[i]
	}
	if weightLeft < 0.5 {
		return 2 * math.Max(done, declared)
	}
	sum := 0.0
	for i := from; i < ratioBuckets; i++ {
		if sum += e.runTimeRatios[i]; sum >= weightLeft/2 {
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

// estimateRemaining returns the expected remaining run time of a placed job.
func (p *Policy) estimateRemaining(j *job) time.Duration {
	ran := p.now.Sub(j.placedAt).Seconds()
	done := math.Max(j.progress, j.startCheckpoint+ran)
	return seconds(math.Max(j.team.estimator.expectedRunTime(j.spec.DeclaredSeconds, done)-done, 1))
}

// seconds converts a number of seconds to a duration and avoids an overflow.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e8) * float64(time.Second))
}

// lossSampleWeight is the weight of one preemption in the average of the share of work that a
// preemption loses.
const lossSampleWeight = 0.05

// recordLoss compares the checkpoint after a preemption with the one before it.
func (p *Policy) recordLoss(j *job, e JobReleased) {
	atRisk := j.progress - max(j.checkpoint, j.startCheckpoint)
	if j.state != jobStopping || !responsive(j) || atRisk < 1 {
		return
	}
	lostShare := min(max((j.progress-e.Checkpoint)/atRisk, 0), 1)
	p.lossFactor += lossSampleWeight * (lostShare - p.lossFactor)
}

// perGPUSampleWeight is the weight of one job in the mean cores and memory per accelerator.
const perGPUSampleWeight = 0.02

// recordPerGPU updates the mean cores and memory that jobs request with each accelerator.
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
