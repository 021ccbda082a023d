// Package webapi serves the HTTP API towards callers, operators, workers and
// upstreams. Handlers return errors; one place turns them into status codes and JSON.
package webapi
