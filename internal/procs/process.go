// Package procs starts a whole system as processes on loopback, sends load to
// it and compares what callers were told with what upstreams executed. It
// serves the demo and the failure tests and is not part of the product.
package procs

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// stopLimit bounds the wait for a process after SIGTERM.
const stopLimit = 30 * time.Second

// Process is one started process. Its output goes to a log file; lines that
// Start with a watched prefix are also handed to a function.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// Watch receives the lines of a process that start with Prefix, without it.
type Watch struct {
	Prefix string
	Line   func(string)
}

// Start starts a program whose output goes to a log file in dir.
func Start(dir, name string, w Watch, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, oops.With("step", "start", "peer", name).Wrap(err)
	}
	p := &Process{name: name, log: log, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stderr = log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, oops.With("step", "start", "peer", name).Wrap(err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, oops.With("step", "start", "peer", name).Wrap(err)
	}
	go func() {
		defer close(p.done)
		copyLines(out, log, w)
		p.err = p.cmd.Wait()
		_ = log.Close()
	}()
	return p, nil
}

func copyLines(from io.Reader, to io.Writer, w Watch) {
	s := bufio.NewScanner(from)
	for s.Scan() {
		line := s.Text()
		if w.Line != nil && strings.HasPrefix(line, w.Prefix) {
			w.Line(line[len(w.Prefix):])
		}
		_, _ = io.WriteString(to, line+"\n")
	}
}

// Signal sends a signal to the process; one that has ended is no error.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop ends the process by SIGTERM and reports whether it ended by itself.
func (p *Process) Stop() bool {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err == nil
	case <-time.After(stopLimit):
		p.Kill()
		return false
	}
}

// Ends waits until the process has ended, at most for a time, and reports
// whether it has.
func (p *Process) Ends(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// StopIfRunning stops a process that has not ended before.
func (p *Process) StopIfRunning() bool {
	return !p.Running() || p.Stop()
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// listens waits until the process accepts connections.
func (p *Process) listens(address string) error {
	for p.Running() {
		c, err := net.Dial("tcp", address)
		if err == nil {
			return c.Close()
		}
		time.Sleep(pollInterval)
	}
	return oops.With("step", "listen", "peer", p.name).Errorf("process has ended: %s", p.Tail())
}

// clockTick is the unit of processor times in /proc, which Linux fixes at
// 100 a second for all programs.
const clockTick = 10 * time.Millisecond

// CPU returns the processor time that a running process has used.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, oops.With("step", "read processor time", "peer", p.name).Wrap(err)
	}
	// The name in parentheses may hold spaces; fields are counted after it.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, oops.With("step", "read processor time", "peer", p.name).Wrap(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// tailSize is how much of a log Tail returns, in bytes.
const tailSize = 600

// Tail returns the end of the process's log.
func (p *Process) Tail() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-tailSize):])
}

// Group keeps what was started, so that nothing is left behind.
type Group struct {
	mu  sync.Mutex
	all []*Process
}

func (s *Group) add(p *Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, p)
}

// Start is Start for a process that KillAll ends.
func (s *Group) Start(dir, name string, w Watch, program string, args ...string) (*Process, error) {
	p, err := Start(dir, name, w, program, args...)
	if err == nil {
		s.add(p)
	}
	return p, err
}

// KillAll ends whatever still runs and returns how many had to be ended.
func (s *Group) KillAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for _, p := range s.all {
		if p.Running() {
			left++
			p.Kill()
		}
	}
	return left
}

// Run executes a short command and returns its output.
func Run(ctx context.Context, program string, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	if err != nil {
		return string(out), oops.With("step", "run", "peer", filepath.Base(program)).Wrapf(err, "%s: %s", strings.Join(args, " "), out)
	}
	return string(out), nil
}

// StopAll asks whatever still runs to end.
func (s *Group) StopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.all {
		if p.Running() {
			p.Stop()
		}
	}
}
