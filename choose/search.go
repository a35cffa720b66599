package choose

import (
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// normalServiceRatio is the ratio to the mean service time up to which a
	// member isn't slow: a mean over some ten exponential times varies by a third.
	normalServiceRatio = 1.5
	// slowWeight is the load equivalent of one unit of slowness.
	slowWeight = 0.5
	// trialScore makes a failing member whose pause is over win its tier. Its own
	// score would lose to every healthy member, so that it would never return.
	trialScore = -1
	// minFreeShare is the free part of a slot that a member with room must have.
	minFreeShare = 0.5
)

// rank orders candidates. A lower rank is preferred whatever the score.
type rank uint8

const (
	rankFree rank = iota
	rankFull
	rankRamping // ramping up and not drawn for this request
	rankLastResort
	rankNone
)

// search is the state of one Choose call.
type search struct {
	query Query
	now   time.Time
	best  *memberState
	rank  rank
	score float64
}

// Choose returns the member for a request. It reports false if no member may
// be used. It prefers the nearest tier that has room; if none has, it returns
// the least loaded of the compared members with HasRoom unset.
func (c *Chooser) Choose(q Query, now time.Time) (Pick, bool) {
	co := c.cohorts[cohortKey{q.Service, q.Version}]
	if co == nil {
		return Pick{}, false
	}
	s := search{query: q, now: now, rank: rankNone}
	for t := range co.tiers {
		c.sample(&s, co.tiers[t])
		if s.rank == rankFree && !q.MayQueue {
			break
		}
	}
	if q.MayQueue {
		c.considerTried(&s)
	}
	if s.rank > rankFull {
		c.scan(&s, co)
	}
	if s.best == nil {
		return Pick{}, false
	}
	return Pick{Member: s.best.member, HasRoom: s.rank == rankFree, LastResort: s.rank == rankLastResort}, true
}

// considerTried compares the members that have refused the request.
func (c *Chooser) considerTried(s *search) {
	for _, n := range s.query.Tried {
		st := c.states[n]
		if st == nil || st.member.State == Leaving || st.member.Service != s.query.Service {
			continue
		}
		if v := s.query.Version; v == "" || v == st.member.Version {
			c.consider(s, st)
		}
	}
}

// sample compares a few distinct random members of one tier. It uses Floyd's
// algorithm: each step draws from one more position and takes the last position
// if the drawn one is already taken.
func (c *Chooser) sample(s *search, states []*memberState) {
	n := len(states)
	if n <= c.options.Samples {
		for _, st := range states {
			c.consider(s, st)
		}
		return
	}
	var taken [maxSamples]int
	for k := range c.options.Samples {
		end := n - c.options.Samples + k
		i := c.randomIndex(end + 1)
		if slices.Contains(taken[:k], i) {
			i = end
		}
		taken[k] = i
		c.consider(s, states[i])
	}
}

// scan looks for a usable member that sampling missed, starting at a random
// position, so that no request is refused while a usable member exists.
func (c *Chooser) scan(s *search, co *cohort) {
	for _, states := range co.tiers {
		n := len(states)
		if n == 0 {
			continue
		}
		offset := c.randomIndex(n)
		for i := range n {
			c.consider(s, states[(offset+i)%n])
			if s.rank <= rankFull {
				return
			}
		}
	}
}

// consider replaces the best candidate if st is better.
func (c *Chooser) consider(s *search, st *memberState) {
	if s.excluded(st.member.Node) {
		return
	}
	weight := c.options.DomainWeight(st.member.Domain, s.now)
	if weight <= 0 {
		return
	}
	limit := st.limit()
	inflight := st.estimateInflight(limit, s.now)
	r := rankFull
	switch {
	case st.lastResort(s.now):
		r = rankLastResort
	case !c.drawRampShare(st, weight, limit):
		r = rankRamping
	case st.reportsSlowdown(s.now):
	case inflight+minFreeShare <= limit:
		r = rankFree
	}
	score := inflight/limit + slowWeight*st.slowness()
	if st.reportsSlowdown(s.now) {
		score += float64(st.hint.SlowdownPercent) / SlowdownThresholdPercent
	}
	if s.query.MayQueue {
		score = (inflight + 1) / limit * (1 + st.slowness())
		if st.reportsSlowdown(s.now) {
			score *= float64(st.hint.SlowdownPercent) / SlowdownThresholdPercent
		}
	}
	if st.failureRate >= failureThreshold && r == rankFree {
		score = trialScore
	}
	if r < s.rank || r == s.rank && score < s.score {
		s.best, s.rank, s.score = st, r, score
	}
}

// drawRampShare reports whether a member that is ramping up takes part in this
// choice. The probability is its domain's weight times the share of its slots
// that its exit admits, so that load grows with capacity and not with the number
// of entries.
func (c *Chooser) drawRampShare(st *memberState, weight, limit float64) bool {
	share := weight
	if slots := float64(st.member.Slots); limit < slots {
		share *= limit / slots
	}
	return share >= 1 || c.randomFloat() < share
}

func (s *search) excluded(node ident.Node) bool {
	return !s.query.MayQueue && slices.Contains(s.query.Tried, node)
}

// randomIndex returns a uniform index below n.
func (c *Chooser) randomIndex(n int) int {
	return int(uint64(uint32(c.options.Rand())) * uint64(n) >> 32)
}

// randomFloat returns a uniform number in [0, 1).
func (c *Chooser) randomFloat() float64 {
	return float64(c.options.Rand()>>11) / (1 << 53)
}
