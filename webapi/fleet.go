package webapi

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
)

const (
	// maxPollWaitMS bounds how long the leader holds a poll.
	maxPollWaitMS = 500
	// maxTaskReports bounds the task reports in one poll.
	maxTaskReports = 1024
	// maxSlots bounds both the slots and the connections that an upstream announces.
	maxSlots = 4096
	// maxHealthPathBytes bounds the health path that an upstream announces.
	maxHealthPathBytes = 256
)

// Status describes an instance and summarises its copy of the state.
type Status struct {
	Replica       state.ReplicaStatus    `json:"replica"`
	ConfigVersion uint64                 `json:"config_version"`
	Ready         bool                   `json:"ready"`
	NotReady      string                 `json:"not_ready,omitempty"`
	Workers       int                    `json:"workers"`
	Upstreams     int                    `json:"upstreams"`
	Jobs          map[model.JobState]int `json:"jobs"`
	OutOfService  []string               `json:"out_of_service"`
	Drained       int                    `json:"drained_workers"`
	// Peers are all instances of the deployment.
	Peers []Peer `json:"peers,omitempty"`
	// Executors counts the upstream executors of each service as this instance observes them.
	Executors []ExecutorCounts `json:"executors,omitempty"`
}

// Peer is one instance of the deployment.
type Peer struct {
	Name        string `json:"name"`
	HTTPAddress string `json:"http_address"`
	Control     bool   `json:"control"`
}

// ExecutorCounts counts the executors of a service by their state as one instance observes it.
type ExecutorCounts struct {
	Service string `json:"service"`
	// Usable executors receive requests; ejected ones failed or were slow; silent ones do not answer probes.
	Usable  int `json:"usable"`
	Ejected int `json:"ejected"`
	Silent  int `json:"silent"`
	// Left counts the executors that announced their departure.
	Left int `json:"left"`
	// Queued counts the requests that wait for an executor.
	Queued int `json:"queued"`
}

func (a *api) listWorkers(r *http.Request) (any, error) {
	if err := a.readBarrier(r.Context()); err != nil {
		return nil, err
	}
	return a.Replica.Machine().Workers(), nil
}

func (a *api) listUpstreams(r *http.Request) (any, error) {
	if err := a.readBarrier(r.Context()); err != nil {
		return nil, err
	}
	return a.Replica.Machine().Upstreams(), nil
}

// getStatus describes this instance from its local copy of the state, which may be stale.
func (a *api) getStatus(*http.Request) (any, error) {
	m := a.Replica.Machine()
	cfg := m.Config()
	s := Status{
		Replica: a.Replica.Status(), ConfigVersion: cfg.Version, Ready: true,
		Workers: len(m.Workers()), Jobs: map[model.JobState]int{}, OutOfService: []string{}, Drained: len(cfg.DrainedWorkers),
		Peers: a.Peers,
	}
	left := map[string]int{}
	for _, u := range m.Upstreams() {
		if u.Left {
			left[u.Service]++
		} else {
			s.Upstreams++
		}
	}
	s.Executors = a.executorCounts(left)
	for _, j := range m.Jobs() {
		s.Jobs[j.State]++
	}
	for _, dc := range cfg.DataCentres {
		if dc.OutOfService {
			s.OutOfService = append(s.OutOfService, dc.Name)
		}
	}
	if err := a.ready(); err != nil {
		s.Ready, s.NotReady = false, err.Error()
	}
	return s, nil
}

// executorCounts returns the observed counts, with the departures in left added by service.
func (a *api) executorCounts(left map[string]int) []ExecutorCounts {
	if a.Executors == nil {
		return nil
	}
	list := a.Executors()
	for i := range list {
		list[i].Left = left[list[i].Service]
	}
	return list
}

func (a *api) ready() error {
	if a.Ready == nil {
		return nil
	}
	return a.Ready()
}

func (a *api) getReady(*http.Request) (any, error) {
	if err := a.ready(); err != nil {
		return nil, model.NotRun(model.CodeUnavailable, "not ready: %v", err)
	}
	return map[string]bool{"ready": true}, nil
}

func (a *api) getDump(*http.Request) (any, error) {
	if a.Dump == nil {
		return nil, model.NotRun(model.CodeUnavailable, "this process provides no dump")
	}
	return a.Dump(), nil
}

// pollWorker forwards a worker's poll to the leader.
func (a *api) pollWorker(r *http.Request) (any, error) {
	name, err := pathName(r, "name")
	if err != nil {
		return nil, err
	}
	if err := checkSubject(r, name); err != nil {
		return nil, err
	}
	var req model.PollRequest
	if err := decodeBody(r, maxPollBytes, &req); err != nil {
		return nil, err
	}
	if faults := pollFaults(name, req); len(faults) > 0 {
		return nil, config.InvalidError("poll is not valid", faults)
	}
	req.WaitMS = min(req.WaitMS, maxPollWaitMS)
	res, err := a.Replica.Poll(r.Context(), req)
	if err != nil {
		return nil, fmt.Errorf("poll leader: %w", err)
	}
	return res, nil
}

func pollFaults(name string, req model.PollRequest) []config.Fault {
	var f config.Faults
	w := req.Worker
	if w.Name != name {
		f.Add("worker.name", "is %q, but the path names %q", w.Name, name)
	}
	f.CheckName("worker.data_centre", w.DataCentre)
	f.CheckName("worker.rack", w.Rack)
	f.CheckName("worker.incarnation", w.Incarnation)
	f = append(f, config.CheckResources("worker.capacity", w.Capacity)...)
	f.CheckRange("tasks", len(req.Tasks), 0, maxTaskReports)
	if req.WaitMS < 0 {
		f.Add("wait_ms", "is negative")
	}
	for i, t := range req.Tasks {
		key := fmt.Sprintf("tasks[%d]", i)
		f.CheckName(key+".id.job", t.ID.Job)
		f.CheckRange(key+".id.index", t.ID.Index, 0, config.MaxTasks-1)
		if t.ID.Attempt < 1 {
			f.Add(key+".id.attempt", "is %d, must be 1 or more", t.ID.Attempt)
		}
		if t.Progress < 0 || t.Checkpoint < 0 {
			f.Add(key, "progress and checkpoint must not be negative")
		}
	}
	return f
}

// announceUpstream commits an announcement only if it changes the registered
// upstream, so that heartbeats add no entries to the replicated log.
func (a *api) announceUpstream(r *http.Request) (any, error) {
	name, err := pathName(r, "name")
	if err != nil {
		return nil, err
	}
	if err := checkSubject(r, name); err != nil {
		return nil, err
	}
	var u model.Upstream
	if err := decodeBody(r, maxUpstreamBytes, &u); err != nil {
		return nil, err
	}
	if faults := upstreamFaults(name, u); len(faults) > 0 {
		return nil, config.InvalidError("announcement is not valid", faults)
	}
	u.Left = false
	old, ok := a.Replica.Machine().Upstream(name)
	if ok && old.Left && old.Incarnation >= u.Incarnation {
		// A departure is final, so a stale local copy is sufficient to refuse.
		return nil, model.NotRun(model.CodeConflict, "incarnation %d of upstream %s has left", u.Incarnation, name)
	}
	if age := a.Replica.ViewAge(); age > model.MaxViewAge {
		return nil, model.NotRun(model.CodeStaleView, "the view of the state is %d ms old", age.Milliseconds())
	}
	if _, known := a.Replica.Machine().Config().Service(u.Service); !known {
		return nil, model.NotRun(model.CodeNotFound, "no service %s", u.Service)
	}
	if _, known := a.Replica.Machine().Config().DataCentre(u.DataCentre); !known {
		return nil, model.NotRun(model.CodeNotFound, "no data centre %s", u.DataCentre)
	}
	if ok && old == u {
		return u, nil
	}
	if _, err := a.execute(r.Context(), state.AnnounceUpstream{Upstream: u}); err != nil {
		return nil, err
	}
	return u, nil
}

func upstreamFaults(name string, u model.Upstream) []config.Fault {
	var f config.Faults
	if u.Name != name {
		f.Add("name", "is %q, but the path names %q", u.Name, name)
	}
	f.CheckName("service", u.Service)
	f.CheckName("data_centre", u.DataCentre)
	f.CheckRange("slots", u.Slots, 1, maxSlots)
	f.CheckRange("connections", u.Connections, 1, maxSlots)
	if u.Incarnation == 0 {
		f.Add("incarnation", "must be 1 or more")
	}
	if p := u.HealthPath; p != "" && (p[0] != '/' || len(p) > maxHealthPathBytes || strings.ContainsAny(p, "?# \t\r\n")) {
		f.Add("health_path", "%q is not a path that starts with / and has at most %d bytes", p, maxHealthPathBytes)
	}
	host, port, err := net.SplitHostPort(u.Address)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || n == 0 || net.ParseIP(host) == nil {
		f.Add("address", "%q is not an IP address and port", u.Address)
	}
	return f
}

// leaveUpstream commits the departure of an incarnation of an upstream.
func (a *api) leaveUpstream(r *http.Request) (any, error) {
	name, err := pathName(r, "name")
	if err != nil {
		return nil, err
	}
	if err := checkSubject(r, name); err != nil {
		return nil, err
	}
	var req struct {
		Incarnation uint64 `json:"incarnation"`
	}
	if err := decodeBody(r, maxUpstreamBytes, &req); err != nil {
		return nil, err
	}
	if req.Incarnation == 0 {
		return nil, model.NotRun(model.CodeInvalid, "incarnation must be 1 or more")
	}
	if _, err := a.execute(r.Context(), state.LeaveUpstream{Name: name, Incarnation: req.Incarnation}); err != nil {
		return nil, err
	}
	return map[string]bool{"left": true}, nil
}
