package fleet

import (
	"net"
	"net/http"
	"sync"
)

// activeConns holds the connections on which a request is being read, run or
// answered. A response is written to its connection only after its handler has
// returned.
type activeConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// recordState is the ConnState function of a server.
func (a *activeConns) recordState(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s != http.StateActive {
		delete(a.conns, c)
		return
	}
	if a.conns == nil {
		a.conns = map[net.Conn]bool{}
	}
	a.conns[c] = true
}

func (a *activeConns) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
