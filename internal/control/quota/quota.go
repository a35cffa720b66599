// Package quota bounds the memory that a process spends on requests.
//
// Memory is charged before it is allocated. A request holds a Lease, to which
// everything that the process stores for it is charged: its fixed share and its
// bodies in both directions, with their copies.
//
// Invariants: the charged bytes never exceed the limit; bodies leave a part of
// the limit to small requests; large amounts count as used after their release
// until a garbage collection has freed them.
package quota

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

// Kind is what memory is charged for.
type Kind uint8

const (
	// Request is the fixed share of a request: its headers, goroutines and the
	// unread bytes of its connections.
	Request Kind = iota
	// Body is a request's body.
	Body
	// Response is a response's body.
	Response

	kinds = 3
)

// String returns the name of the kind in metrics and errors.
func (k Kind) String() string {
	return [kinds]string{"request", "body", "response"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Request, Body, Response} }

const (
	// ReceiveBuffer is the size of the receive buffer of a connection that
	// carries requests. It bounds the bytes that have been received and not yet
	// read.
	ReceiveBuffer = 64 << 10
	// RequestShare is the charge of a request without a body. A request occupies
	// the receive buffers of one connection to each side.
	RequestShare Bytes = 2 * ReceiveBuffer
	// smallRequest is the size up to which a request may use the whole limit.
	smallRequest = 2 * RequestShare
	// bodyDivisor sets the part of the limit that is left to small requests.
	bodyDivisor = 4
	// unknownDivisor bounds a response of unknown length to a part of the limit.
	// An upstream in trouble may send a body without end.
	unknownDivisor = 4
	// collectedSize is the size from which released memory counts as used until
	// it is collected. The garbage of smaller pieces is bounded by the pace of
	// the garbage collector.
	collectedSize = 256 << 10
	// collectDivisor sets the part of the limit that released memory may occupy
	// before a collection is started.
	collectDivisor = 4
	// maxCollections bounds the garbage collections that one charge waits for.
	maxCollections = 2
	// reclaimTimeout bounds the wait for closed requests to release their memory,
	// which takes the time to schedule their goroutines, and reclaimInterval is
	// the time between two attempts.
	reclaimTimeout  = 50 * time.Millisecond
	reclaimInterval = 2 * time.Millisecond
)

var (
	// ErrFull reports that the memory is in use by other requests.
	ErrFull = errors.New("memory for requests is in use")
	// ErrTooLarge reports an amount that exceeds what one request may use.
	ErrTooLarge = errors.New("size exceeds the memory of one request")
)

// Options configures a Quota. All fields but Reclaim are required.
type Options struct {
	// Limit is the largest number of bytes that are charged at one time.
	Limit Bytes
	// Collect frees the memory that is no longer referenced, as runtime.GC does.
	Collect func()
	// Reclaim, if set, is called before a charge is refused because the memory is
	// in use. It closes requests that hold at least n bytes without progress, and
	// reports whether there were any, which release their memory soon after.
	Reclaim func(n Bytes) bool
	// OnRefusal is called for each charge that is refused.
	OnRefusal func(Kind, error)
}

// Quota is the account of a process. It is safe for concurrent use.
type Quota struct {
	options Options
	wake    chan struct{}
	stop    chan struct{}
	ended   chan struct{}

	mu sync.Mutex
	// used are the charged bytes, including uncollected.
	used   Bytes
	byKind [kinds]Bytes
	// uncollected are the bytes that have been released and may still occupy
	// memory.
	uncollected Bytes
	// collected is closed at the end of the next collection.
	collected chan struct{}
}

// New returns a quota of which nothing is used. The caller must call Close.
func New(o Options) *Quota {
	q := &Quota{
		options:   o,
		wake:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
		ended:     make(chan struct{}),
		collected: make(chan struct{}),
	}
	go func() {
		defer close(q.ended)
		for {
			select {
			case <-q.stop:
				return
			case <-q.wake:
				q.collect()
			}
		}
	}()
	return q
}

// Close ends the collections and waits for the one in progress. Charges that
// wait for a collection are refused.
func (q *Quota) Close() {
	close(q.stop)
	<-q.ended
}

// collect frees what has been released before the call.
func (q *Quota) collect() {
	q.mu.Lock()
	n := q.uncollected
	q.mu.Unlock()
	q.options.Collect()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.uncollected -= n
	q.used -= n
	close(q.collected)
	q.collected = make(chan struct{})
}

func (q *Quota) requestCollection() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Used returns the bytes that are charged for a kind.
func (q *Quota) Used(k Kind) Bytes {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.byKind[k]
}

// Uncollected returns the bytes that count as used until they are collected.
func (q *Quota) Uncollected() Bytes {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.uncollected
}

// charge takes n bytes for a request that holds held bytes already.
func (q *Quota) charge(k Kind, n, held Bytes) error {
	err := q.tryCharge(k, n, held)
	if err != nil {
		q.options.OnRefusal(k, err)
	}
	return err
}

func (q *Quota) tryCharge(k Kind, n, held Bytes) error {
	limit := q.options.Limit
	if held+n > smallRequest {
		limit -= limit / bodyDivisor
	}
	if n > limit-held {
		return fmt.Errorf("%w: %d bytes for a %s, %d are allowed", ErrTooLarge, n, k, limit-held)
	}
	if q.collectAndTake(k, n, limit) {
		return nil
	}
	if q.options.Reclaim != nil && q.options.Reclaim(n) {
		for end := time.Now().Add(reclaimTimeout); time.Now().Before(end); time.Sleep(reclaimInterval) {
			if q.collectAndTake(k, n, limit) {
				return nil
			}
		}
	}
	return fmt.Errorf("%w: %d bytes for a %s", ErrFull, n, k)
}

// collectAndTake charges n bytes if they fit, after collections if needed.
func (q *Quota) collectAndTake(k Kind, n, limit Bytes) bool {
	for range maxCollections {
		collected, charged := q.take(k, n, limit)
		if charged {
			return true
		}
		if collected == nil {
			break
		}
		q.requestCollection()
		select {
		case <-collected:
		case <-q.ended:
		}
	}
	_, charged := q.take(k, n, limit)
	return charged
}

// take charges n bytes if they fit. Otherwise it returns the channel that is
// closed after the next collection, or nil if a collection can't make them fit.
func (q *Quota) take(k Kind, n, limit Bytes) (collected <-chan struct{}, charged bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used+n <= limit {
		q.used += n
		q.byKind[k] += n
		return nil, true
	}
	if q.used-q.uncollected+n <= limit {
		return q.collected, false
	}
	return nil, false
}

// free returns n bytes.
func (q *Quota) free(k Kind, n Bytes) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.byKind[k] -= n
	if n < collectedSize {
		q.used -= n
		return
	}
	q.uncollected += n
	if q.uncollected > q.options.Limit/collectDivisor {
		q.requestCollection()
	}
}
