package chaos

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// maxBody is the largest body of a request or response, in bytes.
const maxBody = 1 << 20

// Entry is an entry that runs in the test process. It reaches the exits of the
// real nodes through relays. The settings of a node can't insert relays, because
// nodes announce the address that they listen on to each other.
type Entry struct {
	Relays map[ident.Node]*Relay

	entry   *entry.Entry
	pool    *peer.Pool
	server  *httptest.Server
	targets []entry.Target
}

// NewEntry returns an entry whose members are all workers of the system.
func (s *System) NewEntry(seed uint64) (*Entry, error) {
	e := &Entry{Relays: map[ident.Node]*Relay{}, pool: peer.NewPool(peer.Options{MaxBodyBytes: maxBody})}
	random := rand.New(rand.NewPCG(seed, 2))
	locked := make(chan struct{}, 1)
	e.entry = entry.New(entry.Options{
		Node:         "test",
		MaxBodyBytes: maxBody,
		MaxInflight:  1000,
		Rand: func() uint64 {
			locked <- struct{}{}
			defer func() { <-locked }()
			return random.Uint64()
		},
		DomainWeight:  func(ident.Domain, time.Time) float64 { return 1 },
		SelectVersion: func(ident.Service, uint64, time.Time) ident.Version { return "v1" },
		Peers:         entry.Peers{Call: e.pool.Call, Resolve: e.pool.Resolve, CloseIdle: e.pool.CloseIdle},
		Emit:          func(event.Code, ...event.Field) {},
	})
	e.server = httptest.NewServer(e.entry)
	body, err := os.ReadFile(filepath.Join(s.Dir, "manifest-1.json"))
	if err != nil {
		return e, err
	}
	m, err := spec.ParseManifest("manifest", body)
	if err != nil {
		return e, err
	}
	e.entry.SetCatalog(entry.NewCatalog(m))
	return e, e.addMembers(s)
}

// addMembers gets the members from one node and creates a relay for each of them.
func (e *Entry) addMembers(s *System) error {
	var a *wirepb.StatusResponse
	err := s.WaitUntil("all members known", func() bool {
		var err error
		a, err = e.pool.ControlClient(s.Instances[0].Peers).Status(context.Background(), &wirepb.StatusRequest{})
		ready := 0
		for _, m := range a.GetMembers() {
			ready += int(m.GetReady())
		}
		return err == nil && ready == len(s.Instances)
	})
	if err != nil {
		return err
	}
	for _, m := range a.GetMembers() {
		r, err := NewRelay(m.GetRpc())
		if err != nil {
			return err
		}
		node := ident.Node(m.GetNode())
		e.Relays[node] = r
		e.targets = append(e.targets, entry.Target{
			Member: choose.Member{
				Node:    node,
				Service: ident.Service(m.GetService()),
				Version: ident.Version(m.GetVersion()),
				Slots:   ident.Slots(m.GetSlots()),
			},
			Address: r.Address(),
			Start:   ident.Start(m.GetStart()),
		})
	}
	e.SetMembers(func(ident.Node) bool { return true })
	return nil
}

// SetMembers restricts the entry to the members for which known is true, as an
// update of the membership does in a node.
func (e *Entry) SetMembers(known func(ident.Node) bool) {
	var targets []entry.Target
	for _, t := range e.targets {
		if known(t.Member.Node) {
			targets = append(targets, t)
		}
	}
	e.entry.SetMembers(targets)
}

// Address returns the address at which callers reach the entry.
func (e *Entry) Address() string {
	return e.server.Listener.Addr().String()
}

// Close closes the server, the relays and the entry. The relays are closed after
// the server, because a copy of a request may still wait for a response through
// one of them.
func (e *Entry) Close() {
	e.server.Close()
	for _, r := range e.Relays {
		r.Close()
	}
	e.entry.Close()
	e.pool.Close()
}
