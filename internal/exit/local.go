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
	// maxAnnouncement bounds a message of the upstream in bytes.
	maxAnnouncement = 16 << 10
	// maxSlots bounds announced slots; more than that is a unit error.
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

// LoadReport is the body of POST /load. It is a hint: observed traffic wins.
type LoadReport struct {
	Inflight int32 `json:"inflight"`
	// Health is true while the upstream considers itself able to work.
	Health bool `json:"health"`
}

// reportFresh is how long a load report counts. Load shifts in milliseconds;
// an older report says nothing.
const reportFresh = time.Second

// report is a load report and when it arrived.
type report struct {
	load LoadReport
	at   time.Time
}

// inflight returns the load to tell entries. Only while nothing runs through
// this node does the upstream's own word count, such as work from elsewhere;
// an unhealthy one then looks full. It never changes what is admitted.
func (r report) inflight(observed, limit int32) int32 {
	if observed > 0 || mono.Now().Sub(r.at) > reportFresh {
		return observed
	}
	if !r.load.Health {
		return limit
	}
	return max(0, min(r.load.Inflight, limit))
}

// Local returns the HTTP interface for the upstream beside the node.
func (e *Exit) Local() http.Handler {
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
	if text := a.objection(); text != "" {
		http.Error(w, text, http.StatusBadRequest)
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

// objection returns what to write instead, or nothing for a valid message.
func (a announcement) objection() string {
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
	var l LoadReport
	if !decode(w, r, &l) {
		return
	}
	e.mu.Lock()
	e.reported = report{load: l, at: mono.Now()}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// decode reads one strict JSON message and answers 400 if it can't.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncement))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, "malformed message: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
