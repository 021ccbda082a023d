// Package trial runs a whole small deployment inside one process, over real
// loopback sockets, and shows what the system does step by step.
package trial
