// Package route makes the decisions on the request path: which executor of a service gets a
// request, how long requests wait, which are refused early and which are retried. It reads no clock
// and draws no random numbers itself; both are passed in, and callers serialise access.
package route
