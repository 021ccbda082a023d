// Package ctrl maintains the process's copy of the replicated state.
//
// With the control role (a data folder) a Node is a member of the replicated
// log. The member goroutine drives package quorum with ticks, messages and
// proposals and persists through package store. The applier goroutine applies
// committed entries in order, completes proposals and takes snapshots. A Node
// without a data folder follows any control instance through Control.Watch.
//
// A proposal ends in one of three ways: with its result once its entry is
// applied; with outcome not_run if another entry was committed at its index or
// it never reached the log; with outcome unknown otherwise.
//
// Instances keep one gRPC connection per address, with gRPC's load balancing,
// retries and service config disabled. Each link reconnects with its own
// back-off and drops a connection that no longer gets replies.
package ctrl
