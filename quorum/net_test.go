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

// testDrift is the MaxDrift of all members; their tick periods differ by up to that.
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

// term returns the term of the entry at index, false when the disk lacks it.
func (d *disk) term(index uint64) (uint64, bool) {
	if d.snap != nil && index == d.snap.Index {
		return d.snap.Term, true
	}
	if len(d.entries) == 0 || index < d.entries[0].Index || index > d.entries[len(d.entries)-1].Index {
		return 0, false
	}
	return d.entries[index-d.entries[0].Index].Term, true
}

// host is an instance; a lost disk gives it another ID.
type host struct {
	id      string
	disk    disk
	node    *quorum.Node // nil while down
	life    int          // counts crashes, to drop the events of earlier lives
	period  float64
	tickAt  float64
	stalled float64 // events are held back until then
	pending *quorum.Ready
	applied uint64
	state   uint64 // hash of the applied entries
}

// network delivers messages between hosts in simulated time, in which the
// fastest ticks are 1 apart.
type network struct {
	checker
	rng       *rand.Rand
	now       float64
	events    []event // by time
	hosts     []*host
	bootstrap quorum.Membership
	cut       map[[2]int]bool
	loss      float64
	repeat    float64
	delay     float64 // maximum
	syncTime  float64 // maximum
	proposed  int
}

type event struct {
	at   float64
	host *host
	life int
	run  func()
}

// newNetwork starts voters bootstrapped members and further hosts without a membership.
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
	h.node, h.pending, h.stalled = node, nil, 0
	h.applied, h.state = 0, 0
	if s := h.disk.snap; s != nil {
		h.applied, h.state = s.Index, binary.BigEndian.Uint64(s.Data)
	}
	h.tickAt = w.now + w.rng.Float64()*h.period
	w.at(h.tickAt, h, func() {})
}

func (w *network) crash(h *host) {
	if h.pending != nil && w.rng.Intn(2) == 0 {
		h.disk.save(*h.pending) // synced, but nothing was sent or applied
	}
	h.node, h.pending = nil, nil
	h.life++
}

// loseDisk crashes h for good and brings it back with another identity.
func (w *network) loseDisk(h *host) {
	w.crash(h)
	w.lost[h.id] = &disk{snap: h.disk.snap, entries: h.disk.entries}
	h.disk = disk{}
	h.id = fmt.Sprintf("%s.%d", h.id[:2], h.life)
}

func (w *network) at(when float64, h *host, run func()) {
	i := sort.Search(len(w.events), func(i int) bool { return w.events[i].at > when })
	w.events = slices.Insert(w.events, i, event{when, h, h.life, run})
}

// run handles the events of the next ticks.
func (w *network) run(ticks float64) {
	end := w.now + ticks
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		h := e.host
		if h.node == nil || h.life != e.life {
			continue
		}
		if h.stalled > w.now {
			w.at(h.stalled, h, e.run)
			continue
		}
		w.tick(h)
		e.run()
		w.work(h)
		w.check(w)
	}
	w.now = end
}

// tick delivers the ticks that are due, which must come before anything else.
func (w *network) tick(h *host) {
	if h.tickAt > w.now {
		return
	}
	for h.tickAt <= w.now {
		h.node.Tick()
		h.tickAt += h.period
	}
	w.at(h.tickAt, h, func() {})
}

// work starts the next Ready; its sync takes time in which the node goes on.
func (w *network) work(h *host) {
	r, ok := h.node.Ready()
	if !ok {
		return
	}
	w.checkReady(h, r)
	h.pending = &r
	early := w.rng.Intn(2) == 0
	for _, m := range r.Messages {
		if early && beforeSync(m) {
			w.transmit(h, m)
		}
	}
	w.at(w.now+w.rng.Float64()*w.syncTime, h, func() {
		h.disk.save(r)
		h.pending = nil
		for _, m := range r.Messages {
			if !early || !beforeSync(m) {
				w.transmit(h, m)
			}
		}
		w.apply(h, r)
		h.node.Advance(r)
	})
}

func beforeSync(m quorum.Message) bool {
	return m.Kind == quorum.MessageAppend || m.Kind == quorum.MessageHeartbeat || m.Kind == quorum.MessageSnapshot
}

func (w *network) apply(h *host, r quorum.Ready) {
	if r.Snapshot != nil {
		h.applied, h.state = r.Snapshot.Index, binary.BigEndian.Uint64(r.Snapshot.Data)
		w.checkApplied(h)
	}
	for _, e := range r.Committed {
		if e.Index != h.applied+1 {
			w.fail("%s applies %d after %d", h.id, e.Index, h.applied)
		}
		f := fnv.New64a()
		fmt.Fprint(f, h.state, e.Index, e.Term, e.Kind, string(e.Data))
		h.applied, h.state = e.Index, f.Sum64()
		w.checkApplied(h)
	}
}

// transmit loses, repeats, delays and so reorders a message.
func (w *network) transmit(from *host, m quorum.Message) {
	w.checkMessage(from, m)
	copies := 1
	if w.rng.Float64() < w.repeat {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.loss {
			continue
		}
		to, ok := w.index(m.To)
		if f, _ := w.index(from.id); !ok || w.cut[[2]int{f, to}] {
			continue
		}
		h := w.hosts[to]
		w.at(w.now+0.01+w.rng.Float64()*w.delay, h, func() {
			if err := h.node.Step(m); err != nil && !errors.Is(err, quorum.ErrMisaddressed) {
				w.fail("%s steps %+v: %v", h.id, m, err)
			}
		})
	}
}

// index returns the host with an address; the ID may be that of a lost disk.
func (w *network) index(id string) (int, bool) {
	for i, h := range w.hosts {
		if h.id[:2] == id[:2] {
			return i, true
		}
	}
	return 0, false
}

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

// compact takes a snapshot of the applied state, as the control role does.
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

// heal ends all faults and restarts what is down.
func (w *network) heal() {
	w.cut = map[[2]int]bool{}
	w.loss, w.repeat, w.delay, w.syncTime = 0, 0, 0.1, 0.2
	for _, h := range w.hosts {
		if h.node == nil {
			w.start(h)
		}
	}
}
