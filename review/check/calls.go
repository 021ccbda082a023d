package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// httpClient opens a connection for each call, so that nothing is left of earlier ones.
var httpClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call makes one call with a time limit and returns its status and body.
func call(ctx context.Context, limit time.Duration, method, address, path string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encode call: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil, fmt.Errorf("create call: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Turmericroute-Deadline-Ms", "3000")
	req.Host = host
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("call %s: %w", address, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read answer of %s: %w", address, err)
	}
	return resp.StatusCode, data, nil
}

// operate makes an operator's call until it is acknowledged, at one machine after the other.
func (d *deployment) operate(ctx context.Context, method, path string, body any) error {
	for i := 0; ctx.Err() == nil; i++ {
		m := d.all[i%len(d.all)]
		status, _, err := call(ctx, time.Second, method, m.address(controlPort), path, body)
		if err == nil && status == http.StatusOK {
			d.rec.note("operator: %s %s at %s: %d", method, path, m.name, status)
			return nil
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return fmt.Errorf("%s %s was refused with %d", method, path, status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New(path + " was not acknowledged in time")
}

// configuration is a configuration with one queue, one service and one tenant.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 4000,
			"priority": 1, "service": service, "max-attempts": 4, "stretch": 3.0, "public": false,
		}},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
			"admission-control": true, "standby": false,
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api-keys": []string{key}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	}
}

// submit hands a job in until it is accepted.
func (d *deployment) submit(ctx context.Context, id string, step map[string]any) error {
	body := map[string]any{"spec": "work of " + id, "steps": []any{step}}
	for i := 0; ctx.Err() == nil; i++ {
		m := d.entries()[i%len(d.entries())]
		status, _, err := call(ctx, 3*time.Second, http.MethodPost, m.address(frontPort), prefix+id, body)
		d.rec.note("client: POST %s at %s: %d %v", id, m.name, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("job " + id + " was not accepted in time")
}

// state returns the state of a job, empty if it is not answered with 200.
func (d *deployment) state(ctx context.Context, id string) string {
	m := d.entries()[0]
	status, data, err := call(ctx, 3*time.Second, http.MethodGet, m.address(frontPort), prefix+id, nil)
	var a struct {
		State string `json:"state"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &a) != nil {
		d.rec.note("client: GET %s at %s: %d %v", id, m.name, status, err)
		return ""
	}
	return a.State
}
