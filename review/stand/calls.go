package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	host      = "shop.example"
	prefix    = "/cut/"
	service   = "desk"
	clientKey = "key-of-the-tenant"
	// operatorTimeout is how long the operator waits for a response before it asks another node.
	operatorTimeout = time.Second
	// clientDeadline is how long clients wait for a response.
	clientDeadline = 3 * time.Second
)

// call sends one HTTP request and returns the status and the body of the response.
func call(ctx context.Context, timeout time.Duration, method, url string, header http.Header, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("create request: %w", err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if h := header.Get("Host"); h != "" {
		req.Host = h
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read response: %w", err)
	}
	return resp.StatusCode, data, nil
}

// configDocument returns a valid configuration.
func configDocument(version int) []byte { return configWithKey(version, clientKey) }

// configWithKey returns a valid configuration in which the tenant has the given key.
func configWithKey(version int, key string) []byte { return encodeConfig(version, key, nil) }

// configWithAdvice returns a valid configuration in which the queue has advice.
func configWithAdvice(version int) []byte {
	return encodeConfig(version, clientKey, map[string]any{
		"decision-ms": adviceDecision.Milliseconds(), "period-ms": advicePeriod.Milliseconds(), "validity-ms": adviceValidity.Milliseconds(),
	})
}

func encodeConfig(version int, key string, advice map[string]any) []byte {
	route := map[string]any{
		"name": "r-cut", "host": host, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 1500,
		"priority": 1, "service": service, "max-attempts": 4, "stretch": 3.0, "public": false,
	}
	if advice != nil {
		route["advice"] = advice
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
			"admission-control": true, "standby": false,
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "api-keys": []string{key}, "priority": 1, "guaranteed": map[string]int{"gpu": 0}}},
	})
	if err != nil {
		panic(err) // the document is fixed
	}
	return data
}

// order sends an order of the operator to one node after the other until it gets a clear response.
func (p *play) order(method, path string, body []byte) (int, []byte, error) {
	return p.orderFrom(0, method, path, body)
}

// orderFrom is order, but begins with the process at an index.
func (p *play) orderFrom(first int, method, path string, body []byte) (int, []byte, error) {
	for i := first; p.ctx.Err() == nil; i++ {
		m := p.processes[i%len(p.processes)]
		status, data, err := call(p.ctx, operatorTimeout, method, "http://"+m.controlAddress()+path, nil, body)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			p.rec.add("operator", "%s %s at %s: %d", method, path, m.name, status)
			return status, data, nil
		}
		sleep(p.ctx, 100*time.Millisecond)
	}
	return 0, nil, notRun("%s %s got no response", method, path)
}

// applyConfig sends a configuration until it is acknowledged.
func (p *play) applyConfig(version int) error {
	ctx, cancel := context.WithTimeout(p.ctx, startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, _, err := call(ctx, operatorTimeout, http.MethodPut, "http://"+p.entries()[0].controlAddress()+"/config", nil, configDocument(version))
		if err == nil && status == http.StatusOK {
			p.rec.add("operator", "configuration %d is acknowledged", version)
			return nil
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return notRun("configuration %d was not acknowledged", version)
}

func clientHeader() http.Header {
	return http.Header{
		"Host": {host}, "Authorization": {"Bearer " + clientKey}, "Content-Type": {"application/json"},
		"Turmericroute-Deadline-Ms": {fmt.Sprint(clientDeadline.Milliseconds())},
	}
}

// submit hands a job in at one entry after the other until it is accepted.
func (p *play) submit(id string, steps []any, spec string) error {
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	for i := range 10 {
		m := p.entries()[i%entryCount]
		status, _, err := call(p.ctx, clientDeadline, http.MethodPost, "http://"+m.frontAddress()+prefix+id, clientHeader(), body)
		p.rec.add("client", "POST %s at %s: %d %v", id, m.name, status, errText(err))
		if err == nil && status == http.StatusOK {
			return nil
		}
		sleep(p.ctx, 300*time.Millisecond)
	}
	return notRun("job %s was not accepted", id)
}

// state asks for the state of a job.
func (p *play) state(id string) string {
	for i := range 10 {
		m := p.entries()[i%entryCount]
		status, data, err := call(p.ctx, clientDeadline, http.MethodGet, "http://"+m.frontAddress()+prefix+id, clientHeader(), nil)
		if err != nil || status >= 500 {
			continue
		}
		var a struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &a) == nil {
			p.rec.add("client", "GET %s at %s: %d %s", id, m.name, status, a.State)
			return a.State
		}
		p.rec.add("client", "GET %s at %s: %d", id, m.name, status)
		return fmt.Sprint(status)
	}
	return "no answer"
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// encode returns the JSON form of a request's body.
func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode body: %w", err)
	}
	return data, nil
}
