package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/procs"
)

const (
	// maxLatency is the largest latency in a histogram and the timeout of a call.
	maxLatency = 5 * time.Second
	// maxIdleConns limits the idle connections of each path.
	maxIdleConns = 64
)

// callPath is one path to the upstream with its measured latencies.
type callPath struct {
	name   string
	url    string
	client *http.Client

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  int
}

func newCallPath(name, address string) *callPath {
	return &callPath{
		name:    name,
		url:     "http://" + address + "/lessons",
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}, Timeout: maxLatency},
		latency: hdrhistogram.New(int64(time.Microsecond), int64(maxLatency), 3),
	}
}

// comparison measures the direct path and the path through the nodes with
// alternating calls.
type comparison struct {
	direct   *callPath
	viaNodes *callPath
	nodes    []*procs.Process
	// cpuBefore is the CPU time that the nodes had used before the measurement.
	cpuBefore time.Duration
	body      []byte
	sent      sync.WaitGroup
}

func newComparison(s *procs.System, size int) *comparison {
	return &comparison{
		direct:   newCallPath("direct", s.Instances[1].Address),
		viaNodes: newCallPath("hops", s.Instances[0].Callers),
		nodes:    []*procs.Process{s.Instances[0].Node, s.Instances[1].Node},
		body:     bytes.Repeat([]byte("x"), size),
	}
}

// run sends rate calls per second on each path for the given duration and waits
// for their responses. Calls alternate, so that other load on the machine affects
// both paths alike.
func (c *comparison) run(ctx context.Context, rate int, duration time.Duration) {
	t := time.NewTicker(time.Second / time.Duration(2*rate))
	defer t.Stop()
	end := time.After(duration)
	for n := 0; ; n++ {
		p := c.direct
		if n%2 == 1 {
			p = c.viaNodes
		}
		select {
		case <-ctx.Done():
			c.sent.Wait()
			return
		case <-end:
			c.sent.Wait()
			return
		case <-t.C:
			c.sent.Go(func() { p.send(c.body) })
		}
	}
}

// send sends a request that isn't idempotent and records its latency.
func (p *callPath) send(body []byte) {
	req, err := http.NewRequest(http.MethodPost, p.url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set(call.HeaderService, "counter")
	started := time.Now()
	resp, err := p.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	elapsed := time.Since(started)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || resp.StatusCode != http.StatusOK {
		p.failed++
		return
	}
	_ = p.latency.RecordValue(min(int64(maxLatency), int64(elapsed)))
}

// reset discards the measurements of the warm-up, in which connections are
// opened.
func (c *comparison) reset() {
	for _, p := range []*callPath{c.direct, c.viaNodes} {
		p.latency.Reset()
		p.failed = 0
	}
	c.cpuBefore = c.cpuTime()
}

// cpuTime returns the CPU time that both nodes have used, or 0 if it can't be
// read.
func (c *comparison) cpuTime() time.Duration {
	var sum time.Duration
	for _, n := range c.nodes {
		used, err := n.CPU()
		if err != nil {
			return 0
		}
		sum += used
	}
	return sum
}

// print prints the results at one rate and reports whether the added latency is
// within the target and no call through the nodes has failed.
func (c *comparison) print(rate int) bool {
	for _, p := range []*callPath{c.direct, c.viaNodes} {
		fmt.Printf("%4d   %-6s  %-9v  %-9v  %-9v  %6d  %d\n",
			rate, p.name, p.quantile(50), p.quantile(99), p.quantile(99.9), p.latency.TotalCount(), p.failed)
	}
	calls := max(1, time.Duration(c.viaNodes.latency.TotalCount()))
	fmt.Printf("%4d   processor time of both nodes %v a call\n", rate, ((c.cpuTime() - c.cpuBefore) / calls).Round(time.Microsecond))
	added := c.viaNodes.quantile(99) - c.direct.quantile(99)
	withinTarget := added <= maxAddedP99 && c.viaNodes.failed == 0
	fmt.Printf("%4d   added   p50 %v (%.2fx), p99 %v (%.2fx), target %v: %t\n", rate,
		c.viaNodes.quantile(50)-c.direct.quantile(50), ratio(c.viaNodes, c.direct, 50), added, ratio(c.viaNodes, c.direct, 99), maxAddedP99, withinTarget)
	return withinTarget
}

func (p *callPath) quantile(percentile float64) time.Duration {
	return time.Duration(p.latency.ValueAtQuantile(percentile)).Round(time.Microsecond)
}

func ratio(a, b *callPath, percentile float64) float64 {
	return float64(a.quantile(percentile)) / float64(max(1, b.quantile(percentile)))
}
