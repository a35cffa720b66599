package verbs

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/move"
)

// statusFanout bounds the nodes that are asked at the same time.
const statusFanout = 32

const statusHelp = `Shows what one node knows of the whole system: the manifest in force, the outcome of version moves and the members. With --wait it returns when the named move is final: with 0 if it is done, with 1 if it was reverted and with 3 if it is still open after --limit.

Example: cicadahall status --peer 10.0.1.1:7001 --wait counter-v2`

type statusVerb struct {
	s      streams
	Peer   string        `long:"peer" required:"yes" description:"peer address of any node"`
	Wait   string        `long:"wait" description:"name of a version move to wait for"`
	Limit  time.Duration `long:"limit" default:"1h" description:"longest wait"`
	Output string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result"`
}

// moveStatus is one version move in the result.
type moveStatus struct {
	Name    ident.Move    `json:"name"`
	Service ident.Service `json:"service"`
	From    ident.Version `json:"from"`
	To      ident.Version `json:"to"`
	Outcome string        `json:"outcome"`
	Share   float64       `json:"share"`
	Reason  string        `json:"reason,omitempty"`
}

// memberStatus is one member in the result.
type memberStatus struct {
	Node    ident.Node    `json:"node"`
	State   string        `json:"state"`
	Ready   bool          `json:"ready"`
	Domain  ident.Domain  `json:"domain"`
	Region  ident.Region  `json:"region"`
	Service ident.Service `json:"service"`
	Version ident.Version `json:"version"`
	Slots   ident.Slots   `json:"slots"`
}

// systemStatus is the result of the verb.
type systemStatus struct {
	Node     ident.Node     `json:"node"`
	Revision ident.Revision `json:"revision"`
	Change   ident.Change   `json:"change"`
	Moves    []moveStatus   `json:"moves"`
	Members  []memberStatus `json:"members"`
}

var (
	errReverted = errors.New("move was reverted")
	errOpen     = errors.New("move is still open")
)

// Execute prints the status, after the wait if one is asked for.
func (v *statusVerb) Execute([]string) error {
	pool := peer.NewPool(peer.Options{Body: statusBody})
	defer pool.Close()
	end := time.Now().Add(v.Limit)
	shown := ""
	for {
		s, err := askStatus(pool, v.Peer)
		if err != nil && (v.Wait == "" || time.Now().After(end)) {
			return err
		}
		if err == nil {
			st := statusOf(s)
			code, err := v.final(st)
			if code != exitUnknown || time.Now().After(end) {
				return v.finish(st, code, err)
			}
			shown = v.progress(st, shown)
		}
		time.Sleep(pollInterval)
	}
}

// final returns the exit code, or exitUnknown while the move is open.
func (v *statusVerb) final(s systemStatus) (int, error) {
	if v.Wait == "" {
		return exitDone, nil
	}
	for _, m := range s.Moves {
		if string(m.Name) != v.Wait {
			continue
		}
		switch m.Outcome {
		case move.Done.String():
			return exitDone, nil
		case move.Reverted.String():
			return exitFailed, oops.With("step", "wait", "peer", v.Peer).Wrapf(errReverted, "%s: %s", m.Name, m.Reason)
		}
	}
	return exitUnknown, oops.With("step", "wait", "peer", v.Peer).Wrapf(errOpen, "%s", v.Wait)
}

func (v *statusVerb) finish(s systemStatus, code int, err error) error {
	if v.Output == "json" {
		_ = json.NewEncoder(v.s.out).Encode(s)
	} else {
		s.print(v.s.out)
	}
	if err != nil {
		return failure{code: code, err: err}
	}
	return nil
}

// progress shows the share of the move when it has changed.
func (v *statusVerb) progress(s systemStatus, shown string) string {
	for _, m := range s.Moves {
		line := fmt.Sprintf("move %s: %s, share %.3f", m.Name, m.Outcome, m.Share)
		if string(m.Name) == v.Wait && line != shown {
			fmt.Fprintln(v.s.err, line)
			return line
		}
	}
	return shown
}

func statusOf(s *wirepb.StatusResponse) systemStatus {
	out := systemStatus{
		Node:     ident.Node(s.GetNode()),
		Revision: ident.Revision(s.GetHead().GetRevision()),
		Change:   ident.Change(s.GetHead().GetChange()),
		Moves:    []moveStatus{},
		Members:  []memberStatus{},
	}
	for _, m := range s.GetMoves() {
		out.Moves = append(out.Moves, moveStatus{
			Name:    ident.Move(m.GetMove()),
			Service: ident.Service(m.GetService()),
			From:    ident.Version(m.GetFrom()),
			To:      ident.Version(m.GetTo()),
			Outcome: m.GetOutcome(),
			Share:   m.GetShare(),
			Reason:  m.GetReason(),
		})
	}
	for _, r := range s.GetMembers() {
		out.Members = append(out.Members, memberStatus{
			Node:    ident.Node(r.GetNode()),
			State:   member.State(r.GetState()).String(),
			Ready:   r.GetReady() != 0,
			Domain:  ident.Domain(r.GetDomain()),
			Region:  ident.Region(r.GetRegion()),
			Service: ident.Service(r.GetService()),
			Version: ident.Version(r.GetVersion()),
			Slots:   ident.Slots(r.GetSlots()),
		})
	}
	return out
}

func (s systemStatus) print(w io.Writer) {
	fmt.Fprintf(w, "manifest revision %d (change %s), as seen by %s\n\n", s.Revision, s.Change, s.Node)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MOVE\tSERVICE\tFROM\tTO\tOUTCOME\tSHARE\tREASON")
	for _, m := range s.Moves {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.3f\t%s\n", m.Name, m.Service, m.From, m.To, m.Outcome, m.Share, m.Reason)
	}
	_ = t.Flush()
	fmt.Fprintln(w)
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NODE\tSTATE\tREADY\tDOMAIN\tSERVICE\tVERSION\tSLOTS")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%t\t%s\t%s\t%s\t%d\n", m.Node, m.State, m.Ready, m.Domain, m.Service, m.Version, m.Slots)
	}
	_ = t.Flush()
}

// inForce asks every member that is expected to answer for its manifest and
// counts those that serve with at least the given revision. The members' own
// answers are asked for, since a member's view of the others is always late.
func inForce(pool *peer.Pool, s *wirepb.StatusResponse, r ident.Revision) (force, nodes int) {
	var group errgroup.Group
	group.SetLimit(statusFanout)
	results := make(chan bool, len(s.GetMembers()))
	for _, m := range s.GetMembers() {
		state := member.State(m.GetState())
		if state == member.Unreachable || state == member.Left {
			continue
		}
		nodes++
		group.Go(func() error {
			a, err := askStatus(pool, m.GetRpc())
			results <- err == nil && ident.Revision(a.GetHead().GetRevision()) >= r
			return nil
		})
	}
	_ = group.Wait()
	close(results)
	for ok := range results {
		if ok {
			force++
		}
	}
	return force, nodes
}
