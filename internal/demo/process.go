// Package demo starts a whole system as processes on loopback, sends load to
// it, makes parts of it fail and checks the promises that it observes. It is
// a test program and not part of the product's binary.
package demo

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// stopLimit bounds the wait for a process after SIGTERM.
const stopLimit = 30 * time.Second

// process is one started process. Its output goes to a log file; lines that
// start with a watched prefix are also handed to a function.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// watch receives the lines of a process that start with its prefix.
type watch struct {
	prefix string
	line   func(string)
}

func start(dir, name string, w watch, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, oops.With("step", "start", "peer", name).Wrap(err)
	}
	p := &process{name: name, log: log, cmd: exec.Command(program, args...), done: make(chan struct{})}
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

func copyLines(from io.Reader, to io.Writer, w watch) {
	s := bufio.NewScanner(from)
	for s.Scan() {
		line := s.Text()
		if w.line != nil && strings.HasPrefix(line, w.prefix) {
			w.line(line[len(w.prefix):])
		}
		_, _ = io.WriteString(to, line+"\n")
	}
}

// signal sends a signal to the process; one that has ended is no error.
func (p *process) signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends the process by SIGTERM and reports whether it ended by itself.
func (p *process) stop() bool {
	_ = p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err == nil
	case <-time.After(stopLimit):
		p.kill()
		return false
	}
}

// stopIfRunning stops a process that has not ended before.
func (p *process) stopIfRunning() bool {
	return !p.running() || p.stop()
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// processes keeps what was started, so that nothing is left behind.
type processes struct {
	mu  sync.Mutex
	all []*process
}

func (s *processes) add(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, p)
}

// killAll ends whatever still runs and returns how many had to be ended.
func (s *processes) killAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for _, p := range s.all {
		if p.running() {
			left++
			p.kill()
		}
	}
	return left
}

// run executes a short command and returns its output.
func run(ctx context.Context, program string, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	if err != nil {
		return string(out), oops.With("step", "run", "peer", filepath.Base(program)).Wrapf(err, "%s: %s", strings.Join(args, " "), out)
	}
	return string(out), nil
}

// stopAll asks whatever still runs to end.
func (s *processes) stopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.all {
		if p.running() {
			p.stop()
		}
	}
}
