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
	// tick is the unit of quorum's timeouts.
	tick = 50 * time.Millisecond
	// leaderWatchdogTimeout ends leadership when the protocol loop hangs, for instance in a sync; it is below the leader lease.
	leaderWatchdogTimeout = 250 * time.Millisecond
	// viewInterval is how often an instance asks for the commit index.
	viewInterval = 400 * time.Millisecond
	// viewTimeout bounds one such question and one attempt to find the leader.
	viewTimeout = 500 * time.Millisecond
	// stallTimeout is how long a stream or connection may be silent before another one is tried.
	stallTimeout = time.Second
	// watchKeepaliveInterval is how often Watch sends a response without entries.
	watchKeepaliveInterval = 400 * time.Millisecond
	// executeTimeout bounds a command whose caller gives no deadline.
	executeTimeout = 10 * time.Second
	// leaderSearchTimeout bounds the search for a leader; an election takes under 2 s, and
	// an instance that is cut off must say so while its caller can still try another.
	leaderSearchTimeout = 2500 * time.Millisecond
	// leaderlessAfter is how long an instance is without a leader before it says so; an election takes under 2 s.
	leaderlessAfter = 2 * time.Second
	// retryDelay is the pause before a command is tried again that certainly was not proposed.
	retryDelay = 20 * time.Millisecond
	// bootstrapInterval is how often a control instance without membership asks its peers.
	bootstrapInterval = 200 * time.Millisecond
	// joinTimeout bounds the addition of a learner.
	joinTimeout = 5 * time.Second
	// announceInterval is how often a member tells seeds that are no members where the members are.
	announceInterval = time.Second
	// membershipInterval is how often the leader checks whether a learner can become a voter.
	membershipInterval = 200 * time.Millisecond
	// transferTimeout bounds the transfer of leadership in Close.
	transferTimeout = 1500 * time.Millisecond

	// maxQueuedProposals bounds proposals that wait for the log; further ones are refused.
	maxQueuedProposals = 4096
	// sendQueueSize and receiveQueueSize bound protocol messages; further ones are dropped, which the protocol tolerates.
	sendQueueSize    = 256
	receiveQueueSize = 1024
	// maxAppendBytes bounds the entries of one protocol message.
	maxAppendBytes = 1 << 20
	// maxWatchBytes bounds the entries of one response of Watch.
	maxWatchBytes = 256 << 10
	// maxMessageBytes bounds a gRPC message; a snapshot is sent as one.
	maxMessageBytes = 256 << 20
	// windowBytes is the fixed flow-control window; a fixed one saves the pings of gRPC's estimator.
	windowBytes = 1 << 20

	// DefaultSnapshotEntries is how many entries are applied between two snapshots.
	DefaultSnapshotEntries = 4096
	// DefaultSnapshotBytes is how many bytes of entries are applied between two snapshots at least.
	DefaultSnapshotBytes = 256 << 10
	// snapshotSizeFactor times the size of the last snapshot is how many bytes of entries are applied before the
	// next one, so that snapshots add half to what is written at most and the log stays in proportion.
	snapshotSizeFactor = 2
	// retainedLogDivisor of the entries between two snapshots stays in the log for followers that are a little behind.
	retainedLogDivisor = 4
)

// Peer is an instance of the deployment.
type Peer struct {
	Name    string
	Address string
	// Control says that the instance has the control role.
	Control bool
}

// LeaderRole is run by the leader; package gang implements it.
type LeaderRole interface {
	// Lead runs until ctx ends, when the lease or the term is lost.
	Lead(ctx context.Context, term uint64, r state.Replica)
	// Poll answers a worker while leading.
	Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error)
	// Report answers an inquiry while leading, without holding up the leader's work.
	Report(ctx context.Context, q state.Inquiry) (state.Report, error)
	// Admit checks a command before it is proposed, against the current state; nil admits.
	Admit(m *state.Machine, c state.Command) *model.Error
	// Dump returns the leader's own state for the process dump.
	Dump() any
}

// Responder answers requests that any instance may receive and only the leader can answer.
type Responder interface {
	// Respond answers an encoded request while leading; the error is a *model.Error.
	Respond(ctx context.Context, request []byte) ([]byte, error)
}

// Storage keeps a member's log durably; package store implements it.
type Storage interface {
	Save(hs *quorum.HardState, entries []quorum.Entry) error
	SaveSnapshot(s quorum.Snapshot) error
	SaveMembership(m quorum.Membership) error
	Compact(index uint64) error
	Close() error
}

// Config describes an instance.
type Config struct {
	Name       string
	DataCentre string
	// Address is host:port of the gRPC listener.
	Address string
	// DataDir is empty without the control role.
	DataDir string
	// Peers are all instances of the deployment, this one included.
	Peers []Peer
	// Bootstrap forms a new cluster of the control peers when all their data folders are empty.
	Bootstrap bool
	// OpenMembership means that Peers are only seeds: any control instance may join, members
	// are named by their addresses, and voters that are gone are replaced.
	OpenMembership bool
	// Stateless means that the instance keeps no copy of the state: it calls the leader, and tells others where the members are.
	Stateless bool
	// Leader runs while this instance leads; nil when there is nothing to run.
	Leader LeaderRole
	// Responder answers what Call hands to the leader; nil when there is nothing to answer.
	Responder Responder
	Logger    log.Logger
	Metrics   *metrics.Set
	// Credentials authenticate connections between instances in both directions; nil means plain TCP.
	Credentials credentials.TransportCredentials
	// Listen replaces net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// SnapshotEntries bounds the entries between two snapshots. An earlier one is taken after SnapshotBytes of
	// entries, or a multiple of the last snapshot's size if that is more. 0 means the defaults.
	SnapshotEntries int
	SnapshotBytes   int

	// sync replaces (*os.File).Sync in tests of failing disks.
	sync func(*os.File) error
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
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = DefaultSnapshotEntries
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = DefaultSnapshotBytes
	}
	return cfg
}

// addressOf returns the address of a member: that of the settings, else the one it joined with.
func (cfg Config) addressOf(m quorum.Member) string {
	for _, p := range cfg.Peers {
		if p.Name == m.Name {
			return p.Address
		}
	}
	return m.Address
}
