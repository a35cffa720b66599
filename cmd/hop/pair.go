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
	// slowest is the largest latency that a histogram resolves.
	slowest = 5 * time.Second
	// idle bounds the idle connections of each way.
	idle = 64
)

// way is one way to the upstream with its latencies.
type way struct {
	name   string
	url    string
	client *http.Client

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  int
}

func newWay(name, address string) *way {
	return &way{
		name:    name,
		url:     "http://" + address + "/lessons",
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}, Timeout: slowest},
		latency: hdrhistogram.New(int64(time.Microsecond), int64(slowest), 3),
	}
}

// pair compares both ways, call by call.
type pair struct {
	direct *way
	hops   *way
	nodes  []*procs.Process
	// used is the nodes' processor time before the measurement.
	used time.Duration
	body []byte
	sent sync.WaitGroup
}

func newPair(s *procs.System, size int) *pair {
	return &pair{
		direct: newWay("direct", s.Workers[1].Address),
		hops:   newWay("hops", s.Workers[0].Callers),
		nodes:  []*procs.Process{s.Workers[0].Node, s.Workers[1].Node},
		body:   bytes.Repeat([]byte("x"), size),
	}
}

// run sends rate calls a second on each way, alternating, so that what else
// happens on the machine meets both alike.
func (p *pair) run(ctx context.Context, rate int, length time.Duration) {
	t := time.NewTicker(time.Second / time.Duration(2*rate))
	defer t.Stop()
	end := time.After(length)
	for n := 0; ; n++ {
		w := p.direct
		if n%2 == 1 {
			w = p.hops
		}
		select {
		case <-ctx.Done():
			p.sent.Wait()
			return
		case <-end:
			p.sent.Wait()
			return
		case <-t.C:
			p.sent.Go(func() { w.call(p.body) })
		}
	}
}

// call sends a request that must not run twice and records its latency.
func (w *way) call(body []byte) {
	req, err := http.NewRequest(http.MethodPost, w.url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set(call.HeaderService, "counter")
	began := time.Now()
	resp, err := w.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	took := time.Since(began)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || resp.StatusCode != http.StatusOK {
		w.failed++
		return
	}
	_ = w.latency.RecordValue(min(int64(slowest), int64(took)))
}

// reset forgets what was measured while the connections were opened.
func (p *pair) reset() {
	for _, w := range []*way{p.direct, p.hops} {
		w.latency.Reset()
		w.failed = 0
	}
	p.used = p.cpu()
}

// cpu is the processor time that both nodes have used, or 0 if it can't be read.
func (p *pair) cpu() time.Duration {
	var sum time.Duration
	for _, n := range p.nodes {
		used, err := n.CPU()
		if err != nil {
			return 0
		}
		sum += used
	}
	return sum
}

// print writes the figures of one rate and reports whether the target holds.
func (p *pair) print(rate int) bool {
	for _, w := range []*way{p.direct, p.hops} {
		fmt.Printf("%4d   %-6s  %-9v  %-9v  %-9v  %6d  %d\n",
			rate, w.name, w.at(50), w.at(99), w.at(99.9), w.latency.TotalCount(), w.failed)
	}
	calls := max(1, time.Duration(p.hops.latency.TotalCount()))
	fmt.Printf("%4d   processor time of both nodes %v a call\n", rate, ((p.cpu() - p.used) / calls).Round(time.Microsecond))
	added := p.hops.at(99) - p.direct.at(99)
	good := added <= target && p.hops.failed == 0
	fmt.Printf("%4d   added   p50 %v (%.2fx), p99 %v (%.2fx), target %v: %t\n", rate,
		p.hops.at(50)-p.direct.at(50), ratio(p.hops, p.direct, 50), added, ratio(p.hops, p.direct, 99), target, good)
	return good
}

func (w *way) at(percentile float64) time.Duration {
	return time.Duration(w.latency.ValueAtQuantile(percentile)).Round(time.Microsecond)
}

func ratio(a, b *way, percentile float64) float64 {
	return float64(a.at(percentile)) / float64(max(1, b.at(percentile)))
}
