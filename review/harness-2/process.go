package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a program of the project that a case has started.
type process struct {
	name string
	boot string
	log  string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// placeholder is a placeholder of a template.
var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// fill fills a template in from the platform's fields, as DEPLOY.md says.
func fill(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		v, found := fields[m[1]]
		if !found {
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		encoded, err := json.Marshal(v)
		if err != nil {
			panic(err) // the fields are strings and numbers
		}
		return string(encoded)
	})
}

// fields are the platform's fields of a machine, with the bounds of the sites.
func (w *world) fields(node, ip, zone string) map[string]any {
	return map[string]any{
		"node": node, "ip": ip, "zone": zone, "platform.address": w.storeAt, "limits.memory_mb": 284,
		"port_range.0": w.port, "port_range.1": w.port + 1, "heartbeat_ms": heartbeat.Milliseconds(),
		"bounds.config_apply_ms": 2000, "bounds.revoke_ms": 5000, "bounds.drain_ms": drainTime.Milliseconds(), "bounds.grace_s": 8,
		"bounds.stall_ms": stallTime.Milliseconds(), "bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 92, "bounds.budget_window_s": 10,
	}
}

// startProcess starts a role of the deploy file: its command is "target/wagtailshelf serve".
func (w *world) startProcess(node, template string, fields map[string]any) (*process, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	p := &process{name: node, boot: filepath.Join(w.temp, node+".boot"), log: filepath.Join(w.temp, node+".log")}
	if err := os.WriteFile(p.boot, []byte(fill(string(text), fields)), 0o600); err != nil {
		return nil, err
	}
	w.processes = append(w.processes, p)
	return p, p.start()
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	p.cmd = exec.Command("target/wagtailshelf", "serve")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAGTAILSHELF_BOOT=" + p.boot}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait() // a killed process ends with an error
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// ended reports whether the process ended within a time.
func (p *process) ended(within time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// logged returns the log lines that contain a text.
func (p *process) logged(text string) []string {
	all, err := os.ReadFile(p.log)
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(all)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
