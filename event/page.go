package event

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"
)

//go:embed page.gohtml
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// pageData is what the template gets. Its JSON form is embedded in the page.
type pageData struct {
	Notes []string   `json:"-"`
	Count int        `json:"-"`
	First string     `json:"first"`
	Begin float64    `json:"begin"` // milliseconds since 1970, UTC
	Nodes []string   `json:"nodes"`
	Marks []pageMark `json:"marks"`
}

// pageMark is one event. Numbers that exceed the 53 bits of a script's number
// are texts.
type pageMark struct {
	Offset float64     `json:"at"` // milliseconds since Begin
	Stamp  string      `json:"stamp"`
	Lane   int         `json:"lane"`
	Start  string      `json:"start"`
	Level  string      `json:"level"`
	Code   Code        `json:"code"`
	Name   string      `json:"name"`
	Text   string      `json:"text"`
	Fields []pageField `json:"fields"`
}

type pageField struct {
	Name  Name   `json:"n"`
	Value string `json:"v"`
}

// WriteHTML writes one self-contained page with a lane for each node. It loads
// nothing from outside, so that it can be kept with an incident report.
func WriteHTML(w io.Writer, records []Record, notes ...string) error {
	records = Merge(records)
	d := pageData{Notes: notes, Count: len(records), Nodes: []string{}, Marks: []pageMark{}}
	for _, r := range records {
		d.Nodes = append(d.Nodes, string(r.Node))
	}
	slices.Sort(d.Nodes)
	d.Nodes = slices.Compact(d.Nodes)
	if len(records) > 0 {
		begin := records[0].Time
		d.First = begin.Physical().Format(timeFormat)
		d.Begin = float64(begin.Wall / int64(time.Millisecond))
	}
	for _, r := range records {
		d.Marks = append(d.Marks, d.mark(r))
	}
	return page.Execute(w, d)
}

func (d pageData) mark(r Record) pageMark {
	k, _ := Lookup(r.Code)
	lane, _ := slices.BinarySearch(d.Nodes, string(r.Node))
	nanos := r.Time.Wall - int64(d.Begin)*int64(time.Millisecond)
	m := pageMark{
		Offset: float64(nanos) / float64(time.Millisecond),
		Stamp:  r.Time.Physical().Format(timeFormat),
		Lane:   lane,
		Start:  formatStart(r.Start),
		Level:  k.Level.String(),
		Code:   r.Code,
		Name:   r.Code.String(),
		Text:   k.Text,
		Fields: make([]pageField, len(r.Fields)),
	}
	for i, f := range r.Fields {
		m.Fields[i] = pageField(f)
	}
	return m
}
