package event

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-logfmt/logfmt"

	"github.com/cicadahall/cicadahall/ident"
)

// Reserved keys of a log line; all other keys are event fields.
const (
	keyTime     = "time"
	keyLogical  = "logical"
	keyNode     = "node"
	keyStart    = "start"
	keySequence = "seq"
	keyLevel    = "level"
	keyCode     = "code"
	keyName     = "event"
)

// timeFormat is RFC 3339 with nine fractional digits. time.RFC3339Nano drops
// trailing zeros, and its timestamps don't sort as text.
const timeFormat = "2006-01-02T15:04:05.000000000Z"

// ErrNoEvent is returned for a log line that isn't an event.
var ErrNoEvent = errors.New("line is not an event")

// Output returns a value for Options.Output that writes logfmt lines to w.
func Output(w io.Writer) func(keyvals ...any) error {
	return log.NewLogfmtLogger(log.NewSyncWriter(w)).Log
}

// Keyvals returns the log line of the record as alternating keys and values.
func (r Record) Keyvals() []any {
	k, _ := Lookup(r.Code)
	kv := []any{
		keyTime, r.Time.Physical().Format(timeFormat),
		keyLogical, r.Time.Logical,
		keyNode, string(r.Node),
		keyStart, formatStart(r.Start),
		keySequence, r.Sequence,
		keyLevel, k.Level.String(),
		keyCode, uint32(r.Code),
		keyName, r.Code.String(),
	}
	for _, f := range r.Fields {
		kv = append(kv, string(f.Name), f.Value)
	}
	return kv
}

// ParseLine parses a log line written by Output. It returns an error that wraps
// ErrNoEvent if a reserved key is missing or malformed, as in the output of
// another program.
func ParseLine(line string) (Record, error) {
	var r Record
	reservedSeen := 0
	d := logfmt.NewDecoder(strings.NewReader(line))
	if !d.ScanRecord() {
		return Record{}, ErrNoEvent
	}
	for d.ScanKeyval() {
		reserved, err := r.setKey(string(d.Key()), string(d.Value()))
		if err != nil {
			return Record{}, err
		}
		if reserved {
			reservedSeen++
		}
	}
	if d.Err() != nil || reservedSeen < reservedKeyCount {
		return Record{}, ErrNoEvent
	}
	return r, nil
}

// reservedKeyCount is the number of reserved keys, which every line has.
const reservedKeyCount = 8

// setKey stores one key-value pair and reports whether the key is reserved.
func (r *Record) setKey(key, value string) (reserved bool, err error) {
	switch key {
	case keyTime:
		var t time.Time
		t, err = time.Parse(timeFormat, value)
		r.Time.Wall = t.UnixNano()
	case keyLogical:
		var v uint64
		v, err = strconv.ParseUint(value, 10, 32)
		r.Time.Logical = uint32(v)
	case keyNode:
		r.Node = ident.Node(value)
	case keyStart:
		r.Start, err = parseStart(value)
	case keySequence:
		r.Sequence, err = strconv.ParseUint(value, 10, 64)
	case keyCode:
		var v uint64
		v, err = strconv.ParseUint(value, 10, 32)
		r.Code = Code(v)
	case keyLevel, keyName:
	default:
		r.Fields = append(r.Fields, Field{Name: Name(key), Value: value})
		return false, nil
	}
	if err != nil {
		return true, fmt.Errorf("%w: %s: %w", ErrNoEvent, key, err)
	}
	return true, nil
}
