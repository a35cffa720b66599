package fleet_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/platform/fake"
)

// accessConfig returns a configuration with workspaces and a public route.
func accessConfig(version int, tenants string) string {
	const open = `,{"name":"open","kind":"safe","public":true,"match":{"prefix":"/open/"},"action":{"service":"counter","timeout_ms":3000,"max_attempts":2}}`
	return strings.Replace(configJSON(version, open), `"limits"`, `"tenants":`+tenants+`,"limits"`, 1)
}

// newAccessCluster starts nodes with workspaces: acme with the keys ka1 and ka2
// and the priority 5, and bolt with kb1.
func newAccessCluster(t *testing.T, size int, handler http.HandlerFunc) *cluster {
	c := newCluster(t, size, handler)
	c.putTenants(2, `[{"name":"acme","api_keys":["ka1","ka2"],"priority":5},{"name":"bolt","api_keys":["kb1"]}]`, bearer("kb1"), http.StatusOK)
	return c
}

// putTenants stores workspaces and waits until each node answers requests with
// the headers h by status. The upstreams count as lost without heartbeats.
func (c *cluster) putTenants(version int, tenants string, h http.Header, status int) {
	c.t.Helper()
	c.store.Put("op", "config", accessConfig(version, tenants))
	for _, n := range c.nodes {
		c.sendBeat(n, "ready")
		c.await("the workspaces to be in force", func() bool {
			return c.sendHeaders(n, "/open/x", nil).status == http.StatusOK && c.sendHeaders(n, "/read/x", h).status == status
		})
	}
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// accessResponse is a response with what the upstream has seen.
type accessResponse struct {
	status                int
	tenant, authorization string
}

func (c *cluster) sendHeaders(n *testNode, path string, h http.Header) accessResponse {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.settings.Listen.Callers+path, nil)
	assert.NilError(c.t, err)
	r.Host = "shop.example"
	for name, values := range h {
		r.Header[name] = values
	}
	r.Header.Set("X-Request-Id", fmt.Sprintf("q%d", c.nextID.Add(1)))
	r.Header.Set("X-Deadline-Ms", "2500")
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return accessResponse{}
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, a.Body)
	return accessResponse{status: a.StatusCode, tenant: a.Header.Get("Seen-Tenant"), authorization: a.Header.Get("Seen-Authorization")}
}

// Guards against a key that is admitted although no workspace has it, against a
// workspace or key that a caller passes to the upstream, and against a refused
// call of an upstream, which carries no key.
func TestRequestsByKey(t *testing.T) {
	c := newAccessCluster(t, 2, (&seenHeaders{}).serve)
	forged := http.Header{"X-Tenant": {"bolt", "x"}, "Authorization": {"Bearer ka1"}, "Connection": {"X-Tenant, Authorization"}}
	for name, test := range map[string]struct {
		path   string
		header http.Header
		want   accessResponse
	}{
		"known key":           {"/read/x", bearer("ka2"), accessResponse{status: 200, tenant: "acme"}},
		"other workspace":     {"/read/x", bearer("kb1"), accessResponse{status: 200, tenant: "bolt"}},
		"forged workspace":    {"/read/x", forged, accessResponse{status: 200, tenant: "acme"}},
		"no key":              {"/read/x", nil, accessResponse{status: 200}},
		"workspace, no key":   {"/read/x", http.Header{"X-Tenant": {"acme"}}, accessResponse{status: 200}},
		"unknown key":         {"/read/x", bearer("ka3"), accessResponse{status: 401}},
		"other scheme":        {"/read/x", http.Header{"Authorization": {"Basic ka1"}}, accessResponse{status: 401}},
		"empty key":           {"/read/x", bearer(""), accessResponse{status: 401}},
		"two keys":            {"/read/x", http.Header{"Authorization": {"Bearer ka1", "Bearer kb1"}}, accessResponse{status: 401}},
		"public, known key":   {"/open/x", forged, accessResponse{status: 200}},
		"public, unknown key": {"/open/x", bearer("ka3"), accessResponse{status: 200}},
		"public, no key":      {"/open/x", nil, accessResponse{status: 200}},
		"no route":            {"/none/x", bearer("ka3"), accessResponse{status: 404}},
	} {
		for _, n := range c.nodes {
			assert.Equal(t, c.sendHeaders(n, test.path, test.header), test.want, name)
		}
	}
}

// Guards against headers that are altered or keys that are checked where the
// configuration has no workspaces, also after it had some.
func TestWithoutWorkspacesHeadersPass(t *testing.T) {
	c := newCluster(t, 2, (&seenHeaders{}).serve)
	h := http.Header{"Authorization": {"Basic ka1"}, "X-Tenant": {"x"}}
	want := accessResponse{status: 200, tenant: "x", authorization: "Basic ka1"}
	assert.Equal(t, c.sendHeaders(c.nodes[0], "/read/x", h), want)
	c.putTenants(2, `[{"name":"acme","api_keys":["ka1"]}]`, h, http.StatusUnauthorized)
	c.putTenants(3, `[]`, h, http.StatusOK)
	for range 20 {
		assert.Equal(t, c.sendHeaders(c.nodes[0], "/read/x", h), want)
	}
}

// callerConn is a connection of a caller that writes requests by hand.
type callerConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (c *cluster) dial(n *testNode) *callerConn {
	conn, err := net.Dial("tcp", n.settings.Listen.Callers)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(c.t, conn.SetDeadline(time.Now().Add(awaitTimeout)))
	return &callerConn{t: c.t, Conn: conn, reader: bufio.NewReader(conn)}
}

// head returns the head of a request, to which further headers may be added.
func (cc *callerConn) head(method, key string, headers ...string) string {
	return method + " /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q\r\nAuthorization: Bearer " + key + "\r\n" + strings.Join(append(headers, "\r\n"), "\r\n")
}

func (cc *callerConn) write(texts ...string) {
	cc.t.Helper()
	_, err := io.WriteString(cc.Conn, strings.Join(texts, ""))
	assert.NilError(cc.t, err)
}

// read returns the next response, whose body it reads.
func (cc *callerConn) read() *http.Response {
	cc.t.Helper()
	resp, err := http.ReadResponse(cc.reader, nil)
	assert.NilError(cc.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(cc.t, err)
	return resp
}

// Guards against a 401 that waits for the request's body, and against a body that
// is lost, or taken for a request, when the connection is used again.
func TestUnknownKeyIsAnsweredBeforeBody(t *testing.T) {
	c := newAccessCluster(t, 1, (&seenHeaders{}).serve)
	n := c.nodes[0]
	const chunked = "Transfer-Encoding: chunked"
	for name, test := range map[string]struct{ framing, body string }{
		"length": {"Content-Length: 10", "0123456789"},
		"chunks": {chunked, "5\r\n01234\r\n0\r\n\r\n"},
	} {
		conn := c.dial(n)
		conn.write(conn.head("POST", "ka3", test.framing))
		resp := conn.read()
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized, name)
		assert.Equal(t, resp.Header.Get("X-Request-Id"), "q")
		conn.write(test.body, conn.head("GET", "ka1"))
		resp = conn.read()
		assert.Equal(t, resp.StatusCode, http.StatusOK, name)
		assert.Equal(t, resp.Header.Get("Seen-Tenant"), "acme")
		conn.write(conn.head("POST", "ka3", test.framing), test.body, conn.head("POST", "kb1", test.framing), test.body)
		assert.Equal(t, conn.read().StatusCode, http.StatusUnauthorized, name)
		assert.Equal(t, conn.read().Header.Get("Seen-Tenant"), "bolt", name)
	}
	conn := c.dial(n)
	conn.write(conn.head("POST", "ka3", "Content-Length: 10", "Expect: 100-continue"))
	resp := conn.read()
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	assert.Assert(t, resp.Close)
	rest, err := io.ReadAll(conn.reader)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "", "a response after the last one")
}

// Guards against a connection that is used again although the rest of a body is
// still to come, which would be read as requests, and against a connection that
// is held open for a body that never comes.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	c := newAccessCluster(t, 1, (&seenHeaders{}).serve)
	n := c.nodes[0]
	var wg sync.WaitGroup
	for name, test := range map[string]struct{ framing, body string }{
		"body stops":         {"Content-Length: 1000", "01234"},
		"chunked body stops": {"Transfer-Encoding: chunked", "1000\r\n01234"},
		"large body":         {"Content-Length: 1000000", strings.Repeat("x", 100)},
		"large chunked body": {"Transfer-Encoding: chunked", "40000\r\n" + strings.Repeat("x", 200_000)},
	} {
		wg.Go(func() {
			conn := c.dial(n)
			conn.write(conn.head("POST", "ka3", test.framing))
			assert.Check(t, conn.read().StatusCode == http.StatusUnauthorized, name)
			before := n.upstream.Total()
			// The node may close the connection meanwhile.
			_, _ = io.WriteString(conn.Conn, test.body)
			time.Sleep(3 * time.Second)
			_, _ = io.WriteString(conn.Conn, conn.head("GET", "ka1"))
			rest, err := io.ReadAll(conn.reader)
			assert.Check(t, !errors.Is(err, os.ErrDeadlineExceeded), "%s: the connection is held open", name)
			assert.Check(t, len(rest) == 0, "%s: %q", name, rest)
			assert.Check(t, n.upstream.Total() == before, name)
		})
	}
	wg.Wait()
}

// Guards against a change of keys that connections miss which were open before
// it, and against one that is reverted by an older configuration.
func TestKeyChangeOnOpenConnections(t *testing.T) {
	c := newAccessCluster(t, 2, (&seenHeaders{}).serve)
	var open []*callerConn
	for _, n := range c.nodes {
		conn := c.dial(n)
		conn.write(conn.head("GET", "ka1"))
		assert.Equal(t, conn.read().Header.Get("Seen-Tenant"), "acme")
		open = append(open, conn)
	}
	// ka1 moves, ka2 ends, kc1 is new.
	c.putTenants(3, `[{"name":"acme","api_keys":["kc1"]},{"name":"bolt","api_keys":["kb1","ka1"]}]`, bearer("ka2"), http.StatusUnauthorized)
	check := func() {
		for _, conn := range open {
			conn.write(conn.head("GET", "ka2"))
			assert.Equal(t, conn.read().StatusCode, http.StatusUnauthorized)
			conn.write(conn.head("GET", "ka1"), conn.head("GET", "ka2"), conn.head("GET", "kc1"))
			assert.Equal(t, conn.read().Header.Get("Seen-Tenant"), "bolt")
			assert.Equal(t, conn.read().StatusCode, http.StatusUnauthorized)
			assert.Equal(t, conn.read().Header.Get("Seen-Tenant"), "acme")
		}
	}
	check()
	for _, config := range []string{
		accessConfig(2, `[{"name":"acme","api_keys":["ka1","ka2"]}]`),
		accessConfig(4, `[{"name":"acme","api_keys":["ka1","ka2"]},{"name":"bolt","api_keys":["ka1"]}]`),
		accessConfig(5, `[{"name":"acme","api_keys":["ka1","ka2",""]}]`),
		accessConfig(6, `[{"name":"","api_keys":["ka1","ka2"]}]`),
	} {
		c.store.Put("op", "config", config)
		c.store.Compact()
		c.store.Put("op", "evacuate/none", `{}`)
		for range 5 {
			check()
			c.sendBeat(c.nodes[0], "ready")
			c.sendBeat(c.nodes[1], "ready")
		}
	}
}

// Guards against a node without a configuration that answers 401, after which a
// caller would give up a valid key.
func TestNoConfigurationIsNotUnauthorized(t *testing.T) {
	c := &cluster{t: t, store: fake.NewStore(), domains: 1}
	t.Cleanup(c.store.Close)
	n := c.add(0, "v1", serveSlowly)
	t.Cleanup(func() {
		n.stop()
		<-n.ended
		n.upstream.Close()
	})
	for _, h := range []http.Header{nil, bearer("ka1"), bearer("")} {
		assert.Equal(t, c.sendHeaders(n, "/read/x", h).status, http.StatusServiceUnavailable)
	}
	c.putTenants(1, `[{"name":"acme","api_keys":["ka1"]}]`, bearer("ka1"), http.StatusOK)
}

// Guards against a workspace or its priority that doesn't reach the exit, and
// against an exit of the previous release, which passes on the headers of the
// message, whose upstream gets the key or no workspace.
func TestWorkspaceInMessages(t *testing.T) {
	c := newAccessCluster(t, 2, (&seenHeaders{}).serve)
	recorders := c.record()
	c.putTenants(3, `[{"name":"acme","api_keys":["ka1"],"priority":5},{"name":"bolt","api_keys":["kb1"]}]`, bearer("ka1"), http.StatusOK)
	// The upstreams of the other node get requests once those of a node's own
	// domain are busy.
	for _, key := range []string{"ka1", "kb1"} {
		var wg sync.WaitGroup
		for range 24 {
			wg.Go(func() { c.sendHeaders(c.nodes[0], "/read/x", bearer(key)) })
		}
		wg.Wait()
	}
	_, calls := recorders[1].recorded()
	priorities := map[string]int32{}
	for _, q := range calls {
		headers := http.Header{}
		for _, h := range q.GetHeaders() {
			headers[h.GetName()] = h.GetValues()
		}
		assert.Equal(t, headers.Get("X-Tenant"), q.GetWorkspace())
		_, found := headers["Authorization"]
		assert.Assert(t, !found)
		priorities[q.GetWorkspace()] = q.GetPriority()
	}
	assert.Equal(t, priorities["acme"], int32(5))
	assert.Equal(t, priorities["bolt"], int32(1), "the route's")
}

// Guards against an upstream that gets a key or a forged workspace by way of an
// entry of the previous release, which passes on what its caller has sent.
func TestExitDropsHeadersOfPreviousRelease(t *testing.T) {
	seen := &seenHeaders{}
	c := newAccessCluster(t, 2, seen.serve)
	recorders := c.record()
	var calls []*wirepb.CallRequest
	c.await("a message", func() bool {
		c.reachedUpstreams(c.nodes[0])
		_, calls = recorders[1].recorded()
		return len(calls) > 0
	})
	q := proto.CloneOf(calls[len(calls)-1])
	p := peer.NewPool(peer.Options{MaxBodyBytes: 64 << 20})
	defer p.Close()
	q.Id[len(q.Id)-1]++
	q.Last = true
	q.DeadlineNanos = time.Now().Add(2 * time.Second).UnixNano()
	q.Headers = []*wirepb.Header{{Name: "Authorization", Values: []string{"Bearer ka1"}}, {Name: "X-Tenant", Values: []string{"acme"}}, {Name: "X-Request-Id", Values: []string{"old"}}}
	resp, err := p.Call(t.Context(), c.nodes[1].settings.Listen.Peers, q, func() {})
	assert.NilError(t, err)
	assert.Equal(t, resp.GetStatus(), int32(http.StatusOK), resp.GetReason())
	found := false
	for _, h := range seen.all() {
		if h.Get("X-Request-Id") == "old" {
			found = true
			assert.Equal(t, h.Get("X-Tenant")+h.Get("Authorization"), "")
		}
	}
	assert.Assert(t, found)
}
