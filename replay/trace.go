package replay

import (
	"fmt"
	"math"
	"math/rand"
	"slices"

	"turmericroute/config"
	"turmericroute/model"
)

// jobMix describes the jobs of a size.
type jobMix struct {
	largeTaskGPUs  int // accelerators of a worker that large gangs take whole
	coresPerGPU    int
	mbPerGPU       int
	maxLargeTasks  int        // tasks of the largest gang of whole workers
	gpuClassShares [2]float64 // shares of small and medium jobs among those with accelerators
	cpuShare       float64    // share of jobs without accelerators
	gpuLoad        float64    // accelerator work submitted as a share of capacity
	cpuLoad        float64    // the same of cores, for jobs without accelerators; 0 leaves their run times
}

// jobClass says what a job counts as in the report.
type jobClass int

const (
	classCPU jobClass = iota
	classSmall
	classMedium
	classLarge
)

// traceJob is a submission with the truth that the policies do not see.
type traceJob struct {
	spec               model.JobSpec
	class              jobClass
	submitAt           float64         // seconds
	workSeconds        float64         // seconds at full speed
	usage              model.Resources // real use of a task
	checkpointInterval float64         // seconds of work between checkpoints
	cancelAt           float64         // time of cancellation, 0 for none
	alwaysFails        bool            // fails on every worker
	checkpointsOnStop  bool            // its checkpoint is written within the deadline of a stop
}

// fault is a scheduled disturbance.
type fault struct {
	start, end float64
	worker     string // fails or, when sick is set, fails every task that it starts
	failsTasks bool
	dataCentre string // leaves service and returns
}

// trace is a seeded workload for one size.
type trace struct {
	size      Size
	jobs      []traceJob
	faults    []fault
	submitEnd float64 // of submissions
}

const (
	hour   = 3600.0
	minute = 60.0
	// alwaysFailsShare is the share of jobs that fail on every worker, in traces with faults.
	alwaysFailsShare = 0.01
	// underdeclaredShare is the share of jobs that use more than they declare, in traces with faults.
	underdeclaredShare = 0.1
	// workdayShare of the jobs are submitted in the workdayHours from workdayStartHour on, the others at any hour.
	workdayShare     = 0.2
	workdayStartHour = 7
	workdayHours     = 11
	// maxWorkSeconds bounds run times before they are fitted to the load.
	maxWorkSeconds = 20 * hour
	// startupSeconds passes after each start before work advances.
	startupSeconds = 15
)

// largeGangTasks are the numbers of whole workers that large gangs take; few take a whole rack.
var largeGangTasks = []int{2, 2, 2, 2, 3, 3, 4, 6}

// newTrace returns the workload of a seed; faults adds failures, departures, bursts, wrong sizes and cancellations.
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
		g.drawDeclaration(&g.jobs[i])
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

// initialJobShare is the share of further jobs at the start that brings the site to its usual load.
func (s Size) initialJobShare() float64 {
	if s.mix.cpuLoad > 0 {
		return 0.3
	}
	return 0.05
}

type generator struct {
	r            *rand.Rand
	sz           Size
	faults       bool
	declaredBias map[string]float64 // of declared run times by team, as a power of ten
	jobs         []traceJob
}

// drawSubmitTime draws a time; most jobs are submitted in the working day.
func (g *generator) drawSubmitTime() float64 {
	if g.r.Float64() < workdayShare {
		return (workdayStartHour + g.r.Float64()*workdayHours) * hour
	}
	return g.r.Float64() * g.sz.Hours * hour
}

func (g *generator) drawClass() jobClass {
	x := g.r.Float64()
	if x < g.sz.mix.cpuShare {
		return classCPU
	}
	switch x = (x - g.sz.mix.cpuShare) / (1 - g.sz.mix.cpuShare); {
	case x < g.sz.mix.gpuClassShares[0]:
		return classSmall
	case x < g.sz.mix.gpuClassShares[0]+g.sz.mix.gpuClassShares[1]:
		return classMedium
	default:
		return classLarge
	}
}

// drawTeam draws a drawTeam by weight among those that the shape can count against.
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

func (g *generator) lognormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.r.NormFloat64())
}

func (g *generator) addJob(at float64, c jobClass) {
	m := g.sz.mix
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
	// Half of the jobs that could be of a guaranteed shape are.
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
	for _, gr := range t.Guarantees {
		s := gr.Shape
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

// MaxTasks bounds the gangs of a trace.
const MaxTasks = 64

// fitLoad scales the run times so that the submitted work is the given share of capacity.
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
	gpuScale := g.sz.mix.gpuLoad * capGPUs * span / gpuWork
	cpuScale := 1.0
	if g.sz.mix.cpuLoad > 0 {
		cpuScale = g.sz.mix.cpuLoad * capCores * span / coreWork
	}
	for i := range g.jobs {
		if g.jobs[i].class == classCPU {
			g.jobs[i].workSeconds *= cpuScale
		} else {
			g.jobs[i].workSeconds *= gpuScale
		}
	}
}

// drawDeclaration sets what the caller says of a job, which is wrong by up to ten times, and what it really uses.
func (g *generator) drawDeclaration(j *traceJob) {
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

// addBursts adds a burst of small jobs, one of large jobs, and a wave of cancellations.
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

// drawFaults returns failures of workers, sick workers, and a data centre that leaves for two hours.
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
