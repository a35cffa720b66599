package entry_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/stand"
)

// malformedHeads are heads that net/http accepts.
var malformedHeads = map[string]string{
	"status 000":          "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n",
	"status 600":          "HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n",
	"space in a name":     "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 5\r\n",
	"space after a name":  "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding : chunked\r\n",
	"space before a name": "HTTP/1.1 200 OK\r\nA: b\r\n X-Odd: 1\r\nContent-Length: 5\r\n",
}

// Guards against forwarding a response with an invalid status or field name to
// the caller, who must not get its body either.
func TestMalformedResponseIsNotForwarded(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			broken := stand.RawResponse{Text: func(*http.Request) string { return head + "\r\nwhole" }}
			n := newNetwork(t, broken.ServeHTTP)
			resp := n.send(http.MethodPost)
			assert.Equal(t, resp.status, http.StatusGatewayTimeout, "body %q", resp.body)
			assert.Equal(t, resp.outcome, call.Unknown)
			assert.Equal(t, resp.reason, "broken")
			assert.Equal(t, n.runs(), 1)
		})
	}
}
