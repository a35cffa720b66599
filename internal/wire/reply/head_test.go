package reply_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/wire/reply"
)

func ExampleCheck() {
	for _, head := range []string{"HTTP/1.1 000 Odd", "HTTP/1.1 200 OK\r\nContent-Length : 5", "HTTP/1.1 200 OK"} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n\r\n")), nil)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(reply.Check(resp))
		_ = resp.Body.Close()
	}
	// Output:
	// malformed response: final status 000 isn't from 200 to 599
	// malformed response: field name "Content-Length " isn't a token
	// <nil>
}

// Guards against a line of a head that begins with white space and that becomes
// a part of the field before it, however the head is split between reads, and
// against taking a line of a body for one of a head.
func TestFoldedLine(t *testing.T) {
	for text, malformed := range map[string]bool{
		"HTTP/1.1 200 OK\r\n X: y\r\n\r\n":                                        true,
		"HTTP/1.1 200 OK\r\nA: b\r\n X: y\r\n\r\n":                                true,
		"HTTP/1.1 200 OK\nA: b\n\tX: y\n\n":                                       true,
		"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n":                                    true,
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n X: y\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n a\r\n b\r\nc":               false,
		"HTTP/1.1 200 OK\r\nA:  b \r\nContent-Length: 0\r\n\r\n":                  false,
	} {
		for _, size := range []int{1, 7, len(text)} {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
					if _, err := io.WriteString(server, rest[:min(size, len(rest))]); err != nil {
						return
					}
				}
			}()
			err := readFinal(client)
			assert.NilError(t, client.Close())
			if malformed {
				assert.Assert(t, err != nil, "%q", text)
			} else {
				assert.NilError(t, err, "%q", text)
			}
		}
	}
}

// readFinal reads a final response and its body.
func readFinal(nc net.Conn) error {
	c := reply.NewConn(nc)
	if err := c.ExpectResponse(nil); err != nil {
		return err
	}
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode >= http.StatusOK {
			return err
		}
	}
}
