package replay

import (
	"fmt"
	"math"
	"math/rand"
	"slices"

	"turmericroute/config"
	"turmericroute/model"
)

// jobMix describes the distribution of the jobs of a size.
type jobMix struct {
	largeTaskGPUs  int // accelerators of a task of a large gang: those of a whole worker
	coresPerGPU    int
	mbPerGPU       int
	maxLargeTasks  int        // maximum number of tasks of a large gang
	gpuClassShares [2]float64 // shares of small and medium jobs among the jobs with accelerators
	cpuShare       float64    // share of jobs without accelerators among all jobs
	gpuLoad        float64    // submitted accelerator work as a share of capacity
	cpuLoad        float64    // submitted core work of jobs without accelerators as a share of capacity; 0 leaves their run times unscaled
}

// jobClass groups jobs by the resources they ask for.
type jobClass int

const (
	classCPU jobClass = iota
	classSmall
	classMedium
	classLarge
)

// traceJob is a submission together with its actual behaviour, which the schedulers cannot see.
type traceJob struct {
	spec               model.JobSpec
	class              jobClass
	submitAt           float64         // virtual seconds
	workSeconds        float64         // run time at full speed
	usage              model.Resources // actual use per task
	checkpointInterval float64         // seconds of work between checkpoints
	cancelAt           float64         // virtual seconds; 0 if the job is not cancelled
	alwaysFails        bool            // fails on every worker
	checkpointsOnStop  bool            // writes a checkpoint within the timeout of a stop
}

// fault is a scheduled failure of a worker or outage of a data centre.
type fault struct {
	start, end float64 // virtual seconds
	worker     string  // lost, or fails its tasks if failsTasks is set; empty for a data centre
	failsTasks bool    // the worker stays up but fails every task that it starts
	dataCentre string  // taken out of service from start to end; empty for a worker
}

// trace is a seeded workload for one size.
type trace struct {
	size      Size
	jobs      []traceJob
	faults    []fault
	submitEnd float64 // end of the submission period in virtual seconds
}

const (
	// Units of virtual time, in seconds.
	hour   = 3600.0
	minute = 60.0
	// alwaysFailsShare is the share of jobs that fail on every worker, in traces with faults.
	alwaysFailsShare = 0.01
	// underdeclaredShare is the share of jobs that use more cores than they declare, in traces with faults.
	underdeclaredShare = 0.1
	// workdayShare is the share of jobs submitted in the workdayHours from
	// workdayStartHour on; the others are submitted at any hour.
	workdayShare     = 0.2
	workdayStartHour = 7
	workdayHours     = 11
	// maxWorkSeconds bounds run times before fitLoad scales them.
	maxWorkSeconds = 20 * hour
	// startupSeconds is the delay from the start of a gang until its work progresses.
	startupSeconds = 15
)

// largeGangTasks is the distribution of the number of tasks of large gangs, one
// task per whole worker; few gangs fill a whole rack.
var largeGangTasks = []int{2, 2, 2, 2, 3, 3, 4, 6}

// newTrace returns the workload for a seed. With faults, it includes failures,
// an outage of a data centre, bursts, jobs that use more than they declare and
// cancellations.
func newTrace(sz Size, seed int64, faults bool) trace {
	g := &generator{r: rand.New(rand.NewSource(seed)), sz: sz, faults: faults, declaredBias: map[string]float64{}}
	for _, t := range sz.Config.Teams {
		g.declaredBias[t.Name] = g.r.Float64()*1.2 - 0.6
	}
	tr := trace{size: sz, submitEnd: sz.Hours * hour}
	for range sz.Jobs {
		g.addJob(g.drawSubmitTime(), g.drawClass())
	}
	for range int(float64(sz.Jobs) * sz.initialJobShare()) {
		g.addJob(g.r.Float64()*10*minute, g.drawClass())
	}
	if faults {
		g.addBursts()
	}
	g.fitLoad()
	for i := range g.jobs {
		g.drawRunProperties(&g.jobs[i])
	}
	slices.SortStableFunc(g.jobs, func(a, b traceJob) int {
		switch {
		case a.submitAt < b.submitAt:
			return -1
		case a.submitAt > b.submitAt:
			return 1
		}
		return 0
	})
	for i := range g.jobs {
		g.jobs[i].spec.ID = fmt.Sprintf("j%06d", i)
	}
	tr.jobs = g.jobs
	if faults {
		tr.faults = g.drawFaults()
	}
	return tr
}

// initialJobShare returns the number of additional jobs submitted at the start,
// as a share of Size.Jobs, so that the site begins near its usual load.
func (s Size) initialJobShare() float64 {
	if s.jobMix.cpuLoad > 0 {
		return 0.3
	}
	return 0.05
}

// generator draws the jobs and faults of a trace.
type generator struct {
	r            *rand.Rand
	sz           Size
	faults       bool
	declaredBias map[string]float64 // by team: log10 of the ratio of declared to actual run time
	jobs         []traceJob
}

// drawSubmitTime returns a submission time in virtual seconds; most jobs are submitted in working hours.
func (g *generator) drawSubmitTime() float64 {
	if g.r.Float64() < workdayShare {
		return (workdayStartHour + g.r.Float64()*workdayHours) * hour
	}
	return g.r.Float64() * g.sz.Hours * hour
}

func (g *generator) drawClass() jobClass {
	x := g.r.Float64()
	if x < g.sz.jobMix.cpuShare {
		return classCPU
	}
	switch x = (x - g.sz.jobMix.cpuShare) / (1 - g.sz.jobMix.cpuShare); {
	case x < g.sz.jobMix.gpuClassShares[0]:
		return classSmall
	case x < g.sz.jobMix.gpuClassShares[0]+g.sz.jobMix.gpuClassShares[1]:
		return classMedium
	default:
		return classLarge
	}
}

// drawTeam returns a team, drawn by weight from the teams whose quota admits the number of accelerators.
func (g *generator) drawTeam(gpus int) config.Team {
	total := 0.0
	for _, t := range g.sz.Config.Teams {
		if t.MaxGPUs >= gpus {
			total += t.Weight
		}
	}
	x := g.r.Float64() * total
	for _, t := range g.sz.Config.Teams {
		if t.MaxGPUs < gpus {
			continue
		}
		if x -= t.Weight; x < 0 {
			return t
		}
	}
	return g.sz.Config.Teams[0]
}

// lognormal returns a log-normally distributed number; sigma is the standard deviation of its logarithm.
func (g *generator) lognormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.r.NormFloat64())
}

// addJob draws a job of the class, submitted at the given virtual second.
func (g *generator) addJob(at float64, c jobClass) {
	m := g.sz.jobMix
	j := traceJob{submitAt: at, class: c}
	gpu := func(tasks, gpus int, sameRack bool) model.Shape {
		return gpuShape(tasks, gpus, m.coresPerGPU, m.mbPerGPU, sameRack)
	}
	var sh model.Shape
	switch c {
	case classCPU:
		sh = model.Shape{Tasks: 1 + g.r.Intn(8), Cores: 2 + g.r.Intn(3), MemoryMB: 4 << 10}
		if m.cpuLoad > 0 {
			sh.Tasks = min(MaxTasks, int(g.lognormal(7, 1))+1)
			sh.Cores, sh.MemoryMB = 3, 10<<10
		}
		j.workSeconds = g.lognormal(15*minute, 1.2)
	case classSmall:
		sh = gpu(1, 1+g.r.Intn(2), false)
		j.workSeconds = g.lognormal(10*minute, 1.5)
	case classMedium:
		sh = gpu(1+g.r.Intn(3), 2<<g.r.Intn(2), false)
		j.workSeconds = g.lognormal(40*minute, 1.2)
	default:
		sh = gpu(min(m.maxLargeTasks, largeGangTasks[g.r.Intn(len(largeGangTasks))]), m.largeTaskGPUs, true)
		j.workSeconds = g.lognormal(40*minute, 0.7)
	}
	j.workSeconds = min(j.workSeconds, maxWorkSeconds)
	team := g.drawTeam(sh.TotalGPUs())
	// Half of the jobs whose team has a guaranteed shape of their class use one.
	if guaranteed := guaranteedShapes(team, c, m); len(guaranteed) > 0 && g.r.Intn(2) == 0 {
		sh = guaranteed[g.r.Intn(len(guaranteed))]
	}
	j.spec = model.JobSpec{Team: team.Name, Shape: sh, Urgent: g.r.Intn(20) == 0}
	j.checkpointInterval = minute * float64(5+g.r.Intn(15))
	j.checkpointsOnStop = g.r.Float64() < 0.8
	g.jobs = append(g.jobs, j)
}

// guaranteedShapes returns the guaranteed shapes of a team that belong to a class.
func guaranteedShapes(t config.Team, c jobClass, m jobMix) []model.Shape {
	var shapes []model.Shape
	for _, guarantee := range t.Guarantees {
		s := guarantee.Shape
		shapeClass := classMedium
		switch {
		case s.GPUs == 0:
			shapeClass = classCPU
		case s.GPUs == m.largeTaskGPUs && s.Tasks > 1:
			shapeClass = classLarge
		case s.TotalGPUs() <= 2:
			shapeClass = classSmall
		}
		if shapeClass == c {
			shapes = append(shapes, s)
		}
	}
	return shapes
}

// MaxTasks is the maximum number of tasks of a gang in a trace.
const MaxTasks = 64

// fitLoad scales the run times so that the submitted work is the share of capacity set by gpuLoad and cpuLoad.
func (g *generator) fitLoad() {
	var capGPUs, capCores, gpuWork, coreWork float64
	for _, w := range declaredWorkers(g.sz.Config) {
		capGPUs += float64(w.Capacity.GPUs)
		capCores += float64(w.Capacity.Cores)
	}
	for _, j := range g.jobs {
		gpuWork += j.workSeconds * float64(j.spec.Shape.TotalGPUs())
		if j.class == classCPU {
			coreWork += j.workSeconds * float64(j.spec.Shape.Tasks*j.spec.Shape.Cores)
		}
	}
	span := g.sz.Hours * hour
	gpuScale := g.sz.jobMix.gpuLoad * capGPUs * span / gpuWork
	cpuScale := 1.0
	if g.sz.jobMix.cpuLoad > 0 {
		cpuScale = g.sz.jobMix.cpuLoad * capCores * span / coreWork
	}
	for i := range g.jobs {
		if g.jobs[i].class == classCPU {
			g.jobs[i].workSeconds *= cpuScale
		} else {
			g.jobs[i].workSeconds *= gpuScale
		}
	}
}

// drawRunProperties draws the declared run time, which is wrong by a factor of
// up to ten, the actual resource use and, with faults, failure and cancellation.
func (g *generator) drawRunProperties(j *traceJob) {
	exponent := g.declaredBias[j.spec.Team] + 0.25*g.r.NormFloat64()
	if g.faults && g.r.Float64() < 0.3 {
		exponent = g.r.Float64()*2 - 1
	}
	j.spec.DeclaredSeconds = j.workSeconds * math.Pow(10, min(1, max(-1, exponent)))
	s := j.spec.Shape
	usedShare := 0.3 + 0.7*g.r.Float64()
	if g.faults && g.r.Float64() < underdeclaredShare {
		usedShare = 1 + 2*g.r.Float64()
	}
	j.usage = model.Resources{GPUs: s.GPUs, Cores: int(math.Ceil(usedShare * float64(s.Cores))), MemoryMB: s.MemoryMB}
	if !g.faults {
		return
	}
	j.alwaysFails = g.r.Float64() < alwaysFailsShare
	if g.r.Float64() < 0.02 {
		j.cancelAt = j.submitAt + g.r.Float64()*2*hour
	}
}

// addBursts adds a burst of small jobs, a burst of large jobs and a mass
// cancellation of jobs submitted during the first burst.
func (g *generator) addBursts() {
	smallBurstStart := g.sz.Hours * hour * (0.15 + 0.1*g.r.Float64())
	for range g.sz.Jobs / 12 {
		g.addJob(smallBurstStart+g.r.Float64()*2*minute, classSmall)
	}
	largeBurstStart := g.sz.Hours * hour * (0.7 + 0.1*g.r.Float64())
	for range 8 {
		g.addJob(largeBurstStart+g.r.Float64()*minute, classLarge)
	}
	for i := range g.jobs {
		if j := &g.jobs[i]; j.submitAt >= smallBurstStart && j.submitAt < smallBurstStart+2*minute && g.r.Intn(3) == 0 {
			j.cancelAt = smallBurstStart + 10*minute
		}
	}
}

// drawFaults returns losses of workers, workers that fail their tasks, and an
// outage of a data centre that lasts two hours.
func (g *generator) drawFaults() []fault {
	ws := declaredWorkers(g.sz.Config)
	var faults []fault
	for range max(4, len(ws)/100) {
		at := g.r.Float64() * g.sz.Hours * hour
		faults = append(faults, fault{start: at, end: at + 30*minute, worker: ws[g.r.Intn(len(ws))].Name})
	}
	for range max(1, len(ws)/200) {
		at := g.r.Float64() * g.sz.Hours * hour * 0.8
		faults = append(faults, fault{start: at, end: at + 2*hour, worker: ws[g.r.Intn(len(ws))].Name, failsTasks: true})
	}
	dcs := g.sz.Config.DataCentres
	at := g.sz.Hours * hour * (0.4 + 0.1*g.r.Float64())
	return append(faults, fault{start: at, end: at + 2*hour, dataCentre: dcs[g.r.Intn(len(dcs))].Name})
}
