// Package ident holds the named types for the ids and units that cross
// package borders. It has no behaviour beyond parsing and formatting, and
// imports nothing of this module, so that every package can depend on it.
package ident

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// Node names one node process slot. It stays the same across restarts.
type Node string

// Service names a service that callers can address.
type Service string

// Version names one version of a service's upstreams.
type Version string

// Domain names a failure domain.
type Domain string

// Region names a group of failure domains.
type Region string

// Route names a group of requests of a service that behave alike.
type Route string

// Move names one version move of the manifest.
type Move string

// Change identifies one attempt to apply a manifest. Repeating an attempt
// with the same Change is harmless.
type Change string

// Digest is the hexadecimal SHA-256 digest of a manifest body.
type Digest string

// Start identifies one run of a process. Zero means that it isn't known.
type Start uint64

// Revision numbers the accepted manifests, from 1. Zero means none.
type Revision uint64

// Slots counts requests that an upstream can run at the same time.
type Slots int32

// requestBytes is the size of a request id in bytes.
const requestBytes = 16

// ErrRequest reports text that isn't the hexadecimal form of a request id.
var ErrRequest = errors.New("request id is not 32 hexadecimal digits")

// Request identifies one request from its first node to its upstream.
type Request [requestBytes]byte

// NewRequest makes a request id from 128 random bits.
func NewRequest(high, low uint64) Request {
	var r Request
	binary.BigEndian.PutUint64(r[:8], high)
	binary.BigEndian.PutUint64(r[8:], low)
	return r
}

// ParseRequest reads the hexadecimal form of a request id.
func ParseRequest(text string) (Request, error) {
	var r Request
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != requestBytes {
		return Request{}, ErrRequest
	}
	copy(r[:], b)
	return r, nil
}

// String returns the hexadecimal form, as used in headers and logs.
func (r Request) String() string {
	return hex.EncodeToString(r[:])
}

// Low returns the lower 64 bits, which serve as a uniform hash of the id.
func (r Request) Low() uint64 {
	return binary.BigEndian.Uint64(r[8:])
}
