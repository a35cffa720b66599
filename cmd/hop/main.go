// Command hop measures the latency that two hops add on loopback: a direct
// call to an upstream against a call through an entry node and another node's
// exit, both in the same run. It exits with 0 only if the target holds.
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
	Rates []int         `long:"rate" default:"75" default:"750" description:"calls per second through the node, and as many direct ones; can be repeated"`
	Time  time.Duration `long:"time" default:"20s" description:"length of the measurement at each rate"`
	Warm  time.Duration `long:"warm" default:"3s" description:"load before each measurement"`
	Body  int           `long:"body" default:"256" description:"size of a call's body in bytes"`
}

// target is the latency that two hops may add for 99 % of calls.
const target = 1300 * time.Microsecond

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

// measure starts the system and reports whether the target holds at all rates.
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
	defer s.All.KillAll()
	if err := start(ctx, s); err != nil {
		return false, err
	}
	good := true
	fmt.Println("rate   way     p50        p99        p99.9      calls   failed")
	for _, r := range o.Rates {
		p := newPair(s, o.Body)
		p.run(ctx, r, o.Warm)
		p.reset()
		p.run(ctx, r, o.Time)
		good = p.print(r) && good
	}
	return good, ctx.Err()
}

// readyLimit bounds the wait for the nodes; it is far above what they need.
const readyLimit = 30 * time.Second

// slots is above what runs at the same time at any rate, so that no call waits.
const slots = 64

// start starts an entry node, whose own upstream serves another service, and
// the node of the measured upstream. Upstreams answer at once.
func start(ctx context.Context, s *procs.System) error {
	s.Mean = 0
	if err := s.StartPlatform(); err != nil {
		return err
	}
	for _, service := range []string{"workshop", "counter"} {
		w := &procs.Worker{Name: service, Service: service, Version: "v1", Domain: procs.Domains[0], Slots: slots}
		if err := s.StartWorker(w); err != nil {
			return err
		}
	}
	path, err := s.WriteJSON("manifest.json", procs.NewManifest())
	if err != nil {
		return err
	}
	_, err = s.Command(ctx, "apply", "--table", "http://"+s.Table, "--objects", "http://"+s.Objects,
		"--peer", s.Workers[0].Peers, path)
	if err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	return s.Ready(limit)
}
