package main

import (
	"net/http"
	"time"
)

// servedBy is how long a deployment may take to serve its first request.
const servedBy = 40 * time.Second

// playSeeds plays the first start of a deployment whose seeds are three entries.
func playSeeds(p *play) (string, error) {
	var status int
	for until := time.Now().Add(servedBy); time.Now().Before(until); sleep(p.ctx, 500*time.Millisecond) {
		for _, m := range p.processes {
			var err error
			status, _, err = call(p.ctx, operatorTimeout, http.MethodPut, "http://"+m.controlAddress()+"/config", nil, configDocument(1))
			if err == nil && status == http.StatusOK {
				p.rec.add("operator", "the first configuration is acknowledged by %s", m.name)
				return "", nil
			}
			if err == nil {
				p.rec.add("operator", "PUT /config at %s: %d", m.name, status)
			}
		}
	}
	return "no process has acknowledged the first configuration, and so none serves a request", nil
}
