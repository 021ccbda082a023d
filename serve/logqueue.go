package serve

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// logQueueLines is the capacity of the queue; at 200 bytes a line it takes under 1 MB.
const logQueueLines = 4096

// LogQueue is a writer that never blocks: lines are dropped while the queue is
// full, and their number is written once there is room again.
type LogQueue struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// NewLogQueue returns a queue that writes to out; call Close to release it.
func NewLogQueue(out io.Writer) *LogQueue {
	q := &LogQueue{out: out, lines: make(chan []byte, logQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line, or drops it when the queue is full. It never returns an error.
func (q *LogQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *LogQueue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.closing:
			for len(q.lines) > 0 {
				q.write(<-q.lines)
			}
			return
		}
	}
}

// write writes a line to out, after the number of lines dropped before it. Errors
// are ignored: there is no other log to report them to.
func (q *LogQueue) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		fmt.Fprintf(q.out, "event=log_lines_dropped count=%d\n", n)
	}
	q.out.Write(line) //nolint:errcheck // see the comment of write.
}

// Close writes the queued lines and returns when they are written or after timeout.
func (q *LogQueue) Close(timeout time.Duration) {
	q.closeOnce.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
