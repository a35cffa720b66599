package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against new requests on an upstream after its drain was acknowledged.
// The exit must refuse them before it responds to the heartbeat, also from
// entries that haven't received the membership update.
func TestDrainTakesEffectBeforeAcknowledgement(t *testing.T) {
	c := newCluster(t, 2, serveSlowly)
	leaving := c.nodes[0]
	assert.Equal(t, c.sendBeat(leaving, "draining"), http.StatusOK)
	before := leaving.upstream.Total()
	for range 20 {
		a := c.send(c.nodes[1], http.MethodGet, "/read/x")
		assert.Equal(t, a.status, http.StatusOK)
	}
	assert.Equal(t, leaving.upstream.Total(), before)
}

// Guards against accepting heartbeats that aren't the current upstream's: late
// ones of an upstream that has left, those with another address, and malformed
// ones.
func TestInvalidHeartbeatsAreIgnored(t *testing.T) {
	c := newCluster(t, 1, serveSlowly)
	n := c.nodes[0]
	good := `{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","slots":4},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`
	for _, b := range []string{
		`{"address":7}`,
		`not json`,
		fmt.Sprintf(good, "127.0.0.1:1", 2000, "counter", "draining", 900),
		fmt.Sprintf(good, n.upstream.Address(), 500, "counter", "draining", 900),
		fmt.Sprintf(good, n.upstream.Address(), 1000, "counter", "asleep", 900),
	} {
		assert.Equal(t, c.putHeartbeat(n, "i-other", b), http.StatusBadRequest, b)
	}
	assert.Equal(t, c.send(n, http.MethodGet, "/read/x").status, http.StatusOK)
	assert.Equal(t, c.sendBeat(n, "draining"), http.StatusOK)
	late := fmt.Sprintf(good, n.upstream.Address(), 1000, "counter", "ready", 1)
	assert.Equal(t, c.putHeartbeat(n, n.upstream.Instance, late), http.StatusOK)
	assert.Equal(t, c.send(n, http.MethodGet, "/read/x").status, http.StatusServiceUnavailable)
}

// Guards against a late heartbeat that makes an upstream ready again after its
// departure was acknowledged, by this start of the node or by the previous one,
// in any order.
func TestLateHeartbeatsAfterRestart(t *testing.T) {
	c := newCluster(t, 2, serveSlowly)
	n := c.nodes[0]
	late := func(sequence int) string {
		return fmt.Sprintf(`{"address":%q,"born":1000,"info":{"service":"counter","version":"v1","slots":4},"status":{"state":"ready","sequence":%d,"cold_left_ms":0}}`,
			n.upstream.Address(), sequence)
	}
	n.stop()
	assert.NilError(t, <-n.ended)
	n.upstream.SetUnhealthy(true)
	c.start(n)
	c.await("the node to serve callers", func() bool { return c.send(n, http.MethodGet, "/read/x").status == http.StatusOK })
	assert.Equal(t, c.depart(n), http.StatusOK)
	before := n.upstream.Total()
	c.putHeartbeat(n, n.upstream.Instance, late(900))
	c.putHeartbeat(n, n.upstream.Instance, late(901))
	for range 3 {
		c.reachedUpstreams(n)
	}
	assert.Equal(t, n.upstream.Total(), before)
}

// Guards against late heartbeats, however many, that make an upstream ready
// again although its departure was acknowledged before a restart of the node.
func TestDepartureOutlastsRestart(t *testing.T) {
	c := newCluster(t, 2, serveSlowly)
	n := c.nodes[0]
	assert.Equal(t, c.depart(n), http.StatusOK)
	n.upstream.SetUnhealthy(true)
	n.stop()
	assert.NilError(t, <-n.ended)
	before := n.upstream.Total()
	c.start(n)
	for range 5 {
		c.sendBeat(n, "ready")
		c.reachedUpstreams(c.nodes[1])
		c.reachedUpstreams(n)
	}
	assert.Equal(t, n.upstream.Total(), before)
	n.upstream.SetUnhealthy(false)
	c.await("an upstream that isn't leaving to be used again", func() bool {
		c.reachedUpstreams(c.nodes[1])
		return n.upstream.Total() > before
	})
}

// Guards against a departure that is acknowledged while the first heartbeat is
// being confirmed, and that the heartbeat then undoes.
func TestDepartureDuringConfirmation(t *testing.T) {
	c := newCluster(t, 2, serveSlowly)
	n := c.nodes[0]
	n.stop()
	assert.NilError(t, <-n.ended)
	c.start(n)
	c.await("the node to serve callers", func() bool { return c.send(n, http.MethodGet, "/read/x").status == http.StatusOK })
	checked, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	n.upstream.SetOnHealthCheck(func() {
		once.Do(func() {
			close(checked)
			<-release
		})
	})
	beat := make(chan int)
	go func() { beat <- c.sendBeat(n, "ready") }()
	<-checked
	assert.Equal(t, c.depart(n), http.StatusOK)
	before := n.upstream.Total()
	close(release)
	<-beat
	c.reachedUpstreams(n)
	c.reachedUpstreams(c.nodes[1])
	assert.Equal(t, n.upstream.Total(), before)
}
