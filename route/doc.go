// Package route decides on the request path: which executor of a service gets
// a request, how long requests wait, what is refused early, and what is
// retried. It reads no clock and draws no random numbers itself; both are
// passed in, and callers serialise access.
package route
