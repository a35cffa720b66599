// Package ident defines the types of ids and units that several packages share.
// It contains only parsing and formatting and imports no other package of this
// module, so that every package can depend on it.
package ident

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Node is the name of a node. It stays the same across restarts of the process.
type Node string

// Service is the name of a service that callers can address.
type Service string

// Version is the name of a version of a service's upstreams.
type Version string

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a group of failure domains.
type Region string

// Workspace is the name of a group of callers that share keys and a fair share of
// the upstreams.
type Workspace string

// Route is the name of a group of requests of a service that behave alike.
type Route string

// Move is the name of a version move in the manifest.
type Move string

// Change identifies one attempt to apply a manifest. Repeating an attempt with
// the same Change is idempotent.
type Change string

// Digest is the SHA-256 digest of a manifest body in hexadecimal.
type Digest string

// Start identifies one run of a process. Zero means unknown.
type Start uint64

// Revision is the number of an accepted manifest, starting at 1. Zero means none.
type Revision uint64

// Slots is the number of requests that an upstream can run at the same time.
type Slots int32

// requestBytes is the size of a request id in bytes.
const requestIDBytes = 16

// ErrInvalidRequest is returned for text that isn't the hexadecimal form of a request
// id.
var ErrInvalidRequest = errors.New("request id is not 32 hexadecimal digits")

// Request identifies one request from its first node to its upstream.
type Request [requestIDBytes]byte

// NewRequest returns the request id with the given 128 bits, which should be
// random.
func NewRequest(high, low uint64) Request {
	var r Request
	binary.BigEndian.PutUint64(r[:8], high)
	binary.BigEndian.PutUint64(r[8:], low)
	return r
}

// ParseRequest parses the hexadecimal form of a request id. It returns
// ErrInvalidRequest if the text is malformed.
func ParseRequest(text string) (Request, error) {
	var r Request
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != requestIDBytes {
		return Request{}, ErrInvalidRequest
	}
	copy(r[:], b)
	return r, nil
}

// String returns the hexadecimal form that headers and logs use.
func (r Request) String() string {
	return hex.EncodeToString(r[:])
}

// Low64 returns the lower 64 bits. For random ids they serve as a uniform hash.
func (r Request) Low64() uint64 {
	return binary.BigEndian.Uint64(r[8:])
}
