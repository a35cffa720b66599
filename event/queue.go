package event

import (
	"io"
	"sync"
	"time"
)

const (
	// queueLines is the number of lines that wait for the output; at 300 bytes
	// each they take at most 600 KB.
	queueLines = 2048
	// lineRate bounds the lines a second over time: 400 lines of 300 bytes are
	// 120 KB a second, which a node writes with a hundredth of a core. A burst of
	// queueLines is written besides.
	lineRate = 400
)

// Queue passes lines to a writer without ever blocking the one who logs. Lines
// that come faster than lineRate, or than the writer takes them, are dropped and
// counted. It is safe for concurrent use.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	ended   chan struct{}
	dropped func(count int)

	mu     sync.Mutex
	tokens float64
	at     time.Time
	lost   int
	closed bool
}

// NewQueue starts a Queue in front of w. Dropped is called from time to time
// with the number of lines that were dropped since; nil ignores them.
func NewQueue(w io.Writer, dropped func(count int)) *Queue {
	q := &Queue{
		w:       w,
		lines:   make(chan []byte, queueLines),
		ended:   make(chan struct{}),
		dropped: dropped,
		tokens:  queueLines,
		at:      time.Now(),
	}
	go func() {
		defer close(q.ended)
		for line := range q.lines {
			_, _ = q.w.Write(line) // a log that can't be written must not stop the node
		}
	}()
	return q
}

// Write takes one line. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	lost := q.put(line, time.Now())
	q.mu.Unlock()
	if lost > 0 && q.dropped != nil {
		q.dropped(lost)
	}
	return len(line), nil
}

// put queues a line and returns the number of lines dropped before it, once
// there is room again.
func (q *Queue) put(line []byte, now time.Time) int {
	if q.closed {
		return 0
	}
	q.tokens = min(queueLines, q.tokens+lineRate*now.Sub(q.at).Seconds())
	q.at = now
	if q.tokens < 1 {
		q.lost++
		return 0
	}
	select {
	case q.lines <- append([]byte(nil), line...):
		q.tokens--
	default:
		q.lost++
		return 0
	}
	lost := q.lost
	q.lost = 0
	return lost
}

// Close writes what is queued and waits for it.
func (q *Queue) Close() error {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.ended
	return nil
}
