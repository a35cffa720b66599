package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/member"
)

// Two machines exchange packets through a queue in virtual time.
func Example() {
	type datagram struct {
		from, to string
		packet   member.Packet
	}
	var network []datagram
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	machines := map[string]*member.Machine{}
	for i, name := range []string{"a", "b"} {
		address := "10.0.0." + name
		machines[address] = member.New(member.Options{
			Self:      member.Record{Node: ident.Node("node-" + name), Start: 7, UDP: address},
			Seeds:     []string{"10.0.0.a"},
			StartTime: now,
			Rand:      rand.New(rand.NewPCG(1, uint64(i))).IntN,
			Send: func(to string, p member.Packet) {
				network = append(network, datagram{from: address, to: to, packet: p})
			},
		})
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		machines["10.0.0.a"].Tick(now)
		machines["10.0.0.b"].Tick(now)
		for len(network) > 0 {
			d := network[0]
			network = network[1:]
			machines[d.to].Receive(d.from, d.packet, now)
		}
	}
	machines["10.0.0.b"].Leave(now)
	machines["10.0.0.b"].Tick(now.Add(100 * time.Millisecond))
	machines["10.0.0.a"].Receive(network[0].from, network[0].packet, now)
	for _, r := range machines["10.0.0.a"].Members() {
		fmt.Println(r.Node, r.State)
	}
	// Output:
	// node-a alive
	// node-b leaving
}
