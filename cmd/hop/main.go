// Command hop measures the latency that two hops add on the loopback interface.
// In one run it compares direct calls to an upstream with calls through an entry
// node and the exit of another node. It exits with 0 only if the added latency is
// within the target at all rates.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	flags "github.com/jessevdk/go-flags"

	"github.com/cicadahall/cicadahall/internal/procs"
)

type options struct {
	Rates []int         `long:"rate" default:"75" default:"750" description:"calls per second through the nodes, and as many direct calls; may be repeated"`
	Time  time.Duration `long:"time" default:"20s" description:"duration of the measurement at each rate"`
	Warm  time.Duration `long:"warm" default:"3s" description:"duration of the load before each measurement"`
	Body  int           `long:"body" default:"256" description:"size of a request body in bytes"`
}

// maxAddedP99 is the target for the 99th percentile of latency: the most that two
// hops may add to it.
const maxAddedP99 = 1300 * time.Microsecond

func main() {
	os.Exit(run())
}

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ok, err := measure(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hop:", err)
	}
	if err != nil || !ok {
		return 1
	}
	return 0
}

// measure starts the system and reports whether the added latency is within the
// target at all rates.
func measure(ctx context.Context, o options) (bool, error) {
	self, err := os.Executable()
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "cicadahall-hop-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := procs.NewSystem(dir, filepath.Dir(self))
	defer s.Processes.KillAll()
	if err := start(ctx, s); err != nil {
		return false, err
	}
	withinTarget := true
	fmt.Println("rate   path    p50        p99        p99.9      calls   failed")
	for _, r := range o.Rates {
		c := newComparison(s, o.Body)
		c.run(ctx, r, o.Warm)
		c.reset()
		c.run(ctx, r, o.Time)
		withinTarget = c.print(r) && withinTarget
	}
	return withinTarget, ctx.Err()
}

// readyTimeout limits the wait until the nodes are ready, which takes far less.
const readyTimeout = 30 * time.Second

// slots exceeds the number of concurrent calls at any rate, so that no call is
// queued.
const slots = 64

// start starts an entry node, whose own upstream serves another service, and the
// node of the measured upstream. Upstreams answer without delay.
func start(ctx context.Context, s *procs.System) error {
	s.Mean = 0
	if err := s.StartPlatform(); err != nil {
		return err
	}
	for _, service := range []string{"workshop", "counter"} {
		w := &procs.Instance{Name: service, Service: service, Version: "v1", Domain: procs.Domains[0], Slots: slots}
		if err := s.StartInstance(w); err != nil {
			return err
		}
	}
	path, err := s.WriteJSON("manifest.json", procs.NewManifest())
	if err != nil {
		return err
	}
	_, err = s.Command(ctx, "apply", "--table", "http://"+s.Table, "--objects", "http://"+s.Objects,
		"--peer", s.Instances[0].Peers, path)
	if err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return s.WaitReady(readyCtx)
}
