package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// cancelBound is how long after the acknowledgement of a cancelling tasks of the job may run on.
	cancelBound = 3 * time.Second
)

// playLateSubmit plays jobs that are handed in at a machine that freezes, and cancelled when no response has come.
func playLateSubmit(p *play) (string, error) {
	list := p.startExecutors(smallTask)
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	m, other := p.entries()[0], p.entries()[1]
	way, err := p.newLink(linkIP, m.frontAddress())
	if err != nil {
		return "", err
	}
	body, err := encode(map[string]any{"spec": "cut", "steps": []any{stepOf(1, smallTask, 30*time.Second)}})
	if err != nil {
		return "", err
	}
	send := func(method, address, id string, body []byte) int {
		status, _, err := call(p.ctx, clientDeadline, method, "http://"+address+prefix+id, clientHeader(), body)
		p.rec.add("client", "%s %s at %s: %d %v", method, id, address, status, errText(err))
		return status
	}
	if status := send(http.MethodGet, way.address(), "", nil); status != http.StatusOK {
		return "", notRun("the queue was answered with %d", status)
	}
	if p.trouble {
		p.rec.add("fault", "%s (%s) is frozen", m.name, way.address())
		way.freeze()
		m.signal(syscall.SIGSTOP)
	}
	begun := time.Now()
	const job = "5c0e7a21d94b36f8"
	send(http.MethodPost, way.address(), job, body)
	status := send(http.MethodDelete, other.frontAddress(), job, nil)
	if status != http.StatusOK && status != http.StatusGone {
		return "", notRun("the cancelling was answered with %d", status)
	}
	acked := time.Now()
	sleep(p.ctx, freezeTime-time.Since(begun))
	if p.trouble {
		p.rec.add("fault", "%s wakes", m.name)
		m.signal(syscall.SIGCONT)
		way.wake()
	}
	sleep(p.ctx, 3*cancelBound-time.Since(acked))
	state := p.state(job)
	if n := p.runs.going(job); n > 0 {
		return fmt.Sprintf("%d task of a job runs %.0f s after its cancelling was acknowledged with %d; the job is shown as %s", n, time.Since(acked).Seconds(), status, state), nil
	}
	return "", nil
}
