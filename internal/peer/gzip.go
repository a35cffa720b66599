package peer

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"connectrpc.com/connect"
)

// gzipName is the name of the codec on the wire.
const gzipName = "gzip"

// deflater compresses the messages of a process one after the other with one
// state. The state takes 0.8 MB; the pools of connect-go hold one for each
// message in progress and drop them with every garbage collection, which made
// the heap of a starting node grow by 8 MB.
type deflater struct {
	mu sync.Mutex
	w  *gzip.Writer
}

var shared deflater

func (d *deflater) compress(to io.Writer, message []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.w == nil {
		d.w = gzip.NewWriter(to)
	} else {
		d.w.Reset(to)
	}
	if _, err := d.w.Write(message); err != nil {
		return err
	}
	return d.w.Close()
}

// compressor collects one message and compresses it at its end.
type compressor struct {
	to      io.Writer
	message bytes.Buffer
}

// Write takes a part of the message.
func (c *compressor) Write(b []byte) (int, error) { return c.message.Write(b) }

// Reset begins another message.
func (c *compressor) Reset(to io.Writer) {
	c.to = to
	c.message.Reset()
}

// Close writes the compressed message.
func (c *compressor) Close() error { return shared.compress(c.to, c.message.Bytes()) }

func newCompressor() connect.Compressor { return &compressor{} }

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }
