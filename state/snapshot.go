package state

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"turmericroute/config"
	"turmericroute/model"
)

// snapshotData is the JSON form of a Snapshot. Lists are in a fixed order, so that
// all snapshots at one index encode to the same bytes.
type snapshotData struct {
	Applied   uint64           `json:"applied"`
	Config    config.Config    `json:"config"`
	Base      *config.Config   `json:"base,omitempty"`
	History   []Record         `json:"history,omitempty"`
	Jobs      []model.Job      `json:"jobs,omitempty"`
	Finished  []string         `json:"finished,omitempty"`
	Keys      []model.Key      `json:"keys,omitempty"`
	Answered  []model.KeyID    `json:"answered,omitempty"`
	Workers   []model.Worker   `json:"workers,omitempty"`
	Upstreams []model.Upstream `json:"upstreams,omitempty"`
	Batch     json.RawMessage  `json:"batch,omitempty"`
}

// Snapshot is a copy of the state at one index, which later commands do not change.
type Snapshot struct {
	data snapshotData
	err  error
}

// Snapshot copies the state; it must not run concurrently with Apply.
func (m *Machine) Snapshot() Snapshot {
	d := snapshotData{
		Applied: m.Applied(), Config: m.Config(), History: m.History(),
		Jobs: m.copyJobs(), Finished: slices.Clone(m.finishedOrder), Keys: m.copyKeys(), Answered: slices.Clone(m.answeredOrder),
		Workers: m.Workers(), Upstreams: m.Upstreams(),
	}
	if base := m.base(); base.Version > 0 {
		d.Base = &base
	}
	var err error
	d.Batch, err = m.batch.EncodeSnapshot()
	return Snapshot{d, err}
}

// Encode returns the encoding that Restore reads; it may run concurrently with Apply.
func (s Snapshot) Encode() ([]byte, error) {
	if s.err != nil {
		return nil, s.err
	}
	sortJobs(s.data.Jobs)
	slices.SortFunc(s.data.Keys, func(a, b model.Key) int {
		return cmp.Or(strings.Compare(a.ID.Team, b.ID.Team), strings.Compare(a.ID.Key, b.ID.Key))
	})
	b, err := json.Marshal(s.data)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return b, nil
}

// EncodeSnapshot returns the encoded state; it must not run concurrently with Apply.
func (m *Machine) EncodeSnapshot() ([]byte, error) { return m.Snapshot().Encode() }

// Restore replaces the state by an encoded snapshot; it must not run concurrently with Apply.
func (m *Machine) Restore(b []byte) error {
	var d snapshotData
	if err := json.Unmarshal(b, &d); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if err := m.batch.Restore(d.Batch); err != nil {
		return err //nolint:wrapcheck // The error already names the operation.
	}
	m.lockAll()
	m.clear()
	m.cfg.current, m.cfg.history = d.Config, d.History
	if d.Base != nil {
		m.cfg.base = *d.Base
	}
	for _, r := range d.History {
		m.cfg.versionByPatchID[r.Patch.ID] = r.Version
	}
	for _, j := range d.Jobs {
		m.jobs[shardOf(j.Spec.ID)].jobs[j.Spec.ID] = j
	}
	for _, k := range d.Keys {
		m.keys[shardOf(k.ID.Team+"/"+k.ID.Key)].keys[k.ID] = k
	}
	for _, w := range d.Workers {
		m.workers.workers[w.Name] = w
	}
	for _, u := range d.Upstreams {
		m.upstreams.upstreams[u.Name] = u
	}
	m.finishedOrder, m.answeredOrder, m.keyCount = d.Finished, d.Answered, len(d.Keys)
	for _, k := range d.Keys {
		if k.Answer != nil {
			m.answerBytes += len(k.Answer.Body)
		}
	}
	m.unlockAll()
	m.feed.reset()
	m.setApplied(d.Applied)
	return nil
}

func (m *Machine) copyKeys() []model.Key {
	all := make([]model.Key, 0, m.keyCount)
	for i := range m.keys {
		s := &m.keys[i]
		s.mu.RLock()
		for _, k := range s.keys {
			all = append(all, k)
		}
		s.mu.RUnlock()
	}
	return all
}

func (m *Machine) lockAll() {
	m.cfg.mu.Lock()
	for i := range m.jobs {
		m.jobs[i].mu.Lock()
		m.keys[i].mu.Lock()
	}
	m.workers.mu.Lock()
	m.upstreams.mu.Lock()
}

func (m *Machine) unlockAll() {
	m.upstreams.mu.Unlock()
	m.workers.mu.Unlock()
	for i := range m.jobs {
		m.keys[i].mu.Unlock()
		m.jobs[i].mu.Unlock()
	}
	m.cfg.mu.Unlock()
}
