// Package admit decides under overload which work starts, waits or is turned
// away, by its priority, its objective and the work that it needs.
//
// All of it is pure: state and time go in, decisions come out.
package admit
