package choose

import (
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// normalSpread is the ratio to the mean service time below which a member
	// isn't called slow: a mean over some ten exponential times varies by a third.
	normalSpread = 1.5
	// slowWeight is the load that one unit of slowness counts as.
	slowWeight = 0.5
	// trialScore makes a failing member whose pause is over win its tier, because
	// its own score would lose to every healthy member and it would never return.
	trialScore = -1
	// spare is the free part of a slot that a member must seem to have.
	spare = 0.5
)

// rank orders candidates; a lower rank is better whatever the score.
type rank uint8

const (
	free rank = iota
	full
	held // ramping up and not drawn this time
	last
	none
)

// search is the state of one Choose call.
type search struct {
	query Query
	now   time.Time
	best  *peer
	rank  rank
	score float64
}

// Choose returns the member for a request. It reports false if no member may
// be used. The nearest tier that has room is preferred; if none has, the
// least loaded member that was looked at is returned without Room.
func (c *Chooser) Choose(q Query, now time.Time) (Pick, bool) {
	g := c.groups[cohort{q.Service, q.Version}]
	if g == nil {
		return Pick{}, false
	}
	s := search{query: q, now: now, rank: none}
	for t := range g.tiers {
		c.sample(&s, g.tiers[t])
		if s.rank == free && !q.Last {
			break
		}
	}
	if q.Last {
		c.revisit(&s)
	}
	if s.rank > full {
		c.scan(&s, g)
	}
	if s.best == nil {
		return Pick{}, false
	}
	return Pick{Member: s.best.member, Room: s.rank == free, Doubtful: s.rank == last}, true
}

// revisit compares the members that have refused the request.
func (c *Chooser) revisit(s *search) {
	for _, n := range s.query.Tried {
		p := c.peers[n]
		if p == nil || p.member.State == Leaving || p.member.Service != s.query.Service {
			continue
		}
		if v := s.query.Version; v == "" || v == p.member.Version {
			c.consider(s, p)
		}
	}
}

// sample looks at a few different random members of one tier (Floyd's
// algorithm: each step draws from one more position and takes the last
// position if the drawn one is taken).
func (c *Chooser) sample(s *search, peers []*peer) {
	n := len(peers)
	if n <= c.options.Samples {
		for _, p := range peers {
			c.consider(s, p)
		}
		return
	}
	var taken [maxSamples]int
	for k := range c.options.Samples {
		end := n - c.options.Samples + k
		i := c.index(end + 1)
		if slices.Contains(taken[:k], i) {
			i = end
		}
		taken[k] = i
		c.consider(s, peers[i])
	}
}

// scan looks for any member that sampling missed, from a random position on,
// so that no request is refused while a usable member exists.
func (c *Chooser) scan(s *search, g *group) {
	for _, peers := range g.tiers {
		n := len(peers)
		if n == 0 {
			continue
		}
		from := c.index(n)
		for i := range n {
			c.consider(s, peers[(from+i)%n])
			if s.rank <= full {
				return
			}
		}
	}
}

// consider replaces the best candidate if p is better.
func (c *Chooser) consider(s *search, p *peer) {
	if s.excluded(p.member.Node) {
		return
	}
	weight := c.options.Weight(p.member.Domain, s.now)
	if weight <= 0 {
		return
	}
	limit := p.limit()
	busy := p.busy(limit, s.now)
	r := full
	switch {
	case p.last(s.now):
		r = last
	case !c.drawn(p, weight, limit):
		r = held
	case p.strained(s.now):
	case busy+spare <= limit:
		r = free
	}
	score := busy/limit + slowWeight*p.slowness()
	if p.strained(s.now) {
		score += float64(p.hint.Slow) / SlowPercent
	}
	if s.query.Last {
		score = (busy + 1) / limit * (1 + p.slowness())
		if p.strained(s.now) {
			score *= float64(p.hint.Slow) / SlowPercent
		}
	}
	if p.failing >= failLimit && r == free {
		score = trialScore
	}
	if r < s.rank || r == s.rank && score < s.score {
		s.best, s.rank, s.score = p, r, score
	}
}

// drawn reports whether a member that is ramping up takes part. The chance is
// its domain's weight times the share of its slots that its exit admits, so
// that load grows with capacity and not with the number of entries.
func (c *Chooser) drawn(p *peer, weight, limit float64) bool {
	share := weight
	if slots := float64(p.member.Slots); limit < slots {
		share *= limit / slots
	}
	return share >= 1 || c.uniform() < share
}

func (s *search) excluded(node ident.Node) bool {
	return !s.query.Last && slices.Contains(s.query.Tried, node)
}

// index returns a uniform index below n.
func (c *Chooser) index(n int) int {
	return int(uint64(uint32(c.options.Rand())) * uint64(n) >> 32)
}

// uniform returns a uniform number in [0, 1).
func (c *Chooser) uniform() float64 {
	return float64(c.options.Rand()>>11) / (1 << 53)
}
