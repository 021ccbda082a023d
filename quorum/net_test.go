package quorum_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
	"sort"

	"turmericroute/quorum"
)

// testDrift is the MaxDrift of all members; their tick periods differ by up to this fraction.
const testDrift = 0.10

// disk is the synced state of a member.
type disk struct {
	hard    quorum.HardState
	snap    *quorum.Snapshot
	entries []quorum.Entry
}

func (d *disk) save(r quorum.Ready) {
	if r.HardState != nil {
		d.hard = *r.HardState
	}
	if r.Snapshot != nil {
		d.snap, d.entries = r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := len(d.entries)
		for keep > 0 && d.entries[keep-1].Index >= r.Entries[0].Index {
			keep--
		}
		d.entries = append(d.entries[:keep:keep], r.Entries...)
	}
}

// term returns the term of the entry at index, or false when it is not on the disk.
func (d *disk) term(index uint64) (uint64, bool) {
	if d.snap != nil && index == d.snap.Index {
		return d.snap.Term, true
	}
	if len(d.entries) == 0 || index < d.entries[0].Index || index > d.entries[len(d.entries)-1].Index {
		return 0, false
	}
	return d.entries[index-d.entries[0].Index].Term, true
}

// host is a simulated instance; it gets a new ID when it loses its disk.
type host struct {
	id           string
	disk         disk
	node         *quorum.Node  // nil while down
	incarnation  int           // number of crashes; events of earlier incarnations are dropped
	period       float64       // time between ticks
	nextTick     float64       // time of the next tick
	stalledUntil float64       // events are deferred until this time
	pending      *quorum.Ready // being synced
	applied      uint64        // index of the last applied entry
	state        uint64        // hash of the applied entries
}

// network delivers messages between hosts in simulated time, whose unit is the
// shortest tick period.
type network struct {
	checker
	rng       *rand.Rand
	now       float64
	events    []event // in order of time
	hosts     []*host
	bootstrap quorum.Membership
	cut       map[[2]int]bool // links from the first to the second host that drop all messages
	loss      float64         // probability that a message is lost
	duplicate float64         // probability that a message is duplicated
	delay     float64         // maximum delay of a message
	minDelay  float64         // minimum delay of a message
	syncTime  float64         // maximum duration of a sync
	minSync   float64         // minimum duration of a sync
	proposed  int             // number of proposals
}

type event struct {
	at          float64
	host        *host
	incarnation int
	fn          func()
}

// newNetwork starts the given numbers of voters in the bootstrap membership and
// of spare hosts without a membership.
func newNetwork(fail func(string, ...any), seed int64, voters, spares int) *network {
	w := &network{checker: newChecker(fail), rng: rand.New(rand.NewSource(seed)), cut: map[[2]int]bool{}, delay: 0.1, syncTime: 0.2}
	for i := range voters + spares {
		h := &host{id: fmt.Sprintf("h%d.0", i), period: 1}
		if w.rng.Intn(2) == 0 {
			h.period = 1 / (1 - testDrift)
		}
		if i < voters {
			w.bootstrap.Voters = append(w.bootstrap.Voters, member(h.id))
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func member(id string) quorum.Member {
	return quorum.Member{Name: id[:2], ID: id, Address: id[:2] + ":1"}
}

func (w *network) start(h *host) {
	cfg := quorum.Config{
		ID: h.id, HardState: h.disk.hard, Snapshot: h.disk.snap, Entries: h.disk.entries,
		MaxDrift: testDrift, Rand: w.rng.Intn, MaxBatchBytes: 200,
	}
	if w.bootstrap.IsVoter(h.id) {
		cfg.Membership = w.bootstrap
	}
	node, err := quorum.New(cfg)
	if err != nil {
		w.fail("restart %s: %v", h.id, err)
	}
	h.node, h.pending, h.stalledUntil = node, nil, 0
	h.applied, h.state = 0, 0
	if s := h.disk.snap; s != nil {
		h.applied, h.state = s.Index, binary.BigEndian.Uint64(s.Data)
	}
	h.nextTick = w.now + w.rng.Float64()*h.period
	w.schedule(h.nextTick, h, func() {})
}

func (w *network) crash(h *host) {
	if h.pending != nil && w.rng.Intn(2) == 0 {
		h.disk.save(*h.pending) // crashed after the sync, before anything was sent or applied
	}
	h.node, h.pending = nil, nil
	h.incarnation++
}

// loseDisk crashes h and gives it an empty disk and a new ID.
func (w *network) loseDisk(h *host) {
	w.crash(h)
	w.lostDisks[h.id] = &disk{snap: h.disk.snap, entries: h.disk.entries}
	h.disk = disk{}
	h.id = fmt.Sprintf("%s.%d", h.id[:2], h.incarnation)
}

func (w *network) schedule(when float64, h *host, fn func()) {
	i := sort.Search(len(w.events), func(i int) bool { return w.events[i].at > when })
	w.events = slices.Insert(w.events, i, event{when, h, h.incarnation, fn})
}

// run processes the events of the given time, in ticks.
func (w *network) run(ticks float64) {
	end := w.now + ticks
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		h := e.host
		if h.node == nil || h.incarnation != e.incarnation {
			continue
		}
		if h.stalledUntil > w.now {
			w.schedule(h.stalledUntil, h, e.fn)
			continue
		}
		w.tick(h)
		e.fn()
		w.processReady(h)
		w.sendImmediate(h)
		w.check(w)
	}
	w.now = end
}

// tick delivers the ticks that are due, which must precede any other call.
func (w *network) tick(h *host) {
	if h.nextTick > w.now {
		return
	}
	due := 0
	for h.nextTick <= w.now {
		due++
		h.nextTick += h.period
	}
	h.node.Tick(due)
	w.schedule(h.nextTick, h, func() {})
}

// processReady starts to process the next Ready, if there is one. The node
// handles further events until the sync is finished.
func (w *network) processReady(h *host) {
	r, ok := h.node.Ready()
	if !ok {
		return
	}
	w.checkReady(h, r)
	h.pending = &r
	early := w.rng.Intn(2) == 0
	for _, m := range r.Messages {
		if early && quorum.SentBeforeSync(m) {
			w.transmit(h, m)
		}
	}
	took := w.rng.Float64() * w.syncTime
	if r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 {
		took = max(w.minSync, took)
	}
	w.schedule(w.now+took, h, func() {
		h.disk.save(r)
		h.pending = nil
		for _, m := range r.Messages {
			if !early || !quorum.SentBeforeSync(m) {
				w.transmit(h, m)
			}
		}
		w.apply(h, r)
		h.node.Advance(r)
	})
}

// sendImmediate sends what may be sent during a sync.
func (w *network) sendImmediate(h *host) {
	if h.pending == nil {
		return
	}
	for _, m := range h.node.Immediate() {
		w.transmit(h, m)
	}
}

func (w *network) apply(h *host, r quorum.Ready) {
	if r.Snapshot != nil {
		h.applied, h.state = r.Snapshot.Index, binary.BigEndian.Uint64(r.Snapshot.Data)
		w.checkApplied(h)
	}
	for _, e := range r.Committed {
		if e.Index != h.applied+1 {
			w.fail("%s applies entry %d after entry %d", h.id, e.Index, h.applied)
		}
		f := fnv.New64a()
		fmt.Fprint(f, h.state, e.Index, e.Term, e.Kind, string(e.Data))
		h.applied, h.state = e.Index, f.Sum64()
		w.checkApplied(h)
	}
}

// transmit delivers a message after a random delay, which may reorder messages,
// and may lose or duplicate it.
func (w *network) transmit(from *host, m quorum.Message) {
	w.checkMessage(from, m)
	copies := 1
	if w.rng.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.loss {
			continue
		}
		to, ok := w.hostIndex(m.To)
		if f, _ := w.hostIndex(from.id); !ok || w.cut[[2]int{f, to}] {
			continue
		}
		h := w.hosts[to]
		w.schedule(w.now+max(w.minDelay, 0.01+w.rng.Float64()*w.delay), h, func() {
			if err := h.node.Step(m); err != nil && !errors.Is(err, quorum.ErrMisaddressed) {
				w.fail("%s steps %+v: %v", h.id, m, err)
			}
		})
	}
}

// hostIndex returns the index of the host that has or had the given ID.
func (w *network) hostIndex(id string) (int, bool) {
	for i, h := range w.hosts {
		if h.id[:2] == id[:2] {
			return i, true
		}
	}
	return 0, false
}

// leader returns the leader of the highest term, nil if there is none.
func (w *network) leader() *host {
	var found *host
	for _, h := range w.hosts {
		if h.node != nil && h.node.Status().Role == quorum.RoleLeader &&
			(found == nil || h.node.Status().Term > found.node.Status().Term) {
			found = h
		}
	}
	return found
}

// compact takes a snapshot of the applied state and compacts the log, as the control role does.
func (w *network) compact(h *host, keep int) {
	term, ok := h.disk.term(h.applied)
	m, known := h.node.MembershipAt(h.applied)
	if !ok || !known || h.applied == 0 {
		return
	}
	s := quorum.Snapshot{Index: h.applied, Term: term, Membership: m, Data: binary.BigEndian.AppendUint64(nil, h.state)}
	if err := h.node.Compact(s, keep); err != nil {
		w.fail("compact %s: %v", h.id, err)
	}
	h.disk.snap = &s
	for len(h.disk.entries) > 0 && h.disk.entries[0].Index+uint64(keep) <= s.Index {
		h.disk.entries = h.disk.entries[1:]
	}
}

// heal ends all faults and restarts the hosts that are down.
func (w *network) heal() {
	w.cut = map[[2]int]bool{}
	w.loss, w.duplicate, w.delay, w.syncTime = 0, 0, 0.1, 0.2
	for _, h := range w.hosts {
		if h.node == nil {
			w.start(h)
		}
	}
}
