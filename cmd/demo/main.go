// Command demo runs the whole system on the loopback interface under load and
// faults. It exits with 0 only if it found no violation of the guarantees that it
// checks.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	flags "github.com/jessevdk/go-flags"

	"github.com/cicadahall/cicadahall/internal/demo"
)

type options struct {
	Rate int    `long:"rate" default:"1200" description:"requests per second"`
	Seed uint64 `long:"seed" default:"20261204" description:"seed of the generated load"`
	Dir  string `long:"dir" description:"directory for settings, logs and the timeline (default: a new temporary directory)"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		return 2
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	if o.Dir == "" {
		o.Dir, err = demo.WorkDir()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := demo.Run(ctx, demo.Options{Bin: filepath.Dir(self), Dir: o.Dir, Rate: o.Rate, Seed: o.Seed, Out: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	r.Print(os.Stdout)
	if len(r.Violations) > 0 {
		return 1
	}
	return 0
}
