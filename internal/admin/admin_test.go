package admin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/admin"
)

func get(h http.Handler, method, path string) *http.Response {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w.Result()
}

func text(r *http.Response) string {
	b, _ := io.ReadAll(r.Body)
	return string(b)
}

func handler(r metrics.Registry, l *event.Log, reason string) http.Handler {
	return admin.New(admin.Options{Registry: r, Log: l, NotReadyReason: func() string { return reason }})
}

func ExampleNew() {
	r := metrics.NewRegistry()
	name := admin.MetricName("requests", admin.Label{Name: "service", Value: "counter"})
	metrics.GetOrRegisterCounter(name, r).Inc(3)
	fmt.Print(text(get(handler(r, nil, ""), "GET", "/metrics")))
	// Output:
	// # TYPE requests_total counter
	// requests_total{service="counter"} 3
}

// Guards against a page that Prometheus rejects or misreads because of its names,
// escapes, units, order of families or number format.
func TestExposition(t *testing.T) {
	r := metrics.NewRegistry()
	assert.NilError(t, r.Register(admin.MetricName("run", admin.Label{Name: "route", Value: "a\"b\\c\nd"}), counter(2)))
	assert.NilError(t, r.Register(admin.MetricName("run", admin.Label{Name: "route", Value: "}{,"}), counter(1)))
	assert.NilError(t, r.Register("run_total_failed", counter(0)))
	assert.NilError(t, r.Register("in-flight.now", metrics.NewFunctionalGauge(func() int64 { return -4 })))
	assert.NilError(t, r.Register("9share", metrics.NewFunctionalGaugeFloat64(func() float64 { return math.Inf(1) })))
	assert.NilError(t, r.Register("odd{service=counter}", metrics.NewFunctionalGauge(func() int64 { return 1 })))
	h := metrics.NewHistogram(metrics.NewUniformSample(100))
	latency := metrics.NewTimer()
	defer latency.Stop()
	for i := range int64(100) {
		h.Update(i + 1)
		latency.Update(time.Duration(i+1) * time.Millisecond)
	}
	assert.NilError(t, r.Register(admin.MetricName("size", admin.Label{Name: "kind", Value: "in"}), h))
	assert.NilError(t, r.Register("latency", latency))
	response := get(handler(r, nil, ""), "GET", "/metrics")
	assert.Equal(t, response.Header.Get("Content-Type"), "text/plain; version=0.0.4; charset=utf-8")
	assert.Equal(t, text(response), `# TYPE _9share gauge
_9share +Inf
# TYPE in_flight_now gauge
in_flight_now -4
# TYPE latency_seconds summary
latency_seconds_count 100
latency_seconds{quantile="0.5"} 0.0505
latency_seconds{quantile="0.9"} 0.0909
latency_seconds{quantile="0.99"} 0.09999
latency_seconds{quantile="0.999"} 0.1
# TYPE odd_service_counter_ gauge
odd_service_counter_ 1
# TYPE run_total counter
run_total{route="a\"b\\c\nd"} 2
run_total{route="}{,"} 1
# TYPE run_total_failed_total counter
run_total_failed_total 0
# TYPE size summary
size_count{kind="in"} 100
size{kind="in",quantile="0.5"} 50.5
size{kind="in",quantile="0.9"} 90.9
size{kind="in",quantile="0.99"} 99.99
size{kind="in",quantile="0.999"} 100
`)
}

func counter(n int64) metrics.Counter {
	c := metrics.NewCounter()
	c.Inc(n)
	return c
}

// Guards against a family with two TYPE lines or two kinds, which makes a scraper
// drop the whole page.
func TestFamilyHasOneKind(t *testing.T) {
	r := metrics.NewRegistry()
	for i, m := range []any{counter(1), counter(2), metrics.NewGauge(), metrics.NewGaugeFloat64()} {
		assert.NilError(t, r.Register(admin.MetricName("x_total", admin.Label{Name: "i", Value: fmt.Sprint(i)}), m))
	}
	page := text(get(handler(r, nil, ""), "GET", "/metrics"))
	assert.Equal(t, strings.Count(page, "# TYPE x_total "), 1)
	assert.Equal(t, page, "# TYPE x_total counter\nx_total{i=\"0\"} 1\nx_total{i=\"1\"} 2\n")
}

// Guards against traffic to a node that isn't ready, and against the restart of a
// live node because it isn't ready.
func TestLiveAndReady(t *testing.T) {
	r := get(handler(nil, nil, "draining"), "GET", "/ready")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, text(r), "not ready: draining\n")
	assert.Equal(t, get(handler(nil, nil, "draining"), "GET", "/live").StatusCode, http.StatusOK)
	assert.Equal(t, get(handler(nil, nil, ""), "GET", "/ready").StatusCode, http.StatusOK)
	assert.Equal(t, get(handler(nil, nil, ""), "POST", "/ready").StatusCode, http.StatusMethodNotAllowed)
}

// Guards against events that a client misses or receives twice when it continues
// from Next, and against lost events that the response doesn't count.
func TestEvents(t *testing.T) {
	l := event.New(event.Options{Node: "a", Start: 255, RingSize: 3})
	h := handler(nil, l, "")
	assert.Equal(t, text(get(h, "GET", "/events")), `{"start":"00000000000000ff","next":0,"lost":0,"events":[]}`+"\n")
	for range 5 {
		l.Emit(event.NodeReady)
	}
	var got struct {
		Next, Lost uint64
		Events     []struct{ Seq uint64 }
	}
	assert.NilError(t, json.Unmarshal([]byte(text(get(h, "GET", "/events?since=1"))), &got))
	assert.Equal(t, got.Next, uint64(5))
	assert.Equal(t, got.Lost, uint64(1))
	assert.Equal(t, len(got.Events), 3)
	assert.Equal(t, got.Events[0].Seq, uint64(3))
	for _, bad := range []string{"-1", "x", "1.5"} {
		assert.Equal(t, get(h, "GET", "/events?since="+bad).StatusCode, http.StatusBadRequest, bad)
	}
}
