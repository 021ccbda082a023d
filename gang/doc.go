// Package gang is the leader's part in running jobs: it feeds the placement
// policy, commits its decisions, and drives each attempt of a gang through
// prepare, start, checkpoint, throttle, stop and release on the workers, which
// fetch their commands by polls and hold leases.
//
// Everything that must survive a change of leader is committed first; the rest
// is rebuilt from the workers' polls.
package gang
