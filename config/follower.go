package config

import (
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// defaultPollInterval is the interval of one node's head reads. 1,100 nodes
	// then cause 110 reads a second; the platform's store allows 2,000.
	defaultPollInterval = 10 * time.Second
	// defaultStartSpread spreads the first head reads, so that 1,100 nodes that
	// start together cause about 275 reads a second.
	defaultStartSpread = 4 * time.Second
	// defaultRetryInterval is the time after which a body that one peer was asked
	// for is requested from another one.
	defaultRetryInterval = 500 * time.Millisecond
	// defaultStoreDelay is the mean time during which a body is requested from
	// peers only. Without it, a new head that gossip delivers would make every
	// node read the store in the same second.
	defaultStoreDelay = 2 * time.Second
)

// Fetch is a request for the head row or for one body.
type Fetch struct {
	// Digest identifies the body to fetch; empty requests the head.
	Digest ident.Digest
}

// FollowerOptions configures a Follower. Zero durations select the defaults.
type FollowerOptions struct {
	// PollInterval is the mean time between head reads, default 10 s.
	PollInterval time.Duration
	// StartSpread is the range of the first head read's delay, default 4 s.
	StartSpread time.Duration
	// RetryInterval is the mean time between two requests for a body to peers,
	// default 500 ms.
	RetryInterval time.Duration
	// StoreDelay is the mean delay before a body is read from the store, default
	// 2 s.
	StoreDelay time.Duration
	// FetchStore reads the head or a body from the store and later calls
	// HandleHead or HandleBody, or neither if the read fails.
	FetchStore func(Fetch)
	// FetchPeer reads a body from a random peer and later calls HandleBody.
	FetchPeer func(Fetch)
	// Adopt puts a manifest into effect.
	Adopt func(h Head, body []byte)
	// Report receives ErrRevisionConflict, ErrDigestMismatch and ErrInvalidHead.
	// Optional.
	Report func(error)
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
}

// Follower tracks the newest head and adopts the manifest body that it names. It
// isn't safe for concurrent use.
type Follower struct {
	options FollowerOptions
	// current and currentBody are in effect; newest is the newest head known.
	current, newest Head
	currentBody     []byte
	nextPoll        time.Time
	nextPeerFetch   time.Time
	nextStoreFetch  time.Time
}

// NewFollower returns a Follower without a manifest. It first reads the head at
// a random time within StartSpread of the first Tick.
func NewFollower(o FollowerOptions) *Follower {
	o.PollInterval = orDefault(o.PollInterval, defaultPollInterval)
	o.StartSpread = orDefault(o.StartSpread, defaultStartSpread)
	o.RetryInterval = orDefault(o.RetryInterval, defaultRetryInterval)
	o.StoreDelay = orDefault(o.StoreDelay, defaultStoreDelay)
	if o.Report == nil {
		o.Report = func(error) {}
	}
	return &Follower{options: o}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// Head returns the head in effect, or the zero Head.
func (f *Follower) Head() Head {
	return f.current
}

// Newest returns the newest head known, for gossip.
func (f *Follower) Newest() Head {
	return f.newest
}

// BodyOf returns the body in effect if it has the digest d, to serve it to
// peers.
func (f *Follower) BodyOf(d ident.Digest) ([]byte, bool) {
	if f.current.Revision == 0 || f.current.Digest != d {
		return nil, false
	}
	return f.currentBody, true
}

// HandleHead handles a head from the store or from gossip. It ignores the zero
// head, which stands for an empty store, and a lower revision than the newest
// known.
func (f *Follower) HandleHead(h Head, now time.Time) {
	if h == (Head{}) || h.Revision < f.newest.Revision {
		return
	}
	if err := h.check(); err != nil {
		f.options.Report(err)
		return
	}
	if h.Revision == f.newest.Revision {
		f.checkSameRevision(h)
		return
	}
	f.newest = h
	f.nextPeerFetch = now
	f.nextStoreFetch = now.Add(f.jitter(f.options.StoreDelay))
	if h.Digest == f.current.Digest {
		f.adoptNewest(f.currentBody)
		return
	}
	f.fetchBody(now)
}

// checkSameRevision reports ErrRevisionConflict if h has another digest than the
// known head of the same revision, which stays.
func (f *Follower) checkSameRevision(h Head) {
	if h.Digest != f.newest.Digest {
		f.options.Report(oops.In("config").With("step", "offer head", "revision", h.Revision,
			"known", f.newest.Digest, "offered", h.Digest).Wrap(ErrRevisionConflict))
	}
}

// HandleBody handles a body that was requested. Bodies of other heads are
// ignored.
func (f *Follower) HandleBody(d ident.Digest, body []byte, _ time.Time) {
	if f.isCurrent() || d != f.newest.Digest {
		return
	}
	if Digest(body) != d {
		f.options.Report(oops.In("config").With("step", "check body", "digest", d).Wrap(ErrDigestMismatch))
		return
	}
	f.adoptNewest(body)
}

// Tick starts the reads that are due. The caller calls it about every 100 ms.
func (f *Follower) Tick(now time.Time) {
	if f.nextPoll.IsZero() {
		f.nextPoll = now.Add(time.Duration(f.options.Rand() * float64(f.options.StartSpread)))
	}
	if !now.Before(f.nextPoll) {
		f.nextPoll = now.Add(f.jitter(f.options.PollInterval))
		f.options.FetchStore(Fetch{})
	}
	f.fetchBody(now)
}

// fetchBody requests the body of the newest head: from a peer first, and from
// the store after StoreDelay.
func (f *Follower) fetchBody(now time.Time) {
	if f.isCurrent() {
		return
	}
	fetch := Fetch{Digest: f.newest.Digest}
	if !now.Before(f.nextPeerFetch) {
		f.nextPeerFetch = now.Add(f.jitter(f.options.RetryInterval))
		f.options.FetchPeer(fetch)
	}
	// FetchPeer may have called HandleBody synchronously.
	if !f.isCurrent() && !now.Before(f.nextStoreFetch) {
		f.nextStoreFetch = now.Add(f.jitter(f.options.StoreDelay))
		f.options.FetchStore(fetch)
	}
}

func (f *Follower) isCurrent() bool {
	return f.current.Revision == f.newest.Revision
}

func (f *Follower) adoptNewest(body []byte) {
	f.current = f.newest
	f.currentBody = body
	f.options.Adopt(f.current, body)
}

// jitter returns a random duration between half and one and a half times d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + f.options.Rand()) * float64(d))
}
