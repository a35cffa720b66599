package spec

import (
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of a file. The formats need 6 levels; the parser
// recurses, so that unbounded nesting could exhaust the stack.
const maxDepth = 32

// decoder fills a struct from a file and collects all faults.
type decoder struct {
	file   string
	body   []byte
	limit  int
	errs   Errors
	places map[string]int  // offset of each value by path
	bad    map[string]bool // paths with a fault
}

// decode fills into, a pointer to a struct. It returns false if the file has
// no readable values at all, so that further checks would be meaningless.
func (d *decoder) decode(s *shape, into any) bool {
	d.places = map[string]int{}
	d.bad = map[string]bool{}
	if !d.readable() {
		return false
	}
	v, err := hujson.Parse(d.body)
	if err != nil {
		d.syntax(err)
		return false
	}
	d.value(s, v, "", reflect.ValueOf(into).Elem())
	_, ok := v.Value.(*hujson.Object)
	return ok
}

// readable checks size, encoding and nesting before the file is parsed.
func (d *decoder) readable() bool {
	if len(d.body) > d.limit {
		d.failAt(0, "", fmt.Sprintf("write at most %d bytes instead of %d", d.limit, len(d.body)))
		return false
	}
	if !utf8.Valid(d.body) {
		d.failAt(invalidOffset(d.body), "", "write the file in UTF-8")
		return false
	}
	if at := tooDeep(d.body); at >= 0 {
		d.failAt(at, "", fmt.Sprintf("write at most %d levels of brackets", maxDepth))
		return false
	}
	return true
}

func (d *decoder) err() error {
	if len(d.errs) == 0 {
		return nil
	}
	d.errs.sort()
	return d.errs
}

// fail adds a fault at the value of path.
func (d *decoder) fail(path, text string) {
	d.failAt(d.places[path], path, text)
}

func (d *decoder) failAt(offset int, path, text string) {
	line, column := position(d.body, offset)
	d.bad[path] = true
	d.errs = append(d.errs, Error{File: d.file, Line: line, Column: column, Path: path, Text: text})
}

// syntax turns an error of the JSON parser into a fault.
func (d *decoder) syntax(err error) {
	var line, column int
	_, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column)
	if scanErr != nil {
		line, column = 1, 1
	}
	inner := errors.Unwrap(err)
	if inner == nil {
		inner = err
	}
	text := "correct the JSON syntax: " + inner.Error()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		text = "complete the file, which ends inside a value or comment"
	case strings.Contains(inner.Error(), "after top-level value"):
		text = "remove everything after the closing bracket of the first value"
	}
	d.failAt(offsetOf(d.body, line, column), "", text)
}

func (d *decoder) value(s *shape, v hujson.Value, path string, into reflect.Value) {
	d.places[path] = v.StartOffset
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	switch t := v.Value.(type) {
	case *hujson.Object:
		if s.kind == kindObject {
			d.object(s, t, path, into)
			return
		}
	case *hujson.Array:
		if s.kind == kindList {
			d.list(s, t, path, into)
			return
		}
	case hujson.Literal:
		if text := s.set(into, t); text != "" {
			d.fail(path, text)
		}
		return
	}
	d.fail(path, "write "+want[s.kind])
}

func (d *decoder) object(s *shape, o *hujson.Object, path string, into reflect.Value) {
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		inner := join(path, name)
		f := s.field(name)
		if f == nil {
			d.failAt(m.Name.StartOffset, inner, "remove this unknown field or write one of: "+s.names())
			continue
		}
		if seen[name] {
			d.failAt(m.Name.StartOffset, inner, "write this field only once")
			continue
		}
		seen[name] = true
		d.value(f, m.Value, inner, into.Field(f.index))
	}
	for _, f := range s.fields {
		if seen[f.name] {
			continue
		}
		if !f.optional {
			d.failAt(d.places[path], join(path, f.name), "add this field with "+want[f.kind])
			continue
		}
		f.fill(into.Field(f.index))
	}
}

func (d *decoder) list(s *shape, a *hujson.Array, path string, into reflect.Value) {
	n := len(a.Elements)
	if !s.holds(float64(n)) {
		d.fail(path, fmt.Sprintf("write a number of entries %s instead of %d", s.span(), n))
		if float64(n) > s.high.value {
			return
		}
	}
	into.Set(reflect.MakeSlice(into.Type(), n, n))
	for i, e := range a.Elements {
		d.value(s.item, e, at(path, i), into.Index(i))
	}
}

// fill sets the default of a field that the file leaves out.
func (s *shape) fill(into reflect.Value) {
	if s.kind == kindObject {
		for _, f := range s.fields {
			f.fill(into.Field(f.index))
		}
		return
	}
	if s.preset == "" {
		return
	}
	raw := hujson.Literal(s.preset)
	if s.kind == kindString || s.kind == kindDuration || s.kind == kindTime {
		raw = hujson.String(s.preset)
	}
	if text := s.set(into, raw); text != "" {
		panic("spec: default of " + s.name + ": " + text)
	}
}

// set stores a literal. It returns what to write instead if the literal does
// not fit the shape, else an empty text.
func (s *shape) set(into reflect.Value, raw hujson.Literal) string {
	switch s.kind {
	case kindBool:
		if raw.Kind() != 't' && raw.Kind() != 'f' {
			return "write " + want[s.kind]
		}
		into.SetBool(raw.Bool())
		return ""
	case kindInt, kindFloat:
		return s.setNumber(into, raw)
	case kindString, kindDuration, kindTime:
		if raw.Kind() == '"' {
			return s.setText(into, raw.String())
		}
	}
	return "write " + want[s.kind]
}

func (s *shape) setNumber(into reflect.Value, raw hujson.Literal) string {
	if raw.Kind() != '0' {
		return "write " + want[s.kind]
	}
	v, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || math.IsInf(v, 0) || !s.holds(v) {
		return "write " + want[s.kind] + " " + s.span()
	}
	if s.kind == kindFloat {
		into.SetFloat(v)
		return ""
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil || into.OverflowInt(n) {
		return "write " + want[s.kind] + " without fraction or exponent"
	}
	into.SetInt(n)
	return ""
}

func (s *shape) setText(into reflect.Value, text string) string {
	switch s.kind {
	case kindDuration:
		v, err := time.ParseDuration(text)
		if err != nil {
			return "write " + want[s.kind] + " (units: ns, us, ms, s, m, h)"
		}
		if !s.holds(float64(v)) {
			return "write a duration " + s.span()
		}
		into.SetInt(int64(v))
		return ""
	case kindTime:
		v, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return "write " + want[s.kind]
		}
		into.Set(reflect.ValueOf(v.UTC()))
		return ""
	}
	if len(s.enum) > 0 && !s.listed(text) {
		return "write one of: " + strings.Join(s.enum, ", ")
	}
	if s.form != nil && !s.form.valid(text) {
		return "write " + s.form.hint
	}
	into.SetString(text)
	return ""
}

func (s *shape) listed(text string) bool {
	for _, e := range s.enum {
		if e == text {
			return true
		}
	}
	return false
}
