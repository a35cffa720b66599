package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/mono"
)

// HeaderOrderNumber holds the number by which a caller identifies a booking or
// commission. Executions are counted by it.
const HeaderOrderNumber = "X-Order"

// UpstreamOptions configure an upstream stand-in.
type UpstreamOptions struct {
	Service ident.Service
	Version ident.Version
	Slots   ident.Slots
	// Address is the address of the stand-in, as announced to its node.
	Address string
	// Local is the base URL of the node's local port.
	Local string
	// Entry is the base URL of the node's port for callers, for calls to Next.
	Entry string
	// Next is the service that requests with the path prefix /confirm call.
	Next ident.Service
	// Mean is the mean service time; times are exponentially distributed.
	Mean time.Duration
	Seed uint64
	// Journal is called with the order number of every execution when it begins.
	Journal func(order string)
}

// UpstreamFault is the body of POST /fault of an upstream. Fail is the share of
// requests that fail, Slow the factor on the service time. Both apply only to
// paths that begin with Prefix. Shed refuses all requests.
type UpstreamFault struct {
	Fail   float64 `json:"fail"`
	Slow   float64 `json:"slow"`
	Shed   bool    `json:"shed"`
	Prefix string  `json:"prefix"`
}

// Tally is the response of GET /tally. Runs is the number of executed requests,
// MaxRunning the largest number that ran at the same time, and Orders the
// number of executions by order number.
type Tally struct {
	Runs       int            `json:"runs"`
	MaxRunning int            `json:"most"`
	Orders     map[string]int `json:"orders"`
}

// Upstream is a server that behaves like one upstream instance.
type Upstream struct {
	options UpstreamOptions
	start   ident.Start
	client  *http.Client

	mu      sync.Mutex
	rand    *rand.Rand
	fault   UpstreamFault
	running int
	tally   Tally
}

// NewUpstream returns an upstream that isn't announced to its node yet.
func NewUpstream(options UpstreamOptions) *Upstream {
	if options.Journal == nil {
		options.Journal = func(string) {}
	}
	r := rand.New(rand.NewPCG(options.Seed, uint64(options.Slots)))
	return &Upstream{
		options: options,
		start:   ident.Start(r.Uint64() | 1),
		client:  &http.Client{Transport: &http.Transport{}},
		rand:    r,
		tally:   Tally{Orders: map[string]int{}},
	}
}

// Handler returns the upstream's HTTP interface.
func (u *Upstream) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/fault", u.setFault).Methods(http.MethodPost)
	r.HandleFunc("/tally", u.getTally).Methods(http.MethodGet)
	r.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.PathPrefix("/").HandlerFunc(u.serve)
	return r
}

func (u *Upstream) setFault(w http.ResponseWriter, r *http.Request) {
	var f UpstreamFault
	if !decode(w, r, &f) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = f
}

func (u *Upstream) getTally(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(u.tally)
}

// Runs returns the number of executed requests.
func (u *Upstream) Runs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tally.Runs
}

// run is the result drawn for one request.
type run struct {
	shed        bool
	fail        bool
	serviceTime time.Duration
}

// begin counts a request and draws its result. The caller must call end
// unless the request is shed.
func (u *Upstream) begin(r *http.Request) run {
	u.mu.Lock()
	defer u.mu.Unlock()
	affected := strings.HasPrefix(r.URL.Path, u.fault.Prefix)
	if u.fault.Shed {
		return run{shed: true}
	}
	u.running++
	u.tally.Runs++
	u.tally.MaxRunning = max(u.tally.MaxRunning, u.running)
	if order := r.Header.Get(HeaderOrderNumber); order != "" {
		u.tally.Orders[order]++
		u.options.Journal(order)
	}
	serviceTime := time.Duration(float64(u.options.Mean) * u.rand.ExpFloat64())
	if affected && u.fault.Slow > 1 {
		serviceTime = time.Duration(math.Round(float64(serviceTime) * u.fault.Slow))
	}
	return run{fail: affected && u.rand.Float64() < u.fault.Fail, serviceTime: serviceTime}
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	x := u.begin(r)
	if x.shed {
		w.Header().Set(call.HeaderShed, "true")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer u.end()
	if x.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	mono.Sleep(r.Context(), x.serviceTime)
	if strings.HasPrefix(r.URL.Path, "/confirm") && u.options.Next != "" {
		u.confirm(w, r)
		return
	}
	u.reply(w, r, "")
}

// reply writes the response. It echoes the order number, so that a caller can
// detect a response to another request.
func (u *Upstream) reply(w http.ResponseWriter, r *http.Request, suffix string) {
	w.Header().Set(HeaderOrderNumber, r.Header.Get(HeaderOrderNumber))
	fmt.Fprintf(w, "%s %s %s %s%s\n", u.options.Service, u.options.Version, r.URL.Path, r.Header.Get(HeaderOrderNumber), suffix)
}

// confirm calls the next service through the upstream's own node. It forwards
// the headers of the call chain, as every upstream that calls others must.
func (u *Upstream) confirm(w http.ResponseWriter, r *http.Request) {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, u.options.Entry+"/stock", http.NoBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for _, n := range []string{call.HeaderTimeout, call.HeaderAttempts, call.HeaderDepth} {
		req.Header.Set(n, r.Header.Get(n))
	}
	req.Header.Set(call.HeaderService, string(u.options.Next))
	req.Header.Set(call.HeaderCaller, string(u.options.Service))
	resp, err := u.client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		http.Error(w, "response of the next service is not OK", http.StatusBadGateway)
		return
	}
	u.reply(w, r, " stock confirmed")
}

// Announcement is the body of POST /announce at the node's local port.
type Announcement struct {
	Service ident.Service `json:"service"`
	Version ident.Version `json:"version"`
	Slots   ident.Slots   `json:"slots"`
	Address string        `json:"address"`
	Start   ident.Start   `json:"start,string"`
}

// Announce announces the upstream to its node. The caller repeats it as a heartbeat.
func (u *Upstream) Announce(ctx context.Context) error {
	return u.post(ctx, "/announce", Announcement{
		Service: u.options.Service,
		Version: u.options.Version,
		Slots:   u.options.Slots,
		Address: u.options.Address,
		Start:   u.start,
	})
}

// Drain asks the node to send no new requests, waits until all running requests
// have ended, and then withdraws the upstream.
func (u *Upstream) Drain(ctx context.Context) error {
	if err := u.post(ctx, "/drain", struct{}{}); err != nil {
		return err
	}
	for u.busy() && ctx.Err() == nil {
		mono.Sleep(ctx, drainPoll)
	}
	return u.post(ctx, "/withdraw", struct{}{})
}

// drainPoll is the interval at which Drain checks for running requests.
const drainPoll = 20 * time.Millisecond

func (u *Upstream) busy() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running > 0
}

func (u *Upstream) post(ctx context.Context, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.options.Local+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("node responded with status %s to POST %s", resp.Status, path)
	}
	return nil
}
