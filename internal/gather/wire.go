package gather

import (
	"bufio"
	"errors"
	"io"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// ToWire converts a record to its message.
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

// FromWire converts a message to its record.
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

// Page answers an Events call from a log. It returns at most as many records
// as the request allows, the oldest first.
func Page(l *event.Log, q *wirepb.EventsRequest) *wirepb.EventsResponse {
	records, lost := l.Since(q.GetSince())
	most := int(q.GetMost())
	if most <= 0 || most > pageSize {
		most = pageSize
	}
	r := &wirepb.EventsResponse{Lost: lost}
	for _, e := range records[:min(most, len(records))] {
		r.Events = append(r.Events, ToWire(e))
	}
	return r
}

// maxLine is the longest line of a log file in bytes.
const maxLine = 1 << 20

// ReadLog reads the events of a log file. Other counts the lines that are not
// events, such as the output of another program in the same file.
func ReadLog(r io.Reader) (records []event.Record, other int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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
