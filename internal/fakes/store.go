// Package fakes holds small stand-ins for tests and measurements: a store
// with faults and an upstream model with a seed. They are deterministic for a
// given seed and are never part of the product's binary.
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
	// None lets every call pass.
	None Fault = iota
	// Down refuses every call without effect.
	Down
	// Lose applies writes and then loses the answer; reads are lost, too.
	Lose
	// Drop loses calls before they take effect; the caller can't tell it from Lose.
	Drop
)

var (
	errDown     = errors.New("store is down")
	errLost     = errors.New("answer lost")
	errConflict = errors.New("row version differs")
	errMissing  = errors.New("object does not exist")
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
		fault:   func() Fault { return None },
	}
}

// SetFault makes next decide the fault of each following call.
func (s *Store) SetFault(next func() Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = next
}

// Always returns a fault function that gives f for every call.
func Always(f Fault) func() Fault {
	return func() Fault { return f }
}

// Counts returns the number of reads and writes so far, failed ones included.
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
			if s.rows[w.Key].Version != w.Expect {
				return store.Result{Outcome: store.Refused, Err: errConflict, Conflict: true}
			}
		}
		for _, w := range writes {
			s.rows[w.Key] = store.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: w.Expect + 1}
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
		return nil, store.Result{Outcome: store.Refused, Err: errMissing}
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

// read applies the fault of a call without effect.
func (s *Store) read(ctx context.Context) store.Result {
	s.reads++
	return s.gate(ctx)
}

// write applies the fault of a call with the given effect.
func (s *Store) write(ctx context.Context, effect func() store.Result) store.Result {
	s.writes++
	if ctx.Err() != nil {
		return store.Result{Outcome: store.Refused, Err: ctx.Err()}
	}
	switch s.fault() {
	case Down:
		return store.Result{Outcome: store.Refused, Err: errDown}
	case Drop:
		return store.Result{Outcome: store.Unknown, Err: errLost}
	case Lose:
		effect()
		return store.Result{Outcome: store.Unknown, Err: errLost}
	default:
		return effect()
	}
}

func (s *Store) gate(ctx context.Context) store.Result {
	if ctx.Err() != nil {
		return store.Result{Outcome: store.Refused, Err: ctx.Err()}
	}
	switch s.fault() {
	case Down:
		return store.Result{Outcome: store.Refused, Err: errDown}
	case Lose, Drop:
		return store.Result{Outcome: store.Unknown, Err: errLost}
	default:
		return store.Result{Outcome: store.Done}
	}
}
