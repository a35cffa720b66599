// Package pipe serves HTTP/1.1 connections whose clients send requests without
// waiting for the responses to earlier ones (pipelining). The requests of a
// connection are handled concurrently, and the responses are written in the order
// of the requests. net/http starts a request only once the previous response is
// written, so that a pipelined request waits for all those before it.
//
// Invariants: a response is never interleaved with another one; a request that
// has been passed to the handler is answered before its connection is closed,
// unless the client has closed it or the server is closed; the contexts of all
// requests of a connection end when its client closes it.
package pipe

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves connections. Its fields mean the same as those of http.Server.
type Server struct {
	Handler           http.Handler
	ConnState         func(net.Conn, http.ConnState)
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	MaxHeaderBytes    int
	// MaxConcurrent is the number of requests of one connection that are handled
	// at the same time; less than 2 handles them one after the other.
	MaxConcurrent int

	mu        sync.Mutex
	closed    bool
	listeners []net.Listener
	conns     map[*conn]bool
	running   sync.WaitGroup
}

// acceptPause is the time between two attempts to accept a connection after a
// temporary failure, such as a lack of descriptors.
const acceptPause = 5 * time.Millisecond

// Serve accepts connections until the listener fails or the server is closed. It
// then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return errors.Join(http.ErrServerClosed, l.Close())
	}
	for {
		rwc, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return http.ErrServerClosed
			}
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() || isOutOfDescriptors(err) {
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		s.start(rwc)
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	return !s.closed
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// start serves one connection in a new goroutine.
func (s *Server) start(rwc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(s, rwc, ctx, cancel)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		cancel()
		_ = rwc.Close() // nothing has been read
		return
	}
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	s.conns[c] = true
	s.running.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.running.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

func (s *Server) setState(rwc net.Conn, state http.ConnState) {
	if s.ConnState != nil {
		s.ConnState(rwc, state)
	}
}

// Close closes the listeners and all connections, ends the contexts of their
// requests and waits for the handlers to return.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	var err error
	for _, l := range s.listeners {
		if closeErr := l.Close(); !errors.Is(closeErr, net.ErrClosed) {
			err = errors.Join(err, closeErr)
		}
	}
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.running.Wait()
	return err
}
