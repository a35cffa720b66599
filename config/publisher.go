package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/store"
)

// Outcome is what Apply found out about a change.
type Outcome uint8

const (
	// Unknown means that the change may have been accepted or may still be.
	// A retry with the same change id resolves it.
	Unknown Outcome = iota
	// Accepted means that the change is stored under the returned head.
	Accepted
	// Conflict means that another change took the revision. The error is a
	// *ConflictError.
	Conflict
	// Nothing means that this call accepted nothing.
	Nothing
)

// String returns the outcome as used in logs and by the command line.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Conflict:
		return "conflict"
	case Nothing:
		return "nothing accepted"
	default:
		return "outcome unknown"
	}
}

var (
	// ErrReused reports a change id that was accepted with another body.
	ErrReused = errors.New("change id was accepted with another body")
	// ErrOld reports a change whose revision the head row no longer lists.
	ErrOld = errors.New("head row no longer lists the revision of this change")
	// ErrChange reports an empty change id.
	ErrChange = errors.New("change id is empty")
)

// ConflictError carries the revision that the operator saw and the head
// that was found instead.
type ConflictError struct {
	Seen    ident.Revision
	Current Head
}

// Error returns both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: change is based on revision %d, current revision is %d (change %s)",
		e.Seen, e.Current.Revision, e.Current.Change)
}

const (
	// defaultAttempts bounds the tries of each store call in one Apply.
	defaultAttempts = 4
	// defaultPause is the time between two tries of a store call.
	defaultPause = 250 * time.Millisecond
)

// PublisherOptions configures a Publisher. Zero values take the defaults.
type PublisherOptions struct {
	Table   store.Table
	Objects store.Objects
	// Attempts bounds the tries of each store call, default 4.
	Attempts int
	// Pause waits between two tries. The default waits 250 ms or until the
	// context ends.
	Pause func(ctx context.Context)
}

// Publisher applies manifests. It is safe for concurrent use.
type Publisher struct {
	opt PublisherOptions
	mu  sync.Mutex
	// open holds the changes with a commit of unknown outcome. A later call
	// for such a change must not report Nothing, because the earlier commit
	// may have taken effect.
	open map[ident.Change]bool
}

// NewPublisher returns a Publisher over the given store.
func NewPublisher(o PublisherOptions) *Publisher {
	if o.Attempts <= 0 {
		o.Attempts = defaultAttempts
	}
	if o.Pause == nil {
		o.Pause = pause
	}
	return &Publisher{opt: o, open: map[ident.Change]bool{}}
}

func pause(ctx context.Context) {
	t := time.NewTimer(defaultPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Reopen tells that another process may have sent change with an unknown
// outcome. Apply then reports Unknown rather than Nothing while the store is
// out of reach.
func (p *Publisher) Reopen(change ident.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[change] = true
}

// Apply makes body the manifest that follows revision seen. The head is set
// when the outcome is Accepted. Nothing covers this call and earlier calls of
// the same Publisher; a retry from another process calls Reopen first.
func (p *Publisher) Apply(ctx context.Context, change ident.Change, seen ident.Revision, body []byte) (Head, Outcome, error) {
	if change == "" {
		return Head{}, Nothing, oops.In("config").With("step", "apply").Wrap(ErrChange)
	}
	want := Head{Revision: seen + 1, Digest: Digest(body), Change: change}
	stored := false
	var last error
	for i := range p.opt.Attempts {
		if i > 0 {
			p.opt.Pause(ctx)
		}
		cur, version, err := p.read(ctx)
		if errors.Is(err, ErrFormat) || errors.Is(err, ErrHead) {
			return p.undecided(change, err)
		}
		if err != nil {
			last = err
			continue
		}
		if h, o, err, decided := p.judge(cur, want); decided {
			return h, o, err
		}
		if !stored {
			if last = p.put(ctx, want.Digest, body); last != nil {
				continue
			}
			stored = true
		}
		done, err := p.commit(ctx, cur.next(want), version)
		if done {
			p.resolve(change)
			return want, Accepted, nil
		}
		last = err
	}
	return p.undecided(change, last)
}

// judge decides what the current row says about want. It doesn't decide when
// the row still is at the revision that the operator saw.
func (p *Publisher) judge(cur row, want Head) (Head, Outcome, error, bool) {
	if h, ok := cur.byChange(want.Change); ok {
		p.resolve(want.Change)
		if h.Digest != want.Digest {
			return Head{}, Nothing, oops.In("config").With("step", "apply", "revision", h.Revision).Wrap(ErrReused), true
		}
		return h, Accepted, nil, true
	}
	seen := want.Revision - 1
	if cur.Revision == seen {
		return Head{}, Unknown, nil, false
	}
	if _, listed := cur.at(want.Revision); !listed && cur.Revision > seen {
		return Head{}, Unknown, oops.In("config").With("step", "apply", "revision", cur.Revision).Wrap(ErrOld), true
	}
	p.resolve(want.Change)
	return Head{}, Conflict, &ConflictError{Seen: seen, Current: cur.Head}, true
}

func (p *Publisher) read(ctx context.Context) (row, uint64, error) {
	r, res := p.opt.Table.Get(ctx, HeadKey)
	if !res.OK() {
		return row{}, 0, oops.In("config").With("step", "read head", "peer", "table").Wrap(res.Err)
	}
	cur, err := parseRow(r.Value)
	return cur, r.Version, err
}

// put stores the body. The key is the digest, so repeating it is harmless.
func (p *Publisher) put(ctx context.Context, d ident.Digest, body []byte) error {
	if res := p.opt.Objects.Put(ctx, BodyKey(d), body); !res.OK() {
		return oops.In("config").With("step", "store body", "peer", "objects").Wrap(res.Err)
	}
	return nil
}

// commit moves the head from the given row version. A lost answer marks the
// change as open, and so does a conflict, because the row may have been moved
// by an earlier commit of the same change. The caller then reads the row again.
func (p *Publisher) commit(ctx context.Context, next row, version uint64) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, oops.In("config").With("step", "encode head").Wrap(err)
	}
	res := p.opt.Table.Commit(ctx, []store.Write{{Key: HeadKey, Value: value, Expect: version}})
	if res.OK() {
		return true, nil
	}
	if res.Outcome == store.Unknown || res.Conflict {
		p.Reopen(next.Change)
	}
	return false, oops.In("config").With("step", "move head", "peer", "table").Wrap(res.Err)
}

// undecided returns Unknown if a commit of the change may have taken effect.
func (p *Publisher) undecided(change ident.Change, err error) (Head, Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[change] {
		return Head{}, Unknown, err
	}
	return Head{}, Nothing, err
}

func (p *Publisher) resolve(change ident.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, change)
}
