package verbs

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/node"
	"github.com/cicadahall/cicadahall/internal/spec"
)

const (
	// heapGrowth is the growth of the heap in percent that starts a garbage
	// collection. A node's live heap is a few MB, so that the runtime's default
	// of 100 collects many times a second; that took a third of the processor
	// time of a call with two hops.
	heapGrowth = 400
	// heapLimit in bytes makes collections more frequent again before the node
	// reaches its 128 MB.
	heapLimit = 96 << 20
)

// setCollector leaves the values alone that the environment sets.
func setCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowth)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(heapLimit)
	}
}

type nodeVerb struct {
	s    streams
	Args struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file of the node"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs a node until SIGTERM or an interrupt, then drains it.
func (v *nodeVerb) Execute([]string) error {
	body, err := os.ReadFile(v.Args.Settings)
	if err != nil {
		return failure{code: exitFailed, err: err}
	}
	s, err := spec.ParseSettings(v.Args.Settings, body)
	if err != nil {
		return failure{code: exitFailed, err: err}
	}
	setCollector()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(node.Options{Settings: s, Output: event.Output(v.s.out), Version: Number})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
