package event_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/event"
)

// stuck is a writer that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.text.Write(b)
}

// Guards against a request that waits for the log, and against lines that are
// lost without a trace: what isn't written is counted.
func TestQueueNeverBlocks(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	lost := 0
	q := event.NewQueue(w, func(n int) { lost += n })
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
