package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/platform/fake"
)

const (
	// callersPerNode is the number of callers of each node, each with one
	// connection that it keeps for as long as the node does.
	callersPerNode = 3
	// callPause is the mean pause of a caller between two requests.
	callPause = 120 * time.Millisecond
	// callLimit is how long a caller waits; it says so to the node.
	callLimit = 2500 * time.Millisecond
	// patience is kept beyond callLimit for the answer at the deadline.
	patience = 500 * time.Millisecond
)

// ask is one request of a caller and what came of it.
type ask struct {
	id   string
	node *node
	// start is the node's start that the caller took the request to go to.
	start int64
	// once is set if the request may run once at most, route is set if it went
	// to a route that was added later.
	once  bool
	route string
	sent  time.Time
	ended time.Time
	// status is 0 without a whole answer.
	status int
	whole  bool
	body   string
	// dialed is set if a connection was open.
	dialed bool
}

// caller is one client with one kept connection.
type caller struct{ client http.Client }

func newCaller() *caller {
	return &caller{client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// ask sends one request and notes its end.
func (s *system) ask(c *caller, n *node, kind, route string) ask {
	a := ask{id: fmt.Sprintf("%016x", rand.Uint64()), node: n, start: n.starts.Load(), once: kind == "book", route: route, sent: time.Now()}
	method, path := http.MethodGet, "/"+kind+"/"+a.id
	if a.once {
		method = http.MethodPost
	}
	if route != "" {
		path = route + a.id
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit+patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, http.NoBody)
	if err != nil {
		return a
	}
	r.Host = host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(callLimit.Milliseconds()))
	answer, err := c.client.Do(r)
	a.ended = time.Now()
	if err != nil {
		var op *net.OpError
		a.dialed = !errors.As(err, &op) || op.Op != "dial"
		return a
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	a.ended = time.Now()
	a.dialed, a.status, a.whole, a.body = true, answer.StatusCode, err == nil, string(body)
	return a
}

// right reports whether a success carries the whole answer to its request.
func (a ask) right() bool { return a.whole && a.body == fake.Body(a.id) }

// load runs the callers until ctx ends.
func (s *system) load(ctx context.Context, random *rand.Rand) *sync.WaitGroup {
	var w sync.WaitGroup
	for _, n := range s.nodes {
		for range callersPerNode {
			own := rand.New(rand.NewPCG(random.Uint64(), 1))
			w.Go(func() { s.call(ctx, n, own) })
		}
	}
	return &w
}

func (s *system) call(ctx context.Context, n *node, random *rand.Rand) {
	c := newCaller()
	defer c.close()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(callPause)))
		kind, route := "read", ""
		switch u := random.Float64(); {
		case u < 0.4:
			kind = "book"
		case u < 0.55:
			route = s.record.route(random)
		}
		s.record.add(s.ask(c, n, kind, route))
	}
}
