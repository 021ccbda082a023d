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

// job is the policy's view of one gang.
type job struct {
	spec      model.JobSpec
	team      *team
	per       amount
	submitted time.Time // when it was accepted
	waitFrom  time.Time // when it began to wait for the current placement
	state     jobState
	attempt   int
	why       string // why it waits, stops or cannot be placed, for people

	workers  []*worker // of each task; also the place that is being freed while waiting
	cell     *cell     // the guaranteed cell that it is charged to
	claim    *claim
	patient  bool // has looked for another place after its claim met a lost worker
	shadow   *reservation
	queued   bool
	listed   bool // an entry is in the queue, perhaps of a job taken out
	placedAt time.Time
	// served is the run time of earlier attempts since the job was last promoted.
	served        time.Duration
	aged          time.Duration // wait before the current attempt
	overtakeRetry time.Time
	movedAt       time.Time
	// moveRetry is when moves for the job are next looked for.
	moveRetry time.Time

	progress   float64
	checkpoint float64
	base       float64 // checkpoint that the attempt began from
	extra      amount  // measured use of a task beyond the declared one
	cancelled  bool
	gone       bool
	failedOn   []*worker // distinct workers where it failed
	end        time.Time // expected, as of round endRound
	endRound   int
	avoid      []*worker // those that it is not placed on again while others have room
}

func (j *job) id() string { return j.spec.ID }

// placed reports whether the job uses resources.
func (j *job) placed() bool { return j.state != jobWaiting }

// lost returns the work that stopping the job now loses: tasks x seconds since the checkpoint x resources.
func (j *job) lost(total amount) float64 {
	seconds := max(0, j.progress-max(j.checkpoint, j.base))
	return float64(j.spec.Shape.Tasks) * seconds * j.per.share(total)
}

// jobSubmitted queues a job; a second submission of one ID changes nothing.
func (p *Policy) jobSubmitted(m model.Job, at time.Time) {
	if _, ok := p.jobs[m.Spec.ID]; ok {
		return
	}
	j := p.addJob(m, at)
	j.waitFrom = p.now
	p.enqueue(j)
}

func (p *Policy) addJob(m model.Job, at time.Time) *job {
	j := &job{
		spec: m.Spec, team: p.team(m.Spec.Team), per: perTask(m.Spec.Shape),
		submitted: at, waitFrom: at, attempt: m.Attempt,
		progress: m.Checkpoint, checkpoint: m.Checkpoint, base: m.Checkpoint,
	}
	p.jobs[j.id()] = j
	p.learnPerGPU(j.per)
	return j
}

// jobRecovered puts a placed job back; it borrows until settle finds a cell for it.
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
	p.occupy(j, ws)
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
	p.repack = true
}

// occupy counts the resources of a placement as used.
func (p *Policy) occupy(j *job, ws []*worker) {
	j.workers = ws
	for _, w := range ws {
		w.used = w.used.plus(j.per)
		w.besideRound, w.rack.freeRound = 0, 0
		w.extra = w.extra.plus(j.extra)
		if !slices.Contains(w.gangs, j) {
			w.gangs = append(w.gangs, j)
		}
	}
	j.team.add(j, 1)
}

// vacate returns the resources of a placement.
func (p *Policy) vacate(j *job) {
	for _, w := range j.workers {
		w.used = w.used.minus(j.per)
		w.extra = w.extra.minus(j.extra)
		if i := slices.Index(w.gangs, j); i >= 0 {
			w.gangs = slices.Delete(w.gangs, i, i+1)
		}
	}
	j.team.add(j, -1)
	j.workers, j.extra = nil, amount{}
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
	over := amountOf(e.Usage).minus(j.per).max(amount{})
	over.gpus = 0
	if e.Usage != (model.Resources{}) {
		j.team.learned.size(j.per, amountOf(e.Usage))
	}
	if over == j.extra {
		return
	}
	for _, w := range j.workers {
		w.extra = w.extra.minus(j.extra).plus(over)
	}
	j.extra = over
}

func (p *Policy) jobReleased(e JobReleased) {
	j, ok := p.jobs[e.ID]
	if !ok || !j.placed() || e.Attempt < j.attempt {
		return
	}
	p.recordOutcome(j, e)
	p.learnLoss(j, e)
	ran := j.workers
	j.served = p.servedOf(j)
	p.uncharge(j)
	p.vacate(j)
	p.arrived(j)
	j.checkpoint = max(j.checkpoint, e.Checkpoint)
	j.progress, j.base = j.checkpoint, j.checkpoint
	for _, w := range ran {
		if !p.usable(w) {
			p.repack = true
		}
	}
	if !e.Requeue || j.cancelled {
		p.dropClaim(j)
		delete(p.jobs, j.id())
		j.gone = true
		return
	}
	j.state, j.why = jobWaiting, ""
	// A gang that was stopped keeps the age that it had.
	j.waitFrom = p.now.Add(-j.aged)
	p.enqueue(j)
}

// jobRemoved forgets a waiting job. A placed one keeps its resources until JobReleased.
func (p *Policy) jobRemoved(id string) {
	j, ok := p.jobs[id]
	if !ok {
		return
	}
	if j.placed() {
		j.cancelled = true
		return
	}
	p.dropClaim(j)
	p.dequeue(j)
	delete(p.jobs, id)
}

// team is the policy's view of a customer.
type team struct {
	name    string
	rank    int
	cfg     config.Team
	known   bool
	cells   []*cell
	queue   queue
	running []*job // placed gangs, oldest first
	gpus    int    // accelerators in use
	claimed int    // accelerators of places that are being freed
	beyond  amount // use of gangs that are not charged to the guarantee
	learned learned
}

func (t *team) weight() float64 {
	if t.cfg.Weight > 0 {
		return t.cfg.Weight
	}
	return 1
}

// add counts a placed gang, as a borrower until it is charged.
func (t *team) add(j *job, sign int) {
	n := sign * j.spec.Shape.Tasks
	t.gpus += n * j.per.gpus
	if j.cell == nil {
		t.beyond = t.beyond.plus(j.per.times(n))
	}
	if sign > 0 {
		t.running = append(t.running, j)
	} else if i := slices.Index(t.running, j); i >= 0 {
		t.running = slices.Delete(t.running, i, i+1)
	}
}

func (p *Policy) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{name: name, rank: len(p.teams)}
		p.teams[name] = t
	}
	return t
}

func (p *Policy) setTeams(cfg config.Config) {
	for _, t := range p.teams {
		t.known = false
	}
	p.ranked = p.ranked[:0]
	for _, c := range cfg.Teams {
		t := p.team(c.Name)
		t.cfg, t.known = c, true
		p.ranked = append(p.ranked, t)
	}
	for _, t := range p.teams {
		if !t.known {
			t.cfg = config.Team{Name: t.name}
			p.ranked = append(p.ranked, t)
		}
	}
	slices.SortStableFunc(p.ranked[len(cfg.Teams):], func(a, b *team) int { return a.rank - b.rank })
	p.setCells()
}

// allowed reports whether a job's tasks may run in the data centre.
func (j *job) allowed(dc string) bool {
	return allows(j.team.cfg.DataCentres, dc) && allows(j.spec.DataCentres, dc)
}

func allows(list []string, dc string) bool { return len(list) == 0 || slices.Contains(list, dc) }
