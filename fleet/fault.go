package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"turmericroute/batch"
)

const (
	// maxFailures is the number of failures in a row, not explained by their jobs, at which a worker is taken out.
	maxFailures = 2
	// maxOutShare is the largest share of a service's capacity that is taken out at once.
	maxOutShare = 0.25
	// suspectFor is how long a worker counts as suspect after a failure without a sound run since.
	suspectFor = 6 * time.Second
	// faultyStepWorkers is the number of workers on which a step must have failed to be at fault itself.
	faultyStepWorkers = 3
	// outbreakWindow is the time within which early failures on outbreakWorkers workers, of outbreakSteps steps, may be the
	// beginning of an outbreak. They are one if they are at least outbreakShare of the runs placed, a gang counting as one.
	outbreakWindow  = 3 * time.Second
	outbreakWorkers = 3
	outbreakSteps   = 2
	outbreakShare   = 0.06
	// minBackoff and maxBackoff bound the time before a worker is probed, which doubles with each failed probe.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// probeTimeout is how long a probe that has not been reported blocks the next one.
	probeTimeout = 3 * time.Second
	// unprobedFor is how long a worker stays out while there is no task to probe it with.
	unprobedFor = 10 * time.Second
)

// State is what is known of a worker's soundness.
type State int

// The states of a worker.
const (
	// Unproven means that nothing is known that counts now.
	Unproven State = iota
	// Proven means that the latest run to show anything was sound.
	Proven
	// Suspect means that runs have failed lately that their jobs do not explain.
	Suspect
	// Probation means that the worker gets probes only.
	Probation
)

// States lists all states.
var States = []State{Unproven, Proven, Suspect, Probation}

// String returns the name of the state in logs and metrics.
func (s State) String() string { return [...]string{"unproven", "proven", "suspect", "probation"}[s] }

// EventKind says what has happened to a worker.
type EventKind string

// The kinds of events.
const (
	TakenOut EventKind = "worker_probation"
	Probed   EventKind = "worker_probed"
	Returned EventKind = "worker_returned"
)

// Event is a decision on a worker, with its inputs.
type Event struct {
	Kind   EventKind
	Worker string
	// Why is the reason in words.
	Why string
	// Failures counts the failures in a row, Unexplained those that their jobs do not explain.
	Failures, Unexplained int
	// OutShare is the share of the service's capacity that is out after the decision.
	OutShare float64
	// Backoff is the time until the worker is probed.
	Backoff time.Duration
}

// failure is a failed run.
type failure struct {
	step      batch.TaskID
	startedAt time.Duration
	at        time.Duration
	// lasted is how long the run was seen at work.
	lasted time.Duration
}

// early reports whether the run failed before it could show that its worker is sound.
func (f failure) early() bool { return f.lasted < soundAfter }

// service sums up the workers of a service.
type service struct {
	size, outSize int
	// failing holds the workers with failures in a row.
	failing map[*Worker]bool
	// recent holds the early failures within outbreakWindow.
	recent []recentFailure
	// placed counts the runs that were placed in each of the latest seconds, the present one included.
	placed [outbreakWindow/time.Second + 1]placedRuns
	// wary is set while an outbreak may have begun, at waryFrom; runs that started before prove nothing then.
	wary     bool
	waryFrom time.Duration
	outbreak bool
}

// placedRuns is the number of runs that were placed in a second since the start of the clock.
type placedRuns struct {
	second time.Duration
	runs   int
}

// notePlaced counts a run.
func (s *service) notePlaced(now time.Duration) {
	second := now / time.Second
	n := &s.placed[int(second)%len(s.placed)]
	if n.second != second {
		*n = placedRuns{second: second}
	}
	n.runs++
}

// placedLately returns the number of runs that were placed within outbreakWindow.
func (s *service) placedLately(now time.Duration) (sum int) {
	for _, n := range s.placed {
		if now/time.Second-n.second <= outbreakWindow/time.Second {
			sum += n.runs
		}
	}
	return sum
}

type recentFailure struct {
	failure
	worker string
}

func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{failing: map[*Worker]bool{}}
		m.services[name] = s
	}
	return s
}

func (s *service) add(w *Worker) {
	s.size += w.profile.Size
	if w.out {
		s.outSize += w.profile.Size
	}
	if len(w.streak)+w.inherited > 0 {
		s.failing[w] = true
	}
}

func (s *service) remove(w *Worker) {
	s.size -= w.profile.Size
	if w.out {
		s.outSize -= w.profile.Size
	}
	delete(s.failing, w)
}

func (s *service) outShare() float64 { return float64(s.outSize) / float64(max(1, s.size)) }

// mayTakeOut reports whether the share that is out permits to take out a worker.
func (s *service) mayTakeOut(w *Worker) bool {
	return float64(s.outSize+w.profile.Size) <= maxOutShare*float64(s.size)
}

// noteSound records a run that shows its worker to be sound. It clears the failures of runs that started before.
func (m *Model) noteSound(w *Worker, id RunID, startedAt, now time.Duration) []Event {
	m.stepFor(id, now).soundRuns++
	if !w.sound || startedAt > w.soundAt {
		w.sound, w.soundAt = true, startedAt
	}
	if n := len(w.streak); n > 0 && startedAt < w.streak[n-1].startedAt || n == 0 && w.inherited > 0 && startedAt < w.joinedAt {
		return nil
	}
	if len(w.streak)+w.inherited > 0 {
		m.changed[w.id] = true
	}
	w.streak, w.inherited, w.unexplained = nil, 0, 0
	if !w.out {
		w.backoff = 0
		return nil
	}
	return []Event{m.takeBack(w, "a run was sound")}
}

// noteFailure records a failed run and judges its worker.
func (m *Model) noteFailure(w *Worker, id RunID, startedAt time.Duration, probe bool, now time.Duration) []Event {
	f := failure{step: id.stepOf(), startedAt: startedAt, at: now, lasted: now - startedAt}
	st := m.stepFor(id, now)
	st.failures++
	st.failedOn[w.id] = true
	if !f.early() && !probe && w.outlived(f) {
		return nil
	}
	w.streak = append(w.streak, f)
	if len(w.streak) > maxStreak {
		w.streak = slices.Delete(w.streak, 0, 1)
	}
	w.released = false
	s := m.service(w.profile.Service)
	s.failing[w] = true
	if f.early() {
		s.recent = append(s.recent, recentFailure{f, w.id})
		m.noteOutbreak(s, now)
	}
	return m.judge(w, probe, now)
}

// outlived reports whether another run of the worker has lasted longer than a failed one, since that one started.
func (w *Worker) outlived(f failure) bool {
	if w.doneAt >= f.startedAt && w.doneAfter > f.lasted {
		return true
	}
	for _, r := range w.runs {
		if r.base.moved && f.at-r.startedAt > f.lasted {
			return true
		}
	}
	return false
}

// judge takes a worker out if its failures call for it, or prolongs its probation after a failed probe.
func (m *Model) judge(w *Worker, probe bool, now time.Duration) []Event {
	s := m.service(w.profile.Service)
	n := m.countUnexplained(w)
	if n != w.unexplained || len(w.streak) > 0 {
		m.changed[w.id] = true
	}
	w.unexplained = n
	if w.out {
		if !probe {
			return nil
		}
		w.delayProbe(now)
		return []Event{m.event(TakenOut, w, "probe has failed")}
	}
	last := w.lastFailure()
	inOutbreak := s.outbreak && n > 0 && last != nil && last.early() && now-last.at <= outbreakWindow
	if n < maxFailures && !inOutbreak || !s.mayTakeOut(w) {
		return nil
	}
	w.out = true
	m.changed[w.id] = true
	w.delayProbe(now)
	s.outSize += w.profile.Size
	why := "failures in a row"
	if n < maxFailures {
		why = "failure while many workers fail"
	}
	return []Event{m.event(TakenOut, w, why)}
}

func (w *Worker) lastFailure() *failure {
	if len(w.streak) == 0 {
		return nil
	}
	return &w.streak[len(w.streak)-1]
}

// takeBack ends a worker's probation.
func (m *Model) takeBack(w *Worker, why string) Event {
	s := m.service(w.profile.Service)
	w.endProbe(w.probing)
	w.out = false
	m.changed[w.id] = true
	s.outSize -= w.profile.Size
	if len(w.streak)+w.inherited == 0 {
		w.backoff = 0
	}
	return m.event(Returned, w, why)
}

func (m *Model) event(kind EventKind, w *Worker, why string) Event {
	return Event{
		Kind: kind, Worker: w.id, Why: why, Failures: len(w.streak) + w.inherited, Unexplained: w.unexplained,
		OutShare: m.service(w.profile.Service).outShare(), Backoff: w.backoff,
	}
}

// review ends the probations that time alone ends, and those of failures that turned out to be their jobs' own. It takes
// out workers that others kept in service, by the share that may be out or before many failed at once.
func (m *Model) review(s *service, now time.Duration) []Event {
	m.noteOutbreak(s, now)
	var events []Event
	for _, w := range sortedByID(s.failing) {
		if n := m.countUnexplained(w); n != w.unexplained {
			w.unexplained = n
			m.changed[w.id] = true
		}
		switch {
		case len(w.streak)+w.inherited == 0:
			delete(s.failing, w)
		case w.out && w.unexplained == 0:
			events = append(events, m.takeBack(w, "the failures are those of the jobs"))
		case w.out && w.probing == RunID{} && now-w.probeAt >= unprobedFor:
			w.released = true
			events = append(events, m.takeBack(w, "no task to probe it with"))
		case !w.out && !w.released:
			events = append(events, m.judge(w, false, now)...)
		}
	}
	return events
}

func sortedByID(set map[*Worker]bool) []*Worker {
	return slices.SortedFunc(maps.Keys(set), func(a, b *Worker) int { return strings.Compare(a.id, b.id) })
}

// noteOutbreak finds out whether so many workers fail at the same time that what they did before says little.
func (m *Model) noteOutbreak(s *service, now time.Duration) {
	s.recent = slices.DeleteFunc(s.recent, func(f recentFailure) bool { return now-f.at > outbreakWindow || m.faulty(f.step) })
	workers, steps := map[string]bool{}, map[batch.TaskID]bool{}
	first := now
	for _, f := range s.recent {
		workers[f.worker], steps[f.step] = true, true
		first = min(first, f.startedAt)
	}
	s.wary, s.waryFrom = len(workers) >= outbreakWorkers && len(steps) >= outbreakSteps, first
	s.outbreak = s.wary && float64(len(s.recent)) >= outbreakShare*float64(s.placedLately(now))
}

// countUnexplained counts the worker's failures in a row that are not those of their jobs. Several failures of one step
// count once, unless the step has sound runs elsewhere: it may fail wherever it runs.
func (m *Model) countUnexplained(w *Worker) int {
	n := w.inherited
	var counted []batch.TaskID
	for _, f := range w.streak {
		st := m.steps[f.step]
		if m.faulty(f.step) || slices.Contains(counted, f.step) && (st == nil || st.soundRuns == 0) {
			continue
		}
		counted = append(counted, f.step)
		n++
	}
	return n
}

// faulty reports whether the failures of a step are its own: at least half of its runs have failed, on several workers,
// most of which fail nothing else, and none is sound.
func (m *Model) faulty(first batch.TaskID) bool {
	st := m.steps[first]
	if st == nil || st.soundRuns > 0 || len(st.failedOn) < faultyStepWorkers || 2*st.failures < st.placed {
		return false
	}
	others := 0
	for id := range st.failedOn {
		if w := m.workers[id]; w != nil && slices.ContainsFunc(w.streak, func(f failure) bool { return f.step != first }) {
			others++
		}
	}
	return 2*others < len(st.failedOn)
}

// State returns the state of a worker.
func (m *Model) State(w *Worker, now time.Duration) State {
	s := m.service(w.profile.Service)
	switch {
	case w.out:
		return Probation
	case w.unexplained > 0 && (len(w.streak) == 0 || now-w.lastFailure().at <= suspectFor):
		return Suspect
	case w.sound && len(w.streak) == 0 && (!s.wary || w.soundAt >= s.waryFrom):
		return Proven
	}
	return Unproven
}

// Wary reports whether runs that started before the latest failures prove no worker of a service now.
func (m *Model) Wary(name string) bool {
	s := m.services[name]
	return s != nil && s.wary
}

// Outbreak reports whether many workers of a service fail now.
func (m *Model) Outbreak(name string) bool {
	s := m.services[name]
	return s != nil && s.outbreak
}
