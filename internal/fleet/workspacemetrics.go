package fleet

import (
	"sync"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/admin"
)

const (
	// maxNamedWorkspaces bounds the workspaces with metrics of their own, those
	// with the first names in order.
	maxNamedWorkspaces = 128
	// otherWorkspaces is the label of the metrics of all others.
	otherWorkspaces = "other"
)

// Metrics of a workspace.
const (
	workspaceRequests     = "front.workspace.requests"
	workspaceRefused      = "front.workspace.refused"
	workspaceUnauthorized = "front.workspace.unauthorized"
)

// workspaceMetrics counts requests by workspace. Only workspaces of the active
// configuration have metrics, so that their number is bounded over any number of
// changes. It is safe for concurrent use.
type workspaceMetrics struct {
	registry metrics.Registry
	// current returns the names of the active configuration in order.
	current func() []ident.Workspace

	mu sync.Mutex
	// counters holds the counters in the registry by workspace and metric.
	counters map[ident.Workspace]map[string]metrics.Counter
}

func newWorkspaceMetrics(r metrics.Registry, current func() []ident.Workspace) *workspaceMetrics {
	return &workspaceMetrics{registry: r, current: current, counters: map[ident.Workspace]map[string]metrics.Counter{}}
}

// update registers the metrics of the active configuration and removes those of
// workspaces that it doesn't name.
func (wm *workspaceMetrics) update() {
	wm.mu.Lock()
	defer wm.mu.Unlock()
	// Read under the lock: two updates at once must not leave the older names.
	names := wm.current()
	if len(names) > maxNamedWorkspaces {
		names = append(names[:maxNamedWorkspaces:maxNamedWorkspaces], otherWorkspaces)
	}
	kept := make(map[ident.Workspace]map[string]metrics.Counter, len(names))
	for _, w := range names {
		kept[w] = wm.counters[w]
		if kept[w] == nil {
			kept[w] = wm.register(w)
		}
	}
	for w, counters := range wm.counters {
		if kept[w] != nil {
			continue
		}
		for name := range counters {
			wm.registry.Unregister(workspaceMetricName(name, w))
		}
	}
	wm.counters = kept
}

func workspaceMetricName(name string, w ident.Workspace) string {
	return admin.MetricName(name, admin.Label{Name: "workspace", Value: string(w)})
}

func (wm *workspaceMetrics) register(w ident.Workspace) map[string]metrics.Counter {
	counters := map[string]metrics.Counter{}
	for _, name := range []string{workspaceRequests, workspaceRefused, workspaceUnauthorized} {
		counters[name] = metrics.GetOrRegisterCounter(workspaceMetricName(name, w), wm.registry)
	}
	return counters
}

func (wm *workspaceMetrics) countRequest(w ident.Workspace) { wm.count(workspaceRequests, w) }

// countRefusal counts a request that was answered as not run.
func (wm *workspaceMetrics) countRefusal(w ident.Workspace) { wm.count(workspaceRefused, w) }

// countUnauthorized counts a request with a key that the workspace had before.
func (wm *workspaceMetrics) countUnauthorized(w ident.Workspace) { wm.count(workspaceUnauthorized, w) }

// count counts nothing for a request without a workspace, and for one of a
// workspace that has left the configuration, unless there are too many names.
func (wm *workspaceMetrics) count(name string, w ident.Workspace) {
	if w == "" {
		return
	}
	wm.mu.Lock()
	defer wm.mu.Unlock()
	counters, ok := wm.counters[w]
	if !ok {
		counters, ok = wm.counters[otherWorkspaces]
	}
	if ok {
		counters[name].Inc(1)
	}
}
