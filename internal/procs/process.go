// Package procs starts a complete system as processes on loopback, sends load to
// it and compares the outcomes that callers received with the executions at the
// upstreams. It is used by the demo and the failure tests and is not part of the
// product.
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

// stopTimeout bounds the wait for a process to exit after SIGTERM.
const stopTimeout = 30 * time.Second

// Process is a started child process. Its output is written to a log file.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	// done is closed after the process has exited and err is set.
	done chan struct{}
	err  error
}

// LineWatch calls Handle for each line of a process's standard output that
// starts with Prefix, with the prefix removed. A nil Handle disables it.
type LineWatch struct {
	Prefix string
	Handle func(string)
}

// Start starts a program and writes its output to the file name.log in dir.
func Start(dir, name string, watch LineWatch, program string, args ...string) (*Process, error) {
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
		copyLines(out, log, watch)
		p.err = p.cmd.Wait()
		_ = log.Close()
	}()
	return p, nil
}

func copyLines(src io.Reader, dst io.Writer, watch LineWatch) {
	s := bufio.NewScanner(src)
	for s.Scan() {
		line := s.Text()
		if watch.Handle != nil && strings.HasPrefix(line, watch.Prefix) {
			watch.Handle(line[len(watch.Prefix):])
		}
		_, _ = io.WriteString(dst, line+"\n")
	}
}

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process. It returns nil if the process has
// exited.
func (p *Process) Signal(sig syscall.Signal) error {
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM and reports whether the process exited with code 0 within
// stopTimeout. After that time it kills the process.
func (p *Process) Stop() bool {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err == nil
	case <-time.After(stopTimeout):
		p.Kill()
		return false
	}
}

// State returns the state of the process as the system reports it, for example
// "S (sleeping)". A process that has exited and whose output is still being copied
// is a zombie.
func (p *Process) State() string {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		if state, ok := strings.CutPrefix(line, "State:"); ok {
			return strings.TrimSpace(state)
		}
	}
	return "unknown"
}

// WaitExit waits up to timeout for the process to exit and reports whether it
// has.
func (p *Process) WaitExit(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// StopIfRunning is like Stop, but returns true if the process has already
// exited.
func (p *Process) StopIfRunning() bool {
	return !p.Running() || p.Stop()
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// awaitListening waits until address accepts connections. It fails if the
// process exits.
func (p *Process) awaitListening(address string) error {
	for p.Running() {
		c, err := net.Dial("tcp", address)
		if err == nil {
			return c.Close()
		}
		time.Sleep(pollInterval)
	}
	return oops.With("step", "listen", "peer", p.name).Errorf("process exited before it accepted connections: %s", p.Tail())
}

// clockTick is the unit of processor times in /proc. Linux reports 100 ticks per
// second to all programs.
const clockTick = 10 * time.Millisecond

// CPU returns the user and system time that a running process has used.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, oops.With("step", "read processor time", "peer", p.name).Wrap(err)
	}
	// The command name in parentheses may contain spaces, so fields are counted
	// from its closing parenthesis.
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

// tailSize is the maximum length of the text that Tail returns, in bytes.
const tailSize = 600

// Tail returns the last tailSize bytes of the process's log.
func (p *Process) Tail() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-tailSize):])
}

// Group records started processes, so that all of them can be stopped.
type Group struct {
	mu        sync.Mutex
	processes []*Process
}

func (g *Group) add(p *Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.processes = append(g.processes, p)
}

// Start starts a process as the function Start does and adds it to the group.
func (g *Group) Start(dir, name string, watch LineWatch, program string, args ...string) (*Process, error) {
	p, err := Start(dir, name, watch, program, args...)
	if err == nil {
		g.add(p)
	}
	return p, err
}

// KillAll kills all running processes of the group and returns their number.
func (g *Group) KillAll() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	killed := 0
	for _, p := range g.processes {
		if p.Running() {
			killed++
			p.Kill()
		}
	}
	return killed
}

// Run runs a command to completion and returns its combined output.
func Run(ctx context.Context, program string, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	if err != nil {
		return string(out), oops.With("step", "run", "peer", filepath.Base(program)).Wrapf(err, "%s: %s", strings.Join(args, " "), out)
	}
	return string(out), nil
}

// StopAll stops all running processes of the group in turn.
func (g *Group) StopAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.processes {
		if p.Running() {
			p.Stop()
		}
	}
}
