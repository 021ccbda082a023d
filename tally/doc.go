// Package tally reads the logs of a deployment and adds up, by queue and by the
// size of jobs, how many ended in time and what their runs have lost.
package tally
