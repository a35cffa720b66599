// Command standin runs fake platform services and upstreams for the demo and for
// tests with several processes.
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
	// announceInterval is the time between two announcements of an upstream.
	announceInterval = 200 * time.Millisecond
	// drainTimeout limits the wait for running requests after a signal.
	drainTimeout = 20 * time.Second
	// headerTimeout limits the time to read the headers of a request.
	headerTimeout = 5 * time.Second
)

type tableCommand struct {
	Listen string `long:"listen" required:"yes" description:"address to serve on"`
}

// Execute serves the table service until a signal arrives.
func (v *tableCommand) Execute([]string) error { return servePlatform(v.Listen) }

type objectsCommand struct {
	Listen string `long:"listen" required:"yes" description:"address to serve on"`
}

// Execute serves the object store until a signal arrives.
func (v *objectsCommand) Execute([]string) error { return servePlatform(v.Listen) }

func servePlatform(listen string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return serve(ctx, listen, stand.NewPlatform().Handler(), nil)
}

type upstreamCommand struct {
	Listen  string        `long:"listen" required:"yes" description:"address to serve on"`
	Local   string        `long:"local" required:"yes" description:"base URL of the node's listener for upstreams"`
	Entry   string        `long:"entry" description:"base URL of the node's listener for callers"`
	Next    string        `long:"next" description:"service that /confirm requests call"`
	Service string        `long:"service" required:"yes" description:"service that is announced"`
	Version string        `long:"version" default:"v1" description:"version that is announced"`
	Slots   int32         `long:"slots" default:"10" description:"requests that run at the same time"`
	Mean    time.Duration `long:"mean" default:"10ms" description:"mean service time"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the service times and faults"`
	Journal bool          `long:"journal" description:"write a line 'run ORDER' to standard output for every execution"`
}

// Execute serves an upstream that announces itself, until a signal drains it.
func (v *upstreamCommand) Execute([]string) error {
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

// journal returns a function that writes the line of one execution, or nil without
// --journal. Lines are unbuffered, so that the reader of the pipe gets all of them
// even if the process is killed.
func (v *upstreamCommand) journal() func(string) {
	if !v.Journal {
		return nil
	}
	return func(order string) { fmt.Println("run " + order) }
}

// announce announces the upstream periodically until ctx ends. Errors are ignored,
// because a node that isn't running yet gets the next announcement.
func announce(ctx context.Context, u *stand.Upstream) {
	t := time.NewTicker(announceInterval)
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

// serve runs an HTTP server until ctx ends. It then calls drain, unless that is
// nil, and waits for running requests.
func serve(ctx context.Context, listen string, h http.Handler, drain func(context.Context) error) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	if drain != nil {
		// An error is ignored: a node that has stopped sends no requests.
		_ = drain(shutdownCtx)
	}
	return s.Shutdown(shutdownCtx)
}

func main() {
	p := flags.NewNamedParser("standin", flags.HelpFlag)
	add := func(name, short string, v flags.Commander) {
		if _, err := p.AddCommand(name, short, short, v); err != nil {
			panic(err)
		}
	}
	add("table", "serve a table service", &tableCommand{})
	add("objects", "serve an object store", &objectsCommand{})
	add("upstream", "serve an upstream that announces itself", &upstreamCommand{})
	add("rows", "serve the store of the hosting platform", &rowsCommand{})
	add("worker", "serve an upstream of the hosting platform", &workerCommand{})
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
