package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run, and its copy on standard output.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: f, begun: time.Now()}, nil
}

// at returns the time since the case began.
func (r *record) at() time.Duration { return time.Since(r.begun) }

// add writes one line: the time in seconds, what kind of event it is, and the text.
func (r *record) add(kind, format string, args ...any) {
	line := fmt.Sprintf("%8.3f %-8s %s\n", r.at().Seconds(), kind, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprint(r.file, line)
	fmt.Print(line)
}

func (r *record) close() { r.file.Close() }
