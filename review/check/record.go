package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file and to standard output.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{start: time.Now(), file: f}, nil
}

// note writes one line with the time in seconds since the start.
func (r *record) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprint(r.file, line)
	fmt.Print(line)
}

func (r *record) close() { r.file.Close() }
