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

// sideGrowth is the growth of the heap in percent that starts a garbage
// collection. Memory is dear beside an upstream on the users' platform:
// requests are few, so that collecting more often costs little processor time.
const sideGrowth = 40

type sideVerb struct {
	s        streams
	Settings string `long:"settings" description:"settings file (default: the file that the platform names)"`
}

// read reads the settings.
func (v *sideVerb) read() (*spec.Side, error) {
	path, body, err := platform.Settings(v.Settings)
	if err != nil {
		return nil, err
	}
	return spec.ParseSide(path, body)
}

// Execute runs a node on the users' platform until SIGTERM, then drains it.
func (v *sideVerb) Execute([]string) error {
	s, err := v.read()
	if err != nil {
		return failure{code: exitFailed, err: err}
	}
	debug.SetGCPercent(sideGrowth)
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
	n, err := fleet.New(fleet.Options{Settings: s, Reload: v.read, Log: v.s.out, Version: Number})
	if err != nil {
		return err
	}
	return n.Run(ctx, reload)
}
