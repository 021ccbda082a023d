package sched

// DecodeCall decodes a call as a Client sends it to the leader.
var DecodeCall = decodeCall
