package gang

import (
	"context"
	"time"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
)

const (
	// maxPollWait bounds how long a poll is held open.
	maxPollWait = time.Second
	// maxTasksPerWorker bounds the tasks in one report.
	maxTasksPerWorker = 4096
)

// Poll renews a worker's lease, applies its report and returns its commands. It holds the poll
// open until there is a command or the wait is over. The error is a *model.Error.
func (d *Driver) Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error) {
	l := d.leader.Load()
	if l == nil {
		return model.PollResponse{}, model.NotRun(model.CodeNoLeader, "this instance is not the leader")
	}
	d.metrics.polls.Inc()
	if err := l.admitPoll(ctx, req); err != nil {
		return model.PollResponse{}, err
	}
	w := l.sessions.get(req.Worker.Name)
	changed, reconnected := w.applyPoll(req, l.term, l.cfg.Now())
	if reconnected {
		l.sendEvent(workerConnected{worker: req.Worker.Name})
	}
	if changed {
		l.sendEvent(workerReport{worker: req.Worker.Name, session: w})
	}
	deliverable := func(c model.Command) bool { return l.deliverable(req.Worker.DataCentre, c) }
	if !w.needsFullReport() {
		l.holdPoll(ctx, w, time.Duration(req.WaitMS)*time.Millisecond, deliverable)
	}
	if l.ctx.Err() != nil {
		return model.PollResponse{}, model.NotRun(model.CodeNoLeader, "this instance is no longer the leader")
	}
	return model.PollResponse{
		Epoch: l.term, LeaseMS: model.TaskLease.Milliseconds(), Full: w.needsFullReport(), Commands: w.commandsToSend(deliverable),
	}, nil
}

// admitPoll refuses polls of workers whose rack is not declared, and registers workers that
// are new or have changed.
func (l *leaderState) admitPoll(ctx context.Context, req model.PollRequest) error {
	if req.Epoch > l.term {
		return model.NotRun(model.CodeNoLeader, "worker has seen epoch %d, but the epoch of this leader is %d", req.Epoch, l.term)
	}
	if n := len(req.Tasks) + len(req.Gone); n > maxTasksPerWorker {
		return model.NotRun(model.CodeTooLarge, "report has %d tasks, the maximum is %d", n, maxTasksPerWorker)
	}
	m := l.replica.Machine()
	if err := checkRack(m.Config(), req.Worker); err != nil {
		return err
	}
	if known, ok := m.Worker(req.Worker.Name); ok && known == req.Worker && !l.sessions.get(req.Worker.Name).beingRemoved() {
		return nil
	}
	res, err := l.replica.ExecuteIn(ctx, l.term, state.RegisterWorker{Worker: req.Worker})
	if err != nil {
		return err
	}
	if res.Failure != nil {
		return res.Failure
	}
	l.cfg.Logger.Log("event", "worker_registered", "worker", req.Worker.Name, "data_centre", req.Worker.DataCentre,
		"rack", req.Worker.Rack, "incarnation", req.Worker.Incarnation)
	return nil
}

// checkRack returns an error unless the configuration declares the worker's data centre and rack.
func checkRack(cfg config.Config, w model.Worker) error {
	dc, ok := cfg.DataCentre(w.DataCentre)
	if !ok {
		return model.NotRun(model.CodeInvalid, "worker %s is in data centre %q, which is not declared", w.Name, w.DataCentre)
	}
	for _, r := range dc.Racks {
		if r.Name == w.Rack {
			return nil
		}
	}
	return model.NotRun(model.CodeInvalid, "worker %s is in rack %q, which data centre %s does not declare", w.Name, w.Rack, w.DataCentre)
}

// sendEvent passes an event to the event loop, also after the worker has given the poll up: the session knows the report
// by then, so that no later one would repeat it.
func (l *leaderState) sendEvent(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// holdPoll waits until a command is queued or the wait is over.
func (l *leaderState) holdPoll(ctx context.Context, w *session, wait time.Duration, deliverable func(model.Command) bool) {
	if wait <= 0 || len(w.commandsToSend(deliverable)) > 0 {
		return
	}
	t := time.NewTimer(min(wait, maxPollWait))
	defer t.Stop()
	select {
	case <-w.wake:
	case <-t.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
}

// deliverable reports whether a command may be sent to a worker in the data centre: starts
// are withheld while it is out of service.
func (l *leaderState) deliverable(dc string, c model.Command) bool {
	return c.Kind != model.CommandStart || l.replica.Machine().Config().InService(dc)
}
