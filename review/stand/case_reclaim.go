package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	reclaimBound = 5900 * time.Millisecond
	// urgentPrefix is the queue of priority 0, on which the guarantees hold.
	urgentPrefix = "/urgent/"
	ownerKey     = "key-of-the-owner"
	guaranteed   = 8 // accelerators
	// borrowers is how many jobs borrow all accelerators; each has two tasks, of which one may be missing.
	borrowers = 8
)

// configWithGuarantee returns a valid configuration with a second queue of priority 0 and a second tenant with a guarantee.
func configWithGuarantee(version int) ([]byte, error) {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 1500,
			"priority": priority, "service": service, "max-attempts": 4, "stretch": 3.0, "public": false,
		}
	}
	tenant := func(name, key string, gpu int) map[string]any {
		return map[string]any{"name": name, "api-keys": []string{key}, "priority": 1, "guaranteed": map[string]int{"gpu": gpu}}
	}
	return encode(map[string]any{
		"version": version,
		"routes":  []any{route("r-cut", prefix, 1), route("r-urgent", urgentPrefix, 0)},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
			"admission-control": true, "standby": false,
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{tenant("tenant", clientKey, 0), tenant("owner", ownerKey, guaranteed)},
	})
}

// playReclaim plays a tenant that asks for what is guaranteed to it, while jobs of another tenant that last use all
// accelerators.
func playReclaim(p *play) (string, error) {
	list := p.startExecutors(smallTask)
	for _, e := range list {
		e.mu.Lock()
		e.startup = taskStartup
		e.mu.Unlock()
	}
	if err := p.awaitAnswers(list); err != nil {
		return "", err
	}
	config, err := configWithGuarantee(2)
	if err != nil {
		return "", err
	}
	if status, _, err := p.order(http.MethodPut, "/config", config); err != nil || status != http.StatusOK {
		return "", notRun("the configuration was answered with %d: %v", status, err)
	}
	if p.trouble {
		step := stepOf(2, smallTask, time.Second)
		step["persistent"], step["may-miss"] = true, 1
		for i := range borrowers {
			if err := p.submit(fmt.Sprintf("7d1f8b32ea5c470%d", i), []any{step}, "serve"); err != nil {
				return "", err
			}
		}
		sleep(p.ctx, 3*time.Second)
		p.rec.add("play", "%d runs of %d jobs use all accelerators", p.runs.total(), borrowers)
	}
	const job = "5c0e7a21d94b36f8"
	step := stepOf(1, smallTask, 3*time.Second)
	acked, err := p.submitUrgent(job, step)
	if err != nil {
		return "", err
	}
	for time.Since(acked) < 5*reclaimBound && p.ctx.Err() == nil {
		sleep(p.ctx, 50*time.Millisecond)
		if p.runs.count(job) > 0 {
			if took := time.Since(acked); took > reclaimBound {
				return fmt.Sprintf("the guaranteed job begins %.1f s after its acknowledgement, over %v", took.Seconds(), reclaimBound), nil
			}
			return "", nil
		}
	}
	return fmt.Sprintf("the guaranteed job, which needs %d of %d accelerators, has not begun %.1f s after its acknowledgement; the bound is %v",
		smallTask.GPU, guaranteed, time.Since(acked).Seconds(), reclaimBound), nil
}

// submitUrgent hands a job of the owner in on the queue of priority 0 and returns when it was acknowledged.
func (p *play) submitUrgent(id string, step map[string]any) (time.Time, error) {
	body, err := encode(map[string]any{"spec": "cut", "steps": []any{step}})
	if err != nil {
		return time.Time{}, err
	}
	header := clientHeader()
	header.Set("Authorization", "Bearer "+ownerKey)
	m := p.entries()[0]
	status, data, err := call(p.ctx, clientDeadline, http.MethodPost, "http://"+m.frontAddress()+urgentPrefix+id, header, body)
	p.rec.add("client", "POST %s%s at %s: %d %s %v", urgentPrefix, id, m.name, status, strings.TrimSpace(string(data)), errText(err))
	if err != nil || status != http.StatusOK {
		return time.Time{}, notRun("the urgent job was answered with %d: %v", status, err)
	}
	return time.Now(), nil
}
