// Package entry is the request path from callers to upstream executors: it
// bounds and queues requests, forwards them, retries where that is safe, runs
// non-idempotent requests at most once through claims in the replicated log,
// and probes executors.
package entry
