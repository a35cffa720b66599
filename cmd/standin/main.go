// Command standin runs the small servers that take the place of the platform
// and of upstreams in the demo and in process tests.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	flags "github.com/jessevdk/go-flags"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/stand"
)

const (
	// heartbeat is the interval at which an upstream announces itself.
	heartbeat = 200 * time.Millisecond
	// drainLimit bounds the wait for running work after SIGTERM.
	drainLimit = 20 * time.Second
	// headerLimit bounds the time to read one request's headers.
	headerLimit = 5 * time.Second
)

type tableVerb struct {
	Listen string `long:"listen" required:"yes" description:"address to serve on"`
}

// Execute serves the table service until a signal arrives.
func (v *tableVerb) Execute([]string) error { return servePlatform(v.Listen) }

type objectsVerb struct {
	Listen string `long:"listen" required:"yes" description:"address to serve on"`
}

// Execute serves the object store until a signal arrives.
func (v *objectsVerb) Execute([]string) error { return servePlatform(v.Listen) }

func servePlatform(listen string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return serve(ctx, listen, stand.NewPlatform().Handler(), nil)
}

type upstreamVerb struct {
	Listen  string        `long:"listen" required:"yes" description:"address to serve on"`
	Local   string        `long:"local" required:"yes" description:"base URL of the node's local port"`
	Entry   string        `long:"entry" description:"base URL of the node's callers' port"`
	Next    string        `long:"next" description:"service that /confirm requests call"`
	Service string        `long:"service" required:"yes" description:"service that is announced"`
	Version string        `long:"version" default:"v1" description:"version that is announced"`
	Slots   int32         `long:"slots" default:"10" description:"requests that run at the same time"`
	Mean    time.Duration `long:"mean" default:"10ms" description:"mean service time"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of service times and faults"`
	Journal bool          `long:"journal" description:"write a line 'run ORDER' to standard output for every execution"`
}

// Execute serves one upstream, announces it, and drains it on a signal.
func (v *upstreamVerb) Execute([]string) error {
	u := stand.NewUpstream(stand.UpstreamOptions{
		Service: ident.Service(v.Service),
		Version: ident.Version(v.Version),
		Slots:   ident.Slots(v.Slots),
		Address: v.Listen,
		Local:   v.Local,
		Entry:   v.Entry,
		Next:    ident.Service(v.Next),
		Mean:    v.Mean,
		Seed:    v.Seed,
		Journal: v.journal(),
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		announce(ctx, u)
	}()
	defer func() { <-announced }()
	return serve(ctx, v.Listen, u.Handler(), u.Drain)
}

// journal writes unbuffered lines, which outlive the process in the pipe.
func (v *upstreamVerb) journal() func(string) {
	if !v.Journal {
		return nil
	}
	return func(order string) { fmt.Println("run " + order) }
}

// announce repeats the announcement; a node that isn't up yet is tried again.
func announce(ctx context.Context, u *stand.Upstream) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		_ = u.Announce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// serve runs an HTTP server until ctx ends, drains it and lets running
// requests finish.
func serve(ctx context.Context, listen string, h http.Handler, drain func(context.Context) error) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainLimit)
	defer cancel()
	if drain != nil {
		// A node that is already gone has no work to drain.
		_ = drain(limit)
	}
	return s.Shutdown(limit)
}

func main() {
	p := flags.NewNamedParser("standin", flags.HelpFlag)
	add := func(name, short string, v flags.Commander) {
		if _, err := p.AddCommand(name, short, short, v); err != nil {
			panic(err)
		}
	}
	add("table", "serve a table service", &tableVerb{})
	add("objects", "serve an object store", &objectsVerb{})
	add("upstream", "serve an upstream that announces itself", &upstreamVerb{})
	add("rows", "serve the store of the users' platform", &rowsVerb{})
	add("worker", "serve an upstream of the users' platform", &workerVerb{})
	if _, err := p.Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
