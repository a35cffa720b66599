package event

import "encoding/json"

// recordJSON is the JSON form of a record, with the keys of a log line.
type recordJSON struct {
	Time     string  `json:"time"`
	Logical  uint32  `json:"logical"`
	Node     string  `json:"node"`
	Start    string  `json:"start"`
	Sequence uint64  `json:"seq"`
	Level    string  `json:"level"`
	Code     uint32  `json:"code"`
	Name     string  `json:"event"`
	Fields   []Field `json:"fields"`
}

// MarshalJSON returns the record as a JSON object with the keys of a log line.
// The start id is a hexadecimal string, because many JSON parsers keep only 53
// bits of a number.
func (r Record) MarshalJSON() ([]byte, error) {
	k, _ := Lookup(r.Code)
	j := recordJSON{
		Time:     r.Time.Physical().Format(timeFormat),
		Logical:  r.Time.Logical,
		Node:     string(r.Node),
		Start:    formatStart(r.Start),
		Sequence: r.Sequence,
		Level:    k.Level.String(),
		Code:     uint32(r.Code),
		Name:     r.Code.String(),
		Fields:   r.Fields,
	}
	if j.Fields == nil {
		j.Fields = []Field{}
	}
	return json.Marshal(j)
}
