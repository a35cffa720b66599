package accept_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/control/intake"
	"github.com/cicadahall/cicadahall/internal/wire/accept"
)

var limits = accept.Limits{HeadBytes: 1 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute}

// server is an HTTP server behind a gate.
type server struct {
	gate     *accept.Gate
	address  string
	accepted atomic.Int64
	reports  atomic.Int64
}

func serve(t *testing.T, o accept.Options, handler http.HandlerFunc) *server {
	s := &server{}
	if o.Limits == nil {
		o.Limits = func() accept.Limits { return limits }
	}
	o.ReceiveBuffer = 64 << 10
	o.Count = func(name string) {
		if name == "accepted" {
			s.accepted.Add(1)
		}
	}
	o.Report = func(accept.Reason, int) { s.reports.Add(1) }
	s.gate = accept.New(o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = l.Addr().String()
	h := &http.Server{Handler: handler, ConnState: s.gate.RecordState}
	go func() { _ = h.Serve(s.gate.Listen(l)) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) dial(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo answers with the request's body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Method != http.MethodPost && r.Method != http.MethodGet {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = w.Write(body)
}

func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timed out waiting for %s", condition)
	}
}

// Guards against requests that are altered, lost or answered in another order, when
// they are sent without waiting for the responses and in whatever pieces.
func TestPipelinedRequestsArriveWhole(t *testing.T) {
	s := serve(t, accept.Options{}, echo)
	var sent bytes.Buffer
	var want []string
	for i := range 30 {
		body := strings.Repeat(fmt.Sprint(i, " "), 100*i)
		want = append(want, body)
		if i%3 == 0 {
			half := len(body) / 2
			fmt.Fprintf(&sent, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			for _, part := range []string{body[:half], body[half:]} {
				if part != "" {
					fmt.Fprintf(&sent, "%x\r\n%s\r\n", len(part), part)
				}
			}
			sent.WriteString("0\r\n\r\n")
			continue
		}
		fmt.Fprintf(&sent, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s\r\n", len(body), body)
	}
	for _, piece := range []int{1 << 20, 977, 61} {
		c := s.dial(t)
		go func() {
			for b := sent.Bytes(); len(b) > 0; {
				n := min(piece, len(b))
				if _, err := c.Write(b[:n]); err != nil {
					return
				}
				b = b[n:]
			}
		}()
		r := bufio.NewReader(c)
		for i := range want {
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err, "response %d", i)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, string(body), want[i], "response %d in pieces of %d", i, piece)
		}
	}
}

// Guards against a head over the limit that is answered not at all, more than once
// or with another status, and against a connection that stays open after it.
func TestHeadOverLimitIsAnsweredOnce(t *testing.T) {
	s := serve(t, accept.Options{}, echo)
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("y", 1<<20): http.StatusRequestHeaderFieldsTooLarge,
		strings.Repeat("\r\n", 1<<18):                                   http.StatusBadRequest,
	} {
		c := s.dial(t)
		go func() { _, _ = io.WriteString(c, text) }()
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want)
		rest, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "")
	}
	await(t, "connections to be closed", func() bool { return s.gate.Bytes() == 0 })
}

// Guards against a request that is cancelled by what its caller sends after it.
func TestRunningRequestIsNotCancelled(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, accept.Options{}, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
			_, _ = io.WriteString(w, "whole")
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	for _, next := range []string{strings.Repeat("\r\n", 100), "GET /" + strings.Repeat("x", 4<<10)} {
		c := s.dial(t)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+next)
		assert.NilError(t, err)
		await(t, "the request to run", func() bool { return s.gate.Conns(intake.Running) == 1 })
		time.Sleep(50 * time.Millisecond)
		release <- struct{}{}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_ = c.Close()
		await(t, "the connection to end", func() bool { return s.gate.Bytes() == 0 })
	}
}

// Guards against a crowd of incomplete heads that keeps other callers from being
// served, that closes a running request, or that exceeds the bytes of the account.
// Reports must be few.
func TestCrowdOfHeads(t *testing.T) {
	const most = 1 << 20
	release := make(chan struct{})
	s := serve(t, accept.Options{Account: intake.Options{MaxBytes: most}}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		echo(w, r)
	})
	slow := s.dial(t)
	_, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	await(t, "the request to run", func() bool { return s.gate.Conns(intake.Running) == 1 })
	for range 200 {
		_, _ = io.WriteString(s.dial(t), "GET / HTTP/1.1\r\nX: ")
		assert.Assert(t, s.gate.Bytes() <= most)
	}
	await(t, "all connections to be accepted", func() bool { return s.accepted.Load() == 201 })
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	await(t, "another caller to be served", func() bool {
		resp, err := client.Post("http://"+s.address, "", strings.NewReader("body"))
		return err == nil && resp.StatusCode == http.StatusOK && resp.Body.Close() == nil
	})
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, s.reports.Load() > 0 && s.reports.Load() < 20, "%d reports", s.reports.Load())
}

// Guards against bytes or connections that stay charged after their end.
func TestChargesEnd(t *testing.T) {
	s := serve(t, accept.Options{}, echo)
	client := http.Client{Transport: &http.Transport{}}
	for i := range 20 {
		resp, err := client.Post("http://"+s.address, "", bytes.NewReader(make([]byte, i*10_000)))
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(i*10_000))
		assert.NilError(t, resp.Body.Close())
	}
	await(t, "the connection to be idle", func() bool { return s.gate.Conns(intake.Idle) == 1 })
	client.CloseIdleConnections()
	await(t, "the connection to end", func() bool { return s.gate.Bytes() == 0 && s.gate.Busy() == 0 })
}

// Guards against callers that send requests and read no response, and that keep
// all connections for themselves.
func TestUnreadResponses(t *testing.T) {
	const most = 4
	response := make([]byte, 60<<10)
	s := serve(t, accept.Options{Account: intake.Options{MaxConns: most}}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(response)
	})
	for range most {
		c := s.dial(t)
		go func() {
			for {
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					return
				}
			}
		}()
	}
	await(t, "responses to be unread", func() bool { return s.gate.Conns(intake.Writing) == most })
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	await(t, "another caller to be served", func() bool {
		resp, err := client.Get("http://" + s.address)
		return err == nil && resp.StatusCode == http.StatusOK && resp.Body.Close() == nil
	})
}

// Guards against a body that stops and holds its memory, and against one that is
// ended although it keeps the pace.
func TestPaceOfBodies(t *testing.T) {
	const window = 400 * time.Millisecond
	slow := limits
	slow.HeadTimeout, slow.PaceBytes, slow.PaceWindow = window, 10, window
	s := serve(t, accept.Options{Limits: func() accept.Limits { return slow }}, echo)
	const size = 200
	send := func(step time.Duration, count int) *http.Response {
		c := s.dial(t)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
		assert.NilError(t, err)
		for range count {
			_, err := c.Write(make([]byte, 10))
			assert.NilError(t, err)
			time.Sleep(step)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		return resp
	}
	assert.Equal(t, send(window/8, size/10).StatusCode, http.StatusOK)
	assert.Equal(t, send(0, size/10-1).StatusCode, http.StatusBadRequest)
}
