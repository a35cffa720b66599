package move

import (
	"encoding/json"
	"time"

	"github.com/cicadahall/cicadahall/store"
)

// Outcome is the final result of a move.
type Outcome uint8

const (
	// Open means that the outcome isn't known yet.
	Open Outcome = iota
	// Done means that the new version serves all requests.
	Done
	// Reverted means that the old version serves all requests.
	Reverted
)

// String returns the outcome as written in the final row.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case Reverted:
		return "reverted"
	default:
		return "open"
	}
}

const (
	// rowPrefix precedes the move's name in the key of the final row.
	rowPrefix = "move/"
	// rowFormat is the version of the final row's JSON.
	rowFormat = 1
	// defaultCommitSpread spreads the commits of 1,100 nodes to at most 220 a
	// second until gossip has delivered the outcome.
	defaultCommitSpread = 5 * time.Second
	// pollInterval is the mean time between reads of the final row while it is
	// missing.
	pollInterval = 10 * time.Second
	// latePollInterval is the mean time between calls once an outcome is to be
	// proposed, as after the deadline, when the old version serves all requests
	// until the row is read.
	latePollInterval = 3 * time.Second
	// callTimeout is the time after which a store call counts as lost.
	callTimeout = 5 * time.Second
	// minCommitTime is the least time that remains before the deadline when a
	// commit of "done" is sent.
	minCommitTime = time.Second
	// soakWindows is the number of wide windows at the target share before
	// "done", because a fault under full load takes time to show.
	soakWindows = 6
)

// finalRow is the JSON value of the final row.
type finalRow struct {
	Format  int    `json:"format"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
}

// decision is the state of the store calls that write and read the final row.
type decision struct {
	outcome Outcome
	// proposed is the outcome to propose; its commit is due at commitAt.
	proposed Outcome
	commitAt time.Time
	pollAt   time.Time
	// busyUntil is set while a store call is in flight. rereadRow requests a read
	// of the row after a commit whose answer was lost or that conflicted.
	busyUntil time.Time
	rereadRow bool
}

// Key returns the key of the final row.
func (m *Mover) Key() string {
	return rowPrefix + string(m.options.Plan.Move)
}

// Outcome returns the outcome, or Open.
func (m *Mover) Outcome() Outcome {
	return m.decision.outcome
}

// setOutcome sets the outcome; the first one is final.
func (m *Mover) setOutcome(o Outcome) {
	if m.decision.outcome == Open {
		m.decision.outcome = o
	}
}

// startDueCall starts the next store call for the final row, if one is due.
func (m *Mover) startDueCall(now time.Time) {
	d := &m.decision
	if d.outcome != Open || now.Before(m.options.Plan.Begin) || now.Before(d.busyUntil) {
		return
	}
	if d.pollAt.IsZero() {
		d.pollAt = now.Add(time.Duration(m.options.Rand() * float64(m.options.CommitSpread)))
	}
	if outcome := m.outcomeToPropose(now); outcome != d.proposed {
		d.proposed = outcome
		d.commitAt = now.Add(time.Duration(m.options.Rand() * float64(m.options.CommitSpread)))
	}
	switch {
	case d.rereadRow || !now.Before(d.pollAt):
		m.read(now)
	case d.proposed != Open && !now.Before(d.commitAt):
		m.propose(now)
	}
}

// read starts a read of the final row. Every Mover reads it soon after its first
// Tick, because a restarted node may have missed the outcome.
func (m *Mover) read(now time.Time) {
	interval := pollInterval
	if m.decision.proposed != Open {
		interval = latePollInterval
	}
	m.decision.pollAt = now.Add(m.jitter(interval))
	m.decision.busyUntil = now.Add(callTimeout)
	m.options.Read()
}

func (m *Mover) propose(now time.Time) {
	d := &m.decision
	value, err := json.Marshal(finalRow{Format: rowFormat, Outcome: d.proposed.String(), Reason: m.fault.Reason})
	if err != nil {
		return
	}
	p := Proposal{Outcome: d.proposed, Write: store.Write{Key: m.Key(), Value: value}}
	if d.proposed == Done {
		p.SendBefore = m.options.Plan.Deadline.Add(-maxClockSkew)
	}
	d.busyUntil = now.Add(callTimeout)
	d.commitAt = now.Add(m.jitter(latePollInterval))
	// The row is read after this call unless the answer reports success.
	d.rereadRow = true
	m.options.Commit(p)
}

// outcomeToPropose returns the outcome to propose at now, or Open. The margin of
// maxClockSkew keeps "done" before and "reverted" after the deadline by the
// clock of every node.
func (m *Mover) outcomeToPropose(now time.Time) Outcome {
	p := &m.options.Plan
	switch {
	case m.fault.Set, !now.Before(p.Deadline.Add(maxClockSkew)):
		return Reverted
	case now.Before(p.Deadline.Add(-maxClockSkew-minCommitTime)) && m.soaked(now):
		return Done
	}
	return Open
}

// soaked reports whether the last soakWindows windows before now were at the
// target share with requests on the new version, and the versions aren't both
// degraded at now.
func (m *Mover) soaked(now time.Time) bool {
	p := &m.options.Plan
	w := p.windowIndex(wide, now)
	if _, degraded := degradedSince(m.findDegraded(), w); degraded || w < soakWindows {
		return false
	}
	for i := w - soakWindows; i < w; i++ {
		atLastStage := p.stageShare(i) >= p.Stages[len(p.Stages)-1].Share
		if !atLastStage || m.plannedShare(i) < p.targetShare() || m.wideTotals[i][canary].requests == 0 {
			return false
		}
	}
	return true
}

// Committed handles the answer to a proposal, which may arrive late.
func (m *Mover) Committed(p Proposal, r store.Result, now time.Time) {
	d := &m.decision
	d.busyUntil = time.Time{}
	switch {
	case r.OK():
		m.setOutcome(p.Outcome)
	case r.Outcome == store.Refused && !r.Conflict:
		d.rereadRow = false
		d.commitAt = now.Add(m.jitter(latePollInterval))
	}
}

// Row handles the answer to a read. The outcome in the row is binding for every
// node.
func (m *Mover) Row(row store.Row, r store.Result, now time.Time) {
	d := &m.decision
	d.busyUntil = time.Time{}
	if !r.OK() {
		d.pollAt = now.Add(m.jitter(latePollInterval))
		if d.rereadRow {
			d.busyUntil = d.pollAt
		}
		return
	}
	d.rereadRow = false
	var v finalRow
	if row.Version == 0 || json.Unmarshal(row.Value, &v) != nil || v.Format != rowFormat {
		return
	}
	switch v.Outcome {
	case Done.String():
		m.setOutcome(Done)
	case Reverted.String():
		m.setOutcome(Reverted)
	}
}

// jitter returns a random duration between half and one and a half times d.
func (m *Mover) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + m.options.Rand()) * float64(d))
}
