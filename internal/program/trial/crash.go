package trial

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/standin/service"
)

// CrashingTargets are plain targets that crash when they begin to run a request whose path
// contains a certain text. Each restarts at its address after a certain time.
type CrashingTargets struct {
	service   *service.Service
	fatalPath string
	downTime  time.Duration
	// FatalBody, if not empty, is a text that also crashes the targets if a request's body contains it. It
	// is set before targets are added.
	FatalBody string

	mu        sync.Mutex
	crashes   int
	downCount int // number of targets that are down
}

// NewCrashingTargets returns an empty set of targets of one service. AddCrashingTarget adds
// targets to it.
func NewCrashingTargets(s *service.Service, fatalPath string, downTime time.Duration) *CrashingTargets {
	return &CrashingTargets{service: s, fatalPath: fatalPath, downTime: downTime}
}

// Crashes returns how often the targets crashed.
func (c *CrashingTargets) Crashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// Up reports whether all targets are running.
func (c *CrashingTargets) Up() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.downCount == 0
}

// AddCrashingTarget starts one of the targets and its sidecar.
func (d *Deployment) AddCrashingTarget(name string, dataCentre host.DataCentre, c *CrashingTargets) (*Target, error) {
	t := &Target{Name: name, DataCentre: dataCentre, Service: c.service}
	err := d.addTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the sender has disconnected
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		fatalBody := c.FatalBody != "" && strings.Contains(string(body), c.FatalBody)
		if !fatalBody && !strings.Contains(r.URL.Path, c.fatalPath) {
			c.service.ServeHTTP(w, r)
			return
		}
		c.crash(t.server)
		panic(http.ErrAbortHandler)
	}))
	return t, err
}

func (c *CrashingTargets) crash(s *httpServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.crash() {
		return
	}
	c.crashes++
	c.downCount++
	time.AfterFunc(c.downTime, func() { c.restart(s) })
}

func (c *CrashingTargets) restart(s *httpServer) {
	if !s.restart() {
		time.AfterFunc(c.downTime, func() { c.restart(s) }) // another process holds the port; try again later
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.downCount--
}

// crash closes the server with all its connections. It returns false if the server is down already.
func (s *httpServer) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.closed {
		return false
	}
	s.crashed = true
	_ = s.server.Close() // closing all connections is the crash
	<-s.done
	return true
}

// restart serves again at the same address. It returns false if the address is not available now.
func (s *httpServer) restart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return true
	}
	l, err := net.Listen("tcp", s.listener.Addr().String())
	if err != nil {
		return false
	}
	s.crashed = false
	s.serve(l, s.server.Handler)
	return true
}
