// Package webapi serves the HTTP API for callers, operators, workers and
// upstreams. Handlers return errors; writeError alone turns them into status codes and JSON.
package webapi
