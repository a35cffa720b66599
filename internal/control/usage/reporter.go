package usage

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// settleDivisor sets the part of the time until a report is due that passes
	// before it is decided. Nodes send their counts once a second.
	settleDivisor = 4
	// lastCallPercent is the part of that time, in percent, after which a report
	// is decided although counts are missing. The rest is for the write of the
	// decision and the call.
	lastCallPercent = 85
	// rushedDivisor sets the part of that time that a new holder waits at least
	// for the counts of the other nodes.
	rushedDivisor = 10
	// maxPending bounds the reports that are decided but not accepted, and with
	// it the state row to about 60 KB. At 5 s a window they cover an outage of the
	// platform of 5 minutes.
	maxPending = 60
	// minSendPause and maxSendPause bound the pause after a failed call.
	minSendPause = 200 * time.Millisecond
	maxSendPause = 2 * time.Second
	stateFormat  = 1
)

// ErrState means that the state row can't be decoded.
var ErrState = errors.New("state row of the usage report can't be decoded")

// Report is a decided report. Body is sent as it is.
type Report struct {
	Window Window `json:"window"`
	Body   string `json:"body"`
}

// State is what the holder of the duty has decided. It is stored in one row,
// under the lease.
type State struct {
	Format int `json:"format"`
	// OffsetMillis is true time minus the store's clock. It is decided once.
	OffsetMillis *int64 `json:"offset_ms,omitempty"`
	// Through is the last window whose report is decided.
	Through *Window `json:"through,omitempty"`
	// Pending has the decided reports that weren't known to be accepted when the
	// row was written.
	Pending []Report `json:"pending,omitempty"`
}

// Encode encodes the value of the state row.
func (s State) Encode() ([]byte, error) {
	s.Format = stateFormat
	return json.Marshal(s)
}

// DecodeState decodes the value of the state row; a missing row is empty.
func DecodeState(value []byte) (State, error) {
	var s State
	if len(value) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(value, &s); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrState, err)
	}
	if s.Format != stateFormat {
		return State{}, fmt.Errorf("%w: format %d", ErrState, s.Format)
	}
	return s, nil
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	// Length is the length of a window, Late the time from its end to when its
	// report is due.
	Length, Late time.Duration
	// Rate is the number of calls per second that the platform accepts.
	Rate float64
	// Rand returns a random number in [0, 1) that spreads retries.
	Rand func() float64
}

// View is what the holder knows at one moment.
type View struct {
	// Now is on the clock of this process, True is true time.
	Now, True time.Time
	// HeldFor is how long this node has been able to take counts: since it became
	// the holder and true time is agreed.
	HeldFor time.Duration
	Table   *Table
	// Responds reports whether a node is a member that should respond.
	Responds func(ident.Node) bool
}

// ReporterActionKind is the kind of a ReporterAction.
type ReporterActionKind uint8

const (
	// ReporterWait means that there is nothing to do now.
	ReporterWait ReporterActionKind = iota
	// ReporterDecide means that the counts of Window are to be stored by
	// StateWith, and RecordState called once that is done.
	ReporterDecide
	// ReporterSend means that Report is to be sent.
	ReporterSend
)

// ReporterAction is what the holder has to do next.
type ReporterAction struct {
	Kind   ReporterActionKind
	Window Window
	Counts map[ident.Workspace]uint64
	Report Report
}

// Reporter decides the report of each window and schedules the calls. A pure state
// machine of the holder; each new holder starts from the stored State.
type Reporter struct {
	options ReporterOptions
	state   State
	// settled has the pending reports that need no further call.
	settled map[Window]bool
	// passed is the last window that is over and had no counts.
	passed   Window
	failures int
	nextSend time.Time
}

// NewReporter returns a Reporter that continues from a stored state.
func NewReporter(o ReporterOptions, s State) *Reporter {
	return &Reporter{options: o, state: s, settled: map[Window]bool{}}
}

// RecordState replaces the state by the one that the store is known to hold.
func (r *Reporter) RecordState(s State) { r.state = s }

// Next returns what to do. Decided reports are sent first, oldest first.
func (r *Reporter) Next(v View) ReporterAction {
	if !v.Now.Before(r.nextSend) {
		for _, report := range r.state.Pending {
			if !r.settled[report.Window] {
				return ReporterAction{Kind: ReporterSend, Window: report.Window, Report: report}
			}
		}
	}
	for {
		after := r.passed
		if r.state.Through != nil {
			after = max(after, *r.state.Through)
		}
		w, ok := v.Table.First(after)
		if !ok || !r.ready(w, v) {
			return ReporterAction{}
		}
		if counts := v.Table.Sum(w); len(counts) > 0 {
			return ReporterAction{Kind: ReporterDecide, Window: w, Counts: counts}
		}
		r.passed = w
	}
}

// ready reports whether the counts of a window are to be decided. Once decided they
// can't be corrected, so a holder waits for all nodes until shortly before the
// report is due.
func (r *Reporter) ready(w Window, v View) bool {
	age := v.True.Sub(w.End(r.options.Length))
	settle := r.options.Late / settleDivisor
	switch {
	case age < settle:
		return false
	case age >= r.options.Late*lastCallPercent/100 && age < r.options.Late && v.HeldFor >= r.options.Late/rushedDivisor:
		return true
	case v.HeldFor < settle:
		return false
	default:
		return age >= r.options.Late || !v.Table.Incomplete(w, v.Responds)
	}
}

// StateWith returns the state to store after a report is decided. It drops reports
// that need no further call, and the oldest ones beyond maxPending, whose number
// it returns.
func (r *Reporter) StateWith(report Report) (next State, dropped int) {
	next = r.State()
	next.Pending = append(next.Pending, report)
	if dropped = len(next.Pending) - maxPending; dropped > 0 {
		next.Pending = next.Pending[dropped:]
	}
	next.Through = &report.Window
	return next, max(0, dropped)
}

// State returns the state without the reports that need no further call.
func (r *Reporter) State() State {
	next := r.state
	next.Pending = slices.DeleteFunc(slices.Clone(r.state.Pending), func(p Report) bool { return r.settled[p.Window] })
	return next
}

// RecordSettled records that a report was accepted, or refused for good. The next
// call may follow at the platform's rate.
func (r *Reporter) RecordSettled(w Window, now time.Time) {
	r.settled[w] = true
	r.failures = 0
	r.nextSend = now.Add(time.Duration(float64(time.Second) / r.options.Rate))
	for old := range r.settled {
		if old <= w-2*maxPending {
			delete(r.settled, old)
		}
	}
}

// RecordFailure records that a call failed and that the platform asked to wait for
// retryAfter, which may be 0.
func (r *Reporter) RecordFailure(retryAfter time.Duration, now time.Time) {
	pause := min(maxSendPause, minSendPause<<min(r.failures, 10))
	r.failures++
	pause = pause/2 + time.Duration(r.options.Rand()*float64(pause)/2)
	r.nextSend = now.Add(max(pause, min(retryAfter, r.options.Late)))
}
