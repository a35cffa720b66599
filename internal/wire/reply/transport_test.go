package reply_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/wire/reply"
)

// Guards against storing a head that doesn't end: of one line, of many, and of
// interim responses.
func TestEndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ prefix, pattern string }{
		"status line":  {"HTTP/1.1 200 ", "x"},
		"one field":    {"HTTP/1.1 200 OK\r\nX: ", "y"},
		"many fields":  {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"many names":   {"HTTP/1.1 200 OK\r\n", strings.Repeat("x", 200) + ": y\r\n"},
		"no protocol":  {"", "x"},
		"many interim": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			transport := reply.NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, server) }()
				go func() {
					text := c.prefix
					for {
						n, err := io.WriteString(server, text)
						written.Add(int64(n))
						if err != nil {
							return
						}
						text = c.pattern
					}
				}()
				return client, nil
			}})
			defer transport.CloseIdleConnections()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/", strings.NewReader("body"))
			assert.NilError(t, err)
			resp, err := transport.RoundTrip(req)
			assert.Assert(t, err != nil, "%+v", resp)
			assert.Assert(t, written.Load() < 2*reply.MaxHeadBytes, "%d bytes were read", written.Load())
		})
	}
}
