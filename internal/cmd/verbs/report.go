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

const reportHelp = `Prints the work of each service, summed over all node starts that have rows in the table service, and then the gaps: work that the report does not include. With --peer it also reads the latest counts from the running nodes, which are not in the table yet.

Example: cicadahall report --table http://10.0.0.5:7100 --peer 10.0.1.1:7001`

type reportCommand struct {
	streams streams
	Table   string `long:"table" required:"yes" description:"base URL of the table service"`
	Peer    string `long:"peer" description:"peer address of any node; the latest counts are read from all members that it knows"`
	Output  string `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
}

// Execute prints the report from the rows of the table service and, with --peer,
// from the snapshots that the nodes hold.
func (v *reportCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	r := work.NewReport()
	// With --peer, an outage of the table service is reported as a gap and not as a
	// failure, because the nodes may still hold the same snapshots.
	tableErr := r.Read(ctx, plat.NewTable(v.Table))
	if v.Peer != "" {
		if err := v.addSnapshots(r); err != nil {
			return err
		}
	}
	if tableErr != nil && v.Peer == "" {
		return tableErr
	}
	if tableErr != nil {
		fmt.Fprintln(v.streams.err, "gap: table service can't be read:", tableErr)
	}
	if v.Output == "json" {
		return json.NewEncoder(v.streams.out).Encode(r)
	}
	return r.WriteText(v.streams.out)
}

// addSnapshots adds the snapshots that the members hold.
func (v *reportCommand) addSnapshots(r *work.Report) error {
	pool := peer.NewPool(peer.Options{MaxControlBytes: maxStatusBytes})
	defer pool.Close()
	s, err := fetchStatus(pool, v.Peer)
	if err != nil {
		return err
	}
	for _, m := range s.GetMembers() {
		r.Expect(work.NodeStart{Node: ident.Node(m.GetNode()), Start: ident.Start(m.GetStart())})
		state := member.State(m.GetState())
		if state == member.Unreachable || state == member.Left {
			continue
		}
		if err := addNodeSnapshots(r, pool, m.GetRpc()); err != nil {
			fmt.Fprintln(v.streams.err, "gap: a node did not answer:", err)
		}
	}
	return nil
}

func addNodeSnapshots(r *work.Report, pool *peer.Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	a, err := pool.ControlClient(address).Held(ctx, &wirepb.HeldRequest{})
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
