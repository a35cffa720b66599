package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "hulo84.example"

// rule is a route of the configuration.
type rule struct {
	name, prefix, kind, service string
	objective, timeout          time.Duration
}

// configuration encodes a configuration as the operator does.
func configuration(version int, services []string, rules []rule) string {
	var encoded, clusters []string
	for _, u := range rules {
		encoded = append(encoded, fmt.Sprintf(
			`{"name":%q,"kind":%q,"target_latency_ms":%d,"priority":1,"match":{"prefix":%q},"action":{"service":%q,"timeout_ms":%d,"max_attempts":2}}`,
			u.name, u.kind, u.objective.Milliseconds(), u.prefix, u.service, u.timeout.Milliseconds()))
	}
	for _, s := range services {
		clusters = append(clusters, fmt.Sprintf(
			`{"name":%q,"health_path":"/health","max_conns":260,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":6.0}`, s))
	}
	return fmt.Sprintf(`{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":%q,"rules":[%s]}],"clusters":[%s]}`,
		version, host, strings.Join(encoded, ","), strings.Join(clusters, ","))
}

// client sends requests over kept connections.
type client struct {
	record *record
	http   *http.Client
	lastID atomic.Int64
}

// maxIdle is the number of connections that a client keeps open to each node.
const maxIdle = 64

func newClient(r *record) *client {
	return &client{record: r, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxIdle}}}
}

// attempt is one client attempt and its answer. The status is 0 without one.
type attempt struct {
	id, path string
	sent     time.Time
	status   int
}

// send sends one client attempt to a node and waits for the answer.
func (c *client) send(m *machine, method, path string, deadline time.Duration) attempt {
	a := attempt{id: fmt.Sprintf("%016x", c.lastID.Add(1)), path: path, sent: time.Now()}
	var body []byte
	if method == http.MethodPost {
		body = []byte("order " + a.id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.listen["callers"]+path, bytes.NewReader(body))
	if err != nil {
		c.record.add("client can't send %s: %v", a.id, err)
		return a
	}
	r.Host = host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.record.add("client sends %s %s %s to %s, X-Deadline-Ms %d", a.id, method, path, m.name, deadline.Milliseconds())
	resp, err := c.http.Do(r)
	if err != nil {
		c.record.add("client gets no answer to %s: %v", a.id, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	a.status = resp.StatusCode
	c.record.add("client gets %d for %s: %q, signature %q, error %v", a.status, a.id, answer, resp.Header.Get("X-Response-Signature"), err)
	return a
}
