package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	adviceExecutors = 48
	rackSize        = 6
	adviceDecision  = 20 * time.Millisecond
	advicePeriod    = 2 * time.Millisecond // for each worker named
	adviceValidity  = 3 * time.Second
)

// adviceService stands in for the service that knows which executors may run a step.
type adviceService struct {
	play *play
	good []string
}

// serve listens at the advice address that the settings name.
func (a *adviceService) serve() error {
	l, err := net.Listen("tcp", a.play.adviceAddress())
	if err != nil {
		return notRun("the advice service cannot listen: %v", err)
	}
	srv := &http.Server{Handler: a}
	a.play.wg.Go(func() { _ = srv.Serve(l) }) // ends with Close
	a.play.wg.Go(func() {
		<-a.play.ctx.Done()
		_ = srv.Close() // the play has ended
	})
	return nil
}

// ServeHTTP answers POST /advise with a ticket for each worker named that may run the step.
func (a *adviceService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sleep(r.Context(), adviceDecision+time.Duration(len(q.Workers))*advicePeriod)
	rows := [][]string{}
	for _, id := range q.Workers {
		if slices.Contains(a.good, id) {
			rows = append(rows, []string{id, "ticket-" + q.Step + "-" + id})
		}
	}
	a.play.rec.add("advice", "step %s: asked for %d workers, %s to %s; %d of them may run it", q.Step, len(q.Workers), slices.Min(q.Workers), slices.Max(q.Workers), len(rows))
	data, err := json.Marshal(map[string]any{"good": rows, "validity-ms": adviceValidity.Milliseconds()})
	if err != nil {
		panic(err) // all values can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the caller may have left
}

// playAdvice plays a job on a queue whose policy allows the executors of one rack.
func playAdvice(p *play) (string, error) {
	need := room{CPU: 4000, MemMB: 8000, GPU: 1}
	var list []*executor
	for i := range adviceExecutors {
		e := p.newExecutor(i, fmt.Sprintf("e-%02d", i), executorRoom)
		e.labels = []string{"a", fmt.Sprintf("r-%d", i/rackSize)}
		e.need, e.work = func(string) room { return need }, 2*time.Second
		e.tickets = true
		e.run()
		list = append(list, e)
	}
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	rack := 0
	if p.trouble {
		rack = adviceExecutors/rackSize - 1
	}
	a := &adviceService{play: p}
	for _, e := range list[rack*rackSize : (rack+1)*rackSize] {
		a.good = append(a.good, e.id)
	}
	if err := a.serve(); err != nil {
		return "", err
	}
	status, _, err := p.order(http.MethodPut, "/config", configWithAdvice(2))
	if err != nil || status != http.StatusOK {
		return "", notRun("the configuration with advice is not acknowledged: %d %v", status, err)
	}
	p.rec.add("advice", "the policy allows the %d executors of rack r-%d: %s", len(a.good), rack, strings.Join(a.good, " "))
	const job = "5c0e7a21d94b36f8"
	if err := p.submit(job, []any{stepOf(4, need, 2*time.Second)}, "cut"); err != nil {
		return "", err
	}
	sleep(p.ctx, 3*time.Second)
	return p.unfinished(job), nil
}
