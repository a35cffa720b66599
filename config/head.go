// Package config publishes manifests and lets nodes follow them. A Publisher
// stores a manifest body under its digest and then advances the head row by
// compare-and-swap. A Follower is a state machine without I/O, driven by a node
// with heads, bodies and ticks.
//
// Invariants: a body is stored before a head names it; a change id is accepted
// at most once; a Follower never adopts a lower revision than before, nor a body
// that doesn't match the digest of its head.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// HeadKey is the key of the head row in the table service.
	HeadKey = "config/head"
	// bodyPrefix precedes the digest in the key of a manifest body.
	bodyPrefix = "manifest/"
	// headFormat is the version of the head row's JSON.
	headFormat = 1
	// maxPastHeads is the maximum number of earlier heads in the row. A row with
	// 32 of them takes about 5 KB, or 0.5 KB/s for each node at one read in 10 s.
	maxPastHeads = 32
)

var (
	// ErrUnsupportedFormat reports a head row in a format that this release
	// doesn't support.
	ErrUnsupportedFormat = errors.New("head row has an unknown format")
	// ErrRevisionConflict reports two heads of one revision with different
	// digests.
	ErrRevisionConflict = errors.New("two heads of one revision have different digests")
	// ErrDigestMismatch reports a body that doesn't match the requested digest.
	ErrDigestMismatch = errors.New("body does not match its digest")
	// ErrInvalidHead reports a head with revision 0 or a malformed digest.
	ErrInvalidHead = errors.New("malformed head")
)

// Head identifies one accepted manifest.
type Head struct {
	Revision ident.Revision `json:"revision"`
	Digest   ident.Digest   `json:"digest"`
	Change   ident.Change   `json:"change"`
}

// headRow is the JSON value of the head row. Past lists earlier heads, newest
// first, so that a late retry can find out whether its change was accepted.
type headRow struct {
	Format int `json:"format"`
	Head
	Past []Head `json:"past,omitempty"`
}

// Digest returns the SHA-256 digest of a manifest body.
func Digest(body []byte) ident.Digest {
	sum := sha256.Sum256(body)
	return ident.Digest(hex.EncodeToString(sum[:]))
}

// BodyKey returns the object key of a manifest body.
func BodyKey(d ident.Digest) string {
	return bodyPrefix + string(d)
}

// ParseHead decodes the value of the head row. An empty value, of a missing row,
// gives the zero Head.
func ParseHead(value []byte) (Head, error) {
	r, err := parseRow(value)
	return r.Head, err
}

func parseRow(value []byte) (headRow, error) {
	if len(value) == 0 {
		return headRow{Format: headFormat}, nil
	}
	var r headRow
	if err := json.Unmarshal(value, &r); err != nil {
		return headRow{}, oops.In("config").With("step", "parse head").Wrap(errors.Join(ErrUnsupportedFormat, err))
	}
	if r.Format != headFormat {
		return headRow{}, oops.In("config").With("step", "parse head", "format", r.Format).Wrap(ErrUnsupportedFormat)
	}
	return r, r.check()
}

// nextRow returns the row that replaces r when h is accepted.
func (r headRow) nextRow(h Head) headRow {
	n := headRow{Format: headFormat, Head: h}
	if r.Revision > 0 {
		n.Past = append(n.Past, r.Head)
	}
	n.Past = append(n.Past, r.Past...)
	if len(n.Past) > maxPastHeads {
		n.Past = n.Past[:maxPastHeads]
	}
	return n
}

// headAt returns the head of revision v, if the row still lists it.
func (r headRow) headAt(v ident.Revision) (Head, bool) {
	if r.Revision == v {
		return r.Head, true
	}
	for _, h := range r.Past {
		if h.Revision == v {
			return h, true
		}
	}
	return Head{}, false
}

// headOfChange returns the head that the change c created, if the row still
// lists it.
func (r headRow) headOfChange(c ident.Change) (Head, bool) {
	if r.Revision > 0 && r.Change == c {
		return r.Head, true
	}
	for _, h := range r.Past {
		if h.Change == c {
			return h, true
		}
	}
	return Head{}, false
}

// check returns ErrInvalidHead for a head that no Publisher writes.
func (h Head) check() error {
	raw, err := hex.DecodeString(string(h.Digest))
	if h.Revision == 0 || err != nil || len(raw) != sha256.Size {
		return oops.In("config").With("step", "check head", "revision", h.Revision).Wrap(ErrInvalidHead)
	}
	return nil
}
