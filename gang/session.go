package gang

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"turmericroute/model"
)

// sessionShards is the number of shards of worker sessions.
const sessionShards = 16

// session is the leader's contact with one worker.
type session struct {
	mu     sync.Mutex
	worker model.Worker
	// incarnation is that of the last poll.
	incarnation string
	lastPoll    time.Time
	lastSeq     uint64
	// silent says that the silence was reported to the loop.
	silent  bool
	pending []model.Command
	nextSeq uint64
	// prepareSeq holds the sequence of the prepare command of each task given to the worker in this term.
	prepareSeq map[model.TaskID]uint64
	tasks      map[model.TaskID]model.TaskReport
	// complete says that tasks holds all that the worker has, so that partial reports can build on it.
	complete bool
	wake     chan struct{}
}

type sessionShard struct {
	mu     sync.Mutex
	byName map[string]*session
}

// sessions holds the sessions of all workers in shards by name.
type sessions struct{ shards [sessionShards]*sessionShard }

func newSessions() sessions {
	var s sessions
	for i := range s.shards {
		s.shards[i] = &sessionShard{byName: map[string]*session{}}
	}
	return s
}

func (s sessions) shard(name string) *sessionShard {
	h := fnv.New32a()
	h.Write([]byte(name))
	return s.shards[h.Sum32()%sessionShards]
}

// get returns the session of a worker, a new one if there is none.
func (s sessions) get(name string) *session {
	sh := s.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	w, ok := sh.byName[name]
	if !ok {
		w = &session{
			worker:     model.Worker{Name: name},
			prepareSeq: map[model.TaskID]uint64{}, tasks: map[model.TaskID]model.TaskReport{},
			wake: make(chan struct{}, 1),
		}
		sh.byName[name] = w
	}
	return w
}

func (s sessions) remove(name string) {
	sh := s.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.byName, name)
}

func (s sessions) each(visit func(*session)) {
	for _, sh := range s.shards {
		sh.mu.Lock()
		list := make([]*session, 0, len(sh.byName))
		for _, w := range sh.byName {
			list = append(list, w)
		}
		sh.mu.Unlock()
		for _, w := range list {
			visit(w)
		}
	}
}

func (s sessions) lastPoll(name string) (time.Time, bool) {
	w := s.get(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastPoll, !w.lastPoll.IsZero()
}

// markSilent returns the workers that became silent: no poll since a time, and the term began before it.
func (s sessions) markSilent(since, start time.Time) []string {
	var names []string
	s.each(func(w *session) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.silent && w.lastPoll.Before(since) && start.Before(since) {
			w.silent = true
			names = append(names, w.worker.Name)
		}
	})
	slices.Sort(names)
	return names
}

// expireSilent returns registered workers without a poll since a time; each is returned once an interval.
func (s sessions) expireSilent(since, start time.Time) []model.Worker {
	var list []model.Worker
	s.each(func(w *session) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.silent && w.worker.Incarnation != "" && w.lastPoll.Before(since) && start.Before(since) {
			list = append(list, w.worker)
			// Registered again by the next poll.
			w.worker.Incarnation = ""
		}
	})
	return list
}

func (w *session) register(worker model.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.worker = worker
}

func (w *session) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.silent && !w.lastPoll.IsZero()
}

// push queues a command for the worker's next poll and returns its sequence.
func (w *session) push(c model.Command) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextSeq++
	c.Seq = w.nextSeq
	w.pending = append(w.pending, c)
	switch c.Kind {
	case model.CommandPrepare:
		w.prepareSeq[c.Task] = c.Seq
	case model.CommandRelease:
		delete(w.prepareSeq, c.Task)
	}
	w.signal()
	return c.Seq
}

func (w *session) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// applyPoll takes over a poll and returns what changed; back says that the worker was not in contact before.
func (w *session) applyPoll(req model.PollRequest, term uint64, now time.Time) (changed []model.TaskReport, gone []model.TaskID, back bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req.Worker.Incarnation != w.incarnation {
		// A restarted worker process has none of the earlier tasks and counts its polls from 1.
		w.incarnation, w.lastSeq, w.complete = req.Worker.Incarnation, 0, false
	}
	if req.Seq <= w.lastSeq {
		return nil, nil, false
	}
	back = w.silent || w.lastPoll.IsZero()
	w.lastSeq, w.lastPoll, w.silent = req.Seq, now, false
	if req.Epoch == term {
		w.pending = slices.DeleteFunc(w.pending, func(c model.Command) bool { return c.Seq <= req.Done })
	}
	if req.Partial && (!w.complete || req.Epoch != term) {
		// The worker built on what another leader or session knew.
		w.complete = false
		return nil, nil, back
	}
	changed, gone = w.mergeReport(req)
	w.complete = true
	return changed, append(gone, w.missingTasks(req, term)...), back
}

// mergeReport brings the known tasks up to date and returns the differences.
func (w *session) mergeReport(req model.PollRequest) (changed []model.TaskReport, gone []model.TaskID) {
	for _, t := range req.Tasks {
		if old, ok := w.tasks[t.ID]; !ok || old != t {
			changed = append(changed, t)
		}
	}
	if req.Partial {
		for _, id := range req.Gone {
			if _, ok := w.tasks[id]; ok {
				gone = append(gone, id)
			}
		}
	} else {
		reported := make(map[model.TaskID]bool, len(req.Tasks))
		for _, t := range req.Tasks {
			reported[t.ID] = true
		}
		for id := range w.tasks {
			if !reported[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, t := range req.Tasks {
		w.tasks[t.ID] = t
	}
	for _, id := range gone {
		delete(w.tasks, id)
	}
	return changed, gone
}

// missingTasks returns the tasks whose prepare command the worker has passed without having the task.
func (w *session) missingTasks(req model.PollRequest, term uint64) []model.TaskID {
	var gone []model.TaskID
	for id, seq := range w.prepareSeq {
		if _, has := w.tasks[id]; !has && req.Epoch == term && seq <= req.Done {
			gone = append(gone, id)
			delete(w.prepareSeq, id)
		}
	}
	return gone
}

// needsFullReport reports whether the next report must be complete.
func (w *session) needsFullReport() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.complete
}

// expectTask marks tasks of a recovered attempt as known, so that their absence from the first report shows.
func (w *session) expectTask(id model.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks[id] = model.TaskReport{ID: id}
}

// commandsToSend returns the commands to send now.
func (w *session) commandsToSend(keep func(model.Command) bool) []model.Command {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []model.Command
	for _, c := range w.pending {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}
