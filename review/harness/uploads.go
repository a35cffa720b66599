package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

var uploadsOptions = fleetOptions{machines: 4, service: "bookings", slots: 6, work: 250 * time.Millisecond, memoryMB: 284}

const (
	// uploads is the number of long bodies that clients of one machine send at
	// the same time, in each of two waves.
	uploads = 2
	// uploadBytes is the size of a long body; max_body_bytes is 67,108,864.
	uploadBytes = 60 << 20
)

// playUploads lets some clients of one machine send long bodies within the limits
// of the configuration.
func playUploads(f *fleet, trouble bool) ([]string, error) {
	l := f.startLoad(8, 60*time.Millisecond)
	m := f.machines[0]
	for range 2 {
		time.Sleep(2 * time.Second)
		size := 4 << 10
		if trouble {
			size = uploadBytes
		}
		var wg sync.WaitGroup
		for range uploads {
			wg.Go(func() { upload(m, size) })
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
	}
	requests := l.end()
	f.recordMemory()
	return lostRequests(f, requests, ""), nil
}

// upload sends one booking with a long body on a connection of its own.
func upload(m *machine, size int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	c, err := net.Dial("tcp", m.callers)
	if err != nil {
		m.fleet.record("upload %s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(clientDeadline))
	m.fleet.record("upload %s of %d bytes to %s", id, size, m.name)
	_, err = fmt.Fprintf(c, "POST /booking/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, callerHost, id, clientDeadline.Milliseconds(), size)
	block := strings.Repeat("x", 64<<10)
	for sent := 0; err == nil && sent < size; sent += len(block) {
		_, err = c.Write([]byte(block[:min(len(block), size-sent)]))
	}
	if err != nil {
		m.fleet.record("upload %s: %v", id, err)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		m.fleet.record("upload %s: no answer: %v", id, err)
		return
	}
	_ = resp.Body.Close()
	m.fleet.record("upload %s: answered %d", id, resp.StatusCode)
}
