// Package model defines the domain types shared by all other packages: shapes,
// jobs, workers, upstreams, outcomes and typed errors.
package model
