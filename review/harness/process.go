package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// program is the project's program, as the deploy file builds it.
const program = "target/wagtailshelf"

// Process is a process of the system: an entry or a sidecar.
type Process struct {
	Name     string
	settings string // path of its settings file
	log      *os.File
	command  *exec.Cmd
	ended    chan struct{}
}

// NewProcess writes the settings of a process, by the template that the deploy file names, and
// starts it.
func NewProcess(dir, template string, fields map[string]any) (*Process, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	filled, err := fill(string(text), fields)
	if err != nil {
		return nil, err
	}
	name := fields["node"].(string)
	p := &Process{Name: name, settings: filepath.Join(dir, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return p, p.Start()
}

// Start starts the process, as the platform does: with the command of the deploy file and the path of
// its settings in a variable.
func (p *Process) Start() error {
	p.command = exec.Command(program, "serve")
	p.command.Env = append(os.Environ(), "WAGTAILSHELF_BOOT="+p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), p.command
	p.ended = ended
	go func() {
		_ = command.Wait() // one that was killed ends with an error
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s) // it may have ended
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Await waits for the process to end, for some time at the most.
func (p *Process) Await(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// fill fills the placeholders of a template, as DEPLOY.md describes them.
func fill(template string, fields map[string]any) (string, error) {
	var missing []string
	text := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		v, ok := lookUp(fields, strings.Split(parts[1], "."))
		if !ok {
			missing = append(missing, parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(v)
		}
		encoded, err := json.Marshal(v)
		if err != nil {
			missing = append(missing, parts[1])
		}
		return string(encoded)
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("the harness has no values for %v", missing)
	}
	return text, nil
}

func lookUp(v any, path []string) (any, bool) {
	if len(path) == 0 {
		return v, true
	}
	switch v := v.(type) {
	case map[string]any:
		inner, found := v[path[0]]
		if !found {
			return nil, false
		}
		return lookUp(inner, path[1:])
	case []int:
		i, err := strconv.Atoi(path[0])
		if err != nil || i >= len(v) {
			return nil, false
		}
		return v[i], true
	}
	return nil, false
}

// freePort returns a port that is free at some addresses.
func freePort(at []netip.Addr) (int, error) {
	for range 200 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close() // nobody has connected
		if freeAt(at, port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func freeAt(at []netip.Addr, port int) bool {
	for _, a := range at {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(a, uint16(port)).String())
		if err != nil {
			return false
		}
		_ = l.Close() // nobody has connected
	}
	return true
}
