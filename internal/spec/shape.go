package spec

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// valueKind is the kind of a value in a file.
type valueKind int

const (
	kindString valueKind = iota
	kindBool
	kindInt
	kindFloat
	kindDuration
	kindTime
	kindList
	kindObject
)

// kindPhrases holds the noun phrase for each kind in error messages.
var kindPhrases = map[valueKind]string{
	kindString:   "a string",
	kindBool:     "true or false",
	kindInt:      "a whole number",
	kindFloat:    "a number",
	kindDuration: `a duration with a unit, such as "2s"`,
	kindTime:     `a time in RFC 3339, such as "2026-12-04T10:00:00Z"`,
	kindList:     "a list in [ ]",
	kindObject:   "an object in { }",
}

// shape describes one value of a file: its kind, bounds and default, and the
// shapes of its fields or items.
type shape struct {
	kind     valueKind
	name     string
	doc      string
	optional bool
	preset   string // default as text; empty means the zero value
	min      bound
	max      bound
	enum     []string
	format   *format
	fields   []*shape
	item     *shape
	index    int
}

// bound is a limit of a number, of a duration in nanoseconds or of the length
// of a list. Its text is the one in the struct tag.
type bound struct {
	value float64
	text  string
}

// newShape derives the shape of T from its struct tags. It panics if a tag is
// malformed, which is a bug in this package and not a fault of a file.
func newShape[T any](title string) *shape {
	s := newTypeShape(reflect.TypeFor[T]())
	s.doc = title
	return s
}

func newTypeShape(t reflect.Type) *shape {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return &shape{kind: kindDuration}
	case t == reflect.TypeFor[time.Time]():
		return &shape{kind: kindTime}
	}
	switch t.Kind() {
	case reflect.String:
		return &shape{kind: kindString}
	case reflect.Bool:
		return &shape{kind: kindBool}
	case reflect.Int, reflect.Int32:
		return &shape{kind: kindInt}
	case reflect.Float64:
		return &shape{kind: kindFloat}
	case reflect.Slice:
		return &shape{kind: kindList, item: newTypeShape(t.Elem())}
	case reflect.Struct:
		return newStructShape(t)
	}
	panic(fmt.Sprintf("spec: no shape for type %v", t))
}

func newStructShape(t reflect.Type) *shape {
	s := &shape{kind: kindObject}
	for i := range t.NumField() {
		f := t.Field(i)
		field := newTypeShape(f.Type)
		field.index = i
		field.name = f.Tag.Get("json")
		field.doc = f.Tag.Get("doc")
		field.min = bound{value: math.Inf(-1)}
		field.max = bound{value: math.Inf(1)}
		for rule := range strings.SplitSeq(f.Tag.Get("spec"), ",") {
			field.applyRule(rule)
		}
		s.fields = append(s.fields, field)
	}
	return s
}

// applyRule adds one rule of a struct tag to the shape.
func (s *shape) applyRule(rule string) {
	key, text, _ := strings.Cut(rule, "=")
	switch key {
	case "":
	case "optional":
		s.optional = true
	case "default":
		s.optional = true
		s.preset = text
	case "min":
		s.min = s.parseBound(text)
	case "max":
		s.max = s.parseBound(text)
	case "enum":
		s.enum = strings.Split(text, "|")
	case "form":
		s.formatTarget().format = formatByName(text)
	default:
		panic("spec: unknown rule in a struct tag: " + rule)
	}
}

// formatTarget returns the shape that a format applies to: that of the items for
// a list, else s.
func (s *shape) formatTarget() *shape {
	if s.kind == kindList {
		return s.item
	}
	return s
}

func (s *shape) parseBound(text string) bound {
	if s.kind == kindDuration {
		d, err := time.ParseDuration(text)
		if err != nil {
			panic(err)
		}
		return bound{value: float64(d), text: text}
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return bound{value: v, text: text}
}

// inRange reports whether v is within the bounds.
func (s *shape) inRange(v float64) bool {
	return v >= s.min.value && v <= s.max.value
}

// rangeText returns the bounds in words, for error messages.
func (s *shape) rangeText() string {
	switch {
	case s.min.text == "":
		return "of at most " + s.max.text
	case s.max.text == "":
		return "of at least " + s.min.text
	}
	return "from " + s.min.text + " to " + s.max.text
}

// fieldByName returns the shape of an object's field, or nil if it has no such
// field.
func (s *shape) fieldByName(name string) *shape {
	for _, f := range s.fields {
		if f.name == name {
			return f
		}
	}
	return nil
}

// fieldNames returns the names of an object's fields, for error messages.
func (s *shape) fieldNames() string {
	names := make([]string, len(s.fields))
	for i, f := range s.fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}
