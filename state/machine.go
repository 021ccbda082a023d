package state

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"

	"turmericroute/batch"
	"turmericroute/config"
	"turmericroute/model"
)

const (
	// shardCount is the number of shards of jobs and of keys.
	shardCount = 16
	// maxHistory bounds the configuration records kept, which covers three days at 1,300 changes a day.
	maxHistory = 4096
	// maxFinishedJobs bounds the finished jobs kept, which covers six days at 3,200 jobs a day.
	maxFinishedJobs = 20000
	// maxKeys bounds the idempotency keys kept; claims of further keys are refused.
	maxKeys = 200000
	// maxAnswerBytes bounds the total size of recorded answer bodies; the oldest are dropped first.
	maxAnswerBytes = 32 << 20
)

// Record is an accepted patch with the version that it gave.
type Record struct {
	Version uint64       `json:"version"`
	AtMS    int64        `json:"at_ms"`
	Patch   config.Patch `json:"patch"`
}

type configShard struct {
	mu      sync.RWMutex
	current config.Config
	// base is the configuration before the oldest patch in history.
	base             config.Config
	history          []Record
	versionByPatchID map[string]uint64 // for the patches in history
}

type jobShard struct {
	mu   sync.RWMutex
	jobs map[string]model.Job
}

type keyShard struct {
	mu   sync.RWMutex
	keys map[model.KeyID]model.Key
}

type workerShard struct {
	mu      sync.RWMutex
	workers map[string]model.Worker
}

type upstreamShard struct {
	mu        sync.RWMutex
	upstreams map[string]model.Upstream
}

// Machine is one copy of the replicated state. Apply must not be called concurrently; reads
// may run concurrently with it.
type Machine struct {
	cfg       configShard
	jobs      [shardCount]jobShard
	keys      [shardCount]keyShard
	workers   workerShard
	upstreams upstreamShard
	feed      feed
	batch     *batch.Ledger

	// Only Apply, Snapshot and Restore use the fields below, which order the content of the shards or are derived from it.
	finishedOrder []string      // IDs of finished jobs, oldest first
	answeredOrder []model.KeyID // keys with a recorded answer, oldest first
	answerBytes   int
	keyCount      int

	mu      sync.Mutex
	applied uint64
	changed chan struct{}
}

// New returns an empty machine at index 0.
func New() *Machine {
	m := &Machine{changed: make(chan struct{}), batch: batch.NewLedger()}
	m.clear()
	return m
}

// clear empties all shards and derived fields.
func (m *Machine) clear() {
	m.cfg.current, m.cfg.base = config.Config{}, config.Config{}
	m.cfg.history = nil
	m.cfg.versionByPatchID = map[string]uint64{}
	for i := range m.jobs {
		m.jobs[i].jobs = map[string]model.Job{}
		m.keys[i].keys = map[model.KeyID]model.Key{}
	}
	m.workers.workers = map[string]model.Worker{}
	m.upstreams.upstreams = map[string]model.Upstream{}
	m.finishedOrder, m.answeredOrder = nil, nil
	m.answerBytes, m.keyCount = 0, 0
}

func shardOf(s string) int {
	h := fnv.New32a()
	h.Write([]byte(s))
	return int(h.Sum32() % shardCount)
}

// Apply applies the command committed at index; a nil command only advances the index.
func (m *Machine) Apply(index uint64, c Command) Result {
	res := m.apply(c)
	m.publishChange(c, res)
	m.setApplied(index)
	return res
}

func (m *Machine) apply(c Command) Result {
	switch c := c.(type) {
	case nil:
		return Result{}
	case PatchConfig:
		return m.patchConfig(c)
	case SubmitJob:
		return m.submitJob(c)
	case CancelJob:
		return m.cancelJob(c)
	case PlaceJob:
		return m.placeJob(c)
	case MoveJob:
		return m.moveJob(c)
	case RegisterWorker:
		return m.registerWorker(c)
	case RemoveWorker:
		return m.removeWorker(c)
	case AnnounceUpstream:
		return m.announceUpstream(c)
	case LeaveUpstream:
		return m.leaveUpstream(c)
	case ClaimKey:
		return m.claimKey(c)
	case FinishKey:
		return m.finishKey(c)
	case ExpireKeys:
		return m.expireKeys(c)
	case ChangeBatch:
		res := m.batch.Apply(c.Change)
		return Result{Failure: res.Failure, Batch: &res}
	default:
		return Result{Failure: model.NotRun(model.CodeInvalid, "unknown command %T", c)}
	}
}

func (m *Machine) setApplied(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	close(m.changed)
	m.changed = make(chan struct{})
}

// Applied returns the index of the last command applied.
func (m *Machine) Applied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

// Changed returns a channel that is closed when the next command is applied or a snapshot is restored.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Wait waits until the command at index has been applied. If ctx ends first, it returns a *model.Error.
func (m *Machine) Wait(ctx context.Context, index uint64) error {
	for {
		m.mu.Lock()
		applied, changed := m.applied, m.changed
		m.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return model.NotRun(model.CodeDeadline, "local state is at index %d of %d: %v", applied, index, ctx.Err())
		}
	}
}

// Batch returns the ledger of stepped jobs.
func (m *Machine) Batch() *batch.Ledger { return m.batch }

// Config returns the current configuration, which the caller must not modify.
func (m *Machine) Config() config.Config {
	m.cfg.mu.RLock()
	defer m.cfg.mu.RUnlock()
	return m.cfg.current
}

// History returns the kept records of accepted patches, oldest first.
func (m *Machine) History() []Record {
	m.cfg.mu.RLock()
	defer m.cfg.mu.RUnlock()
	return slices.Clone(m.cfg.history)
}

func (m *Machine) base() config.Config {
	m.cfg.mu.RLock()
	defer m.cfg.mu.RUnlock()
	return m.cfg.base
}

// ConfigAt returns the configuration at a version, and false if the version is not in the kept history.
func (m *Machine) ConfigAt(version uint64) (config.Config, bool) {
	m.cfg.mu.RLock()
	cfg, current, history := m.cfg.base, m.cfg.current, slices.Clone(m.cfg.history)
	m.cfg.mu.RUnlock()
	if version == current.Version {
		return current, true
	}
	if version > current.Version {
		return config.Config{}, false
	}
	for _, r := range history {
		if cfg.Version == version {
			break
		}
		next, err := config.Apply(cfg, r.Patch)
		if err != nil || next.Version != r.Version {
			return config.Config{}, false
		}
		cfg = next
	}
	return cfg, cfg.Version == version
}

// PatchVersion returns the version that the patch with the ID gave, and false if it is not
// in the kept history.
func (m *Machine) PatchVersion(id string) (uint64, bool) {
	m.cfg.mu.RLock()
	defer m.cfg.mu.RUnlock()
	v, ok := m.cfg.versionByPatchID[id]
	return v, ok
}

// Job returns the job with the ID, and false if there is none.
func (m *Machine) Job(id string) (model.Job, bool) {
	s := &m.jobs[shardOf(id)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	j, ok := s.jobs[id]
	return j, ok
}

// Jobs returns all jobs, sorted by ID.
func (m *Machine) Jobs() []model.Job {
	all := m.copyJobs()
	sortJobs(all)
	return all
}

func sortJobs(all []model.Job) {
	slices.SortFunc(all, func(a, b model.Job) int { return strings.Compare(a.Spec.ID, b.Spec.ID) })
}

func (m *Machine) copyJobs() []model.Job {
	var all []model.Job
	for i := range m.jobs {
		s := &m.jobs[i]
		s.mu.RLock()
		for _, j := range s.jobs {
			all = append(all, j)
		}
		s.mu.RUnlock()
	}
	return all
}

// Key returns the record of an idempotency key, and false if there is none.
func (m *Machine) Key(id model.KeyID) (model.Key, bool) {
	s := &m.keys[shardOf(id.Team+"/"+id.Key)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	k, ok := s.keys[id]
	return k, ok
}

// Worker returns the registered worker with the name, and false if there is none.
func (m *Machine) Worker(name string) (model.Worker, bool) {
	m.workers.mu.RLock()
	defer m.workers.mu.RUnlock()
	w, ok := m.workers.workers[name]
	return w, ok
}

// Workers returns all registered workers, sorted by name.
func (m *Machine) Workers() []model.Worker {
	m.workers.mu.RLock()
	defer m.workers.mu.RUnlock()
	all := make([]model.Worker, 0, len(m.workers.workers))
	for _, w := range m.workers.workers {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b model.Worker) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Upstreams returns all known upstreams, including those that have left, sorted by name.
func (m *Machine) Upstreams() []model.Upstream {
	m.upstreams.mu.RLock()
	defer m.upstreams.mu.RUnlock()
	all := make([]model.Upstream, 0, len(m.upstreams.upstreams))
	for _, u := range m.upstreams.upstreams {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b model.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Upstream returns the known upstream with the name, and false if there is none.
func (m *Machine) Upstream(name string) (model.Upstream, bool) {
	m.upstreams.mu.RLock()
	defer m.upstreams.mu.RUnlock()
	u, ok := m.upstreams.upstreams[name]
	return u, ok
}
