//go:build alone

package abuse

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/standin/program"
)

const (
	megabyte = 1_000_000 // bytes
	// hangLimit is how long anything that must happen may take before it counts as hanging.
	hangLimit = 60 * time.Second
	// sampleInterval is how often the descriptors of a process are counted.
	sampleInterval = 5 * time.Millisecond
	// spareDescriptors is how many of a process's descriptors must stay free for targets, the store and peers.
	spareDescriptors = 50
)

// binary is the program under test. It is built without the race detector, which would multiply its memory.
var binary string

func TestMain(m *testing.M) { os.Exit(program.Main(m, &binary)) }

// bounds are what a process is given.
type bounds struct {
	memory      int64 // bytes
	descriptors int
}

// process is a program under test.
type process struct {
	bounds
	cmd     *exec.Cmd
	log     string // file
	exited  chan struct{}
	most    atomic.Int64 // descriptors that were seen open at the same time
	stopped chan struct{}
}

// startProcess starts the program with at most as many descriptors as given, and ends it with the test.
func startProcess(t *testing.T, b bounds, env []string, args ...string) *process {
	t.Helper()
	b.memory, b.descriptors = b.memory*int64(*scale), b.descriptors**scale
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, b.descriptors)
	cmd := exec.Command("sh", append([]string{"-c", limited, binary}, args...)...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(t, cmd.Start())
	p := &process{bounds: b, cmd: cmd, log: log.Name(), exited: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // a killed process ends with an error
		close(p.exited)
	}()
	go p.sample()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		<-p.exited
		<-p.stopped
		_ = log.Close() // the process that wrote to it has ended
		if t.Failed() {
			t.Log(p.tail())
		}
	})
	return p
}

// sample counts the descriptors until the process has ended.
func (p *process) sample() {
	defer close(p.stopped)
	for p.lives() {
		if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.most.Store(max(p.most.Load(), int64(len(list))))
		}
		time.Sleep(sampleInterval)
	}
}

func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peak returns the most memory that the process has had resident, in bytes.
func (p *process) peak(t *testing.T) int64 {
	t.Helper()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		text, found := strings.CutPrefix(s.Text(), "VmHWM:")
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
		require.NoError(t, err)
		return n << 10
	}
	require.Fail(t, "no peak of memory in the status of the process")
	return 0
}

// requireBounds checks that the process lives, within what it was given.
func (p *process) requireBounds(t *testing.T) {
	t.Helper()
	require.True(t, p.lives(), "the process has ended")
	peak, most := p.peak(t), p.most.Load()
	t.Logf("peak of memory %.1f MB of %d MB, %d descriptors of %d", float64(peak)/megabyte, p.memory/megabyte, most, p.descriptors)
	require.LessOrEqual(t, peak, p.memory, "peak of memory in bytes")
	require.LessOrEqual(t, most, int64(p.descriptors-spareDescriptors), "descriptors")
}

// tail returns the end of the log.
func (p *process) tail() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-3000, 0):])
}
