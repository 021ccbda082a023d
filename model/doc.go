// Package model holds the domain types that all other packages share: shapes,
// jobs, workers, upstreams, outcomes and typed errors.
package model
