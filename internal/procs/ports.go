package procs

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/samber/oops"
)

const (
	// firstPort and lastPort bound the ports below the ephemeral range of the
	// operating system. An ephemeral port could be taken by an outgoing
	// connection between the check and its use.
	firstPort = 20000
	lastPort  = 32000
	// portStep separates the first ports of programs that run at the same
	// time, because another program could take a port between its check and
	// its use.
	portStep = 509
)

// ports holds the offset of the next port to try. Successive calls use
// successive ports, so that systems started in parallel by one program don't
// choose the same port.
var ports = struct {
	sync.Mutex
	next int
}{next: os.Getpid() * portStep % (lastPort - firstPort)}

// assignAddresses sets each target to a free loopback address.
func assignAddresses(targets ...*string) error {
	for _, a := range targets {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	return nil
}

// FreeAddress returns the next loopback address whose port is free for both TCP
// and UDP.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+ports.next))
		ports.next = (ports.next + 1) % (lastPort - firstPort)
		if isFree(address) {
			return address, nil
		}
	}
	return "", oops.With("step", "reserve", "peer", "loopback").Errorf("no free port in [%d, %d)", firstPort, lastPort)
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
