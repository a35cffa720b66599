package peer

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// interimDelay is when a request that still runs is confirmed by an interim
// response. It is far below the time after which an entry node takes the
// connection for silent. Most requests are answered earlier, and are spared
// one write, one read and one wake-up of the entry's process.
const interimDelay = 20 * time.Millisecond

// interim sends 102 Processing if the handler takes longer than interimDelay.
// The handler gets a header map of its own, because the interim response is
// written by another goroutine.
type interim struct {
	w      http.ResponseWriter
	header http.Header

	mu    sync.Mutex
	begun bool
}

// confirm wraps a handler whose requests are to be confirmed.
func confirm(h http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		i := &interim{w: w, header: http.Header{}}
		t := time.AfterFunc(interimDelay, i.processing)
		defer t.Stop()
		h.ServeHTTP(i, r)
		i.WriteHeader(http.StatusOK)
	}
}

// processing runs in a timer's goroutine and does nothing once the answer has
// begun, also after the handler has returned.
func (i *interim) processing() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.begun {
		i.w.WriteHeader(http.StatusProcessing)
	}
}

// Header returns the headers of the final answer.
func (i *interim) Header() http.Header {
	return i.header
}

// WriteHeader begins the final answer, unless it has begun.
func (i *interim) WriteHeader(status int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.begin(status)
}

// Write begins the final answer, if need be, and writes a part of its body.
func (i *interim) Write(b []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.begin(http.StatusOK)
	return i.w.Write(b)
}

func (i *interim) begin(status int) {
	if i.begun {
		return
	}
	i.begun = true
	maps.Copy(i.w.Header(), i.header)
	i.w.WriteHeader(status)
}
