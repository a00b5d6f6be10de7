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

// child is a process over all of its incarnations: it may end and start again.
type child struct {
	name   string
	kind   string // "entry", "sidecar", "engine", "service", "platform"
	binary string
	args   []string
	log    string

	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{}
	incarnation    int
	state          childState
	peakKB         int           // over all incarnations
	cpu            time.Duration // of the incarnations that have ended
	started        time.Time
	runTime        time.Duration // of the incarnations that have ended
	unexpectedEnds []string      // ends that the rig did not cause
	endRequested   bool
}

type childState string

const (
	up       childState = "up"
	down     childState = "down"
	paused   childState = "paused"
	draining childState = "draining"
)

// start starts a new incarnation. If output is set, it returns the first line that
// the process prints on standard output.
func (p *child) start(output bool) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return "", err
	}
	defer file.Close()
	cmd := exec.Command(p.binary, p.args...)
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
	p.cmd, p.ended, p.endRequested, p.state = cmd, make(chan struct{}), false, up
	p.incarnation++
	p.started = time.Now()
	line := ""
	if output {
		line, err = bufio.NewReader(stdout).ReadString('\n')
	}
	go p.wait(cmd, p.ended)
	return strings.TrimSpace(line), err
}

// wait waits for the end of an incarnation and records it.
func (p *child) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.endRequested {
		p.unexpectedEnds = append(p.unexpectedEnds, fmt.Sprintf("%s life %d: %v", p.name, p.incarnation, err))
	}
	p.state = down
	p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.runTime += time.Since(p.started)
	close(ended)
}

// signal sends a signal and records the state that follows from it.
func (p *child) signal(s syscall.Signal, next childState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == down {
		return
	}
	// The peak is read from /proc, since the usage that the system reports at the
	// end includes the memory of this rig, which the process shared between its
	// fork and the start of its own program.
	if kb, err := procPeak(p.cmd.Process.Pid); err == nil {
		p.peakKB = max(p.peakKB, kb)
	}
	p.state = next
	if next == down || next == draining {
		p.endRequested = true
	}
	// The process may just have ended on its own; wait records that.
	_ = p.cmd.Process.Signal(s)
}

func (p *child) kill() {
	p.signal(syscall.SIGKILL, down)
	<-p.endedChan()
}

// endedChan returns a channel that is closed once the incarnation has ended.
func (p *child) endedChan() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// current returns the state and the number of the incarnation.
func (p *child) current() (childState, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.incarnation
}

// usage returns the processor time, the running time and the peak of the resident
// memory over all incarnations.
func (p *child) usage() (cpu, runTime time.Duration, peakKB int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cpu, runTime, peakKB = p.cpu, p.runTime, p.peakKB
	if p.state == down {
		return cpu, runTime, peakKB
	}
	pid := p.cmd.Process.Pid
	ticks, _ := procTicks(pid)
	kb, _ := procPeak(pid)
	return cpu + ticks, runTime + time.Since(p.started), max(peakKB, kb)
}

// procTicks returns the processor time of a running process.
func procTicks(pid int) (time.Duration, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, err
	}
	_, after, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if !found || len(fields) < 13 {
		return 0, errors.New("/proc stat: too few fields")
	}
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond, errors.Join(err1, err2)
}

// procPeak returns the peak of a process's resident memory in kB.
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
	return 0, errors.New("/proc status: no VmHWM")
}
