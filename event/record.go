package event

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cicadahall/cicadahall/ident"
)

// Field is one named value of a record.
type Field struct {
	Name  Name   `json:"name"`
	Value string `json:"value"`
}

// NewField returns a field whose value is formatted as by fmt.Sprint.
func NewField(name Name, value any) Field {
	return Field{Name: name, Value: fmt.Sprint(value)}
}

// Record is one event of one node.
type Record struct {
	Time     Time
	Node     ident.Node
	Start    ident.Start
	Sequence uint64 // starts at 1 and has no gaps within one start
	Code     Code
	Fields   []Field
}

// Value returns the value of a field, or an empty string if the record lacks it.
func (r Record) Value(name Name) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Check returns an error if the catalogue lacks the record's code or lacks one of
// its fields for that code. Tests of packages that emit events call it.
func (r Record) Check() error {
	k, ok := Lookup(r.Code)
	if !ok {
		return fmt.Errorf("event code %d is not in the catalogue", r.Code)
	}
	for _, f := range r.Fields {
		if !slices.Contains(k.Fields, f.Name) {
			return fmt.Errorf("event %s has no field %q in the catalogue", k.Name, f.Name)
		}
	}
	return nil
}

// compare orders records by timestamp. Node, start and sequence number break
// ties, so that the result of Merge doesn't depend on the order of its input.
func (r Record) compare(s Record) int {
	return cmp.Or(
		cmp.Compare(r.Time.Wall, s.Time.Wall),
		cmp.Compare(r.Time.Logical, s.Time.Logical),
		cmp.Compare(r.Node, s.Node),
		cmp.Compare(r.Start, s.Start),
		cmp.Compare(r.Sequence, s.Sequence),
	)
}

// Merge returns the records of all lists in the order of their timestamps. A
// record that occurs more than once, as in a log file and a ring, is kept once.
func Merge(lists ...[]Record) []Record {
	all := slices.Concat(lists...)
	slices.SortFunc(all, Record.compare)
	return slices.CompactFunc(all, func(a, b Record) bool { return a.compare(b) == 0 })
}

// formatStart returns a start id as 16 hexadecimal digits, its form in all logs.
func formatStart(s ident.Start) string {
	return fmt.Sprintf("%016x", uint64(s))
}

func parseStart(text string) (ident.Start, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	return ident.Start(v), err
}
