package fakes

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports given out lie below the range that the system uses for outgoing
// connections, so that a connection made before the process listens cannot
// take them.
const (
	firstPort = 12000
	portCount = 20000
)

var nextPort atomic.Int64

// FreeAddresses returns loopback addresses that nothing listens on, each given out once by a process.
func FreeAddresses(n int) ([]string, error) {
	// Processes that run at the same time begin at different ports.
	nextPort.CompareAndSwap(0, int64(os.Getpid())*61%portCount+1)
	var found []string
	for range portCount {
		if len(found) == n {
			return found, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := ln.Close(); err != nil {
			return nil, fmt.Errorf("release %s: %w", address, err)
		}
		found = append(found, address)
	}
	return nil, errors.New("no free loopback port")
}
