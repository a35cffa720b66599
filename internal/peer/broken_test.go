package peer_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/stand"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// Guards against a response of a node of an earlier release, without a length,
// whose connection is reset while the request is being written: cut between two
// fields, it is a valid message without a body.
func TestResetDuringUploadIsAnError(t *testing.T) {
	part, err := proto.Marshal(&wirepb.CallResponse{Id: []byte("id"), Outcome: wirepb.Outcome_OUTCOME_RAN, Status: http.StatusOK})
	assert.NilError(t, err)
	response := stand.RawResponse{
		Text: func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n" + string(part)
		},
		Ending: stand.Reset,
	}
	address := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/frame/") {
			_, _ = io.Copy(io.Discard, r.Body)
			http.NotFound(w, r)
			return
		}
		response.ServeHTTP(w, r)
	}))
	p := peer.NewPool(peer.Options{MaxBodyBytes: 64 << 20})
	defer p.Close()
	const uploads = 50
	complete := 0
	for range uploads {
		req := &wirepb.CallRequest{Id: []byte("id"), DeadlineNanos: inOneMinute(), Body: make([]byte, 16<<20)}
		if _, err := p.Call(t.Context(), address, req, func() {}); err == nil {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "of %d truncated responses", uploads)
}
