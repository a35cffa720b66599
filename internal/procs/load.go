package procs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/stand"
)

// requestKind is one kind of request in the load; share is its fraction of all
// requests.
type requestKind struct {
	name    string
	service string
	method  string
	path    string
	share   float64
}

// requestKinds are the requests of the demo shop: half of them are safe reads,
// 35 % are bookings and commissions that must run at most once, and 15 % cause a
// nested call from counter to workshop.
var requestKinds = []requestKind{
	{name: "browse", service: "counter", method: http.MethodGet, path: "/browse", share: 0.5},
	{name: "lesson", service: "counter", method: http.MethodPost, path: "/lessons", share: 0.2},
	{name: "commission", service: "workshop", method: http.MethodPost, path: "/commissions", share: 0.15},
	{name: "confirm", service: "counter", method: http.MethodGet, path: "/confirm", share: 0.15},
}

// Totals counts all requests of one run by the outcome that callers saw.
type Totals struct {
	Sent    int `json:"sent"`
	Ran     int `json:"ran"`
	Failed  int `json:"failed"`
	NotRun  int `json:"notrun"`
	Unknown int `json:"unknown"`
	// WrongAnswers counts successful responses that are incomplete or belong to
	// another request.
	WrongAnswers int `json:"wrong"`
	// BrokenConns counts connections that ended without an HTTP response.
	BrokenConns int `json:"broken"`
}

// OrderOutcome is the outcome that the caller of one order received.
// AtMostOnce is set if the order must not run more than once.
type OrderOutcome struct {
	Outcome    call.Outcome
	AtMostOnce bool
}

const (
	// defaultTimeout is the timeout that callers send unless Load.Timeout is set.
	defaultTimeout = 3 * time.Second
	// clientTimeout is far above any request timeout, so that the system
	// answers before the HTTP client gives up, even on a busy machine.
	clientTimeout = time.Minute
	// maxLatency is the largest latency that the histogram records, in
	// microseconds.
	maxLatency = int64(clientTimeout / time.Microsecond)
)

// Load sends requests at a constant rate, independent of response times (open
// loop).
type Load struct {
	client *http.Client

	mu        sync.Mutex
	entries   []string
	rand      *rand.Rand
	totals    Totals
	outcomes  map[string]OrderOutcome
	latency   *hdrhistogram.Histogram
	failures  map[string]int
	completed int
	inFlight  map[string]int
	pending   sync.WaitGroup
	// Reroute makes callers try the other entries if a connection can't be
	// established; nothing has been sent in that case. Set it before Run.
	Reroute bool
	// Timeout is the request timeout that callers send. Set it before Run.
	Timeout time.Duration
	// Kinds limits the load to the named kinds of requests; empty means all.
	// Set it before Run.
	Kinds []string
}

// NewLoad returns a load on the given entries. The seed determines the sequence
// of request kinds and entries.
func NewLoad(seed uint64, entries []string) *Load {
	return &Load{
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: clientTimeout},
		entries:  entries,
		rand:     rand.New(rand.NewPCG(seed, 1)),
		outcomes: map[string]OrderOutcome{},
		latency:  hdrhistogram.New(1, maxLatency, 3),
		failures: map[string]int{},
		inFlight: map[string]int{},
		Timeout:  defaultTimeout,
	}
}

// SetEntries replaces the entries that callers use.
func (l *Load) SetEntries(entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

// Run sends rate requests per second until ctx ends, then waits until all
// requests have completed.
func (l *Load) Run(ctx context.Context, rate int) {
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			l.pending.Wait()
			return
		case <-t.C:
			k, entry := l.next()
			l.pending.Add(1)
			go func() {
				defer l.pending.Done()
				defer l.release(entry)
				l.send(k, entry, fmt.Sprintf("%s-%06d", k.name, n))
			}()
		}
	}
}

func (l *Load) next() (requestKind, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Sent++
	entry := l.entries[l.rand.IntN(len(l.entries))]
	l.inFlight[entry]++
	k := l.randomKind()
	for len(l.Kinds) > 0 && !slices.Contains(l.Kinds, k.name) {
		k = l.randomKind()
	}
	return k, entry
}

func (l *Load) randomKind() requestKind {
	x := l.rand.Float64()
	for _, k := range requestKinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return requestKinds[0]
}

// send sends one request. With Reroute it tries the entries in turn until one
// accepts the connection.
func (l *Load) send(k requestKind, entry, order string) {
	err := l.sendTo(k, entry, order)
	if l.Reroute {
		for _, e := range l.entryList() {
			if !dialFailed(err) {
				break
			}
			err = l.sendTo(k, e, order)
		}
	}
	if err != nil {
		l.recordBroken(order, k, err)
	}
}

func (l *Load) entryList() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

func (l *Load) release(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[entry]--
}

// InUse reports whether callers send requests to an entry or have requests in
// flight to it. A request that Reroute sent to another entry is counted only for
// its first entry.
func (l *Load) InUse(entry string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.entries, entry) || l.inFlight[entry] > 0
}

// dialFailed reports whether err means that no connection was established, so
// that nothing was sent.
func dialFailed(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// sendTo sends a request to one entry. It returns an error if there was no HTTP
// response.
func (l *Load) sendTo(k requestKind, entry, order string) error {
	req, err := http.NewRequest(k.method, "http://"+entry+k.path, strings.NewReader(requestBody(k, order)))
	if err != nil {
		panic(err)
	}
	// net/http repeats a GET by itself after a reused connection breaks, unless
	// the body can't be rewound. Two requests with the same order number would
	// be counted as a duplicate execution by the system under test.
	req.Body, req.GetBody = io.NopCloser(strings.NewReader(requestBody(k, order))), nil
	req.Header.Set(call.HeaderService, k.service)
	req.Header.Set(call.HeaderTimeout, l.Timeout.String())
	req.Header.Set(stand.HeaderOrderNumber, order)
	started := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	l.recordAnswer(k, order, resp, string(answer), err, time.Since(started))
	return nil
}

func requestBody(k requestKind, order string) string {
	if k.method == http.MethodGet {
		return ""
	}
	return "order " + order
}

func (l *Load) recordBroken(order string, k requestKind, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed++
	l.totals.BrokenConns++
	l.failures["broken connection: "+errorKind(err)]++
	l.outcomes[order] = OrderOutcome{Outcome: call.Unknown, AtMostOnce: k.method == http.MethodPost}
}

// errorKind returns the part of the error text after the last colon, the
// innermost cause.
func errorKind(err error) string {
	text := err.Error()
	return strings.TrimSpace(text[strings.LastIndex(text, ":")+1:])
}

func (l *Load) recordAnswer(k requestKind, order string, resp *http.Response, body string, err error, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed++
	o := call.Outcome(resp.Header.Get(call.HeaderOutcome))
	l.outcomes[order] = OrderOutcome{Outcome: o, AtMostOnce: k.method == http.MethodPost}
	switch {
	case o == call.Ran && resp.StatusCode != http.StatusOK:
		l.totals.Failed++
		l.failures[fmt.Sprintf("%s: status %d", k.name, resp.StatusCode)]++
	case o == call.Ran:
		l.totals.Ran++
		_ = l.latency.RecordValue(min(maxLatency, elapsed.Microseconds()))
	case o == call.NotRun:
		l.totals.NotRun++
		l.failures["not run: "+resp.Header.Get(call.HeaderReason)]++
	default:
		l.totals.Unknown++
		l.failures["unknown: "+resp.Header.Get(call.HeaderReason)]++
	}
	complete := strings.HasSuffix(body, "\n") && strings.Contains(body, " "+k.path+" "+order)
	if o == call.Ran && resp.StatusCode == http.StatusOK && (err != nil || !complete) {
		l.totals.WrongAnswers++
	}
}
