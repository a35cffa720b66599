package procs

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/samber/oops"
)

const (
	// firstPort and lastPort are below the range from which the system takes
	// ports for outgoing connections; a port of that range can be taken by a
	// connection between the check and its use.
	firstPort = 20000
	lastPort  = 32000
	// portStep separates the first ports of programs that run at the same
	// time: a port is free for a moment between its check and its use.
	portStep = 509
)

// ports hands out every port once per program, so that systems that start in
// parallel don't choose the same one.
var ports = struct {
	sync.Mutex
	next int
}{next: os.Getpid() * portStep % (lastPort - firstPort)}

// addresses fills the given places with addresses that nobody listens on.
func addresses(into ...*string) error {
	for _, a := range into {
		free, err := FreeAddress()
		if err != nil {
			return err
		}
		*a = free
	}
	return nil
}

// FreeAddress returns the next address that is free for TCP and UDP.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+ports.next))
		ports.next = (ports.next + 1) % (lastPort - firstPort)
		if free(address) {
			return address, nil
		}
	}
	return "", oops.With("step", "reserve", "peer", "loopback").Errorf("no free port from %d to %d", firstPort, lastPort)
}

func free(address string) bool {
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
