package verbs

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cicadahall/cicadahall/internal/fleet"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/platform"
)

// sideGCPercent is the GC percentage of a node on the hosting platform, where
// memory is scarce beside an upstream. Requests are few, so collecting more often
// takes little CPU time.
const sideGCPercent = 40

// sideHeapBytes is the limit of the runtime's memory per MB of the process; the
// rest holds bytes received and not yet read.
const sideHeapBytes = 800_000

type sideCommand struct {
	streams  streams
	Settings string `long:"settings" description:"settings file (default: the file that the platform specifies)"`
}

// readSettings reads and parses the settings file. A reload calls it again.
func (v *sideCommand) readSettings() (*spec.Sidecar, error) {
	path, body, err := platform.ReadSettings(v.Settings)
	if err != nil {
		return nil, err
	}
	return spec.ParseSidecar(path, body)
}

// Execute runs a node on the hosting platform until SIGTERM or an interrupt, then
// drains it. SIGHUP reloads the settings.
func (v *sideCommand) Execute([]string) error {
	s, err := v.readSettings()
	if err != nil {
		return failure{code: exitFailed, err: err}
	}
	debug.SetGCPercent(sideGCPercent)
	debug.SetMemoryLimit(int64(s.Memory * sideHeapBytes))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan struct{}, 1)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}()
	n, err := fleet.New(fleet.Options{Settings: s, Reload: v.readSettings, Log: v.streams.out, Version: Version})
	if err != nil {
		return err
	}
	return n.Run(ctx, reload)
}
