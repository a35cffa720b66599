// Package config publishes manifests and follows them. Publisher stores a
// manifest body under its digest and then moves the head row by
// compare-and-set. Follower is a pure state machine that a node drives with
// heads, bodies and ticks.
//
// Invariants: a body is stored before a head names it; a change id is
// accepted at most once; a Follower never adopts a lower revision than
// before, nor a body that doesn't match the digest of its head.
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
	// HeadKey is the table row of the head.
	HeadKey = "config/head"
	// bodyPrefix precedes the digest in the key of a manifest body.
	bodyPrefix = "manifest/"
	// headFormat is the version of the head row's JSON.
	headFormat = 1
	// pastMost bounds the earlier heads in the row. A row with 32 of them
	// takes about 5 KB, or 0.5 KB/s for each node at one read in 10 s.
	pastMost = 32
)

var (
	// ErrFormat reports a head row that this release can't read.
	ErrFormat = errors.New("head row has an unknown format")
	// ErrSplit reports two digests for one revision.
	ErrSplit = errors.New("one revision with two digests")
	// ErrDigest reports a body that doesn't match the digest asked for.
	ErrDigest = errors.New("body does not match its digest")
	// ErrHead reports a head without a revision or with a malformed digest.
	ErrHead = errors.New("malformed head")
)

// Head names one accepted manifest.
type Head struct {
	Revision ident.Revision `json:"revision"`
	Digest   ident.Digest   `json:"digest"`
	Change   ident.Change   `json:"change"`
}

// row is the JSON value of the head row. Past lists earlier heads, newest
// first, so that a late retry finds out whether its change was accepted.
type row struct {
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

// ParseHead reads the value of the head row. A missing row, with an empty
// value, gives the zero Head.
func ParseHead(value []byte) (Head, error) {
	r, err := parseRow(value)
	return r.Head, err
}

func parseRow(value []byte) (row, error) {
	if len(value) == 0 {
		return row{Format: headFormat}, nil
	}
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, oops.In("config").With("step", "parse head").Wrap(errors.Join(ErrFormat, err))
	}
	if r.Format != headFormat {
		return row{}, oops.In("config").With("step", "parse head", "format", r.Format).Wrap(ErrFormat)
	}
	return r, r.check()
}

// next returns the row that follows r when h is accepted.
func (r row) next(h Head) row {
	n := row{Format: headFormat, Head: h}
	if r.Revision > 0 {
		n.Past = append(n.Past, r.Head)
	}
	n.Past = append(n.Past, r.Past...)
	if len(n.Past) > pastMost {
		n.Past = n.Past[:pastMost]
	}
	return n
}

// at returns the head that had revision v, if the row still lists it.
func (r row) at(v ident.Revision) (Head, bool) {
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

// byChange returns the head that change led to, if the row still lists it.
func (r row) byChange(c ident.Change) (Head, bool) {
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

// check rejects a head that no Publisher writes.
func (h Head) check() error {
	raw, err := hex.DecodeString(string(h.Digest))
	if h.Revision == 0 || err != nil || len(raw) != sha256.Size {
		return oops.In("config").With("step", "check head", "revision", h.Revision).Wrap(ErrHead)
	}
	return nil
}
