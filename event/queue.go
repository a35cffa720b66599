package event

import (
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines limits the lines that wait for the output. At 300 bytes each
	// they take about 600 KB. It is also the largest burst of lines.
	maxQueuedLines = 2048
	// linesPerSecond limits the sustained rate. 400 lines of 300 bytes are 120 KB
	// per second, which takes a node a hundredth of a core. A burst of
	// maxQueuedLines is allowed on top.
	linesPerSecond = 400
)

// Queue is an io.WriteCloser that passes lines to another writer and never
// blocks in Write. Lines that exceed linesPerSecond or the speed of the writer
// are dropped and counted. It is safe for concurrent use.
type Queue struct {
	w      io.Writer
	lines  chan []byte
	done   chan struct{}
	onDrop func(count int)

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	dropped  int
	closed   bool
}

// NewQueue returns a Queue that writes to w from a goroutine of its own. When a
// line is accepted after others were dropped, onDrop is called with the number of
// lines dropped since its previous call. It may be nil.
func NewQueue(w io.Writer, onDrop func(count int)) *Queue {
	q := &Queue{
		w:        w,
		lines:    make(chan []byte, maxQueuedLines),
		done:     make(chan struct{}),
		onDrop:   onDrop,
		tokens:   maxQueuedLines,
		refilled: time.Now(),
	}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			_, _ = q.w.Write(line) // a failed write of the log must not stop the node
		}
	}()
	return q
}

// Write queues or drops one line. It never blocks and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	dropped := q.enqueue(line, time.Now())
	q.mu.Unlock()
	if dropped > 0 && q.onDrop != nil {
		q.onDrop(dropped)
	}
	return len(line), nil
}

// enqueue queues a line and returns the number of lines that were dropped since
// the previous queued line. It returns 0 if it drops the line. The caller must
// hold mu.
func (q *Queue) enqueue(line []byte, now time.Time) int {
	if q.closed {
		return 0
	}
	q.tokens = min(maxQueuedLines, q.tokens+linesPerSecond*now.Sub(q.refilled).Seconds())
	q.refilled = now
	if q.tokens < 1 {
		q.dropped++
		return 0
	}
	select {
	case q.lines <- append([]byte(nil), line...):
		q.tokens--
	default:
		q.dropped++
		return 0
	}
	dropped := q.dropped
	q.dropped = 0
	return dropped
}

// Close waits until all queued lines are written. Later lines are discarded
// without being counted.
func (q *Queue) Close() error {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.done
	return nil
}
