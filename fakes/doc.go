// Package fakes provides fake workers, upstreams and replicas for tests and
// measurements. Workers and upstreams record what they ran in a ledger.
package fakes
