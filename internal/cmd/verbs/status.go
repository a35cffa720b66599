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

// maxStatusCalls limits the concurrent status calls.
const maxStatusCalls = 32

const statusHelp = `Shows the state of the system as one node sees it: the manifest in force, the outcomes of version moves and the members. With --wait it returns when the named move has ended: with exit code 0 if it is done, 1 if it was reverted and 3 if it is still in progress after --limit.

Example: cicadahall status --peer 10.0.1.1:7001 --wait counter-v2`

type statusCommand struct {
	streams streams
	Peer    string        `long:"peer" required:"yes" description:"peer address of any node"`
	Wait    string        `long:"wait" description:"name of a version move to wait for"`
	Limit   time.Duration `long:"limit" default:"1h" description:"maximum time to wait for the move"`
	Output  string        `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
}

// moveStatus is the status of one version move.
type moveStatus struct {
	Name    ident.Move    `json:"name"`
	Service ident.Service `json:"service"`
	From    ident.Version `json:"from"`
	To      ident.Version `json:"to"`
	Outcome string        `json:"outcome"`
	Share   float64       `json:"share"`
	Reason  string        `json:"reason,omitempty"`
}

// memberStatus is the status of one member.
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

// systemStatus is the result of the status command.
type systemStatus struct {
	Node     ident.Node     `json:"node"`
	Revision ident.Revision `json:"revision"`
	Change   ident.Change   `json:"change"`
	Moves    []moveStatus   `json:"moves"`
	Members  []memberStatus `json:"members"`
}

var (
	errReverted   = errors.New("move was reverted")
	errInProgress = errors.New("move is still in progress")
)

// Execute prints the status. With --wait it first waits until the move has ended.
func (v *statusCommand) Execute([]string) error {
	pool := peer.NewPool(peer.Options{MaxControlBytes: maxStatusBytes})
	defer pool.Close()
	deadline := time.Now().Add(v.Limit)
	lastLine := ""
	for {
		s, err := fetchStatus(pool, v.Peer)
		if err != nil && (v.Wait == "" || time.Now().After(deadline)) {
			return err
		}
		if err == nil {
			st := newSystemStatus(s)
			code, err := v.moveResult(st)
			if code != exitUnknown || time.Now().After(deadline) {
				return v.printResult(st, code, err)
			}
			lastLine = v.printProgress(st, lastLine)
		}
		time.Sleep(pollInterval)
	}
}

// moveResult returns the exit code for the move of --wait, with an error if the
// move isn't done. The code is exitUnknown while the move is in progress, and
// exitDone without --wait.
func (v *statusCommand) moveResult(s systemStatus) (int, error) {
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
	return exitUnknown, oops.With("step", "wait", "peer", v.Peer).Wrapf(errInProgress, "%s", v.Wait)
}

func (v *statusCommand) printResult(s systemStatus, code int, err error) error {
	if v.Output == "json" {
		_ = json.NewEncoder(v.streams.out).Encode(s)
	} else {
		s.print(v.streams.out)
	}
	if err != nil {
		return failure{code: code, err: err}
	}
	return nil
}

// printProgress prints the state of the move of --wait if it differs from the
// last printed line. It returns the last printed line.
func (v *statusCommand) printProgress(s systemStatus, lastLine string) string {
	for _, m := range s.Moves {
		line := fmt.Sprintf("move %s: %s, share %.3f", m.Name, m.Outcome, m.Share)
		if string(m.Name) == v.Wait && line != lastLine {
			fmt.Fprintln(v.streams.err, line)
			return line
		}
	}
	return lastLine
}

func newSystemStatus(s *wirepb.StatusResponse) systemStatus {
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
	fmt.Fprintf(w, "manifest revision %d (change %s), according to %s\n\n", s.Revision, s.Change, s.Node)
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

// countInForce returns the number of reachable members and how many of them serve
// with at least the given revision. It calls each member, because the view that
// one member has of the others lags behind.
func countInForce(pool *peer.Pool, s *wirepb.StatusResponse, r ident.Revision) (adopted, nodes int) {
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	results := make(chan bool, len(s.GetMembers()))
	for _, m := range s.GetMembers() {
		state := member.State(m.GetState())
		if state == member.Unreachable || state == member.Left {
			continue
		}
		nodes++
		group.Go(func() error {
			a, err := fetchStatus(pool, m.GetRpc())
			results <- err == nil && ident.Revision(a.GetHead().GetRevision()) >= r
			return nil
		})
	}
	_ = group.Wait()
	close(results)
	for ok := range results {
		if ok {
			adopted++
		}
	}
	return adopted, nodes
}
