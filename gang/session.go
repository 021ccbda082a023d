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
	// lost says that the silence was reported to the loop.
	lost    bool
	pending []model.Command
	nextSeq uint64
	// sent holds the sequence of the prepare command of each task given to the worker in this term.
	sent  map[model.TaskID]uint64
	tasks map[model.TaskID]model.TaskReport
	wake  chan struct{}
}

type sessionShard struct {
	mu sync.Mutex
	by map[string]*session
}

// sessions holds the sessions of all workers in shards by name.
type sessions struct{ shards [sessionShards]*sessionShard }

func newSessions() sessions {
	var s sessions
	for i := range s.shards {
		s.shards[i] = &sessionShard{by: map[string]*session{}}
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
	w, ok := sh.by[name]
	if !ok {
		w = &session{
			worker: model.Worker{Name: name},
			sent:   map[model.TaskID]uint64{}, tasks: map[model.TaskID]model.TaskReport{},
			wake: make(chan struct{}, 1),
		}
		sh.by[name] = w
	}
	return w
}

func (s sessions) remove(name string) {
	sh := s.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.by, name)
}

func (s sessions) each(visit func(*session)) {
	for _, sh := range s.shards {
		sh.mu.Lock()
		list := make([]*session, 0, len(sh.by))
		for _, w := range sh.by {
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

// silent returns the workers that became silent: no poll since a time, and the term began before it.
func (s sessions) silent(since, start time.Time) []string {
	var names []string
	s.each(func(w *session) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.lost && w.lastPoll.Before(since) && start.Before(since) {
			w.lost = true
			names = append(names, w.worker.Name)
		}
	})
	slices.Sort(names)
	return names
}

// forgotten returns registered workers without a poll since a time; each is returned once an interval.
func (s sessions) forgotten(since, start time.Time) []model.Worker {
	var list []model.Worker
	s.each(func(w *session) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.lost && w.worker.Incarnation != "" && w.lastPoll.Before(since) && start.Before(since) {
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
	return !w.lost && !w.lastPoll.IsZero()
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
		w.sent[c.Task] = c.Seq
	case model.CommandRelease:
		delete(w.sent, c.Task)
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

// accept takes over a poll and returns what changed; back says that the worker was not in contact before.
func (w *session) accept(req model.PollRequest, term uint64, now time.Time) (changed []model.TaskReport, gone []model.TaskID, back bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req.Worker.Incarnation != w.incarnation {
		// A restarted worker process has none of the earlier tasks and counts its polls from 1.
		w.incarnation, w.lastSeq = req.Worker.Incarnation, 0
	}
	if req.Seq <= w.lastSeq {
		return nil, nil, false
	}
	back = w.lost || w.lastPoll.IsZero()
	w.lastSeq, w.lastPoll, w.lost = req.Seq, now, false
	if req.Epoch == term {
		w.pending = slices.DeleteFunc(w.pending, func(c model.Command) bool { return c.Seq <= req.Done })
	}
	seen := make(map[model.TaskID]model.TaskReport, len(req.Tasks))
	for _, t := range req.Tasks {
		seen[t.ID] = t
		if old, ok := w.tasks[t.ID]; !ok || old != t {
			changed = append(changed, t)
		}
	}
	for id := range w.tasks {
		if _, ok := seen[id]; !ok {
			gone = append(gone, id)
		}
	}
	for id, seq := range w.sent {
		_, has := seen[id]
		if _, had := w.tasks[id]; !has && !had && req.Epoch == term && seq <= req.Done {
			gone = append(gone, id)
			delete(w.sent, id)
		}
	}
	w.tasks = seen
	return changed, gone, back
}

// expect marks tasks of a recovered attempt as known, so that their absence from the first report shows.
func (w *session) expect(id model.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks[id] = model.TaskReport{ID: id}
}

// take returns the commands to send now.
func (w *session) take(keep func(model.Command) bool) []model.Command {
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
