package loss

import (
	"maps"
	"time"

	"turmericroute/batch"
)

// Key identifies a run of a task.
type Key struct {
	Task batch.TaskID
	Run  int
}

// gang returns the key of a gang run: that of its first member.
func (k Key) gang() Key {
	k.Task.Index = 0
	return k
}

// resolveAfter is how long the cause of a broken gang is waited for. Without one, a member was lost with a worker that
// has not been heard from since.
const resolveAfter = 10 * time.Second

// Book keeps what is needed of each run until it ends, to tell what it has lost. All times are of one clock.
type Book struct {
	runs  map[Key]*work
	gangs map[Key]*gang
	// Recent holds the losses of the last minute.
	Recent Recent
}

// work is what is known of a run that has not ended.
type work struct {
	beganAt time.Duration
	// savedAt is when the checkpoint last changed, 0 if it has not.
	savedAt    time.Duration
	checkpoint string
	reported   bool
	stop       Cause
}

// gang is what is known of a gang run.
type gang struct {
	// orderedAt is when the latest member was ordered to start, 0 if an earlier leader has done so. formedAt is when the last
	// member has joined.
	orderedAt, formedAt time.Duration
	// stop is the cause of the first stop of a member, cause that of the first end.
	stop, cause Cause
	// unresolved holds the members that have ended before the cause is known.
	unresolved Sum
	endedAt    time.Duration
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{runs: map[Key]*work{}, gangs: map[Key]*gang{}} }

func (b *Book) gangOf(k Key) *gang {
	g := b.gangs[k.gang()]
	if g == nil {
		g = &gang{}
		b.gangs[k.gang()] = g
	}
	return g
}

// Known reports whether a start order or a report of a run has been recorded.
func (b *Book) Known(k Key) bool { return b.runs[k] != nil }

// Order records a start order of a run.
func (b *Book) Order(k Key, isGang bool, now time.Duration) {
	if w := b.runs[k]; w == nil || !w.reported {
		b.runs[k] = &work{beganAt: now}
	}
	if isGang {
		b.gangOf(k).orderedAt = now
	}
}

// Report records that a worker reports a run as running.
func (b *Book) Report(k Key, checkpoint string, now time.Duration) {
	w := b.runs[k]
	if w == nil {
		w = &work{beganAt: now}
		b.runs[k] = w
	}
	if !w.reported {
		w.reported, w.checkpoint = true, checkpoint
		return
	}
	if w.checkpoint != checkpoint {
		w.checkpoint, w.savedAt = checkpoint, now
	}
}

// Stop records that a run is told to stop, and why.
func (b *Book) Stop(k Key, isGang bool, c Cause) {
	if w := b.runs[k]; w != nil && w.stop == None {
		w.stop = c
	}
	if isGang {
		if g := b.gangOf(k); g.stop == None && c != IncompleteGang {
			g.stop = c
		}
	}
}

// Form records that all members of a gang run have joined, as is known now: the last one did with its start order.
func (b *Book) Form(k Key, now time.Duration) {
	g := b.gangOf(k)
	if g.formedAt != 0 {
		return
	}
	g.formedAt = now
	if g.orderedAt != 0 {
		g.formedAt = g.orderedAt
	}
}

// Worked returns for how long a run has held its resources, and for how long it has since its last checkpoint; false if
// the run has not been reported.
func (b *Book) Worked(k Key, now time.Duration) (held, unsaved time.Duration, ok bool) {
	w := b.runs[k]
	if w == nil || !w.reported {
		return 0, 0, false
	}
	return now - w.beganAt, now - max(w.beganAt, w.savedAt), true
}

// End is the committed end of a run.
type End struct {
	Reason batch.EndReason
	// Checkpoint is what its worker reports to have saved, Checkpoints whether its step saves progress that its job still
	// needs.
	Checkpoint  string
	Checkpoints bool
	Cores       float64
	Gang        bool
	// Counts is set if the work of the run counts: it or its gang is done, or its job has succeeded.
	Counts bool
	// Replaced is set if another run of its task is the active one.
	Replaced bool
	// Job is the cause that the end of the job gives, None while the job is open.
	Job Cause
}

// Resolved is the cause of the losses that were unresolved.
type Resolved struct {
	Gang  Key
	Cause Cause
	Sum   Sum
}

// End drops a run and returns what is lost with it, and what its end resolves.
func (b *Book) End(k Key, e End, now time.Duration) (Run, []Resolved) {
	w := b.runs[k]
	delete(b.runs, k)
	known := w != nil && w.reported
	if !known {
		w = &work{beganAt: now}
	}
	r := Run{Cores: e.Cores, Held: now - w.beganAt}
	var g *gang
	if e.Gang {
		g = b.gangOf(k)
		g.endedAt = now
	}
	r.Cause = e.cause(w, g)
	r.Saved = e.saved(w, now)
	var resolved []Resolved
	if g != nil {
		r.Waited = g.waited(w, r)
		resolved = g.note(k.gang(), r)
	}
	if !known {
		r = Run{} // it has done no work that is known of
	}
	b.add(now, r, resolved)
	return r, resolved
}

// cause returns why the work of a run is lost; g is nil unless it is one of a gang.
func (e End) cause(w *work, g *gang) Cause {
	switch {
	case e.Counts, e.Reason == batch.EndRefused, e.Reason == batch.EndNeverStarted:
		return None
	case e.Replaced:
		return Replaced
	case e.Reason == batch.EndDone:
		return None
	case e.Reason == batch.EndFailed:
		return Failed
	case e.Reason == batch.EndLost, e.Reason == batch.EndLeaseExpired:
		return WorkerLost
	case e.Reason == batch.EndGangIncomplete:
		return NotFormed
	case e.Reason == batch.EndStopped && w.stop != None && w.stop != IncompleteGang:
		return w.stop
	case g != nil && g.cause != None:
		return g.cause
	case g != nil && g.stop != None:
		return g.stop
	case e.Job != None:
		return e.Job
	case e.Reason == batch.EndGangBroken:
		return Unresolved
	case w.stop != None:
		return w.stop
	default:
		return Stopped
	}
}

// saved returns the part of a run's work that its checkpoint saves. One that stops saves all, apart from what it did
// after the stop.
func (e End) saved(w *work, now time.Duration) time.Duration {
	switch {
	case !e.Checkpoints:
		return 0
	case e.Reason == batch.EndStopped && e.Checkpoint != "" && e.Checkpoint != w.checkpoint:
		return now - w.beganAt
	default:
		return max(0, w.savedAt-w.beganAt)
	}
}

// waited returns how long a member has waited for the others.
func (g *gang) waited(w *work, r Run) time.Duration {
	switch {
	case g.orderedAt == 0 || g.formedAt == 0 && r.Cause == None:
		return 0
	case g.formedAt == 0:
		return r.Held
	default:
		return g.formedAt - w.beganAt
	}
}

// note records the end of a member, and returns the losses of the members before it whose cause it shows.
func (g *gang) note(k Key, r Run) []Resolved {
	work, _ := r.Lost()
	if r.Cause == Unresolved {
		g.unresolved.Runs++
		g.unresolved.CoreSeconds += work
		return nil
	}
	if g.cause == None && r.Cause != None {
		g.cause = r.Cause.ForMembers()
	}
	return g.resolve(k, g.cause)
}

func (g *gang) resolve(k Key, c Cause) []Resolved {
	if g.unresolved.Runs == 0 || c == None {
		return nil
	}
	out := []Resolved{{Gang: k, Cause: c, Sum: g.unresolved}}
	g.unresolved = Sum{}
	return out
}

// add adds an ended run and what it resolves to the recent losses.
func (b *Book) add(now time.Duration, r Run, resolved []Resolved) {
	work, wait := r.Lost()
	if r.Cause != None {
		b.Recent.Add(now, r.Cause, 1, work)
	}
	if wait > 0 {
		b.Recent.Add(now, GangWait, 1, wait)
	}
	for _, res := range resolved {
		b.Recent.Add(now, Unresolved, -res.Sum.Runs, -res.Sum.CoreSeconds)
		b.Recent.Add(now, res.Cause, res.Sum.Runs, res.Sum.CoreSeconds)
	}
}

// Prune drops the runs that are not active, and returns the losses of gangs whose cause has not shown in time.
func (b *Book) Prune(now time.Duration, active func(Key) bool) []Resolved {
	var out []Resolved
	maps.DeleteFunc(b.runs, func(k Key, _ *work) bool { return !active(k) })
	members := map[Key]bool{}
	for k := range b.runs {
		members[k.gang()] = true
	}
	maps.DeleteFunc(b.gangs, func(k Key, g *gang) bool {
		if members[k] || now-g.endedAt < resolveAfter {
			return false
		}
		out = append(out, g.resolve(k, MemberLost)...)
		return true
	})
	for _, r := range out {
		b.add(now, Run{}, []Resolved{r})
	}
	return out
}
