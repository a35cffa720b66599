package spec

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cicadahall/cicadahall/ident"
)

// The checks below compare values with each other. They skip values that already
// have a fault, so that each mistake is reported once.

func (d *decoder) checkManifest(m *Manifest) {
	d.checkDomains(m.Domains)
	services := d.checkUnique("services", len(m.Services), "name", func(i int) string { return string(m.Services[i].Name) })
	d.checkUnique("moves", len(m.Moves), "name", func(i int) string { return string(m.Moves[i].Name) })
	for i, s := range m.Services {
		path := indexPath("services", i) + ".routes"
		d.checkUnique(path, len(s.Routes), "name", func(i int) string { return string(s.Routes[i].Name) })
		d.checkUnique(path, len(s.Routes), "prefix", func(i int) string { return s.Routes[i].Prefix })
	}
	for i := range m.Moves {
		path := indexPath("moves", i)
		d.checkTimes(path, m.Moves[i])
		d.checkStages(path, m.Moves[i])
		d.checkReference(path, m, i, services)
	}
	d.checkOverlap(m.Moves)
}

func (d *decoder) checkDomains(domains []Domain) {
	d.checkUnique("domains", len(domains), "name", func(i int) string { return string(domains[i].Name) })
	for i := range domains {
		if domains[i].State != Out {
			return
		}
	}
	if len(domains) > 0 {
		d.addFault("domains", `write "state": "in" for at least one failure domain`)
	}
}

// checkUnique adds a fault for each repeated value. It returns the index of the
// first use of each value.
func (d *decoder) checkUnique(path string, n int, field string, value func(int) string) map[string]int {
	first := map[string]int{}
	for i := range n {
		v := value(i)
		fieldPath := joinPath(indexPath(path, i), field)
		if v == "" || d.faulty[fieldPath] {
			continue
		}
		if j, ok := first[v]; ok {
			d.addFault(fieldPath, fmt.Sprintf("write another %s, because %s already has %q", field, indexPath(path, j), v))
			continue
		}
		first[v] = i
	}
	return first
}

func (d *decoder) checkTimes(path string, v Move) {
	if d.hasValidTimes(path) && !v.Deadline.After(v.Start) {
		d.addFault(path+".deadline", "write a time after the start of the move")
	}
}

// hasValidTimes reports whether the start and the deadline of a move have no
// fault, so that they can be compared with other times.
func (d *decoder) hasValidTimes(path string) bool {
	return !d.faulty[path] && !d.faulty[path+".start"] && !d.faulty[path+".deadline"]
}

func (d *decoder) checkStages(path string, v Move) {
	validTimes := d.hasValidTimes(path)
	for i, s := range v.Stages {
		stagePath := indexPath(path+".stages", i)
		if d.faulty[stagePath] || d.faulty[stagePath+".after"] || d.faulty[stagePath+".share"] {
			return
		}
		if validTimes && !v.Start.Add(s.After).Before(v.Deadline) {
			d.addFault(stagePath+".after", fmt.Sprintf("write a duration below %v, the time from start to deadline", v.Deadline.Sub(v.Start)))
		}
		if i == 0 {
			continue
		}
		if s.After <= v.Stages[i-1].After {
			d.addFault(stagePath+".after", fmt.Sprintf("write a duration above %v, which is that of the previous stage", v.Stages[i-1].After))
		}
		if s.Share <= v.Stages[i-1].Share {
			d.addFault(stagePath+".share", fmt.Sprintf("write a share above %v, which is that of the previous stage", v.Stages[i-1].Share))
		}
	}
	if n := len(v.Stages); n > 0 && v.Stages[n-1].Share != 1 {
		d.addFault(indexPath(path+".stages", n-1)+".share", "write 1, because a move is done only when the new version has the full share")
	}
}

// checkReference checks the service and the versions of one move. A move must
// start from the version of its service or from the target of an earlier move. A
// finished move, whose target is the version of its service, may stay in the
// manifest.
func (d *decoder) checkReference(path string, m *Manifest, i int, services map[string]int) {
	v := m.Moves[i]
	if v.Service == "" || d.hasFaultyName("services", len(m.Services)) {
		return
	}
	j, ok := services[string(v.Service)]
	if !ok {
		d.addFault(path+".service", fmt.Sprintf("write the name of a service of this manifest instead of %q", v.Service))
		return
	}
	if v.From == "" || v.To == "" {
		return
	}
	if v.From == v.To {
		d.addFault(path+".to", fmt.Sprintf("write a version other than %q, from which the move starts", v.From))
		return
	}
	current := m.Services[j].Version
	if current == "" || v.From == current || v.To == current || isEarlierTarget(m.Moves, v) {
		return
	}
	d.addFault(path+".from", fmt.Sprintf("write %q, the version of the service, or the target of an earlier move", current))
}

func isEarlierTarget(moves []Move, v Move) bool {
	for _, e := range moves {
		if e.Service == v.Service && e.To == v.From && e.Start.Before(v.Start) {
			return true
		}
	}
	return false
}

// hasFaultyName reports whether the list or one of its names has a fault, so that
// references to its entries can't be checked.
func (d *decoder) hasFaultyName(path string, n int) bool {
	if d.faulty[path] {
		return true
	}
	for i := range n {
		if d.faulty[indexPath(path, i)] || d.faulty[indexPath(path, i)+".name"] {
			return true
		}
	}
	return false
}

// checkOverlap adds a fault for each move that starts before the deadline of an
// earlier move of the same service.
func (d *decoder) checkOverlap(moves []Move) {
	last := map[ident.Service]int{}
	for _, i := range orderByStart(moves) {
		v := moves[i]
		path := indexPath("moves", i)
		if v.Service == "" || !d.hasValidTimes(path) {
			continue
		}
		j, ok := last[v.Service]
		if ok && v.Start.Before(moves[j].Deadline) {
			d.addFault(path+".start", fmt.Sprintf("write a time at or after the deadline of %s, because moves of one service must not overlap", indexPath("moves", j)))
		}
		if !ok || v.Deadline.After(moves[j].Deadline) {
			last[v.Service] = i
		}
	}
}

func orderByStart(moves []Move) []int {
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
			d.addFault(indexPath("peers", i), "write each peer once")
		}
		seen[p] = true
	}
}

// checkListen adds a fault for each TCP listener whose address is already used.
// Gossip uses UDP and may share its port with a TCP listener. With port 0, the
// operating system assigns a free port.
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
			d.addFault("listen."+t.name, "write another address, because listen."+other+" already uses this one")
			continue
		}
		used[t.address] = t.name
	}
}
