package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// evacuateBound is how long after an evacuation is acknowledged tasks may still start in its zone.
	evacuateBound = 5 * time.Second
	// freezeTime is how long a machine stands still.
	freezeTime = 3500 * time.Millisecond
	// linkIP is the last byte of the address of the link to the machine that freezes.
	linkIP = 200
)

// playLateOrder plays an evacuation that is taken back and ordered again, while a machine is frozen to which the order
// to take it back was sent first.
func playLateOrder(p *play) (string, error) {
	list := p.startExecutors(smallTask)
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	const zone = "zone-a"
	path := "/evacuations/" + zone
	m := p.follower(list[0].leader())
	way, err := p.newLink(linkIP, m.controlAddress())
	if err != nil {
		return "", err
	}
	send := func(address, method string) bool {
		status, _, err := call(p.ctx, operatorTimeout, method, "http://"+address+path, nil, nil)
		p.rec.add("operator", "%s %s at %s: %d %v", method, path, address, status, errText(err))
		return err == nil && status == http.StatusOK
	}
	if !send(way.address(), http.MethodPost) {
		return "", notRun("the first evacuation was not acknowledged")
	}
	sleep(p.ctx, time.Second)
	if p.trouble {
		p.rec.add("fault", "%s (%s) is frozen", m.name, way.address())
		way.freeze()
		m.signal(syscall.SIGSTOP)
	}
	begun, other := time.Now(), p.entries()[0].controlAddress()
	if !send(way.address(), http.MethodDelete) && !send(other, http.MethodDelete) {
		return "", notRun("taking the evacuation back was not acknowledged")
	}
	sleep(p.ctx, 500*time.Millisecond)
	if !send(other, http.MethodPost) {
		return "", notRun("the second evacuation was not acknowledged")
	}
	acked := time.Now()
	sleep(p.ctx, freezeTime-time.Since(begun))
	if p.trouble {
		p.rec.add("fault", "%s wakes", m.name)
		m.signal(syscall.SIGCONT)
		way.wake()
	}
	sleep(p.ctx, evacuateBound+500*time.Millisecond-time.Since(acked))
	before := p.rec.at()
	const job = "5c0e7a21d94b36f8"
	if err := p.submit(job, []any{stepOf(16, smallTask, 30*time.Second)}, "cut"); err != nil {
		return "", err
	}
	sleep(p.ctx, 3*time.Second)
	if n := p.runs.startsIn(zoneExecutors(list, zone), before); n > 0 {
		return fmt.Sprintf("%d tasks start in %s, over %v after its evacuation was acknowledged, and nobody has taken that back", n, zone, evacuateBound), nil
	}
	return "", nil
}

// follower returns a control process that does not lead.
func (p *play) follower(leader *process) *process {
	for _, m := range p.controls() {
		if m != leader {
			return m
		}
	}
	return nil
}

func zoneExecutors(list []*executor, zone string) map[string]bool {
	in := map[string]bool{}
	for _, e := range list {
		if e.zone == zone {
			in[e.id] = true
		}
	}
	return in
}
