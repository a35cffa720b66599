package verbs

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/node"
	"github.com/cicadahall/cicadahall/internal/spec"
)

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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(node.Options{Settings: s, Output: event.Output(v.s.out), Version: Number})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
