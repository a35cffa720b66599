package gather

import (
	"bufio"
	"errors"
	"io"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// ToWire converts a record to its wire form.
func ToWire(r event.Record) *wirepb.Event {
	e := &wirepb.Event{
		PhysicalNanos: r.Time.Wall,
		Logical:       r.Time.Logical,
		Node:          string(r.Node),
		Start:         uint64(r.Start),
		Sequence:      r.Sequence,
		Code:          uint32(r.Code),
	}
	for _, f := range r.Fields {
		e.Fields = append(e.Fields, &wirepb.Field{Name: string(f.Name), Value: f.Value})
	}
	return e
}

// FromWire converts an event in wire form to a record.
func FromWire(e *wirepb.Event) event.Record {
	r := event.Record{
		Time:     event.Time{Wall: e.GetPhysicalNanos(), Logical: e.GetLogical()},
		Node:     ident.Node(e.GetNode()),
		Start:    ident.Start(e.GetStart()),
		Sequence: e.GetSequence(),
		Code:     event.Code(e.GetCode()),
	}
	for _, f := range e.GetFields() {
		r.Fields = append(r.Fields, event.Field{Name: event.Name(f.GetName()), Value: f.GetValue()})
	}
	return r
}

// EventsPage returns the response to an Events request, with records of the log
// in order of their sequence numbers. It has at most as many records as the
// request allows and never more than pageSize.
func EventsPage(l *event.Log, q *wirepb.EventsRequest) *wirepb.EventsResponse {
	records, lost := l.Since(q.GetSince())
	limit := int(q.GetMost())
	if limit <= 0 || limit > pageSize {
		limit = pageSize
	}
	r := &wirepb.EventsResponse{Lost: lost}
	for _, e := range records[:min(limit, len(records))] {
		r.Events = append(r.Events, ToWire(e))
	}
	return r
}

// maxLineBytes is the maximum length of a line in a log file.
const maxLineBytes = 1 << 20

// ReadLog reads the events of a log file. The result other is the number of lines
// that are not events, such as the output of another program in the same file.
func ReadLog(r io.Reader) (records []event.Record, other int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		e, err := event.ParseLine(s.Text())
		if errors.Is(err, event.ErrNoEvent) {
			other++
			continue
		}
		records = append(records, e)
	}
	return records, other, s.Err()
}
