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

// beatCheckInterval is how often a watcher checks whether its beats are due.
const beatCheckInterval = 100 * time.Millisecond

// watcher is this node's part in polling the store on behalf of others.
// Watchers poll the store and send beats to their listeners while it responds.
type watcher struct {
	node *Node

	mu    sync.Mutex
	state *watch.Watch
	// isWatcher and silentSince hold what was logged: this node's role, and
	// since when it has received no beat, zero while it receives them.
	isWatcher   bool
	silentSince time.Time
	lastBeat    time.Time
}

func newWatcher(node *Node) *watcher {
	s := node.settings
	return &watcher{node: node, state: watch.New(watch.Options{
		Self: watch.Member{Node: s.Node, Domain: s.Domain},
		Rand: rand.Float64,
	})}
}

// Run sends the beats until ctx ends.
func (w *watcher) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(beatCheckInterval)
	defer t.Stop()
	ready()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			if to, due := w.dueBeats(now); due {
				w.node.membership.sendBeats(to)
			}
		}
	}
}

func (w *watcher) dueBeats(now time.Time) ([]ident.Node, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Listeners(), w.state.TakeBeat(now)
}

func (w *watcher) update(members []watch.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Update(members)
	if w.isWatcher == w.state.IsWatcher() {
		return
	}
	w.isWatcher = w.state.IsWatcher()
	if w.isWatcher {
		w.node.log.Emit(event.WatchBegun, event.NewField(event.Count, len(w.state.Listeners())))
	} else {
		w.node.log.Emit(event.WatchEnded)
	}
}

// watches reports whether this node is a watcher.
func (w *watcher) watches() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isWatcher
}

func (w *watcher) listeners() []ident.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Listeners()
}

func (w *watcher) recordBeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.state.RecordBeat(now)
	w.lastBeat = now
	if !w.silentSince.IsZero() {
		w.node.log.Emit(event.WatchersResumed, event.NewField(event.Elapsed, now.Sub(w.silentSince)))
		w.silentSince = time.Time{}
	}
}

func (w *watcher) pollTimeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.PollTimeout()
}

func (w *watcher) recordAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.RecordAnswer(time.Now())
}

func (w *watcher) recordFailure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.RecordFailure(time.Now())
}

func (w *watcher) shouldPoll() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	poll := w.state.ShouldPoll(now)
	if poll && !w.isWatcher && !w.lastBeat.IsZero() && w.silentSince.IsZero() {
		w.silentSince = w.lastBeat
		w.node.log.Emit(event.WatchersSilent, event.NewField(event.Elapsed, now.Sub(w.lastBeat)))
	}
	return poll
}
