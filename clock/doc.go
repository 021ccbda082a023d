// Package clock holds waits that end with a context.
package clock
