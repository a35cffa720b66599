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

// HeaderOrder is the caller's own number of a booking or commission. The
// ledger counts executions by it.
const HeaderOrder = "X-Order"

// UpstreamOptions configure an upstream stand-in.
type UpstreamOptions struct {
	Service ident.Service
	Version ident.Version
	Slots   ident.Slots
	// Address is where the stand-in serves, as announced to its node.
	Address string
	// Local is the base URL of the node's local port.
	Local string
	// Entry is the base URL of the node's callers' port, for calls further down.
	Entry string
	// Next names the service that requests below /confirm call.
	Next ident.Service
	// Mean is the mean service time; times are exponentially distributed.
	Mean time.Duration
	Seed uint64
	// Journal receives the order number of every execution when it begins.
	Journal func(order string)
}

// UpstreamFault is the body of POST /fault of an upstream. Prefix limits Fail
// and Slow to one route. Fail is a share of requests, Slow a factor.
type UpstreamFault struct {
	Fail   float64 `json:"fail"`
	Slow   float64 `json:"slow"`
	Shed   bool    `json:"shed"`
	Prefix string  `json:"prefix"`
}

// Tally is the answer of GET /tally: what the upstream executed.
type Tally struct {
	Runs   int            `json:"runs"`
	Most   int            `json:"most"`
	Orders map[string]int `json:"orders"`
}

// Upstream is a server that behaves like one upstream instance.
type Upstream struct {
	o      UpstreamOptions
	start  ident.Start
	client *http.Client

	mu      sync.Mutex
	rand    *rand.Rand
	fault   UpstreamFault
	running int
	tally   Tally
}

// NewUpstream returns an upstream that has not announced itself yet.
func NewUpstream(o UpstreamOptions) *Upstream {
	if o.Journal == nil {
		o.Journal = func(string) {}
	}
	r := rand.New(rand.NewPCG(o.Seed, uint64(o.Slots)))
	return &Upstream{
		o:      o,
		start:  ident.Start(r.Uint64() | 1),
		client: &http.Client{Transport: &http.Transport{}},
		rand:   r,
		tally:  Tally{Orders: map[string]int{}},
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

// run is what one request is going to experience.
type run struct {
	shed  bool
	fail  bool
	pause time.Duration
}

func (u *Upstream) begin(r *http.Request) run {
	u.mu.Lock()
	defer u.mu.Unlock()
	hit := strings.HasPrefix(r.URL.Path, u.fault.Prefix)
	if u.fault.Shed {
		return run{shed: true}
	}
	u.running++
	u.tally.Runs++
	u.tally.Most = max(u.tally.Most, u.running)
	if order := r.Header.Get(HeaderOrder); order != "" {
		u.tally.Orders[order]++
		u.o.Journal(order)
	}
	pause := time.Duration(float64(u.o.Mean) * u.rand.ExpFloat64())
	if hit && u.fault.Slow > 1 {
		pause = time.Duration(math.Round(float64(pause) * u.fault.Slow))
	}
	return run{fail: hit && u.rand.Float64() < u.fault.Fail, pause: pause}
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
	mono.Sleep(r.Context(), x.pause)
	if strings.HasPrefix(r.URL.Path, "/confirm") && u.o.Next != "" {
		u.confirm(w, r)
		return
	}
	u.reply(w, r, "")
}

// reply echoes the order number, so that a caller can tell its own answer
// from another's.
func (u *Upstream) reply(w http.ResponseWriter, r *http.Request, note string) {
	w.Header().Set(HeaderOrder, r.Header.Get(HeaderOrder))
	fmt.Fprintf(w, "%s %s %s %s%s\n", u.o.Service, u.o.Version, r.URL.Path, r.Header.Get(HeaderOrder), note)
}

// confirm calls the next service through the own node and hands the chain's
// headers down, as every upstream that calls others has to.
func (u *Upstream) confirm(w http.ResponseWriter, r *http.Request) {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, u.o.Entry+"/stock", http.NoBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for _, n := range []string{call.HeaderTimeout, call.HeaderAttempts, call.HeaderDepth} {
		req.Header.Set(n, r.Header.Get(n))
	}
	req.Header.Set(call.HeaderService, string(u.o.Next))
	req.Header.Set(call.HeaderCaller, string(u.o.Service))
	resp, err := u.client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		http.Error(w, "stock is not confirmed", http.StatusBadGateway)
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

// Announce tells the node about this upstream. It is repeated as a heartbeat.
func (u *Upstream) Announce(ctx context.Context) error {
	return u.post(ctx, "/announce", Announcement{
		Service: u.o.Service,
		Version: u.o.Version,
		Slots:   u.o.Slots,
		Address: u.o.Address,
		Start:   u.start,
	})
}

// Drain asks the node to stop sending work and waits until none is left.
func (u *Upstream) Drain(ctx context.Context) error {
	if err := u.post(ctx, "/drain", struct{}{}); err != nil {
		return err
	}
	for u.busy() && ctx.Err() == nil {
		mono.Sleep(ctx, drainPoll)
	}
	return u.post(ctx, "/withdraw", struct{}{})
}

// drainPoll is the interval at which a draining upstream looks at its work.
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.o.Local+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("node answers %s to %s", resp.Status, path)
	}
	return nil
}
