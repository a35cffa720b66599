package work

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// formatVersion is the version of the JSON encoding of snapshots and reports.
	formatVersion = 1
	// RowPrefix is the key prefix of work rows in the table service.
	RowPrefix = "work/"
	// maxRows and maxNameBytes bound what is accepted from other nodes.
	maxRows      = 4096
	maxNameBytes = 256
	// rowFieldCount is the number of fields of an encoded row.
	rowFieldCount = 10
)

// ErrInvalidSnapshot reports an encoded snapshot that is malformed, exceeds a
// bound or has another format version.
var ErrInvalidSnapshot = errors.New("work snapshot is malformed or of an unknown format")

// Row holds the counts of one key.
type Row struct {
	Key    Key
	Counts Counts
}

// Snapshot holds the cumulative counts of one node start.
type Snapshot struct {
	Node     ident.Node
	Start    ident.Start
	Sequence uint64
	// StartedAt is the time of the node's start, TakenAt the time of the
	// snapshot.
	StartedAt, TakenAt time.Time
	// Final is set on the last snapshot of a planned shutdown.
	Final bool
	// Rows are sorted by key.
	Rows []Row
}

// snapshotJSON is the JSON form of a snapshot. Rows are arrays to save space: a
// node sends two snapshots per second within a control budget of 5 KB/s.
type snapshotJSON struct {
	Format   int         `json:"format"`
	Node     ident.Node  `json:"node"`
	Start    ident.Start `json:"start"`
	Sequence uint64      `json:"sequence"`
	From     time.Time   `json:"from"`
	At       time.Time   `json:"at"`
	Final    bool        `json:"final"`
	Rows     []rowArray  `json:"rows"`
}

type rowArray Row

// MarshalJSON encodes the fields of the row as an array.
func (r rowArray) MarshalJSON() ([]byte, error) {
	return json.Marshal([rowFieldCount]any{
		r.Key.Service, r.Key.Version, r.Key.Route, r.Key.Caller,
		r.Counts.Ran, r.Counts.Failed, r.Counts.Unknown, r.Counts.Refused,
		int64(r.Counts.Busy), r.Counts.Bytes,
	})
}

// UnmarshalJSON decodes the array form and checks its bounds.
func (r *rowArray) UnmarshalJSON(b []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return err
	}
	targets := [rowFieldCount]any{
		&r.Key.Service, &r.Key.Version, &r.Key.Route, &r.Key.Caller,
		&r.Counts.Ran, &r.Counts.Failed, &r.Counts.Unknown, &r.Counts.Refused,
		&r.Counts.Busy, &r.Counts.Bytes,
	}
	if len(fields) != rowFieldCount {
		return ErrInvalidSnapshot
	}
	for i, f := range fields {
		if err := json.Unmarshal(f, targets[i]); err != nil {
			return err
		}
	}
	k := r.Key
	if r.Counts.Busy < 0 || max(len(k.Service), len(k.Version), len(k.Route), len(k.Caller)) > maxNameBytes {
		return ErrInvalidSnapshot
	}
	return nil
}

// Encode returns the snapshot as JSON with the format version.
func (s Snapshot) Encode() []byte {
	e := snapshotJSON{
		Format: formatVersion, Node: s.Node, Start: s.Start, Sequence: s.Sequence,
		From: s.StartedAt, At: s.TakenAt, Final: s.Final, Rows: make([]rowArray, len(s.Rows)),
	}
	for i, r := range s.Rows {
		e.Rows[i] = rowArray(r)
	}
	// Strings, numbers and times of the years 0 to 9999 always encode.
	b, _ := json.Marshal(e)
	return b
}

// Decode decodes a snapshot. Its errors wrap ErrInvalidSnapshot.
func Decode(b []byte) (Snapshot, error) {
	var e snapshotJSON
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&e); err != nil {
		return Snapshot{}, oops.In("work").Wrapf(errors.Join(ErrInvalidSnapshot, err), "decode snapshot")
	}
	if d.More() || e.Format != formatVersion || e.Node == "" || e.Start == 0 || e.Sequence == 0 || len(e.Rows) > maxRows {
		return Snapshot{}, oops.In("work").With("node", e.Node).Wrapf(ErrInvalidSnapshot, "decode snapshot of format %d", e.Format)
	}
	s := Snapshot{
		Node: e.Node, Start: e.Start, Sequence: e.Sequence,
		StartedAt: e.From, TakenAt: e.At, Final: e.Final, Rows: make([]Row, len(e.Rows)),
	}
	for i, r := range e.Rows {
		s.Rows[i] = Row(r)
	}
	sortRows(s.Rows)
	for i := 1; i < len(s.Rows); i++ {
		if s.Rows[i-1].Key == s.Rows[i].Key {
			return Snapshot{}, oops.In("work").With("node", e.Node).Wrapf(ErrInvalidSnapshot, "decode snapshot with a repeated key")
		}
	}
	return s, nil
}

// RowKey returns the key of the snapshot's row in the table service.
func (s Snapshot) RowKey() string {
	return RowPrefix + url.PathEscape(string(s.Node)) + "/" + strconv.FormatUint(uint64(s.Start), 10)
}

// later reports whether s replaces o, a snapshot of the same node start. With
// equal sequence numbers the choice is arbitrary, but it doesn't depend on the
// order of the two.
func (s Snapshot) later(o Snapshot) bool {
	if s.Sequence != o.Sequence {
		return s.Sequence > o.Sequence
	}
	return bytes.Compare(s.Encode(), o.Encode()) > 0
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Caller, b.Caller),
	)
}
