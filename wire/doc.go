// Package wire holds the protobuf messages and gRPC services between the
// system's own processes, generated from wire.proto.
package wire
