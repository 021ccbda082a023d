// Package ctrl gives every process its copy of the replicated state.
//
// With the control role (a data folder) a Node is a member of the replicated
// log: one goroutine, member, drives package quorum with ticks, messages and
// proposals and saves through package store; another, applier, applies committed
// entries in order, answers the proposers and takes snapshots. Without a data
// folder a Node follows any control instance by Control.Watch.
//
// A proposal is answered in three ways: with its result once its entry is
// applied; with outcome not_run when another entry was committed at its index or
// it never reached the log; with outcome unknown otherwise.
//
// Instances are connected by one gRPC connection for each address, without
// gRPC's balancing, retries and service config; link reconnects with its own
// back-off and drops a connection that no longer answers.
package ctrl
