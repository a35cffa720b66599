// Package access maps the keys of callers to workspaces.
//
// A Table holds the keys of one configuration. Invariants: it is immutable and
// stores digests only; the time of a look-up depends on the number of keys, not
// on the key that is looked up; a key belongs to at most one workspace.
package access

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cicadahall/cicadahall/ident"
)

// Workspace is a workspace with the keys of its callers.
type Workspace struct {
	Name ident.Workspace
	Keys []Key
	// Priority replaces the priority of the route; nil keeps the latter.
	Priority *int
}

// Grant is what a caller gets by its key. The zero Grant is that of a caller
// without a workspace.
type Grant struct {
	Workspace ident.Workspace
	priority  *int
}

// Priority returns the priority of a request on a route.
func (g Grant) Priority(route int) int {
	if g.priority == nil {
		return route
	}
	return *g.priority
}

// Table is the table of keys of one configuration. A nil Table means that the
// configuration has no workspaces.
type Table struct {
	names []ident.Workspace
	// keys and grants have the same order.
	keys   []Key
	grants []Grant
	// formerKeys and formerNames are those that an earlier configuration had,
	// the latest ones first.
	formerKeys  []Key
	formerNames []ident.Workspace
}

// ErrInvalidWorkspace reports an invalid list of workspaces. Its text never
// contains a key.
var ErrInvalidWorkspace = errors.New("invalid workspace")

// New builds a table; it is nil if there are no workspaces. It returns an error
// that wraps ErrInvalidWorkspace if a name is empty, listed twice or not usable
// as the value of a header, if a priority is out of range, if a key is empty or
// if two workspaces have the same key.
func New(workspaces []Workspace) (*Table, error) {
	if len(workspaces) == 0 {
		return nil, nil
	}
	t := &Table{}
	owners := map[Key]ident.Workspace{}
	for _, w := range workspaces {
		if err := w.validate(); err != nil {
			return nil, err
		}
		t.names = append(t.names, w.Name)
		for _, k := range w.Keys {
			owner, owned := owners[k]
			if owned && owner != w.Name {
				return nil, fmt.Errorf("%w: %q and %q have the same key", ErrInvalidWorkspace, owner, w.Name)
			}
			if owned {
				continue
			}
			owners[k] = w.Name
			t.keys = append(t.keys, k)
			t.grants = append(t.grants, Grant{Workspace: w.Name, priority: w.Priority})
		}
	}
	slices.Sort(t.names)
	for i := 1; i < len(t.names); i++ {
		if t.names[i] == t.names[i-1] {
			return nil, fmt.Errorf("%w: %q is listed twice", ErrInvalidWorkspace, t.names[i])
		}
	}
	return t, nil
}

// maxNameBytes bounds a name, which is a part of metric names and of every
// message about a request of the workspace.
const maxNameBytes = 256

func (w Workspace) validate() error {
	switch {
	case w.Name == "":
		return fmt.Errorf("%w: a workspace has no name", ErrInvalidWorkspace)
	case len(w.Name) > maxNameBytes:
		return fmt.Errorf("%w: the name %.32q... has %d bytes, %d are allowed", ErrInvalidWorkspace, w.Name, len(w.Name), maxNameBytes)
	case !isHeaderValue(string(w.Name)):
		return fmt.Errorf("%w: the name %q has control characters or begins or ends with a space", ErrInvalidWorkspace, w.Name)
	case slices.Contains(w.Keys, Key{}):
		return fmt.Errorf("%w: %q has an empty key", ErrInvalidWorkspace, w.Name)
	case w.Priority != nil && (*w.Priority < 0 || *w.Priority > math.MaxInt32):
		return fmt.Errorf("%w: %q has the priority %d, 0 to %d are allowed", ErrInvalidWorkspace, w.Name, *w.Priority, math.MaxInt32)
	}
	return nil
}

// isHeaderValue reports whether a header carries the text unchanged.
func isHeaderValue(s string) bool {
	const del = 0x7f
	isControl := func(r rune) bool { return r < ' ' || r == del }
	return !strings.ContainsFunc(s, isControl) && strings.Trim(s, " ") == s
}

// Find returns what the caller with a key gets, and whether the key is known.
func (t *Table) Find(k Key) (Grant, bool) {
	i := indexOf(t.keys, k)
	if i < 0 {
		return Grant{}, false
	}
	return t.grants[i], true
}

// FindFormer returns the workspace that had a key in an earlier configuration.
func (t *Table) FindFormer(k Key) (ident.Workspace, bool) {
	i := indexOf(t.formerKeys, k)
	if i < 0 {
		return "", false
	}
	return t.formerNames[i], true
}

// indexOf compares k with all keys, without an early exit that would reveal how
// much of a key is right.
func indexOf(keys []Key, k Key) int {
	found := -1
	for i := range keys {
		equal := subtle.ConstantTimeCompare(keys[i].digest[:], k.digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	return found
}

// Names returns the names of the workspaces in order.
func (t *Table) Names() []ident.Workspace {
	if t == nil {
		return nil
	}
	return slices.Clone(t.names)
}

// maxFormer bounds the former keys. They only explain why a key is refused; a
// change withdraws a few keys.
const maxFormer = 256

// Succeed returns a copy of t that knows the keys of the previous table as former
// ones.
func (t *Table) Succeed(previous *Table) *Table {
	if t == nil || previous == nil {
		return t
	}
	next := *t
	current := make(map[Key]bool, len(t.keys))
	for _, k := range t.keys {
		current[k] = true
	}
	add := func(k Key, name ident.Workspace) {
		if !current[k] && len(next.formerKeys) < maxFormer {
			next.formerKeys = append(next.formerKeys, k)
			next.formerNames = append(next.formerNames, name)
		}
	}
	next.formerKeys, next.formerNames = nil, nil
	for i, k := range previous.keys {
		add(k, previous.grants[i].Workspace)
	}
	for i, k := range previous.formerKeys {
		add(k, previous.formerNames[i])
	}
	return &next
}
