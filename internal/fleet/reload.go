package fleet

import (
	"context"
	"time"

	"github.com/cicadahall/cicadahall/event"
)

// settingsTick is how often the settings file is looked at: it may change
// without a signal.
const settingsTick = 2 * time.Second

// watchSettings reads the settings again at a signal and now and then, and logs
// whether they can be used. A running node takes nothing over: changed settings
// hold from the next start.
func (n *Node) watchSettings(ctx context.Context, ready func(), reload <-chan struct{}) error {
	ready()
	t := time.NewTicker(settingsTick)
	defer t.Stop()
	last := ""
	for {
		signal := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reload:
			signal = true
		case <-t.C:
		}
		s, err := n.o.Reload()
		text := ""
		if err != nil {
			text = err.Error()
		}
		if err != nil && (signal || text != last) {
			n.log.Emit(event.SettingsRejected, event.F(event.Error, err))
		}
		if err == nil && signal {
			n.log.Emit(event.SettingsChanged, event.F(event.Count, len(s.Seeds)))
		}
		last = text
	}
}
