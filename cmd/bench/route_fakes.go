package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"turmericroute/fakes"
	"turmericroute/model"
)

// headerWorkTime is the header with the service time of a request at its executor, in microseconds.
const headerWorkTime = "X-Work-Us"

// fakesRequest is one operation for the process with the fake executors.
type fakesRequest struct {
	Op string `json:"op"` // start, set, reset, stats
	// Count, Slots and DataCentres describe the executors to start.
	Count       int      `json:"n,omitempty"`
	Slots       int      `json:"slots,omitempty"`
	DataCentres []string `json:"dcs,omitempty"`
	// From and To select the executors From to To-1 by index; SlowFactor multiplies their service times.
	From         int     `json:"from,omitempty"`
	To           int     `json:"to,omitempty"`
	SlowFactor   float64 `json:"slow,omitempty"`
	ConnRequests int     `json:"conn_requests,omitempty"`
	ResetShare   float64 `json:"reset_share,omitempty"`
	// NotRun lists the IDs of requests that were reported as not run.
	NotRun []string `json:"not_run,omitempty"`
}

// fakesResponse is the response of the process with the fake executors.
type fakesResponse struct {
	Upstreams []model.Upstream `json:"upstreams,omitempty"`
	Starts    int              `json:"starts"`
	Refused   int              `json:"refused"`
	// DoubleKeys counts the keys whose request ran more than once over all executors.
	DoubleKeys int `json:"double_keys"`
	// FalseNotRun counts the requests of NotRun that did run.
	FalseNotRun    int `json:"false_not_run"`
	MaxInUse       int `json:"max_in_use"`
	MaxConnections int `json:"max_connections"`
	// LastStartNS is the Unix time of the last request start by executor name, in nanoseconds.
	LastStartNS map[string]int64 `json:"last_start_ns,omitempty"`
}

type fakesProcess struct{ upstreams []*fakes.Upstream }

func runFakes() error {
	p := &fakesProcess{}
	return serveLines(p.handle)
}

func (p *fakesProcess) handle(req fakesRequest) (fakesResponse, error) {
	switch req.Op {
	case "start":
		return p.start(req)
	case "set":
		for _, u := range p.upstreams[req.From:req.To] {
			u.SetBehaviour(behaviour(req))
		}
	case "reset":
		for _, u := range p.upstreams {
			u.ResetLedger()
		}
	case "stats":
		return p.stats(req), nil
	default:
		return fakesResponse{}, fmt.Errorf("unknown operation %q", req.Op)
	}
	return fakesResponse{}, nil
}

func behaviour(req fakesRequest) fakes.Behaviour {
	slow := max(1, req.SlowFactor)
	return fakes.Behaviour{ConnRequests: req.ConnRequests, ResetShare: req.ResetShare, DelayFunc: func(r *http.Request) time.Duration {
		us, err := strconv.ParseFloat(r.Header.Get(headerWorkTime), 64)
		if err != nil {
			return 0
		}
		return time.Duration(us * slow * float64(time.Microsecond))
	}}
}

func (p *fakesProcess) start(req fakesRequest) (fakesResponse, error) {
	var resp fakesResponse
	for _, u := range p.upstreams {
		u.Close()
	}
	p.upstreams = nil
	for i := range req.Count {
		u, err := fakes.StartUpstream(fakes.UpstreamConfig{OmitContents: true, Behaviour: behaviour(req), Upstream: model.Upstream{
			Name: fmt.Sprintf("u%03d", i), Incarnation: uint64(time.Now().UnixNano()), Service: serviceName,
			DataCentre: req.DataCentres[i%len(req.DataCentres)], Slots: req.Slots, Connections: 64,
		}})
		if err != nil {
			return resp, err
		}
		p.upstreams = append(p.upstreams, u)
		resp.Upstreams = append(resp.Upstreams, u.Upstream())
	}
	return resp, nil
}

func (p *fakesProcess) stats(req fakesRequest) fakesResponse {
	resp := fakesResponse{LastStartNS: map[string]int64{}}
	runs := map[string]int{}
	for _, u := range p.upstreams {
		resp.MaxInUse = max(resp.MaxInUse, u.MaxInUse())
		resp.MaxConnections = max(resp.MaxConnections, u.MaxConnections())
		for id, run := range u.Ledger() {
			runs[id] += run.Started
			resp.Starts += run.Started
			resp.Refused += run.Refused
			if at := run.StartedAt.UnixNano(); run.Started > 0 && at > resp.LastStartNS[u.Upstream().Name] {
				resp.LastStartNS[u.Upstream().Name] = at
			}
		}
	}
	for id, n := range runs {
		if n > 1 && strings.HasPrefix(id, keyPrefix) {
			resp.DoubleKeys++
		}
	}
	for _, id := range req.NotRun {
		if runs[id] > 0 {
			resp.FalseNotRun++
		}
	}
	return resp
}
