package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// playOtherWriter plays one entry of another writer: it lacks fields that executors send, names a service that no
// configuration has, and gives the address of a sound executor.
func playOtherWriter(p *play) (string, error) {
	list := p.startExecutors(smallTask)
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	const job = "5c0e7a21d94b36f8"
	if err := p.submit(job, []any{stepOf(2, smallTask, 30*time.Second)}, "cut"); err != nil {
		return "", err
	}
	sleep(p.ctx, 2*time.Second)
	if list[0].runningRun(fmt.Sprintf("%s.0.0.0", job)) == 0 {
		return "", notRun("no task of the job runs on %s", list[0].id)
	}
	if p.trouble {
		body, err := json.Marshal(map[string]any{
			"service": "another-service", "address": list[0].address, "zone": list[0].zone, "state": "ready", "seq": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return "", fmt.Errorf("encode entry: %w", err)
		}
		node := p.entries()[1]
		status, data, err := call(p.ctx, answerTimeout, http.MethodPut, "http://"+node.controlAddress()+"/instances/x-0", nil, body)
		p.rec.add("fault", "another writer sends PUT /instances/x-0 %s to %s: %d %s %v", body, node.name, status, data, errText(err))
	}
	sleep(p.ctx, 8*time.Second)
	return p.runs.overlap(), nil
}
