// Package split finds the members of a JSON object and the elements of a JSON
// array without decoding them, so that one invalid element doesn't hide the
// others.
//
// Invariants: the depth of nesting costs no stack; the parts alias the document;
// a part that is returned isn't necessarily valid JSON.
package split

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrSyntax reports a document whose parts can't be told apart.
var ErrSyntax = errors.New("invalid JSON")

// Object calls member with the name and the undecoded value of each member of
// the object in doc.
func Object(doc []byte, member func(name string, value []byte)) error {
	s := scanner{doc: doc}
	return s.each('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		member(name, value)
		return nil
	})
}

// Array calls element with each undecoded element of the array in doc.
func Array(doc []byte, element func(value []byte)) error {
	s := scanner{doc: doc}
	return s.each('[', ']', func() error {
		value, err := s.value()
		if err != nil {
			return err
		}
		element(value)
		return nil
	})
}

// scanner reads a document from left to right.
type scanner struct {
	doc      []byte
	position int
}

func (s *scanner) errorf(expected string) error {
	return fmt.Errorf("%w: expected %s at byte %d", ErrSyntax, expected, s.position)
}

// each calls part at the beginning of each part between two delimiters, which
// must enclose the whole document.
func (s *scanner) each(begin, end byte, part func() error) error {
	if !s.take(begin) {
		return s.errorf(string(rune(begin)))
	}
	for first := true; !s.take(end); first = false {
		if !first && !s.take(',') {
			return s.errorf("a comma or " + string(rune(end)))
		}
		if err := part(); err != nil {
			return err
		}
	}
	if s.skipSpace(); s.position < len(s.doc) {
		return s.errorf("the end of the document")
	}
	return nil
}

func (s *scanner) skipSpace() {
	for s.position < len(s.doc) && bytes.IndexByte([]byte(" \t\r\n"), s.doc[s.position]) >= 0 {
		s.position++
	}
}

// take skips white space and then c, and reports whether c was there.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if s.position == len(s.doc) || s.doc[s.position] != c {
		return false
	}
	s.position++
	return true
}

// name reads the name of a member and the colon after it.
func (s *scanner) name() (string, error) {
	s.skipSpace()
	begin := s.position
	if s.position == len(s.doc) || s.doc[s.position] != '"' || !s.skipString() {
		return "", s.errorf("a name")
	}
	var name string
	if err := json.Unmarshal(s.doc[begin:s.position], &name); err != nil {
		return "", fmt.Errorf("%w: name at byte %d: %w", ErrSyntax, begin, err)
	}
	if !s.take(':') {
		return "", s.errorf("a colon")
	}
	return name, nil
}

// skipString skips the string at the position and reports whether it ends.
func (s *scanner) skipString() bool {
	for s.position++; s.position < len(s.doc); s.position++ {
		switch s.doc[s.position] {
		case '\\':
			s.position++
		case '"':
			s.position++
			return true
		}
	}
	s.position = len(s.doc)
	return false
}

// value returns the value at the position. It counts brackets without checking
// that they match; a decoder of the value does.
func (s *scanner) value() ([]byte, error) {
	s.skipSpace()
	begin := s.position
	for depth := 0; s.position < len(s.doc); {
		switch s.doc[s.position] {
		case '"':
			if !s.skipString() {
				return nil, s.errorf("the end of a string")
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.part(begin)
			}
			depth--
		case ',':
			if depth == 0 {
				return s.part(begin)
			}
		}
		s.position++
	}
	return nil, s.errorf("the end of a value")
}

func (s *scanner) part(begin int) ([]byte, error) {
	value := bytes.TrimRight(s.doc[begin:s.position], " \t\r\n")
	if len(value) == 0 {
		return nil, s.errorf("a value")
	}
	return value, nil
}
