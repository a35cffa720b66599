package peer

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// interimDelay is how long a request runs before it is confirmed by an interim
// response. It is far below the time after which an entry node treats the
// connection as unresponsive. Most requests are answered earlier and save one
// write, one read and one wake-up of the entry's process.
const interimDelay = 20 * time.Millisecond

// interimWriter sends 102 Processing if the handler takes longer than
// interimDelay. The handler has a separate header map, because another
// goroutine writes the interim response.
type interimWriter struct {
	writer http.ResponseWriter
	header http.Header

	mu      sync.Mutex
	started bool
}

// withInterimResponse wraps a handler so that requests running longer than interimDelay
// are confirmed by an interim response.
func withInterimResponse(h http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		iw := &interimWriter{writer: w, header: http.Header{}}
		timer := time.AfterFunc(interimDelay, iw.writeInterim)
		defer timer.Stop()
		h.ServeHTTP(iw, r)
		iw.WriteHeader(http.StatusOK)
	}
}

// writeInterim is called by a timer. It does nothing once the final response
// has started, even after the handler has returned.
func (iw *interimWriter) writeInterim() {
	iw.mu.Lock()
	defer iw.mu.Unlock()
	if !iw.started {
		iw.writer.WriteHeader(http.StatusProcessing)
	}
}

// Header returns the headers of the final response.
func (iw *interimWriter) Header() http.Header {
	return iw.header
}

// Unwrap returns the writer of the connection, for http.ResponseController.
func (iw *interimWriter) Unwrap() http.ResponseWriter {
	return iw.writer
}

// WriteHeader starts the final response unless it has already started.
func (iw *interimWriter) WriteHeader(status int) {
	iw.mu.Lock()
	defer iw.mu.Unlock()
	iw.start(status)
}

// Write writes a part of the final response's body and starts the response if
// necessary.
func (iw *interimWriter) Write(b []byte) (int, error) {
	iw.mu.Lock()
	defer iw.mu.Unlock()
	iw.start(http.StatusOK)
	return iw.writer.Write(b)
}

func (iw *interimWriter) start(status int) {
	if iw.started {
		return
	}
	iw.started = true
	maps.Copy(iw.writer.Header(), iw.header)
	iw.writer.WriteHeader(status)
}
