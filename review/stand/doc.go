// Command stand plays the scripted cases of the review: it starts the program as separate processes on loopback
// addresses, stands in for the platform, the executors, the clients and the operator, and judges what these see.
package main
