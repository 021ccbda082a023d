// Package gang implements the leader's side of job execution. It feeds events to
// the placement policy, commits the policy's decisions, and drives each attempt
// of a gang through prepare, start, checkpoint, throttle, stop and release.
// Workers fetch these commands by polling; each poll renews the worker's lease.
//
// State that must survive a change of leader is committed to the replicated log
// before it takes effect. All other state is rebuilt from the workers' polls.
package gang
