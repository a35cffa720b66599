package intake_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/control/intake"
)

const headLimit = 512

// follow feeds a stream in pieces and returns the complete requests in it: each head
// with the body's bytes as they were sent.
func follow(stream []byte, piece int) (requests [][]byte, err error) {
	var f intake.Framer
	var current []byte
	for len(stream) > 0 {
		b := stream[:min(piece, len(stream))]
		if f.InHead() {
			used, info, err := f.Head(b, headLimit)
			if err != nil {
				return requests, err
			}
			stream = stream[used:]
			if info == nil {
				continue
			}
			current = bytes.Clone(info.Bytes)
		} else {
			used, err := f.Body(b)
			if err != nil {
				return requests, err
			}
			current = append(current, b[:used]...)
			stream = stream[used:]
		}
		if f.InHead() {
			requests = append(requests, current)
		}
	}
	return requests, nil
}

// Guards against requests whose ends are found elsewhere than net/http finds them,
// whatever the pieces in which they arrive.
func TestFramerAgreesWithServer(t *testing.T) {
	parts := []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /b HTTP/1.1\nHost: h\ncontent-length: 5\n\nab\r\n\r",
		"\r\nPOST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: h\r\n\r\n3;x=y\r\na\r\n\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n",
		"POST /d HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nxy",
		"GET /e HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	}
	stream := []byte(strings.Join(parts, ""))
	for _, piece := range []int{1, 2, 3, 7, 64, len(stream)} {
		got, err := follow(stream, piece)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(parts), "in pieces of %d", piece)
		for i, part := range parts {
			assert.Equal(t, string(got[i]), strings.TrimPrefix(part, "\r\n"))
		}
	}
}

// Guards against heads and empty lines that are accepted beyond their limits, or
// refused within them.
func TestLimitsOfHead(t *testing.T) {
	fill := func(n int) string {
		const first = "GET / HTTP/1.1\r\nX: "
		return first + strings.Repeat("y", n-len(first)-2) + "\r\n\r\n"
	}
	for name, c := range map[string]struct {
		stream string
		err    error
	}{
		"head at the limit":       {fill(headLimit), nil},
		"head over the limit":     {fill(headLimit + 1), intake.ErrHeadTooLarge},
		"head without end":        {strings.Repeat("x", 3*headLimit), intake.ErrHeadTooLarge},
		"some empty lines":        {"\r\n\r\n\n" + fill(100), nil},
		"too many empty lines":    {strings.Repeat("\r\n", 5) + fill(100), intake.ErrEmptyLines},
		"length on several lines": {"GET / HTTP/1.1\r\nContent-Length:\r\n 5\r\n\r\n", intake.ErrFraming},
		"lengths that differ":     {"GET / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", intake.ErrFraming},
		"negative length":         {"GET / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", intake.ErrFraming},
		"chunk of any size":       {"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", intake.ErrFraming},
	} {
		for _, piece := range []int{1, 5, 4096} {
			_, err := follow([]byte(c.stream), piece)
			assert.Assert(t, errors.Is(err, c.err), "%s, in pieces of %d: %v", name, piece, err)
		}
	}
}

// Guards against a head that ends the process or grows beyond its limit, and
// against a request that net/http reads and that ends elsewhere for it.
func FuzzFramer(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), 1)
	f.Add([]byte("\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"), 2)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), 3)
	f.Add([]byte("\n\n\n\n\n\n\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, piece int) {
		requests, err := follow(stream, max(1, piece))
		for _, sent := range requests {
			r := bufio.NewReader(bytes.NewReader(sent))
			request, readErr := http.ReadRequest(r)
			if readErr != nil {
				continue // answered with 400, and the connection is closed
			}
			if _, readErr = io.Copy(io.Discard, request.Body); readErr != nil {
				continue
			}
			assert.Equal(t, r.Buffered(), 0, "net/http ends the request earlier: %q", sent)
		}
		if len(requests) == 0 && err == nil && len(stream) > headLimit+16 && !bytes.Contains(stream, []byte("\n\n")) && !bytes.Contains(stream, []byte("\n\r\n")) {
			t.Errorf("a head of %d bytes is within the limit", len(stream))
		}
	})
}
