// Package clock holds waits that end with a context and the clock that leases are counted on.
package clock
