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

type rowsVerb struct {
	Listen string `long:"listen" required:"yes" description:"address to serve on"`
}

// faults are the names of what the store can be made to do.
var faults = map[string]fake.Fault{
	"none": fake.None, "busy": fake.Busy, "many": fake.Many,
	"reset": fake.Reset, "lost": fake.Lost, "silent": fake.Silent,
}

// Execute serves the store until a signal arrives. PUT /fault/NAME sets what it
// does to calls, PUT /compact makes it forget its history, and PUT /slow/TIME
// delays its answers. PUT /drop?table=T&key=K removes a row as the operator does.
func (v *rowsVerb) Execute([]string) error {
	store := fake.NewHandler()
	slow := make(chan time.Duration, 1)
	slow <- 0
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
		store.Drop(q.URL.Query().Get("table"), q.URL.Query().Get("key"))
	}).Methods(http.MethodPut)
	r.HandleFunc("/slow/{time}", func(w http.ResponseWriter, q *http.Request) {
		d, err := time.ParseDuration(mux.Vars(q)["time"])
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		<-slow
		slow <- d
	}).Methods(http.MethodPut)
	r.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		d := <-slow
		slow <- d
		time.Sleep(d)
		store.ServeHTTP(w, q)
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return serve(ctx, v.Listen, r, nil)
}
