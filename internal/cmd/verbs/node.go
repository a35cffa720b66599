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
	// nodeGCPercent is the GC percentage of a node. The live heap of a node is a few
	// MB, so the default of 100 would collect many times per second, which took a
	// third of the CPU time of a call with two hops.
	nodeGCPercent = 400
	// memoryLimitBytes makes collections more frequent before the node reaches its
	// limit of 128 MB.
	memoryLimitBytes = 96 << 20
)

// configureGC configures the garbage collector, except for values that are set by
// environment variables.
func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(nodeGCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

type nodeCommand struct {
	streams streams
	Args    struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file of the node"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs a node until SIGTERM or an interrupt, then drains it.
func (v *nodeCommand) Execute([]string) error {
	body, err := os.ReadFile(v.Args.Settings)
	if err != nil {
		return failure{code: exitFailed, err: err}
	}
	s, err := spec.ParseSettings(v.Args.Settings, body)
	if err != nil {
		return failure{code: exitFailed, err: err}
	}
	configureGC()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(node.Options{Settings: s, Output: event.Output(v.streams.out), Version: Version})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
