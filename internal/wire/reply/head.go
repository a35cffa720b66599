package reply

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed reports a response that violates HTTP although net/http accepts
// it.
var ErrMalformed = errors.New("malformed response")

// lastStatus is the last valid status (RFC 9110, section 15).
const lastStatus = 599

// Check checks what net/http doesn't check of the head of a response.
func Check(resp *http.Response) error {
	if !isInterim(resp.StatusCode) {
		if err := CheckStatus(resp.StatusCode); err != nil {
			return err
		}
	}
	for name := range resp.Header {
		if err := CheckFieldName(name); err != nil {
			return err
		}
	}
	return nil
}

// isInterim reports whether another response follows one with this status.
// Switching Protocols isn't one: no request asks for it.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckStatus checks the status of a final response.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > lastStatus {
		return fmt.Errorf("%w: final status %03d isn't from %d to %d", ErrMalformed, status, http.StatusOK, lastStatus)
	}
	return nil
}

// CheckFieldName checks that the name of a field is a token. net/http accepts
// spaces in it, also between Content-Length and the colon, and then doesn't know
// the length of the body.
func CheckFieldName(name string) error {
	if name == "" || strings.ContainsFunc(name, isNotTokenChar) {
		return fmt.Errorf("%w: field name %q isn't a token", ErrMalformed, name)
	}
	return nil
}

// isNotTokenChar reports whether a token can't contain r (RFC 9110, section
// 5.6.2).
func isNotTokenChar(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}

// statusColumn is the position of the status in "HTTP/1.1 200 OK".
const statusColumn = len("HTTP/1.1 ")

// headScanner finds lines of a response's head that begin with white space. Such
// a line continues the value of the field before it for net/http, but may as
// well be a field with an invalid name. RFC 9112, section 5.2, lets a gateway
// reject these responses. The zero headScanner ignores all bytes.
type headScanner struct {
	active bool
	// line and column are the position of the next byte; carriage returns don't
	// count.
	line, column int
	interim      bool
	err          error
}

// scan reads the next bytes of the connection. Once it has returned an error, it
// returns it again for all that follow.
func (s *headScanner) scan(b []byte) error {
	for _, c := range b {
		if !s.active || s.err != nil {
			break
		}
		switch {
		case c == '\n' && s.column == 0 && s.line > 0:
			// Another head follows that of an interim response.
			*s = headScanner{active: s.interim}
		case c == '\n':
			s.line++
			s.column = 0
		case c == '\r':
		case s.column == 0 && s.line > 0 && (c == ' ' || c == '\t'):
			s.err = fmt.Errorf("%w: line %d of its head begins with white space", ErrMalformed, s.line+1)
		default:
			if s.line == 0 && s.column == statusColumn {
				s.interim = c == '1'
			}
			s.column++
		}
	}
	return s.err
}
