// Command check plays the scripts of an independent review: it starts the
// project's own programs as separate processes on loopback addresses, stands in
// for the platform, the operator, clients and executors, and judges one rule by
// what these have seen.
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 in the environment the case runs without its
// disruption.
package main
