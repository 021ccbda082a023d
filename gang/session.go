package gang

import (
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"turmericroute/model"
)

// sessionShards is the number of shards of worker sessions.
const sessionShards = 16

// session is what the leader knows of one worker in the current term.
type session struct {
	mu     sync.Mutex
	worker model.Worker
	// incarnation is the worker's incarnation in its last poll.
	incarnation string
	lastPoll    time.Time
	lastSeq     uint64
	// silent reports whether the event loop has been told that the worker stopped polling.
	silent  bool
	pending []model.Command
	// commandSeq numbers the commands of all sessions.
	commandSeq *atomic.Uint64
	// prepareSeq maps each task assigned to the worker in this term to the sequence number
	// of its prepare command.
	prepareSeq map[model.TaskID]uint64
	tasks      map[model.TaskID]model.TaskReport
	// complete reports whether tasks holds every task of the worker, so that a partial
	// report can be merged into it.
	complete bool
	// changes holds the changes in the tasks that the event loop has not handled, in the order of the polls.
	changes []taskChanges
	wake    chan struct{}
}

// taskChanges are the changes in a worker's tasks that a poll reports.
type taskChanges struct {
	changed []model.TaskReport
	// gone lists tasks that the worker no longer has, or was told to prepare and does not have.
	gone []model.TaskID
}

// sessionShard maps worker names to sessions.
type sessionShard struct {
	mu     sync.Mutex
	byName map[string]*session
}

// sessions holds the sessions of all workers, sharded by worker name.
type sessions struct {
	shards [sessionShards]*sessionShard
	// commandSeq is the number of the latest command. A worker carries out no command whose number is not above those of
	// the same epoch, so that the numbers rise beyond the end of a session.
	commandSeq *atomic.Uint64
}

func newSessions(commandSeq *atomic.Uint64) sessions {
	s := sessions{commandSeq: commandSeq}
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

// get returns the session of the named worker and creates it if there is none.
func (s sessions) get(name string) *session {
	sh := s.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	w, ok := sh.byName[name]
	if !ok {
		w = &session{
			worker: model.Worker{Name: name}, commandSeq: s.commandSeq,
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

// each calls visit for every session. The shard locks are not held during the calls.
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

// lastPoll returns the time of the worker's last poll in this term, and false if there was none.
func (s sessions) lastPoll(name string) (time.Time, bool) {
	w := s.get(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastPoll, !w.lastPoll.IsZero()
}

// markSilent marks the workers whose last poll was before since as silent and
// returns the names of those newly marked, in order. It marks none unless the
// term began before since, which gives workers time to find a new leader.
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

// expireSilent returns the silent registered workers whose last poll was before
// since. It clears the incarnation in their sessions, so that each is returned
// only once until it is registered again. It returns none unless the term began
// before since.
func (s sessions) expireSilent(since, start time.Time) []model.Worker {
	var list []model.Worker
	s.each(func(w *session) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.silent && w.worker.Incarnation != "" && w.lastPoll.Before(since) && start.Before(since) {
			list = append(list, w.worker)
			// Once removed, the worker is registered again by its next poll.
			w.worker.Incarnation = ""
		}
	})
	return list
}

// restore makes a silent worker that could not be removed one to expire again, unless it has registered meanwhile.
func (s sessions) restore(worker model.Worker) {
	w := s.get(worker.Name)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent && w.worker.Incarnation == "" {
		w.worker.Incarnation = worker.Incarnation
	}
}

// register stores the worker as registered in the replicated state.
func (w *session) register(worker model.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.worker = worker
}

// beingRemoved reports whether the removal of the silent worker is under way. It must then register again: its removal may
// be committed at any time.
func (w *session) beingRemoved() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent && w.worker.Incarnation == ""
}

// alive reports whether the worker has polled in this term and is not silent.
func (w *session) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.silent && !w.lastPoll.IsZero()
}

// push queues a command for the worker's next poll and returns its sequence number.
func (w *session) push(c model.Command) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Seq = w.commandSeq.Add(1)
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

// signal wakes a held poll of the worker.
func (w *session) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// applyPoll records a poll and keeps the changes that it reports for takeChanges. It returns whether there are any, and
// whether this is the worker's first poll in the term or its first after being silent. Polls that arrive out of order are
// ignored.
func (w *session) applyPoll(req model.PollRequest, term uint64, now time.Time) (changed, reconnected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req.Worker.Incarnation != w.incarnation {
		// A restarted worker process has lost its tasks and numbers its polls from 1 again.
		w.incarnation, w.lastSeq, w.complete = req.Worker.Incarnation, 0, false
	}
	if req.Seq <= w.lastSeq {
		return false, false
	}
	reconnected = w.silent || w.lastPoll.IsZero()
	w.lastSeq, w.lastPoll, w.silent = req.Seq, now, false
	if req.Epoch != term {
		// The report may be a late one, from before what an earlier leader ordered. The worker reports again, in full.
		w.complete = false
		return false, reconnected
	}
	w.pending = slices.DeleteFunc(w.pending, func(c model.Command) bool { return c.Seq <= req.Done })
	if req.Partial && !w.complete {
		return false, reconnected // a difference against the state of another session
	}
	var c taskChanges
	c.changed, c.gone = w.mergeReport(req)
	w.complete = true
	c.gone = append(c.gone, w.missingTasks(req)...)
	if len(c.changed)+len(c.gone) == 0 {
		return false, reconnected
	}
	w.changes = append(w.changes, c)
	return true, reconnected
}

// takeChanges returns the changes since the last call. The event loop takes them from the session, since the goroutines
// of two polls may pass their events on in another order, and an older state must not replace a newer one.
func (w *session) takeChanges() []taskChanges {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.changes
	w.changes = nil
	return list
}

// mergeReport updates the known tasks from a poll and returns those that changed and those that are gone.
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

// missingTasks returns the tasks that the worker does not have although it has
// acknowledged their prepare commands, and stops tracking those commands.
func (w *session) missingTasks(req model.PollRequest) []model.TaskID {
	var gone []model.TaskID
	for id, seq := range w.prepareSeq {
		if _, has := w.tasks[id]; !has && seq <= req.Done {
			gone = append(gone, id)
			delete(w.prepareSeq, id)
		}
	}
	return gone
}

// needsFullReport reports whether the worker must list all its tasks in its next poll.
func (w *session) needsFullReport() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.complete
}

// expectTask adds a task of a recovered attempt to the known tasks, so that it
// counts as gone if the worker's first report does not list it.
func (w *session) expectTask(id model.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks[id] = model.TaskReport{ID: id}
}

// commandsToSend returns the pending commands that deliverable accepts; they stay queued
// until the worker acknowledges them.
func (w *session) commandsToSend(deliverable func(model.Command) bool) []model.Command {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []model.Command
	for _, c := range w.pending {
		if deliverable(c) {
			out = append(out, c)
		}
	}
	return out
}
