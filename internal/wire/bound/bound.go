// Package bound converts numbers, addresses and durations that other programs
// have written into the types of this module. A figure out of range is an
// error, so that no allocation, index or timer follows it.
package bound

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// MaxSlots is the largest number of slots of an upstream.
	MaxSlots = 1 << 16
	// MaxCount is the largest number of requests in a report of load.
	MaxCount = 1 << 20
	// MaxDuration is the longest duration. Sums of some of them fit into a
	// time.Duration.
	MaxDuration = 365 * 24 * time.Hour
	// MaxNameBytes is the maximum length of a name in bytes.
	MaxNameBytes = 200
	// maxUnixMillis is the last millisecond of the year 9999.
	maxUnixMillis = 253_402_300_799_999
)

// ErrRange reports a value outside the range of its type.
var ErrRange = errors.New("value out of range")

// Slots converts a number of slots, which must be positive.
func Slots(n int64) (ident.Slots, error) {
	if n < 1 || n > MaxSlots {
		return 0, fmt.Errorf("%w: %d slots, 1 to %d are allowed", ErrRange, n, MaxSlots)
	}
	return ident.Slots(n), nil
}

// Count converts the decimal text of a number of requests.
func Count(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("count %q: %w", text, err)
	}
	if n < 0 || n > MaxCount {
		return 0, fmt.Errorf("%w: count %d, 0 to %d are allowed", ErrRange, n, MaxCount)
	}
	return n, nil
}

// Duration converts a number of units, for example of milliseconds. It must be
// a number from 0 to limit.
func Duration(n float64, unit, limit time.Duration) (time.Duration, error) {
	// A comparison with a NaN is false.
	if n >= 0 && n <= float64(limit)/float64(unit) {
		return time.Duration(n * float64(unit)), nil
	}
	return 0, fmt.Errorf("%w: %v times %v, 0 to %v is allowed", ErrRange, n, unit, limit)
}

// UnixMillis checks a time in Unix milliseconds.
func UnixMillis(ms int64) (int64, error) {
	if ms < 0 || ms > maxUnixMillis {
		return 0, fmt.Errorf("%w: %d is no time in Unix milliseconds", ErrRange, ms)
	}
	return ms, nil
}

// Name checks a name, which must not be empty.
func Name(text string) (string, error) {
	if text == "" || len(text) > MaxNameBytes {
		return "", fmt.Errorf("%w: name of %d bytes, 1 to %d are allowed", ErrRange, len(text), MaxNameBytes)
	}
	return text, nil
}

// Address checks an address, host:port, with a port from 1 to 65535.
func Address(text string) (string, error) {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return "", fmt.Errorf("address %q: %w", text, err)
	}
	if _, err := Name(host); err != nil {
		return "", fmt.Errorf("address %q: host: %w", text, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return "", fmt.Errorf("%w: address %q: port %q isn't from 1 to 65535", ErrRange, text, port)
	}
	return text, nil
}
