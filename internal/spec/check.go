package spec

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cicadahall/cicadahall/ident"
)

// The checks below compare values with each other. They skip values that
// already have a fault of their own, so that one mistake is reported once.

func (d *decoder) checkManifest(m *Manifest) {
	d.checkDomains(m.Domains)
	services := d.unique("services", len(m.Services), "name", func(i int) string { return string(m.Services[i].Name) })
	d.unique("moves", len(m.Moves), "name", func(i int) string { return string(m.Moves[i].Name) })
	for i, s := range m.Services {
		path := at("services", i) + ".routes"
		d.unique(path, len(s.Routes), "name", func(i int) string { return string(s.Routes[i].Name) })
		d.unique(path, len(s.Routes), "prefix", func(i int) string { return s.Routes[i].Prefix })
	}
	for i := range m.Moves {
		path := at("moves", i)
		d.checkTimes(path, m.Moves[i])
		d.checkStages(path, m.Moves[i])
		d.checkReference(path, m, i, services)
	}
	d.checkOverlap(m.Moves)
}

func (d *decoder) checkDomains(domains []Domain) {
	d.unique("domains", len(domains), "name", func(i int) string { return string(domains[i].Name) })
	for i := range domains {
		if domains[i].State != Out {
			return
		}
	}
	if len(domains) > 0 {
		d.fail("domains", `write "state": "in" for at least one failure domain`)
	}
}

// unique reports the second and later uses of a value. It returns the index
// of the first use of each.
func (d *decoder) unique(path string, n int, field string, value func(int) string) map[string]int {
	first := map[string]int{}
	for i := range n {
		v := value(i)
		inner := join(at(path, i), field)
		if v == "" || d.bad[inner] {
			continue
		}
		if j, ok := first[v]; ok {
			d.fail(inner, fmt.Sprintf("write another %s, because %s already has %q", field, at(path, j), v))
			continue
		}
		first[v] = i
	}
	return first
}

func (d *decoder) checkTimes(path string, v Move) {
	if d.timed(path) && !v.Deadline.After(v.Start) {
		d.fail(path+".deadline", "write a time after the start of the move")
	}
}

// timed reports whether both times of a move are readable and in order.
func (d *decoder) timed(path string) bool {
	return !d.bad[path] && !d.bad[path+".start"] && !d.bad[path+".deadline"]
}

func (d *decoder) checkStages(path string, v Move) {
	timed := d.timed(path)
	for i, s := range v.Stages {
		inner := at(path+".stages", i)
		if d.bad[inner] || d.bad[inner+".after"] || d.bad[inner+".share"] {
			return
		}
		if timed && !v.Start.Add(s.After).Before(v.Deadline) {
			d.fail(inner+".after", fmt.Sprintf("write a duration below %v, the time from start to deadline", v.Deadline.Sub(v.Start)))
		}
		if i == 0 {
			continue
		}
		if s.After <= v.Stages[i-1].After {
			d.fail(inner+".after", fmt.Sprintf("write a duration above %v, that of the stage before", v.Stages[i-1].After))
		}
		if s.Share <= v.Stages[i-1].Share {
			d.fail(inner+".share", fmt.Sprintf("write a share above %v, that of the stage before", v.Stages[i-1].Share))
		}
	}
	if n := len(v.Stages); n > 0 && v.Stages[n-1].Share != 1 {
		d.fail(at(path+".stages", n-1)+".share", "write 1, because a move is done only at the full share")
	}
}

// checkReference checks service and versions of one move. A move starts at
// the version of its service or at the target of an earlier move. A finished
// move may stay in the manifest: its target is then the service's version.
func (d *decoder) checkReference(path string, m *Manifest, i int, services map[string]int) {
	v := m.Moves[i]
	if v.Service == "" || d.badNames("services", len(m.Services)) {
		return
	}
	j, ok := services[string(v.Service)]
	if !ok {
		d.fail(path+".service", fmt.Sprintf("write the name of a service of this manifest instead of %q", v.Service))
		return
	}
	if v.From == "" || v.To == "" {
		return
	}
	if v.From == v.To {
		d.fail(path+".to", fmt.Sprintf("write a version other than %q, where the move starts", v.From))
		return
	}
	current := m.Services[j].Version
	if current == "" || v.From == current || v.To == current || earlierTarget(m.Moves, v) {
		return
	}
	d.fail(path+".from", fmt.Sprintf("write %q, the version of the service, or the target of an earlier move", current))
}

func earlierTarget(moves []Move, v Move) bool {
	for _, e := range moves {
		if e.Service == v.Service && e.To == v.From && e.Start.Before(v.Start) {
			return true
		}
	}
	return false
}

// badNames reports whether a name of the list is faulty, so that a reference
// to it can't be judged.
func (d *decoder) badNames(path string, n int) bool {
	if d.bad[path] {
		return true
	}
	for i := range n {
		if d.bad[at(path, i)] || d.bad[at(path, i)+".name"] {
			return true
		}
	}
	return false
}

// checkOverlap reports moves of one service whose times overlap.
func (d *decoder) checkOverlap(moves []Move) {
	last := map[ident.Service]int{}
	for _, i := range byStart(moves) {
		v := moves[i]
		path := at("moves", i)
		if v.Service == "" || !d.timed(path) {
			continue
		}
		j, ok := last[v.Service]
		if ok && v.Start.Before(moves[j].Deadline) {
			d.fail(path+".start", fmt.Sprintf("write a time from the deadline of %s on, because only one move of a service runs at a time", at("moves", j)))
		}
		if !ok || v.Deadline.After(moves[j].Deadline) {
			last[v.Service] = i
		}
	}
}

func byStart(moves []Move) []int {
	order := make([]int, len(moves))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		return moves[order[a]].Start.Before(moves[order[b]].Start)
	})
	return order
}

func (d *decoder) checkSettings(s *Settings) {
	d.checkListen(s.Listen)
	seen := map[string]bool{}
	for i, p := range s.Peers {
		if p == "" {
			continue
		}
		if seen[p] {
			d.fail(at("peers", i), "write each peer once")
		}
		seen[p] = true
	}
}

// checkListen reports listeners that share an address. Gossip is UDP and may
// share its port with a TCP listener; port 0 lets the system choose.
func (d *decoder) checkListen(l Listen) {
	tcp := []struct{ name, address string }{
		{"callers", l.Callers},
		{"peers", l.Peers},
		{"local", l.Local},
		{"admin", l.Admin},
	}
	used := map[string]string{}
	for _, t := range tcp {
		if t.address == "" || strings.HasSuffix(t.address, ":0") {
			continue
		}
		if other, ok := used[t.address]; ok {
			d.fail("listen."+t.name, "write another address, because listen."+other+" already has this one")
			continue
		}
		used[t.address] = t.name
	}
}
