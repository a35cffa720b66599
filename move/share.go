package move

import "time"

const (
	// initialShare bounds the new version's share until the evidence suffices. A
	// version that is bad from the start may get at most 0.5 % of the requests.
	initialShare = 0.005
	// controlShare is the least share that the old version keeps until the
	// outcome is known, because only concurrent requests are compared. At 0.25, 6
	// of 24 versions that became slow late in the move took longer than 2 s to be
	// stopped at 80 requests a second.
	controlShare = 0.4
	// evidenceShare is the number of requests on the new version that allows more
	// than initialShare, relative to the requests expected in the whole move. The
	// share then grows with the square of the evidence: at five times that
	// number, when the 0.5 % allowed for a bad version are used up, it is 12.5 %.
	evidenceShare = 0.001
	// minEvidence and maxEvidence bound the required number of requests. Fewer
	// than 30 don't distinguish a version with 10 % failures from a good one;
	// more than 150 only delay moves of services with many requests.
	minEvidence, maxEvidence = 30, 150

	// degradedErrorRate, degradedMinErrors and degradedBuckets define a degraded
	// cohort in a wide window: more than 5 % errors and at least 2, or latencies
	// up by more than 2 buckets, a factor of 2.25.
	degradedErrorRate = 0.05
	degradedMinErrors = 2
	degradedBuckets   = 2
	// degradedMinRequests is the least number of the old version's requests that
	// a window needs to be classified, and of its earlier latencies to compare
	// with.
	degradedMinRequests = 5
)

// plannedShare returns the share in wide window w: the least of the stage's
// share, the share that the evidence allows, and the limit that leaves
// controlShare to the old version. While both versions are degraded, the share
// stays at the stage at which the degradation began.
func (m *Mover) plannedShare(w int) float64 {
	degraded := m.findDegraded()
	window := w
	if first, ok := degradedSince(degraded, w); ok {
		window = first
	}
	return min(m.options.Plan.stageShare(window), m.evidenceLimit(w, degraded), 1-controlShare)
}

// targetShare is the share of a move that has passed all its stages.
func (p Plan) targetShare() float64 {
	return min(p.Stages[len(p.Stages)-1].Share, 1-controlShare)
}

// stageShare returns the share of the stage at the beginning of wide window w.
func (p Plan) stageShare(w int) float64 {
	share := 0.0
	for _, s := range p.Stages {
		if time.Duration(w)*p.wideWindow() >= s.After {
			share = s.Share
		}
	}
	return share
}

// evidenceLimit returns the share that the evidence before wide window w allows.
// Requests in windows in which both versions were degraded don't count.
func (m *Mover) evidenceLimit(w int, degraded degradedWindows) float64 {
	if w == 0 {
		return initialShare
	}
	total, clean := 0, 0
	for i := range w {
		l := &m.wideTotals[i]
		total += l[baseline].requests + l[canary].requests
		if !degraded[i] {
			clean += l[canary].requests
		}
	}
	expected := float64(total) * wideWindows / float64(w)
	required := min(maxEvidence, max(minEvidence, evidenceShare*expected))
	ratio := float64(clean) / required
	return initialShare * max(1, ratio*ratio)
}

// degradedWindows reports for each wide window whether both versions were
// degraded in it.
type degradedWindows [wideWindows]bool

// findDegraded classifies every wide window. A degraded old version alone
// doesn't stop a move, because the new version may be the fix. Latencies are
// compared with those of the old version in all earlier windows.
func (m *Mover) findDegraded() (s degradedWindows) {
	var base cohortTotals
	for i := range m.wideTotals {
		oldTotals, newTotals := m.wideTotals[i][baseline], m.wideTotals[i][canary]
		hasHistory := base.requests-base.errors >= degradedMinRequests
		slow := hasHistory && oldTotals.mean() > base.mean()+degradedBuckets && newTotals.mean() > base.mean()+degradedBuckets
		enough := oldTotals.requests >= degradedMinRequests && newTotals.requests > 0
		s[i] = enough && (slow || failing(oldTotals) && failing(newTotals))
		base.requests += oldTotals.requests
		base.errors += oldTotals.errors
		base.bucketSum += oldTotals.bucketSum
	}
	return s
}

func failing(l cohortTotals) bool {
	return l.errors >= degradedMinErrors && float64(l.errors) > degradedErrorRate*float64(l.requests)
}

// degradedSince returns the first window of the run of degraded windows that
// reaches w or the window before it.
func degradedSince(degraded degradedWindows, w int) (int, bool) {
	first := w + 1
	for i := w; i >= 0; i-- {
		if degraded[i] {
			first = i
		} else if i < w {
			break
		}
	}
	return first, first <= w
}
