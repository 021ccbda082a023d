package place

import (
	"slices"
	"time"

	"turmericroute/config"
	"turmericroute/model"
)

type jobState int

const (
	jobWaiting jobState = iota
	jobStarting
	jobRunning
	jobStopping
)

func (s jobState) String() string {
	return [...]string{"waiting", "starting", "running", "stopping"}[s]
}

// job is the policy's record of one gang.
type job struct {
	spec         model.JobSpec
	team         *team
	perTask      amount
	submittedAt  time.Time // when it was accepted
	waitingSince time.Time // when it began to wait for the current placement
	state        jobState
	attempt      int
	reason       string // why it waits, stops or cannot be placed, for operators

	workers       []*worker // worker of each task
	cell          *cell     // cell that it is charged to, or nil
	claim         *claim
	claimRetried  bool // its claim was already cancelled once because of a lost worker
	reservation   *reservation
	queued        bool
	hasQueueEntry bool // it has an entry in the queue, possibly one marked as removed
	placedAt      time.Time
	// attainedService is the run time of earlier attempts since the job was last promoted.
	attainedService time.Duration
	waitedBefore    time.Duration // wait before the current attempt
	nextOvertakeAt  time.Time     // when borrowers to overtake may be searched again
	movedAt         time.Time
	// nextMoveSearchAt is when moves for the job may be searched again.
	nextMoveSearchAt time.Time

	progress         float64 // seconds of work done
	checkpoint       float64 // seconds of work saved
	startCheckpoint  float64 // checkpoint from which the attempt began
	excessUse        amount  // measured usage of a task beyond the declared one
	cancelled        bool
	removed          bool
	failedOn         []*worker // distinct workers where it failed
	expectedEnd      time.Time // computed in round expectedEndRound
	expectedEndRound int
	avoided          []*worker // workers on which it is not placed again while others have room
}

func (j *job) id() string { return j.spec.ID }

// placed reports whether the job uses resources.
func (j *job) placed() bool { return j.state != jobWaiting }

// lostWork returns the work that is lost if the job stops now: tasks times seconds since the
// checkpoint times the dominant share of a task.
func (j *job) lostWork(total amount) float64 {
	seconds := max(0, j.progress-max(j.checkpoint, j.startCheckpoint))
	return float64(j.spec.Shape.Tasks) * seconds * j.perTask.dominantShare(total)
}

// jobSubmitted queues a job; a repeated submission of an ID is ignored.
func (p *Policy) jobSubmitted(m model.Job, at time.Time) {
	if _, ok := p.jobs[m.Spec.ID]; ok {
		return
	}
	j := p.addJob(m, at)
	j.waitingSince = p.now
	p.enqueue(j)
}

// addJob records a job that starts from its checkpoint.
func (p *Policy) addJob(m model.Job, at time.Time) *job {
	j := &job{
		spec: m.Spec, team: p.team(m.Spec.Team), perTask: taskAmount(m.Spec.Shape),
		submittedAt: at, waitingSince: at, attempt: m.Attempt,
		progress: m.Checkpoint, checkpoint: m.Checkpoint, startCheckpoint: m.Checkpoint,
	}
	p.jobs[j.id()] = j
	p.recordPerGPU(j.perTask)
	return j
}

// jobRecovered restores a placed job, which borrows until chargeToUnusedCell finds a cell for it.
func (p *Policy) jobRecovered(m model.Job, at time.Time) {
	if _, ok := p.jobs[m.Spec.ID]; ok {
		return
	}
	if len(m.Placement.Workers) == 0 {
		p.jobSubmitted(m, at)
		return
	}
	j := p.addJob(m, at)
	ws := make([]*worker, len(m.Placement.Workers))
	for i, name := range m.Placement.Workers {
		ws[i] = p.worker(name)
	}
	p.allocate(j, ws)
	j.placedAt = at
	if m.Started > 0 {
		j.placedAt = time.UnixMilli(m.Started)
	}
	switch m.State {
	case model.JobStopping:
		j.state = jobStopping
	case model.JobPreparing:
		j.state = jobStarting
	default:
		j.state = jobRunning
	}
	p.needsRepair = true
}

// allocate counts the resources of a placement as used.
func (p *Policy) allocate(j *job, ws []*worker) {
	j.workers = ws
	for _, w := range ws {
		w.used = w.used.plus(j.perTask)
		w.backfillRound, w.rack.maxFreeRound = 0, 0
		w.excessUse = w.excessUse.plus(j.excessUse)
		if !slices.Contains(w.gangs, j) {
			w.gangs = append(w.gangs, j)
		}
	}
	j.team.account(j, 1)
}

// deallocate frees the resources of a placement.
func (p *Policy) deallocate(j *job) {
	for _, w := range j.workers {
		w.used = w.used.minus(j.perTask)
		w.excessUse = w.excessUse.minus(j.excessUse)
		if i := slices.Index(w.gangs, j); i >= 0 {
			w.gangs = slices.Delete(w.gangs, i, i+1)
		}
	}
	j.team.account(j, -1)
	j.workers, j.excessUse = nil, amount{}
}

func (p *Policy) jobStarted(e JobStarted) {
	j, ok := p.jobs[e.ID]
	if !ok || j.state != jobStarting || e.Attempt != j.attempt {
		return
	}
	j.state = jobRunning
	j.placedAt = p.now
}

func (p *Policy) jobProgress(e JobProgress) {
	j, ok := p.jobs[e.ID]
	if !ok || !j.placed() {
		return
	}
	j.progress = max(j.progress, e.Progress)
	j.checkpoint = max(j.checkpoint, e.Checkpoint)
	excess := amountOf(e.Usage).minus(j.perTask).max(amount{})
	excess.gpus = 0
	if e.Usage != (model.Resources{}) {
		j.team.estimator.recordUsage(j.perTask, amountOf(e.Usage))
	}
	if excess == j.excessUse {
		return
	}
	for _, w := range j.workers {
		w.excessUse = w.excessUse.minus(j.excessUse).plus(excess)
	}
	j.excessUse = excess
}

func (p *Policy) jobReleased(e JobReleased) {
	j, ok := p.jobs[e.ID]
	if !ok || !j.placed() || e.Attempt < j.attempt {
		return
	}
	p.recordOutcome(j, e)
	p.recordLoss(j, e)
	oldWorkers := j.workers
	j.attainedService = p.attainedService(j)
	p.uncharge(j)
	p.deallocate(j)
	p.oldPlacementReleased(j)
	j.checkpoint = max(j.checkpoint, e.Checkpoint)
	j.progress, j.startCheckpoint = j.checkpoint, j.checkpoint
	for _, w := range oldWorkers {
		if !p.usable(w) {
			p.needsRepair = true
		}
	}
	if !e.Requeue || j.cancelled {
		p.cancelClaim(j)
		delete(p.jobs, j.id())
		j.removed = true
		return
	}
	j.state, j.reason = jobWaiting, ""
	// A preempted gang keeps the waiting time from before its attempt.
	j.waitingSince = p.now.Add(-j.waitedBefore)
	p.enqueue(j)
}

// jobRemoved removes a waiting job. A placed one keeps its resources until JobReleased.
func (p *Policy) jobRemoved(id string) {
	j, ok := p.jobs[id]
	if !ok {
		return
	}
	if j.placed() {
		j.cancelled = true
		return
	}
	p.cancelClaim(j)
	p.dequeue(j)
	delete(p.jobs, id)
}

// team is the policy's record of a customer.
type team struct {
	name       string
	index      int // order of first appearance
	cfg        config.Team
	configured bool // the configuration in force names the team
	cells      []*cell
	queue      queue
	placed     []*job // placed gangs, oldest first
	used       amount // use of placed gangs
	claimed    amount // claims of jobs that are not placed
	borrowed   amount // use of gangs that are not charged to a cell
	estimator  estimator
}

func (t *team) weight() float64 {
	if t.cfg.Weight > 0 {
		return t.cfg.Weight
	}
	return 1
}

// account adds a placed gang to the team's use, or removes it if sign is negative. A gang without a
// cell counts as a borrower.
func (t *team) account(j *job, sign int) {
	n := sign * j.spec.Shape.Tasks
	t.used = t.used.plus(j.perTask.times(n))
	if j.cell == nil {
		t.borrowed = t.borrowed.plus(j.perTask.times(n))
	}
	if sign > 0 {
		t.placed = append(t.placed, j)
	} else if i := slices.Index(t.placed, j); i >= 0 {
		t.placed = slices.Delete(t.placed, i, i+1)
	}
}

// team returns the named team and creates it if needed.
func (p *Policy) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{name: name, index: len(p.teams)}
		p.teams[name] = t
	}
	return t
}

// setTeams applies the teams of a configuration.
func (p *Policy) setTeams(cfg config.Config) {
	for _, t := range p.teams {
		t.configured = false
	}
	p.orderedTeams = p.orderedTeams[:0]
	for _, c := range cfg.Teams {
		t := p.team(c.Name)
		t.cfg, t.configured = c, true
		p.orderedTeams = append(p.orderedTeams, t)
	}
	for _, t := range p.teams {
		if !t.configured {
			t.cfg = config.Team{Name: t.name}
			p.orderedTeams = append(p.orderedTeams, t)
		}
	}
	slices.SortStableFunc(p.orderedTeams[len(cfg.Teams):], func(a, b *team) int { return a.index - b.index })
	p.rebuildCells()
}

// allowed reports whether a job's tasks may run in the data centre.
func (j *job) allowed(dc string) bool {
	return allows(j.team.cfg.DataCentres, dc) && allows(j.spec.DataCentres, dc)
}

func allows(list []string, dc string) bool { return len(list) == 0 || slices.Contains(list, dc) }
