package fleet_test

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/platform/fake"
)

// lockedBuffer is a buffer for the lines of several nodes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// admin gives all nodes an admin port and a log at the lowest level.
func (c *cluster) admin() *lockedBuffer {
	log := &lockedBuffer{}
	for _, n := range c.nodes {
		n.log = log
		c.restart(n, func(s *spec.Sidecar) { s.Listen.Admin, s.Log = freeAddress(c.t), spec.Level("debug") })
	}
	return log
}

func (c *cluster) adminPage(n *testNode, path string) string {
	a, err := http.Get("http://" + n.settings.Listen.Admin + path)
	assert.NilError(c.t, err)
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	assert.NilError(c.t, err)
	return string(b)
}

// Guards against a key that leaves the entry: in a log line, a metric, a recorded
// event, a message to another node or a request to an upstream. The configuration
// row itself, which nodes exchange, holds keys.
func TestKeyNeverLeavesEntry(t *testing.T) {
	const known, unknown, late, rejected = "sk-known-51c0ffee", "sk-unknown-51c0ffee", "sk-late-51c0ffee", "sk-rejected-51c0ffee"
	secrets := []string{known, unknown, late, rejected, "51c0ffee"}
	seen := &seenHeaders{}
	c := newCluster(t, 3, seen.serve)
	log := c.admin()
	recorders := c.record()
	c.putTenants(2, `[{"name":"acme","api_keys":["`+known+`"]}]`, bearer(known), http.StatusOK)
	// A node without the store gets the rows from the others.
	unavailable := fake.NewStore()
	defer unavailable.Close()
	unavailable.SetFault(func(string) fake.Fault { return fake.Unavailable })
	c.restart(c.nodes[2], func(s *spec.Sidecar) { s.Store.Address = unavailable.Address() })
	c.putTenants(3, `[{"name":"acme","api_keys":["`+known+`","`+late+`"]}]`, bearer(late), http.StatusOK)
	for i, tenants := range []string{
		`[{"name":"acme","api_keys":["` + known + `"]},{"name":"bolt","api_keys":["` + rejected + `",""]}]`,
		`[{"name":"acme","api_keys":"` + rejected + `"}]`,
		`[{"name":"acme","api_keys":["` + rejected + `"`,
	} {
		c.store.Put("op", "config", accessConfig(4+i, tenants))
		c.await("the configuration to be rejected", func() bool { return strings.Count(log.String(), "manifest-rejected") >= 3*(i+1) })
	}
	for range 10 {
		for _, n := range c.nodes {
			c.sendBeat(n, "ready")
			for key, status := range map[string]int{known: 200, late: 200, unknown: 401, rejected: 401} {
				assert.Equal(t, c.sendHeaders(n, "/read/x", bearer(key)).status, status)
			}
			c.sendHeaders(n, "/open/x", bearer(unknown))
			c.sendHeaders(n, "/none/x", bearer(known))
		}
	}
	texts := map[string]string{"log": log.String()}
	for i, n := range c.nodes {
		texts[fmt.Sprint("metrics ", i)] = c.adminPage(n, "/metrics")
		texts[fmt.Sprint("events ", i)] = c.adminPage(n, "/events")
		messages, _ := recorders[i].recorded()
		texts[fmt.Sprint("messages ", i)] = string(messages)
	}
	for _, h := range seen.all() {
		texts["headers"] += fmt.Sprintln(h)
	}
	for name, text := range texts {
		assert.Assert(t, len(text) > 0, name)
		for _, secret := range secrets {
			for _, form := range []string{secret, base64.StdEncoding.EncodeToString([]byte(secret)), hex.EncodeToString([]byte(secret))} {
				assert.Assert(t, !strings.Contains(text, form), "%s contains %s", name, secret)
			}
		}
	}
	assert.Assert(t, strings.Contains(texts["messages 0"]+texts["messages 1"], "api_key_digests"), "no configuration was exchanged")
	assert.Assert(t, strings.Contains(texts["log"], "request-unauthorized") && strings.Contains(texts["headers"], "acme"))
}

// Guards against a flood of log lines that a caller without a valid key causes,
// and against refused keys that are counted nowhere.
func TestRefusedKeysAreCounted(t *testing.T) {
	c := newAccessCluster(t, 1, (&seenHeaders{}).serve)
	log := c.admin()
	n := c.nodes[0]
	c.putTenants(3, `[{"name":"acme","api_keys":["ka1"]}]`, bearer("kb1"), http.StatusUnauthorized)
	startedAt := time.Now()
	const count = 200
	conn := c.dial(n)
	for range count {
		conn.write(conn.head("GET", "ka3"))
		assert.Equal(t, conn.read().StatusCode, http.StatusUnauthorized)
	}
	assert.Equal(t, c.sendHeaders(n, "/read/x", http.Header{"Authorization": {"x"}}).status, http.StatusUnauthorized)
	for range 3 {
		assert.Equal(t, c.sendHeaders(n, "/read/x", bearer("ka1")).status, http.StatusOK)
	}
	lines := strings.Count(log.String(), "request-unauthorized")
	assert.Assert(t, lines >= 1 && lines <= 2+int(time.Since(startedAt)/time.Second), "%d lines", lines)
	assert.Assert(t, strings.Contains(log.String(), "reason=withdrawn workspace=bolt count=1"), log.String())
	metrics := c.adminPage(n, "/metrics")
	for _, line := range []string{
		fmt.Sprintf("front_unauthorized_unknown_total %d\n", count), "front_unauthorized_malformed_total 1\n",
		`front_workspace_requests_total{workspace="acme"} 3` + "\n", `front_workspace_refused_total{workspace="acme"} 0` + "\n",
	} {
		assert.Assert(t, strings.Contains(metrics, line), "%s is missing in %s", line, metrics)
	}
	assert.Equal(t, c.depart(n), http.StatusOK)
	assert.Equal(t, c.sendHeaders(n, "/read/x", bearer("ka1")).status, http.StatusServiceUnavailable)
	c.store.Put("op", "config", accessConfig(4, `[{"name":"acme","api_keys":["ka4"]}]`))
	c.await("the key to be withdrawn", func() bool { return c.sendHeaders(n, "/read/x", bearer("ka1")).status == http.StatusUnauthorized })
	metrics = c.adminPage(n, "/metrics")
	for _, line := range []string{`front_workspace_refused_total{workspace="acme"} `, `front_workspace_unauthorized_total{workspace="acme"} 1` + "\n"} {
		assert.Assert(t, strings.Contains(metrics, line) && !strings.Contains(metrics, line+"0"), "%s is missing in %s", line, metrics)
	}
}

// Guards against metrics that grow with the number of workspaces, or with each
// change of the configuration, until they fill the memory of the node.
func TestMetricNamesAreBounded(t *testing.T) {
	c := newCluster(t, 1, (&seenHeaders{}).serve)
	c.admin()
	n := c.nodes[0]
	names := func() (all, workspaces int) {
		page := c.adminPage(n, "/metrics")
		return strings.Count(page, "\n"), strings.Count(page, "{workspace=")
	}
	latest := 0
	for round := range 6 {
		const count = 300
		var list strings.Builder
		for i := range count {
			fmt.Fprintf(&list, `,{"name":"w%d-%03d","api_keys":["k%d-%d"]}`, round, i, round, i)
		}
		last := bearer(fmt.Sprintf("k%d-%d", round, count-1))
		c.putTenants(2+round, "["+list.String()[1:]+"]", last, http.StatusOK)
		for i := range 10 {
			assert.Equal(t, c.sendHeaders(n, "/read/x", bearer(fmt.Sprintf("k%d-%d", round, 29*i))).status, http.StatusOK)
			c.sendHeaders(n, "/read/x", bearer(fmt.Sprintf("k%d-%d", round-1, 29*i)))
		}
		all, workspaces := names()
		assert.Equal(t, workspaces, 3*129)
		if round == 1 {
			latest = all
		}
		// A metric for something that happens the first time may be added.
		assert.Assert(t, round <= 1 || all <= latest+30, "%d lines after %d changes, %d after the second", all, round+1, latest)
	}
	page := c.adminPage(n, "/metrics")
	assert.Assert(t, strings.Contains(page, `{workspace="w5-127"}`) && !strings.Contains(page, `{workspace="w5-128"}`))
	assert.Assert(t, !strings.Contains(page, `front_workspace_requests_total{workspace="other"} 0`))
	c.putTenants(20, `[]`, nil, http.StatusOK)
	c.await("the metrics to be removed", func() bool { _, workspaces := names(); return workspaces == 0 })
}

// Measures what a change of one key costs with the 82 workspaces and 1,500 routes
// of the largest deployment, and guards against keys in the stored row.
func TestSizeOfKeyChange(t *testing.T) {
	const routes, workspaces = 1500, 82
	c := newCluster(t, 2, serveSlowly)
	random := rand.New(rand.NewPCG(1, 2))
	var extra, list strings.Builder
	for i := range routes {
		fmt.Fprintf(&extra, `,{"name":"r-%07x","kind":"safe","target_latency_ms":500,"priority":1,"match":{"prefix":"/x%d/"},"action":{"service":"counter","timeout_ms":3000,"max_attempts":2}}`, random.Uint32()>>4, i)
	}
	for i := range workspaces {
		fmt.Fprintf(&list, `,{"name":"w%05x","api_keys":["sk-%016x%016x"],"priority":%d}`, random.Uint32()>>12, random.Uint64(), random.Uint64(), i%3)
	}
	put := func(version int, more string) uint64 {
		value := strings.Replace(configJSON(version, extra.String()), `"limits"`, `"tenants":[`+list.String()[1:]+more+`],"limits"`, 1)
		c.store.Put("op", "config", value)
		if version == 3 {
			t.Logf("the row in the store: %d bytes", len(value))
		}
		return c.store.Version()
	}
	before := put(2, "")
	newest := put(3, `,{"name":"new","api_keys":["sk-51c0ffee"]}`)
	p := peer.NewPool(peer.Options{MaxBodyBytes: 64 << 20})
	defer p.Close()
	var body []byte
	c.await("the change", func() bool {
		resp, err := p.ControlClient(c.nodes[0].settings.Listen.Peers).Body(t.Context(), &wirepb.BodyRequest{Digest: fmt.Sprint(newest), After: before})
		body = resp.GetBody()
		return err == nil
	})
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, _ = w.Write(body)
	assert.NilError(t, w.Close())
	t.Logf("a change of one key between nodes: %d bytes, %d compressed", len(body), compressed.Len())
	var rows []struct{ Value []byte }
	assert.NilError(t, json.Unmarshal(body, &rows))
	for _, row := range rows {
		assert.Assert(t, !bytes.Contains(row.Value, []byte("sk-")))
	}
}
