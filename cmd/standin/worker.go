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

type workerCommand struct {
	Listen   string        `long:"listen" required:"yes" description:"address to serve on"`
	Address  string        `long:"address" required:"yes" description:"address that is announced"`
	Node     string        `long:"node" required:"yes" description:"address of the node's heartbeat listener"`
	Instance string        `long:"instance" required:"yes" description:"instance that is announced"`
	Service  string        `long:"service" required:"yes" description:"service that is announced"`
	Version  string        `long:"version" default:"v1" description:"version that is announced"`
	Slots    int           `long:"slots" default:"4" description:"requests that run at the same time"`
	Mean     time.Duration `long:"mean" default:"30ms" description:"mean service time"`
	Beat     time.Duration `long:"beat" default:"300ms" description:"time between two heartbeats"`
	Drain    time.Duration `long:"drain" default:"4s" description:"time that a worker keeps serving after the node has acknowledged that it leaves; it must exceed the time in which nodes may still send new requests"`
}

// Execute serves until a signal arrives, then announces that it leaves, keeps
// serving for the time of --drain and shuts down.
func (v *workerCommand) Execute([]string) error {
	w := fake.NewWorker(fake.WorkerOptions{
		Instance: v.Instance, Service: v.Service, Version: v.Version,
		Address: v.Address, NodeAddress: v.Node, Slots: v.Slots,
		MeanRunTime: v.Mean, HeartbeatInterval: v.Beat, DrainDelay: v.Drain,
		ReportLine: func(line string) { fmt.Println(line) },
	})
	l, err := net.Listen("tcp", v.Listen)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: w, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	w.Run(ctx)
	select {
	case err := <-serveErr:
		return err
	default:
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return s.Shutdown(shutdownCtx)
}
