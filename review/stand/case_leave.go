package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// announcedDrain is the time that a leaving executor announces.
	announcedDrain = 2500 * time.Millisecond
	// leaveCut is how long its machine is cut off when it sends the notice that it has left, and leaveLate when the
	// notice arrives: TCP sends it again after 0.2, 0.6, 1.4 and 3.0 s.
	leaveCut  = 2 * time.Second
	leaveLate = 3 * time.Second
	// startWait bounds the wait for the first run of the new life, which must begin before the notice arrives.
	startWait = 700 * time.Millisecond
)

// playLateLeave plays the planned shutdown of an executor that starts again under its ID, while the notice that its
// former life has left is under way.
func playLateLeave(p *play) (string, error) {
	list := p.startExecutors(smallTask)
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	first := list[0]
	first.mu.Lock()
	first.draining, first.drainLeft = time.Now(), announcedDrain
	first.mu.Unlock()
	p.rec.add("executor", "%s drains", first.id)
	sleep(p.ctx, announcedDrain)
	leader := first.leader()
	if leader == nil {
		return "", notRun("the leader is not known")
	}
	first.crash()
	leave := func() {
		status, _, err := call(p.ctx, answerTimeout, http.MethodDelete, "http://"+leader.controlAddress()+"/instances/"+first.id, nil, nil)
		p.rec.add("late", "DELETE /instances/%s arrives at %s: %d %v", first.id, leader.name, status, errText(err))
	}
	if p.trouble {
		p.rec.add("fault", "%s's machine is cut off for %v; DELETE /instances/%s is held up, and %s exits without an answer", first.id, leaveCut, first.id, first.id)
		p.wg.Go(func() {
			sleep(p.ctx, leaveLate)
			leave()
		})
	} else {
		leave()
	}
	sleep(p.ctx, leaveCut)
	reborn := p.newExecutor(0, first.id, executorRoom)
	reborn.need, reborn.work = first.need, first.work
	p.rec.add("executor", "%s starts again (born %d)", reborn.id, reborn.born)
	reborn.run()
	if err := p.awaitAnswers([]*executor{reborn}); err != nil {
		return "", err
	}
	const job = "5c0e7a21d94b36f8"
	if err := p.submit(job, []any{stepOf(2, smallTask, 30*time.Second)}, "cut"); err != nil {
		return "", err
	}
	if !reborn.awaitRun(fmt.Sprintf("%s.0.0.0", job), startWait) {
		return "", notRun("no task of the job runs on %s", reborn.id)
	}
	sleep(p.ctx, 14*time.Second)
	return p.runs.overlap(), nil
}
