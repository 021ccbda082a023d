package sched

// DecodeCall decodes what a Client hands to the leader, for tests.
var DecodeCall = decodeCall
