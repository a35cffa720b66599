package fleet_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/fleet"
	"github.com/cicadahall/cicadahall/internal/spec"
)

// Guards against a planned stop that aborts requests. Those in progress and
// those that still arrive must be served.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	c := newCluster(t, 2, serveSlowly)
	n := c.nodes[0]
	var aborted, served atomic.Int64
	var wg sync.WaitGroup
	ended := make(chan struct{})
	for range 8 {
		wg.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				a := c.send(n, http.MethodPost, "/book/x")
				switch {
				case a.status == http.StatusOK:
					served.Add(1)
				case c.nodes[0].upstream.Runs(a.id)+c.nodes[1].upstream.Runs(a.id) > 0:
					aborted.Add(1)
				}
			}
		})
	}
	c.await("requests to be served", func() bool { return served.Load() > 20 })
	n.stop()
	assert.NilError(t, <-n.ended)
	close(ended)
	wg.Wait()
	assert.Equal(t, aborted.Load(), int64(0))
	n.ended <- nil
}

// Guards against a rollout whose duties fail once all members are leaving, which
// ends the nodes and aborts the requests in progress.
func TestStopOfAllNodesDuringRollout(t *testing.T) {
	c := newCluster(t, 2, serveFor(2300*time.Millisecond))
	for _, n := range c.nodes {
		n.stop()
		assert.NilError(t, <-n.ended)
		settings := *n.settings
		settings.Grace = 6 * time.Second
		n.settings = &settings
		c.start(n)
		c.announce(n)
	}
	c.add(2, "v2", serveSlowly)
	c.store.Put("op", "rollout/counter", `{"service":"counter","target":"v2","duration_s":60}`)
	c.await("the rollout to run", func() bool { return strings.Contains(c.store.Value("status", "rollout/counter"), "running") })
	statuses := make(chan int)
	for _, n := range c.nodes[:2] {
		go func() { statuses <- c.send(n, http.MethodPost, "/book/slow").status }()
	}
	time.Sleep(50 * time.Millisecond)
	for _, n := range c.nodes {
		n.stop()
	}
	assert.Check(t, <-statuses == http.StatusOK)
	assert.Check(t, <-statuses == http.StatusOK)
	for _, n := range c.nodes {
		err := <-n.ended
		n.ended <- nil
		assert.Check(t, err)
	}
}

// Guards against a request that arrives late in a planned stop, on a connection
// that was opened before, and that is passed on and aborted at the end of the
// grace period. It must be refused as not run at once.
func TestLateRequestDuringStopIsRefused(t *testing.T) {
	c := newCluster(t, 2, serveFor(2300*time.Millisecond))
	n := c.nodes[0]
	conn, err := net.Dial("tcp", n.settings.Listen.Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	// The server must have accepted the connection before it closes its listener.
	assert.Equal(t, c.send(n, http.MethodGet, "/read/x").status, http.StatusOK)
	// The node doesn't end before this request.
	earlier := make(chan int, 1)
	go func() { earlier <- c.send(n, http.MethodPost, "/book/slow").status }()
	time.Sleep(50 * time.Millisecond)
	n.stop()
	time.Sleep(n.settings.Grace * 2 / 3)
	_, err = io.WriteString(conn, "POST /book/slow HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "the connection ended without a response")
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close)
	assert.Equal(t, c.nodes[0].upstream.Runs("late")+c.nodes[1].upstream.Runs("late"), 0)
	assert.Equal(t, <-earlier, http.StatusOK)
}

// Guards against a node that ends while a response waits in the buffer of its
// connection, because no handler runs any more.
func TestStopWaitsForResponseBeingWritten(t *testing.T) {
	body := strings.Repeat("x", 3000)
	c := newCluster(t, 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	n := c.nodes[0]
	conn, err := net.Dial("tcp", n.settings.Listen.Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(256<<10))
	go func() {
		var err error
		for i := 0; err == nil; i++ {
			_, err = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p%d\r\n\r\n", i)
		}
	}()
	latest := -1
	c.await("the responses to fill the connection", func() bool {
		before := latest
		latest = n.upstream.Total()
		time.Sleep(100 * time.Millisecond)
		return latest == before
	})
	n.stop()
	time.Sleep(n.settings.Grace * 2 / 3)
	select {
	case err := <-n.ended:
		n.ended <- err
		t.Fatal("the node ended before its response was written")
	default:
	}
}

// Guards against a connection that is closed with unread input, which resets it
// and discards the part of the response that is still on its way. The caller has
// sent the next request without waiting.
func TestClosingResponseArrivesWhole(t *testing.T) {
	testClosingResponses(t, 1, 1)
}

// Guards against a closing connection that loses a request of a caller who doesn't
// wait for responses, where such requests run at the same time.
func TestClosingPipelinedResponsesArriveWhole(t *testing.T) {
	testClosingResponses(t, 8, 2)
}

// testClosingResponses sends two requests without waiting to a stopping node and
// reads the responses that are expected before the connection is closed.
func testClosingResponses(t *testing.T, pipelined, responses int) {
	body := strings.Repeat("x", 1<<20)
	c := newPipelinedCluster(t, 2, 2, pipelined, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, body)
	})
	n := c.nodes[0]
	conn, err := net.Dial("tcp", n.settings.Listen.Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	n.stop()
	time.Sleep(50 * time.Millisecond)
	for i := range 2 {
		_, err = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p%d\r\n\r\n", i)
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	r := bufio.NewReader(conn)
	for i := range responses {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, resp.Header.Get("X-Request-Id"), fmt.Sprintf("p%d", i))
		assert.Equal(t, resp.Close, i == responses-1)
		// The node writes the end of the response and closes the connection.
		first := make([]byte, len(body)/2)
		_, err = io.ReadFull(resp.Body, first)
		assert.NilError(t, err)
		time.Sleep(200 * time.Millisecond)
		rest, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(first)+len(rest), len(body))
	}
}

// Guards against a node that ends before it has answered a request that outlasts
// the grace period.
func TestRequestThatOutlastsGraceIsAnswered(t *testing.T) {
	c := newCluster(t, 2, serveFor(10*time.Second))
	n := c.nodes[0]
	// The request runs at the other node.
	assert.Equal(t, c.depart(n), http.StatusOK)
	status := make(chan int, 1)
	go func() { status <- c.send(n, http.MethodPost, "/long/slow").status }()
	time.Sleep(50 * time.Millisecond)
	n.stop()
	err := <-n.ended
	n.ended <- nil
	assert.NilError(t, err)
	select {
	case got := <-status:
		assert.Equal(t, got, http.StatusBadGateway)
	case <-time.After(time.Second):
		t.Error("the node ended without an answer")
	}
}

// Guards against a node that aborts the requests in progress when one of its
// tasks fails for good.
func TestFailureAbortsNoRequest(t *testing.T) {
	c := newCluster(t, 1, serveFor(1500*time.Millisecond))
	n := c.nodes[0]
	n.stop()
	assert.NilError(t, <-n.ended)
	f, err := fleet.New(fleet.Options{Settings: n.settings, Reload: func() (*spec.Sidecar, error) { panic("broken") }})
	assert.NilError(t, err)
	reload := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = cancel
	go func() { n.ended <- f.Run(ctx, reload) }()
	c.announce(n)
	c.await("the node to serve callers", func() bool { return c.send(n, http.MethodGet, "/read/x").status == http.StatusOK })
	status := make(chan int)
	go func() { status <- c.send(n, http.MethodPost, "/book/slow").status }()
	time.Sleep(50 * time.Millisecond)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case reload <- struct{}{}:
			case <-ended:
				return
			}
		}
	}()
	got := <-status
	err = <-n.ended
	close(ended)
	n.ended <- nil
	assert.Equal(t, got, http.StatusOK)
	assert.ErrorContains(t, err, "child settings")
}

// serveFor returns a handler that takes d for paths that end with "slow".
func serveFor(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			time.Sleep(d)
		}
		serveSlowly(w, r)
	}
}
