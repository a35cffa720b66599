package verbs_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/gather"
	"github.com/cicadahall/cicadahall/internal/stand"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// peer is a fake node whose members are itself and a node that is down.
type peer struct {
	wirepb.UnimplementedPeerHandler
	log     *event.Log
	address string
}

func (p *peer) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	return &wirepb.StatusResponse{Node: "a", Members: []*wirepb.Record{
		{Node: "a", Rpc: p.address},
		{Node: "b", Rpc: "127.0.0.1:1"},
	}}, nil
}

func (p *peer) Events(_ context.Context, q *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
	return gather.EventsPage(p.log, q), nil
}

func startPeer(t *testing.T) (address, logFile string) {
	now := func() time.Time { return time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC) }
	var b strings.Builder
	p := &peer{log: event.New(event.Options{Node: "a", Start: 1, Now: now})}
	p.log.Emit(event.NodeReady)
	_, h := wirepb.NewPeerHandler(p)
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	p.address = s.Listener.Addr().String()
	crashed := event.New(event.Options{Node: "c", Start: 2, Now: now, Output: event.Output(&b)})
	crashed.Emit(event.ChildGaveUp, event.NewField(event.Child, "gossip"))
	logFile = filepath.Join(t.TempDir(), "c.log")
	assert.NilError(t, os.WriteFile(logFile, []byte(b.String()+"exit status 2\n"), 0o600))
	return p.address, logFile
}

// Guards against a timeline that lacks the events of a node or of a log file, or
// that doesn't state which events are missing.
func TestTimeline(t *testing.T) {
	address, logFile := startPeer(t)
	code, out, errOut := run("timeline", "--peer", address, "--log", logFile)
	assert.Equal(t, code, 0, errOut)
	for _, part := range []string{
		"# log " + logFile + ": lines that are not events: 1\n",
		"# node b did not answer: unavailable",
		"a info   101 node-ready\n",
		"c error  202 child-gave-up child=gossip\n",
	} {
		assert.Assert(t, strings.Contains(out, part), "%s\n%s", part, out)
	}
	code, out, _ = run("timeline", "--peer", address, "--format", "json")
	assert.Equal(t, code, 0)
	var got struct {
		Notes  []string
		Events []struct{ Code int }
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &got))
	assert.Equal(t, len(got.Notes), 1)
	assert.Equal(t, got.Events[0].Code, 101)
}

// Guards against a file that is reported as written although it is incomplete or
// can't be created.
func TestTimelineFile(t *testing.T) {
	_, logFile := startPeer(t)
	page := filepath.Join(t.TempDir(), "t.html")
	code, out, _ := run("timeline", "--log", logFile, "--format", "html", "--out", page)
	assert.Equal(t, code, 0)
	assert.Equal(t, out, page+": 1 events\n")
	body, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(body), "</html>\n"))
	code, _, _ = run("timeline", "--log", logFile, "--out", filepath.Join(page, "none"))
	assert.Equal(t, code, 1)
}

// Guards against exit code 0 for a timeline that is empty because no peer
// answered or a log can't be read.
func TestTimelineFailures(t *testing.T) {
	code, out, errOut := run("timeline", "--peer", "127.0.0.1:1")
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(out, "# peer 127.0.0.1:1 did not answer"))
	assert.Assert(t, strings.Contains(errOut, "no peer answered"))
	code, _, _ = run("timeline", "--log", "testdata/none.log")
	assert.Equal(t, code, 1)
	code, _, _ = run("timeline")
	assert.Equal(t, code, 2)
}

// Guards against a response of a node with a malformed head that counts as one
// without events.
func TestTimelineOfMalformedResponse(t *testing.T) {
	s := httptest.NewServer(stand.RawResponse{Text: func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n"
	}})
	defer s.Close()
	code, out, _ := run("timeline", "--peer", s.Listener.Addr().String())
	assert.Equal(t, code, 1, out)
}
