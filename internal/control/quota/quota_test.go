package quota_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/internal/control/quota"
)

const limit = 64 << 20

// largest is the size of the largest body that a request can store: bodies leave a
// quarter of the limit to small requests.
const largest = limit - limit/4 - quota.RequestShare

func newQuota(t interface{ Cleanup(func()) }, collect func()) *quota.Quota {
	q := quota.New(quota.Options{Limit: limit, Collect: collect, OnRefusal: func(quota.Kind, error) {}})
	t.Cleanup(q.Close)
	return q
}

func used(q *quota.Quota) quota.Bytes {
	total := q.Uncollected()
	for _, k := range quota.Kinds() {
		total += q.Used(k)
	}
	return total
}

// Guards against charges that exceed the limit, or that are lost or returned
// twice, whatever the order of the calls.
func TestChargesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQuota(t, func() {})
		leases := map[int]*quota.Lease{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.IntRange(0, 5).Draw(t, "lease")
			n := quota.Bytes(rapid.IntRange(0, limit).Draw(t, "bytes"))
			k := rapid.SampledFrom(quota.Kinds()).Draw(t, "kind")
			l := leases[id]
			switch {
			case l == nil:
				l, err := q.NewLease()
				assert.NilError(t, err)
				leases[id] = l
			case rapid.Bool().Draw(t, "grow"):
				_ = l.Grow(k, n)
			case rapid.Bool().Draw(t, "shrink"):
				l.Shrink(k, n)
			default:
				l.Release()
				delete(leases, id)
			}
			assert.Assert(t, used(q) <= limit, "%d bytes are charged", used(q))
		}
		for _, l := range leases {
			l.Release()
		}
		for _, k := range quota.Kinds() {
			assert.Equal(t, q.Used(k), quota.Bytes(0), "%v", k)
		}
		l, err := q.NewLease()
		assert.NilError(t, err)
		defer l.Release()
		assert.NilError(t, l.Grow(quota.Body, largest), "released memory can't be used again")
	})
}

// Guards against counting released memory as free before the garbage collector
// has freed it.
func TestLargeReleaseWaitsForCollection(t *testing.T) {
	var collections atomic.Int64
	q := newQuota(t, func() { collections.Add(1) })
	first, err := q.NewLease()
	assert.NilError(t, err)
	assert.NilError(t, first.Grow(quota.Body, largest))
	second, err := q.NewLease()
	assert.NilError(t, err)
	defer second.Release()
	assert.Assert(t, errors.Is(second.Grow(quota.Body, largest), quota.ErrFull))
	assert.Equal(t, collections.Load(), int64(0))
	first.Release()
	assert.NilError(t, second.Grow(quota.Body, largest))
	assert.Assert(t, collections.Load() > 0)
}

// Guards against a few large bodies that leave no memory to small requests.
func TestBodiesLeaveRoomToSmallRequests(t *testing.T) {
	q := newQuota(t, func() {})
	for range 8 {
		l, err := q.NewLease()
		assert.NilError(t, err)
		defer l.Release()
		for l.Grow(quota.Response, 1<<20) == nil {
		}
	}
	small, err := q.NewLease()
	assert.NilError(t, err)
	defer small.Release()
	assert.NilError(t, small.Grow(quota.Body, 16<<10))
}

// Guards against a body that is stored before its size is known to fit: one
// whose announced length is too large and one that doesn't end.
func TestReadAllIsBounded(t *testing.T) {
	q := newQuota(t, func() {})
	for name, c := range map[string]struct {
		length int64
		want   error
	}{
		"announced": {limit, quota.ErrTooLarge},
		"absurd":    {1 << 60, quota.ErrTooLarge},
		"endless":   {quota.UnknownLength, quota.ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := q.NewLease()
			assert.NilError(t, err)
			defer l.Release()
			source := &endless{}
			_, err = l.ReadAll(quota.Response, source, c.length, 1<<62)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			assert.Assert(t, source.read <= limit/2, "%d bytes were read", source.read)
		})
	}
}

type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

// Guards against bodies that are altered, or accepted although they are
// incomplete or longer than announced, with and without a lease.
func TestReadAllReturnsWholeBodies(t *testing.T) {
	q := newQuota(t, func() {})
	whole := strings.Repeat("0123456789", 10_000)
	l, err := q.NewLease()
	assert.NilError(t, err)
	defer l.Release()
	for _, lease := range []*quota.Lease{nil, l} {
		for _, length := range []int64{quota.UnknownLength, int64(len(whole))} {
			body, err := lease.ReadAll(quota.Body, strings.NewReader(whole), length, int64(len(whole)))
			assert.NilError(t, err)
			assert.Equal(t, string(body), whole)
			_, err = lease.ReadAll(quota.Body, strings.NewReader(whole), length, int64(len(whole))-1)
			assert.Assert(t, errors.Is(err, quota.ErrTooLarge), "%v", err)
		}
	}
	_, err = l.ReadAll(quota.Body, strings.NewReader("short"), 6, 100)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	_, err = l.ReadAll(quota.Body, strings.NewReader("longer"), 5, 100)
	assert.Assert(t, errors.Is(err, quota.ErrTooLarge), "%v", err)
}

// Guards against memory that stays charged after a request whose copies end in
// any order, or that is charged for a request that has ended.
func TestLeaseEndsWithItsLastUser(t *testing.T) {
	q := newQuota(t, func() {})
	l, err := q.NewLease()
	assert.NilError(t, err)
	ctx := quota.NewContext(context.Background(), l)
	var wg sync.WaitGroup
	for range 8 {
		copied := quota.FromContext(ctx).Retain()
		wg.Go(func() {
			defer copied.Release()
			assert.Check(t, copied.Grow(quota.Response, 1000))
		})
	}
	l.Release()
	wg.Wait()
	assert.Equal(t, used(q), quota.Bytes(0))
	assert.Assert(t, errors.Is(l.Grow(quota.Response, 1), quota.ErrFull))
	assert.Equal(t, used(q), quota.Bytes(0))
}

// Guards against a charge that waits for a collection after Close.
func TestCloseEndsWaitingCharges(t *testing.T) {
	q := quota.New(quota.Options{Limit: limit, Collect: func() {}, OnRefusal: func(quota.Kind, error) {}})
	first, err := q.NewLease()
	assert.NilError(t, err)
	assert.NilError(t, first.Grow(quota.Body, largest))
	second, err := q.NewLease()
	assert.NilError(t, err)
	q.Close()
	first.Release()
	assert.Assert(t, errors.Is(second.Grow(quota.Body, largest), quota.ErrFull))
}

// Guards against a charge that is refused although requests without progress hold
// the memory, or that takes it before they have released it.
func TestReclaim(t *testing.T) {
	var stalled *quota.Lease
	asked := quota.Bytes(0)
	q := quota.New(quota.Options{Limit: limit, Collect: func() {}, OnRefusal: func(quota.Kind, error) {}, Reclaim: func(n quota.Bytes) bool {
		asked = n
		if stalled == nil {
			return false
		}
		go stalled.Release()
		stalled = nil
		return true
	}})
	t.Cleanup(q.Close)
	first, err := q.NewLease()
	assert.NilError(t, err)
	assert.NilError(t, first.Grow(quota.Body, largest))
	second, err := q.NewLease()
	assert.NilError(t, err)
	assert.ErrorIs(t, second.Grow(quota.Body, 1<<20), quota.ErrFull)
	assert.Equal(t, asked, quota.Bytes(1<<20))
	stalled = first
	assert.NilError(t, second.Grow(quota.Body, 1<<20))
	assert.Assert(t, used(q) <= limit)
}
