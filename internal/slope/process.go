package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/stand"
)

const (
	processMemory     = "resident memory of a node"
	processTime       = "processor time of a node without traffic"
	processPeakReads  = "platform reads of all nodes in the worst second after a common start"
	processPeakWrites = "platform writes of all nodes in the worst second after a common start"
	processPeakScans  = "platform scans of all nodes in the worst second after a common start"
)

var processRows = []string{processMemory, processTime, processPeakReads, processPeakWrites, processPeakScans}

const (
	// processSettle is the wait between the start of the nodes and the
	// measurement, after which the load of the start has ended.
	processSettle = 10 * time.Second
	// processWindow is the period over which the processor time is measured.
	processWindow = 20 * time.Second
	// announceInterval is the heartbeat interval of the upstreams.
	announceInterval = 200 * time.Millisecond
	// stopTimeout is the wait after SIGTERM before a node is killed.
	stopTimeout = 10 * time.Second
	// firstPort and lastPort are below the ephemeral port range, so that
	// outgoing connections don't take these ports.
	firstPort = 20000
	lastPort  = 32000
	// portSpread is the range of first ports, chosen by process id, so that two
	// runs on one machine use different ports.
	portSpread = 8000
	// ticksPerSecond is the resolution of processor times in /proc on Linux.
	ticksPerSecond = 100
)

// processSizes lists the numbers of node processes that are started.
var processSizes = []int{5, 15, 30}

func measureProcess(ctx context.Context, o Options) ([]Series, error) {
	var b seriesBuilder
	for _, s := range []Series{
		{Name: processMemory, Unit: "B", Mechanism: "one process a node"},
		{Name: processTime, Unit: "µs/s", Mechanism: "ticks of 50 ms (idle exit) to 250 ms (moves), one heartbeat in 200 ms"},
		{Name: processPeakReads, Unit: "/s", Mechanism: "scan, get and scan of each node; first head read spread over 4 s"},
		{Name: processPeakWrites, Unit: "/s", Mechanism: "5 ms for each row found, which is nothing on an empty table"},
		{Name: processPeakScans, Unit: "/s", Mechanism: "none for the first scan; 5 ms for each row found before the second"},
	} {
		s.SizeUnit, s.FullSize = "nodes", memberCount
		if s.Name == processMemory || s.Name == processTime {
			// The other roles measure the part that grows with the number of
			// members. Three sizes up to 30 would give an inaccurate slope.
			s.FullSize = float64(processSizes[len(processSizes)-1])
		}
		b.define(s)
	}
	for _, n := range processSizes {
		if err := runProcesses(ctx, &b, o, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

// callCounter counts the calls to the platform's stand-in services by kind and
// second.
type callCounter struct {
	mu        sync.Mutex
	startTime time.Time
	calls     map[string]map[int]int
}

// wrap returns a handler that counts the calls and passes them to h.
func (c *callCounter) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		kind := "reads"
		if r.URL.Path == "/commit" || r.Method == http.MethodPut {
			kind = "writes"
		}
		c.increment(kind)
		if r.URL.Path == "/scan" {
			c.increment("scans")
		}
		c.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

// increment counts one call in the current second. The caller must hold mu.
func (c *callCounter) increment(kind string) {
	if c.calls[kind] == nil {
		c.calls[kind] = map[int]int{}
	}
	c.calls[kind][int(time.Since(c.startTime)/time.Second)]++
}

// peakPerSecond returns the largest number of calls of a kind within one second.
func (c *callCounter) peakPerSecond(kind string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	peak := 0
	for _, n := range c.calls[kind] {
		peak = max(peak, n)
	}
	return float64(peak)
}

// nodeProcesses is a group of running node processes on loopback.
type nodeProcesses struct {
	commands       []*exec.Cmd
	localAddresses []string
	port           int
}

func runProcesses(ctx context.Context, b *seriesBuilder, o Options, n int) (err error) {
	counter := &callCounter{startTime: time.Now(), calls: map[string]map[int]int{}}
	server, err := newCountingServer(counter.wrap(stand.NewPlatform().Handler()))
	if err != nil {
		return err
	}
	defer server.Close()
	nodes := &nodeProcesses{port: firstPort + os.Getpid()%portSpread}
	announceCtx, cancel := context.WithCancel(ctx)
	var announcer sync.WaitGroup
	defer announcer.Wait()
	defer cancel()
	defer nodes.stop()
	for i := range n {
		if err := nodes.start(o, server.address, i); err != nil {
			return err
		}
	}
	announcer.Go(func() { nodes.announce(announceCtx) })
	if err := sleep(ctx, processSettle); err != nil {
		return err
	}
	before, err := nodes.readUsage()
	if err != nil {
		return err
	}
	if err := sleep(ctx, processWindow); err != nil {
		return err
	}
	after, err := nodes.readUsage()
	if err != nil {
		return err
	}
	b.add(processMemory, n, after.memory/float64(n))
	b.add(processTime, n, (after.processor-before.processor)/float64(n)/processWindow.Seconds())
	b.add(processPeakReads, n, counter.peakPerSecond("reads"))
	b.add(processPeakWrites, n, counter.peakPerSecond("writes"))
	b.add(processPeakScans, n, counter.peakPerSecond("scans"))
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextAddress returns the next loopback address whose port is free for both TCP
// and UDP.
func (s *nodeProcesses) nextAddress() (string, error) {
	for ; s.port < lastPort; s.port++ {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(s.port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = u.Close()
		s.port++
		return address, nil
	}
	return "", oops.In("slope").With("step", "reserve port").Errorf("no free port from %d to %d", firstPort, lastPort)
}

func (s *nodeProcesses) start(o Options, platformAddress string, i int) error {
	listen := map[string]string{}
	for _, name := range []string{"callers", "peers", "gossip", "local", "admin"} {
		address, err := s.nextAddress()
		if err != nil {
			return err
		}
		listen[name] = address
	}
	m := newMember(i, serviceCount)
	body, err := json.Marshal(map[string]any{
		"node": m.Node, "domain": m.Domain, "region": m.Region, "listen": listen, "log": "warn",
		"platform": map[string]string{"table": "http://" + platformAddress, "objects": "http://" + platformAddress},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(o.Dir, fmt.Sprintf("node-%d.json", i))
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return err
	}
	c := exec.Command(filepath.Join(o.Bin, "cicadahall"), "node", file)
	// Kill the node when this process ends, also if this process is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return oops.In("slope").With("step", "start", "peer", m.Node).Wrap(err)
	}
	s.commands = append(s.commands, c)
	s.localAddresses = append(s.localAddresses, listen["local"])
	return nil
}

// announce sends the heartbeats of the upstreams until ctx is done.
func (s *nodeProcesses) announce(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		for i, address := range s.localAddresses {
			m := newMember(i, serviceCount)
			body := fmt.Sprintf(`{"service":%q,"version":"v1","slots":10,"address":"127.0.0.1:9","start":"1"}`, m.Service)
			r, err := client.Post("http://"+address+"/announce", "application/json", bytes.NewBufferString(body))
			if err == nil {
				_ = r.Body.Close()
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// stop terminates the started nodes and waits until they have exited.
func (s *nodeProcesses) stop() {
	var all sync.WaitGroup
	for _, c := range s.commands {
		_ = c.Process.Signal(syscall.SIGTERM)
		ended := atomic.Bool{}
		all.Go(func() {
			t := time.AfterFunc(stopTimeout, func() {
				if !ended.Load() {
					_ = c.Process.Kill()
				}
			})
			defer t.Stop()
			_ = c.Wait()
			ended.Store(true)
		})
	}
	all.Wait()
}

// usage is the resource use of all nodes together: resident memory in bytes, and
// processor time in microseconds since their start.
type usage struct {
	memory    float64
	processor float64
}

func (s *nodeProcesses) readUsage() (usage, error) {
	var total usage
	for _, c := range s.commands {
		dir := filepath.Join("/proc", strconv.Itoa(c.Process.Pid))
		stat, err := os.ReadFile(filepath.Join(dir, "stat"))
		if err != nil {
			return usage{}, oops.In("slope").With("step", "read usage", "process", c.Process.Pid).Wrap(err)
		}
		// Counted after the command name in parentheses, fields 12 and 13 are the
		// user and system time in ticks, and field 22 is the resident memory in
		// pages.
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		if len(fields) < 22 {
			return usage{}, oops.In("slope").With("step", "read usage", "process", c.Process.Pid).Errorf("/proc stat has %d fields after the command name instead of 22 or more", len(fields))
		}
		for _, f := range fields[11:13] {
			ticks, err := strconv.ParseFloat(f, 64)
			if err != nil {
				return usage{}, err
			}
			total.processor += ticks * 1e6 / ticksPerSecond
		}
		pages, err := strconv.ParseFloat(fields[21], 64)
		if err != nil {
			return usage{}, err
		}
		total.memory += pages * float64(os.Getpagesize())
	}
	return total, nil
}
