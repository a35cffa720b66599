// Package stand provides HTTP stand-ins for the platform's services and for an
// upstream, for tests and the demo. They keep all data in memory and inject
// faults on request. They are never linked into the node.
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

// maxBodyBytes bounds the body of one request to a stand-in.
const maxBodyBytes = 32 << 20

// Mode is a failure mode of a platform stand-in.
type Mode string

// Failure modes. ModeUnavailable refuses calls, ModeSlow delays them, and
// ModeResponseLost executes a call and closes the connection without a
// response.
const (
	ModeNone         Mode = "none"
	ModeUnavailable  Mode = "down"
	ModeSlow         Mode = "slow"
	ModeResponseLost Mode = "lose"
)

// PlatformFault is the body of POST /fault. It applies to the next Count calls;
// 0 means to all until it is replaced. Delay is in milliseconds.
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
	r.HandleFunc("/get", p.withFault(p.get)).Methods(http.MethodPost)
	r.HandleFunc("/scan", p.withFault(p.scan)).Methods(http.MethodPost)
	r.HandleFunc("/commit", p.withFault(p.commit)).Methods(http.MethodPost)
	r.HandleFunc("/objects/{key:.+}", p.withFault(p.getObject)).Methods(http.MethodGet)
	r.HandleFunc("/objects/{key:.+}", p.withFault(p.putObject)).Methods(http.MethodPut)
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

// nextFault returns the fault of the next call and counts the call.
func (p *Platform) nextFault() PlatformFault {
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

// withFault wraps the handler of a call with the fault of that call.
func (p *Platform) withFault(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := p.nextFault()
		switch f.Mode {
		case ModeUnavailable:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case ModeResponseLost:
			handle(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case ModeSlow:
			serveSlow(w, r, time.Duration(f.Delay)*time.Millisecond, handle)
		default:
			handle(w, r)
		}
	}
}

// serveSlow delays a call by d. It reads the body first, because net/http
// detects a closed client connection only after that.
func serveSlow(w http.ResponseWriter, r *http.Request, d time.Duration, handle http.HandlerFunc) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	mono.Sleep(r.Context(), d)
	handle(w, r)
}

// discard is an http.ResponseWriter that drops the response.
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
	writeResult(w, res, plat.RowsResponse{Rows: []store.Row{row}})
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var q plat.KeyRequest
	if !decode(w, r, &q) {
		return
	}
	rows, res := p.rows.Scan(r.Context(), q.Key)
	writeResult(w, res, plat.RowsResponse{Rows: rows})
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var q plat.CommitRequest
	if !decode(w, r, &q) {
		return
	}
	writeResult(w, p.rows.Commit(r.Context(), q.Writes), plat.RowsResponse{})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	body, res := p.objects.Get(r.Context(), mux.Vars(r)["key"])
	if !res.OK() {
		http.Error(w, "object does not exist", http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResult(w, p.objects.Put(r.Context(), mux.Vars(r)["key"], body), plat.RowsResponse{})
}

// decode reads the JSON body of a request. It reports whether the body is
// valid; if not, it has written the response.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeResult(w http.ResponseWriter, r store.Result, rows plat.RowsResponse) {
	switch {
	case r.Conflict:
		http.Error(w, "conflict", http.StatusConflict)
	case !r.OK():
		http.Error(w, "refused", http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(rows)
	}
}
