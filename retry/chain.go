package retry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Headers that an upstream copies from a request to the calls that it makes.
const (
	AttemptsHeader = "Cicadahall-Attempts"
	DepthHeader    = "Cicadahall-Depth"
	TimeoutHeader  = "Cicadahall-Timeout"
)

// maxValueLength bounds the length of a chain header value in bytes.
const maxValueLength = 32

// ErrInvalidChain reports a chain header that is malformed or out of bounds.
// The request is then refused without having run.
var ErrInvalidChain = errors.New("chain header is malformed or out of bounds")

// Chain holds the retry limits that are passed down a call chain.
type Chain struct {
	// Attempts is the number of runs left, from 1 to MaxAttempts.
	Attempts int
	// Depth is the number of calls above this one, from 0 to MaxDepth.
	Depth int
	// Timeout is the time left, more than 0 and at most MaxTimeout.
	Timeout time.Duration
}

// ParseChain parses the chain headers. A missing header takes its default. The
// error wraps ErrInvalidChain.
func ParseChain(h http.Header) (Chain, error) {
	c := Chain{Attempts: DefaultAttempts, Timeout: DefaultTimeout}
	if err := parseCount(h, AttemptsHeader, 1, MaxAttempts, &c.Attempts); err != nil {
		return Chain{}, err
	}
	if err := parseCount(h, DepthHeader, 0, MaxDepth, &c.Depth); err != nil {
		return Chain{}, err
	}
	text, ok, err := singleValue(h, TimeoutHeader)
	if err != nil || !ok {
		return c, err
	}
	c.Timeout, err = time.ParseDuration(text)
	if err != nil || c.Timeout <= 0 || c.Timeout > MaxTimeout {
		return Chain{}, chainError(TimeoutHeader, text)
	}
	return c, nil
}

// Set writes the chain headers to h.
func (c Chain) Set(h http.Header) {
	h.Set(AttemptsHeader, strconv.Itoa(c.Attempts))
	h.Set(DepthHeader, strconv.Itoa(c.Depth))
	h.Set(TimeoutHeader, c.Timeout.String())
}

// parseCount parses a decimal number without a sign or leading zeros. It leaves
// dst unchanged if the header is missing.
func parseCount(h http.Header, name string, low, high int, dst *int) error {
	text, ok, err := singleValue(h, name)
	if err != nil || !ok {
		return err
	}
	n, err := strconv.Atoi(text)
	if err != nil || strconv.Itoa(n) != text || n < low || n > high {
		return chainError(name, text)
	}
	*dst = n
	return nil
}

// singleValue returns the only value of a header. It reports false if the header
// is missing and returns an error if it is repeated or too long.
func singleValue(h http.Header, name string) (string, bool, error) {
	v := h.Values(name)
	switch {
	case len(v) == 0:
		return "", false, nil
	case len(v) > 1 || len(v[0]) > maxValueLength:
		return "", false, chainError(name, v[0])
	default:
		return v[0], true, nil
	}
}

func chainError(name, text string) error {
	return oops.In("retry").With("header", name).Wrapf(ErrInvalidChain, "read %s %.*q", name, maxValueLength, text)
}
