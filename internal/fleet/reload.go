package fleet

import (
	"context"
	"time"

	"github.com/cicadahall/cicadahall/event"
)

// settingsPollInterval is the time between two reads of the settings file,
// which may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings rereads the settings file at a signal and at intervals, and
// logs whether it is valid. A running node doesn't apply changed settings; they
// take effect at the next start.
func (n *Node) watchSettings(ctx context.Context, ready func(), reload <-chan struct{}) error {
	ready()
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	lastErrText := ""
	for {
		signal := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reload:
			signal = true
		case <-t.C:
		}
		s, err := n.options.Reload()
		errText := ""
		if err != nil {
			errText = err.Error()
		}
		if err != nil && (signal || errText != lastErrText) {
			n.log.Emit(event.SettingsRejected, event.NewField(event.Error, err))
		}
		if err == nil && signal {
			n.log.Emit(event.SettingsChanged, event.NewField(event.Count, len(s.Seeds)))
		}
		lastErrText = errText
	}
}
