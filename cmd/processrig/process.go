package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// child is one process, over all of its lives.
type child struct {
	name string
	kind string // "entry", "sidecar", "engine", "service", "platform"
	path string
	args []string
	log  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	life    int
	state   childState
	peakKB  int           // over all lives
	cpu     time.Duration // of the lives that have ended
	started time.Time
	lived   time.Duration // of the lives that have ended
	failed  []string      // ends that nobody asked for
	asked   bool
}

type childState string

const (
	up       childState = "up"
	down     childState = "down"
	paused   childState = "paused"
	draining childState = "draining"
)

// start begins a new life. With output it returns the first line that the
// process prints.
func (p *child) start(output bool) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return "", err
	}
	defer file.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stderr = file
	var stdout io.Reader
	if output {
		stdout, err = cmd.StdoutPipe()
		if err != nil {
			return "", err
		}
	}
	if err := cmd.Start(); err != nil {
		return "", err
	}
	p.cmd, p.ended, p.asked, p.state = cmd, make(chan struct{}), false, up
	p.life++
	p.started = time.Now()
	line := ""
	if output {
		line, err = bufio.NewReader(stdout).ReadString('\n')
	}
	go p.wait(cmd, p.ended)
	return strings.TrimSpace(line), err
}

func (p *child) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.asked {
		p.failed = append(p.failed, fmt.Sprintf("%s life %d: %v", p.name, p.life, err))
	}
	p.state = down
	p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.lived += time.Since(p.started)
	close(ended)
}

// signal sends a signal and notes what it does to the process.
func (p *child) signal(s syscall.Signal, then childState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == down {
		return
	}
	// Not from the usage that the system reports at the end: its peak counts the
	// memory of this rig, which the process shared until it was its own program.
	if kb, err := procPeak(p.cmd.Process.Pid); err == nil {
		p.peakKB = max(p.peakKB, kb)
	}
	p.state = then
	if then == down || then == draining {
		p.asked = true
	}
	// The process may have ended by itself in this moment; wait notes that.
	_ = p.cmd.Process.Signal(s)
}

func (p *child) kill() {
	p.signal(syscall.SIGKILL, down)
	<-p.endedChan()
}

func (p *child) endedChan() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *child) now() (childState, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.life
}

// usage returns the processor time over all lives, the time lived, and the peak
// of the resident memory.
func (p *child) usage() (cpu, lived time.Duration, peakKB int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cpu, lived, peakKB = p.cpu, p.lived, p.peakKB
	if p.state == down {
		return cpu, lived, peakKB
	}
	pid := p.cmd.Process.Pid
	ticks, _ := procTicks(pid)
	kb, _ := procPeak(pid)
	return cpu + ticks, lived + time.Since(p.started), max(peakKB, kb)
}

func procTicks(pid int) (time.Duration, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, err
	}
	_, after, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if !found || len(fields) < 13 {
		return 0, errors.New("stat: too short")
	}
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond, errors.Join(err1, err2)
}

func procPeak(pid int) (int, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, errors.New("status: no VmHWM")
}
