package reply_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/wire/reply"
)

// connect returns both ends of a connection on loopback.
func connect() (client *reply.Conn, server *net.TCPConn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	s, err := l.Accept()
	if err != nil {
		return nil, nil, err
	}
	return reply.NewConn(c), s.(*net.TCPConn), nil
}

// A Read doesn't take a reset for the end of data, although a Write has already
// got the error of the reset.
func ExampleConn() {
	client, server, err := connect()
	if err != nil {
		fmt.Println(err)
		return
	}
	_, _ = io.WriteString(server, "part")
	_ = server.SetLinger(0)
	_ = server.Close()
	time.Sleep(10 * time.Millisecond)
	_, err = io.WriteString(client, "request")
	fmt.Println(errors.Is(err, syscall.ECONNRESET))
	data, err := io.ReadAll(client)
	fmt.Printf("%s, %t\n", data, errors.Is(err, syscall.ECONNRESET))
	// Output:
	// true
	// part, true
}

// Guards against refusing data that the peer has ended before it reset the
// connection.
func TestResetAfterEnd(t *testing.T) {
	client, server, err := connect()
	assert.NilError(t, err)
	_, err = io.WriteString(server, "whole")
	assert.NilError(t, err)
	assert.NilError(t, server.CloseWrite())
	time.Sleep(10 * time.Millisecond)
	assert.NilError(t, server.SetLinger(0))
	assert.NilError(t, server.Close())
	time.Sleep(10 * time.Millisecond)
	_, err = io.WriteString(client, "request")
	assert.ErrorIs(t, err, syscall.EPIPE)
	data, err := io.ReadAll(client)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "whole")
}

// Guards against a Read that waits for a Write that the peer doesn't read, or
// takes its end for a lost connection.
func TestEndDuringWrite(t *testing.T) {
	client, server, err := connect()
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	written := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, 32<<20))
		written <- err
	}()
	_, err = io.WriteString(server, "whole")
	assert.NilError(t, err)
	assert.NilError(t, server.CloseWrite())
	data, err := io.ReadAll(client)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "whole")
	assert.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
}
