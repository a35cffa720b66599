package event_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/event"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.text.Write(b)
}

// Guards against a Write that waits for a slow output and so delays a request,
// and against a queue without a bound.
func TestQueueNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	dropped := 0
	q := event.NewQueue(w, func(n int) { dropped += n })
	const lines = 10_000
	for i := range lines {
		_, err := fmt.Fprintf(q, "line %d\n", i)
		assert.NilError(t, err)
	}
	close(w.release)
	assert.NilError(t, q.Close())
	written := strings.Count(w.text.String(), "\n")
	assert.Assert(t, written > 1000 && written < lines)
	assert.Assert(t, strings.HasPrefix(w.text.String(), "line 0\nline 1\n"))
}
