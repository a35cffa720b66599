package spec

import (
	"fmt"
	"sort"
	"strings"
)

// Error is one fault of a file. Line and Column start at 1; columns count
// characters. Path locates the value, as in "services[0].timeout", and is empty
// if the file as a whole is at fault. Text states how to correct the fault.
type Error struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Text   string `json:"text"`
}

// Error returns the fault as file:line:column: path: text, a form that editors
// can jump to.
func (e Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Path, e.Text)
}

// Errors holds all faults of a file in the order of their positions.
type Errors []Error

// Error returns one line for each fault.
func (l Errors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

func (l Errors) sort() {
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].Line != l[j].Line {
			return l[i].Line < l[j].Line
		}
		return l[i].Column < l[j].Column
	})
}
