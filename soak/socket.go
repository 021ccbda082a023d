package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// processOf returns the value in pids of the process that holds the socket bound to
// an address, and false when none does. All connections over loopback come from the
// same IP address, so a proxy cannot tell their senders apart by it.
func processOf(address net.Addr, pids map[int]int) (int, bool) {
	a, ok := address.(*net.TCPAddr)
	if !ok {
		return 0, false
	}
	inode := socketInode(a)
	if inode == "" {
		return 0, false
	}
	want := "socket:[" + inode + "]"
	for pid, i := range pids {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue // the process has ended
		}
		for _, e := range entries {
			if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && link == want {
				return i, true
			}
		}
	}
	return 0, false
}

// socketInode returns the inode of the TCP socket bound to a local address, empty when there is none.
func socketInode(a *net.TCPAddr) string {
	ip := a.IP.To4()
	if ip == nil {
		return ""
	}
	want := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip), a.Port)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if parts := strings.Fields(lines.Text()); len(parts) > 9 && parts[1] == want {
			return parts[9]
		}
	}
	return ""
}
