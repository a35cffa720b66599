package peer

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"connectrpc.com/connect"
)

// gzipName is the wire name of the codec.
const gzipName = "gzip"

// gzipEncoder compresses the messages of the process one at a time with a
// single gzip writer. A writer takes 0.8 MB; the pools of connect-go hold one
// per message in progress and drop them at every garbage collection, which made
// the heap of a starting node grow by 8 MB.
type gzipEncoder struct {
	mu     sync.Mutex
	writer *gzip.Writer
}

var sharedEncoder gzipEncoder

func (e *gzipEncoder) compress(dst io.Writer, message []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.writer == nil {
		e.writer = gzip.NewWriter(dst)
	} else {
		e.writer.Reset(dst)
	}
	if _, err := e.writer.Write(message); err != nil {
		return err
	}
	return e.writer.Close()
}

// compressor buffers one message and compresses it when it is closed. It
// implements connect.Compressor.
type compressor struct {
	dst     io.Writer
	message bytes.Buffer
}

// Write appends a part of the message.
func (c *compressor) Write(b []byte) (int, error) { return c.message.Write(b) }

// Reset starts a new message.
func (c *compressor) Reset(dst io.Writer) {
	c.dst = dst
	c.message.Reset()
}

// Close writes the compressed message.
func (c *compressor) Close() error { return sharedEncoder.compress(c.dst, c.message.Bytes()) }

func newCompressor() connect.Compressor { return &compressor{} }

func newDecompressor() connect.Decompressor { return &gzip.Reader{} }
