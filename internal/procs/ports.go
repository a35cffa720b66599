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
	// portBlock is the number of ports of one program. The first one of a block is
	// held open, so that programs that run at the same time have different blocks:
	// another program could take a port between its check and its use, or while a
	// process is restarted.
	portBlock = 1000
)

// ports holds the first port of this program's block, 0 if it has none yet, and
// the offset of the next port to try. Successive calls use successive ports, so
// that systems started in parallel by one program don't choose the same port.
var ports = struct {
	sync.Mutex
	first, next int
	guard       net.Listener
}{}

// reserveBlock takes a block of ports that no other program has. The caller must
// hold ports.
func reserveBlock() error {
	const blocks = (lastPort - firstPort) / portBlock
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*portBlock
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(first)))
		if err == nil {
			ports.first, ports.guard = first, l
			return nil
		}
	}
	return oops.With("step", "reserve", "peer", "loopback").Errorf("no free block of ports in [%d, %d)", firstPort, lastPort)
}

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
	if ports.first == 0 {
		if err := reserveBlock(); err != nil {
			return "", err
		}
	}
	for range portBlock - 1 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.first+1+ports.next))
		ports.next = (ports.next + 1) % (portBlock - 1)
		if isFree(address) {
			return address, nil
		}
	}
	return "", oops.With("step", "reserve", "peer", "loopback").Errorf("no free port in the block at %d", ports.first)
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
