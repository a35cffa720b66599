package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/scale"
	"github.com/cicadahall/cicadahall/member"
)

// chaos applies random steps to a network and checks the invariants after each.
type chaos struct {
	network  *scale.Network
	lastSeen map[[2]ident.Node]member.Record // latest copy by observer and member
	starts   map[ident.Node]ident.Start      // latest process start seen
	stopped  map[*scale.Host]bool
}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{
		network:  scale.NewNetwork(rapid.IntRange(3, 14).Draw(t, "size"), rapid.Uint64().Draw(t, "seed")),
		lastSeen: map[[2]ident.Node]member.Record{},
		starts:   map[ident.Node]ident.Start{},
		stopped:  map[*scale.Host]bool{},
	}
	c.network.StartAll()
	return c
}

func (c *chaos) host(t *rapid.T) *scale.Host {
	return c.network.Hosts[rapid.IntRange(0, len(c.network.Hosts)-1).Draw(t, "host")]
}

// steps returns the actions of the state machine test.
func (c *chaos) steps() map[string]func(*rapid.T) {
	n := c.network
	wait := func(t *rapid.T) {
		n.Run(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
	}
	return map[string]func(*rapid.T){
		"":      c.check,
		"wait":  wait,
		"wait2": wait,
		"kill": func(t *rapid.T) {
			h := c.host(t)
			n.Kill(h)
			c.stopped[h] = true
		},
		"start": func(t *rapid.T) {
			h := c.host(t)
			n.Start(h)
			delete(c.stopped, h)
		},
		"freeze": func(t *rapid.T) { n.Freeze(c.host(t)) },
		"resume": func(t *rapid.T) { n.Resume(c.host(t)) },
		"leave":  func(t *rapid.T) { c.host(t).Machine.Leave(n.Now()) },
		"update": func(t *rapid.T) {
			h := c.host(t)
			r := h.Machine.Self()
			r.Slots = ident.Slots(rapid.Int32Range(0, 50).Draw(t, "slots"))
			h.Machine.Update(r, n.Now())
		},
		"network": func(t *rapid.T) {
			n.Faults = scale.Faults{
				Loss:           rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"),
				DuplicateShare: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "double"),
				DelayShare:     rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "late"),
				MaxDelay:       10 * time.Second,
			}
		},
		"cut": func(t *rapid.T) {
			isolated := c.host(t)
			regions := rapid.Bool().Draw(t, "regions")
			n.Faults.Partitioned = func(a, b *scale.Host) bool {
				if regions {
					return a.Region() != b.Region()
				}
				return a == isolated || b == isolated
			}
		},
	}
}

// check compares all copies with the records of their owners and with earlier
// copies.
func (c *chaos) check(t *rapid.T) {
	for _, o := range c.network.Hosts {
		self := o.Machine.Self()
		restarted := c.starts[self.Node] != self.Start
		c.starts[self.Node] = self.Start
		for _, h := range c.network.Hosts {
			own := h.Machine.Self()
			r, ok := o.Machine.Lookup(own.Node)
			key := [2]ident.Node{self.Node, own.Node}
			if restarted {
				delete(c.lastSeen, key)
			}
			if !ok || h == o {
				continue
			}
			if r.Start == own.Start {
				assert.Assert(t, r.Incarnation <= own.Incarnation, "%s has a higher incarnation than %s itself", self.Node, own.Node)
				if r.Incarnation == own.Incarnation {
					assert.Equal(t, r.Slots, own.Slots)
				}
			}
			last := c.lastSeen[key]
			last.State, r.State = 0, 0
			assert.Assert(t, member.Compare(r, last) >= 0, "%s replaced its copy of %s by an older one", self.Node, own.Node)
			c.lastSeen[key] = r
		}
	}
}

// converged reports whether all running hosts hold the same, correct states.
func (c *chaos) converged() bool {
	var hash uint64
	for _, o := range c.network.Hosts {
		if c.stopped[o] {
			continue
		}
		if hash == 0 {
			hash = o.Machine.Digest().Hash
		}
		if o.Machine.Digest().Hash != hash {
			return false
		}
		for h := range c.stopped {
			s := c.network.State(o, h)
			if s != 0 && s != member.Unreachable && s != member.Left {
				return false
			}
		}
	}
	return c.network.Converged()
}

// Guards against copies that are newer than their owner's record, are replaced by
// older ones or have mixed content, and against members that don't converge to
// the correct states, after any order of kills, freezes, restarts, leaves,
// partitions, and lost, duplicated, late and reordered packets.
func TestChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
		t.Repeat(c.steps())
		n := c.network
		n.Faults = scale.Faults{}
		for i, h := range n.Hosts {
			n.Resume(h)
			if i < len(n.Seeds) && c.stopped[h] {
				n.Start(h)
				delete(c.stopped, h)
			}
		}
		for range 15 * 60 {
			if c.converged() {
				return
			}
			n.Run(time.Second)
			c.check(t)
		}
		for _, h := range n.Hosts {
			t.Logf("%s stopped=%v", h.Node(), c.stopped[h])
			for _, r := range h.Machine.Members() {
				t.Logf("    %s start %x incarnation %d %s", r.Node, uint64(r.Start)>>48, r.Incarnation, r.State)
			}
		}
		t.Fatalf("members did not converge within 15 minutes")
	})
}
