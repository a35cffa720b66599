package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gorilla/mux"

	"github.com/cicadahall/cicadahall/platform/fake"
)

type rowsCommand struct {
	Listen string `long:"listen" required:"yes" description:"address to serve on"`
}

// faults maps the names in URLs to the faults that the store can simulate.
var faults = map[string]fake.Fault{
	"none": fake.NoFault, "busy": fake.Unavailable, "many": fake.TooManyRequests,
	"reset": fake.ConnectionReset, "lost": fake.ResponseLost, "silent": fake.NoResponse,
}

// Execute serves the store until a signal arrives. PUT /fault/NAME sets the fault
// that calls are answered with, PUT /compact discards the history, and PUT
// /slow/TIME delays all responses. PUT /drop?table=T&key=K removes a row, as an
// operator of the platform does.
func (v *rowsCommand) Execute([]string) error {
	store := fake.NewUnstartedStore()
	delay := make(chan time.Duration, 1)
	delay <- 0
	r := mux.NewRouter()
	r.HandleFunc("/fault/{name}", func(w http.ResponseWriter, q *http.Request) {
		f, ok := faults[mux.Vars(q)["name"]]
		if !ok {
			http.Error(w, "unknown fault", http.StatusBadRequest)
			return
		}
		store.SetFault(func(string) fake.Fault { return f })
	}).Methods(http.MethodPut)
	r.HandleFunc("/compact", func(http.ResponseWriter, *http.Request) { store.Compact() }).Methods(http.MethodPut)
	r.HandleFunc("/drop", func(_ http.ResponseWriter, q *http.Request) {
		store.Delete(q.URL.Query().Get("table"), q.URL.Query().Get("key"))
	}).Methods(http.MethodPut)
	r.HandleFunc("/slow/{time}", func(w http.ResponseWriter, q *http.Request) {
		d, err := time.ParseDuration(mux.Vars(q)["time"])
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		<-delay
		delay <- d
	}).Methods(http.MethodPut)
	r.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		d := <-delay
		delay <- d
		time.Sleep(d)
		store.ServeHTTP(w, q)
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return serve(ctx, v.Listen, r, nil)
}
