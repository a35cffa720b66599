package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of connections of a crowd. It is larger than
	// maxDescriptors less the 200 that are reserved for files.
	crowdSize = 400
	// sendTime is how long a connection sends at most. Most senders end earlier,
	// those without end do not.
	sendTime = 3 * time.Second
)

// sender sends what one connection of a crowd sends. An error means that the node
// has closed the connection.
type sender func(i int, c net.Conn) error

// crowd is a set of connections that stay open until the end of the test.
type crowd struct {
	sending sync.WaitGroup
	mu      sync.Mutex
	closed  bool
	conns   []net.Conn
}

// send opens crowdSize connections and sends on all of them at once. It returns
// without waiting for the senders.
func (s *system) send(t *testing.T, send sender) *crowd {
	c := &crowd{}
	t.Cleanup(c.close)
	for i := range crowdSize {
		c.sending.Go(func() {
			conn, err := net.DialTimeout("tcp", s.callers, sendTime)
			if err != nil {
				return
			}
			if !c.add(conn) {
				return
			}
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			_ = send(i, conn)
		})
	}
	return c
}

func (c *crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

func (c *crowd) close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.sending.Wait()
}

func write(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

func writeHead(i int, c net.Conn, method, path, more string) error {
	return write(c, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s-%d\r\nX-Deadline-Ms: 8000\r\n%s\r\n", method, path, c.LocalAddr(), i, more))
}

// endless writes a block until the connection is closed or sendTime has passed.
func endless(c net.Conn, block []byte) error {
	for {
		if _, err := c.Write(block); err != nil {
			return err
		}
	}
}

// sendHead sends a head of one long field, of many short fields without end, or
// of many short fields that end below 64 KiB without the empty line.
func sendHead(i int, c net.Conn) error {
	if err := write(c, "GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"); err != nil {
		return err
	}
	var fields bytes.Buffer
	for n := 0; fields.Len() < 60_000; n++ {
		fmt.Fprintf(&fields, "x%d:y\r\n", n)
	}
	switch i % 3 {
	case 0:
		if err := write(c, "X-Long: "); err != nil {
			return err
		}
		return endless(c, bytes.Repeat([]byte("y"), 4<<10))
	case 1:
		return endless(c, fields.Bytes())
	default:
		_, err := c.Write(fields.Bytes())
		return err
	}
}

func sendEmptyLines(i int, c net.Conn) error {
	line := []string{"\r\n", "\n"}[i%2]
	return endless(c, bytes.Repeat([]byte(line), 2<<10))
}

const (
	// bodyBytes is the size of a large body, smallBodyBytes that of one that
	// exceeds the receive buffer of a connection.
	bodyBytes      = maxBodyBytes - 1<<20
	smallBodyBytes = 200 << 10
	pieceBytes     = 16 << 10
	chunkBytes     = 64 << 10
	// tinyChunks is the number of chunks of one byte.
	tinyChunks = 400_000
)

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

func sendWhole(i int, c net.Conn) error {
	if err := writeHead(i, c, "POST", "/book/x", contentLength(bodyBytes)); err != nil {
		return err
	}
	_, err := c.Write(make([]byte, bodyBytes))
	return err
}

// stops reports whether a connection stops just short of the end of its body.
func stops(i int) bool { return i%8 != 0 }

func sendPieces(i int, c net.Conn) error {
	size := []int{bodyBytes, smallBodyBytes}[i%2]
	if err := writeHead(i, c, "POST", "/book/x", contentLength(size)); err != nil {
		return err
	}
	if stops(i) {
		size--
	}
	for size > 0 {
		n := min(size, pieceBytes)
		if _, err := c.Write(make([]byte, n)); err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// sendChunks sends a body in chunks of a size.
func sendChunks(i int, c net.Conn, count, size int) error {
	if err := writeHead(i, c, "POST", "/book/x", "Transfer-Encoding: chunked\r\n"); err != nil {
		return err
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, make([]byte, size))
	perWrite := max(1, pieceBytes/len(chunk))
	block := bytes.Repeat(chunk, perWrite)
	for sent := 0; sent < count; sent += perWrite {
		if _, err := c.Write(block); err != nil {
			return err
		}
	}
	if stops(i) {
		return nil
	}
	return write(c, "0\r\n\r\n")
}

func sendLargeChunks(i int, c net.Conn) error {
	return sendChunks(i, c, bodyBytes/chunkBytes, chunkBytes)
}

func sendTinyChunks(i int, c net.Conn) error { return sendChunks(i, c, tinyChunks, 1) }

// readSlowly requests a large response and reads a byte of it now and then.
func readSlowly(i int, c net.Conn) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	if err := writeHead(i, c, "GET", "/read/large", ""); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(sendTime))
	for {
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
