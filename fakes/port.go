package fakes

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the range of ephemeral ports, so that an outgoing connection
// cannot occupy one before the process listens on it.
const (
	firstPort = 12000
	portCount = 20000
)

var nextPort atomic.Int64

// FreeAddresses returns n loopback addresses (host:port) on which nothing listens. A
// process gets each address at most once until all ports have been tried.
func FreeAddresses(n int) ([]string, error) {
	// Start at a port that depends on the process ID, since several test processes run at the same time.
	nextPort.CompareAndSwap(0, int64(os.Getpid())*61%portCount+1)
	var addresses []string
	for range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := ln.Close(); err != nil {
			return nil, fmt.Errorf("close listener on %s: %w", address, err)
		}
		addresses = append(addresses, address)
	}
	return nil, errors.New("no free loopback port")
}
