package stand

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Ending is how a RawResponse leaves its connection.
type Ending uint8

const (
	// Open leaves the connection open and reads what the client still sends.
	Open Ending = iota
	// Finished ends the output, as a server does after a response without a
	// length, and reads what the client still sends.
	Finished
	// Abandoned ends the output and then resets the connection.
	Abandoned
	// Reset resets the connection.
	Reset
)

// arrivalTime is enough for bytes to reach a client on loopback. A reset
// discards those that haven't.
const arrivalTime = 2 * time.Millisecond

// RawResponse writes bytes in place of a response as soon as it has read the
// head of the request.
type RawResponse struct {
	// Text returns the bytes that are written for a request.
	Text func(r *http.Request) string
	// Endless, if set, is written after the text again and again until the client
	// closes the connection.
	Endless string
	Ending  Ending
}

// minWriteBytes is the least size of a write of an endless response.
const minWriteBytes = 32 << 10

// ServeHTTP serves one connection.
func (rr RawResponse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hijacked, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	conn := hijacked.(*net.TCPConn)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, rr.Text(r))
	if rr.Endless != "" {
		block := strings.Repeat(rr.Endless, 1+minWriteBytes/len(rr.Endless))
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
	}
	if rr.Ending == Finished || rr.Ending == Abandoned {
		_ = conn.CloseWrite()
	}
	if rr.Ending == Abandoned || rr.Ending == Reset {
		time.Sleep(arrivalTime)
		_ = conn.SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}
