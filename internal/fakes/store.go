// Package fakes provides fakes for tests and measurements: an in-memory store
// with injected faults and a model of an upstream in virtual time. They are
// deterministic for a given seed and are never linked into the node.
package fakes

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cicadahall/cicadahall/store"
)

// Fault is a failure mode of the fake store.
type Fault uint8

const (
	// NoFault executes the call normally.
	NoFault Fault = iota
	// Unavailable refuses the call; it has no effect.
	Unavailable
	// ResponseLost applies a write and loses its response. A read has no
	// result.
	ResponseLost
	// RequestLost loses the call before it takes effect. Its result is the same
	// as that of ResponseLost.
	RequestLost
)

var (
	errUnavailable  = errors.New("store is down")
	errResponseLost = errors.New("answer lost")
	errConflict     = errors.New("row version differs")
	errNoObject     = errors.New("object does not exist")
)

// Store is an in-memory table service and object store. It is safe for
// concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	fault   func() Fault
	reads   int
	writes  int
}

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{
		rows:    map[string]store.Row{},
		objects: map[string][]byte{},
		fault:   func() Fault { return NoFault },
	}
}

// SetFault sets the function that selects the fault of each following call.
func (s *Store) SetFault(next func() Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = next
}

// AlwaysFault returns a function for SetFault that selects f for every call.
func AlwaysFault(f Fault) func() Fault {
	return func() Fault { return f }
}

// Counts returns the number of reads and writes so far, including failed ones.
func (s *Store) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Table returns the table service of the store.
func (s *Store) Table() store.Table {
	return store.Table{Get: s.get, Commit: s.commit, Scan: s.scan}
}

// Objects returns the object store of the store.
func (s *Store) Objects() store.Objects {
	return store.Objects{Get: s.getObject, Put: s.putObject}
}

func (s *Store) get(ctx context.Context, key string) (store.Row, store.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.read(ctx); !r.OK() {
		return store.Row{}, r
	}
	row := s.rows[key]
	row.Key = key
	row.Value = slices.Clone(row.Value)
	return row, store.Result{Outcome: store.Done}
}

func (s *Store) scan(ctx context.Context, prefix string) ([]store.Row, store.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.read(ctx); !r.OK() {
		return nil, r
	}
	var rows []store.Row
	for _, k := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(k, prefix) {
			row := s.rows[k]
			row.Value = slices.Clone(row.Value)
			rows = append(rows, row)
		}
	}
	return rows, store.Result{Outcome: store.Done}
}

func (s *Store) commit(ctx context.Context, writes []store.Write) store.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(ctx, func() store.Result {
		for _, w := range writes {
			if s.rows[w.Key].Version != w.ExpectedVersion {
				return store.Result{Outcome: store.Refused, Err: errConflict, Conflict: true}
			}
		}
		for _, w := range writes {
			s.rows[w.Key] = store.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: w.ExpectedVersion + 1}
		}
		return store.Result{Outcome: store.Done}
	})
}

func (s *Store) getObject(ctx context.Context, key string) ([]byte, store.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.read(ctx); !r.OK() {
		return nil, r
	}
	body, ok := s.objects[key]
	if !ok {
		return nil, store.Result{Outcome: store.Refused, Err: errNoObject}
	}
	return slices.Clone(body), store.Result{Outcome: store.Done}
}

func (s *Store) putObject(ctx context.Context, key string, body []byte) store.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(ctx, func() store.Result {
		s.objects[key] = slices.Clone(body)
		return store.Result{Outcome: store.Done}
	})
}

// read counts a read and applies the next fault to it. The caller must hold mu.
func (s *Store) read(ctx context.Context) store.Result {
	s.reads++
	return s.readResult(ctx)
}

// write counts a write and applies the next fault to it; effect executes the
// write. The caller must hold mu.
func (s *Store) write(ctx context.Context, effect func() store.Result) store.Result {
	s.writes++
	if ctx.Err() != nil {
		return store.Result{Outcome: store.Refused, Err: ctx.Err()}
	}
	switch s.fault() {
	case Unavailable:
		return store.Result{Outcome: store.Refused, Err: errUnavailable}
	case RequestLost:
		return store.Result{Outcome: store.Unknown, Err: errResponseLost}
	case ResponseLost:
		effect()
		return store.Result{Outcome: store.Unknown, Err: errResponseLost}
	default:
		return effect()
	}
}

// readResult returns the result that the next fault gives a read.
func (s *Store) readResult(ctx context.Context) store.Result {
	if ctx.Err() != nil {
		return store.Result{Outcome: store.Refused, Err: ctx.Err()}
	}
	switch s.fault() {
	case Unavailable:
		return store.Result{Outcome: store.Refused, Err: errUnavailable}
	case ResponseLost, RequestLost:
		return store.Result{Outcome: store.Unknown, Err: errResponseLost}
	default:
		return store.Result{Outcome: store.Done}
	}
}
