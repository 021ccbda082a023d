package place

import (
	"math/rand"
	"time"

	"turmericroute/config"
	"turmericroute/model"
)

// Defaults of Config.
const (
	// DefaultReserveAfter is the wait after which a job that finds no place gets a reservation.
	DefaultReserveAfter = 60 * time.Minute
	// DefaultReservations bounds the reservations at one time, so that they cannot idle the whole site.
	DefaultReservations = 4
	// DefaultReturnStarts bounds the starts a second into a data centre that has returned.
	DefaultReturnStarts = 5
	// DefaultReturnPeriod is how long the starts into a returned data centre are bounded.
	DefaultReturnPeriod = time.Minute
	// DefaultReclaimDeadline bounds checkpoint (700 ms), throttle (200 ms) and stop (300 ms) of a victim.
	DefaultReclaimDeadline = 1200 * time.Millisecond
	// DefaultProbation is the first probation of a worker; each further one is twice as long.
	DefaultProbation = 5 * time.Minute
)

const (
	// idleLook is how often waiting jobs are looked at without an event.
	idleLook = 15 * time.Second
	// returnLook is the same while starts into a returned data centre are bounded.
	returnLook = 200 * time.Millisecond
)

// Config is what a policy is made with; zero fields take the defaults.
type Config struct {
	// Seed makes the order of packing trials reproducible.
	Seed            int64
	ReserveAfter    time.Duration
	Reservations    int
	ReturnStarts    int
	ReturnPeriod    time.Duration
	ReclaimDeadline time.Duration
	Probation       time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.ReserveAfter, DefaultReserveAfter)
	setDefault(&c.Reservations, DefaultReservations)
	setDefault(&c.ReturnStarts, DefaultReturnStarts)
	setDefault(&c.ReturnPeriod, DefaultReturnPeriod)
	setDefault(&c.ReclaimDeadline, DefaultReclaimDeadline)
	setDefault(&c.Probation, DefaultProbation)
	return c
}

func setDefault[T comparable](field *T, v T) {
	var zero T
	if *field == zero {
		*field = v
	}
}

// Policy decides placements; it has one caller at a time.
type Policy struct {
	cfg  Config
	ops  config.Config
	rand *rand.Rand
	now  time.Time

	dcs     map[string]*dataCentre
	racks   map[rackID]*rack
	order   []*rack // by data centre and name
	workers map[string]*worker
	list    []*worker
	teams   map[string]*team
	ranked  []*team // in the order of the configuration
	jobs    map[string]*job
	cells   []*cell
	claims  []*job // jobs whose place is being freed, oldest first
	total   amount
	// largestRack is the most accelerators of a rack.
	largestRack int

	moving      int // gangs that leave for another place
	nextCompact time.Time
	// lossFactor is the learned part of the work since a checkpoint that a stop loses.
	lossFactor float64
	overtakes  int   // searches for borrowers to stop in this decision
	moveTries  int   // searches for moves in this decision
	avoidRack  *rack // left out by findRoom

	repack                  bool // cell positions or charges need a check
	searchSteps, searchLeft int  // bound of exhaustive searches in one repair, and what is left

	short   bool // a cell has no position
	recheck bool // waiting jobs may have become impossible
	stopped []*job
	shadows []*reservation
	starved []*job // jobs that found no place in this decision and have waited beyond the bound
	stamp   int
	// perGPU is what goes with an accelerator, rounded up from the means below.
	perGPU                 amount
	perGPUCores, perGPUMem float64
	round                  int // of decisions

	changed  bool // an event may have made a decision possible
	nextLook time.Time

	probation []*worker
	cands     []cand
	groups    []group
}

// New returns a policy that knows no configuration, worker or job yet.
func New(cfg Config) *Policy {
	cfg = cfg.withDefaults()
	return &Policy{
		cfg:        cfg,
		lossFactor: 0.5, searchSteps: searchSteps,
		rand:    rand.New(rand.NewSource(cfg.Seed)),
		dcs:     map[string]*dataCentre{},
		racks:   map[rackID]*rack{},
		workers: map[string]*worker{},
		teams:   map[string]*team{},
		jobs:    map[string]*job{},
	}
}

// Step takes in an event; it never decides, so a wave of events costs little.
func (p *Policy) Step(now time.Time, e Event) {
	p.now = now
	if _, ok := e.(JobProgress); !ok {
		p.changed = true
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

// Decide returns what is to be done now; call it after events and at least every 250 ms.
func (p *Policy) Decide(now time.Time) []Decision {
	p.now = now
	p.endProbations()
	if !p.changed && !p.repack && now.Before(p.nextLook) {
		return nil
	}
	p.changed = false
	p.round++
	p.searchLeft = decisionSteps
	p.nextLook = now.Add(p.lookAfter())
	p.displaceOutOfService()
	p.settle()
	var ds []Decision
	ds = p.stopDisplaced(ds)
	ds = p.refuseImpossible(ds)
	ds = p.advanceClaims(ds)
	ds = p.placeWaiting(ds)
	return ds
}

// lookAfter returns when to look again without an event: for a job that may
// get a reservation, or soon while starts into a returned data centre are bounded.
func (p *Policy) lookAfter() time.Duration {
	for _, dc := range p.dcs {
		if p.returning(dc) {
			return returnLook
		}
	}
	return idleLook
}

// preempt stops a running gang; its resources stay in use until JobReleased.
func (p *Policy) preempt(ds []Decision, j *job, forJob, reason string) []Decision {
	p.uncharge(j)
	j.state = jobStopping
	j.why = reason
	return append(ds, Preempt{ID: j.id(), For: forJob, Reason: reason, Deadline: p.cfg.ReclaimDeadline})
}

// start places a waiting job whose resources are free.
func (p *Policy) start(ds []Decision, j *job, placement []*worker) []Decision {
	p.occupy(j, placement)
	j.state = jobStarting
	j.attempt++
	j.placedAt = p.now
	j.why = ""
	if j.aged = p.now.Sub(j.waitFrom); j.aged >= promoteAfter {
		j.served = 0
	}
	names := make([]string, len(placement))
	for i, w := range placement {
		names[i] = w.name
	}
	p.countStart(placement)
	return append(ds, Start{ID: j.id(), Placement: model.Placement{Workers: names}})
}
