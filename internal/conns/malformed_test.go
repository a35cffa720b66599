package conns_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/conns"
	"github.com/cicadahall/cicadahall/internal/stand"
)

// exchange sends a request to an upstream that writes text in place of a
// response and leaves the connection open.
func exchange(t *testing.T, text string) (*conns.Response, error) {
	s := httptest.NewServer(stand.RawResponse{Text: func(*http.Request) string { return text }})
	defer s.Close()
	p := conns.New(conns.Options{MaxBodyBytes: 100})
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req := &conns.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
	resp, err := p.Do(ctx, s.Listener.Addr().String(), req, func(h http.Header) bool { return h.Get("Id") == "1" })
	assert.NilError(t, ctx.Err(), "the exchange lasted until its deadline")
	return resp, err
}

// Guards against a response with an invalid status, which was skipped as an
// interim response or returned, and against waiting for another one.
func TestMalformedStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "+20", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			resp, err := exchange(t, "HTTP/1.1 "+status+" Odd\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole")
			var failure *conns.Error
			assert.Assert(t, errors.As(err, &failure), "%+v", resp)
			assert.Assert(t, failure.Sent)
		})
	}
	for _, status := range []string{"200", "299", "404", "599"} {
		resp, err := exchange(t, "HTTP/1.1 "+status+" Known\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole")
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "whole")
	}
}

// malformedLines are lines of a head with an invalid field name.
var malformedLines = []string{
	"X Odd: 1", "X-Odd : 1", "X-Odd\t: 1", "\tX-Odd: 1", " X-Odd: 1", "X\x01Odd: 1", "X\x00Odd: 1", "X\x7fOdd: 1", "X\rOdd: 1", ": 1", "X-Odd",
	"Content-Length : 5", "Transfer-Encoding : chunked",
}

// Guards against a response with an invalid field name, which was passed on
// with that line, or with a body whose length net/http doesn't know then.
func TestMalformedFieldName(t *testing.T) {
	for _, line := range malformedLines {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nId: 1\r\n",
			"HTTP/1.1 200 OK\r\nId: 1\r\n" + line + "\r\n",
		} {
			for _, framing := range []string{"Content-Length: 5\r\n", ""} {
				resp, err := exchange(t, head+framing+"\r\nwhole")
				var failure *conns.Error
				assert.Assert(t, errors.As(err, &failure), "%q: %+v", line, resp)
				assert.Assert(t, failure.Sent)
			}
		}
	}
	resp, err := exchange(t, "HTTP/1.1 200 OK\r\nId: 1\r\nx_odd.!#$%&'*+^`|~9: \t1 \xe9\r\nContent-Length: 5\r\n\r\nwhole")
	assert.NilError(t, err)
	assert.Equal(t, string(resp.Body), "whole")
}
