// Package entry implements the request path from callers to upstream executors:
// it limits and queues requests, forwards them, retries where that is safe, runs
// non-idempotent requests at most once through claims in the replicated log, and
// probes the health of executors.
package entry
