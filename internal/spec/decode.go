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

// maxDepth limits the nesting of a file. The formats need 6 levels. The parser is
// recursive, so unlimited nesting could exhaust the stack.
const maxDepth = 32

// decoder decodes a file into a struct and collects all faults.
type decoder struct {
	file     string
	body     []byte
	maxBytes int
	faults   Errors
	offsets  map[string]int  // offset of each value by path
	faulty   map[string]bool // paths with a fault
}

// decode decodes the file into a struct, to which into points. It reports whether
// the file is an object; otherwise there are no values for further checks.
func (d *decoder) decode(s *shape, into any) bool {
	d.offsets = map[string]int{}
	d.faulty = map[string]bool{}
	if !d.checkInput() {
		return false
	}
	v, err := hujson.Parse(d.body)
	if err != nil {
		d.addSyntaxFault(err)
		return false
	}
	d.decodeValue(s, v, "", reflect.ValueOf(into).Elem())
	_, ok := v.Value.(*hujson.Object)
	return ok
}

// checkInput checks the size, encoding and nesting of the file before it is
// parsed, and reports whether it can be parsed.
func (d *decoder) checkInput() bool {
	if len(d.body) > d.maxBytes {
		d.addFaultAt(0, "", fmt.Sprintf("write at most %d bytes instead of %d", d.maxBytes, len(d.body)))
		return false
	}
	if !utf8.Valid(d.body) {
		d.addFaultAt(invalidOffset(d.body), "", "write the file in UTF-8")
		return false
	}
	if offset := excessDepthOffset(d.body); offset >= 0 {
		d.addFaultAt(offset, "", fmt.Sprintf("write at most %d levels of brackets", maxDepth))
		return false
	}
	return true
}

func (d *decoder) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	d.faults.sort()
	return d.faults
}

// addFault adds a fault at the position of the value with the given path.
func (d *decoder) addFault(path, text string) {
	d.addFaultAt(d.offsets[path], path, text)
}

func (d *decoder) addFaultAt(offset int, path, text string) {
	line, column := position(d.body, offset)
	d.faulty[path] = true
	d.faults = append(d.faults, Error{File: d.file, Line: line, Column: column, Path: path, Text: text})
}

// addSyntaxFault converts an error of the JSON parser to a fault.
func (d *decoder) addSyntaxFault(err error) {
	var line, column int
	_, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column)
	if scanErr != nil {
		line, column = 1, 1
	}
	cause := errors.Unwrap(err)
	if cause == nil {
		cause = err
	}
	text := "correct the JSON syntax: " + cause.Error()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		text = "complete the file, which ends within a value or comment"
	case strings.Contains(cause.Error(), "after top-level value"):
		text = "remove everything after the closing bracket of the first value"
	}
	d.addFaultAt(offsetOf(d.body, line, column), "", text)
}

func (d *decoder) decodeValue(s *shape, v hujson.Value, path string, into reflect.Value) {
	d.offsets[path] = v.StartOffset
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	switch t := v.Value.(type) {
	case *hujson.Object:
		if s.kind == kindObject {
			d.decodeObject(s, t, path, into)
			return
		}
	case *hujson.Array:
		if s.kind == kindList {
			d.decodeList(s, t, path, into)
			return
		}
	case hujson.Literal:
		if text := s.setLiteral(into, t); text != "" {
			d.addFault(path, text)
		}
		return
	}
	d.addFault(path, "write "+kindPhrases[s.kind])
}

func (d *decoder) decodeObject(s *shape, o *hujson.Object, path string, into reflect.Value) {
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := joinPath(path, name)
		f := s.fieldByName(name)
		if f == nil {
			d.addFaultAt(m.Name.StartOffset, fieldPath, "remove this unknown field or write one of: "+s.fieldNames())
			continue
		}
		if seen[name] {
			d.addFaultAt(m.Name.StartOffset, fieldPath, "write this field only once")
			continue
		}
		seen[name] = true
		d.decodeValue(f, m.Value, fieldPath, into.Field(f.index))
	}
	for _, f := range s.fields {
		if seen[f.name] {
			continue
		}
		if !f.optional {
			d.addFaultAt(d.offsets[path], joinPath(path, f.name), "add this field with "+kindPhrases[f.kind])
			continue
		}
		f.setDefault(into.Field(f.index))
	}
}

func (d *decoder) decodeList(s *shape, a *hujson.Array, path string, into reflect.Value) {
	n := len(a.Elements)
	if !s.inRange(float64(n)) {
		d.addFault(path, fmt.Sprintf("write a number of entries %s instead of %d", s.rangeText(), n))
		if float64(n) > s.max.value {
			return
		}
	}
	into.Set(reflect.MakeSlice(into.Type(), n, n))
	for i, e := range a.Elements {
		d.decodeValue(s.item, e, indexPath(path, i), into.Index(i))
	}
}

// setDefault sets the default of a field that the file omits.
func (s *shape) setDefault(into reflect.Value) {
	if into.Kind() == reflect.Pointer {
		return // nil means that the file omits the field
	}
	if s.kind == kindObject {
		for _, f := range s.fields {
			f.setDefault(into.Field(f.index))
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
	if text := s.setLiteral(into, raw); text != "" {
		panic("spec: invalid default of " + s.name + ": " + text)
	}
}

// setLiteral stores a literal. If the literal doesn't match the shape, it returns
// the text of the fault, else an empty string.
func (s *shape) setLiteral(into reflect.Value, raw hujson.Literal) string {
	switch s.kind {
	case kindBool:
		if raw.Kind() != 't' && raw.Kind() != 'f' {
			return "write " + kindPhrases[s.kind]
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
	return "write " + kindPhrases[s.kind]
}

func (s *shape) setNumber(into reflect.Value, raw hujson.Literal) string {
	if raw.Kind() != '0' {
		return "write " + kindPhrases[s.kind]
	}
	v, err := strconv.ParseFloat(string(raw), 64)
	if err != nil || math.IsInf(v, 0) || !s.inRange(v) {
		return "write " + kindPhrases[s.kind] + " " + s.rangeText()
	}
	if s.kind == kindFloat {
		into.SetFloat(v)
		return ""
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil || into.OverflowInt(n) {
		return "write " + kindPhrases[s.kind] + " without fraction or exponent"
	}
	into.SetInt(n)
	return ""
}

func (s *shape) setText(into reflect.Value, text string) string {
	switch s.kind {
	case kindDuration:
		v, err := time.ParseDuration(text)
		if err != nil {
			return "write " + kindPhrases[s.kind] + " (units: ns, us, ms, s, m, h)"
		}
		if !s.inRange(float64(v)) {
			return "write a duration " + s.rangeText()
		}
		into.SetInt(int64(v))
		return ""
	case kindTime:
		v, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return "write " + kindPhrases[s.kind]
		}
		into.Set(reflect.ValueOf(v.UTC()))
		return ""
	}
	if len(s.enum) > 0 && !s.inEnum(text) {
		return "write one of: " + strings.Join(s.enum, ", ")
	}
	if s.format != nil && !s.format.valid(text) {
		return "write " + s.format.hint
	}
	into.SetString(text)
	return ""
}

func (s *shape) inEnum(text string) bool {
	for _, e := range s.enum {
		if e == text {
			return true
		}
	}
	return false
}
