// Package fakes holds small stand-ins for workers and upstream executors, with
// ledgers of what they ran, for tests and measurements.
package fakes
