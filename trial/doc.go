// Package trial runs a small but complete deployment inside one process, over
// real loopback sockets, and demonstrates the system in a fixed list of steps.
package trial
