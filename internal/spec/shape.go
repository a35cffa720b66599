package spec

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// kind is the type of a value in a file.
type kind int

const (
	kindString kind = iota
	kindBool
	kindInt
	kindFloat
	kindDuration
	kindTime
	kindList
	kindObject
)

// want is the noun phrase that errors use for a kind.
var want = map[kind]string{
	kindString:   "a string",
	kindBool:     "true or false",
	kindInt:      "a whole number",
	kindFloat:    "a number",
	kindDuration: `a duration with a unit, such as "2s"`,
	kindTime:     `a time in RFC 3339, such as "2026-12-04T10:00:00Z"`,
	kindList:     "a list in [ ]",
	kindObject:   "an object in { }",
}

// shape describes one value of a file: its kind, bounds, default and parts.
type shape struct {
	kind     kind
	name     string
	doc      string
	optional bool
	preset   string // text of the default; empty means the zero value
	low      bound
	high     bound
	enum     []string
	form     *form
	fields   []*shape
	item     *shape
	index    int
}

// bound is a limit of a number, of a duration in nanoseconds or of the length
// of a list. Its text is what the tag says.
type bound struct {
	value float64
	text  string
}

// describe derives the shape of T from its struct tags. It panics at a tag
// that it can't read, which is a fault of this package and not of a file.
func describe[T any](title string) *shape {
	s := shapeOf(reflect.TypeFor[T]())
	s.doc = title
	return s
}

func shapeOf(t reflect.Type) *shape {
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
		return &shape{kind: kindList, item: shapeOf(t.Elem())}
	case reflect.Struct:
		return structShape(t)
	}
	panic(fmt.Sprintf("spec: no shape for type %v", t))
}

func structShape(t reflect.Type) *shape {
	s := &shape{kind: kindObject}
	for i := range t.NumField() {
		f := t.Field(i)
		part := shapeOf(f.Type)
		part.index = i
		part.name = f.Tag.Get("json")
		part.doc = f.Tag.Get("doc")
		part.low = bound{value: math.Inf(-1)}
		part.high = bound{value: math.Inf(1)}
		for rule := range strings.SplitSeq(f.Tag.Get("spec"), ",") {
			part.apply(rule)
		}
		s.fields = append(s.fields, part)
	}
	return s
}

// apply adds one rule of a tag to the shape.
func (s *shape) apply(rule string) {
	key, text, _ := strings.Cut(rule, "=")
	switch key {
	case "":
	case "optional":
		s.optional = true
	case "default":
		s.optional = true
		s.preset = text
	case "min":
		s.low = s.bound(text)
	case "max":
		s.high = s.bound(text)
	case "enum":
		s.enum = strings.Split(text, "|")
	case "form":
		s.leaf().form = formOf(text)
	default:
		panic("spec: unknown rule " + rule)
	}
}

// leaf is the shape that a form applies to: the items of a list, else itself.
func (s *shape) leaf() *shape {
	if s.kind == kindList {
		return s.item
	}
	return s
}

func (s *shape) bound(text string) bound {
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

// holds reports whether v is within the bounds.
func (s *shape) holds(v float64) bool {
	return v >= s.low.value && v <= s.high.value
}

// span says the bounds in words, for errors.
func (s *shape) span() string {
	switch {
	case s.low.text == "":
		return "of at most " + s.high.text
	case s.high.text == "":
		return "of at least " + s.low.text
	}
	return "from " + s.low.text + " to " + s.high.text
}

// field finds a part of an object by its name.
func (s *shape) field(name string) *shape {
	for _, f := range s.fields {
		if f.name == name {
			return f
		}
	}
	return nil
}

// names lists the parts of an object, for errors.
func (s *shape) names() string {
	names := make([]string, len(s.fields))
	for i, f := range s.fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}
