package sizing

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc; it is 10 ms on all supported systems.
const clockTick = 10 * time.Millisecond

// usage is the resource use of a process.
type usage struct {
	cpuTime time.Duration // since the start of the process
	rssMB   float64       // resident memory in MiB
}

// readUsage reads the processor time and resident memory of a process.
func readUsage(pid int) (usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read process times: %w", err)
	}
	// The command name is in parentheses and may contain spaces.
	rest := string(b)[strings.LastIndexByte(string(b), ')')+1:]
	f := strings.Fields(rest)
	if len(f) < 22 {
		return usage{}, fmt.Errorf("read process times: only %d fields", len(f))
	}
	var n [3]int64
	for i, field := range []int{11, 12, 21} {
		if n[i], err = strconv.ParseInt(f[field], 10, 64); err != nil {
			return usage{}, fmt.Errorf("read process times: %w", err)
		}
	}
	return usage{
		cpuTime: time.Duration(n[0]+n[1]) * clockTick,
		rssMB:   float64(n[2]) * float64(os.Getpagesize()) / (1 << 20),
	}, nil
}
