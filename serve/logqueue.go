package serve

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// logQueueLines bounds the log lines that wait for their reader; at 200 bytes a line they take under 1 MB.
const logQueueLines = 4096

// LogQueue is a writer that never blocks: lines that find the queue full are
// dropped, and their number is written once there is room again.
type LogQueue struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// NewLogQueue returns a queue in front of out, which Close must end.
func NewLogQueue(out io.Writer) *LogQueue {
	q := &LogQueue{out: out, lines: make(chan []byte, logQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line or drops it; it always reports success.
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

// write passes a line on; an error of the log's own reader has nowhere to be reported.
func (q *LogQueue) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		fmt.Fprintf(q.out, "event=log_lines_dropped count=%d\n", n)
	}
	q.out.Write(line) //nolint:errcheck // see above.
}

// Close writes what is queued, for at most timeout.
func (q *LogQueue) Close(timeout time.Duration) {
	q.closeOnce.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
