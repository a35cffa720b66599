package config

import (
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// defaultPoll spaces the head reads of one node. 1,100 nodes then cause
	// 110 reads a second, against the platform's 2,000.
	defaultPoll = 10 * time.Second
	// defaultSpread spreads the first head reads, so that 1,100 nodes that
	// start together cause about 275 reads a second.
	defaultSpread = 4 * time.Second
	// defaultRetry is the time after which a body that was asked of a peer is
	// asked of another one.
	defaultRetry = 500 * time.Millisecond
	// defaultGrace is the mean time that peers get before a body is read from
	// the store. Without it, a head that gossip spreads makes every node read
	// the store in the same second.
	defaultGrace = 2 * time.Second
)

// Fetch asks for the head row or for one body.
type Fetch struct {
	// Digest is the body to fetch; empty asks for the head.
	Digest ident.Digest
}

// FollowerOptions configures a Follower. Zero durations take the defaults.
type FollowerOptions struct {
	// Poll is the mean time between head reads, default 10 s.
	Poll time.Duration
	// Spread is the range of the first head read's delay, default 4 s.
	Spread time.Duration
	// Retry is the time between two requests for a body, default 500 ms.
	Retry time.Duration
	// Grace is the mean delay before a body is read from the store, default 2 s.
	Grace time.Duration
	// FetchStore reads the head or a body from the store and later calls
	// Offer or Body. It calls neither when the read fails.
	FetchStore func(Fetch)
	// FetchPeer reads a body from a random peer and later calls Body.
	FetchPeer func(Fetch)
	// Adopt puts a manifest in force.
	Adopt func(h Head, body []byte)
	// Report receives ErrSplit, ErrDigest and ErrHead. Optional.
	Report func(error)
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
}

// Follower tracks the newest head and adopts its body. It isn't safe for
// concurrent use.
type Follower struct {
	opt FollowerOptions
	// head and body are in force; want is the newest head known.
	head, want Head
	body       []byte
	pollAt     time.Time
	peerAt     time.Time
	storeAt    time.Time
}

// NewFollower returns a Follower without a manifest. Its first head read
// comes at a random time within Spread of the first Tick.
func NewFollower(o FollowerOptions) *Follower {
	o.Poll = orDefault(o.Poll, defaultPoll)
	o.Spread = orDefault(o.Spread, defaultSpread)
	o.Retry = orDefault(o.Retry, defaultRetry)
	o.Grace = orDefault(o.Grace, defaultGrace)
	if o.Report == nil {
		o.Report = func(error) {}
	}
	return &Follower{opt: o}
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

// Head returns the head in force, or the zero Head.
func (f *Follower) Head() Head {
	return f.head
}

// Known returns the newest head known, which gossip passes on.
func (f *Follower) Known() Head {
	return f.want
}

// Held returns the body in force if it has the digest, to serve peers.
func (f *Follower) Held(d ident.Digest) ([]byte, bool) {
	if f.head.Revision == 0 || f.head.Digest != d {
		return nil, false
	}
	return f.body, true
}

// Offer handles a head from the store or from gossip. A zero head, of an
// empty store, and a lower revision than known are ignored.
func (f *Follower) Offer(h Head, now time.Time) {
	if h == (Head{}) || h.Revision < f.want.Revision {
		return
	}
	if err := h.check(); err != nil {
		f.opt.Report(err)
		return
	}
	if h.Revision == f.want.Revision {
		f.same(h)
		return
	}
	f.want = h
	f.peerAt = now
	f.storeAt = now.Add(f.jitter(f.opt.Grace))
	if h.Digest == f.head.Digest {
		f.adopt(f.body)
		return
	}
	f.ask(now)
}

// same reports a second digest for the known revision and keeps the first.
func (f *Follower) same(h Head) {
	if h.Digest != f.want.Digest {
		f.opt.Report(oops.In("config").With("step", "offer head", "revision", h.Revision,
			"known", f.want.Digest, "offered", h.Digest).Wrap(ErrSplit))
	}
}

// Body handles a body that was asked for. Bodies of other heads are ignored.
func (f *Follower) Body(d ident.Digest, body []byte, _ time.Time) {
	if f.settled() || d != f.want.Digest {
		return
	}
	if Digest(body) != d {
		f.opt.Report(oops.In("config").With("step", "check body", "digest", d).Wrap(ErrDigest))
		return
	}
	f.adopt(body)
}

// Tick starts the reads that are due. The shell calls it about every 100 ms.
func (f *Follower) Tick(now time.Time) {
	if f.pollAt.IsZero() {
		f.pollAt = now.Add(time.Duration(f.opt.Rand() * float64(f.opt.Spread)))
	}
	if !now.Before(f.pollAt) {
		f.pollAt = now.Add(f.jitter(f.opt.Poll))
		f.opt.FetchStore(Fetch{})
	}
	f.ask(now)
}

// ask requests the wanted body: of peers first, of the store after the grace.
func (f *Follower) ask(now time.Time) {
	if f.settled() {
		return
	}
	want := Fetch{Digest: f.want.Digest}
	if !now.Before(f.peerAt) {
		f.peerAt = now.Add(f.jitter(f.opt.Retry))
		f.opt.FetchPeer(want)
	}
	// FetchPeer may have answered from within the call.
	if !f.settled() && !now.Before(f.storeAt) {
		f.storeAt = now.Add(f.jitter(f.opt.Grace))
		f.opt.FetchStore(want)
	}
}

func (f *Follower) settled() bool {
	return f.head.Revision == f.want.Revision
}

func (f *Follower) adopt(body []byte) {
	f.head = f.want
	f.body = body
	f.opt.Adopt(f.head, body)
}

// jitter returns a random duration between half and one and a half times d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + f.opt.Rand()) * float64(d))
}
