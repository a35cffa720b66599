package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cicadahall/cicadahall/platform/fake"
)

type workerVerb struct {
	Listen   string        `long:"listen" required:"yes" description:"address to serve on"`
	Address  string        `long:"address" required:"yes" description:"address that is announced"`
	Node     string        `long:"node" required:"yes" description:"the node's address for heartbeats"`
	Instance string        `long:"instance" required:"yes" description:"name that is announced"`
	Service  string        `long:"service" required:"yes" description:"service that is announced"`
	Version  string        `long:"version" default:"v1" description:"version that is announced"`
	Slots    int           `long:"slots" default:"4" description:"requests that run at the same time"`
	Mean     time.Duration `long:"mean" default:"30ms" description:"mean service time"`
	Beat     time.Duration `long:"beat" default:"300ms" description:"time between two heartbeats"`
	Drain    time.Duration `long:"drain" default:"4s" description:"time that a leaving worker serves on, above the bound for new work"`
}

// Execute serves until a signal arrives, then leaves as planned.
func (v *workerVerb) Execute([]string) error {
	w := fake.NewWorker(fake.WorkerOptions{
		Instance: v.Instance, Service: v.Service, Version: v.Version,
		Address: v.Address, Node: v.Node, Slots: v.Slots,
		Mean: v.Mean, Beat: v.Beat, Drain: v.Drain,
		Tell: func(line string) { fmt.Println(line) },
	})
	l, err := net.Listen("tcp", v.Listen)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: w, ReadHeaderTimeout: headerLimit}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	w.Run(ctx)
	select {
	case err := <-failed:
		return err
	default:
	}
	limit, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	return s.Shutdown(limit)
}
