package ctrl

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"turmericroute/clock"
	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/state"
	"turmericroute/store"
)

// Node is one instance of the replicated state; it implements state.Replica.
type Node struct {
	cfg        Config
	machine    *state.Machine
	applier    *applier
	links      *linkPool
	leadership *leadership
	metrics    nodeMetrics

	listener    net.Listener
	server      *grpc.Server
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	bootstrapWG sync.WaitGroup // awaited before the member is stopped
	closing     atomic.Bool

	// store and recovered are set only with the control role, and replaced under the lock of bootstrapState.
	store     *store.Store
	recovered store.Recovered
	// member is nil without the control role and until a membership is known.
	member         atomic.Pointer[member]
	bootstrapState bootstrapState

	seeds          atomic.Pointer[[]Peer]
	learnedMembers atomic.Pointer[memberList] // the newest members reported by other instances
	leaderHint     atomic.Pointer[string]     // name of the leader; nil or empty if unknown
	search         leaderSearch
	hadLeader      bool                               // whether a leader was known at the last change of role; used on the protocol loop
	leaderSeenAt   atomic.Int64                       // boot clock time at which a leader was last known or replied
	viewTime       atomic.Int64                       // boot clock time for which the local copy is known to be current
	cancelFollow   atomic.Pointer[context.CancelFunc] // cancels the watch stream of a diskless instance

	failed   chan struct{} // closed when the member or the applier fails
	failOnce sync.Once
}

// New returns an instance that is not yet started.
func New(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	if cfg.Name == "" || cfg.Address == "" {
		return nil, errors.New("an instance needs a name and an address")
	}
	n := &Node{cfg: cfg, machine: state.New(), failed: make(chan struct{})}
	n.seeds.Store(&cfg.Peers)
	if cfg.DataDir == "" && len(n.seedPeers()) == 0 {
		return nil, errors.New("an instance without a data folder needs a control peer")
	}
	n.metrics = newNodeMetrics(cfg.Metrics, n)
	n.applier = newApplier(cfg, n.machine)
	n.applier.onFailure = n.fail
	n.links = newLinkPool(cfg)
	n.leadership = &leadership{run: n.runLeader}
	n.viewTime.Store(math.MinInt64)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

// Start opens the data folder, listens and starts the instance's goroutines; it
// does not wait for a leader or a membership.
func (n *Node) Start(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	n.noteLeader()
	if n.cfg.DataDir != "" {
		if err := n.openStore(ctx); err != nil {
			return err
		}
	}
	lis, err := n.cfg.Listen("tcp", n.cfg.Address)
	if err != nil {
		if n.store != nil {
			err = errors.Join(err, n.store.Close())
		}
		return fmt.Errorf("listen on %s: %w", n.cfg.Address, err)
	}
	n.listener = lis
	n.server = newServer(n)
	if n.cfg.Stateless {
		n.wg.Go(n.serve)
		if n.cfg.OpenMembership {
			n.wg.Go(n.announceMembers)
		}
		n.cfg.Logger.Log("event", "caller_started", "name", n.cfg.Name, "address", n.cfg.Address, "seeds", len(n.seedPeers()))
		return nil
	}
	n.applier.wg.Go(n.applier.run)
	if n.store != nil && n.recovered.Membership != nil {
		if err := n.startMember(); err != nil {
			return errors.Join(err, n.Close(ctx))
		}
	}
	n.wg.Go(n.serve)
	if n.store == nil {
		n.wg.Go(n.follow)
	} else if n.member.Load() == nil {
		n.bootstrapWG.Go(n.bootstrap)
	}
	n.wg.Go(n.runViewRefresh)
	if n.cfg.OpenMembership {
		n.wg.Go(n.rejoinWhenRemoved)
		n.wg.Go(n.announceMembers)
	}
	n.cfg.Logger.Log("event", "node_started", "name", n.cfg.Name, "address", n.cfg.Address, "id", n.id(), "applied", n.machine.Applied())
	return nil
}

func (n *Node) serve() {
	n.server.Serve(countedListener{n.listener, n.links}) //nolint:errcheck // returns after Stop.
}

// openStore recovers the data folder. While the disk has no space for a new folder
// it waits. An instance with a damaged folder does not vote, since the votes and
// acknowledgements that it may have lost must not be relied on. It joins under a new
// ID, and keeps the folder until then: if the folders of a majority are damaged, no
// group is left to join, and what is on them is all there is.
func (n *Node) openStore(ctx context.Context) error {
	for {
		s, rec, err := n.openFolder("")
		if errors.Is(err, store.ErrNoSpace) {
			n.cfg.Logger.Log("event", "disk_full", "err", err)
			if clock.Sleep(ctx, diskFullStartInterval) {
				continue
			}
		}
		if err != nil {
			return fmt.Errorf("open data folder: %w", err)
		}
		n.store, n.recovered = s, rec
		if rec.Damage == nil {
			n.bootstrapState.set(rec)
			return nil
		}
		newID, err := store.NewID()
		if err != nil {
			return errors.Join(err, s.Close())
		}
		n.bootstrapState.set(store.Recovered{ID: newID, Quarantined: true})
		n.cfg.Logger.Log("event", "data_folder_damaged", "id", rec.ID, "new_id", newID, "err", rec.Damage, "files", strings.Join(rec.Files, " "))
		return nil
	}
}

func (n *Node) openFolder(newID string) (*store.Store, store.Recovered, error) {
	return store.Open(store.Config{Dir: n.cfg.DataDir, ID: newID, Sync: n.cfg.sync, Write: n.cfg.write}) //nolint:wrapcheck // by the callers.
}

// replaceDamaged quarantines the files of a damaged data folder and starts a new one
// with the given ID.
func (n *Node) replaceDamaged(newID string) error {
	if n.recovered.Damage == nil {
		return nil
	}
	if err := n.store.Discard(); err != nil {
		n.fail() // the next start goes on with it
		return fmt.Errorf("quarantine damaged files: %w", err)
	}
	s, rec, err := n.openFolder(newID)
	if err != nil {
		n.fail()
		return fmt.Errorf("open new data folder: %w", err)
	}
	n.cfg.Logger.Log("event", "data_folder_replaced", "id", n.recovered.ID, "new_id", rec.ID)
	n.store, n.recovered = s, rec
	return nil
}

// startMember starts the member with the recovered state.
func (n *Node) startMember() error {
	if err := n.applier.setBase(*n.recovered.Membership, n.recovered.Snapshot); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	m, err := newMember(n.cfg, n.recovered, n.store, newExchangeTransport(n.cfg, n.recovered.ID, n.links), n.applier, n.leadership)
	if err != nil {
		return err
	}
	m.onChange = n.roleChanged
	n.applier.setPersist(m.saveSnapshot)
	n.recovered.Snapshot, n.recovered.Entries = nil, nil
	n.member.Store(m)
	n.wg.Go(func() {
		m.run()
		if !errors.Is(m.err, errStopped) {
			n.leadership.close()
			n.fail()
		}
	})
	return nil
}

// Failed returns a channel that is closed when the log can no longer be
// persisted, for instance after a failed sync, or its state not be kept; the
// process must then exit.
func (n *Node) Failed() <-chan struct{} { return n.failed }

func (n *Node) fail() { n.failOnce.Do(func() { close(n.failed) }) }

// roleChanged runs on the protocol loop when role, term, leader or membership change.
func (n *Node) roleChanged(s quorum.Status) {
	withoutLeader := clock.SinceBoot() - time.Duration(n.leaderSeenAt.Load())
	n.cfg.Logger.Log("event", "role_changed", "role", s.Role, "term", s.Term, "leader", s.Leader, "leader_last_known_ms", withoutLeader.Milliseconds(), "voters", len(s.Membership.Voters), "learners", len(s.Membership.Learners))
	n.metrics.roleChanges.Inc()
	// The end of a leader's time counts as well, whether or not a failed call has cleared the hint before.
	if s.Leader != "" || n.hadLeader {
		n.noteLeader()
	}
	n.hadLeader = s.Leader != ""
	leader, _ := s.Membership.Find(s.Leader)
	n.setLeaderName(leader.Name)
}

// setLeaderName stores the name of the leader; empty means unknown.
func (n *Node) setLeaderName(name string) { n.leaderHint.Store(&name) }

// leaderName returns the name of the leader, empty if it is not known. A leader knows itself: searches and redirects that
// began before its election may set another name, which would hide it from all others for as long as it leads.
func (n *Node) leaderName() string {
	if m := n.member.Load(); m != nil && m.status.Load().Role == quorum.RoleLeader {
		return n.cfg.Name
	}
	if name := n.leaderHint.Load(); name != nil {
		return *name
	}
	return ""
}

// Machine returns the local copy of the state.
func (n *Node) Machine() *state.Machine { return n.machine }

// roleJoining is the role of a control instance that is not a member yet, as after the loss of its disk.
const roleJoining = "joining"

// Status returns the status of this instance and of the members it knows.
func (n *Node) Status() state.ReplicaStatus {
	s := state.ReplicaStatus{
		Name: n.cfg.Name, DataCentre: n.cfg.DataCentre, Role: "follower", Leader: n.leaderName(),
		Applied: n.machine.Applied(), ViewAgeMS: n.ViewAge().Milliseconds(),
	}
	s.Commit = s.Applied
	if n.cfg.DataDir != "" {
		s.Role = roleJoining
	}
	members, known := n.applier.membership(), map[string]quorum.MemberStatus{}
	if m := n.member.Load(); m != nil {
		q := m.status.Load()
		s.Role, s.Term, s.Commit = string(q.Role), q.Term, q.Commit
		members, known = q.Membership, q.Members
	}
	for _, v := range members.Voters {
		s.Members = append(s.Members, n.memberStatus(v, true, known))
	}
	for _, l := range members.Learners {
		s.Members = append(s.Members, n.memberStatus(l, false, known))
	}
	return s
}

func (n *Node) memberStatus(m quorum.Member, voter bool, known map[string]quorum.MemberStatus) state.MemberStatus {
	return state.MemberStatus{Name: m.Name, Address: n.cfg.addressOf(m), Voter: voter, Match: known[m.ID].Match}
}

// Close transfers leadership and stops the instance; if ctx has ended, the transfer is skipped.
func (n *Node) Close(ctx context.Context) error {
	if !n.closing.CompareAndSwap(false, true) {
		return nil
	}
	if m := n.member.Load(); m != nil {
		n.transferLeadership(ctx, m)
	}
	n.cancel()
	if n.server != nil {
		n.server.Stop()
	} else if n.listener != nil {
		n.listener.Close()
	}
	n.bootstrapWG.Wait()
	if m := n.member.Load(); m != nil {
		m.close()
		m.transport.Close()
	}
	n.leadership.close()
	n.applier.stop()
	n.wg.Wait()
	n.links.close()
	if n.store != nil {
		if err := n.store.Close(); err != nil {
			return fmt.Errorf("close data folder: %w", err)
		}
	}
	n.cfg.Logger.Log("event", "node_closed", "name", n.cfg.Name)
	return nil
}

// transferLeadership transfers leadership to the active voter with the longest
// log and waits for at most transferTimeout until another leader is known.
func (n *Node) transferLeadership(ctx context.Context, m *member) {
	if ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	to := ""
	err := m.runOnLoop(ctx, func(q *quorum.Node) {
		if to = successor(q.Status()); to != "" {
			if err := q.TransferLeadership(to); err != nil {
				to = ""
			}
		}
	})
	if err != nil || to == "" {
		return
	}
	for s := m.status.Load(); s.Role == quorum.RoleLeader || s.Leader == ""; s = m.status.Load() {
		if !clock.Sleep(ctx, tick/10) {
			return
		}
	}
	n.cfg.Logger.Log("event", "leadership_handed_over", "to", to)
}

// successor returns the ID of the active voter with the longest log other than
// this one, empty if there is none.
func successor(s quorum.Status) string {
	best := ""
	for _, v := range s.Membership.Voters {
		if v.ID != s.ID && s.Members[v.ID].Active && (best == "" || s.Members[v.ID].Match > s.Members[best].Match) {
			best = v.ID
		}
	}
	return best
}

// errorOrNil converts e to an error, a nil pointer to a nil interface.
func errorOrNil(e *model.Error) error {
	if e == nil {
		return nil
	}
	return e
}
