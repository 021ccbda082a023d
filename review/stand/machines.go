package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep, as the settings say.
const upkeepTime = 2 * time.Second

// machineService stands in for the platform's service that has machines maintained.
type machineService struct {
	play *play
	// onUpkeep is called with the executors on a machine and the tasks at work there before its upkeep ends them.
	onUpkeep func(e *executor, tasks []string)

	mu        sync.Mutex
	executors map[string]*executor // by machine
	lives     map[string]int
	waves     map[string]int64 // the wave for which the machine has had its upkeep
	fences    map[string]uint64
}

func newMachineService(p *play, list []*executor) *machineService {
	s := &machineService{play: p, executors: map[string]*executor{}, lives: map[string]int{}, waves: map[string]int64{}, fences: map[string]uint64{}}
	for _, e := range list {
		s.executors[e.machine] = e
	}
	return s
}

// serve listens at the machines address that the settings name.
func (s *machineService) serve() error {
	l, err := net.Listen("tcp", s.play.machinesAddress())
	if err != nil {
		return notRun("the machine service cannot listen: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /machine-upkeep", s.upkeep)
	srv := &http.Server{Handler: mux}
	s.play.wg.Go(func() { _ = srv.Serve(l) }) // ends with Close
	s.play.wg.Go(func() {
		<-s.play.ctx.Done()
		_ = srv.Close() // the play has ended
	})
	return nil
}

// upkeep ends everything that runs on a machine; a new executor joins after upkeepTime.
func (s *machineService) upkeep(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var fence uint64
	_, _ = fmt.Sscan(r.Header.Get("Turmericroute-Fencing-Token"), &fence) // a missing token counts as 0
	status, reason := s.begin(q.Machine, q.Wave, fence)
	s.play.rec.add("upkeep", "%s orders upkeep of %s for wave %d with token %d: %d %s", r.Header.Get("Turmericroute-Lease-Holder"), q.Machine, q.Wave, fence, status, reason)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body, err := json.Marshal(map[string]string{"reason": reason})
	if err != nil {
		panic(err) // all values can be encoded
	}
	_, _ = w.Write(body) // the caller may have left
}

func (s *machineService) begin(machine string, wave int64, fence uint64) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.executors[machine]
	done, known := s.waves[machine]
	switch {
	case fence < s.fences[machine]:
		return http.StatusConflict, "fence"
	case known && done == wave:
		return http.StatusOK, ""
	case e == nil:
		return http.StatusConflict, "busy"
	}
	s.fences[machine], s.waves[machine] = fence, wave
	s.executors[machine] = nil
	if s.onUpkeep != nil {
		s.onUpkeep(e, e.atWork())
	}
	e.crash()
	s.lives[machine]++
	life := s.lives[machine]
	s.play.wg.Go(func() {
		sleep(s.play.ctx, upkeepTime)
		if s.play.ctx.Err() != nil {
			return
		}
		next := e.nextLife(fmt.Sprintf("%s-life-%d", machine, life+1))
		s.play.rec.add("upkeep", "%s is back, with the executor %s", machine, next.id)
		s.mu.Lock()
		s.executors[machine] = next
		s.mu.Unlock()
		next.run()
	})
	return http.StatusOK, ""
}

// present returns the executors of the machines that are up.
func (s *machineService) present() []*executor {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*executor
	for _, e := range s.executors {
		if e != nil {
			list = append(list, e)
		}
	}
	return list
}

// tasksAtWork returns the tasks that last and are at work on any machine.
func (s *machineService) tasksAtWork() []string {
	var list []string
	for _, e := range s.present() {
		list = append(list, e.atWork()...)
	}
	return list
}
