package sched

import (
	"time"

	"turmericroute/admit"
	"turmericroute/batch"
)

// waitingStep is a step of an open job that is due and ready and has tasks without a run.
type waitingStep struct {
	job   *batch.Job
	first batch.TaskID
	shape *shape
	// fresh is set until the step has been tried as it is now.
	fresh bool
	// blockedSince is the boot time since when tasks of the step could not be placed, if blocked is set.
	blocked      bool
	blockedSince time.Duration
	// nextPreemptAt is the boot time before which preemption for the step is not tried again.
	nextPreemptAt time.Duration
	// freeSoonSince is the boot time since when the step waits for room that is expected to come free by itself, 0 if it
	// has not.
	freeSoonSince time.Duration
	// quota is set while the step waits for the quota of its team.
	quota quotaWait
	// deferredFor lists why the step has been deferred so far.
	deferredFor []admit.Reason
}

// block records that tasks of the step could not be placed.
func (w *waitingStep) block(now time.Duration) {
	if !w.blocked {
		w.blocked, w.blockedSince = true, now
	}
}

// waited returns how long tasks of the step could not be placed.
func (w *waitingStep) waited(now time.Duration) time.Duration {
	if !w.blocked {
		return 0
	}
	return now - w.blockedSince
}

// shapeKey is what decides on which workers a task of a step fits. Steps of one key share a shape, so that each pass
// searches once for all of them.
type shapeKey struct {
	service, label, dataRack string
	need                     batch.Resources
	sameRack, gang           bool
	bestEffort, serving      bool
}

// maxShapes bounds the shapes that are kept, since callers choose what their tasks need.
const maxShapes = 1000

// shape holds what the current pass has found out about a shape.
type shape struct {
	pass uint64
	// servable is whether room that has come free could serve the shape; known once asked.
	servable, servableKnown bool
	// leastFailed is the least number of tasks for which there was no place, 0 if there has been none, by supply and
	// whether racks beyond the preferred one counted. Room only shrinks in a pass.
	leastFailed [supplies][2]int
	// emptyRack remembers fitsNoRack for the room's version.
	emptyRack        map[int]bool
	emptyRackVersion uint64
}

// at returns the shape, cleared if its content is of another pass.
func (sh *shape) at(pass uint64) *shape {
	if sh.pass != pass {
		sh.pass, sh.servable, sh.servableKnown = pass, false, false
		sh.leastFailed = [supplies][2]int{}
	}
	return sh
}

// waitingSteps holds the steps that wait for a place, and what is derived from the open jobs.
type waitingSteps struct {
	steps map[batch.TaskID]*waitingStep // by first task
	byJob map[string][]*waitingStep
	// shapes holds the shapes that steps share.
	shapes map[shapeKey]*shape
	// scheduled holds the jobs with rounds that are not due yet.
	scheduled map[string]bool
	// demand counts the accelerators that the open jobs of priority 0 of each team need, share what each job adds.
	demand map[string]int
	share  map[string]teamShare
	// touched holds the jobs that must be looked at again.
	touched map[string]bool
	// anyFresh is set if any step is fresh.
	anyFresh bool
}

// teamShare is what a job adds to the demand of its team.
type teamShare struct {
	team string
	gpus int
}

func newWaitingSteps() *waitingSteps {
	return &waitingSteps{
		steps: map[batch.TaskID]*waitingStep{}, byJob: map[string][]*waitingStep{}, shapes: map[shapeKey]*shape{},
		scheduled: map[string]bool{}, demand: map[string]int{}, share: map[string]teamShare{}, touched: map[string]bool{},
	}
}

// refreshWaiting brings the waiting steps of all jobs that may have changed up to date.
func (p *pass) refreshWaiting() {
	ws := p.waiting
	p.l.dropLingering(p.now)
	for id := range ws.scheduled {
		ws.touched[id] = true
	}
	for id := range ws.touched {
		p.refreshJob(id)
	}
	clear(ws.touched)
}

// refreshJob brings the waiting steps and the demand of a job up to date.
func (p *pass) refreshJob(id string) {
	ws := p.waiting
	j := p.state.Open[id]
	p.refreshDemand(id, j)
	delete(ws.scheduled, id)
	before := ws.byJob[id]
	var now []*waitingStep
	if j != nil {
		now = p.stepsWaiting(j)
	}
	for _, w := range now {
		ws.steps[w.first] = w
	}
	for _, w := range before {
		if ws.steps[w.first] == w && !containsStep(now, w.first) {
			delete(ws.steps, w.first)
		}
	}
	if len(now) == 0 {
		delete(ws.byJob, id)
		return
	}
	ws.byJob[id] = now
}

func containsStep(list []*waitingStep, first batch.TaskID) bool {
	for _, w := range list {
		if w.first == first {
			return true
		}
	}
	return false
}

// refreshDemand sets what a job adds to the demand of its team; j is nil if the job has ended. Demand is
// underestimated rather than overestimated, so that later steps do not cost a job its guarantee.
func (p *pass) refreshDemand(id string, j *batch.Job) {
	ws := p.waiting
	old := ws.share[id]
	var next teamShare
	if j != nil && p.priority(j) == 0 {
		next = teamShare{team: j.Team, gpus: gpusOf(&j.Spec)}
	}
	if next == old {
		return
	}
	if ws.demand[old.team] -= old.gpus; ws.demand[old.team] == 0 {
		delete(ws.demand, old.team)
	}
	if next == (teamShare{}) {
		delete(ws.share, id)
		return
	}
	ws.demand[next.team] += next.gpus
	ws.share[id] = next
}

// gpusOf returns the number of accelerators that the largest step of a job needs at once.
func gpusOf(s *batch.Spec) int {
	n := 0
	for i := range s.Steps {
		n = max(n, s.Steps[i].Count*s.Steps[i].Need.GPUs)
	}
	return n
}

// stepsWaiting returns the steps of a job that wait for a place now. Steps that waited before keep since when they are
// blocked.
func (p *pass) stepsWaiting(j *batch.Job) []*waitingStep {
	var out []*waitingStep
	for round := range j.Rounds {
		if j.Spec.DueMS(round) > p.nowMS {
			p.waiting.scheduled[j.ID] = true
			continue
		}
		for step := range j.Rounds[round] {
			first := batch.TaskID{Job: j.ID, Round: round, Step: step}
			if j.Rounds[round][step].Complete() || !j.Ready(round, step) || !p.waits(j, first) {
				continue
			}
			w := &waitingStep{job: j, first: first, fresh: true}
			if old := p.waiting.steps[first]; old != nil {
				w.blocked, w.blockedSince, w.nextPreemptAt, w.freeSoonSince = old.blocked, old.blockedSince, old.nextPreemptAt, old.freeSoonSince
				w.quota, w.deferredFor = old.quota, old.deferredFor
			}
			w.shape = p.shapeOf(j, first)
			p.waiting.anyFresh = true
			out = append(out, w)
		}
	}
	return out
}

// waits reports whether any task of a step needs a run, or all tasks of a gang.
func (p *pass) waits(j *batch.Job, first batch.TaskID) bool {
	gang := j.Spec.Steps[first.Step].Gang
	id := first
	for id.Index = range j.Rounds[first.Round][first.Step].Tasks {
		if p.needsRun(j, id) != gang {
			return !gang
		}
	}
	return gang
}

// shapeOf returns the shape that a step shares with others. A step whose workers depend on more than its shape has one
// of its own.
func (p *pass) shapeOf(j *batch.Job, first batch.TaskID) *shape {
	st := &j.Spec.Steps[first.Step]
	p.room.noteNeed(st.Reservation())
	if st.PerWorker > 0 || needsTicket(p.state, j) || st.Gang && lastAttempt(j, first) {
		return &shape{}
	}
	key := shapeKey{
		service: p.service(j), label: st.Label, dataRack: st.DataRack, need: st.Reservation(),
		sameRack: st.SameRack, gang: st.Gang, bestEffort: st.BestEffort, serving: st.TargetMS > 0,
	}
	sh := p.waiting.shapes[key]
	if sh == nil {
		if len(p.waiting.shapes) >= maxShapes {
			clear(p.waiting.shapes) // steps keep theirs; only the sharing begins anew
		}
		sh = &shape{}
		p.waiting.shapes[key] = sh
	}
	return sh
}
