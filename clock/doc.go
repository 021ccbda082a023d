// Package clock provides the clock on which leases are measured, and waits that a context can cancel.
package clock
