package state

import (
	"reflect"
	"slices"

	"turmericroute/config"
	"turmericroute/model"
)

func (m *Machine) patchConfig(c PatchConfig) Result {
	s := &m.cfg
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.versionByPatchID[c.Patch.ID]; ok {
		return Result{Version: v}
	}
	if f := s.checkBaseVersion(c.Patch); f != nil {
		return Result{Failure: f}
	}
	next, err := config.Apply(s.current, c.Patch)
	if err != nil {
		return Result{Failure: model.AsError(err)}
	}
	s.current = next
	s.history = append(s.history, Record{Version: next.Version, AtMS: c.AtMS, Patch: c.Patch})
	s.versionByPatchID[c.Patch.ID] = next.Version
	if len(s.history) > maxHistory {
		delete(s.versionByPatchID, s.history[0].Patch.ID)
		s.advanceBase(s.history[0].Patch)
		s.history[0] = Record{}
		s.history = s.history[1:] // later appends reallocate the array and so free the dropped head; History returns copies
	}
	return Result{Version: next.Version}
}

// advanceBase applies a patch that is dropped from the history to the base. A base
// that is not known, as after restoring a snapshot of an earlier release, stays unknown.
func (s *configShard) advanceBase(p config.Patch) {
	if next, err := config.Apply(s.base, p); err == nil && s.base.Version == p.BaseVersion {
		s.base = next
	}
}

// checkBaseVersion returns an error for a patch whose base version is not the current
// one. If the base version is older than the kept history, the patch may be a resend
// of one that was accepted, so the outcome of the error is unknown.
func (s *configShard) checkBaseVersion(p config.Patch) *model.Error {
	if p.BaseVersion == s.current.Version {
		return nil
	}
	f := model.NotRun(model.CodeStaleVersion, "patch is for version %d, current is %d", p.BaseVersion, s.current.Version)
	if len(s.history) > 0 && p.BaseVersion+1 < s.history[0].Version {
		f.Outcome = model.OutcomeUnknown
	}
	f.Version = s.current.Version
	return f
}

// CheckPatch returns the version that a patch gave and true if it was accepted
// before, and an error if it is new and its base version is not the current one.
func (m *Machine) CheckPatch(p config.Patch) (uint64, bool, *model.Error) {
	m.cfg.mu.RLock()
	defer m.cfg.mu.RUnlock()
	if v, ok := m.cfg.versionByPatchID[p.ID]; ok {
		return v, true, nil
	}
	return 0, false, m.cfg.checkBaseVersion(p)
}

func (m *Machine) submitJob(c SubmitJob) Result {
	s := &m.jobs[shardOf(c.Spec.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if j, ok := s.jobs[c.Spec.ID]; ok {
		if !reflect.DeepEqual(j.Spec, c.Spec) {
			return Result{Failure: model.NotRun(model.CodeConflict, "job %s was submitted before with another specification", c.Spec.ID)}
		}
		return Result{Job: &j}
	}
	j := model.Job{Spec: c.Spec, State: model.JobWaiting, Accepted: c.AtMS}
	s.jobs[c.Spec.ID] = j
	return Result{Job: &j}
}

func (m *Machine) cancelJob(c CancelJob) Result {
	return m.updateJob(c.ID, func(j model.Job) (model.Job, *model.Error) {
		switch {
		case j.State.Final(), j.State == model.JobStopping && j.Next == model.JobCancelled:
			return j, nil
		case j.State == model.JobWaiting:
			j.State, j.Finished = model.JobCancelled, c.AtMS
		default:
			j.State, j.Next = model.JobStopping, model.JobCancelled
		}
		j.Reason = "cancelled by the caller"
		return j, nil
	})
}

func (m *Machine) placeJob(c PlaceJob) Result {
	return m.updateJob(c.ID, func(j model.Job) (model.Job, *model.Error) {
		if j.State != model.JobWaiting || c.Attempt != j.Attempt+1 {
			return j, model.NotRun(model.CodeConflict, "job %s is %s at attempt %d", c.ID, j.State, j.Attempt)
		}
		j.State, j.Attempt, j.Placement, j.Reason = model.JobPreparing, c.Attempt, c.Placement, ""
		return j, nil
	})
}

func (m *Machine) moveJob(c MoveJob) Result {
	return m.updateJob(c.ID, func(j model.Job) (model.Job, *model.Error) {
		if c.Attempt != j.Attempt || !slices.Contains(c.From, j.State) {
			return j, model.NotRun(model.CodeConflict, "job %s is %s at attempt %d", c.ID, j.State, j.Attempt)
		}
		j.State, j.Next, j.Reason = c.To, c.Next, c.Reason
		j.Checkpoint = max(j.Checkpoint, c.Checkpoint)
		if c.Failed {
			j.Failures++
		}
		switch {
		case c.To == model.JobRunning:
			j.Started = c.AtMS
		case c.To == model.JobWaiting:
			j.Placement = model.Placement{}
		case c.To.Final():
			j.Placement, j.Finished = model.Placement{}, c.AtMS
		}
		return j, nil
	})
}

// updateJob replaces a job by the result of change, unless that is an error.
func (m *Machine) updateJob(id string, change func(model.Job) (model.Job, *model.Error)) Result {
	s := &m.jobs[shardOf(id)]
	s.mu.Lock()
	j, ok := s.jobs[id]
	if !ok {
		s.mu.Unlock()
		return Result{Failure: model.NotRun(model.CodeNotFound, "no job %s", id)}
	}
	before := j.State
	j, fail := change(j)
	if fail == nil {
		s.jobs[id] = j
	}
	s.mu.Unlock()
	if fail != nil {
		return Result{Failure: fail, Job: &j}
	}
	if !before.Final() && j.State.Final() {
		m.trimFinished(id)
	}
	return Result{Job: &j}
}

// trimFinished adds a finished job to the order list and removes the oldest finished job if
// there are more than maxFinishedJobs.
func (m *Machine) trimFinished(id string) {
	m.finishedOrder = append(m.finishedOrder, id)
	if len(m.finishedOrder) <= maxFinishedJobs {
		return
	}
	oldest := m.finishedOrder[0]
	m.finishedOrder = m.finishedOrder[1:]
	s := &m.jobs[shardOf(oldest)]
	s.mu.Lock()
	delete(s.jobs, oldest)
	s.mu.Unlock()
}

func (m *Machine) registerWorker(c RegisterWorker) Result {
	m.workers.mu.Lock()
	defer m.workers.mu.Unlock()
	m.workers.workers[c.Worker.Name] = c.Worker
	return Result{}
}

func (m *Machine) removeWorker(c RemoveWorker) Result {
	m.workers.mu.Lock()
	defer m.workers.mu.Unlock()
	if w, ok := m.workers.workers[c.Name]; ok && w.Incarnation == c.Incarnation {
		delete(m.workers.workers, c.Name)
	}
	return Result{}
}

func (m *Machine) announceUpstream(c AnnounceUpstream) Result {
	s := &m.upstreams
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.upstreams[c.Upstream.Name]
	switch {
	case ok && old.Incarnation > c.Upstream.Incarnation:
		return Result{Failure: model.NotRun(model.CodeConflict, "upstream %s has a later incarnation", old.Name)}
	case ok && old.Left && old.Incarnation == c.Upstream.Incarnation:
		return Result{Failure: model.NotRun(model.CodeConflict, "incarnation %d of upstream %s has left", old.Incarnation, old.Name)}
	}
	u := c.Upstream
	u.Left = false
	s.upstreams[u.Name] = u
	return Result{}
}

func (m *Machine) leaveUpstream(c LeaveUpstream) Result {
	s := &m.upstreams
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.upstreams[c.Name]
	if !ok {
		u = model.Upstream{Name: c.Name, Incarnation: c.Incarnation}
	}
	if c.Incarnation < u.Incarnation {
		return Result{}
	}
	u.Incarnation, u.Left = c.Incarnation, true
	s.upstreams[c.Name] = u
	return Result{}
}

func (m *Machine) claimKey(c ClaimKey) Result {
	s := &m.keys[shardOf(c.Key.ID.Team+"/"+c.Key.ID.Key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.keys[c.Key.ID]
	switch {
	case ok && old.Hash != c.Key.Hash:
		return Result{Failure: model.NotRun(model.CodeKeyConflict, "key %s was used with another request", c.Key.ID.Key)}
	case ok && old.Claim == c.Key.Claim:
		return Result{Key: &old, Claimed: old.State == model.KeyClaimed}
	case ok && old.State != model.KeyNotRun:
		return Result{Key: &old}
	case !ok && m.keyCount >= maxKeys:
		return Result{Failure: model.NotRun(model.CodeOverloaded, "the limit of %d idempotency keys is reached", maxKeys)}
	}
	k := c.Key
	k.State, k.Answer = model.KeyClaimed, nil
	if ok {
		// A key expires by the time of its first claim, also when it is claimed again.
		k.CreatedMS = old.CreatedMS
	} else {
		m.keyCount++
	}
	s.keys[k.ID] = k
	return Result{Key: &k, Claimed: true}
}

func (m *Machine) finishKey(c FinishKey) Result {
	s := &m.keys[shardOf(c.ID.Team+"/"+c.ID.Key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keys[c.ID]
	if !ok || k.Claim != c.Claim || k.State == model.KeyDone || k.State == model.KeyNotRun {
		return Result{Failure: model.NotRun(model.CodeConflict, "key %s is not held by this claim", c.ID.Key), Key: &k}
	}
	k.State, k.Answer = c.State, c.Answer
	s.keys[c.ID] = k
	if c.Answer != nil {
		m.answeredOrder = append(m.answeredOrder, c.ID)
		m.answerBytes += len(c.Answer.Body)
	}
	return Result{Key: &k}
}

func (m *Machine) expireKeys(c ExpireKeys) Result {
	for i := range m.keys {
		s := &m.keys[i]
		s.mu.Lock()
		for id, k := range s.keys {
			if k.CreatedMS < c.BeforeMS {
				delete(s.keys, id)
				m.keyCount--
			}
		}
		s.mu.Unlock()
	}
	m.trimAnswers()
	return Result{}
}

// trimAnswers removes expired keys from the order list of answers and drops the oldest
// bodies beyond maxAnswerBytes.
func (m *Machine) trimAnswers() {
	kept := m.answeredOrder[:0:0]
	m.answerBytes = 0
	for i := len(m.answeredOrder) - 1; i >= 0; i-- {
		id := m.answeredOrder[i]
		s := &m.keys[shardOf(id.Team+"/"+id.Key)]
		s.mu.Lock()
		k, ok := s.keys[id]
		if ok && k.Answer != nil && !k.Answer.Truncated {
			if m.answerBytes+len(k.Answer.Body) > maxAnswerBytes {
				a := *k.Answer
				a.Body, a.Truncated = nil, true
				k.Answer = &a
				s.keys[id] = k
			} else {
				m.answerBytes += len(k.Answer.Body)
				kept = append(kept, id)
			}
		}
		s.mu.Unlock()
	}
	slices.Reverse(kept)
	m.answeredOrder = kept
}
