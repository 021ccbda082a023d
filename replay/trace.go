package replay

import (
	"fmt"
	"math"
	"math/rand"
	"slices"

	"turmericroute/config"
	"turmericroute/model"
)

// mix describes the jobs of a size.
type mix struct {
	wholeGPUs   int // accelerators of a worker that large gangs take whole
	coresPerGPU int
	mbPerGPU    int
	largest     int        // tasks of the largest gang of whole workers
	shares      [2]float64 // shares of small and medium jobs among those with accelerators
	cpuShare    float64    // share of jobs without accelerators
	load        float64    // accelerator work submitted as a share of capacity
	cpuLoad     float64    // the same of cores, for jobs without accelerators; 0 leaves their run times
}

// class says what a job counts as in the report.
type class int

const (
	classCPU class = iota
	classSmall
	classMedium
	classLarge
)

// traceJob is a submission with the truth that the policies do not see.
type traceJob struct {
	spec   model.JobSpec
	class  class
	at     float64         // seconds
	work   float64         // seconds at full speed
	usage  model.Resources // real use of a task
	every  float64         // seconds of work between checkpoints
	cancel float64         // time of cancellation, 0 for none
	broken bool            // fails on every worker
	quick  bool            // its checkpoint is written within the deadline of a stop
}

// fault is a scheduled disturbance.
type fault struct {
	at, until float64
	worker    string // fails or, when sick is set, fails every task that it starts
	sick      bool
	dc        string // leaves service and returns
}

// trace is a seeded workload for one size.
type trace struct {
	size   Size
	jobs   []traceJob
	faults []fault
	end    float64 // of submissions
}

const (
	hour   = 3600.0
	minute = 60.0
	// brokenShare is the share of jobs that fail on every worker, in traces with faults.
	brokenShare = 0.01
	// wrongSizeShare is the share of jobs that use more than they declare, in traces with faults.
	wrongSizeShare = 0.1
	// dayShare of the jobs are submitted in the dayHours from dayFrom on, the others at any hour.
	dayShare = 0.2
	dayFrom  = 7
	dayHours = 11
	// longestRun bounds run times before they are fitted to the load.
	longestRun = 20 * hour
	// startupSeconds passes after each start before work advances.
	startupSeconds = 15
)

// largeTasks are the numbers of whole workers that large gangs take; few take a whole rack.
var largeTasks = []int{2, 2, 2, 2, 3, 3, 4, 6}

// newTrace returns the workload of a seed; faults adds failures, departures, bursts, wrong sizes and cancellations.
func newTrace(sz Size, seed int64, faults bool) trace {
	g := &generator{r: rand.New(rand.NewSource(seed)), sz: sz, faults: faults, bias: map[string]float64{}}
	for _, t := range sz.Config.Teams {
		g.bias[t.Name] = g.r.Float64()*1.2 - 0.6
	}
	tr := trace{size: sz, end: sz.Hours * hour}
	for range sz.Jobs {
		g.add(g.arrival(), g.class())
	}
	for range int(float64(sz.Jobs) * sz.initialShare()) {
		g.add(g.r.Float64()*10*minute, g.class())
	}
	if faults {
		g.bursts()
	}
	g.fitLoad()
	for i := range g.jobs {
		g.declare(&g.jobs[i])
	}
	slices.SortStableFunc(g.jobs, func(a, b traceJob) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	for i := range g.jobs {
		g.jobs[i].spec.ID = fmt.Sprintf("j%06d", i)
	}
	tr.jobs = g.jobs
	if faults {
		tr.faults = g.disturb()
	}
	return tr
}

// initialShare is the share of further jobs at the start that brings the site to its usual load.
func (s Size) initialShare() float64 {
	if s.mix.cpuLoad > 0 {
		return 0.3
	}
	return 0.05
}

type generator struct {
	r      *rand.Rand
	sz     Size
	faults bool
	bias   map[string]float64 // of declared run times by team, as a power of ten
	jobs   []traceJob
}

// arrival draws a time; most jobs are submitted in the working day.
func (g *generator) arrival() float64 {
	if g.r.Float64() < dayShare {
		return (dayFrom + g.r.Float64()*dayHours) * hour
	}
	return g.r.Float64() * g.sz.Hours * hour
}

func (g *generator) class() class {
	x := g.r.Float64()
	if x < g.sz.mix.cpuShare {
		return classCPU
	}
	switch x = (x - g.sz.mix.cpuShare) / (1 - g.sz.mix.cpuShare); {
	case x < g.sz.mix.shares[0]:
		return classSmall
	case x < g.sz.mix.shares[0]+g.sz.mix.shares[1]:
		return classMedium
	default:
		return classLarge
	}
}

// team draws a team by weight among those that the shape can count against.
func (g *generator) team(gpus int) config.Team {
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

func (g *generator) add(at float64, c class) {
	m := g.sz.mix
	j := traceJob{at: at, class: c}
	gpu := func(tasks, gpus int, same bool) model.Shape {
		return gpuShape(tasks, gpus, m.coresPerGPU, m.mbPerGPU, same)
	}
	var sh model.Shape
	switch c {
	case classCPU:
		sh = model.Shape{Tasks: 1 + g.r.Intn(8), Cores: 2 + g.r.Intn(3), MemoryMB: 4 << 10}
		if m.cpuLoad > 0 {
			sh.Tasks = min(MaxTasks, int(g.lognormal(7, 1))+1)
			sh.Cores, sh.MemoryMB = 3, 10<<10
		}
		j.work = g.lognormal(15*minute, 1.2)
	case classSmall:
		sh = gpu(1, 1+g.r.Intn(2), false)
		j.work = g.lognormal(10*minute, 1.5)
	case classMedium:
		sh = gpu(1+g.r.Intn(3), 2<<g.r.Intn(2), false)
		j.work = g.lognormal(40*minute, 1.2)
	default:
		sh = gpu(min(m.largest, largeTasks[g.r.Intn(len(largeTasks))]), m.wholeGPUs, true)
		j.work = g.lognormal(40*minute, 0.7)
	}
	j.work = min(j.work, longestRun)
	team := g.team(sh.TotalGPUs())
	// Half of the jobs that could be of a guaranteed shape are.
	if same := guaranteedOf(team, c, m); len(same) > 0 && g.r.Intn(2) == 0 {
		sh = same[g.r.Intn(len(same))]
	}
	j.spec = model.JobSpec{Team: team.Name, Shape: sh, Urgent: g.r.Intn(20) == 0}
	j.every = minute * float64(5+g.r.Intn(15))
	j.quick = g.r.Float64() < 0.8
	g.jobs = append(g.jobs, j)
}

// guaranteedOf returns the guaranteed shapes of a team that belong to a class.
func guaranteedOf(t config.Team, c class, m mix) []model.Shape {
	var shapes []model.Shape
	for _, gr := range t.Guarantees {
		s := gr.Shape
		of := classMedium
		switch {
		case s.GPUs == 0:
			of = classCPU
		case s.GPUs == m.wholeGPUs && s.Tasks > 1:
			of = classLarge
		case s.TotalGPUs() <= 2:
			of = classSmall
		}
		if of == c {
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
	for _, w := range workersOf(g.sz.Config) {
		capGPUs += float64(w.Capacity.GPUs)
		capCores += float64(w.Capacity.Cores)
	}
	for _, j := range g.jobs {
		gpuWork += j.work * float64(j.spec.Shape.TotalGPUs())
		if j.class == classCPU {
			coreWork += j.work * float64(j.spec.Shape.Tasks*j.spec.Shape.Cores)
		}
	}
	span := g.sz.Hours * hour
	gpuScale := g.sz.mix.load * capGPUs * span / gpuWork
	cpuScale := 1.0
	if g.sz.mix.cpuLoad > 0 {
		cpuScale = g.sz.mix.cpuLoad * capCores * span / coreWork
	}
	for i := range g.jobs {
		if g.jobs[i].class == classCPU {
			g.jobs[i].work *= cpuScale
		} else {
			g.jobs[i].work *= gpuScale
		}
	}
}

// declare sets what the caller says of a job, which is wrong by up to ten times, and what it really uses.
func (g *generator) declare(j *traceJob) {
	off := g.bias[j.spec.Team] + 0.25*g.r.NormFloat64()
	if g.faults && g.r.Float64() < 0.3 {
		off = g.r.Float64()*2 - 1
	}
	j.spec.DeclaredSeconds = j.work * math.Pow(10, min(1, max(-1, off)))
	s := j.spec.Shape
	part := 0.3 + 0.7*g.r.Float64()
	if g.faults && g.r.Float64() < wrongSizeShare {
		part = 1 + 2*g.r.Float64()
	}
	j.usage = model.Resources{GPUs: s.GPUs, Cores: int(math.Ceil(part * float64(s.Cores))), MemoryMB: s.MemoryMB}
	if !g.faults {
		return
	}
	j.broken = g.r.Float64() < brokenShare
	if g.r.Float64() < 0.02 {
		j.cancel = j.at + g.r.Float64()*2*hour
	}
}

// bursts adds a burst of small jobs, one of large jobs, and a wave of cancellations.
func (g *generator) bursts() {
	small := g.sz.Hours * hour * (0.15 + 0.1*g.r.Float64())
	for range g.sz.Jobs / 12 {
		g.add(small+g.r.Float64()*2*minute, classSmall)
	}
	big := g.sz.Hours * hour * (0.7 + 0.1*g.r.Float64())
	for range 8 {
		g.add(big+g.r.Float64()*minute, classLarge)
	}
	for i := range g.jobs {
		if j := &g.jobs[i]; j.at >= small && j.at < small+2*minute && g.r.Intn(3) == 0 {
			j.cancel = small + 10*minute
		}
	}
}

// disturb returns failures of workers, sick workers, and a data centre that leaves for two hours.
func (g *generator) disturb() []fault {
	ws := workersOf(g.sz.Config)
	var fs []fault
	for range max(4, len(ws)/100) {
		at := g.r.Float64() * g.sz.Hours * hour
		fs = append(fs, fault{at: at, until: at + 30*minute, worker: ws[g.r.Intn(len(ws))].Name})
	}
	for range max(1, len(ws)/200) {
		at := g.r.Float64() * g.sz.Hours * hour * 0.8
		fs = append(fs, fault{at: at, until: at + 2*hour, worker: ws[g.r.Intn(len(ws))].Name, sick: true})
	}
	dcs := g.sz.Config.DataCentres
	at := g.sz.Hours * hour * (0.4 + 0.1*g.r.Float64())
	return append(fs, fault{at: at, until: at + 2*hour, dc: dcs[g.r.Intn(len(dcs))].Name})
}
