package quota

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// Lease holds the memory of one request. It is safe for concurrent use. A nil
// Lease allows any amount.
type Lease struct {
	quota *Quota

	mu    sync.Mutex
	users int
	held  [kinds]Bytes
}

// NewLease charges the fixed share of a request. The caller must call Release. A
// nil Quota returns a nil Lease.
func (q *Quota) NewLease() (*Lease, error) {
	if q == nil {
		return nil, nil
	}
	l := &Lease{quota: q, users: 1}
	if err := l.Grow(Request, RequestShare); err != nil {
		return nil, err
	}
	return l, nil
}

// Retain adds a user, which must call Release. It returns l.
func (l *Lease) Retain() *Lease {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.users++
	return l
}

// Release removes a user. The memory is returned with the last one.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.users--
	if l.users > 0 {
		return
	}
	for k, n := range l.held {
		if n > 0 {
			l.quota.free(Kind(k), n)
		}
	}
	l.held = [kinds]Bytes{}
}

// Grow charges n more bytes. The error is ErrTooLarge if the request can never
// have them and ErrFull if they are in use, or if the lease has no user.
func (l *Lease) Grow(k Kind, n Bytes) error {
	if l == nil {
		return nil
	}
	held, err := l.total()
	if err != nil {
		return err
	}
	if err := l.quota.charge(k, n, held); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.users <= 0 {
		l.quota.free(k, n)
		return errEnded
	}
	l.held[k] += n
	return nil
}

// errEnded reports a charge for a request that nothing waits for any more.
var errEnded = fmt.Errorf("%w: the request has ended", ErrFull)

// total returns the bytes that the request holds.
func (l *Lease) total() (Bytes, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.users <= 0 {
		return 0, errEnded
	}
	var held Bytes
	for _, n := range l.held {
		held += n
	}
	return held, nil
}

// Shrink returns n bytes before the request ends.
func (l *Lease) Shrink(k Kind, n Bytes) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(n, l.held[k])
	l.held[k] -= n
	l.quota.free(k, n)
}

type leaseKey struct{}

// NewContext returns a context that carries the lease of a request.
func NewContext(ctx context.Context, l *Lease) context.Context {
	if l == nil {
		return ctx
	}
	return context.WithValue(ctx, leaseKey{}, l)
}

// FromContext returns the lease that ctx carries, or nil.
func FromContext(ctx context.Context) *Lease {
	l, _ := ctx.Value(leaseKey{}).(*Lease)
	return l
}

const (
	// UnknownLength is the length of a body that ends with its connection or its
	// last chunk.
	UnknownLength = -1
	// firstRead is the initial size of the buffer for a body of unknown length.
	firstRead = 4 << 10
)

// ReadAll reads a body of the given length, or of UnknownLength, and charges it
// before it allocates. The error wraps ErrFull or ErrTooLarge if the body can't
// be stored or is longer than limit.
func (l *Lease) ReadAll(k Kind, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %s of %d bytes, %d are allowed", ErrTooLarge, k, length, limit)
	}
	if length == UnknownLength || l == nil {
		return l.readUnknown(k, r, limit)
	}
	if err := l.Grow(k, Bytes(length)); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	// The source reports at its end whether it is complete.
	var next [1]byte
	for {
		n, err := r.Read(next[:])
		if n > 0 {
			return nil, fmt.Errorf("%w: %s of more than %d bytes", ErrTooLarge, k, length)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (l *Lease) readUnknown(k Kind, r io.Reader, limit int64) ([]byte, error) {
	if l != nil && k == Response {
		limit = min(limit, int64(l.quota.options.Limit/unknownDivisor))
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			larger, err := l.grow(k, body, limit)
			if err != nil {
				return nil, err
			}
			body = larger
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of body with room for more.
func (l *Lease) grow(k Kind, body []byte, limit int64) ([]byte, error) {
	size := min(max(firstRead, 2*int64(cap(body))), limit+1)
	if size <= int64(len(body)) {
		return nil, fmt.Errorf("%w: %s of more than %d bytes", ErrTooLarge, k, limit)
	}
	if err := l.Grow(k, Bytes(size)); err != nil {
		return nil, err
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	l.Shrink(k, Bytes(cap(body)))
	return larger, nil
}
