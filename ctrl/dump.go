package ctrl

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"turmericroute/quorum"
	"turmericroute/state"
)

// nodeMetrics holds the metrics of a Node; member, applier and linkPool register their own.
type nodeMetrics struct {
	commitSeconds *metrics.Summary
	roleChanges   *metrics.Counter
	panics        *metrics.Counter
	// leadingEnded returns the counter of the leader sessions that ended for a reason.
	leadingEnded func(reason error) *metrics.Counter
}

func newNodeMetrics(set *metrics.Set, n *Node) nodeMetrics {
	set.NewGauge(`turmericroute_ctrl_view_age_seconds`, func() float64 { return n.ViewAge().Seconds() })
	set.NewGauge(`turmericroute_ctrl_applied_index`, func() float64 { return float64(n.machine.Applied()) })
	set.NewGauge(`turmericroute_ctrl_leading`, func() float64 {
		if _, ok := n.leadership.current(); ok {
			return 1
		}
		return 0
	})
	set.NewGauge(`turmericroute_ctrl_no_leader_seconds`, func() float64 { return n.timeWithoutLeader().Seconds() })
	return nodeMetrics{
		leadingEnded: func(reason error) *metrics.Counter {
			return set.GetOrCreateCounter(fmt.Sprintf(`turmericroute_ctrl_leading_ended_total{reason=%q}`, reason))
		},
		commitSeconds: set.NewSummary(`turmericroute_ctrl_commit_seconds`),
		roleChanges:   set.NewCounter(`turmericroute_ctrl_role_changes_total`),
		panics:        set.NewCounter(`turmericroute_ctrl_panics_total`),
	}
}

// nodeDump is the state of a Node without the replicated state.
type nodeDump struct {
	Status        state.ReplicaStatus `json:"status"`
	ID            string              `json:"id,omitempty"`
	Protocol      *quorum.Status      `json:"protocol,omitempty"`
	Queues        queueDump           `json:"queues"`
	SnapshotIndex uint64              `json:"snapshot_index"`
	LinksReady    map[string]bool     `json:"links_ready"`
	LeadingTerm   uint64              `json:"leading_term,omitempty"`
	LeaderRole    any                 `json:"leader_role,omitempty"`
}

// queueDump holds the lengths of a Node's queues.
type queueDump struct {
	Messages  int `json:"messages"`
	Proposals int `json:"proposals"`
	Apply     int `json:"apply"`
	Waiters   int `json:"waiters"`
}

// Dump returns the state of this instance for diagnosis; its JSON encoding has a stable order.
func (n *Node) Dump() any {
	d := nodeDump{Status: n.Status(), ID: n.id(), LinksReady: n.links.dump()}
	if m := n.member.Load(); m != nil {
		d.Protocol = m.status.Load()
		d.Queues.Messages, d.Queues.Proposals = len(m.inbox), len(m.proposals)
	}
	d.Queues.Apply, d.Queues.Waiters, d.SnapshotIndex = n.applier.dump()
	if session, ok := n.leadership.current(); ok {
		d.LeadingTerm = session.term
		if n.cfg.Leader != nil {
			d.LeaderRole = n.cfg.Leader.Dump()
		}
	}
	return d
}

func (a *applier) dump() (queued, waiters int, snapshot uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshot != nil {
		snapshot = a.snapshot.Index
	}
	return len(a.queue), len(a.waiters), snapshot
}

// dump reports for each address whether it is connected.
func (p *linkPool) dump() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready := map[string]bool{}
	for a, l := range p.byAddress {
		l.mu.Lock()
		ready[a] = l.conn != nil
		l.mu.Unlock()
	}
	return ready
}
