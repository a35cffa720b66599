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
	// callersPerNode is the number of callers of each node. Each has one
	// connection and keeps it open until the node closes it.
	callersPerNode = 3
	// meanRequestPause is the mean pause of a caller between two requests.
	meanRequestPause = 120 * time.Millisecond
	// requestTimeout is the timeout that callers send with a request.
	requestTimeout = 2500 * time.Millisecond
	// answerSlack is how much longer than requestTimeout a caller waits, so that
	// a response sent at the deadline still arrives.
	answerSlack = 500 * time.Millisecond
)

// request is one request of a caller with its result.
type request struct {
	id   string
	node *node
	// nodeStart is the number of starts of the node when the request was sent.
	nodeStart int64
	// atMostOnce is set if the request must not run more than once. route is the
	// added route that the request uses, or "" for a route of the first
	// configuration.
	atMostOnce bool
	route      string
	sent       time.Time
	completed  time.Time
	// status is 0 if there was no response. complete is set if the whole body
	// was received.
	status   int
	complete bool
	body     string
	// connected is set unless the connection could not be established.
	connected bool
}

// caller is an HTTP client that keeps one connection open.
type caller struct{ client http.Client }

func newCaller() *caller {
	return &caller{client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// send sends one request and returns it with its result.
func (s *system) send(c *caller, n *node, kind, route string) request {
	req := request{id: fmt.Sprintf("%016x", rand.Uint64()), node: n, nodeStart: n.starts.Load(), atMostOnce: kind == "book", route: route, sent: time.Now()}
	method, path := http.MethodGet, "/"+kind+"/"+req.id
	if req.atMostOnce {
		method = http.MethodPost
	}
	if route != "" {
		path = route + req.id
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+answerSlack)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callersAddr+path, http.NoBody)
	if err != nil {
		return req
	}
	r.Host = host
	r.Header.Set("X-Request-Id", req.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	resp, err := c.client.Do(r)
	req.completed = time.Now()
	if err != nil {
		var op *net.OpError
		req.connected = !errors.As(err, &op) || op.Op != "dial"
		return req
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	req.completed = time.Now()
	req.connected, req.status, req.complete, req.body = true, resp.StatusCode, err == nil, string(body)
	return req
}

// correct reports whether the response is complete and belongs to the request.
func (r request) correct() bool { return r.complete && r.body == fake.ResponseBody(r.id) }

// startLoad starts the callers, which run until ctx ends. The caller waits for
// them with the returned wait group.
func (s *system) startLoad(ctx context.Context, random *rand.Rand) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		for range callersPerNode {
			callerRand := rand.New(rand.NewPCG(random.Uint64(), 1))
			wg.Go(func() { s.runCaller(ctx, n, callerRand) })
		}
	}
	return &wg
}

func (s *system) runCaller(ctx context.Context, n *node, random *rand.Rand) {
	c := newCaller()
	defer c.close()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanRequestPause)))
		kind, route := "read", ""
		switch u := random.Float64(); {
		case u < 0.4:
			kind = "book"
		case u < 0.55:
			route = s.record.recentRoute(random)
		}
		s.record.addRequest(s.send(c, n, kind, route))
	}
}
