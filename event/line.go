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

// Keys of a log line that are not fields.
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

// timeFormat keeps all nanoseconds, unlike time.RFC3339Nano, so that lines of
// equal length sort as text.
const timeFormat = "2006-01-02T15:04:05.000000000Z"

// ErrNoEvent reports a line of a log that isn't an event.
var ErrNoEvent = errors.New("line is not an event")

// Output returns an Options.Output that writes logfmt lines to w.
func Output(w io.Writer) func(keyvals ...any) error {
	return log.NewLogfmtLogger(log.NewSyncWriter(w)).Log
}

// Keyvals returns the key and value pairs of a log line.
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

// ParseLine reads a record back from a log line. It returns ErrNoEvent for a
// line without an event code, such as the output of another program.
func ParseLine(line string) (Record, error) {
	var r Record
	seen := 0
	d := logfmt.NewDecoder(strings.NewReader(line))
	if !d.ScanRecord() {
		return Record{}, ErrNoEvent
	}
	for d.ScanKeyval() {
		known, err := r.set(string(d.Key()), string(d.Value()))
		if err != nil {
			return Record{}, err
		}
		if known {
			seen++
		}
	}
	if d.Err() != nil || seen < reservedKeys {
		return Record{}, ErrNoEvent
	}
	return r, nil
}

// reservedKeys is the number of keys that each line has.
const reservedKeys = 8

// set stores one key and value. It reports whether the key is reserved.
func (r *Record) set(key, value string) (reserved bool, err error) {
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
