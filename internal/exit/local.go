package exit

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/mono"
)

const (
	// maxMessageBytes is the maximum size of a message from the upstream in
	// bytes.
	maxMessageBytes = 16 << 10
	// maxSlots is the maximum number of announced slots; a larger number
	// indicates a wrong unit.
	maxSlots = 100_000
)

// announcement is the body of POST /announce.
type announcement struct {
	Service ident.Service `json:"service"`
	Version ident.Version `json:"version"`
	Slots   ident.Slots   `json:"slots"`
	Address string        `json:"address"`
	Start   ident.Start   `json:"start,string"`
}

// LoadReport is the body of POST /load. It is only a hint: observed traffic
// takes precedence.
type LoadReport struct {
	Inflight int32 `json:"inflight"`
	// Health is true while the upstream considers itself healthy.
	Health bool `json:"health"`
}

// reportMaxAge is the age up to which a load report is used. Load changes
// within milliseconds, so an older report carries no information.
const reportMaxAge = time.Second

// timedReport is a load report with its arrival time.
type timedReport struct {
	load       LoadReport
	receivedAt time.Time
}

// inflight returns the number of requests in flight that is reported to entry
// nodes. The upstream's own report, which may include requests from other
// sources, is used only while no request runs through this node; an unhealthy
// upstream is then reported as full. The result never affects admission.
func (r timedReport) inflight(observed, limit int32) int32 {
	if observed > 0 || mono.Now().Sub(r.receivedAt) > reportMaxAge {
		return observed
	}
	if !r.load.Health {
		return limit
	}
	return max(0, min(r.load.Inflight, limit))
}

// LocalHandler returns the HTTP handler for the upstream on the node's
// instance.
func (e *Exit) LocalHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/announce", e.serveAnnounce).Methods(http.MethodPost)
	r.HandleFunc("/drain", func(w http.ResponseWriter, _ *http.Request) {
		e.DrainUpstream()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	r.HandleFunc("/withdraw", func(w http.ResponseWriter, _ *http.Request) {
		e.WithdrawUpstream()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodPost)
	return r
}

func (e *Exit) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if !decode(w, r, &a) {
		return
	}
	if problem := a.problem(); problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	e.Announce(Upstream{
		Service: a.Service,
		Version: a.Version,
		Slots:   a.Slots,
		Address: a.Address,
		Start:   a.Start,
	})
	w.WriteHeader(http.StatusNoContent)
}

// problem returns a description of the first invalid field, or an empty string
// for a valid announcement.
func (a announcement) problem() string {
	if a.Service == "" || a.Version == "" {
		return "service and version: write their names"
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return "slots: write a number from 1 to 100000"
	}
	if a.Start == 0 {
		return "start: write a random number other than 0 that changes at each start"
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return "address: write an IP address and a port"
	}
	return ""
}

func (e *Exit) serveLoad(w http.ResponseWriter, r *http.Request) {
	var load LoadReport
	if !decode(w, r, &load) {
		return
	}
	e.mu.Lock()
	e.loadReport = timedReport{load: load, receivedAt: mono.Now()}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// decode decodes one JSON message without unknown fields. On failure it
// responds with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, dst any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		http.Error(w, "malformed message: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
