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

// headerWork carries the time that a request takes at its executor, in microseconds.
const headerWork = "X-Work-Us"

// standRequest asks the process of stand-ins to do one thing.
type standRequest struct {
	Op string `json:"op"` // start, set, reset, stats
	// N, Slots and DCs describe the executors to start.
	N     int      `json:"n,omitempty"`
	Slots int      `json:"slots,omitempty"`
	DCs   []string `json:"dcs,omitempty"`
	// From and To name the executors by number; Slow multiplies their time.
	From         int     `json:"from,omitempty"`
	To           int     `json:"to,omitempty"`
	Slow         float64 `json:"slow,omitempty"`
	ConnRequests int     `json:"conn_requests,omitempty"`
	ResetShare   float64 `json:"reset_share,omitempty"`
	// NotRun lists requests that were reported as not run.
	NotRun []string `json:"not_run,omitempty"`
}

// standResponse is the answer of the process of stand-ins.
type standResponse struct {
	Upstreams []model.Upstream `json:"upstreams,omitempty"`
	Starts    int              `json:"starts"`
	Refused   int              `json:"refused"`
	// DoubleKeys counts keys that ran more than once over all executors.
	DoubleKeys int `json:"double_keys"`
	// FalseNotRun counts requests of NotRun that ran.
	FalseNotRun    int `json:"false_not_run"`
	MaxInUse       int `json:"max_in_use"`
	MaxConnections int `json:"max_connections"`
	// LastStartNS is the time of the last start by executor.
	LastStartNS map[string]int64 `json:"last_start_ns,omitempty"`
}

type standProcess struct{ ups []*fakes.Upstream }

func runStand() error {
	p := &standProcess{}
	return answerLines(p.serve)
}

func (p *standProcess) serve(req standRequest) (standResponse, error) {
	switch req.Op {
	case "start":
		return p.start(req)
	case "set":
		for _, u := range p.ups[req.From:req.To] {
			u.SetBehaviour(behaviour(req))
		}
	case "reset":
		for _, u := range p.ups {
			u.ResetLedger()
		}
	case "stats":
		return p.stats(req), nil
	default:
		return standResponse{}, fmt.Errorf("unknown operation %q", req.Op)
	}
	return standResponse{}, nil
}

func behaviour(req standRequest) fakes.Behaviour {
	slow := max(1, req.Slow)
	return fakes.Behaviour{ConnRequests: req.ConnRequests, ResetShare: req.ResetShare, DelayFunc: func(r *http.Request) time.Duration {
		us, err := strconv.ParseFloat(r.Header.Get(headerWork), 64)
		if err != nil {
			return 0
		}
		return time.Duration(us * slow * float64(time.Microsecond))
	}}
}

func (p *standProcess) start(req standRequest) (standResponse, error) {
	var resp standResponse
	for _, u := range p.ups {
		u.Close()
	}
	p.ups = nil
	for i := range req.N {
		u, err := fakes.StartUpstream(fakes.UpstreamConfig{OmitContents: true, Behaviour: behaviour(req), Upstream: model.Upstream{
			Name: fmt.Sprintf("u%03d", i), Incarnation: uint64(time.Now().UnixNano()), Service: serviceName,
			DataCentre: req.DCs[i%len(req.DCs)], Slots: req.Slots, Connections: 64,
		}})
		if err != nil {
			return resp, err
		}
		p.ups = append(p.ups, u)
		resp.Upstreams = append(resp.Upstreams, u.Upstream())
	}
	return resp, nil
}

func (p *standProcess) stats(req standRequest) standResponse {
	resp := standResponse{LastStartNS: map[string]int64{}}
	runs := map[string]int{}
	for _, u := range p.ups {
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
