package retry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Headers that an upstream passes on to the calls that it makes.
const (
	AttemptsHeader = "Cicadahall-Attempts"
	DepthHeader    = "Cicadahall-Depth"
	TimeoutHeader  = "Cicadahall-Timeout"
)

// maxText bounds the text of one chain header.
const maxText = 32

// ErrChain reports a chain header that is malformed or out of bounds. The
// request is refused as not run.
var ErrChain = errors.New("chain header is malformed or out of bounds")

// Chain is the part of a plan that travels down a call chain.
type Chain struct {
	// Attempts is the number of runs left, 1 to MaxAttempts.
	Attempts int
	// Depth is the number of calls above this one, 0 to MaxDepth.
	Depth int
	// Left is the time left, more than 0 and at most MaxTimeout.
	Left time.Duration
}

// ParseChain reads the chain headers. A missing header has its default. An
// error wraps ErrChain.
func ParseChain(h http.Header) (Chain, error) {
	c := Chain{Attempts: DefaultAttempts, Left: DefaultTimeout}
	if err := parseCount(h, AttemptsHeader, 1, MaxAttempts, &c.Attempts); err != nil {
		return Chain{}, err
	}
	if err := parseCount(h, DepthHeader, 0, MaxDepth, &c.Depth); err != nil {
		return Chain{}, err
	}
	text, ok, err := single(h, TimeoutHeader)
	if err != nil || !ok {
		return c, err
	}
	c.Left, err = time.ParseDuration(text)
	if err != nil || c.Left <= 0 || c.Left > MaxTimeout {
		return Chain{}, chainError(TimeoutHeader, text)
	}
	return c, nil
}

// Set writes the chain headers.
func (c Chain) Set(h http.Header) {
	h.Set(AttemptsHeader, strconv.Itoa(c.Attempts))
	h.Set(DepthHeader, strconv.Itoa(c.Depth))
	h.Set(TimeoutHeader, c.Left.String())
}

// parseCount reads a decimal number without sign or leading zero.
func parseCount(h http.Header, name string, low, high int, to *int) error {
	text, ok, err := single(h, name)
	if err != nil || !ok {
		return err
	}
	n, err := strconv.Atoi(text)
	if err != nil || strconv.Itoa(n) != text || n < low || n > high {
		return chainError(name, text)
	}
	*to = n
	return nil
}

// single returns the only value of a header, and false if there is none.
func single(h http.Header, name string) (string, bool, error) {
	v := h.Values(name)
	switch {
	case len(v) == 0:
		return "", false, nil
	case len(v) > 1 || len(v[0]) > maxText:
		return "", false, chainError(name, v[0])
	default:
		return v[0], true, nil
	}
}

func chainError(name, text string) error {
	return oops.In("retry").With("header", name).Wrapf(ErrChain, "read %s %.*q", name, maxText, text)
}
