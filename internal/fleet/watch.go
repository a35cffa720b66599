package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/watch"
)

// beatTick is how often a watcher looks whether its beats are due.
const beatTick = 100 * time.Millisecond

// watcher is this node's part in following the store.
type watcher struct {
	n *Node

	mu    sync.Mutex
	state *watch.Watch
	// watches and silent are what the log tells: the role of this node, and
	// since when it has heard no watcher, zero while it hears one.
	watches bool
	silent  time.Time
	word    time.Time
}

func newWatcher(n *Node) *watcher {
	s := n.settings
	return &watcher{n: n, state: watch.New(watch.Options{
		Self: watch.Member{Node: s.Node, Domain: s.Domain},
		Rand: rand.Float64,
	})}
}

// Run sends the beats until ctx ends.
func (w *watcher) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(beatTick)
	defer t.Stop()
	ready()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			if to, due := w.due(now); due {
				w.n.roster.beat(to)
			}
		}
	}
}

func (w *watcher) due(now time.Time) ([]ident.Node, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Listeners(), w.state.Beats(now)
}

func (w *watcher) update(members []watch.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Update(members)
	if w.watches == w.state.Watcher() {
		return
	}
	w.watches = w.state.Watcher()
	if w.watches {
		w.n.log.Emit(event.WatchBegun, event.F(event.Count, len(w.state.Listeners())))
	} else {
		w.n.log.Emit(event.WatchEnded)
	}
}

func (w *watcher) listeners() []ident.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Listeners()
}

func (w *watcher) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.state.Heard(now)
	w.word = now
	if !w.silent.IsZero() {
		w.n.log.Emit(event.WatchersHeard, event.F(event.Elapsed, now.Sub(w.silent)))
		w.silent = time.Time{}
	}
}

func (w *watcher) answered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Answered(time.Now())
}

func (w *watcher) failed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Failed(time.Now())
}

func (w *watcher) asks() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	asks := w.state.Asks(now)
	if asks && !w.watches && !w.word.IsZero() && w.silent.IsZero() {
		w.silent = w.word
		w.n.log.Emit(event.WatchersSilent, event.F(event.Elapsed, now.Sub(w.word)))
	}
	return asks
}
