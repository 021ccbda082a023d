package gang

import (
	"context"
	"time"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
)

const (
	// maxPollWait bounds how long a poll is held.
	maxPollWait = time.Second
	// maxTasksPerWorker bounds one report.
	maxTasksPerWorker = 4096
)

// Poll renews a worker's lease, takes its report and returns commands.
func (d *Driver) Poll(ctx context.Context, req model.PollRequest) (model.PollResponse, error) {
	l := d.leader.Load()
	if l == nil {
		return model.PollResponse{}, model.NotRun(model.CodeNoLeader, "this instance does not lead")
	}
	d.metrics.polls.Inc()
	if err := l.admitPoll(ctx, req); err != nil {
		return model.PollResponse{}, err
	}
	w := l.sessions.get(req.Worker.Name)
	changed, gone, back := w.applyPoll(req, l.term, l.cfg.Now())
	if back {
		l.sendEvent(ctx, workerConnected{worker: req.Worker.Name})
	}
	if len(changed)+len(gone) > 0 {
		l.sendEvent(ctx, workerReport{worker: req.Worker.Name, changed: changed, gone: gone})
	}
	keep := func(c model.Command) bool { return l.deliverable(req.Worker.DataCentre, c) }
	if !w.needsFullReport() {
		l.holdPoll(ctx, w, time.Duration(req.WaitMS)*time.Millisecond, keep)
	}
	if l.ctx.Err() != nil {
		return model.PollResponse{}, model.NotRun(model.CodeNoLeader, "this instance no longer leads")
	}
	return model.PollResponse{
		Epoch: l.term, LeaseMS: model.TaskLease.Milliseconds(), Full: w.needsFullReport(), Commands: w.commandsToSend(keep),
	}, nil
}

// admitPoll refuses workers that the configuration does not know and registers new ones.
func (l *leaderState) admitPoll(ctx context.Context, req model.PollRequest) error {
	if req.Epoch > l.term {
		return model.NotRun(model.CodeNoLeader, "worker has seen epoch %d, this leader has %d", req.Epoch, l.term)
	}
	if n := len(req.Tasks) + len(req.Gone); n > maxTasksPerWorker {
		return model.NotRun(model.CodeTooLarge, "%d tasks in one report, at most %d", n, maxTasksPerWorker)
	}
	m := l.replica.Machine()
	if err := checkRack(m.Config(), req.Worker); err != nil {
		return err
	}
	if known, ok := m.Worker(req.Worker.Name); ok && known == req.Worker {
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

func (l *leaderState) sendEvent(ctx context.Context, e event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
}

// holdPoll waits until a command is queued or the wait is over.
func (l *leaderState) holdPoll(ctx context.Context, w *session, wait time.Duration, keep func(model.Command) bool) {
	if wait <= 0 || len(w.commandsToSend(keep)) > 0 {
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

// deliverable holds starts back in a data centre that is out of service.
func (l *leaderState) deliverable(dc string, c model.Command) bool {
	return c.Kind != model.CommandStart || l.replica.Machine().Config().InService(dc)
}
