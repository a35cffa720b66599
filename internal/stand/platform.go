// Package stand holds the stand-ins for the platform's services and for an
// upstream. They serve tests and the demo, keep everything in memory and can
// be told to fail. They are not part of the product's binary.
package stand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/store"
)

// maxBody bounds one request to a stand-in in bytes.
const maxBody = 32 << 20

// Mode is a failure mode of a platform stand-in.
type Mode string

// Failure modes. Lose applies a write and closes the connection unanswered.
const (
	ModeNone Mode = "none"
	ModeDown Mode = "down"
	ModeSlow Mode = "slow"
	ModeLose Mode = "lose"
)

// PlatformFault is the body of POST /fault. Count bounds the calls that it
// applies to; 0 means until the next fault. Delay is in milliseconds.
type PlatformFault struct {
	Mode  Mode `json:"mode"`
	Delay int  `json:"delay"`
	Count int  `json:"count"`
}

// Platform serves a table service and an object store over HTTP.
type Platform struct {
	rows    store.Table
	objects store.Objects

	mu    sync.Mutex
	fault PlatformFault
}

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	s := fakes.NewStore()
	return &Platform{rows: s.Table(), objects: s.Objects(), fault: PlatformFault{Mode: ModeNone}}
}

// Handler returns the HTTP interface of both services.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/fault", p.setFault).Methods(http.MethodPost)
	r.HandleFunc("/get", p.gate(p.get)).Methods(http.MethodPost)
	r.HandleFunc("/scan", p.gate(p.scan)).Methods(http.MethodPost)
	r.HandleFunc("/commit", p.gate(p.commit)).Methods(http.MethodPost)
	r.HandleFunc("/objects/{key:.+}", p.gate(p.getObject)).Methods(http.MethodGet)
	r.HandleFunc("/objects/{key:.+}", p.gate(p.putObject)).Methods(http.MethodPut)
	return r
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f PlatformFault
	if !decode(w, r, &f) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// next returns the fault of one call and counts it.
func (p *Platform) next() PlatformFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.fault
	if f.Count == 1 {
		p.fault = PlatformFault{Mode: ModeNone}
	}
	if f.Count > 1 {
		p.fault.Count--
	}
	return f
}

// gate applies the fault of the call around its handler.
func (p *Platform) gate(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := p.next()
		switch f.Mode {
		case ModeDown:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case ModeLose:
			handle(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case ModeSlow:
			slow(w, r, time.Duration(f.Delay)*time.Millisecond, handle)
		default:
			handle(w, r)
		}
	}
}

// slow delays a call. The body is read first, because net/http notices that a
// client has gone only after that.
func slow(w http.ResponseWriter, r *http.Request, d time.Duration, handle http.HandlerFunc) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	mono.Sleep(r.Context(), d)
	handle(w, r)
}

// discard drops an answer that is to be lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var q plat.KeyRequest
	if !decode(w, r, &q) {
		return
	}
	row, res := p.rows.Get(r.Context(), q.Key)
	answer(w, res, plat.Rows{Rows: []store.Row{row}})
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var q plat.KeyRequest
	if !decode(w, r, &q) {
		return
	}
	rows, res := p.rows.Scan(r.Context(), q.Key)
	answer(w, res, plat.Rows{Rows: rows})
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var q plat.CommitRequest
	if !decode(w, r, &q) {
		return
	}
	answer(w, p.rows.Commit(r.Context(), q.Writes), plat.Rows{})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	body, res := p.objects.Get(r.Context(), mux.Vars(r)["key"])
	if !res.OK() {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, p.objects.Put(r.Context(), mux.Vars(r)["key"], body), plat.Rows{})
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func answer(w http.ResponseWriter, r store.Result, rows plat.Rows) {
	switch {
	case r.Conflict:
		http.Error(w, "conflict", http.StatusConflict)
	case !r.OK():
		http.Error(w, "refused", http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(rows)
	}
}
