package fleet_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/platform/fake"
)

// usageCluster is a cluster with the usage report, and the requests that its
// upstreams have run.
type usageCluster struct {
	*cluster
	cloud *fake.Cloud
	pool  *peer.Pool
	ran   map[string]uint64
}

func newUsageCluster(t *testing.T, size int) *usageCluster {
	cloud := fake.NewCloud()
	t.Cleanup(cloud.Close)
	u := &usageCluster{cloud: cloud, pool: peer.NewPool(peer.Options{MaxBodyBytes: 1 << 20}), ran: map[string]uint64{}}
	t.Cleanup(u.pool.Close)
	u.cluster = &cluster{t: t, store: fake.NewStore(), domains: size, cloud: &spec.SidecarCloud{
		Address: cloud.Address(), Duties: []string{spec.UsageReportDuty}, Rate: 50,
		Lease: 1500 * time.Millisecond, Window: 2 * time.Second, Late: 8 * time.Second,
	}}
	u.store.Put("op", "config", configJSON(1, ""))
	t.Cleanup(func() {
		for _, n := range u.nodes {
			n.stop()
		}
		for _, n := range u.nodes {
			<-n.ended
			n.upstream.Close()
		}
		u.store.Close()
	})
	for i := range size {
		u.add(i, "v1", serveSlowly)
	}
	for _, n := range u.nodes {
		u.await("all upstreams to be reachable", func() bool { return u.reachedUpstreams(n) == size })
	}
	return u
}

// run runs one request of a workspace at a node's upstream.
func (u *usageCluster) run(n *testNode, workspace string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	client := u.pool.ControlClient(n.settings.Listen.Peers)
	state, err := client.Usage(ctx, &wirepb.UsageRequest{})
	assert.NilError(u.t, err)
	var id ident.Request
	_, _ = rand.Read(id[:]) // never fails
	resp, err := u.pool.Call(ctx, n.settings.Listen.Peers, &wirepb.CallRequest{
		Headers: []*wirepb.Header{{Name: "X-Request-Id", Values: []string{fmt.Sprintf("u%d", u.nextID.Add(1))}}},
		Id:      id[:], Start: state.GetStart(), Service: "counter", Route: "read", Method: http.MethodGet, Path: "/read/x",
		DeadlineNanos: time.Now().Add(2 * time.Second).UnixNano(), Last: true, Workspace: workspace,
	}, func() {})
	assert.NilError(u.t, err)
	if resp.GetOutcome() == wirepb.Outcome_OUTCOME_RAN {
		u.ran[workspace]++
	}
}

// runFor runs requests at some nodes for a while.
func (u *usageCluster) runFor(d time.Duration, nodes ...*testNode) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for i, n := range nodes {
			u.run(n, []string{"hule930", "fida11"}[i%2])
		}
	}
}

// reported sums the accepted reports by workspace.
func (u *usageCluster) reported() map[string]uint64 {
	sum := map[string]uint64{}
	windows := map[int64]bool{}
	for _, call := range u.cloud.Calls() {
		if call.Status == http.StatusOK && !windows[call.Window] {
			windows[call.Window] = true
			for w, n := range call.Counts {
				sum[w] += n
			}
		}
	}
	return sum
}

// checkCalls verifies the order of tokens, and that each window has one content.
func (u *usageCluster) checkCalls() {
	bodies, holders := map[int64]string{}, map[uint64]string{}
	last := uint64(0)
	for _, call := range u.cloud.Calls() {
		assert.Assert(u.t, call.Token >= last, "token %d after %d", call.Token, last)
		last = call.Token
		for name, known := range map[string]bool{call.Holder: holders[call.Token] != "" && holders[call.Token] != call.Holder} {
			assert.Assert(u.t, !known, "token %d of %s and of %s", call.Token, name, holders[call.Token])
		}
		holders[call.Token] = call.Holder
		if body, ok := bodies[call.Window]; ok {
			assert.Equal(u.t, call.Body, body)
		}
		bodies[call.Window] = call.Body
	}
}

func (u *usageCluster) awaitReports() {
	u.t.Helper()
	defer func() {
		if u.t.Failed() {
			u.t.Logf("%v ran, %v reported", u.ran, u.reported())
		}
	}()
	assert.Assert(u.t, len(u.ran) == 2, "no requests ran")
	u.await("all requests to be reported", func() bool { return maps.Equal(u.reported(), u.ran) })
}

// Guards against usage reports that miss requests or count them twice, also when
// the holder stops and while the platform refuses calls; against a window that the
// next holder counts again instead of sending the stored bytes; and against a
// token that doesn't grow.
func TestUsageReport(t *testing.T) {
	u := newUsageCluster(t, 3)
	u.runFor(4*time.Second, u.nodes...)
	u.awaitReports()
	u.checkCalls()

	var status atomic.Int64
	status.Store(http.StatusServiceUnavailable)
	u.cloud.SetStatus(func() int { return int(status.Load()) })
	u.runFor(2*time.Second, u.nodes...)
	before := len(u.cloud.Calls())
	u.await("a stored report to be refused", func() bool { return len(u.cloud.Calls()) > before })
	refused := u.cloud.Calls()[before]
	var others []*testNode
	for _, n := range u.nodes {
		if string(n.settings.Node) != refused.Holder {
			others = append(others, n)
			continue
		}
		n.stop()
		assert.NilError(t, <-n.ended)
		n.ended <- nil
	}
	assert.Equal(t, len(others), 2)
	status.Store(http.StatusOK)
	u.await("the next holder to send the stored report", func() bool {
		for _, call := range u.cloud.Calls() {
			if call.Window == refused.Window && call.Holder != refused.Holder {
				return call.Token > refused.Token && call.Body == refused.Body
			}
		}
		return false
	})
	u.runFor(2*time.Second, others...)
	u.awaitReports()
	u.checkCalls()
}
