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

// Outcome is the result of Apply as far as it is known.
type Outcome uint8

const (
	// Unknown means that the change may have been accepted or may still be.
	// Another call with the same change id resolves it.
	Unknown Outcome = iota
	// Accepted means that the change is stored under the returned head.
	Accepted
	// Conflict means that another change took the next revision. The error is a
	// *ConflictError.
	Conflict
	// NotAccepted means that this call didn't lead to the acceptance of the
	// change.
	NotAccepted
)

// String returns the outcome as shown in logs and by the command line.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Conflict:
		return "conflict"
	case NotAccepted:
		return "nothing accepted"
	default:
		return "outcome unknown"
	}
}

var (
	// ErrChangeReused reports a change id that was already accepted with another
	// body.
	ErrChangeReused = errors.New("change id was accepted with another body")
	// ErrRevisionUnlisted reports a change whose revision is too old to be listed
	// in the head row.
	ErrRevisionUnlisted = errors.New("head row no longer lists the revision of this change")
	// ErrEmptyChange reports an empty change id.
	ErrEmptyChange = errors.New("change id is empty")
)

// ConflictError states the revision that the change is based on and the head
// that was found instead.
type ConflictError struct {
	Base    ident.Revision
	Current Head
}

// Error returns both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: change is based on revision %d, current revision is %d (change %s)",
		e.Base, e.Current.Revision, e.Current.Change)
}

const (
	// defaultAttempts is the maximum number of attempts of each store call in one
	// Apply.
	defaultAttempts = 4
	// defaultPause is the time between two attempts of a store call.
	defaultPause = 250 * time.Millisecond
)

// PublisherOptions configures a Publisher. Zero values select the defaults.
type PublisherOptions struct {
	Table   store.Table
	Objects store.Objects
	// Attempts is the maximum number of attempts of each store call, default 4.
	Attempts int
	// Pause waits between two attempts. The default waits 250 ms or until the
	// context ends.
	Pause func(ctx context.Context)
}

// Publisher publishes manifests. It is safe for concurrent use.
type Publisher struct {
	options PublisherOptions
	mu      sync.Mutex
	// unresolved holds the changes with a commit of unknown outcome. A later
	// call for such a change must not return NotAccepted, because the earlier
	// commit may have taken effect.
	unresolved map[ident.Change]bool
}

// NewPublisher returns a Publisher that writes to the store of the options.
func NewPublisher(o PublisherOptions) *Publisher {
	if o.Attempts <= 0 {
		o.Attempts = defaultAttempts
	}
	if o.Pause == nil {
		o.Pause = pause
	}
	return &Publisher{options: o, unresolved: map[ident.Change]bool{}}
}

func pause(ctx context.Context) {
	t := time.NewTimer(defaultPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// MarkUnresolved states that another process may have committed change with an
// unknown outcome. Apply then returns Unknown instead of NotAccepted while the
// store is unreachable.
func (p *Publisher) MarkUnresolved(change ident.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresolved[change] = true
}

// Apply publishes body as the manifest that follows revision base. The returned
// head is set if the outcome is Accepted. NotAccepted refers to this call and
// to earlier calls of the same Publisher; before a retry in another process,
// call Reopen.
func (p *Publisher) Apply(ctx context.Context, change ident.Change, base ident.Revision, body []byte) (Head, Outcome, error) {
	if change == "" {
		return Head{}, NotAccepted, oops.In("config").With("step", "apply").Wrap(ErrEmptyChange)
	}
	want := Head{Revision: base + 1, Digest: Digest(body), Change: change}
	stored := false
	var lastErr error
	for i := range p.options.Attempts {
		if i > 0 {
			p.options.Pause(ctx)
		}
		current, version, err := p.readRow(ctx)
		if errors.Is(err, ErrUnsupportedFormat) || errors.Is(err, ErrInvalidHead) {
			return p.unresolvedOutcome(change, err)
		}
		if err != nil {
			lastErr = err
			continue
		}
		if h, outcome, err, decided := p.checkRow(current, want); decided {
			return h, outcome, err
		}
		if !stored {
			if lastErr = p.storeBody(ctx, want.Digest, body); lastErr != nil {
				continue
			}
			stored = true
		}
		committed, err := p.commitRow(ctx, current.nextRow(want), version)
		if committed {
			p.markResolved(change)
			return want, Accepted, nil
		}
		lastErr = err
	}
	return p.unresolvedOutcome(change, lastErr)
}

// checkRow derives the outcome of want from the current row. The last result
// reports whether there is one; there is none while the row is still at the base
// revision.
func (p *Publisher) checkRow(current headRow, want Head) (Head, Outcome, error, bool) {
	if h, ok := current.headOfChange(want.Change); ok {
		p.markResolved(want.Change)
		if h.Digest != want.Digest {
			return Head{}, NotAccepted, oops.In("config").With("step", "apply", "revision", h.Revision).Wrap(ErrChangeReused), true
		}
		return h, Accepted, nil, true
	}
	base := want.Revision - 1
	if current.Revision == base {
		return Head{}, Unknown, nil, false
	}
	if _, listed := current.headAt(want.Revision); !listed && current.Revision > base {
		return Head{}, Unknown, oops.In("config").With("step", "apply", "revision", current.Revision).Wrap(ErrRevisionUnlisted), true
	}
	p.markResolved(want.Change)
	return Head{}, Conflict, &ConflictError{Base: base, Current: current.Head}, true
}

func (p *Publisher) readRow(ctx context.Context) (headRow, uint64, error) {
	r, res := p.options.Table.Get(ctx, HeadKey)
	if !res.OK() {
		return headRow{}, 0, oops.In("config").With("step", "read head", "peer", "table").Wrap(res.Err)
	}
	current, err := parseRow(r.Value)
	return current, r.Version, err
}

// storeBody stores the body. The key is the digest, so repeated calls are
// harmless.
func (p *Publisher) storeBody(ctx context.Context, d ident.Digest, body []byte) error {
	if res := p.options.Objects.Put(ctx, BodyKey(d), body); !res.OK() {
		return oops.In("config").With("step", "store body", "peer", "objects").Wrap(res.Err)
	}
	return nil
}

// commitRow replaces the row of the given version and reports whether that
// succeeded. It marks the change as unresolved if the answer is lost, and also
// on a conflict, because an earlier commit of the same change may have replaced
// the row. The caller then reads the row again.
func (p *Publisher) commitRow(ctx context.Context, next headRow, version uint64) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, oops.In("config").With("step", "encode head").Wrap(err)
	}
	res := p.options.Table.Commit(ctx, []store.Write{{Key: HeadKey, Value: value, ExpectedVersion: version}})
	if res.OK() {
		return true, nil
	}
	if res.Outcome == store.Unknown || res.Conflict {
		p.MarkUnresolved(next.Change)
	}
	return false, oops.In("config").With("step", "move head", "peer", "table").Wrap(res.Err)
}

// unresolvedOutcome returns Unknown if a commit of the change may have taken
// effect, and NotAccepted otherwise.
func (p *Publisher) unresolvedOutcome(change ident.Change, err error) (Head, Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unresolved[change] {
		return Head{}, Unknown, err
	}
	return Head{}, NotAccepted, err
}

func (p *Publisher) markResolved(change ident.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unresolved, change)
}
