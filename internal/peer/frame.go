package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/wire/reply"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// A frame carries a CallRequest, a ResolveRequest or a CallResponse as the body
// of an HTTP message of known length: the length of the head in 4 bytes, the
// message without its field "body", and the bytes of that field. The body is
// neither copied nor read before its size is known.
const (
	callPath    = "/frame/call"
	resolvePath = "/frame/resolve"
	frameType   = "application/x-cicadahall-frame"
	// headPrefix is the size of a frame's length field in bytes.
	headPrefix = 4
	// bodyField is the field that follows the head.
	bodyField protoreflect.Name = "body"
)

var (
	errFrame = errors.New("malformed frame")
	// errNoFrames reports a peer that doesn't know frames.
	errNoFrames = errors.New("peer doesn't support frames")
	// errBusy reports that the peer has no memory for the request and hasn't
	// begun it.
	errBusy = errors.New("peer has no memory for the request")
)

// message is a message that a frame can carry.
type message interface {
	proto.Message
	GetBody() []byte
}

// encodeHead returns the length and the message without its body.
func encodeHead(m proto.Message) ([]byte, error) {
	source := m.ProtoReflect()
	head := source.New()
	source.Range(func(d protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if d.Name() != bodyField {
			head.Set(d, v)
		}
		return true
	})
	encoded, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, headPrefix), head.Interface())
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	if len(encoded)-headPrefix > messageOverhead {
		return nil, fmt.Errorf("%w: head of %d bytes, %d are allowed", errFrame, len(encoded)-headPrefix, messageOverhead)
	}
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-headPrefix))
	return encoded, nil
}

// decodeHead reads the head of a frame into m. It returns the length of the body
// that follows. The head, which is allocated several times, is charged.
func decodeHead(l *quota.Lease, k quota.Kind, r io.Reader, length int64, m proto.Message) (int64, error) {
	var prefix [headPrefix]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, fmt.Errorf("read length of head: %w", err)
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > messageOverhead || size > length-headPrefix {
		return 0, fmt.Errorf("%w: head of %d bytes in %d", errFrame, size, length)
	}
	if err := l.Grow(k, quota.Bytes(size)); err != nil {
		return 0, err
	}
	head := make([]byte, size)
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, fmt.Errorf("read head: %w", err)
	}
	if err := proto.Unmarshal(head, m); err != nil {
		return 0, fmt.Errorf("decode head: %w", err)
	}
	return length - headPrefix - size, nil
}

// exchange sends a message and a body as a frame and returns the response. It
// charges the response to the lease of ctx.
func (p *Pool) exchange(ctx context.Context, t *reply.Transport, url string, m proto.Message, body []byte) (*wirepb.CallResponse, error) {
	head, err := encodeHead(m)
	if err != nil {
		return nil, err
	}
	open := func() (io.ReadCloser, error) {
		return io.NopCloser(io.MultiReader(bytes.NewReader(head), bytes.NewReader(body))), nil
	}
	content, _ := open() // open never fails
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, content)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	r.ContentLength = int64(len(head) + len(body))
	// The transport repeats a request of which no byte was written.
	r.GetBody = open
	r.Header.Set("Content-Type", frameType)
	resp, err := (&http.Client{Transport: t}).Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, errNoFrames
	case resp.StatusCode == http.StatusServiceUnavailable:
		return nil, errBusy
	case resp.StatusCode == http.StatusRequestEntityTooLarge:
		return nil, fmt.Errorf("message of %d bytes is larger than configured max of the peer", r.ContentLength)
	case resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != frameType:
		return nil, fmt.Errorf("%w: status %d, type %q", errFrame, resp.StatusCode, resp.Header.Get("Content-Type"))
	}
	return p.decodeResponse(quota.FromContext(ctx), resp)
}

func (p *Pool) decodeResponse(l *quota.Lease, resp *http.Response) (*wirepb.CallResponse, error) {
	m := &wirepb.CallResponse{}
	length, err := decodeHead(l, quota.Response, resp.Body, resp.ContentLength, m)
	if err != nil {
		return nil, err
	}
	if m.Body, err = l.ReadAll(quota.Response, resp.Body, length, p.opts.MaxBodyBytes); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return m, nil
}

// frameServer serves frames.
type frameServer struct {
	options Options
	handler wirepb.PeerHandler
}

// serveCall runs the request in a frame. A request for which there is no memory
// is refused before its body is read.
func (s *frameServer) serveCall(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > s.options.MaxBodyBytes+messageOverhead {
		http.Error(w, "message is too large", http.StatusRequestEntityTooLarge)
		return
	}
	lease, err := s.options.Quota.NewLease()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer lease.Release()
	req := &wirepb.CallRequest{}
	length, err := decodeHead(lease, quota.Request, r.Body, r.ContentLength, req)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	deadline := time.Now().Add(time.Duration(req.GetLeftNanos()))
	if req.Body, err = s.readBody(w, r, lease, length, deadline); err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	resp, err := s.handler.Call(quota.NewContext(r.Context(), lease), req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if len(resp.GetBody()) > quota.ReceiveBuffer {
		_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeTimeout)) // supported by net/http
	}
	writeFrame(w, resp)
}

// writeTimeout is the time after a request's deadline until which a peer may
// read a large response.
const writeTimeout = 5 * time.Second

// readBody reads a request's body. A peer that stops sending a large one must
// not hold its memory beyond the request's deadline.
func (s *frameServer) readBody(w http.ResponseWriter, r *http.Request, l *quota.Lease, length int64, deadline time.Time) ([]byte, error) {
	if length <= quota.ReceiveBuffer {
		return l.ReadAll(quota.Body, r.Body, length, s.options.MaxBodyBytes)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline) // supported by net/http
	body, err := l.ReadAll(quota.Body, r.Body, length, s.options.MaxBodyBytes)
	_ = control.SetReadDeadline(time.Time{})
	return body, err
}

// maxQueryBytes bounds the size of a frame with a query.
const maxQueryBytes = 4 << 10

// serveResolve answers the query in a frame. It needs no lease, since it must
// also bring requests to a known outcome while memory is short.
func (s *frameServer) serveResolve(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > maxQueryBytes {
		http.Error(w, "message is too large", http.StatusRequestEntityTooLarge)
		return
	}
	req := &wirepb.ResolveRequest{}
	if _, err := decodeHead(nil, quota.Request, r.Body, r.ContentLength, req); err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	resp, err := s.handler.Resolve(r.Context(), req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeFrame(w, resp)
}

// statusOf returns the status for a request that was not begun.
func statusOf(err error) int {
	switch {
	case errors.Is(err, quota.ErrFull), errors.Is(err, quota.ErrTooLarge):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

func writeFrame(w http.ResponseWriter, m message) {
	head, err := encodeHead(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", frameType)
	h.Set("Content-Length", strconv.Itoa(len(head)+len(m.GetBody())))
	// A write fails if the peer has disconnected; it then asks for the outcome.
	_, _ = w.Write(head)
	_, _ = w.Write(m.GetBody())
}
