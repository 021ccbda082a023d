package fakes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"turmericroute/model"
	"turmericroute/state"
)

// Replica is an in-memory state.Replica without other members.
type Replica struct {
	machine *state.Machine
	mu      sync.Mutex
	viewAge atomic.Int64
	// PollFunc handles polls; nil refuses them with CodeNoLeader.
	PollFunc func(context.Context, model.PollRequest) (model.PollResponse, error)
	// AdmitFunc checks commands before they are applied, as the leader does; nil admits all.
	AdmitFunc func(*state.Machine, state.Command) *model.Error
	// InquireFunc handles inquiries; nil refuses them with CodeNoLeader.
	InquireFunc func(context.Context, state.Inquiry) (state.Report, error)
}

// NewReplica returns a replica with an empty state.
func NewReplica() *Replica { return &Replica{machine: state.New()} }

// Execute applies c at the next index unless AdmitFunc refuses it.
func (r *Replica) Execute(ctx context.Context, c state.Command) (state.Result, error) {
	if err := ctx.Err(); err != nil {
		return state.Result{}, model.NotRun(model.CodeDeadline, "%v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.AdmitFunc != nil {
		if fail := r.AdmitFunc(r.machine, c); fail != nil {
			return state.Result{Failure: fail}, nil
		}
	}
	return r.machine.Apply(r.machine.Applied()+1, c), nil
}

// ExecuteIn executes c in any term, since the fake is always the leader.
func (r *Replica) ExecuteIn(ctx context.Context, _ uint64, c state.Command) (state.Result, error) {
	return r.Execute(ctx, c)
}

// Barrier returns nil at once, since there are no other members to wait for.
func (r *Replica) Barrier(context.Context) error { return nil }

// Machine returns the state.
func (r *Replica) Machine() *state.Machine { return r.machine }

// ViewAge returns the age that SetViewAge set.
func (r *Replica) ViewAge() time.Duration { return time.Duration(r.viewAge.Load()) }

// SetViewAge sets the age that ViewAge returns.
func (r *Replica) SetViewAge(d time.Duration) { r.viewAge.Store(int64(d)) }

// Poll calls PollFunc.
func (r *Replica) Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error) {
	if r.PollFunc == nil {
		return model.PollResponse{}, model.NotRun(model.CodeNoLeader, "no leader")
	}
	return r.PollFunc(ctx, req)
}

// Inquire calls InquireFunc.
func (r *Replica) Inquire(ctx context.Context, q state.Inquiry) (state.Report, error) {
	if r.InquireFunc == nil {
		return state.Report{}, model.NotRun(model.CodeNoLeader, "no leader")
	}
	return r.InquireFunc(ctx, q)
}

// Status returns the status of a leader without other members.
func (r *Replica) Status() state.ReplicaStatus {
	n := r.machine.Applied()
	return state.ReplicaStatus{Name: "fake", Role: "leader", Leader: "fake", Term: 1, Commit: n, Applied: n, ViewAgeMS: r.ViewAge().Milliseconds()}
}
