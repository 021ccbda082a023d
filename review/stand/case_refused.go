package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	refusedRounds  = 12
	burstClients   = 24
	roundPause     = 6 * time.Second
	attemptsPerJob = 4
)

// handIn is what a client saw of a job that it handed in.
type handIn struct {
	id       string
	rejected bool // all attempts were rejected
	statuses []int
}

// playRefused plays bursts of jobs in which the leader is killed while a key is taken away.
func playRefused(p *play) (string, error) {
	list := p.startExecutors(room{CPU: 100, MemMB: 100})
	for _, e := range list {
		e.work = 300 * time.Millisecond
	}
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	for round := range refusedRounds {
		jobs, err := p.refusedRound(round, list)
		if err != nil {
			return "", err
		}
		sleep(p.ctx, roundPause)
		answers := map[string]int{}
		for _, j := range jobs {
			answers[fmt.Sprint(j.statuses)]++
		}
		p.rec.add("client", "round %d: answers of %d jobs: %v", round, len(jobs), answers)
		for _, j := range jobs {
			if n := p.runs.count(j.id); j.rejected && n > 0 {
				return fmt.Sprintf("all attempts to hand job %s in were rejected (%v), and %d runs of its task have begun", j.id, j.statuses, n), nil
			}
		}
	}
	return "", nil
}

// refusedRound hands in a burst of jobs with the key of the round, which the operator takes away.
func (p *play) refusedRound(round int, list []*executor) ([]*handIn, error) {
	leader := list[0].leader()
	if leader == nil {
		return nil, notRun("the leader is not known")
	}
	if status, _, err := p.order(http.MethodPut, "/config", configWithKey(10+2*round, roundKey(round))); err != nil || status != http.StatusOK {
		return nil, notRun("the key of round %d is not given: %d %v", round, status, err)
	}
	var wg sync.WaitGroup
	jobs := make([]*handIn, burstClients)
	start := make(chan struct{})
	for i := range jobs {
		j := &handIn{id: fmt.Sprintf("%08x%08x", round+1, i), rejected: true}
		jobs[i] = j
		wg.Go(func() {
			<-start
			p.handIn(j, i, roundKey(round))
		})
	}
	close(start)
	sleep(p.ctx, time.Duration(4+3*(round%5))*time.Millisecond)
	if p.trouble {
		leader.signal(syscall.SIGKILL)
		p.rec.add("fault", "round %d: SIGKILL to %s, which leads", round, leader.name)
	}
	// The operator's first attempt meets another control machine than the one that led.
	next := (slices.Index(p.processes, leader) + 1) % controlCount
	_, _, err := p.orderFrom(next, http.MethodPut, "/config", configWithKey(11+2*round, "another-key"))
	wg.Wait()
	return jobs, err
}

func roundKey(round int) string { return fmt.Sprintf("key-of-round-%d", round) }

// handIn hands a job in until it is accepted or rejected for good.
func (p *play) handIn(j *handIn, i int, key string) {
	header := clientHeader()
	header.Set("Authorization", "Bearer "+key)
	body := []byte(`{"spec":"cut","steps":[{"count":1,"cpu":100,"mem-mb":100,"estimate-ms":300}]}`)
	for n := range attemptsPerJob {
		m := p.entries()[(i+n)%entryCount]
		status, _, err := call(p.ctx, clientDeadline, http.MethodPost, "http://"+m.frontAddress()+prefix+j.id, header, body)
		if err != nil {
			status = 0
		}
		j.statuses = append(j.statuses, status)
		switch status {
		case http.StatusOK:
			j.rejected = false
			return
		case http.StatusUnauthorized, http.StatusNotFound:
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default: // no clear response
			j.rejected = false
		}
		sleep(p.ctx, 200*time.Millisecond)
	}
}
