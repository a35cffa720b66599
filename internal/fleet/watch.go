package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

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
}

func (w *watcher) listeners() []ident.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Listeners()
}

func (w *watcher) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Heard(time.Now())
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
	return w.state.Asks(time.Now())
}
