package reply

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed reports a response that violates HTTP although net/http accepts
// it.
var ErrMalformed = errors.New("malformed response")

// lastStatus is the last valid status (RFC 9110, section 15).
const lastStatus = 599

// Check checks what net/http doesn't check of the head of a response.
func Check(resp *http.Response) error {
	if isInterim(resp.StatusCode) {
		return nil
	}
	return CheckStatus(resp.StatusCode)
}

// isInterim reports whether another response follows one with this status.
// Switching Protocols is none: no request asks for it.
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
