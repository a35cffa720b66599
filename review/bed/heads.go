package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// headLimit is max_header_bytes.
	headLimit = 16384
	// crowdConns is the number of clients that send to one node at a time. Gwely-glan
	// has 144 clients.
	crowdConns = 150
	// pipelined is the number of requests with a large head on each connection.
	pipelined = 8
	// waves is the number of crowds that each machine gets.
	waves = 3
	// waveTime bounds a wave.
	waveTime = 6 * time.Second
	// memoryLimit is memory_mb in bytes.
	memoryLimit = 284 << 20
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 5 * time.Millisecond
	// restartDelay is the time after which the platform starts a node again.
	restartDelay = 500 * time.Millisecond
	// killsPerMachine and killedMachines are the numbers from which the rule counts
	// processes that end by themselves.
	killsPerMachine = 3
	killedMachines  = 2
)

// playHeads lets crowds of clients send requests with legal heads, one behind the
// other. The platform kills a node that exceeds its memory and starts it again.
func playHeads(r *record, trouble bool) (int, error) {
	s, err := newSystem(r)
	if err != nil {
		return 0, err
	}
	defer s.close()
	o := workerOptions{slots: slots, work: func(string) time.Duration { return exportWork }}
	for _, zone := range []string{"cymru-a", "cymru-b", "cymru-c"} {
		if _, err := s.add(zone, "cyfrif", o); err != nil {
			return 0, err
		}
	}
	if err := s.start(configuration(5, []string{"cyfrif"}, []rule{
		{"audit-export", "/exports/", "safe", "cyfrif", 1500 * time.Millisecond, exportTimeout},
	})); err != nil {
		return 0, err
	}
	kills := make([]int, killedMachines)
	for wave := range waves {
		for i := range kills {
			killed, err := s.machines[i].withstand(wave, trouble)
			if err != nil {
				return 0, err
			}
			if killed {
				kills[i]++
			}
		}
	}
	broken := 0
	for i, n := range kills {
		r.add("the platform has killed the node %s %d times", s.machines[i].name, n)
		if n >= killsPerMachine {
			broken++
		}
	}
	if broken < killedMachines {
		return 0, nil
	}
	return broken, nil
}

// withstand sends one crowd to the node of a machine. It reports whether the
// platform had to kill the node, which then runs again.
func (m *machine) withstand(wave int, trouble bool) (killed bool, err error) {
	m.system.record.add("wave %d: %d clients send %d requests each to %s, large heads: %t", wave+1, crowdConns, pipelined+1, m.name, trouble)
	stop := make(chan struct{})
	exceeded := make(chan int64, 1)
	go m.watchMemory(stop, exceeded)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.crowd(wave, trouble)
	}()
	var largest int64
	select {
	case largest = <-exceeded:
		killed = true
	case <-ended:
	}
	if !killed {
		close(stop)
		largest = <-exceeded
		m.system.record.add("wave %d: %s had at most %d MB", wave+1, m.name, largest/1e6)
		return false, nil
	}
	m.system.record.add("wave %d: %s has %d MB of the %d MB allowed; the platform kills it", wave+1, m.name, largest/1e6, int64(memoryLimit)/1e6)
	_ = m.node.Process.Signal(syscall.SIGKILL) // fails if the process has ended
	<-m.nodeEnded
	<-ended
	time.Sleep(restartDelay)
	if err := m.startNode(); err != nil {
		return true, err
	}
	for started := time.Now(); !m.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Since(started) > readyTimeout {
			return true, errNotReady
		}
	}
	return true, nil
}

// watchMemory sends the memory of the node once it exceeds its limit, or the largest
// one when stop is closed.
func (m *machine) watchMemory(stop <-chan struct{}, exceeded chan<- int64) {
	var largest int64
	for {
		largest = max(largest, m.memory())
		if largest > memoryLimit {
			exceeded <- largest
			return
		}
		select {
		case <-stop:
			exceeded <- largest
			return
		case <-time.After(memoryInterval):
		}
	}
}

// memory returns the resident memory of the node without that of its files.
func (m *machine) memory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.node.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64) // 0 on error
			return kilobytes << 10
		}
	}
	return 0
}

// crowd lets clients open connections to the node and send requests on each without
// waiting for the answers. A client whose connection has ended opens another one. It
// returns after waveTime, or once the node takes no connection any more.
func (m *machine) crowd(wave int, large bool) {
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	fields := ""
	if large {
		fields = manyFields()
	}
	end := time.Now().Add(waveTime)
	for i := range crowdConns {
		wg.Go(func() {
			for number := 0; time.Now().Before(end); number++ {
				outcomes := m.sendAhead(number, i, fields)
				mu.Lock()
				for _, outcome := range outcomes {
					counts[outcome]++
				}
				mu.Unlock()
				if outcomes[0] == noConnection {
					return
				}
			}
		})
	}
	wg.Wait()
	m.system.record.add("wave %d: what the clients of %s got: %v", wave+1, m.name, counts)
}

// manyFields returns as many header fields as fit into a legal head.
func manyFields() string {
	const letters = "bcdfghijklmnopqrstuvwxyz0123456789"
	const room = headLimit - 256
	var b strings.Builder
	for i := 0; b.Len() < room; i++ {
		n := len(letters)
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i/n/n%n], letters[i/n%n], letters[i%n])
	}
	return b.String()
}

// noConnection is the outcome for a client that can't connect.
const noConnection = "no connection"

// sendAhead sends the requests of one connection and returns what its client got for
// each.
func (m *machine) sendAhead(number, conn int, fields string) (outcomes []string) {
	c, err := net.Dial("tcp", m.listen["callers"])
	if err != nil {
		return []string{noConnection}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(exportDeadline)) // fails only on a closed connection
	go func() {
		for k := range pipelined + 1 {
			head := fmt.Sprintf("GET /exports/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %04x%08x%04x\r\nX-Deadline-Ms: %d\r\n", host, number, conn, k, exportDeadline.Milliseconds())
			if k < pipelined {
				head += fields
			}
			if _, err := io.WriteString(c, head+"\r\n"); err != nil {
				return
			}
		}
	}()
	answers := bufio.NewReader(c)
	for range pipelined + 1 {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			outcome := "closed"
			if errors.Is(err, os.ErrDeadlineExceeded) {
				outcome = "no answer"
			}
			return append(outcomes, outcome)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // the next read fails, too
		_ = resp.Body.Close()
		outcomes = append(outcomes, strconv.Itoa(resp.StatusCode))
	}
	return outcomes
}
