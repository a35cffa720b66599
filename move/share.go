package move

import "time"

const (
	// smallShare bounds the new version until the evidence suffices. It is
	// the most that a version that is bad from the start may get (P4).
	smallShare = 0.005
	// controlShare is the least share that the old version keeps until the
	// outcome, because only concurrent requests are compared. At 0.25, 6 of 24 late
	// slow versions took longer than 2 s to stop at 80 requests a second.
	controlShare = 0.4
	// needShare is the evidence that allows more than smallShare, relative to
	// the requests expected in the whole move. The share then grows with the
	// square of the evidence, so that at five times the need, when all of
	// P4's 0.5 % is used up, it is at 12.5 %.
	needShare = 0.001
	// needLeast and needMost bound the need in requests. Fewer than 30 don't
	// tell a version with 10 % failures from a good one; more than 150 only
	// delay services with many requests.
	needLeast, needMost = 30, 150

	// sickErrors, sickLeast and sickLevels define a sick cohort in a wide
	// window: 5 % errors and at least 2, or latencies up by 2 buckets, a
	// factor of 2.25.
	sickErrors = 0.05
	sickLeast  = 2
	sickLevels = 2
	// sickRequests is the least number of requests of a cohort to judge it.
	sickRequests = 5
)

// planned returns the share in wide window w: the least of the stage's share,
// what the evidence allows, and the control group's limit. While both versions
// are sick, it stays at the stage at which that began.
func (m *Mover) planned(w int) float64 {
	sick := m.sickWindows()
	at := w
	if first, ok := sickSince(sick, w); ok {
		at = first
	}
	return min(m.opt.Plan.stage(at), m.earned(w, sick), 1-controlShare)
}

// target is the share at which a move has been through all its stages.
func (p Plan) target() float64 {
	return min(p.Stages[len(p.Stages)-1].Share, 1-controlShare)
}

// stage returns the share of the stage at the begin of wide window w.
func (p Plan) stage(w int) float64 {
	share := 0.0
	for _, s := range p.Stages {
		if time.Duration(w)*p.wideWindow() >= s.After {
			share = s.Share
		}
	}
	return share
}

// earned returns the share that the evidence before wide window w allows.
// Requests in windows in which both versions were sick prove nothing.
func (m *Mover) earned(w int, sick sickness) float64 {
	if w == 0 {
		return smallShare
	}
	total, clean := 0, 0
	for i := range w {
		l := &m.loads[i]
		total += l[old].requests + l[fresh].requests
		if !sick[i] {
			clean += l[fresh].requests
		}
	}
	expected := float64(total) * wideCount / float64(w)
	need := min(needMost, max(needLeast, needShare*expected))
	ratio := float64(clean) / need
	return smallShare * max(1, ratio*ratio)
}

// sickness tells for each wide window whether both versions were sick in it.
type sickness [wideCount]bool

// sickWindows judges every wide window. A sick old version alone doesn't stop
// a move, which may be the cure. Latencies are compared with those of the old
// version in all earlier windows.
func (m *Mover) sickWindows() (s sickness) {
	var base load
	for i := range m.loads {
		o, f := m.loads[i][old], m.loads[i][fresh]
		known := base.requests-base.errors >= sickRequests
		slow := known && o.mean() > base.mean()+sickLevels && f.mean() > base.mean()+sickLevels
		enough := o.requests >= sickRequests && f.requests > 0
		s[i] = enough && (slow || failing(o) && failing(f))
		base.requests += o.requests
		base.errors += o.errors
		base.level += o.level
	}
	return s
}

func failing(l load) bool {
	return l.errors >= sickLeast && float64(l.errors) > sickErrors*float64(l.requests)
}

// sickSince returns the first window of the run of sick windows that reaches
// w or the window before it.
func sickSince(s sickness, w int) (int, bool) {
	first := w + 1
	for i := w; i >= 0; i-- {
		if s[i] {
			first = i
		} else if i < w {
			break
		}
	}
	return first, first <= w
}
