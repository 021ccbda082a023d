package place

import (
	"math/rand"
	"time"

	"turmericroute/config"
	"turmericroute/model"
)

// Defaults of Config.
const (
	// DefaultReserveAfter is the wait after which a job that finds no placement may get a
	// reservation.
	DefaultReserveAfter = 60 * time.Minute
	// DefaultMaxReservations bounds the reservations at one time, so that they cannot leave the
	// whole site idle.
	DefaultMaxReservations = 4
	// DefaultReturnStartsPerSecond bounds the starts into a data centre that has returned to
	// service.
	DefaultReturnStartsPerSecond = 5
	// DefaultReturnPeriod is how long the starts into a returned data centre are bounded.
	DefaultReturnPeriod = time.Minute
	// DefaultReclaimTimeout bounds checkpoint (700 ms), throttle (200 ms) and stop (300 ms) of a victim.
	DefaultReclaimTimeout = 1200 * time.Millisecond
	// DefaultProbation is the length of a worker's first probation; each further one is twice as
	// long.
	DefaultProbation = 5 * time.Minute
)

const (
	// idleDecideInterval is the time between decisions on waiting jobs without an event.
	idleDecideInterval = 15 * time.Second
	// returnDecideInterval is the same while starts into a returned data centre are bounded.
	returnDecideInterval = 200 * time.Millisecond
)

// Config holds the parameters of a Policy; zero fields take the defaults.
type Config struct {
	// Seed makes the order of packing trials reproducible.
	Seed                  int64
	ReserveAfter          time.Duration
	MaxReservations       int
	ReturnStartsPerSecond int
	ReturnPeriod          time.Duration
	ReclaimTimeout        time.Duration
	Probation             time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.ReserveAfter, DefaultReserveAfter)
	setDefault(&c.MaxReservations, DefaultMaxReservations)
	setDefault(&c.ReturnStartsPerSecond, DefaultReturnStartsPerSecond)
	setDefault(&c.ReturnPeriod, DefaultReturnPeriod)
	setDefault(&c.ReclaimTimeout, DefaultReclaimTimeout)
	setDefault(&c.Probation, DefaultProbation)
	return c
}

func setDefault[T comparable](field *T, v T) {
	var zero T
	if *field == zero {
		*field = v
	}
}

// Policy decides placements; it is not safe for concurrent use.
type Policy struct {
	cfg     Config
	siteCfg config.Config // configuration in force
	rand    *rand.Rand
	now     time.Time

	dcs           map[string]*dataCentre
	racks         map[rackID]*rack
	sortedRacks   []*rack // by data centre and name
	workers       map[string]*worker
	allWorkers    []*worker // by index
	teams         map[string]*team
	orderedTeams  []*team // in the order of the configuration, others last
	jobs          map[string]*job
	cells         []*cell
	claims        []*job // jobs with a claim, oldest first
	totalCapacity amount // capacity of the workers that have joined
	// largestRackGPUs is the largest number of accelerators of a rack.
	largestRackGPUs int

	movingGangs int // gangs that still have to leave their old placement
	nextCompact time.Time
	// lossFactor is the average share of the work since a checkpoint that a preemption loses.
	lossFactor       float64
	overtakeSearches int   // searches for borrowers to overtake in this round
	moveSearches     int   // searches for moves in this round
	excludedRack     *rack // left out by findPlacement

	needsRepair                     bool // cell placements or charges need a check
	maxSearchSteps, searchStepsLeft int  // bound of exhaustive searches in one repair, and what is left

	hasShortage  bool   // a cell has no placement
	recheckJobs  bool   // waiting jobs may have become impossible
	displaced    []*job // gangs marked for preemption
	reservations []*reservation
	starved      []*job // jobs that found no placement in this round and have waited for ReserveAfter
	footprintGen int    // generation of footprints, see ensureFootprint
	// perGPU is the cores and memory that jobs request per accelerator, rounded up from the means
	// below.
	perGPU                         amount
	meanCoresPerGPU, meanMemPerGPU float64
	round                          int // number of the decision round

	eventPending bool // an event may have made a decision possible
	nextDecideAt time.Time

	onProbation []*worker   // workers on probation
	candidates  []candidate // scratch space of chooseWorkers, as is groups
	groups      []rackGroup
}

// New returns a policy without configuration, workers and jobs.
func New(cfg Config) *Policy {
	cfg = cfg.withDefaults()
	return &Policy{
		cfg:        cfg,
		lossFactor: 0.5, maxSearchSteps: repairSearchSteps,
		rand:    rand.New(rand.NewSource(cfg.Seed)),
		dcs:     map[string]*dataCentre{},
		racks:   map[rackID]*rack{},
		workers: map[string]*worker{},
		teams:   map[string]*team{},
		jobs:    map[string]*job{},
	}
}

// Step applies an event. It makes no decision, so that bursts of events are cheap.
func (p *Policy) Step(now time.Time, e Event) {
	p.now = now
	if _, ok := e.(JobProgress); !ok {
		p.eventPending = true
	}
	switch e := e.(type) {
	case ConfigChanged:
		p.configChanged(e.Config)
	case WorkerJoined:
		p.workerJoined(e.Worker)
	case WorkerLost:
		p.workerLost(e.Name)
	case JobSubmitted:
		p.jobSubmitted(e.Job, e.At)
	case JobRecovered:
		p.jobRecovered(e.Job, e.At)
	case JobStarted:
		p.jobStarted(e)
	case JobProgress:
		p.jobProgress(e)
	case JobReleased:
		p.jobReleased(e)
	case JobRemoved:
		p.jobRemoved(e.ID)
	}
}

// Decide returns the decisions to carry out now. It is to be called after events and at least every
// 250 ms.
func (p *Policy) Decide(now time.Time) []Decision {
	p.now = now
	p.endProbations()
	if !p.eventPending && !p.needsRepair && now.Before(p.nextDecideAt) {
		return nil
	}
	p.eventPending = false
	p.round++
	p.searchStepsLeft = decisionSearchSteps
	p.nextDecideAt = now.Add(p.decideInterval())
	p.displaceOutOfService()
	p.repairIfNeeded()
	var ds []Decision
	ds = p.preemptDisplaced(ds)
	ds = p.refuseImpossible(ds)
	ds = p.advanceClaims(ds)
	ds = p.placeWaiting(ds)
	return ds
}

// decideInterval returns the time until the next decision without an event: returnDecideInterval
// while starts into a returned data centre are bounded, else idleDecideInterval, so that a job that
// has waited for ReserveAfter can get a reservation.
func (p *Policy) decideInterval() time.Duration {
	for _, dc := range p.dcs {
		if p.returning(dc) {
			return returnDecideInterval
		}
	}
	return idleDecideInterval
}

// preempt stops a running gang; its resources stay in use until JobReleased.
func (p *Policy) preempt(ds []Decision, j *job, forJob, reason string) []Decision {
	p.uncharge(j)
	j.state = jobStopping
	j.reason = reason
	return append(ds, Preempt{ID: j.id(), For: forJob, Reason: reason, Timeout: p.cfg.ReclaimTimeout})
}

// start places a waiting job whose resources are free.
func (p *Policy) start(ds []Decision, j *job, placement []*worker) []Decision {
	p.allocate(j, placement)
	j.state = jobStarting
	j.attempt++
	j.placedAt = p.now
	j.reason = ""
	if j.waitedBefore = p.now.Sub(j.waitingSince); j.waitedBefore >= promoteAfter {
		j.attainedService = 0
	}
	names := make([]string, len(placement))
	for i, w := range placement {
		names[i] = w.name
	}
	p.countStart(placement)
	return append(ds, Start{ID: j.id(), Placement: model.Placement{Workers: names}})
}
