package ctrl

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/state"
)

const (
	// tick is the tick interval of package quorum, whose timeouts are counted in ticks.
	tick = 50 * time.Millisecond
	// leaderWatchdogTimeout suspends the leader's session when the protocol loop hangs; it is below the leader lease.
	leaderWatchdogTimeout = 250 * time.Millisecond
	// maxSuspension ends a session that stays suspended. It allows for pauses of a process by the operating system, and
	// is short against the leases of workers, which the leader cannot renew meanwhile.
	maxSuspension = time.Second
	// leaseRetryDelay is the pause before a suspended session is asked again whether the lease is held.
	leaseRetryDelay = 10 * time.Millisecond
	// slowTurn is the length of a turn of the protocol loop above which it is logged, half the minimum election timeout;
	// at most one is logged in slowTurnLogInterval.
	slowTurn            = 200 * time.Millisecond
	slowTurnLogInterval = time.Second
	// maxSyncTime is how long a leader goes on while a write is in progress that the others have completed. A leader whose
	// disk hangs must not keep an office in which nothing is committed.
	maxSyncTime = time.Second
	// maxSharedSyncTime is the same bound while the others are no faster, when another leader would commit nothing either,
	// and for members that do not lead.
	maxSharedSyncTime = 5 * time.Second
	// viewInterval is how often an instance reads the leader's commit index.
	viewInterval = 400 * time.Millisecond
	// viewTimeout bounds one such read and one attempt to find the leader.
	viewTimeout = 500 * time.Millisecond
	// stallTimeout is how long a stream or connection may be silent before it is replaced.
	stallTimeout = time.Second
	// watchKeepaliveInterval is how often Watch sends a response while there are no entries.
	watchKeepaliveInterval = 400 * time.Millisecond
	// executeTimeout bounds a command whose context has no deadline.
	executeTimeout = 10 * time.Second
	// leaderSearchTimeout bounds the search for a leader. An election takes under 2 s, and a
	// partitioned instance must fail early enough for its caller to try another one.
	leaderSearchTimeout = 2500 * time.Millisecond
	// leaderlessAfter is how long an instance has no leader before it reports so; an election takes under 2 s.
	leaderlessAfter = 2 * time.Second
	// diskFullRetryInterval is the pause before a write that a full disk refused is repeated.
	diskFullRetryInterval = 100 * time.Millisecond
	// diskFullStartInterval is the pause before the data folder is opened again when the disk was full.
	diskFullStartInterval = time.Second
	// silentAfter is how long a leader may leave calls without an answer before further ones wait until it has
	// answered a question.
	silentAfter = 300 * time.Millisecond
	// retryDelay is the pause before a call to the leader is retried.
	retryDelay = 20 * time.Millisecond
	// bootstrapInterval is how often a control instance without a membership asks its peers for one.
	bootstrapInterval = 200 * time.Millisecond
	// formTimeout bounds forming a cluster.
	formTimeout = 5 * time.Second
	// joinTimeout bounds one attempt to join as a learner, since the instance that is asked may be gone or deposed.
	joinTimeout = time.Second
	// announceInterval is how often a member sends the list of members to instances that may not know it;
	// statelessAnnounceInterval is that of stateless instances, of which there are many.
	announceInterval          = time.Second
	statelessAnnounceInterval = 3 * time.Second
	// membershipInterval is how often the leader checks whether the membership should change.
	membershipInterval = 200 * time.Millisecond
	// transferTimeout bounds a transfer of leadership.
	transferTimeout = 1500 * time.Millisecond

	// maxQueuedProposals bounds the proposals waiting for the protocol loop; further ones are refused.
	maxQueuedProposals = 4096
	// maxCallsPerTurn bounds the calls that one turn of the protocol loop runs.
	maxCallsPerTurn = 256
	// sendQueueSize and receiveQueueSize bound the queued protocol messages, sendQueueSize per member; further
	// ones are dropped, which the protocol tolerates.
	sendQueueSize    = 256
	receiveQueueSize = 1024
	// maxAppendBytes bounds the entries in one protocol message.
	maxAppendBytes = 1 << 20
	// maxWatchBytes bounds the entries in one Watch response.
	maxWatchBytes = 256 << 10
	// maxMessageBytes bounds a gRPC message; a snapshot is sent as a single message.
	maxMessageBytes = 256 << 20
	// windowBytes is the flow-control window; a fixed one avoids the pings of gRPC's bandwidth estimator.
	windowBytes = 1 << 20

	// DefaultSnapshotEntries is how many entries are applied between two snapshots at most.
	DefaultSnapshotEntries = 4096
	// DefaultSnapshotBytes is the minimum number of bytes of entries after which a snapshot is taken before
	// DefaultSnapshotEntries entries are applied.
	DefaultSnapshotBytes = 256 << 10
	// snapshotSizeFactor times the size of the last snapshot is how many bytes of entries are applied before the
	// next one. Snapshots then add at most half to the bytes written, and the log stays proportional to the state.
	snapshotSizeFactor = 2
	// snapshotRetryEntries is how many entries are applied before a snapshot that could not be saved is tried again.
	snapshotRetryEntries = 256
	// retainedLogDivisor sets how many of the entries since the last snapshot stay in the log for followers that
	// are slightly behind: their number divided by it.
	retainedLogDivisor = 4
)

// Peer is an instance of the deployment.
type Peer struct {
	Name    string
	Address string
	// Control reports whether the instance has the control role.
	Control bool
}

// LeaderRole is the work that only the leader does; package gang implements it.
type LeaderRole interface {
	// Lead runs until ctx ends, which it does when the lease or the term is lost.
	Lead(ctx context.Context, term uint64, r state.Replica)
	// Poll answers a worker's poll while leading.
	Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error)
	// Report answers an inquiry while leading, without blocking the leader's work.
	Report(ctx context.Context, q state.Inquiry) (state.Report, error)
	// Admit validates a command against the current state before it is proposed; nil means that it is admitted.
	Admit(m *state.Machine, c state.Command) *model.Error
	// Dump returns the state of the leader role for the process dump.
	Dump() any
}

// Responder answers requests that any instance may receive but only the leader can answer.
type Responder interface {
	// Respond answers an encoded request while leading; the error is a *model.Error.
	Respond(ctx context.Context, request []byte) ([]byte, error)
}

// Storage persists a member's log; package store implements it.
type Storage interface {
	Save(hs *quorum.HardState, entries []quorum.Entry) error
	SaveSnapshot(s quorum.Snapshot) error
	SaveMembership(m quorum.Membership) error
	Compact(index uint64) error
	Close() error
}

// Config configures a Node.
type Config struct {
	Name       string
	DataCentre string
	// Address is the host:port of the gRPC listener.
	Address string
	// DataDir is the data folder; empty without the control role.
	DataDir string
	// Peers lists all instances of the deployment, including this one.
	Peers []Peer
	// Bootstrap forms a new cluster from the control peers if all their data folders are empty.
	Bootstrap bool
	// OpenMembership makes Peers mere seeds: any control instance may join, members
	// are named by their addresses, and voters that stop responding are replaced.
	OpenMembership bool
	// ToleratedLosses is how many disks may be lost together without losing a committed entry; with open membership
	// no voter is removed that this needs. 0 means as many as the first membership survives.
	ToleratedLosses int
	// Stateless means that the instance keeps no copy of the state: it only calls the leader and tells other
	// instances the members it knows.
	Stateless bool
	// Leader runs while this instance leads; nil means nothing to run.
	Leader LeaderRole
	// Responder answers the requests that Call sends to the leader; nil means that they are refused.
	Responder Responder
	Logger    log.Logger
	Metrics   *metrics.Set
	// Credentials mutually authenticate connections between instances; nil means plain TCP.
	Credentials credentials.TransportCredentials
	// Listen opens the gRPC listener; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// DialContext connects to other instances; nil means the method of a zero net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// SnapshotEntries bounds the entries between two snapshots. A snapshot is taken earlier after SnapshotBytes of
	// entries, or after a multiple of the last snapshot's size if that is more. 0 means the default.
	SnapshotEntries int
	SnapshotBytes   int

	// sync and write replace those of *os.File in tests that simulate a failing disk.
	sync  func(*os.File) error
	write func(*os.File, []byte) (int, error)
}

func (cfg Config) withDefaults() Config {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Credentials == nil {
		cfg.Credentials = insecure.NewCredentials()
	}
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	if cfg.DialContext == nil {
		cfg.DialContext = (&net.Dialer{}).DialContext
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = DefaultSnapshotBytes
	}
	return cfg
}

// addressOf returns the configured address of a member, or the one it joined with if it isn't configured.
func (cfg Config) addressOf(m quorum.Member) string {
	for _, p := range cfg.Peers {
		if p.Name == m.Name {
			return p.Address
		}
	}
	return m.Address
}
