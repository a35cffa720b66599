package verbs

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/work"
)

const reportHelp = `Prints which services carried which load, summed over all node starts since the rows of the table service begin, and then the gaps: parts of the work that the report does not contain. With --peer it also asks the running nodes, whose latest counts are not in the table yet.

Example: cicadahall report --table http://10.0.0.5:7100 --peer 10.0.1.1:7001`

type reportVerb struct {
	s      streams
	Table  string `long:"table" required:"yes" description:"base URL of the table service"`
	Peer   string `long:"peer" description:"peer address of any node; all members it knows are asked for their latest counts"`
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result"`
}

// Execute merges the rows of the table service with what the nodes hold.
func (v *reportVerb) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeLimit)
	defer cancel()
	r := work.NewReport()
	// An outage of the table service leaves a gap, not a wrong sum; the nodes
	// may still hold what is in it.
	tableErr := r.Read(ctx, plat.NewTable(v.Table))
	if v.Peer != "" {
		if err := v.ask(r); err != nil {
			return err
		}
	}
	if tableErr != nil && v.Peer == "" {
		return tableErr
	}
	if tableErr != nil {
		fmt.Fprintln(v.s.err, "gap: the table service can't be read:", tableErr)
	}
	if v.Output == "json" {
		return json.NewEncoder(v.s.out).Encode(r)
	}
	return r.WriteText(v.s.out)
}

// ask adds the snapshots that the members hold.
func (v *reportVerb) ask(r *work.Report) error {
	pool := peer.NewPool(peer.Options{Body: statusBody})
	defer pool.Close()
	s, err := askStatus(pool, v.Peer)
	if err != nil {
		return err
	}
	for _, m := range s.GetMembers() {
		r.Expect(work.Run{Node: ident.Node(m.GetNode()), Start: ident.Start(m.GetStart())})
		state := member.State(m.GetState())
		if state == member.Unreachable || state == member.Left {
			continue
		}
		if err := addHeld(r, pool, m.GetRpc()); err != nil {
			fmt.Fprintln(v.s.err, "gap: a node did not answer:", err)
		}
	}
	return nil
}

func addHeld(r *work.Report, pool *peer.Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusLimit)
	defer cancel()
	a, err := pool.Client(address).Held(ctx, &wirepb.HeldRequest{})
	if err != nil {
		return err
	}
	for _, b := range a.GetSnapshots() {
		s, err := work.Decode(b)
		if err != nil {
			return err
		}
		r.Add(s)
	}
	return nil
}
