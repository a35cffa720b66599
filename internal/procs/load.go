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

// kind is one kind of request that the load consists of.
type kind struct {
	name    string
	service string
	method  string
	path    string
	share   float64
}

// kinds are the requests of the magic shop: mostly browsing, some bookings
// and commissions that must not run twice, some calls two levels deep.
var kinds = []kind{
	{name: "browse", service: "counter", method: http.MethodGet, path: "/browse", share: 0.5},
	{name: "lesson", service: "counter", method: http.MethodPost, path: "/lessons", share: 0.2},
	{name: "commission", service: "workshop", method: http.MethodPost, path: "/commissions", share: 0.15},
	{name: "confirm", service: "counter", method: http.MethodGet, path: "/confirm", share: 0.15},
}

// Totals are the callers' view of all requests of one run.
type Totals struct {
	Sent    int `json:"sent"`
	Ran     int `json:"ran"`
	Failed  int `json:"failed"`
	NotRun  int `json:"notrun"`
	Unknown int `json:"unknown"`
	// Wrong counts answers that belong to another request or aren't whole.
	Wrong int `json:"wrong"`
	// Broken counts connections that ended without an HTTP answer.
	Broken int `json:"broken"`
}

// Fate is what the caller of one order was told.
type Fate struct {
	Outcome call.Outcome
	Once    bool
}

const (
	// defaultTimeout is the deadline that callers pass unless a run sets another.
	defaultTimeout = 3 * time.Second
	// clientLimit is far above any deadline, so that the system answers first,
	// also on a busy machine.
	clientLimit = time.Minute
	// slowest is the largest latency that the histogram resolves.
	slowest = int64(clientLimit / time.Microsecond)
)

// Load sends requests at a constant rate, whatever the answers do.
type Load struct {
	client *http.Client

	mu      sync.Mutex
	entries []string
	rand    *rand.Rand
	totals  Totals
	fates   map[string]Fate
	latency *hdrhistogram.Histogram
	notes   map[string]int
	ended   int
	flying  map[string]int
	sent    sync.WaitGroup
	// Reroute makes callers try the next entry if a connection is refused:
	// nothing has been sent then. Set it before Run.
	Reroute bool
	// Timeout is the deadline that callers pass. Set it before Run.
	Timeout time.Duration
	// Only limits the load to the named kinds of requests. Set it before Run.
	Only []string
}

// NewLoad returns a load that callers send to the entries.
func NewLoad(seed uint64, entries []string) *Load {
	return &Load{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: clientLimit},
		entries: entries,
		rand:    rand.New(rand.NewPCG(seed, 1)),
		fates:   map[string]Fate{},
		latency: hdrhistogram.New(1, slowest, 3),
		notes:   map[string]int{},
		flying:  map[string]int{},
		Timeout: defaultTimeout,
	}
}

// SetEntries replaces the nodes that callers use.
func (l *Load) SetEntries(entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

// Run sends rate requests a second until ctx ends and waits for the answers.
func (l *Load) Run(ctx context.Context, rate int) {
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			l.sent.Wait()
			return
		case <-t.C:
			k, entry := l.draw()
			l.sent.Add(1)
			go func() {
				defer l.sent.Done()
				defer l.leave(entry)
				l.send(k, entry, fmt.Sprintf("%s-%06d", k.name, n))
			}()
		}
	}
}

func (l *Load) draw() (kind, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Sent++
	entry := l.entries[l.rand.IntN(len(l.entries))]
	l.flying[entry]++
	k := l.kind()
	for len(l.Only) > 0 && !slices.Contains(l.Only, k.name) {
		k = l.kind()
	}
	return k, entry
}

func (l *Load) kind() kind {
	x := l.rand.Float64()
	for _, k := range kinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return kinds[0]
}

// send sends one request, with Reroute to every entry until one accepts the
// connection.
func (l *Load) send(k kind, entry, order string) {
	err := l.try(k, entry, order)
	if l.Reroute {
		for _, e := range l.list() {
			if !refused(err) {
				break
			}
			err = l.try(k, e, order)
		}
	}
	if err != nil {
		l.broken(order, k, err)
	}
}

func (l *Load) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

func (l *Load) leave(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flying[entry]--
}

// Uses reports whether callers send to an entry or wait for its answers. With
// Reroute it may miss requests whose first entry refused the connection.
func (l *Load) Uses(entry string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.entries, entry) || l.flying[entry] > 0
}

// refused reports whether no connection was made, so that nothing was sent.
func refused(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// try sends a request to one entry. Its error means that there was no answer.
func (l *Load) try(k kind, entry, order string) error {
	req, err := http.NewRequest(k.method, "http://"+entry+k.path, strings.NewReader(body(k, order)))
	if err != nil {
		panic(err)
	}
	// net/http resends a GET on its own after a reused connection breaks,
	// unless its body can't be rewound. Two requests with one order number
	// would look like a fault of the system.
	req.Body, req.GetBody = io.NopCloser(strings.NewReader(body(k, order))), nil
	req.Header.Set(call.HeaderService, k.service)
	req.Header.Set(call.HeaderTimeout, l.Timeout.String())
	req.Header.Set(stand.HeaderOrder, order)
	began := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	l.record(k, order, resp, string(answer), err, time.Since(began))
	return nil
}

func body(k kind, order string) string {
	if k.method == http.MethodGet {
		return ""
	}
	return "order " + order
}

func (l *Load) broken(order string, k kind, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended++
	l.totals.Broken++
	l.notes["broken connection: "+errorKind(err)]++
	l.fates[order] = Fate{Outcome: call.Unknown, Once: k.method == http.MethodPost}
}

// errorKind shortens an error to its last part, which tells the kind.
func errorKind(err error) string {
	text := err.Error()
	return strings.TrimSpace(text[strings.LastIndex(text, ":")+1:])
}

func (l *Load) record(k kind, order string, resp *http.Response, answer string, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended++
	o := call.Outcome(resp.Header.Get(call.HeaderOutcome))
	l.fates[order] = Fate{Outcome: o, Once: k.method == http.MethodPost}
	switch {
	case o == call.Ran && resp.StatusCode != http.StatusOK:
		l.totals.Failed++
		l.notes[fmt.Sprintf("%s: status %d", k.name, resp.StatusCode)]++
	case o == call.Ran:
		l.totals.Ran++
		_ = l.latency.RecordValue(min(slowest, took.Microseconds()))
	case o == call.NotRun:
		l.totals.NotRun++
		l.notes["not run: "+resp.Header.Get(call.HeaderReason)]++
	default:
		l.totals.Unknown++
		l.notes["unknown: "+resp.Header.Get(call.HeaderReason)]++
	}
	whole := strings.HasSuffix(answer, "\n") && strings.Contains(answer, " "+k.path+" "+order)
	if o == call.Ran && resp.StatusCode == http.StatusOK && (err != nil || !whole) {
		l.totals.Wrong++
	}
}
