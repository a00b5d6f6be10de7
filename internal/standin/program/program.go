// Package program builds this repository's program and runs it as a separate process, for tests that need real ones.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrBuild reports that the program could not be built.
var ErrBuild = merry.New("the program could not be built")

// Build builds the program into a folder, with further flags of the compiler, and returns the program's file.
func Build(dir string, flags ...string) (string, error) {
	file := filepath.Join(dir, "wagtailshelf")
	args := append(append([]string{"build", "-ldflags=-linkmode=external"}, flags...), "-o", file, "wagtailshelf.example/wagtailshelf/cmd/wagtailshelf")
	output, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return "", merry.Wrap(ErrBuild, merry.AppendMessagef("%v: %s", err, output))
	}
	return file, nil
}

// Main builds the program for the tests of a package, runs them, and returns their exit status. The file is there while
// they run.
func Main(m *testing.M, file *string) int {
	dir, err := os.MkdirTemp("", "program")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if *file, err = Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Process is a process that a test has started.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	mu     sync.Mutex
	sent   []syscall.Signal
}

// Start starts a command.
func Start(cmd *exec.Cmd) (*Process, error) {
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // how it ended is in its state
		close(p.exited)
	}()
	return p, nil
}

// Pid returns the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal. The process may have ended.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, s)
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Lives reports whether the process has not ended.
func (p *Process) Lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Await waits for the process to end, and reports whether it did within the limit.
func (p *Process) Await(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// End returns how the process ended, as "exit status 0" or "signal: hangup"; "" while it lives.
func (p *Process) End() string {
	if p.Lives() {
		return ""
	}
	return p.cmd.ProcessState.String()
}

// EndedByItself returns how the process ended if nobody asked it to: neither by SIGKILL, nor by SIGTERM or SIGINT, after
// which it ends with status 0, or by the signal if it has not begun to serve. It returns "" if the process lives.
func (p *Process) EndedByItself() string {
	if p.Lives() {
		return ""
	}
	status, _ := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sent {
		asked := s == syscall.SIGKILL || s == syscall.SIGTERM || s == syscall.SIGINT
		if asked && (status.Signaled() && status.Signal() == s || status.Exited() && status.ExitStatus() == 0) {
			return ""
		}
	}
	return p.cmd.ProcessState.String()
}

// Handles reports whether the process has taken a signal over, or blocks or ignores it. It returns false if the
// process has ended.
func (p *Process) Handles(s syscall.Signal) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(text)) {
		name, mask, _ := strings.Cut(line, ":")
		if name != "SigBlk" && name != "SigIgn" && name != "SigCgt" {
			continue
		}
		bits, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
		if err == nil && bits&(1<<(uint(s)-1)) != 0 {
			return true
		}
	}
	return false
}
