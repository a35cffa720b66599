package move_test

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/move"
	"github.com/cicadahall/cicadahall/store"
)

func ExampleMover() {
	begin := time.Unix(1_800_000_000, 0)
	s := fakes.NewStore()
	var m *move.Mover
	m, err := move.New(move.Options{
		Plan: move.Plan{
			Move: "counter-v2", From: "v1", To: "v2", Begin: begin, Deadline: begin.Add(time.Hour),
			Stages: []move.Stage{{Share: 0.005}, {After: 10 * time.Minute, Share: 1}},
			Routes: []ident.Route{"lessons"},
		},
		Node: "counter-1", Start: 7, Rand: func() float64 { return 0 },
		Commit: func(p move.Proposal) {
			m.Committed(p, s.Table().Commit(context.Background(), []store.Write{p.Write}), begin)
		},
		Read: func() {
			row, r := s.Table().Get(context.Background(), m.Key())
			m.Row(row, r, begin)
		},
	})
	fmt.Println(err, m.Share(begin), m.VersionFor(42, begin))
	now := begin
	for range 10 {
		now = now.Add(250 * time.Millisecond)
		for range 10 {
			m.Observe(move.Sample{Route: "lessons", Version: "v1", Latency: 10 * time.Millisecond}, now)
			m.Observe(move.Sample{Route: "lessons", Version: "v2", Failed: true}, now)
		}
		m.Tick(now)
	}
	fmt.Println(m.Fault().Reason, m.Share(now), m.Outcome())
	// Output:
	// <nil> 0.005 v1
	// errors on all routes 0 reverted
}
