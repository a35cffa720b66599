package event

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"
)

//go:embed page.gohtml
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// pageData is the input of the template. Its JSON form is embedded in the page.
type pageData struct {
	Notes []string   `json:"-"`
	Count int        `json:"-"`
	First string     `json:"first"`
	Begin float64    `json:"begin"` // milliseconds since 1970, UTC
	Nodes []string   `json:"nodes"`
	Marks []pageMark `json:"marks"`
}

// pageMark is one event on the page. Start is a string, because a JavaScript
// number holds only 53 bits.
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

// WriteHTML writes the records as one HTML page with a lane for each node. The
// page loads no other resource, so that it can be archived with an incident
// report. Notes state what the timeline lacks, as in WriteText.
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
	return pageTemplate.Execute(w, d)
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
